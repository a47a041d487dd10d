//! The rules, one function each. Where the pages give a time limit, it is 50 ms longer on sockets.

use super::Breach;
use super::record::{Call, Damaged, Fate, Message, Record, Sample};
use crate::event::{CallEnd, Effect, Health, Scope};
use std::collections::{BTreeMap, HashMap};

const MS: u64 = 1000;
const SLACK: u64 = 50 * MS;
/// An end is owed no later than this after a message's time.
const END_GRACE: u64 = 300 * MS + SLACK;
/// After a restart no notice is overdue until so long after the courier is ready again.
const AFTER_READY: u64 = 1500 * MS;
/// A wait starts when its answer is written; calls within this time are let through.
const WAIT_GRACE: u64 = 100 * MS;
/// Whatever discovery has to tell counts as told so much later.
const TOLD_BY_ITSELF: u64 = 6_000 * MS;
const OPERATORS_OWED: u64 = 1_000 * MS + SLACK;
const RUDE_OWED: u64 = 3_000 * MS + SLACK;
/// Fewer seconds of load than this do not tell whether memory grows.
const GROWTH_SECONDS: u64 = 30;
/// What may be held more in one quarter of the load than in the one before: a share, and beside it so many
/// KiB of memory and so many descriptors.
const GROWTH: f64 = 1.1;
const GROWTH_KIB: f64 = 2048.0;
const GROWTH_DESCRIPTORS: f64 = 32.0;

/// Of so many requests one may be closed on without an answer, as the first of its connection.
const FAILED_FIRST: usize = 200;

type Rule = fn(&Record) -> Vec<Breach>;
/// One figure of a sample.
type Held = fn(&Sample) -> u64;

/// By name; `docs/lab.md` tells what each says.
pub const RULES: &[(&str, Rule)] = &[
    ("final", final_answer),
    ("one-end", one_end),
    ("ended", nothing_after_the_end),
    ("repeat", repeat),
    ("two-out", two_out),
    ("attempts", attempts),
    ("listed", listed),
    ("unchanged", unchanged),
    ("stranger", stranger),
    ("drain", drain),
    ("wait", wait),
    ("cold", cold),
    ("answered", answered),
    ("notice", notice),
    ("come-again", come_again),
    ("rude", rude),
    ("operators", operators),
    ("limits", limits),
    ("growth", growth),
    ("crash", crash),
];

fn breach(at: u64, what: String) -> Breach {
    Breach { at, what }
}

/// From when to when a courier could do nothing, as the lab had ended or stopped it.
fn absences(record: &Record, courier: usize) -> Vec<(u64, u64)> {
    let lives = record.lives.get(&courier).map(|l| &l[..]).unwrap_or_default();
    let mut absent = Vec::new();
    for (n, life) in lives.iter().enumerate() {
        let next = lives[n + 1..].iter().find_map(|l| l.ready).unwrap_or(u64::MAX);
        for (at, signal) in &life.signals {
            match signal.as_str() {
                // A process whose successor serves already is missed by nobody.
                "TERM" | "KILL" if next > *at => absent.push((*at, next)),
                "STOP" => {
                    let on = life.signals.iter().find(|(t, s)| t > at && s == "CONT");
                    absent.push((*at, on.map_or(u64::MAX, |(t, _)| *t)));
                }
                _ => {}
            }
        }
    }
    absent
}

/// The time by which something is owed, where the courier was absent meanwhile.
fn owed_by(absences: &[(u64, u64)], mut due: u64) -> u64 {
    loop {
        let hit = absences.iter().map(|(from, to)| (*from, to.saturating_add(AFTER_READY)));
        match hit.filter(|(from, to)| *from <= due && due < *to).map(|(_, to)| to).max() {
            Some(later) => due = later,
            None => return due,
        }
    }
}

fn absent(absences: &[(u64, u64)], from: u64, to: u64) -> bool {
    absences.iter().any(|(a, b)| *a <= to && from <= *b)
}

/// By courier.
struct Absences(BTreeMap<usize, Vec<(u64, u64)>>);

impl Absences {
    fn all(record: &Record) -> Self {
        Absences(record.lives.keys().map(|c| (*c, absences(record, *c))).collect())
    }

    fn of(&self, courier: usize) -> &[(u64, u64)] {
        self.0.get(&courier).map(|a| &a[..]).unwrap_or_default()
    }
}

fn calls<'a>(record: &'a Record, message: &Message) -> Vec<&'a Call> {
    message.calls.iter().map(|n| &record.calls[*n]).collect()
}

