//! Reduces a scenario that violates a rule to fewer steps that still violate one.

use super::scenario::Scenario;
use super::world::World;
use crate::register::Fault;

/// Drops steps as long as the rest still violates a rule.
#[must_use]
pub fn shrink(scenario: &Scenario, fault: Option<Fault>) -> Scenario {
    let with_steps = |steps: &[_]| Scenario { steps: steps.to_vec(), ..scenario.clone() };
    let steps = shrink_steps(&scenario.steps, |steps| World::play(&with_steps(steps), fault).is_err());
    with_steps(&steps)
}

/// Drops runs of consecutive steps as long as the rest still fails. A run is half of all steps at first; its length
/// is halved whenever no run of that length can be dropped.
#[must_use]
pub fn shrink_steps<S: Clone>(steps: &[S], still_fails: impl Fn(&[S]) -> bool) -> Vec<S> {
    let mut smallest = steps.to_vec();
    let mut run = smallest.len().div_ceil(2);
    while run > 0 {
        if !drop_runs(&mut smallest, run, &still_fails) {
            run /= 2;
        }
    }
    smallest
}

/// Drops each run of `run` steps without which the rest still fails; returns whether any was dropped.
fn drop_runs<S: Clone>(steps: &mut Vec<S>, run: usize, still_fails: &impl Fn(&[S]) -> bool) -> bool {
    let mut dropped = false;
    let mut start = 0;
    while start < steps.len() {
        let mut shorter = steps.clone();
        let end = (start + run).min(shorter.len());
        shorter.drain(start..end);
        if still_fails(&shorter) {
            *steps = shorter;
            dropped = true;
        } else {
            start += run;
        }
    }
    dropped
}
