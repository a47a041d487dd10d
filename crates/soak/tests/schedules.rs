//! Schedules are drawn alike from one seed and read back from their text.

use lanegate_soak::schedule::{Draw, Flavour, Schedule};
use proptest::prelude::*;
use std::time::Duration;

fn drawn(seed: u64, flavour: Flavour) -> Schedule {
    Draw::new(seed, 3, 6, 9).schedule(flavour, Duration::from_secs(40))
}

proptest! {
    #[test]
    fn the_text_of_a_schedule_gives_the_schedule(seed: u64) {
        let schedule = drawn(seed, Draw::flavour(seed));
        prop_assert_eq!(schedule.to_string().parse::<Schedule>().unwrap(), schedule);
    }

    #[test]
    fn one_seed_draws_one_schedule(seed: u64) {
        prop_assert_eq!(drawn(seed, Flavour::Mixed), drawn(seed, Flavour::Mixed));
    }

    #[test]
    fn planned_schedules_have_planned_troubles_only(seed: u64) {
        prop_assert!(drawn(seed, Flavour::Planned).steps.iter().all(|step| step.trouble.is_planned()));
    }

    #[test]
    fn troubles_begin_in_order_and_in_time(seed: u64) {
        let steps = drawn(seed, Flavour::Mixed).steps;
        prop_assert!(!steps.is_empty());
        prop_assert!(steps.is_sorted_by_key(|step| step.at));
        prop_assert!(steps.iter().all(|step| step.at < Duration::from_secs(40)));
    }
}

#[test]
fn every_trouble_can_be_written_by_hand() {
    let text = "# all of them\n1 kill router-1 0.5\n2 terminate agent-2 1\n3 hangup controller-1\n\
                4 freeze router-3 2.5\n5 cut agent-1 2 3\n6 cut controller-1 2 3\n7 isolate 3 1\n\
                8 reset controller-1 3\n9 crash 4 1\n10 drain 5 1\n11 delete 6 1\n12 slow 7 1\n\
                13 lose-order-answers 1 2\n14 lose-heartbeat-answers 2 2\n15 lose-acknowledgements 3\n\
                16 change 4\n17 move 2\n17.5 delay-orders 2 1\n17.6 wipe 2 1\n17.7 blackout 1\n17.8 delay-heartbeats 1 4\n17.9 hold-heartbeats 1 4\n18 demand 3 # the last\n";
    let schedule: Schedule = text.parse().unwrap();
    assert_eq!(schedule.steps.len(), 23);
    assert_eq!(schedule.to_string().parse::<Schedule>().unwrap(), schedule);
}

#[test]
fn the_schedules_that_are_kept_can_be_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/schedules");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()).collect();
    assert!(!files.is_empty());
    for file in files {
        let schedule: Schedule = std::fs::read_to_string(&file).unwrap().parse().unwrap();
        assert!(!schedule.steps.is_empty(), "{}", file.display());
    }
}

#[test]
fn mistakes_are_named_with_their_line() {
    let mistakes = [
        ("1 kill", "line 1: a place is missing"),
        ("1 kill router 3", "line 1: \"router\" cannot be read as a place"),
        ("\nx kill router-1 3", "line 2: \"x\" cannot be read as a time"),
        ("1 burn router-1", "line 1: there is no trouble \"burn\""),
        ("1 hangup router-1 3", "line 1: \"3\" is too much"),
    ];
    for (text, message) in mistakes {
        assert_eq!(text.parse::<Schedule>().unwrap_err().to_string(), message);
    }
}
