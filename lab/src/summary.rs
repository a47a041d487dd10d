//! What a run came to, in figures: `summary.json`. Its form is versioned; fields are added, never changed.

use crate::audit::{Breach, Fate, Message, Record, Verdict};
use crate::event::CallEnd;
use crate::experiment::Experiment;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const SCHEMA: u32 = 1;

/// Of the times from a message's first hand-in to its delivery, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    pub name: String,
    pub asked: u64,
    pub delivered: u64,
    /// Of the worth asked for.
    pub worth: f64,
    pub latency: Latency,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Destination {
    pub calls: u64,
    pub delivered: u64,
    pub refused: u64,
    pub connections: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Courier {
    pub lives: u64,
    /// The most that was held at once.
    pub memory_mb: f64,
    pub descriptors: u64,
    pub disk_mb: f64,
    /// Seconds of processor time, over all lives.
    pub cpu: f64,
}

/// One second of the load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    pub asked: u64,
    /// Of the messages first handed in then.
    pub delivered: u64,
    /// Messages delivered then, whenever they were handed in.
    pub done: u64,
    pub worth_asked: f64,
    pub worth: f64,
    /// Calls, refusals and new connections then.
    pub calls: u64,
    pub refused: u64,
    pub connections: u64,
    /// Of the messages delivered then.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// How service came back after the last time that all couriers were killed at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Return {
    /// Seconds of the load before it.
    pub at: f64,
    /// Messages delivered a second before it, the median.
    pub before: f64,
    /// Seconds until as many as nine tenths of that are delivered in one; none if they never were.
    pub back_after: Option<f64>,
    /// Calls that endpoints refused in the seconds after it.
    pub refused: u64,
}

/// Seconds after a herd's return in which refused calls count, and before it that tell how it was.
const RETURN_SECONDS: usize = 10;
/// Of the goodput of before.
const RETURNED: f64 = 0.9;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    pub schema: u32,
    pub experiment: String,
    pub seed: u64,
    /// Of the world that was drawn.
    pub digest: String,
    pub seconds: f64,
    pub messages: u64,
    /// Under any id.
    pub taken: u64,
    pub refused: u64,
    pub unanswered: u64,
    pub given_up: u64,
    pub delivered: u64,
    pub notices: BTreeMap<String, u64>,
    /// Of the worth asked for.
    pub worth: f64,
    pub latency: Latency,
    /// From hand-in to the courier's answer, in milliseconds.
    pub answer: Latency,
    pub classes: Vec<Class>,
    pub destinations: Vec<Destination>,
    pub couriers: Vec<Courier>,
    pub by_second: Vec<Second>,
    /// After a herd was killed, if one was.
    #[serde(default)]
    pub returned: Option<Return>,
    /// At the 99th percentile: arrivals, answers.
    pub lab_late_us: [u64; 2],
    /// By rule, how often it was broken, and the first breaches.
    pub broken: BTreeMap<String, Broken>,
    /// What did not hold; empty where all did.
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Broken {
    pub count: usize,
    pub first: Vec<Breach>,
}

/// Breaches of a rule that are told one by one.
const BREACHES_TOLD: usize = 5;

struct Times(Histogram<u64>);

impl Times {
    fn new() -> Self {
        Times(Histogram::new(3).expect("three digits"))
    }

    /// In microseconds.
    fn add(&mut self, time: u64) {
        // It grows with what it is told.
        let _ = self.0.record(time.max(1));
    }

    fn at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn latency(&self) -> Latency {
        if self.0.is_empty() {
            return Latency::default();
        }
        Latency {
            count: self.0.len(),
            p50: self.at(0.5),
            p90: self.at(0.9),
            p99: self.at(0.99),
            p999: self.at(0.999),
            max: self.0.max() as f64 / 1000.0,
        }
    }
}

/// The share of its worth that a message has, delivered after so many seconds.
fn worth(class: &crate::event::ClassTerms, after: f64) -> f64 {
    if after <= class.aim {
        return 1.0;
    }
    if after > class.deadline {
        return 0.0;
    }
    let late = (after - class.aim) / (class.deadline - class.aim).max(1e-9);
    1.0 - (1.0 - class.late_share) * late
}

/// One message under all its ids.
struct Whole {
    first: u64,
    class: usize,
    delivered: Option<u64>,
}

