//! Zone health with injected time: many endpoints of a zone that fail at once, and failures that must not
//! count as that.

mod common;
use common::*;
use lanegate_courier::interface::*;
use std::time::Duration;

/// Creates this many endpoints per zone for each destination. Endpoint `100 z + 10 d + n` is the n-th of destination d
/// in zone z.
const DESTINATIONS: u64 = 5;
const EACH: u32 = 2;

fn world(zones: usize) -> Driver {
    let set = Settings { slots: 60, zone_costs: vec![0.0; zones], couriers: 1, ..settings() };
    let mut entries = Vec::new();
    for z in 0..zones {
        for d in 0..DESTINATIONS {
            let id = |n| 100 * z as u32 + 10 * d as u32 + n;
            entries.extend((0..EACH).map(|n| entry(id(n), d, z, 0)));
        }
    }
    Driver::new(set, entries)
}

/// Traffic for all destinations for so long; `how` tells how each call ends, by endpoint, and after how many ms.
fn traffic(drive: &mut Driver, next: &mut u64, span: Duration, how: impl Fn(u32) -> (Outcome, u32)) {
    let (end, mut coming) = (drive.now + span, Vec::<(Duration, Event)>::new());
    let from = drive.log.len();
    let mut seen = from;
    while drive.now < end {
        *next += 1;
        let mut events = vec![taken(*next, 0, *next % DESTINATIONS, MS * 8000)];
        let now = drive.now;
        events.extend(coming.extract_if(.., |(at, _)| *at <= now).map(|(_, event)| event));
        drive.feed(&events);
        drive.advance(MS * 10);
        let sent: Vec<_> = drive.log[seen..].iter().map(|(at, action)| (*at, action.clone())).collect();
        seen = drive.log.len();
        for (at, action) in sent {
            if let Action::Send { message, endpoint, .. } = action {
                let (outcome, took) = how(endpoint.0);
                coming.push((at + MS * took, ended(message.0, endpoint.0, outcome, took)));
            }
        }
    }
    // Calls still in flight succeed.
    let rest: Vec<_> = coming.into_iter().map(|(_, event)| event).collect();
    drive.feed(&rest);
}

fn well(_: u32) -> (Outcome, u32) {
    (Outcome::Delivered, 30)
}

fn notes(drive: &Driver, zone: usize) -> Vec<String> {
    let prefix = format!("zone {zone}: ");
    let note = |(_, action): &(Duration, Action)| match action {
        Action::Note { text } => text.strip_prefix(&prefix).map(str::to_owned),
        _ => None,
    };
    drive.log.iter().filter_map(note).collect()
}

/// The zone states that the notes report, in order.
fn path(drive: &Driver, zone: usize) -> Vec<String> {
    let to = |text: String| text.split(" to ").nth(1).and_then(|t| t.split(' ').next().map(str::to_owned));
    notes(drive, zone).into_iter().filter_map(to).collect()
}

#[test]
fn a_zone_that_dies_is_soon_out_and_back_only_after_it_has_warmed() {
    for (outcome, took) in
        [(Outcome::ConnectFailed, 1), (Outcome::Reset, 20), (Outcome::Error, 20), (Outcome::TimedOut, 600)]
    {
        let (mut drive, mut next) = (world(3), 0);
        traffic(&mut drive, &mut next, MS * 3000, well);
        assert!(notes(&drive, 1).is_empty());
        let from = drive.now;
        traffic(&mut drive, &mut next, MS * 3000, |e| if e / 100 == 1 { (outcome, took) } else { well(e) });
        let out = |(_, action): &&(Duration, Action)| matches!(action, Action::Note { text } if text.contains("to Out"));
        let at =
            drive.log.iter().find(out).unwrap_or_else(|| panic!("{outcome:?}: {:?}", notes(&drive, 1))).0;
        assert!(at - from <= MS * (1500 + 2 * took), "{outcome:?} after {:?}", at - from);
        assert!(
            notes(&drive, 0).is_empty() && notes(&drive, 2).is_empty(),
            "{outcome:?}: the others are well"
        );
        // Nothing goes back by itself while others serve as well; now it has to.
        let away = |z: usize, d: u64, n| entry(100 * z as u32 + 10 * d as u32 + n, d, z, 0);
        let all = [0, 2].into_iter().flat_map(|z| (0..DESTINATIONS).map(move |d| (z, d)));
        let entries = all.flat_map(|(z, d)| (0..EACH).map(move |n| away(z, d, n)));
        let entries = entries.map(|e| Entry { state: EndpointState::Draining, ..e }).collect();
        drive.feed(&[Event::Listed { whole: false, entries }]);
        traffic(&mut drive, &mut next, MS * 25_000, well);
        assert_eq!(path(&drive, 1), ["Suspect", "Out", "Returning", "Healthy"], "{outcome:?}");
        let text = notes(&drive, 1);
        let warm = text[3].split(" after ").nth(1).and_then(|t| t.split(' ').next()).map(str::parse::<f64>);
        assert!(warm.is_some_and(|w| w.is_ok_and(|w| w >= 10.0)), "{text:?}");
    }
}

#[test]
fn one_bad_endpoint_or_one_bad_destination_is_no_bad_zone() {
    let bad: [fn(u32) -> bool; 3] = [|e| e == 110, |e| e % 100 / 10 == 2, |e| e == 110 || e == 121];
    for bad in bad {
        let (mut drive, mut next) = (world(2), 0);
        traffic(&mut drive, &mut next, MS * 8000, |e| if bad(e) { (Outcome::Error, 20) } else { well(e) });
        assert!(notes(&drive, 0).is_empty() && notes(&drive, 1).is_empty(), "{:?}", notes(&drive, 1));
    }
}

#[test]
fn a_zone_that_is_full_is_there() {
    let (mut drive, mut next) = (world(2), 0);
    traffic(&mut drive, &mut next, MS * 4000, |e| {
        if e / 100 == 1 { (Outcome::Full { wait: None }, 5) } else { well(e) }
    });
    assert!(notes(&drive, 1).is_empty(), "{:?}", notes(&drive, 1));
}

#[test]
fn with_one_zone_nothing_is_judged() {
    let (mut drive, mut next) = (world(1), 0);
    traffic(&mut drive, &mut next, MS * 4000, |_| (Outcome::Error, 20));
    assert!(notes(&drive, 0).is_empty());
}
