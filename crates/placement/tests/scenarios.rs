//! Runs the scenarios in `tests/scenarios`: small text files in simulated time.
//!
//! A line is `at SECONDS COMMAND`, in the order of time; `fleet` and `models` come first.

mod support;

use lanegate_placement::Operation;
use std::path::Path;
use support::fleet::Partition;
use support::simulation::{ItemDemand, Simulation, runtime};

/// A parsed line, with its location for messages.
struct Line<'a> {
    location: String,
    words: Vec<&'a str>,
}

impl Line<'_> {
    fn word(&self, index: usize) -> &str {
        self.words.get(index).unwrap_or_else(|| panic!("{}: word {index} is missing", self.location))
    }

    fn number(&self, index: usize) -> f64 {
        let word = self.word(index);
        word.parse().unwrap_or_else(|_| panic!("{}: {word} is no number", self.location))
    }

    fn compare(&self, index: usize, measured: f64) {
        let (operator, bound) = (self.word(index), self.number(index + 1));
        let holds = match operator {
            ">=" => measured >= bound,
            "<=" => measured <= bound,
            "=" => measured == bound,
            other => panic!("{}: {other} is not a comparison operator", self.location),
        };
        assert!(holds, "{}: measured {measured}, expected {operator} {bound}", self.location);
    }
}

fn demanded(line: &Line) -> Vec<ItemDemand> {
    let pairs = line.words[3..].chunks(2);
    pairs
        .map(|pair| {
            let (model, adapter) = split(pair[0]);
            let rate =
                pair[1].parse().unwrap_or_else(|_| panic!("{}: {} is not a rate", line.location, pair[1]));
            ItemDemand { model: model.into(), adapter: adapter.map(str::to_string), rate }
        })
        .collect()
}

/// `zipf MODELS RATE EXPONENT SHIFT`: demand for many models, most of it for a few; the most popular is the one after
/// `SHIFT`. A quarter of it is for adapters, skewed in the same way.
fn zipf(line: &Line) -> Vec<ItemDemand> {
    let (models, rate, exponent) = (line.number(3) as usize, line.number(4), line.number(5));
    let shift = line.number(6) as usize;
    let weight = |rank: usize| 1.0 / (rank as f64).powf(exponent);
    let total: f64 = (1..=models).map(weight).sum();
    let mut demanded = Vec::new();
    for rank in 1..=models {
        let model = format!("m{}", (rank - 1 + shift) % models + 1);
        let rate = rate * weight(rank) / total;
        demanded.push(ItemDemand { model: model.clone(), adapter: None, rate: rate * 0.75 });
        if rank <= 8 {
            let adapters: f64 = (1..=8).map(weight).sum();
            for number in 1..=8 {
                let rate = rate * 0.25 * weight(number) / adapters;
                demanded.push(ItemDemand { model: model.clone(), adapter: Some(format!("a{number}")), rate });
            }
        }
    }
    demanded
}

fn split(item: &str) -> (&str, Option<&str>) {
    item.split_once('/').map_or((item, None), |(model, adapter)| (model, Some(adapter)))
}

fn run(path: &Path) {
    let text = std::fs::read_to_string(path).expect("a scenario can be read");
    let name = path.file_name().expect("a scenario has a name").to_string_lossy().into_owned();
    let lines: Vec<Line> = text
        .lines()
        .enumerate()
        .map(|(number, line)| Line {
            location: format!("{name}:{}", number + 1),
            words: line.split('#').next().unwrap_or("").split_whitespace().collect(),
        })
        .filter(|line| !line.words.is_empty())
        .collect();
    let mut simulation = start_simulation(&lines);
    for line in lines.iter().filter(|line| line.words[0] == "at") {
        simulation.run_until((line.number(1) * 1_000.0) as u64);
        command(&mut simulation, line);
        assert!(
            simulation.checks.violations.is_empty(),
            "{}: {:?}",
            line.location,
            simulation.checks.violations
        );
    }
}

