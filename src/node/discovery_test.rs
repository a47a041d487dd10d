//! When discovery is asked, and how what it says is cut into lists.

use super::*;

const GRACE: Duration = Duration::from_secs(1);

#[test]
fn what_the_agent_has_is_heard_within_the_grace_on_drains_whatever_the_size_of_the_fleet() {
    for fleet in [2, 48, 300, 3000] {
        let mut schedule = Backoff::new(fleet, GRACE);
        // After a start, and after a watch that was answered and has ended.
        let (start, again) = (schedule.spread(1.0), schedule.pause(true, 1.0));
        assert!(start.max(again) < GRACE.mul_f64(0.8), "{fleet} couriers: {start:?}, {again:?}");
        assert!(schedule.spread(0.0) < schedule.spread(0.5), "they do not ask in one moment");
    }
}

#[test]
fn lists_come_in_one_line_or_several_and_an_empty_line_is_an_answer() {
    let text =
        "\n{\"a\":\"}\\\"\"}\n\n{\n  \"b\": [\n\n    {}\n  ]\n}\n{}{\"c\":1} \n \njunk\n{\"cut\":\"of\n[\n";
    let value = |text: &str| Item::Value(text.as_bytes().to_vec());
    for size in [1, 2, 7, 1000] {
        let (mut splitter, mut items) = (ValueSplitter::default(), Vec::new());
        for piece in text.as_bytes().chunks(size) {
            assert!(splitter.push(piece));
            items.extend(std::iter::from_fn(|| splitter.next()));
        }
        let expected = [
            Item::Heartbeat,
            value("{\"a\":\"}\\\"\"}"),
            Item::Heartbeat,
            value("{\n  \"b\": [\n\n    {}\n  ]\n}"),
            value("\n{}"),
            value("{\"c\":1}"),
            Item::Heartbeat,
            value("junk\n"),
            value("{\"cut\":\"of\n"),
        ];
        let trimmed = |item: &Item| match item {
            Item::Heartbeat => Item::Heartbeat,
            Item::Value(value) => Item::Value(value.trim_ascii().to_vec()),
        };
        let (items, expected): (Vec<_>, Vec<_>) =
            (items.iter().map(trimmed).collect(), expected.iter().map(trimmed).collect());
        assert_eq!(items, expected, "in pieces of {size}");
        assert!(
            splitter.is_within() && splitter.time_left() <= SILENCE_TIMEOUT,
            "the last one has no end yet"
        );
    }
}

#[test]
fn a_change_is_heard_before_it_counts_as_told_though_a_watch_fell_silent() {
    // The change comes right behind the last line heard; the first watch after that is not answered.
    let mut schedule = Backoff::new(3, GRACE);
    let heard = SILENCE_TIMEOUT
        + schedule.pause(true, 1.0)
        + CONNECT_TIMEOUT
        + FIRST_RESPONSE_TIMEOUT
        + schedule.pause(false, 1.0);
    assert!(heard < Duration::from_secs(6), "{heard:?}");
    assert!(SILENCE_TIMEOUT > Duration::from_millis(2500), "an empty line comes every 2 s only");
}

#[test]
fn a_fleet_that_is_turned_away_asks_no_oftener_than_a_few_couriers_do() {
    // Calls a second of all together at the nth try, with pauses that are neither short nor long.
    let rate = |fleet: usize, tries: usize| {
        let mut schedule = Backoff::new(fleet, GRACE);
        let last = (0..tries).map(|_| schedule.pause(false, 0.5)).last().expect("a try");
        fleet as f64 / last.as_secs_f64()
    };
    for tries in 1..10 {
        let (few, many) = (rate(REFERENCE_FLEET as usize, tries), rate(48, tries));
        assert!((few - many).abs() < 1e-6, "{few} and {many} at try {tries}");
    }
    assert!(rate(48, 9) < 3.5, "{}", rate(48, 9));
}

#[test]
fn an_answer_that_does_not_come_is_waited_for_ever_longer_until_a_watch_has_held() {
    let mut schedule = Backoff::new(3, GRACE);
    let waits: Vec<_> = (0..5)
        .map(|_| {
            schedule.unanswered();
            schedule.answer.as_secs()
        })
        .collect();
    assert_eq!(waits, [2, 4, 8, 8, 8]);
    schedule.renew();
    assert_eq!(schedule.answer, FIRST_RESPONSE_TIMEOUT);
}
