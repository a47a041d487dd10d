//! The program `lanegate-soak`.

use std::process::ExitCode;

fn main() -> ExitCode {
    lanegate_soak::main_with(&lanegate_soak::parse())
}
