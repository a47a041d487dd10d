//! lanegate: router, agent and controller in one program.

mod command_line;
mod commands;
mod exit;
mod logging;

use command_line::{Arguments, Parsed};
use std::process::ExitCode;

fn main() -> ExitCode {
    match command_line::parse() {
        Parsed::Arguments(arguments) => run(arguments),
        Parsed::HelpOrVersion(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Parsed::UsageError(text) => {
            eprintln!("{text}");
            exit::USAGE.into()
        }
    }
}

fn run(arguments: Arguments) -> ExitCode {
    logging::start(arguments.log_level);
    match commands::run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lanegate: {error}");
            error.exit_code().into()
        }
    }
}
