//! The auditor is shown to work: a clean record breaks no rule, and for each rule a record doctored to break
//! just that one is caught by it and by no other.

use super::{RULES, Record, judge};
use crate::event::{CallEnd, ClassTerms, Effect, EndpointTerms, Event, Health, SCHEMA, Scope, Terms, What};
use std::collections::BTreeSet;

const MS: u64 = 1000;

fn terms() -> Terms {
    let class = |name: &str, effect| ClassTerms {
        name: name.to_owned(),
        aim: 1.0,
        deadline: 5.0,
        worth: 1.0,
        late_share: 0.0,
        effect,
    };
    let endpoint = |host: &str, destination, zone: &str| EndpointTerms {
        host: host.to_owned(),
        destination,
        zone: zone.to_owned(),
    };
    Terms {
        classes: vec![
            class("once", Effect::Once),
            class("keyed", Effect::ByKey { ttl: 2.0, scope: Scope::Zone }),
            class("again", Effect::Repeatable),
        ],
        attempts_most: 3,
        drain_grace: 1.0,
        fall_span: 2.0,
        sockets: 100,
        memory_mb: 50.0,
        disk_mb: 1.0,
        endpoints: vec![endpoint("s0", 0, "a"), endpoint("s1", 0, "b"), endpoint("s2", 1, "a")],
    }
}

/// A record that is being made up.
struct Tale {
    events: Vec<Event>,
    calls: u64,
}

const FULL: CallEnd = CallEnd::Answered { status: 503, wait_ms: None, heard: true };
const OK: CallEnd = CallEnd::Answered { status: 200, wait_ms: None, heard: true };

impl Tale {
    /// Two couriers that serve, are each told of all endpoints, and end as planned at 60 s.
    fn clean() -> Self {
        let mut tale = Tale { events: Vec::new(), calls: 0 };
        let (experiment, digest) = ("tale".to_owned(), String::new());
        tale.at(0, What::Begin { schema: SCHEMA, experiment, seed: 1, digest, terms: terms() });
        for courier in 0..2 {
            tale.at(10, What::Started { courier, life: 1, pid: 1 });
            tale.at(90, What::Ready { courier, life: 1 });
            (0..3).for_each(|n| tale.told(10, courier, n, Health::Ready));
            for n in 0..200 {
                tale.sample(100 + n * 300, courier, 20_000, 50, 4096);
            }
            tale.at(60_100, What::Signalled { courier, life: 1, signal: "TERM".to_owned() });
            tale.exit(60_200, courier, 1, Some(0), None, true);
        }
        tale.at(100, What::Loaded);
        tale.at(60_000, What::Unloaded);
        // One of each class is delivered; one is delivered after a refusal, one ends by a notice.
        for class in 0..3 {
            tale.taken(&format!("clean{class}"), 1000, 0, class);
            tale.call(&format!("clean{class}"), 1010, 0, 0, 1050, OK);
        }
        tale.taken("second", 2000, 1, 0);
        tale.call("second", 2010, 1, 1, 2020, FULL);
        tale.call("second", 2100, 1, 0, 2150, OK);
        tale.taken("bounced", 3000, 0, 0);
        tale.notice(3500, 0, "bounced", "bounced", Some(500));
        tale.offer("refused", 4000, 0, 2);
        tale.answer("refused", 4010, 0, 429, Some(300));
        tale.at(
            5000,
            What::Rude { courier: 0, kind: "x".to_owned(), took: 90 * MS, status: Some(400), ended: true },
        );
        tale.operated(5000, 0, "POST /control/in-service", 20, Some(200));
        tale
    }

    /// In milliseconds.
    fn at(&mut self, ms: u64, what: What) {
        self.events.push(Event(ms * MS, what));
    }

    fn told(&mut self, ms: u64, courier: usize, endpoint: usize, health: Health) {
        self.at(ms, What::Told { courier, endpoint, health });
    }

