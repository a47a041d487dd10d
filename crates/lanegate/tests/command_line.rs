//! The command line: help, mistakes, exit codes, the log.

mod common;

use common::{SETTINGS, code, err, file, lanegate, out, run};

#[test]
fn help_and_version_are_printed_to_standard_output() {
    let help = run(&["--help"]);
    assert_eq!(code(&help), 0);
    for command in ["router", "agent", "controller", "check", "status", "--log-level"] {
        assert!(out(&help).contains(command), "{command}");
    }
    let version = run(&["--version"]);
    assert_eq!((code(&version), err(&version).as_str()), (0, ""));
    assert!(out(&version).contains(env!("CARGO_PKG_VERSION")));
}

#[test]
fn usage_errors_exit_with_status_2() {
    let mistakes: [&[&str]; 6] = [
        &[],
        &["fly"],
        &["check"],
        &["status", "nowhere"],
        &["--log-level", "loud", "router"],
        &["router", "--unknown"],
    ];
    for arguments in mistakes {
        let output = run(arguments);
        assert_eq!(code(&output), 2, "{arguments:?}");
        assert!(!err(&output).is_empty(), "{arguments:?}");
    }
}

#[test]
fn settings_that_are_not_named_end_with_3() {
    for command in ["router", "agent", "controller"] {
        let output = run(&[command]);
        assert_eq!(code(&output), 3, "{command}");
        assert!(err(&output).contains("LANEGATE_NODE_FILE"));
    }
}

#[test]
fn every_mistake_in_the_settings_is_named() {
    let path = file("three_mistakes.yaml", "NodeName: a\nIp: x\nPortRange: [1, 2]\nHeartbeatMs: y\n");
    let output = lanegate(&["controller"]).env("LANEGATE_NODE_FILE", &path).output().unwrap();
    assert_eq!(code(&output), 3);
    for place in ["Ip: ", "Zone: ", "HeartbeatMs: "] {
        assert!(err(&output).contains(place), "{place}");
    }
}

#[test]
fn what_a_role_needs_is_named() {
    let path = file("no_listeners.yaml", SETTINGS);
    let output = lanegate(&["router"]).env("LANEGATE_NODE_FILE", &path).output().unwrap();
    assert_eq!(code(&output), 3);
    assert!(err(&output).contains("ListenersMap.Frontend"));
    assert!(err(&output).contains("ListenersMap.Readiness"));
}

#[test]
fn a_wrong_level_in_the_environment_is_a_mistake() {
    let output = lanegate(&["check", "x"]).env("LANEGATE_LOG", "loud").output().unwrap();
    assert_eq!(code(&output), 2);
    assert!(err(&output).contains("\"loud\""));
}
