//! Shrinking drops steps until the failure depends on every remaining one.

use lanegate_coordination::simulation::shrink_steps;

#[test]
fn only_the_steps_that_make_it_fail_are_left() {
    let steps: Vec<u32> = (0..100).collect();
    let needed = [3, 57, 58, 99];
    let still_fails = |steps: &[u32]| needed.iter().all(|step| steps.contains(step));
    assert_eq!(shrink_steps(&steps, still_fails), needed);
}

#[test]
fn nothing_is_dropped_that_is_needed() {
    let steps = [1, 2, 3];
    assert_eq!(shrink_steps(&steps, |steps| steps.len() == 3), steps);
}
