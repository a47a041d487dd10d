//! Plays the scenarios in `tests/scenarios`: small text files on simulated time.
//!
//! A line is `at SECONDS COMMAND`, in the order of time; `fleet` and `models` come first.

mod support;

use lanegate_placement::Operation;
use std::path::Path;
use support::fleet::Cut;
use support::simulation::{Asked, Simulation, runtime};

/// A parsed line, with its place for messages.
struct Line<'a> {
    place: String,
    words: Vec<&'a str>,
}

impl Line<'_> {
    fn word(&self, index: usize) -> &str {
        self.words.get(index).unwrap_or_else(|| panic!("{}: word {index} is missing", self.place))
    }

    fn number(&self, index: usize) -> f64 {
        let word = self.word(index);
        word.parse().unwrap_or_else(|_| panic!("{}: {word} is no number", self.place))
    }

    fn compare(&self, index: usize, measured: f64) {
        let (operator, bound) = (self.word(index), self.number(index + 1));
        let holds = match operator {
            ">=" => measured >= bound,
            "<=" => measured <= bound,
            "=" => measured == bound,
            other => panic!("{}: {other} is no comparison", self.place),
        };
        assert!(holds, "{}: measured {measured}, expected {operator} {bound}", self.place);
    }
}

fn asked(line: &Line) -> Vec<Asked> {
    let pairs = line.words[3..].chunks(2);
    pairs
        .map(|pair| {
            let (model, adapter) = split(pair[0]);
            let rate = pair[1].parse().unwrap_or_else(|_| panic!("{}: {} is no rate", line.place, pair[1]));
            Asked { model: model.into(), adapter: adapter.map(str::to_string), rate }
        })
        .collect()
}

/// `zipf MODELS RATE EXPONENT SHIFT`: demand for many models, most of it for a few; the most popular is the
/// one after `SHIFT`. A quarter of it is for adapters, skewed in the same way.
fn zipf(line: &Line) -> Vec<Asked> {
    let (models, rate, exponent) = (line.number(3) as usize, line.number(4), line.number(5));
    let shift = line.number(6) as usize;
    let weight = |rank: usize| 1.0 / (rank as f64).powf(exponent);
    let total: f64 = (1..=models).map(weight).sum();
    let mut asked = Vec::new();
    for rank in 1..=models {
        let model = format!("m{}", (rank - 1 + shift) % models + 1);
        let rate = rate * weight(rank) / total;
        asked.push(Asked { model: model.clone(), adapter: None, rate: rate * 0.75 });
        if rank <= 8 {
            let adapters: f64 = (1..=8).map(weight).sum();
            for number in 1..=8 {
                let rate = rate * 0.25 * weight(number) / adapters;
                asked.push(Asked { model: model.clone(), adapter: Some(format!("a{number}")), rate });
            }
        }
    }
    asked
}

fn split(item: &str) -> (&str, Option<&str>) {
    item.split_once('/').map_or((item, None), |(model, adapter)| (model, Some(adapter)))
}

fn play(path: &Path) {
    let text = std::fs::read_to_string(path).expect("a scenario can be read");
    let name = path.file_name().expect("a scenario has a name").to_string_lossy().into_owned();
    let lines: Vec<Line> = text
        .lines()
        .enumerate()
        .map(|(number, line)| Line {
            place: format!("{name}:{}", number + 1),
            words: line.split('#').next().unwrap_or("").split_whitespace().collect(),
        })
        .filter(|line| !line.words.is_empty())
        .collect();
    let mut simulation = begin(&lines);
    for line in lines.iter().filter(|line| line.words[0] == "at") {
        simulation.run_until((line.number(1) * 1_000.0) as u64);
        command(&mut simulation, line);
        assert!(simulation.checks.broken.is_empty(), "{}: {:?}", line.place, simulation.checks.broken);
    }
}

