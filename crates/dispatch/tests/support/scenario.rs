//! The interpreter of the scenario files, in simulated time.
//!
//! A line is a comment (`#`), a setting (`settings`, `route`, `service`), `sleep`, an action that begins with its time
//! in ms, or an expectation (`->`). Expectations list all decisions since the last ones, in order; `-> nothing` states
//! that there were none, and `-> any` accepts all. Words of the form `name=value` are optional parameters.

use super::{engine, generation, instance, ms, request};
use lanegate_config::configuration::{Configuration, RouteType};
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::{Instance, InstanceState};
use lanegate_dispatch::interface::{AttemptEnd, Decision, InstanceLoad, Progress, Request, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A decision with its time.
struct TimedDecision {
    at: Duration,
    decision: Decision,
}

/// The words of a line: positional ones in order, and named values.
struct ScenarioLine<'a> {
    positional: Vec<&'a str>,
    named: BTreeMap<&'a str, &'a str>,
}

impl<'a> ScenarioLine<'a> {
    fn of(line: &'a str) -> Self {
        let mut parsed = ScenarioLine { positional: Vec::new(), named: BTreeMap::new() };
        for word in line.split_whitespace() {
            match word.split_once('=') {
                Some((name, value)) => drop(parsed.named.insert(name, value)),
                None => parsed.positional.push(word),
            }
        }
        parsed
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.named.get(name).copied()
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.text(name)
            .map(|value| value.parse().unwrap_or_else(|_| panic!("{name}={value} is not a number")))
    }

    fn integer(&self, name: &str) -> Option<u64> {
        self.number(name).map(|value| value as u64)
    }
}

/// Runs one scenario; panics with the line of the first expectation that is not met.
pub(crate) fn run(name: &str, text: &str) {
    let mut runner = Runner::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let location = format!("{name}:{}: {line}", number + 1);
        runner.step(&location, line);
    }
    assert!(
        runner.decisions.is_empty(),
        "{name}: decisions that no line expects: {}",
        describe(&runner.decisions)
    );
}

