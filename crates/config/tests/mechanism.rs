//! Names of mechanisms, and sets of those that are switched off.

use lanegate_config::mechanism::{Mechanism, SwitchedOff};

#[test]
fn mechanism_names_round_trip() {
    for mechanism in Mechanism::all() {
        assert_eq!(mechanism.to_string().parse(), Ok(mechanism));
    }
}

#[test]
fn unknown_mechanism_error_lists_known_ones() {
    let error = "prefix".parse::<Mechanism>().unwrap_err().to_string();
    assert!(
        error.starts_with("unknown mechanism \"prefix\"; expected one of configuration-wait, "),
        "{error}"
    );
}

#[test]
fn only_named_mechanisms_are_switched_off() {
    assert!(Mechanism::all().all(|mechanism| SwitchedOff::default().allows(mechanism)));
    for off in Mechanism::all() {
        let switched_off: SwitchedOff = [off].into_iter().collect();
        for mechanism in Mechanism::all() {
            assert_eq!(switched_off.allows(mechanism), mechanism != off);
        }
    }
}