impl Summary {
    pub fn new(record: &Record, verdict: &Verdict, experiment: &Experiment) -> Self {
        let mut whole: BTreeMap<usize, Whole> = BTreeMap::new();
        let wanted = record.wanted.iter();
        whole.extend(
            wanted.map(|(n, (at, class))| (*n, Whole { first: *at, class: *class, delivered: None })),
        );
        for m in record.messages.values() {
            let Some(of) = whole.get_mut(&m.message) else { continue };
            of.delivered = [of.delivered, delivered(record, m)].into_iter().flatten().min();
        }
        let seconds = (record.unloaded.saturating_sub(record.loaded)).div_ceil(1_000_000).max(1) as usize;
        let second = |at: u64| ((at.saturating_sub(record.loaded) / 1_000_000) as usize).min(seconds - 1);
        let mut by_second = vec![Second::default(); seconds];
        let mut times_of: Vec<_> = (0..seconds).map(|_| None::<Times>).collect();
        let mut classes: Vec<_> = record.terms.classes.iter().map(|c| (c, 0, 0, 0.0, Times::new())).collect();
        let (mut all, mut asked_worth, mut got_worth) = (Times::new(), 0.0, 0.0);
        for m in whole.values() {
            let (class, asked, got, sum, times) = &mut classes[m.class];
            let at = &mut by_second[second(m.first)];
            *asked += 1;
            at.asked += 1;
            at.worth_asked += class.worth;
            asked_worth += class.worth;
            let Some(delivered) = m.delivered else { continue };
            let took = delivered.saturating_sub(m.first);
            let earned = class.worth * worth(class, took as f64 / 1e6);
            *got += 1;
            *sum += earned;
            got_worth += earned;
            at.delivered += 1;
            at.worth += earned;
            times.add(took);
            all.add(took);
            by_second[second(delivered)].done += 1;
            times_of[second(delivered)].get_or_insert_with(Times::new).add(took);
        }
        for (second, times) in by_second.iter_mut().zip(&times_of) {
            if let Some(times) = times {
                (second.p50_ms, second.p99_ms) = (times.at(0.5), times.at(0.99));
            }
        }
        let count = record.terms.endpoints.iter().map(|e| e.destination + 1).max().unwrap_or(0);
        let mut destinations = vec![Destination::default(); count];
        let place = |endpoint: usize| record.terms.endpoints[endpoint].destination;
        for call in &record.calls {
            let (there, then) = (&mut destinations[place(call.endpoint)], &mut by_second[second(call.at)]);
            there.calls += 1;
            then.calls += 1;
            there.delivered += u64::from(call.delivered().is_some());
            if let Some((_, CallEnd::Answered { status: 429 | 503, .. })) = call.end {
                there.refused += 1;
                then.refused += 1;
            }
        }
        for (at, endpoint) in &record.connected {
            destinations[place(*endpoint)].connections += 1;
            by_second[second(*at)].connections += 1;
        }
        let fates = |of: fn(&Fate) -> bool| {
            record.messages.values().filter_map(|m| m.fate).filter(|(_, f)| of(f)).count() as u64
        };
        let mut answer = Times::new();
        for m in record.messages.values() {
            if let Some((at, Fate::Answered { .. })) = m.fate {
                answer.add(at.saturating_sub(m.offered));
            }
        }
        let returned = returned(record, &by_second);
        let mut notices: BTreeMap<String, u64> = BTreeMap::new();
        let told = record.messages.values().filter_map(|m| m.notices.first());
        told.for_each(|n| *notices.entry(n.result.clone()).or_default() += 1);
        let broken: BTreeMap<String, Broken> = verdict
            .broken()
            .map(|(rule, b)| {
                let first = b.iter().take(BREACHES_TOLD).cloned().collect();
                (rule.to_owned(), Broken { count: b.len(), first })
            })
            .collect();
        let classes = classes.into_iter().map(|(class, asked, delivered, sum, times)| Class {
            name: class.name.clone(),
            asked,
            delivered,
            worth: sum / (class.worth * f64::max(asked as f64, 1.0)),
            latency: times.latency(),
        });
        let mut summary = Summary {
            schema: SCHEMA,
            experiment: record.experiment.clone(),
            seed: record.seed,
            digest: record.digest.clone(),
            seconds: record.unloaded.saturating_sub(record.loaded) as f64 / 1e6,
            messages: whole.len() as u64,
            taken: fates(|f| matches!(f, Fate::Answered { status: 200 | 202, .. })),
            refused: fates(|f| matches!(f, Fate::Answered { status: 429 | 503, .. })),
            unanswered: fates(|f| matches!(f, Fate::Unanswered { .. })),
            given_up: fates(|f| *f == Fate::GivenUp),
            delivered: whole.values().filter(|m| m.delivered.is_some()).count() as u64,
            notices,
            worth: got_worth / f64::max(asked_worth, 1e-9),
            latency: all.latency(),
            answer: answer.latency(),
            classes: classes.collect(),
            destinations,
            couriers: couriers(record),
            by_second,
            returned,
            lab_late_us: record.late,
            broken,
            failed: Vec::new(),
        };
        summary.failed = summary.missed(experiment);
        summary
    }

    /// What the experiment expects and the run did not keep.
    fn missed(&self, experiment: &Experiment) -> Vec<String> {
        let expect = &experiment.expect;
        let broken = self.broken.iter().filter(|(rule, _)| !expect.may_break.contains(rule));
        let mut missed: Vec<_> =
            broken.map(|(rule, b)| format!("rule {rule} broken {} times", b.count)).collect();
        let refused = self.refused as f64 / (self.messages as f64).max(1.0);
        let bounds = [
            ("worth", expect.worth_least, self.worth, true),
            ("refused", expect.refused_most, refused, false),
            ("p99 in ms", expect.p99_ms_most, self.latency.p99, false),
        ];
        for (what, bound, value, least) in bounds {
            let Some(bound) = bound else { continue };
            if (value < bound) == least && value != bound {
                let word = if least { "at least" } else { "at most" };
                missed.push(format!("{what} is {value:.3}, has to be {word} {bound}"));
            }
        }
        missed
    }
}

