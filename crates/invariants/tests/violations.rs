//! Counting violations.

use lanegate_invariants::{Invariant, Violations};
use std::collections::BTreeSet;

#[test]
fn every_invariant_has_a_place_a_name_and_a_description_of_its_own() {
    let names: BTreeSet<&str> = Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    let descriptions: BTreeSet<&str> =
        Invariant::ALL.iter().map(|invariant| invariant.description()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    assert_eq!(descriptions.len(), Invariant::ALL.len());
    assert!(Invariant::ALL.iter().enumerate().all(|(place, invariant)| *invariant as usize == place));
}

#[test]
fn clones_count_together_and_each_invariant_by_itself() {
    let violations = Violations::default();
    let other = violations.clone();
    assert!(other.check(Invariant::OneOutcome, true));
    assert!(!other.check(Invariant::OneOutcome, false));
    violations.record(Invariant::OneOutcome);
    assert_eq!(violations.count(Invariant::OneOutcome), 2);
    assert_eq!(violations.count(Invariant::EpochRises), 0);
}