/// `fleet ENDPOINTS ZONES SEED`, `models COUNT SIZE_MB LOAD_S ADAPTERS ADAPTER_MB`.
fn start_simulation(lines: &[Line]) -> Simulation {
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
        "demand" => simulation.demand = demanded(line),
        "zipf" => simulation.demand = zipf(line),
        "fill" => simulation.fill(),
        "place" => simulation.place(line.word(3), &line.words[4..]),
        "crash" => simulation.crash(line.word(3)),
        "restart" => simulation.restart(line.word(3)),
        "drain" => simulation.drain_endpoint(line.word(3), None),
        "notice" => simulation.drain_endpoint(line.word(3), Some(line.number(4))),
        "takeover" => simulation.take_over(),
        "partition" => simulation.partition(line.word(3), Partition::All, (line.number(4) * 1_000.0) as u64),
        "delay_heartbeats" => {
            simulation.partition(line.word(3), Partition::Heartbeats, (line.number(4) * 1_000.0) as u64)
        }
        "loss" => simulation.loss = line.number(3),
        "end" => {}
        "expect" => expect(simulation, line),
        other => panic!("{}: unknown command {other}", line.location),
    }
}

/// `replicas ITEM`, `zones MODEL`, `orders SECONDS`, `loads SECONDS` (of models) and `unplaced SECONDS` (each of the
/// last seconds), `not_resident` (items in demand without a replica), `first_report_requests` (incarnations from which
/// a placer requested a report), `report_requests` (all further ones), `conflicts`.
fn expect(simulation: &Simulation, line: &Line) {
    let since = |seconds: f64| simulation.now_ms.saturating_sub((seconds * 1_000.0) as u64);
    match line.word(3) {
        "replicas" => {
            let (model, adapter) = split(line.word(4));
            line.compare(5, simulation.replicas(model, adapter) as f64);
        }
        "zones" => line.compare(5, simulation.zones(line.word(4)) as f64),
        "orders" => {
            let from = since(line.number(4));
            let recent = simulation.orders.iter().filter(|(at, _)| *at > from);
            line.compare(5, recent.count() as f64);
        }
        "unplaced" => {
            let from = since(line.number(4));
            let recent = simulation.unplaced.iter().filter(|(at, _, _)| *at > from);
            line.compare(5, recent.map(|(_, _, requests)| f64::from(*requests)).sum());
        }
        "not_resident" => {
            let missing = simulation.demand.iter();
            let missing = missing
                .filter(|demanded| simulation.replicas(&demanded.model, demanded.adapter.as_deref()) == 0);
            line.compare(4, missing.count() as f64);
        }
        "loads" => {
            let from = since(line.number(4));
            let recent = simulation.orders.iter().filter(|(at, order)| *at > from && order.adapter.is_none());
            let loads = recent.filter(|(_, order)| order.operation == Operation::Load);
            line.compare(5, loads.count() as f64);
        }
        "first_report_requests" => line.compare(4, simulation.first_report_requests.len() as f64),
        "report_requests" => line.compare(4, simulation.report_requests as f64),
        "conflicts" => line.compare(4, simulation.conflicts as f64),
        other => panic!("{}: unknown measurement {other}", line.location),
    }
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            let file = concat!("tests/scenarios/", stringify!($name), ".txt");
            run(&Path::new(env!("CARGO_MANIFEST_DIR")).join(file));
        })*

        #[test]
        fn every_scenario_file_is_run() {
            let run_names = [$(stringify!($name)),*];
            let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
            for entry in std::fs::read_dir(directory).expect("scenarios can be listed") {
                let path = entry.expect("a scenario can be listed").path();
                let name = path.file_stem().expect("a scenario has a name").to_string_lossy().into_owned();
                assert!(run_names.contains(&&*name), "{name} is not run");
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
