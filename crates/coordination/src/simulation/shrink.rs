//! Reduces a scenario that breaks a rule to fewer steps that still break one.

use super::scenario::Scenario;
use super::world::World;
use crate::register::Fault;

/// Drops steps as long as the rest still violates a rule.
#[must_use]
pub fn shrink(scenario: &Scenario, fault: Option<Fault>) -> Scenario {
    let mut smallest = scenario.clone();
    let mut chunk = smallest.steps.len().div_ceil(2);
    while chunk > 0 {
        if !drop_steps(&mut smallest, chunk, fault) {
            chunk /= 2;
        }
    }
    smallest
}

/// Drops each run of `chunk` steps that is not needed; returns whether any was dropped.
fn drop_steps(scenario: &mut Scenario, chunk: usize, fault: Option<Fault>) -> bool {
    let mut dropped = false;
    let mut start = 0;
    while start < scenario.steps.len() {
        let mut shorter = scenario.clone();
        let end = (start + chunk).min(shorter.steps.len());
        shorter.steps.drain(start..end);
        if World::play(&shorter, fault).is_err() {
            *scenario = shorter;
            dropped = true;
        } else {
            start += chunk;
        }
    }
    dropped
}
