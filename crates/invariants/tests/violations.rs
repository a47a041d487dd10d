//! Counters of violations.

use lanegate_invariants::{Invariant, Violations};
use std::collections::BTreeSet;

#[test]
fn every_invariant_has_unique_index_name_and_description() {
    let names: BTreeSet<&str> = Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    let descriptions: BTreeSet<&str> =
        Invariant::ALL.iter().map(|invariant| invariant.description()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    assert_eq!(descriptions.len(), Invariant::ALL.len());
    assert!(Invariant::ALL.iter().enumerate().all(|(place, invariant)| *invariant as usize == place));
}

#[test]
fn clones_share_counters_per_invariant() {
    let violations = Violations::default();
    let other = violations.clone();
    assert!(other.check(Invariant::OneOutcome, true));
    assert!(!other.check(Invariant::OneOutcome, false));
    violations.record(Invariant::OneOutcome);
    assert_eq!(violations.count(Invariant::OneOutcome), 2);
    assert_eq!(violations.count(Invariant::EpochRises), 0);
}
