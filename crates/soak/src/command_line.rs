//! The command line, and what follows from it.

use crate::run::{LEAST_TIME, Plan, Report, RunError};
use crate::schedule::{Schedule, ScheduleError};
use crate::story;
use bpaf::{OptionParser, Parser, construct, long};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use std::{env, fs, io};
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Exit codes.
const VIOLATED: u8 = 1;
const NOT_RUN: u8 = 2;
/// Time of traffic when none is given, s.
const DEFAULT_SECONDS: u64 = 40;
/// Violations of one run that are told with their stories.
const MOST_STORIES: usize = 5;

/// What the command line asks for.
#[derive(Debug, Clone)]
pub struct Arguments {
    pub seed: u64,
    pub seconds: u64,
    pub schedule: Option<PathBuf>,
    pub runs: u64,
    pub program: Option<PathBuf>,
    pub folder: Option<PathBuf>,
}

/// Why a soak did not come to its end.
#[derive(Debug, Error)]
enum SoakError {
    #[error("{}: {source}", path.display())]
    Schedule { path: PathBuf, source: ScheduleError },
    #[error("{}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    #[error("there is no program {}: build lanegate, or name it by --program", .0.display())]
    NoProgram(PathBuf),
    #[error(transparent)]
    System(#[from] io::Error),
    #[error(transparent)]
    Run(#[from] RunError),
    #[error("ended by a signal")]
    Interrupted,
}

/// Reads the command line of this process.
pub fn parse() -> Arguments {
    options().run()
}

fn options() -> OptionParser<Arguments> {
    let seed = long("seed").help("Same seed, same schedule").argument("N").fallback(1).display_fallback();
    let seconds = long("seconds")
        .help("Time of traffic in each run")
        .argument("S")
        .guard(|seconds| *seconds >= LEAST_TIME.as_secs(), "a run takes 20 s at least")
        .fallback(DEFAULT_SECONDS)
        .display_fallback();
    let schedule = long("schedule").help("Troubles from a file").argument("FILE").optional();
    let runs = long("runs").help("Runs, with this seed and the next ones").argument("K").fallback(1);
    let program =
        long("program").help("lanegate; beside this program by default").argument("FILE").optional();
    let folder = long("folder").help("For logs, by seed; target/soak by default").argument("DIR").optional();
    construct!(Arguments { seed, seconds, schedule, runs, program, folder })
        .to_options()
        .descr("Runs lanegate's processes under trouble and judges from outside")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Does what the command line asks for, and prints it.
pub fn main_with(arguments: &Arguments) -> ExitCode {
    let mut violated = 0;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        match soak(arguments, seed) {
            Ok(report) => violated += u64::from(!report.verdict.is_clean()),
            Err(error) => {
                eprintln!("lanegate-soak: {error}");
                return NOT_RUN.into();
            }
        }
    }
    println!("{violated} of {} runs with violations", arguments.runs);
    if violated > 0 { VIOLATED.into() } else { ExitCode::SUCCESS }
}

fn soak(arguments: &Arguments, seed: u64) -> Result<Report, SoakError> {
    let plan = plan(arguments, seed)?;
    println!("seed {seed}, schedule:\n{}", plan.schedule());
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let report = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            report = plan.run() => Ok(report?),
            _ = terminate.recv() => Err(SoakError::Interrupted),
            _ = interrupt.recv() => Err(SoakError::Interrupted),
        }
    })?;
    println!("{}", report.verdict);
    for violation in report.verdict.violations.iter().take(MOST_STORIES) {
        println!("{}", story::tell(violation, &report.events, &report.layout));
    }
    Ok(report)
}

fn plan(arguments: &Arguments, seed: u64) -> Result<Plan, SoakError> {
    let schedule = arguments.schedule.as_deref().map(read_schedule).transpose()?;
    let program = match &arguments.program {
        Some(program) => program.clone(),
        None => beside_this_program("lanegate")?,
    };
    if !program.exists() {
        return Err(SoakError::NoProgram(program));
    }
    let folder = arguments.folder.clone().unwrap_or_else(|| PathBuf::from("target/soak"));
    fs::create_dir_all(&folder)?;
    let folder = fs::canonicalize(folder)?;
    Ok(Plan { seed, length: Duration::from_secs(arguments.seconds), schedule, program, folder })
}

fn read_schedule(path: &Path) -> Result<Schedule, SoakError> {
    let text =
        fs::read_to_string(path).map_err(|source| SoakError::Unreadable { path: path.to_owned(), source })?;
    text.parse().map_err(|source| SoakError::Schedule { path: path.to_owned(), source })
}

fn beside_this_program(name: &str) -> io::Result<PathBuf> {
    Ok(env::current_exe()?.with_file_name(name))
}
