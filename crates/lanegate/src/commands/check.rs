//! `lanegate check`: validates settings and configuration files without starting a process.

use super::CommandError;
use lanegate_config::configuration::{Document, warnings};
use lanegate_config::findings::Findings;
use lanegate_config::settings::{ProcessRole, Settings};
use std::path::{Path, PathBuf};

/// The findings for one file.
#[derive(Default)]
struct Report {
    errors: Findings,
    warnings: Findings,
}

/// Prints every finding in `files` with its location; fails if any of them is an error.
pub(super) fn run(files: &[PathBuf]) -> Result<(), CommandError> {
    let mut errors = 0;
    for file in files {
        let report = check(file);
        errors += report.errors.iter().count();
        print(file, &report);
    }
    if errors > 0 {
        return Err(CommandError::InvalidFiles { errors });
    }
    Ok(())
}

fn check(file: &Path) -> Report {
    match std::fs::read(file) {
        Ok(bytes) if is_configuration(file, &bytes) => check_configuration(bytes),
        Ok(bytes) => Report { errors: check_settings(&bytes), ..Report::default() },
        Err(error) => Report { errors: Findings::one("", error.to_string()), ..Report::default() },
    }
}

/// Configurations are JSON objects; settings files are YAML.
fn is_configuration(file: &Path, bytes: &[u8]) -> bool {
    match file.extension().and_then(|extension| extension.to_str()) {
        Some("json") => true,
        Some("yaml" | "yml") => false,
        _ => bytes.trim_ascii_start().starts_with(b"{"),
    }
}

fn check_configuration(bytes: Vec<u8>) -> Report {
    match Document::parse(bytes) {
        Ok(document) => Report { warnings: warnings(document.configuration()), errors: Findings::default() },
        Err(errors) => Report { errors, warnings: Findings::default() },
    }
}

fn check_settings(bytes: &[u8]) -> Findings {
    let settings = Settings::from_yaml(&String::from_utf8_lossy(bytes));
    settings.map_or_else(|errors| errors, |settings| check_role(&settings))
}

/// Checks what the role named in the settings needs, if it is a role of this program.
fn check_role(settings: &Settings) -> Findings {
    match settings.role.as_str() {
        "router" => settings.check_for(ProcessRole::Router),
        "agent" => settings.check_for(ProcessRole::Agent),
        "controller" => settings.check_for(ProcessRole::Controller),
        _ => Findings::default(),
    }
}

fn print(file: &Path, report: &Report) {
    let file = file.display();
    for error in &report.errors {
        println!("{file}: {error}");
    }
    for warning in &report.warnings {
        println!("{file}: warning: {warning}");
    }
    if report.errors.is_empty() {
        println!("{file}: ok");
    }
}
