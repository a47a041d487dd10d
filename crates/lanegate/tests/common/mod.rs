//! Helpers that run the program.
#![allow(dead_code)]

pub(crate) mod processes;

use std::path::PathBuf;
use std::process::{Command, Output};

/// Minimal valid settings, without what only some roles need.
pub(crate) const SETTINGS: &str = "NodeName: a\nIp: 127.0.0.1\nZone: z\nPortRange: [10, 20]\n";

/// The program with `arguments`; environment variables that it reads are removed.
pub(crate) fn lanegate(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanegate"));
    command.args(arguments).env_remove("LANEGATE_LOG").env_remove("LANEGATE_NODE_FILE");
    command
}

/// Runs the program to its end.
pub(crate) fn run(arguments: &[&str]) -> Output {
    lanegate(arguments).output().unwrap()
}

/// Writes a file with that name and text.
pub(crate) fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

pub(crate) fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

pub(crate) fn out(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub(crate) fn err(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}