/// `fleet ENDPOINTS ZONES SEED`, `models COUNT SIZE_MB LOAD_S ADAPTERS ADAPTER_MB`.
fn begin(lines: &[Line]) -> Simulation {
    let find = |word: &str| {
        let found = lines.iter().find(|line| line.words[0] == word);
        found.unwrap_or_else(|| panic!("a line with {word} is missing"))
    };
    let (fleet, models) = (find("fleet"), find("models"));
    let runtime = runtime(
        models.number(1) as usize,
        models.number(2),
        models.number(3),
        models.number(4) as u32,
        models.number(5),
    );
    Simulation::new(runtime, fleet.number(1) as usize, fleet.number(2) as usize, fleet.number(3) as u64)
}

fn command(simulation: &mut Simulation, line: &Line) {
    match line.word(2) {
        "demand" => simulation.demand = asked(line),
        "zipf" => simulation.demand = zipf(line),
        "fill" => simulation.fill(),
        "place" => simulation.place(line.word(3), &line.words[4..]),
        "crash" => simulation.crash(line.word(3)),
        "restart" => simulation.restart(line.word(3)),
        "drain" => simulation.drain_endpoint(line.word(3), None),
        "notice" => simulation.drain_endpoint(line.word(3), Some(line.number(4))),
        "takeover" => simulation.take_over(),
        "cut" => simulation.cut(line.word(3), Cut::All, (line.number(4) * 1_000.0) as u64),
        "stall" => simulation.cut(line.word(3), Cut::Beats, (line.number(4) * 1_000.0) as u64),
        "loss" => simulation.loss = line.number(3),
        "end" => {}
        "expect" => expect(simulation, line),
        other => panic!("{}: {other} is no command", line.place),
    }
}

/// `copies ITEM`, `zones MODEL`, `orders SECONDS`, `loads SECONDS` (of models) and `unplaced SECONDS` (each of
/// the last seconds), `unheld` (items in demand without a copy), `first_questions` (incarnations that a
/// placer asked), `questions` (all beyond these), `conflicts`.
fn expect(simulation: &Simulation, line: &Line) {
    let since = |seconds: f64| simulation.now_ms.saturating_sub((seconds * 1_000.0) as u64);
    match line.word(3) {
        "copies" => {
            let (model, adapter) = split(line.word(4));
            line.compare(5, simulation.copies(model, adapter) as f64);
        }
        "zones" => line.compare(5, simulation.zones(line.word(4)) as f64),
        "orders" => {
            let from = since(line.number(4));
            let late = simulation.orders.iter().filter(|(at, _)| *at > from);
            line.compare(5, late.count() as f64);
        }
        "unplaced" => {
            let from = since(line.number(4));
            let late = simulation.unplaced.iter().filter(|(at, _, _)| *at > from);
            line.compare(5, late.map(|(_, _, requests)| f64::from(*requests)).sum());
        }
        "unheld" => {
            let unheld = simulation.demand.iter();
            let unheld =
                unheld.filter(|asked| simulation.copies(&asked.model, asked.adapter.as_deref()) == 0);
            line.compare(4, unheld.count() as f64);
        }
        "loads" => {
            let from = since(line.number(4));
            let late = simulation.orders.iter().filter(|(at, order)| *at > from && order.adapter.is_none());
            let loads = late.filter(|(_, order)| order.operation == Operation::Load);
            line.compare(5, loads.count() as f64);
        }
        "first_questions" => line.compare(4, simulation.first_questions.len() as f64),
        "questions" => line.compare(4, simulation.questions as f64),
        "conflicts" => line.compare(4, simulation.conflicts as f64),
        other => panic!("{}: {other} can't be measured", line.place),
    }
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            let file = concat!("tests/scenarios/", stringify!($name), ".txt");
            play(&Path::new(env!("CARGO_MANIFEST_DIR")).join(file));
        })*

        #[test]
        fn every_scenario_is_played() {
            let played = [$(stringify!($name)),*];
            let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
            for entry in std::fs::read_dir(directory).expect("scenarios can be listed") {
                let path = entry.expect("a scenario can be listed").path();
                let name = path.file_stem().expect("a scenario has a name").to_string_lossy().into_owned();
                assert!(played.contains(&&*name), "{name} is not played");
            }
        }
    };
}

scenarios! {
    adapters
    crash
    first_request
    many_models
    notice
    overload
    shift
    shrink
    steady
    takeover
    tight
}