/// All that is taken on gets its end in time, across restarts; but what stood in a folder that was lost, and what
/// has lost its own bytes where the courier tells of the damage.
fn final_answer(record: &Record) -> Vec<Breach> {
    let absences = Absences::all(record);
    let mut breaches = Vec::new();
    for (id, message) in &record.messages {
        let Some(taken) = message.taken() else { continue };
        let lost = |d: &Damaged| {
            let own = d.folder || (d.told && d.lost.contains(id));
            d.courier == message.courier && d.at >= taken && own
        };
        if record.damaged.iter().any(lost) {
            continue;
        }
        let delivered = message.calls.iter().filter_map(|n| record.calls[*n].delivered()).min();
        let told = message.notices.iter().map(|n| n.at).min();
        let end = [delivered, told].into_iter().flatten().min();
        let absent = absences.of(message.courier);
        let due = owed_by(absent, message.until() + END_GRACE);
        let late = match end {
            Some(end) => end > due,
            // What is owed after the run cannot be judged.
            None => due < record.unloaded,
        };
        if late {
            let over = |at: u64| format!("{} ms after its time", at.saturating_sub(message.until()) / MS);
            let what = end.map_or("no end".to_owned(), over);
            breaches.push(breach(message.until(), format!("{id} at n{}: {what}", message.courier)));
        }
    }
    breaches
}

/// One end: no two notices that differ, and nothing is refused that may have run.
fn one_end(record: &Record) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, message) in &record.messages {
        for pair in message.notices.windows(2).filter(|p| p[0].result != p[1].result) {
            let what = format!("{id}: {} after {}", pair[1].result, pair[0].result);
            breaches.push(breach(pair[1].at, what));
        }
        // Clients hand a keyed message in again only while its key is known.
        let harmless = match record.terms.classes[message.class].effect {
            Effect::Repeatable | Effect::ByKey { scope: Scope::All, .. } => true,
            Effect::ByKey { scope: Scope::Zone, .. } | Effect::Once => false,
        };
        for notice in message.notices.iter().filter(|n| n.result == "bounced" && !harmless) {
            let ran = calls(record, message).into_iter().find(|c| c.at < notice.at && c.may_have_run());
            if ran.is_some() {
                breaches.push(breach(notice.at, format!("{id}: bounced, and it may have run")));
            }
        }
    }
    breaches
}

/// Nothing more is sent of a message that has ended.
fn nothing_after_the_end(record: &Record) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, message) in &record.messages {
        let Some(end) = message.notices.iter().map(|n| n.at).min() else { continue };
        for call in calls(record, message).into_iter().filter(|c| c.first > end + SLACK) {
            breaches.push(breach(call.first, format!("{id}: a call after its notice")));
        }
    }
    breaches
}

/// No repeat beyond what the class allows.
fn repeat(record: &Record) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, message) in &record.messages {
        let calls = calls(record, message);
        let Some(ran) = calls.iter().position(|c| c.may_have_run()) else { continue };
        let (ran, later) = (calls[ran], &calls[ran + 1..]);
        let zone = |call: &Call| &record.terms.endpoints[call.endpoint].zone;
        for call in later {
            let why = match record.terms.classes[message.class].effect {
                Effect::Repeatable => None,
                Effect::Once => Some("it may have run".to_owned()),
                Effect::ByKey { ttl, scope } => {
                    let age = call.at.saturating_sub(ran.first);
                    let over = age > (ttl * 1e6) as u64 + SLACK;
                    let across = scope == Scope::Zone && zone(call) != zone(ran);
                    match (over, across) {
                        (true, _) => Some(format!("its key is forgotten, {} ms after the first", age / MS)),
                        (_, true) => Some(format!("its key is not known in zone {}", zone(call))),
                        _ => None,
                    }
                }
            };
            if let Some(why) = why {
                breaches.push(breach(call.at, format!("{id}: sent again to s{}: {why}", call.endpoint)));
            }
        }
    }
    breaches
}

/// Never two attempts of a message out at once.
fn two_out(record: &Record) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, message) in &record.messages {
        let calls = calls(record, message);
        for (n, call) in calls.iter().enumerate().skip(1) {
            let out = |c: &&&Call| c.end.as_ref().is_none_or(|(end, _)| *end > call.at + SLACK);
            if let Some(other) = calls[..n].iter().find(out) {
                let what = format!("{id}: to s{} while out to s{}", call.endpoint, other.endpoint);
                breaches.push(breach(call.at, what));
            }
        }
    }
    breaches
}

