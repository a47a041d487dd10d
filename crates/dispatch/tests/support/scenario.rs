//! One runner for the scenarios in text files, on simulated time.
//!
//! A line is a comment (`#`), a setting (`settings`, `route`, `service`), `sleep`, an action that begins with its time
//! in ms, or an expectation (`->`). Expectations tell all decisions since the last ones, in order; `-> nothing`
//! tells that there were none, and `-> any` takes whatever came. Words of the form `name=value` fill in the
//! rest of a line.

use super::{engine, generation, instance, ms, request};
use lanegate_config::configuration::{Configuration, RouteType};
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::{Instance, InstanceState};
use lanegate_dispatch::interface::{AttemptEnd, Decision, InstanceLoad, Progress, Request, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A decision and when it was made.
struct Made {
    at: Duration,
    decision: Decision,
}

/// The words of a line: plain ones in order, and named values.
struct Words<'a> {
    plain: Vec<&'a str>,
    named: BTreeMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    fn of(line: &'a str) -> Self {
        let mut words = Words { plain: Vec::new(), named: BTreeMap::new() };
        for word in line.split_whitespace() {
            match word.split_once('=') {
                Some((name, value)) => drop(words.named.insert(name, value)),
                None => words.plain.push(word),
            }
        }
        words
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.named.get(name).copied()
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.text(name).map(|value| value.parse().unwrap_or_else(|_| panic!("{name}={value} is no number")))
    }

    fn whole(&self, name: &str) -> Option<u64> {
        self.number(name).map(|value| value as u64)
    }
}

/// Plays one scenario; panics at the first expectation that isn't met, with its line.
pub fn play(name: &str, text: &str) {
    let mut runner = Runner::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let place = format!("{name}:{}: {line}", number + 1);
        runner.step(&place, line);
    }
    assert!(runner.made.is_empty(), "{name}: decisions that no line expects: {}", told(&runner.made));
}

struct Runner {
    settings: DispatchSettings,
    dispatcher: Option<Dispatcher>,
    routes: Vec<String>,
    services: Vec<String>,
    templates: BTreeMap<String, Request>,
    instances: BTreeMap<String, Instance>,
    made: Vec<Made>,
    now: Duration,
}

impl Runner {
    fn new() -> Self {
        let mut settings = DispatchSettings { zone: "a".to_owned(), ..DispatchSettings::default() };
        for zone in ["a", "b", "c"] {
            settings.zones.insert(zone.to_owned(), "r".to_owned());
        }
        settings.bounds.retry_slack = 36.0;
        Runner {
            settings,
            dispatcher: None,
            routes: Vec::new(),
            services: Vec::new(),
            templates: BTreeMap::new(),
            instances: BTreeMap::new(),
            made: Vec::new(),
            now: Duration::ZERO,
        }
    }

    fn step(&mut self, place: &str, line: &str) {
        if let Some(expected) = line.strip_prefix("->") {
            return self.expect(place, &Words::of(expected));
        }
        let words = Words::of(line);
        match words.plain[0] {
            "settings" => self.settings(&words),
            "route" => self.route(&words),
            "service" => self.service(&words),
            "sleep" => self.sleep(ms(words.plain[1].parse().expect("a time"))),
            at => {
                let at = at.parse().unwrap_or_else(|_| panic!("{place}: no time"));
                self.advance(ms(at));
                self.act(place, &words);
            }
        }
    }

    fn settings(&mut self, words: &Words) {
        let bounds = &mut self.settings.bounds;
        bounds.retry_slack = words.number("slack").unwrap_or(bounds.retry_slack);
        bounds.retry_ratio = words.number("ratio").unwrap_or(bounds.retry_ratio);
        bounds.retry_window_s = words.number("window").unwrap_or(bounds.retry_window_s);
    }

