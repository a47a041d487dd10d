//! Sustained overload of a destination: which messages get its limited calls.

mod common;
use common::*;
use lanegate_courier::interface::*;
use std::time::Duration;

/// Notices lose all their value soon after their latency target, orders lose it gradually.
fn notices_and_orders() -> Settings {
    let mut set = Settings { weights: WeightKind::Nominal, value_decay: ValueDecay::Linear, ..settings() };
    let keyed = Effect::Keyed { scope: KeyScope::All, window: MS * 5000 };
    set.classes = vec![
        Class { late_value_share: 0.0, ..class(Effect::Repeatable, 800, 5000, 2.0) },
        class(keyed, 3000, 12_000, 1.0),
    ];
    (set.tenants, set.couriers) = (1, 1);
    set
}

/// Submits a message at each of these times, in ms, and answers each call after 80 ms. Returns the fraction of
/// its value that each message earned.
fn value_fractions(set: &Settings, limit: f64, arrivals: &[(u32, usize)]) -> Vec<f64> {
    let mut d = Driver::new(set.clone(), vec![Entry { weight: limit, ..entry(0, 1, 0, 0) }]);
    let (start, mut earned) = (d.now, vec![0.0; arrivals.len()]);
    let (mut next, mut answers) = (0, Vec::<(Duration, u64, u32)>::new());
    let end = start + MS * arrivals.last().map_or(0, |a| a.0) + MS * 13_000;
    while d.now < end {
        let mut actions = d.advance(MS * 5);
        let now = d.now;
        let mut events: Vec<_> = answers
            .extract_if(.., |a| a.0 <= now)
            .map(|(_, message, endpoint)| {
                let (at, class) = arrivals[message as usize];
                let c = &set.classes[class];
                let late = (now - start).saturating_sub(MS * at + c.latency_target).as_secs_f64();
                let span = (c.deadline - c.latency_target).as_secs_f64();
                earned[message as usize] = 1.0 - (1.0 - c.late_value_share) * late / span;
                ended(message, endpoint, Outcome::Delivered, 80)
            })
            .collect();
        while arrivals.get(next).is_some_and(|a| start + MS * a.0 <= now) {
            let class = arrivals[next].1;
            events.push(taken(next as u64, class, 1, set.classes[class].deadline));
            next += 1;
        }
        if !events.is_empty() {
            actions.extend(d.feed(&events));
        }
        answers.extend(sends(&actions).into_iter().map(|(m, e)| (now + MS * 80, m, e)));
    }
    earned
}

fn share(earned: &[f64], arrivals: &[(u32, usize)], class: usize) -> f64 {
    let of: Vec<_> = earned.iter().zip(arrivals).filter(|(_, a)| a.1 == class).map(|(e, _)| *e).collect();
    of.iter().sum::<f64>() / of.len() as f64
}

#[test]
fn a_long_overload_leaves_no_backlog_that_makes_all_that_follows_late() {
    // The limit is 1.7 calls a second; 2.5 messages a second arrive, every third a notice.
    let arrivals: Vec<_> = (0..90u32).map(|n| (n * 400, usize::from(n % 3 > 0))).collect();
    let earned = value_fractions(&notices_and_orders(), 1.7, &arrivals);
    let (notices, orders) = (share(&earned, &arrivals, 0), share(&earned, &arrivals, 1));
    assert!(notices > 0.8, "notices earn {notices}, orders {orders}");
    assert!(orders > 0.78, "notices earn {notices}, orders {orders}");
}