    fn sample(&mut self, ms: u64, courier: usize, rss: u64, descriptors: u64, disk: u64) {
        self.at(ms, What::Sampled { courier, life: 1, rss, descriptors, disk, cpu: 0 });
    }

    fn exit(
        &mut self,
        ms: u64,
        courier: usize,
        life: u32,
        code: Option<i32>,
        signal: Option<i32>,
        told: bool,
    ) {
        self.at(ms, What::Exited { courier, life, code, signal, told });
    }

    fn operated(&mut self, ms: u64, courier: usize, call: &str, took: u64, status: Option<u16>) {
        self.at(ms, What::Operated { courier, call: call.to_owned(), took: took * MS, status });
    }

    fn offer(&mut self, id: &str, ms: u64, courier: usize, class: usize) {
        let (message, left) = (self.events.len(), 5_000 * MS);
        let id = id.to_owned();
        self.at(
            ms,
            What::Offered {
                id,
                message,
                courier,
                class,
                tenant: 0,
                destination: 0,
                left,
                body: 7,
                key: None,
            },
        );
    }

    fn answer(&mut self, id: &str, ms: u64, courier: usize, status: u16, again_ms: Option<u64>) {
        self.at(ms, What::Answered { id: id.to_owned(), courier, status, again_ms });
    }

    fn taken(&mut self, id: &str, ms: u64, courier: usize, class: usize) {
        self.offer(id, ms, courier, class);
        self.answer(id, ms + 2, courier, 202, None);
    }

    fn call(&mut self, id: &str, ms: u64, courier: usize, endpoint: usize, ended: u64, end: CallEnd) {
        self.call_with(id, ms, courier, endpoint, 7);
        self.at(ended, What::CallEnded { call: self.calls, end });
    }

    fn call_with(&mut self, id: &str, ms: u64, courier: usize, endpoint: usize, body: u64) {
        self.calls += 1;
        let (call, id, first) = (self.calls, id.to_owned(), ms * MS);
        self.at(ms, What::Called { call, id, endpoint, courier, first, body, key: None });
    }

    fn notice(&mut self, ms: u64, courier: usize, id: &str, result: &str, wait_ms: Option<u64>) {
        self.at(ms, What::Noticed { courier, id: id.to_owned(), result: result.to_owned(), wait_ms });
    }

    fn damaged(&mut self, ms: u64, kind: &str, lost: &[&str], told: bool) {
        let lost = lost.iter().map(|id| (*id).to_owned()).collect();
        let told = told.then(|| "damaged: some place".to_owned()).into_iter().collect();
        self.at(ms, What::Damaged { courier: 0, kind: kind.to_owned(), lost, told });
    }

    fn broken(mut self) -> BTreeSet<String> {
        self.at(61_000, What::Ended { arrivals_late: 0, answers_late: 0 });
        self.events.sort_by_key(|e| e.0);
        let record = Record::new(&self.events).expect("it is whole");
        judge(&record).broken().map(|(rule, _)| rule.to_owned()).collect()
    }
}

