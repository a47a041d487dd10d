//! Passive health: what leaves an endpoint out, and how it comes back.

mod support;

use lanegate_dispatch::health::{Fault, Health, Standing};
use support::ms;

#[test]
fn one_failed_answer_is_no_outage_but_several_in_a_row_are() {
    let mut health = Health::default();
    health.failed(ms(10), Fault::Told, true, 1.0);
    health.failed(ms(20), Fault::Told, true, 1.0);
    assert_eq!(health.standing(ms(20)), Standing::In);
    health.failed(ms(30), Fault::Told, true, 1.0);
    assert!(health.is_out());
    let mut mixed = Health::default();
    for at in 0..10 {
        mixed.failed(ms(at * 10), Fault::Told, true, 1.0);
        mixed.succeeded(ms(at * 10 + 5), true);
    }
    assert_eq!(mixed.standing(ms(200)), Standing::In);
}

#[test]
fn a_broken_connection_leaves_it_out_for_growing_pauses() {
    let mut health = Health::default();
    health.failed(ms(0), Fault::Broken, true, 1.0);
    assert!(matches!(health.standing(ms(299)), Standing::Out { .. }));
    assert!(matches!(health.standing(ms(300)), Standing::Trial { .. }));
    health.sent();
    assert!(matches!(health.standing(ms(310)), Standing::Out { .. }), "one trial at a time");
    health.failed(ms(310), Fault::Broken, true, 1.0);
    assert!(matches!(health.standing(ms(310 + 450)), Standing::Out { .. }));
    assert!(matches!(health.standing(ms(310 + 500)), Standing::Trial { .. }));
}

#[test]
fn pauses_are_bounded() {
    let mut health = Health::default();
    for _ in 0..50 {
        health.failed(ms(0), Fault::Silent, true, 1.0);
    }
    assert!(matches!(health.standing(ms(8_000)), Standing::Trial { .. }));
}

#[test]
fn it_comes_back_slowly_after_a_trial() {
    let mut health = Health::default();
    health.failed(ms(0), Fault::Silent, true, 1.0);
    health.sent();
    health.succeeded(ms(3_000), true);
    let mut allowed = Vec::new();
    while let Standing::Returning(most) = health.standing(ms(3_000)) {
        allowed.push(most);
        health.succeeded(ms(3_000), true);
    }
    assert_eq!(allowed, [1, 2, 4, 8, 16]);
    assert_eq!(health.standing(ms(3_000)), Standing::In);
    assert_eq!(health.faults(), 0);
}

#[test]
fn a_sign_of_life_ends_a_silence_but_not_an_outage_of_connections() {
    let mut silent = Health::default();
    silent.failed(ms(0), Fault::Silent, true, 1.0);
    silent.heard(ms(10));
    assert_eq!(silent.standing(ms(10)), Standing::In, "it was only slow");
    silent.failed(ms(20), Fault::Silent, true, 1.0);
    silent.heard(ms(30));
    assert_eq!(silent.standing(ms(30)), Standing::Returning(1));
    let mut broken = Health::default();
    broken.failed(ms(0), Fault::Broken, true, 1.0);
    broken.heard(ms(10));
    assert!(matches!(broken.standing(ms(10)), Standing::Out { .. }));
}

#[test]
fn it_stays_in_where_too_many_others_are_out() {
    let mut health = Health::default();
    health.failed(ms(0), Fault::Broken, false, 1.0);
    assert_eq!(health.standing(ms(0)), Standing::In);
    assert_eq!(health.faults(), 1);
}

#[test]
fn a_trial_that_told_nothing_leaves_room_for_another() {
    let mut health = Health::default();
    health.failed(ms(0), Fault::Broken, true, 1.0);
    health.sent();
    health.trial_void();
    assert!(matches!(health.standing(ms(400)), Standing::Trial { .. }));
}
