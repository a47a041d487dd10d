//! The command line: help, usage errors and exit status.

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
    let invalid: [&[&str]; 6] = [
        &[],
        &["fly"],
        &["check"],
        &["status", "nowhere"],
        &["--log-level", "loud", "router"],
        &["router", "--unknown"],
    ];
    for arguments in invalid {
        let output = run(arguments);
        assert_eq!(code(&output), 2, "{arguments:?}");
        assert!(!err(&output).is_empty(), "{arguments:?}");
    }
}

#[test]
fn missing_settings_variable_exits_with_status_3() {
    for command in ["router", "agent", "controller"] {
        let output = run(&[command]);
        assert_eq!(code(&output), 3, "{command}");
        assert!(err(&output).contains("LANEGATE_NODE_FILE"));
    }
}

#[test]
fn every_error_in_the_settings_is_reported() {
    let path = file("three_mistakes.yaml", "NodeName: a\nIp: x\nPortRange: [1, 2]\nHeartbeatMs: y\n");
    let output = lanegate(&["controller"]).env("LANEGATE_NODE_FILE", &path).output().unwrap();
    assert_eq!(code(&output), 3);
    for place in ["Ip: ", "Zone: ", "HeartbeatMs: "] {
        assert!(err(&output).contains(place), "{place}");
    }
}

#[test]
fn missing_listeners_of_a_role_are_reported() {
    let path = file("no_listeners.yaml", SETTINGS);
    let output = lanegate(&["router"]).env("LANEGATE_NODE_FILE", &path).output().unwrap();
    assert_eq!(code(&output), 3);
    assert!(err(&output).contains("ListenersMap.Frontend"));
    assert!(err(&output).contains("ListenersMap.Readiness"));
}

#[test]
fn invalid_log_level_in_the_environment_is_a_usage_error() {
    let output = lanegate(&["check", "x"]).env("LANEGATE_LOG", "loud").output().unwrap();
    assert_eq!(code(&output), 2);
    assert!(err(&output).contains("\"loud\""));
}