fn attempts(record: &Record) -> Vec<Breach> {
    let most = record.terms.attempts_most;
    let over = record.messages.iter().filter(|(_, m)| m.calls.len() > most);
    over.map(|(id, m)| breach(record.calls[m.calls[most]].at, format!("{id}: {} attempts", m.calls.len())))
        .collect()
}

/// Only endpoints that the courier's list has named, of the message's destination.
fn listed(record: &Record) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for call in &record.calls {
        let told = record.told.get(&(call.courier, call.endpoint));
        if !told.is_some_and(|t| t.iter().any(|(at, _)| *at <= call.at)) {
            let what = format!("{}: n{} was never told of s{}", call.id, call.courier, call.endpoint);
            breaches.push(breach(call.at, what));
        }
        let Some(message) = record.messages.get(&call.id) else { continue };
        let to = record.terms.endpoints[call.endpoint].destination;
        if to != message.destination {
            let what = format!("{}: for destination {}, sent to one of {to}", call.id, message.destination);
            breaches.push(breach(call.at, what));
        }
    }
    breaches
}

/// Body and key pass on unchanged.
fn unchanged(record: &Record) -> Vec<Breach> {
    let changed = |c: &&Call| record.messages.get(&c.id).is_some_and(|m| m.body != c.body || m.key != c.key);
    record
        .calls
        .iter()
        .filter(changed)
        .map(|c| breach(c.at, format!("{}: body or key changed", c.id)))
        .collect()
}

/// Every request at an endpoint, and every notice, is of a message that a client handed in.
fn stranger(record: &Record) -> Vec<Breach> {
    record.strangers.iter().map(|(at, what)| breach(*at, what.clone())).collect()
}

/// When a courier has to leave an endpoint alone: from when it was told until it is told otherwise.
fn closed_spans(record: &Record, courier: usize, endpoint: usize) -> Vec<(u64, u64)> {
    let mut news = record.told.get(&(courier, endpoint)).cloned().unwrap_or_default();
    // A change that was not told by then counts as told.
    for (at, health) in record.changed.get(&endpoint).into_iter().flatten() {
        let by = at + TOLD_BY_ITSELF;
        let heard = news.iter().any(|(t, _)| (*at..by).contains(t));
        if *health != Health::Ready && !heard {
            news.push((by, *health));
        }
    }
    news.sort_by_key(|(at, _)| *at);
    let mut spans = Vec::new();
    let mut since = None;
    for (at, health) in news {
        match health {
            Health::Ready => spans.extend(since.take().map(|from| (from, at))),
            _ => drop(since.get_or_insert(at)),
        }
    }
    spans.extend(since.map(|from| (from, u64::MAX)));
    spans
}

/// The same for an endpoint that operators have set offline.
fn offline_spans(record: &Record, courier: usize, host: &str) -> Vec<(u64, u64)> {
    let (off, on) = (format!("endpoints/{host}/offline"), format!("endpoints/{host}/online"));
    let of = |word: &str| -> Vec<_> {
        record.operated.iter().filter(|o| o.courier == courier && o.call.ends_with(word)).collect()
    };
    let yes = |status: Option<u16>| status.is_none_or(|s| (200..300).contains(&s));
    // What operators have set stands in the folder that lasts.
    let lost = record.damaged.iter().filter(|d| d.courier == courier && d.folder);
    let lost: Vec<_> = lost.map(|d| d.at).collect();
    let until = |from: u64| {
        let ends = of(&on).into_iter().map(|o| o.at - o.took).chain(lost.iter().copied());
        ends.filter(|at| *at > from).min().unwrap_or(u64::MAX)
    };
    of(&off).iter().filter(|o| yes(o.status)).map(|o| (o.at, until(o.at))).collect()
}

/// Nothing new to an endpoint later than the grace after being told that it drains, is gone or is offline.
fn drain(record: &Record) -> Vec<Breach> {
    let grace = (record.terms.drain_grace * 1e6) as u64 + SLACK;
    let mut spans: HashMap<(usize, usize), Vec<(u64, u64)>> = HashMap::new();
    let mut breaches = Vec::new();
    for call in &record.calls {
        let (courier, endpoint) = (call.courier, call.endpoint);
        let closed = spans.entry((courier, endpoint)).or_insert_with(|| {
            let host = &record.terms.endpoints[endpoint].host;
            let mut closed = closed_spans(record, courier, endpoint);
            closed.extend(offline_spans(record, courier, host));
            closed
        });
        let hit =
            closed.iter().find(|(from, to)| from.saturating_add(grace) < call.first && call.first < *to);
        if let Some((from, _)) = hit {
            let late = (call.first - from) / MS;
            let what = format!("{}: n{courier} to s{endpoint}, {late} ms after it was told", call.id);
            breaches.push(breach(call.first, what));
        }
    }
    breaches
}