/// Messages delivered a second, the median.
fn usual(seconds: &[Second]) -> Option<f64> {
    let mut done: Vec<_> = seconds.iter().map(|s| s.done).collect();
    done.sort_unstable();
    done.get(done.len() / 2).map(|done| *done as f64)
}

fn returned(record: &Record, seconds: &[Second]) -> Option<Return> {
    let herd = record.steps.iter().rev().find(|(_, text)| text == "Kill")?.0.saturating_sub(record.loaded);
    let at = (herd / 1_000_000) as usize;
    let before = usual(&seconds[at.saturating_sub(RETURN_SECONDS)..at])?;
    let after = seconds.get(at + 1..)?;
    let back = after.iter().position(|s| s.done as f64 >= before * RETURNED);
    Some(Return {
        at: herd as f64 / 1e6,
        before,
        back_after: back.map(|n| (at + 2 + n) as f64 - herd as f64 / 1e6),
        refused: after.iter().take(RETURN_SECONDS).map(|s| s.refused).sum(),
    })
}

/// When a message was first delivered under this id, where it still counted.
fn delivered(record: &Record, message: &Message) -> Option<u64> {
    message.taken()?;
    message.calls.iter().filter_map(|n| record.calls[*n].delivered()).min()
}

fn couriers(record: &Record) -> Vec<Courier> {
    let mut all = Vec::new();
    for (courier, lives) in &record.lives {
        let mut of = Courier { lives: lives.len() as u64, ..Courier::default() };
        let mut cpu: BTreeMap<u32, u64> = BTreeMap::new();
        for s in record.samples.iter().filter(|s| s.courier == *courier) {
            of.memory_mb = of.memory_mb.max(s.rss as f64 * 1.024e-3);
            of.descriptors = of.descriptors.max(s.descriptors);
            of.disk_mb = of.disk_mb.max(s.disk as f64 / 1e6);
            let most = cpu.entry(s.life).or_default();
            *most = s.cpu.max(*most);
        }
        of.cpu = cpu.values().sum::<u64>() as f64 / 1000.0;
        all.push(of);
    }
    all
}

impl Summary {
    /// Messages delivered a second while the load went on: the median of its seconds but the first and last.
    pub fn goodput(&self, seconds: f64) -> f64 {
        let within = 1..(seconds.floor() as usize).saturating_sub(1);
        usual(self.by_second.get(within).unwrap_or_default()).unwrap_or(0.0)
    }

    /// For people: a few lines.
    pub fn text(&self) -> String {
        let mut lines = vec![format!(
            "{} seed {} world {}: {} messages in {:.1} s, {:.1}% delivered, worth {:.3}",
            self.experiment,
            self.seed,
            self.digest,
            self.messages,
            self.seconds,
            100.0 * self.delivered as f64 / (self.messages as f64).max(1.0),
            self.worth,
        )];
        for class in &self.classes {
            let l = &class.latency;
            lines.push(format!(
                "  {}: {} of {} delivered, worth {:.3}; ms p50 {:.1} p99 {:.1} max {:.1}",
                class.name, class.delivered, class.asked, class.worth, l.p50, l.p99, l.max
            ));
        }
        let bounced: u64 = self.notices.get("bounced").copied().unwrap_or(0);
        let dead: u64 = self.notices.get("dead").copied().unwrap_or(0);
        lines.push(format!(
            "  taken {}, refused {}, bounced {bounced}, dead {dead}, no answer {}, given up {}; answer ms p50 {:.1} \
             p99 {:.1}",
            self.taken, self.refused, self.unanswered, self.given_up, self.answer.p50, self.answer.p99
        ));
        let sum = |of: fn(&Destination) -> u64| self.destinations.iter().map(of).sum::<u64>();
        let most = |of: fn(&Courier) -> f64| self.couriers.iter().map(of).fold(0.0, f64::max);
        lines.push(format!(
            "  calls {}, refused there {}, connections {}; at most {:.1} MB, {} descriptors, {:.2} MB on disk; cpu {:.2} s",
            sum(|d| d.calls),
            sum(|d| d.refused),
            sum(|d| d.connections),
            most(|c| c.memory_mb),
            most(|c| c.descriptors as f64),
            most(|c| c.disk_mb),
            self.couriers.iter().map(|c| c.cpu).sum::<f64>(),
        ));
        let [arrivals, answers] = self.lab_late_us;
        lines.push(format!("  the lab's own lateness, p99: arrivals {arrivals} us, answers {answers} us"));
        for (rule, broken) in &self.broken {
            lines.push(format!("  rule {rule} broken {} times", broken.count));
            for b in &broken.first {
                lines.push(format!("    {:.3} s: {}", b.at as f64 / 1e6, b.what));
            }
        }
        for failed in &self.failed {
            lines.push(format!("  does not hold: {failed}"));
        }
        if self.failed.is_empty() {
            lines.push("  holds".to_owned());
        }
        lines.join("\n")
    }
}