    fn route(&mut self, words: &Words) {
        let name = words.plain[1];
        let aim = words.whole("aim").unwrap_or(300);
        let gap = words.number("gap").map(|gap| format!(r#","gap_aim_ms":{gap}"#)).unwrap_or_default();
        self.routes.push(format!(
            r#"{{"Name":"{name}","Hostname":"h","PathPrefix":"/{name}/","TimeoutMs":5000{gap}}}"#
        ));
        let template = Request {
            route: name.into(),
            backend: words.text("service").unwrap_or("tiles").into(),
            route_type: match words.text("type") {
                Some("idempotent") => RouteType::Idempotent,
                Some("streaming") => RouteType::Streaming,
                _ => RouteType::NonIdempotent,
            },
            resumable: words.text("resumable") == Some("yes"),
            max_attempts: words.whole("attempts").unwrap_or(2) as u32,
            priority: words.whole("priority").unwrap_or(1) as u8,
            target: ms(aim),
            deadline: ms(words.whole("deadline").unwrap_or(1_500)),
            ..request(0, 0)
        };
        self.templates.insert(name.to_owned(), template);
    }

    fn service(&mut self, words: &Words) {
        let name = words.plain[1];
        let runtime = words.whole("memory").map(|memory| {
            let models = words.text("models").unwrap_or_default().split(',');
            let models: Vec<String> = models.map(model_document).collect();
            format!(
                r#","Runtime":{{"Capacity":64,"KvCacheTokens":{memory},"Models":[{}]}}"#,
                models.join(",")
            )
        });
        self.services.push(format!(r#"{{"Name":"{name}"{}}}"#, runtime.unwrap_or_default()));
    }

    fn dispatcher(&mut self) -> &mut Dispatcher {
        let settings = &self.settings;
        let (routes, services) = (&self.routes, &self.services);
        self.dispatcher.get_or_insert_with(|| {
            let mut dispatcher = Dispatcher::new(settings.clone(), 1);
            let document = format!(
                r#"{{"Version":1,"Routes":[{}],"Backends":[{}]}}"#,
                routes.join(","),
                services.join(",")
            );
            let configuration: Configuration = serde_json::from_str(&document).expect("a configuration");
            dispatcher.apply(Duration::ZERO, &FeedEvent::Configuration(Arc::new(configuration)));
            dispatcher
        })
    }

    /// Lets time pass, with a wake whenever the dispatcher asks for one.
    fn advance(&mut self, to: Duration) {
        assert!(to >= self.now, "time goes back to {to:?}");
        while let Some(at) = self.dispatcher().next_wake().filter(|&at| at <= to) {
            let at = at.max(self.now);
            self.now = at;
            self.dispatcher().wake(at);
            self.collect();
            let next = self.dispatcher().next_wake();
            assert!(next.is_none_or(|next| next > at), "a wake at {at:?} asks for one at {next:?}");
        }
        self.now = to;
    }

    /// The process stands still until then; it wakes too late for what it was to do.
    fn sleep(&mut self, to: Duration) {
        self.now = to;
        self.dispatcher().wake(to);
        self.collect();
    }

    fn collect(&mut self) {
        let at = self.now;
        let decisions = self.dispatcher().take_decisions();
        self.made.extend(decisions.into_iter().map(|decision| Made { at, decision }));
    }

    fn act(&mut self, place: &str, words: &Words) {
        let now = self.now;
        let name = words.plain.get(2).copied().unwrap_or_default();
        match words.plain[1] {
            "passes" => {}
            "synchronized" => self.dispatcher().apply(now, &FeedEvent::Synchronized),
            "routers" => {
                let live = name.parse().expect("a count");
                self.dispatcher().apply(now, &FeedEvent::Routers { live });
            }
            "instance" => {
                let event = FeedEvent::Instance(self.instance(name, words));
                self.dispatcher().apply(now, &event);
            }
            "removed" => self.dispatcher().apply(now, &FeedEvent::Removed { id: name.to_owned() }),
            "submit" => {
                let request = self.request(words);
                self.dispatcher().submit(now, request);
            }
            "cancel" => self.dispatcher().cancel(now, id_of(name)),
            "head" | "first" => {
                let progress = match words.plain[1] {
                    "head" => Progress::Head { load: load_of(words) },
                    _ => Progress::FirstByte,
                };
                self.dispatcher().progress(now, id_of(name), attempt_of(words), progress);
            }
            "end_by" => {
                let end = ms(name.parse().expect("a time"));
                self.dispatcher().end_by(now, end);
            }
            "ended" => {
                let end = end_of(place, words);
                self.dispatcher().ended(now, id_of(name), attempt_of(words), end);
            }
            other => panic!("{place}: no action {other}"),
        }
        self.collect();
    }

    /// A registration, with what the last one of that instance told where the line tells nothing.
    fn instance(&mut self, id: &str, words: &Words) -> Instance {
        let is_engine = words.named.contains_key("models");
        let fresh = || if is_engine { engine(id, &[]) } else { instance(id) };
        let mut told = self.instances.remove(id).unwrap_or_else(fresh);
        told.sequence = words.whole("sequence").unwrap_or(told.sequence + 1);
        told.zone = words.text("zone").map_or(told.zone, str::to_owned);
        told.backend = words.text("service").map_or(told.backend, str::to_owned);
        told.capacity = words.whole("capacity").map_or(told.capacity, |capacity| capacity as u32);
        told.remaining_ms = words.number("remaining").or(told.remaining_ms);
        if let Some(models) = words.text("models") {
            let models = models.split(',').filter(|model| !model.is_empty());
            told.models = models.map(super::held).collect();
        }
        told.state = match words.text("state") {
            Some("draining") => InstanceState::Draining,
            Some(_) => InstanceState::Ready,
            None => told.state,
        };
        self.instances.insert(id.to_owned(), told.clone());
        told
    }

    fn request(&self, words: &Words) -> Request {
        let number = words.plain[2].parse().expect("a number");
        let template = &self.templates[words.text("route").expect("a route")];
        let wanted = words.text("model").map(|text| {
            let (model, adapter) =
                text.split_once('/').map_or((text, None), |(model, name)| (model, Some(name)));
            let parts: Vec<(u64, u32)> =
                words.text("parts").unwrap_or("1:100").split(',').map(part_of).collect();
            let mut wanted = generation(0, 0, model, &parts).generation.expect("a generation");
            wanted.adapter = adapter.map(Into::into);
            wanted.output_tokens = words.whole("output").map_or(wanted.output_tokens, |tokens| tokens as u32);
            wanted
        });
        Request {
            id: RequestId(number),
            arrived: self.now,
            target: self.now + template.target,
            deadline: self.now + template.deadline,
            generation: wanted,
            ..template.clone()
        }
    }

    fn expect(&mut self, place: &str, words: &Words) {
        self.collect();
        match words.plain[0] {
            "any" => return self.made.clear(),
            "nothing" => return assert!(self.made.is_empty(), "{place}: but {}", told(&self.made)),
            _ => {}
        }
        assert!(!self.made.is_empty(), "{place}: but nothing was decided");
        let made = self.made.remove(0);
        let met = matches_expectation(&made, words);
        assert!(met, "{place}: but {} (and {})", told(std::slice::from_ref(&made)), told(&self.made));
    }
}

fn matches_expectation(made: &Made, words: &Words) -> bool {
    let id = id_of(words.plain[1]);
    let in_time = words.text("at").is_none_or(|range| within(range, made.at));
    let as_told = match (words.plain[0], &made.decision) {
        ("send", Decision::Send { request, attempt, instance, engine_priority, resume, .. }) => {
            let instance_fits = words.plain.get(2).is_none_or(|&name| name == "*" || name == &**instance);
            *request == id
                && instance_fits
                && words.whole("attempt").is_none_or(|expected| expected == u64::from(*attempt))
                && words.whole("priority").is_none_or(|expected| expected == u64::from(*engine_priority))
                && words.text("resume").is_none_or(|expected| (expected == "yes") == *resume)
        }
        ("refuse", Decision::Refuse { request, retry_after }) => {
            *request == id && words.text("after").is_none_or(|range| within(range, *retry_after))
        }
        ("fail", Decision::Fail { request, reason }) => {
            let reason = format!("{reason:?}");
            *request == id && words.plain.get(2).is_none_or(|&expected| expected == reason)
        }
        _ => false,
    };
    in_time && as_told
}

fn within(range: &str, value: Duration) -> bool {
    let (from, to) = range.split_once("..").unwrap_or((range, range));
    let bound = |text: &str| ms(text.parse().expect("a bound in ms"));
    let rounded = ms(value.as_millis() as u64);
    bound(from) <= rounded && rounded <= bound(to)
}

fn model_document(text: &str) -> String {
    let (name, load_time) = text.split_once(':').unwrap_or((text, "2"));
    format!(r#"{{"Name":"{name}","WeightsMb":1,"LoadTimeS":{load_time}}}"#)
}

fn part_of(text: &str) -> (u64, u32) {
    let (id, tokens) = text.split_once(':').expect("a part");
    (id.parse().expect("an id"), tokens.parse().expect("tokens"))
}

fn id_of(text: &str) -> RequestId {
    RequestId(text.parse().unwrap_or_else(|_| panic!("{text} is no request")))
}

fn attempt_of(words: &Words) -> u32 {
    words.whole("attempt").unwrap_or(1) as u32
}

fn load_of(words: &Words) -> Option<InstanceLoad> {
    let mut figures = words.text("load")?.split(',').map(|figure| figure.parse().expect("a figure"));
    let mut next = || figures.next().expect("three figures");
    Some(InstanceLoad { running: next(), waiting: next(), slots: next() })
}

fn end_of(place: &str, words: &Words) -> AttemptEnd {
    let load = load_of(words);
    match words.plain[3] {
        "answered" => AttemptEnd::Answered { success: true, load },
        "erred" => AttemptEnd::Answered { success: false, load },
        "full" => AttemptEnd::NotExecuted { status: 503, load, wrong_instance: false },
        "missing" => AttemptEnd::NotExecuted { status: 421, load, wrong_instance: false },
        "replaced" => AttemptEnd::NotExecuted { status: 421, load, wrong_instance: true },
        "unsent" => AttemptEnd::NotSent,
        "broken" => AttemptEnd::Broken,
        "midway" => AttemptEnd::BrokenMidway,
        "garbled" => AttemptEnd::Garbled,
        "cancelled" => AttemptEnd::Cancelled,
        other => panic!("{place}: no end {other}"),
    }
}

fn told(made: &[Made]) -> String {
    let lines: Vec<String> = made.iter().map(|made| format!("{:?} {:?}", made.at, made.decision)).collect();
    lines.join("; ")
}