/// A wait that was told is kept for every message to that destination, until it ends or the courier restarts.
fn wait(record: &Record) -> Vec<Breach> {
    let place = |call: &Call| (call.courier, record.terms.endpoints[call.endpoint].destination);
    let mut waits: HashMap<(usize, usize), Vec<(u64, u64)>> = HashMap::new();
    for call in &record.calls {
        if let Some((at, CallEnd::Answered { wait_ms: Some(ms), heard: true, .. })) = &call.end {
            waits.entry(place(call)).or_default().push((*at, at + ms * MS));
        }
    }
    let mut breaches = Vec::new();
    for call in &record.calls {
        let courier = call.courier;
        let restarted = |from: u64| {
            let lives = record.lives.get(&courier).into_iter().flatten();
            lives.filter_map(|l| l.exited).any(|e| from <= e.at && e.at <= call.at)
        };
        let told = waits.get(&place(call)).into_iter().flatten();
        let mut kept =
            told.filter(|(from, to)| from + WAIT_GRACE + SLACK < call.first && call.first + MS < *to);
        if let Some((from, to)) = kept.find(|(from, _)| !restarted(*from)) {
            let (after, of) = ((call.first - from) / MS, (to - from) / MS);
            let what =
                format!("{}: n{courier} to s{}, {after} ms into a wait of {of}", call.id, call.endpoint);
            breaches.push(breach(call.at, what));
        }
    }
    breaches
}

/// No cold endpoint is pushed over by couriers that saw it fail. A courier that had a message for it while it
/// was away counts as having seen it, unless it was started since: calls that were refused leave no trace here.
fn cold(record: &Record) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for fell in &record.fell {
        let spans = record.down.get(&fell.endpoint).map(|d| &d[..]).unwrap_or_default();
        // The fall itself begins the next outage.
        let Some((from, Some(to))) = spans.iter().rev().find(|(from, _)| *from < fell.at) else { continue };
        let destination = record.terms.endpoints[fell.endpoint].destination;
        let saw = |courier: usize| {
            let lives = record.lives.get(&courier).map(|l| &l[..]).unwrap_or_default();
            let anew = lives.iter().any(|l| l.started > *to && l.started < fell.at);
            let held = |m: &Message| {
                m.courier == courier && m.destination == destination && m.offered < *to && m.until() > *from
            };
            !anew && record.messages.values().any(held)
        };
        let all: u32 = fell.calls.iter().map(|(_, n)| n).sum();
        let saw: u32 = fell.calls.iter().filter(|(c, _)| saw(*c)).map(|(_, n)| n).sum();
        if f64::from(saw) >= f64::from(all) * 2.0 / 3.0 {
            let what =
                format!("s{} fell over, {saw} of {all} calls from couriers that saw it fail", fell.endpoint);
            breaches.push(breach(fell.at, what));
        }
    }
    breaches
}

/// No client's connection ends with no answer once its request is written, but by the end of the process. The
/// first request of a connection has failed then, and is lost only where those are more than a few.
fn answered(record: &Record) -> Vec<Breach> {
    let (mut breaches, mut firsts) = (Vec::new(), Vec::new());
    for (id, message) in &record.messages {
        let Some((at, Fate::Unanswered { first })) = message.fate else { continue };
        let lives = record.lives.get(&message.courier).into_iter().flatten();
        let mut ends = lives.filter_map(|l| l.exited);
        if !ends.any(|e| message.offered <= e.at + SLACK && e.at <= at + SLACK) {
            let breach = breach(at, format!("{id}: n{} closed without an answer", message.courier));
            if first { &mut firsts } else { &mut breaches }.push(breach);
        }
    }
    if firsts.len() > record.messages.len() / FAILED_FIRST {
        breaches.append(&mut firsts);
    }
    breaches
}

/// A notice is of a message that was taken on, and can be read.
fn notice(record: &Record) -> Vec<Breach> {
    let mut breaches: Vec<_> = record
        .unreadable
        .iter()
        .map(|(at, courier, line)| breach(*at, format!("n{courier}: cannot be read: {line:?}")))
        .collect();
    for (id, message) in &record.messages {
        let Some(notice) = message.notices.first() else { continue };
        if let Some((_, Fate::Answered { status, .. })) = message.fate
            && !matches!(status, 200 | 202)
        {
            breaches.push(breach(notice.at, format!("{id}: a notice, and it was answered {status}")));
        }
    }
    breaches
}

