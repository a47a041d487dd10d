//! Mechanisms by their names, and sets of those that are switched off.

use lanegate_config::mechanism::{Mechanism, SwitchedOff};

#[test]
fn each_mechanism_is_read_by_the_name_that_it_is_written_with() {
    for mechanism in Mechanism::all() {
        assert_eq!(mechanism.to_string().parse(), Ok(mechanism));
    }
}

#[test]
fn an_unknown_name_is_refused_with_those_that_there_are() {
    let error = "prefix".parse::<Mechanism>().unwrap_err().to_string();
    assert!(error.starts_with("\"prefix\" is no mechanism; there are configuration-wait, "), "{error}");
}

#[test]
fn only_what_was_named_is_switched_off() {
    assert!(Mechanism::all().all(|mechanism| SwitchedOff::default().leaves(mechanism)));
    for off in Mechanism::all() {
        let switched_off: SwitchedOff = [off].into_iter().collect();
        for mechanism in Mechanism::all() {
            assert_eq!(switched_off.leaves(mechanism), mechanism != off);
        }
    }
}