struct Runner {
    settings: DispatchSettings,
    dispatcher: Option<Dispatcher>,
    routes: Vec<String>,
    services: Vec<String>,
    templates: BTreeMap<String, Request>,
    instances: BTreeMap<String, Instance>,
    decisions: Vec<TimedDecision>,
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
            decisions: Vec::new(),
            now: Duration::ZERO,
        }
    }

    fn step(&mut self, location: &str, line: &str) {
        if let Some(expected) = line.strip_prefix("->") {
            return self.expect(location, &ScenarioLine::of(expected));
        }
        let parsed = ScenarioLine::of(line);
        match parsed.positional[0] {
            "settings" => self.settings(&parsed),
            "route" => self.route(&parsed),
            "service" => self.service(&parsed),
            "sleep" => self.sleep(ms(parsed.positional[1].parse().expect("a time"))),
            at => {
                let at = at.parse().unwrap_or_else(|_| panic!("{location}: the time in ms is missing"));
                self.advance(ms(at));
                self.act(location, &parsed);
            }
        }
    }

    fn settings(&mut self, parsed: &ScenarioLine) {
        let bounds = &mut self.settings.bounds;
        bounds.retry_slack = parsed.number("slack").unwrap_or(bounds.retry_slack);
        bounds.retry_ratio = parsed.number("ratio").unwrap_or(bounds.retry_ratio);
        bounds.retry_window_s = parsed.number("window").unwrap_or(bounds.retry_window_s);
    }

    fn route(&mut self, parsed: &ScenarioLine) {
        let name = parsed.positional[1];
        let target = parsed.integer("aim").unwrap_or(300);
        let gap = parsed.number("gap").map(|gap| format!(r#","gap_aim_ms":{gap}"#)).unwrap_or_default();
        self.routes.push(format!(
            r#"{{"Name":"{name}","Hostname":"h","PathPrefix":"/{name}/","TimeoutMs":5000{gap}}}"#
        ));
        let template = Request {
            route: name.into(),
            backend: parsed.text("service").unwrap_or("tiles").into(),
            route_type: match parsed.text("type") {
                Some("idempotent") => RouteType::Idempotent,
                Some("streaming") => RouteType::Streaming,
                _ => RouteType::NonIdempotent,
            },
            resumable: parsed.text("resumable") == Some("yes"),
            max_attempts: parsed.integer("attempts").unwrap_or(2) as u32,
            priority: parsed.integer("priority").unwrap_or(1) as u8,
            target: ms(target),
            deadline: ms(parsed.integer("deadline").unwrap_or(1_500)),
            ..request(0, 0)
        };
        self.templates.insert(name.to_owned(), template);
    }

    fn service(&mut self, parsed: &ScenarioLine) {
        let name = parsed.positional[1];
        let runtime = parsed.integer("memory").map(|memory| {
            let models = parsed.text("models").unwrap_or_default().split(',');
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

    /// Advances the time, and wakes the dispatcher at the times that it requests.
    fn advance(&mut self, to: Duration) {
        assert!(to >= self.now, "time goes back to {to:?}");
        while let Some(at) = self.dispatcher().next_wake().filter(|&at| at <= to) {
            let at = at.max(self.now);
            self.now = at;
            self.dispatcher().wake(at);
            self.collect();
            let next = self.dispatcher().next_wake();
            assert!(
                next.is_none_or(|next| next > at),
                "a wake-up at {at:?} requests the next one at {next:?}"
            );
        }
        self.now = to;
    }

    /// Simulates a stall of the process until `to`: timers fire late.
    fn sleep(&mut self, to: Duration) {
        self.now = to;
        self.dispatcher().wake(to);
        self.collect();
    }

    fn collect(&mut self) {
        let at = self.now;
        let decisions = self.dispatcher().take_decisions();
        self.decisions.extend(decisions.into_iter().map(|decision| TimedDecision { at, decision }));
    }

    fn act(&mut self, location: &str, parsed: &ScenarioLine) {
        let now = self.now;
        let name = parsed.positional.get(2).copied().unwrap_or_default();
        match parsed.positional[1] {
            "passes" => {}
            "synchronized" => self.dispatcher().apply(now, &FeedEvent::Synchronized),
            "routers" => {
                let live = name.parse().expect("a count");
                self.dispatcher().apply(now, &FeedEvent::Routers { live });
            }
            "instance" => {
                let event = FeedEvent::Instance(self.instance(name, parsed));
                self.dispatcher().apply(now, &event);
            }
            "removed" => self.dispatcher().apply(now, &FeedEvent::Removed { id: name.to_owned() }),
            "submit" => {
                let request = self.request(parsed);
                self.dispatcher().submit(now, request);
            }
            "cancel" => self.dispatcher().cancel(now, id_of(name)),
            "head" | "first" => {
                let progress = match parsed.positional[1] {
                    "head" => Progress::Head { load: load_of(parsed) },
                    _ => Progress::FirstByte,
                };
                self.dispatcher().progress(now, id_of(name), attempt_of(parsed), progress);
            }
            "end_by" => {
                let end = ms(name.parse().expect("a time"));
                self.dispatcher().begin_shutdown(now, end);
            }
            "ended" => {
                let end = end_of(location, parsed);
                self.dispatcher().ended(now, id_of(name), attempt_of(parsed), end);
            }
            other => panic!("{location}: unknown action {other}"),
        }
        self.collect();
    }

    /// Builds a registration. Values that the line does not set are taken from the previous one of the instance.
    fn instance(&mut self, id: &str, parsed: &ScenarioLine) -> Instance {
        let is_engine = parsed.named.contains_key("models");
        let fresh = || if is_engine { engine(id, &[]) } else { instance(id) };
        let mut registered = self.instances.remove(id).unwrap_or_else(fresh);
        registered.sequence = parsed.integer("sequence").unwrap_or(registered.sequence + 1);
        registered.zone = parsed.text("zone").map_or(registered.zone, str::to_owned);
        registered.backend = parsed.text("service").map_or(registered.backend, str::to_owned);
        registered.capacity =
            parsed.integer("capacity").map_or(registered.capacity, |capacity| capacity as u32);
        registered.remaining_ms = parsed.number("remaining").or(registered.remaining_ms);
        if let Some(models) = parsed.text("models") {
            let models = models.split(',').filter(|model| !model.is_empty());
            registered.models = models.map(super::resident_model).collect();
        }
        registered.state = match parsed.text("state") {
            Some("draining") => InstanceState::Draining,
            Some(_) => InstanceState::Ready,
            None => registered.state,
        };
        self.instances.insert(id.to_owned(), registered.clone());
        registered
    }

    fn request(&self, parsed: &ScenarioLine) -> Request {
        let number = parsed.positional[2].parse().expect("a number");
        let template = &self.templates[parsed.text("route").expect("a route")];
        let requested = parsed.text("model").map(|text| {
            let (model, adapter) =
                text.split_once('/').map_or((text, None), |(model, name)| (model, Some(name)));
            let parts: Vec<(u64, u32)> =
                parsed.text("parts").unwrap_or("1:100").split(',').map(part_of).collect();
            let mut requested = generation(0, 0, model, &parts).generation.expect("a generation");
            requested.adapter = adapter.map(Into::into);
            requested.output_tokens =
                parsed.integer("output").map_or(requested.output_tokens, |tokens| tokens as u32);
            requested
        });
        Request {
            id: RequestId(number),
            arrived: self.now,
            target: self.now + template.target,
            deadline: self.now + template.deadline,
            generation: requested,
            ..template.clone()
        }
    }

    fn expect(&mut self, location: &str, parsed: &ScenarioLine) {
        self.collect();
        match parsed.positional[0] {
            "any" => return self.decisions.clear(),
            "nothing" => {
                return assert!(
                    self.decisions.is_empty(),
                    "{location}: expected no decision, got {}",
                    describe(&self.decisions)
                );
            }
            _ => {}
        }
        assert!(!self.decisions.is_empty(), "{location}: no decision was made");
        let next = self.decisions.remove(0);
        let met = matches_expectation(&next, parsed);
        assert!(
            met,
            "{location}: got {} (remaining: {})",
            describe(std::slice::from_ref(&next)),
            describe(&self.decisions)
        );
    }
}

fn matches_expectation(timed: &TimedDecision, parsed: &ScenarioLine) -> bool {
    let id = id_of(parsed.positional[1]);
    let in_time = parsed.text("at").is_none_or(|range| within(range, timed.at));
    let as_expected = match (parsed.positional[0], &timed.decision) {
        ("send", Decision::Send { request, attempt, instance, engine_priority, resume, .. }) => {
            let instance_fits =
                parsed.positional.get(2).is_none_or(|&name| name == "*" || name == &**instance);
            *request == id
                && instance_fits
                && parsed.integer("attempt").is_none_or(|expected| expected == u64::from(*attempt))
                && parsed.integer("priority").is_none_or(|expected| expected == u64::from(*engine_priority))
                && parsed.text("resume").is_none_or(|expected| (expected == "yes") == *resume)
        }
        ("refuse", Decision::Refuse { request, retry_after }) => {
            *request == id && parsed.text("after").is_none_or(|range| within(range, *retry_after))
        }
        ("fail", Decision::Fail { request, reason }) => {
            let reason = format!("{reason:?}");
            *request == id && parsed.positional.get(2).is_none_or(|&expected| expected == reason)
        }
        _ => false,
    };
    in_time && as_expected
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

fn attempt_of(parsed: &ScenarioLine) -> u32 {
    parsed.integer("attempt").unwrap_or(1) as u32
}

fn load_of(parsed: &ScenarioLine) -> Option<InstanceLoad> {
    let mut figures = parsed.text("load")?.split(',').map(|figure| figure.parse().expect("a figure"));
    let mut next = || figures.next().expect("three figures");
    Some(InstanceLoad { running: next(), waiting: next(), slots: next() })
}

fn end_of(location: &str, parsed: &ScenarioLine) -> AttemptEnd {
    let load = load_of(parsed);
    match parsed.positional[3] {
        "answered" => AttemptEnd::Answered { success: true, load },
        "erred" => AttemptEnd::Answered { success: false, load },
        "full" => AttemptEnd::NotExecuted { status: 503, load, wrong_instance: false },
        "missing" => AttemptEnd::NotExecuted { status: 421, load, wrong_instance: false },
        "replaced" => AttemptEnd::NotExecuted { status: 421, load, wrong_instance: true },
        "unsent" => AttemptEnd::NotSent,
        "broken" => AttemptEnd::Broken,
        "midway" => AttemptEnd::BrokenMidway,
        "garbled" => AttemptEnd::InvalidResponse,
        "cancelled" => AttemptEnd::Cancelled,
        other => panic!("{location}: unknown end {other}"),
    }
}

fn describe(decisions: &[TimedDecision]) -> String {
    let lines: Vec<String> =
        decisions.iter().map(|timed| format!("{:?} {:?}", timed.at, timed.decision)).collect();
    lines.join("; ")
}
