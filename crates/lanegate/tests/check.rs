//! `lanegate check`: findings, warnings and exit status.

mod common;

use common::{SETTINGS, code, file, out, run};

#[test]
fn good_files_are_ok() {
    let settings = file("good.yaml", SETTINGS);
    let configuration = file("good.json", r#"{"Version":1}"#);
    let output = run(&["check", settings.to_str().unwrap(), configuration.to_str().unwrap()]);
    assert_eq!(code(&output), 0);
    assert_eq!(out(&output).matches(": ok\n").count(), 2);
}

#[test]
fn every_finding_of_every_file_is_printed_with_its_location() {
    let settings = file("bad.yaml", "NodeName: a\nPortRange: [2, 1]\n");
    let configuration = file(
        "bad_configuration",
        r#" {"Version":1,"Routes":[{"Name":"r","Hostname":"a","PathPrefix":"/","TimeoutMs":0,"Backend":"b"}]}"#,
    );
    let output = run(&["check", settings.to_str().unwrap(), configuration.to_str().unwrap()]);
    assert_eq!(code(&output), 1);
    let text = out(&output);
    for finding in ["bad.yaml: Ip: ", "bad.yaml: Zone: ", "bad_configuration: Routes[0].TimeoutMs: "] {
        assert!(text.contains(finding), "{finding} in {text}");
    }
    assert!(text.contains("bad_configuration: Routes[0].Backend: unknown service \"b\"\n"), "{text}");
}

#[test]
fn warnings_do_not_fail_a_check() {
    let path = file("odd.json", r#"{"Version":1,"Backends":[{"Name":"b"},{"Name":"b"}]}"#);
    let output = run(&["check", path.to_str().unwrap()]);
    assert_eq!(code(&output), 0);
    assert!(out(&output).contains("odd.json: warning: Backends[1].Name: "), "{}", out(&output));
}

#[test]
fn a_settings_file_with_a_role_is_checked_for_that_role() {
    let path = file("role.yaml", &format!("{SETTINGS}Role: controller\n"));
    let output = run(&["check", path.to_str().unwrap()]);
    assert_eq!(code(&output), 1);
    assert!(out(&output).contains("role.yaml: DataDir: "), "{}", out(&output));
}

#[test]
fn a_missing_file_is_a_finding() {
    let output = run(&["check", "/nonexistent/file"]);
    assert_eq!(code(&output), 1);
    assert!(out(&output).starts_with("/nonexistent/file: "));
}