/// A name, and what is done to a clean record.
type Mutant = (&'static str, fn(&mut Tale));

/// Each breaks the rule that it names, in one way.
const MUTANTS: &[Mutant] = &[
    ("final", |t| t.taken("m", 10_000, 0, 0)),
    ("final", |t| {
        t.taken("m", 10_000, 0, 0);
        t.notice(15_400, 0, "m", "dead", None);
    }),
    ("final", |t| {
        // An answer that did not get through delivers nothing.
        t.taken("m", 10_000, 0, 0);
        t.call("m", 10_010, 0, 0, 10_050, CallEnd::Answered { status: 200, wait_ms: None, heard: false });
    }),
    ("final", |t| {
        // Another message's bytes were destroyed.
        t.taken("m", 10_000, 0, 0);
        t.damaged(10_500, "journal flipped", &["n"], true);
    }),
    ("final", |t| {
        // Its own were, and the courier has not told.
        t.taken("m", 10_000, 0, 0);
        t.damaged(10_500, "journal flipped", &["m"], false);
    }),
    ("final", |t| {
        // They were before it was taken on.
        t.damaged(9_500, "journal flipped", &["m"], true);
        t.taken("m", 10_000, 0, 0);
    }),
    ("one-end", |t| {
        t.taken("m", 10_000, 0, 0);
        t.notice(11_000, 0, "m", "dead", None);
        t.notice(11_100, 0, "m", "bounced", Some(500));
    }),
    ("one-end", |t| {
        t.taken("m", 10_000, 0, 0);
        t.call("m", 10_010, 0, 0, 10_500, CallEnd::Left);
        t.notice(11_000, 0, "m", "bounced", Some(500));
    }),
    ("ended", |t| {
        t.taken("m", 10_000, 0, 2);
        t.notice(11_000, 0, "m", "dead", None);
        t.call("m", 11_100, 0, 0, 11_200, OK);
    }),
    ("repeat", |t| {
        t.taken("m", 10_000, 0, 0);
        t.call("m", 10_010, 0, 0, 10_500, CallEnd::Reset);
        t.call("m", 10_600, 0, 1, 10_700, OK);
    }),
    ("repeat", |t| {
        t.taken("m", 10_000, 0, 1);
        t.call("m", 10_010, 0, 0, 10_500, CallEnd::Left);
        t.call("m", 12_100, 0, 0, 12_200, OK);
    }),
    ("repeat", |t| {
        // Keys are known in their zone alone, and the other endpoint is of another.
        t.taken("m", 10_000, 0, 1);
        t.call("m", 10_010, 0, 0, 10_500, CallEnd::Left);
        t.call("m", 10_600, 0, 1, 10_700, OK);
    }),
    ("two-out", |t| {
        t.taken("m", 10_000, 0, 2);
        t.call("m", 10_010, 0, 0, 10_900, CallEnd::Left);
        t.call("m", 10_500, 0, 1, 10_700, OK);
    }),
    ("attempts", |t| {
        t.taken("m", 10_000, 0, 2);
        for n in 0..4 {
            t.call("m", 10_100 + n * 100, 0, 0, 10_150 + n * 100, if n < 3 { FULL } else { OK });
        }
    }),
    ("listed", |t| {
        t.taken("m", 10_000, 0, 0);
        t.call("m", 10_010, 0, 2, 10_050, OK);
    }),
    ("listed", |t| {
        t.events.retain(|e| !matches!(e.1, What::Told { courier: 1, endpoint: 1, .. }));
    }),
    ("unchanged", |t| {
        t.taken("m", 10_000, 0, 0);
        t.call_with("m", 10_010, 0, 0, 8);
        t.at(10_050, What::CallEnded { call: t.calls, end: OK });
    }),
    ("stranger", |t| t.call("nobody's", 10_010, 0, 0, 10_050, OK)),
    ("stranger", |t| t.notice(10_010, 0, "nobody's", "dead", None)),
    ("drain", |t| {
        t.told(10_000, 0, 0, Health::Draining);
        t.taken("m", 11_000, 0, 0);
        t.call("m", 11_100, 0, 0, 11_150, OK);
    }),
    ("drain", |t| {
        // Nobody wrote it to the courier: it counts as told 6 s later.
        t.at(10_000, What::Changed { endpoint: 0, health: Health::Gone });
        t.taken("m", 17_000, 0, 0);
        t.call("m", 17_100, 0, 0, 17_150, OK);
    }),
    ("drain", |t| {
        t.operated(10_000, 0, "POST /control/endpoints/s0/offline", 20, Some(200));
        t.operated(14_000, 0, "POST /control/endpoints/s0/online", 20, Some(200));
        t.taken("m", 12_000, 0, 0);
        t.call("m", 12_100, 0, 0, 12_150, OK);
    }),
    ("wait", |t| {
        t.taken("m", 10_000, 0, 0);
        t.call("m", 10_010, 0, 0, 10_020, CallEnd::Answered { status: 429, wait_ms: Some(800), heard: true });
        t.taken("n", 10_100, 0, 0);
        t.call("n", 10_400, 0, 1, 10_450, OK);
        t.call("m", 10_900, 0, 0, 10_950, OK);
    }),
    ("cold", |t| {
        t.at(9_000, What::Down { endpoint: 0 });
        t.taken("m", 9_500, 0, 0);
        t.at(10_000, What::Up { endpoint: 0, cold: true });
        t.call("m", 10_100, 0, 0, 10_150, OK);
        t.at(11_000, What::Fell { endpoint: 0, calls: vec![(0, 20), (1, 5)] });
    }),
    ("answered", |t| {
        t.offer("m", 10_000, 0, 0);
        t.at(10_100, What::Unanswered { id: "m".to_owned(), courier: 0, first: false });
    }),
    ("answered", |t| {
        // As the first of its connection it has only failed, but not where that happens to one in seven.
        t.offer("m", 10_000, 0, 0);
        t.at(10_100, What::Unanswered { id: "m".to_owned(), courier: 0, first: true });
    }),
    ("notice", |t| t.notice(10_000, 0, "refused", "dead", None)),
    ("notice", |t| t.at(10_000, What::Unreadable { courier: 0, line: "?".to_owned() })),
    ("come-again", |t| {
        t.offer("m", 10_000, 0, 0);
        t.answer("m", 10_010, 0, 503, None);
    }),
    ("come-again", |t| {
        t.taken("m", 10_000, 0, 0);
        t.notice(10_100, 0, "m", "bounced", None);
    }),
    ("rude", |t| {
        let kind = "nothing".to_owned();
        t.at(10_000, What::Rude { courier: 0, kind, took: 3_500 * MS, status: None, ended: false });
    }),
    ("rude", |t| {
        let kind = "no id".to_owned();
        t.at(10_000, What::Rude { courier: 0, kind, took: 10 * MS, status: Some(202), ended: true });
    }),
    ("operators", |t| t.operated(10_000, 0, "POST /control/out-of-service", 1_200, Some(200))),
    ("operators", |t| t.operated(10_000, 0, "POST /control/out-of-service", 1_500, None)),
    ("limits", |t| t.sample(10_000, 0, 20_000, 101, 4096)),
    ("limits", |t| t.sample(10_000, 0, 60_000, 50, 4096)),
    ("limits", |t| t.sample(10_000, 0, 20_000, 50, 2_000_000)),
    ("growth", |t| {
        for Event(at, what) in &mut t.events {
            if let What::Sampled { courier: 0, rss, .. } = what {
                *rss += *at / 2_500;
            }
        }
    }),
    ("growth", |t| {
        for Event(at, what) in &mut t.events {
            if let What::Sampled { courier: 0, descriptors, .. } = what {
                *descriptors = if *at > 45_100 * MS { 90 } else { 8 };
            }
        }
    }),
    ("crash", |t| t.exit(59_000, 1, 1, Some(1), None, false)),
    ("crash", |t| t.exit(60_150, 1, 1, None, Some(11), true)),
];

#[test]
fn a_clean_record_breaks_no_rule() {
    assert_eq!(Tale::clean().broken(), BTreeSet::new());
}

#[test]
fn each_rule_is_caught_on_its_mutants_and_no_other_is() {
    for (n, (rule, doctor)) in MUTANTS.iter().enumerate() {
        let mut tale = Tale::clean();
        doctor(&mut tale);
        assert_eq!(tale.broken(), BTreeSet::from([(*rule).to_owned()]), "mutant {n}, of {rule}");
    }
    let all: BTreeSet<_> = RULES.iter().map(|(rule, _)| *rule).collect();
    let shown: BTreeSet<_> = MUTANTS.iter().map(|(rule, _)| *rule).collect();
    assert_eq!(all, shown, "a rule without a mutant is not shown to work");
}

/// What the pages allow is no breach.
const ALLOWED: &[Mutant] = &[
    ("a notice is not overdue across a restart", |t| {
        t.taken("m", 10_000, 0, 0);
        t.at(14_000, What::Signalled { courier: 0, life: 1, signal: "KILL".to_owned() });
        t.exit(14_010, 0, 1, None, Some(9), true);
        t.at(14_700, What::Started { courier: 0, life: 2, pid: 2 });
        t.at(16_000, What::Ready { courier: 0, life: 2 });
        t.notice(17_400, 0, "m", "dead", None);
    }),
    ("what a lost folder held is handed to others", |t| {
        t.taken("m", 10_000, 0, 0);
        t.damaged(10_500, "folder lost", &[], false);
    }),
    ("what has lost its own bytes, and was told to be damaged", |t| {
        t.taken("m", 10_000, 0, 0);
        t.damaged(10_500, "journal flipped", &["m"], true);
    }),
    ("a call within the grace after a drain", |t| {
        t.told(10_000, 0, 0, Health::Draining);
        t.taken("m", 10_500, 0, 0);
        t.call("m", 11_000, 0, 0, 11_050, OK);
    }),
    ("an endpoint that is ready again", |t| {
        t.told(10_000, 0, 0, Health::Draining);
        t.told(15_000, 0, 0, Health::Ready);
        t.taken("m", 16_000, 0, 0);
        t.call("m", 16_010, 0, 0, 16_050, OK);
    }),
    ("a wait ends with its process", |t| {
        t.taken("m", 10_000, 0, 2);
        t.call(
            "m",
            10_010,
            0,
            0,
            10_020,
            CallEnd::Answered { status: 429, wait_ms: Some(3000), heard: true },
        );
        t.at(10_050, What::Signalled { courier: 0, life: 1, signal: "KILL".to_owned() });
        t.exit(10_060, 0, 1, None, Some(9), true);
        t.at(10_700, What::Started { courier: 0, life: 2, pid: 2 });
        t.at(10_800, What::Ready { courier: 0, life: 2 });
        t.call("m", 10_900, 0, 0, 10_950, OK);
    }),
    ("a repeat while its key is known", |t| {
        t.taken("m", 10_000, 0, 1);
        t.call("m", 10_010, 0, 0, 10_500, CallEnd::Left);
        t.call("m", 11_900, 0, 0, 11_950, OK);
    }),
    ("a client that the end of the process cut off", |t| {
        t.at(10_000, What::Signalled { courier: 0, life: 1, signal: "KILL".to_owned() });
        t.offer("m", 9_990, 0, 0);
        t.at(10_010, What::Unanswered { id: "m".to_owned(), courier: 0, first: true });
        t.exit(10_011, 0, 1, None, Some(9), true);
    }),
    ("one connection in hundreds closed on its first request", |t| {
        for n in 0..200 {
            t.offer(&format!("m{n}"), 10_000 + n, 0, 2);
            let (status, courier) = (429, 0);
            t.answer(&format!("m{n}"), 10_010 + n, courier, status, Some(300));
        }
        t.offer("m", 10_500, 0, 0);
        t.at(10_600, What::Unanswered { id: "m".to_owned(), courier: 0, first: true });
    }),
    ("a cold endpoint pushed over by others", |t| {
        t.at(9_000, What::Down { endpoint: 0 });
        t.at(10_000, What::Up { endpoint: 0, cold: true });
        t.at(11_000, What::Fell { endpoint: 0, calls: vec![(0, 20), (1, 5)] });
    }),
];

#[test]
fn what_the_pages_allow_is_no_breach() {
    for (what, doctor) in ALLOWED {
        let mut tale = Tale::clean();
        doctor(&mut tale);
        assert_eq!(tale.broken(), BTreeSet::new(), "{what}");
    }
}
