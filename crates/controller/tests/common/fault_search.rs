//! Looks for a seed with which a scenario finds a deliberate fault.

use crate::scenarios::scenario;
use lanegate_controller::controller::ControllerFault;
use lanegate_controller::simulation::{Scenario, Violation, World};

/// The first broken rule, and the seed with which it was, of the `seeds` from the scenario's own on.
pub(crate) fn first_violation(name: &str, fault: ControllerFault, seeds: u64) -> Option<(u64, Violation)> {
    let scenario = scenario(name);
    (scenario.seed..scenario.seed + seeds).find_map(|seed| {
        let play = Scenario { seed, ..scenario.clone() };
        World::play(&play, Some(fault)).err().map(|violation| (seed, violation))
    })
}

/// The scenario finds the fault with one of the `seeds` from its own on.
#[track_caller]
pub(crate) fn assert_finds(name: &str, fault: ControllerFault, seeds: u64) {
    let found = first_violation(name, fault, seeds);
    println!("{name}, {fault:?}: {found:?}");
    assert!(found.is_some(), "{name} does not find {fault:?}");
}