/// What is refused, or bounced, says when to come again.
fn come_again(record: &Record) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, message) in &record.messages {
        if let Some((at, Fate::Answered { status: 429 | 503, again_ms: None })) = message.fate {
            breaches.push(breach(at, format!("{id}: refused without a time to come again")));
        }
        let bare = message.notices.iter().filter(|n| n.result == "bounced" && n.wait_ms.is_none());
        breaches.extend(bare.map(|n| breach(n.at, format!("{id}: bounced without a time to come again"))));
    }
    breaches
}

/// An improper peer gets an error or a close in time, and nothing of it is taken on.
fn rude(record: &Record) -> Vec<Breach> {
    let absences = Absences::all(record);
    let mut breaches = Vec::new();
    for rude in &record.rude {
        if absent(absences.of(rude.courier), rude.at.saturating_sub(rude.took), rude.at) {
            continue;
        }
        let taken = rude.status.is_some_and(|s| !(400..600).contains(&s));
        if taken || !rude.ended || rude.took > RUDE_OWED {
            let status = rude.status.map_or("none".to_owned(), |s| s.to_string());
            let what =
                format!("{:?} at n{}: status {status} after {} ms", rude.kind, rude.courier, rude.took / MS);
            breaches.push(breach(rude.at, what));
        }
    }
    breaches
}

/// Operators are answered within a second.
fn operators(record: &Record) -> Vec<Breach> {
    let absences = Absences::all(record);
    let mut breaches = Vec::new();
    for call in &record.operated {
        if absent(absences.of(call.courier), call.at.saturating_sub(call.took), call.at) {
            continue;
        }
        if call.status.is_none() || call.took > OPERATORS_OWED {
            let what = format!("n{}: {} took {} ms", call.courier, call.call, call.took / MS);
            breaches.push(breach(call.at, what));
        }
    }
    breaches
}

/// Memory, descriptors and the folder that lasts stay within their limits.
fn limits(record: &Record) -> Vec<Breach> {
    let terms = &record.terms;
    let mut breaches = Vec::new();
    for s in &record.samples {
        let held = [
            ("descriptors", s.descriptors as f64, terms.sockets as f64),
            ("MB of memory", s.rss as f64 * 1.024e-3, terms.memory_mb),
            ("MB on disk", s.disk as f64 / 1e6, terms.disk_mb),
        ];
        for (what, held, most) in held {
            if held > most {
                breaches.push(breach(s.at, format!("n{}: {held:.1} {what}, {most} at most", s.courier)));
            }
        }
    }
    breaches
}

/// Memory and descriptors of one process do not go on growing through the second half of the load.
fn growth(record: &Record) -> Vec<Breach> {
    let (from, to) = (record.loaded, record.unloaded);
    if to.saturating_sub(from) < GROWTH_SECONDS * 1_000_000 {
        return Vec::new();
    }
    let mut of: BTreeMap<(usize, u32), Vec<_>> = BTreeMap::new();
    record.samples.iter().for_each(|s| of.entry((s.courier, s.life)).or_default().push(s));
    let mut breaches = Vec::new();
    for ((courier, _), samples) in of {
        let quarter = |n: u64, value: Held| {
            let span = (to - from) / 4;
            let (a, b) = (from + n * span, from + (n + 1) * span);
            let within = samples.iter().filter(|s| a <= s.at && s.at < b);
            let mut values: Vec<_> = within.map(|s| value(s)).collect();
            values.sort_unstable();
            values.get(values.len() / 2).map(|v| *v as f64)
        };
        let kinds: [(&str, Held, f64); 2] = [
            ("KiB of memory", |s| s.rss, GROWTH_KIB),
            ("descriptors", |s| s.descriptors, GROWTH_DESCRIPTORS),
        ];
        for (what, value, most) in kinds {
            let (Some(third), Some(last)) = (quarter(2, value), quarter(3, value)) else { continue };
            if last > third * GROWTH + most {
                breaches.push(breach(to, format!("n{courier}: {third:.0} and then {last:.0} {what}")));
            }
        }
    }
    breaches
}

/// A process ends when it is told to, and well.
fn crash(record: &Record) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (courier, lives) in &record.lives {
        for life in lives {
            let Some(exit) = life.exited else { continue };
            let well = exit.code == Some(0) || exit.signal == Some(9);
            if !exit.told || !well {
                let (code, signal) = (exit.code, exit.signal);
                let what = format!("n{courier}, life {}: code {code:?}, signal {signal:?}", life.life);
                breaches.push(breach(exit.at, what));
            }
        }
    }
    breaches
}
