//! The command line that prints where the value of played days was lost.

use bpaf::{OptionParser, Parser, construct, positional};
use day_generator::loss::DayReport;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What the command line asks for.
#[derive(Debug, Clone)]
struct Arguments {
    reports: Vec<PathBuf>,
}

/// Why a table could not be made.
#[derive(Debug, thiserror::Error)]
enum TableError {
    #[error("{path}: {error}")]
    Read { path: PathBuf, error: std::io::Error },
    #[error("{path} is no report of a day: {error}")]
    NoReport { path: PathBuf, error: serde_json::Error },
}

fn options() -> OptionParser<Arguments> {
    let reports = positional::<PathBuf>("REPORT")
        .help("What the bench wrote of a day at --report")
        .some("name at least one report");
    construct!(Arguments { reports })
        .to_options()
        .descr("Prints for each played day how much value was lost to what")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    match options().run().reports.iter().try_for_each(|path| print_table(path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn print_table(path: &Path) -> Result<(), TableError> {
    let read = std::fs::read_to_string(path);
    let text = read.map_err(|error| TableError::Read { path: path.to_owned(), error })?;
    let report = DayReport::read(&text);
    let report = report.map_err(|error| TableError::NoReport { path: path.to_owned(), error })?;
    println!("{}\n{report}", path.display());
    Ok(())
}
