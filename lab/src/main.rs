//! `courier-lab`: plays experiments on real couriers and judges them.

use anyhow::Result;
use clap::{Parser, Subcommand};
use courier_lab::experiment::Experiment;
use courier_lab::report::sweep::Axis;
use courier_lab::report::{compare, found, page, story, sweep};
use courier_lab::run::{self, Options, Outcome};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    version,
    about = "Plays experiments on real couriers, with faults between them, and judges what was seen"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play one experiment. Exit 0: all holds; 1: something does not; 2: the input is unusable; 3: the lab
    /// itself was late, and the run says nothing.
    Run {
        #[command(flatten)]
        what: What,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = COURIER)]
        courier: PathBuf,
    },
    /// Play a grid over keys and seeds; a row for each run.
    Sweep {
        #[command(flatten)]
        what: What,
        /// Values of a key, as `load.rate=100,200`; several make a grid.
        #[arg(long = "over", value_name = "KEY=VALUE,...", required = true)]
        axes: Vec<Axis>,
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        #[arg(long, default_value = COURIER)]
        courier: PathBuf,
    },
    /// Play two couriers on the same seeds, in turn, and tell whether they differ.
    Compare {
        #[command(flatten)]
        what: What,
        a: PathBuf,
        b: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "1,2,3,4,5")]
        seeds: Vec<u64>,
    },
    /// Judge a run's record once more.
    Audit {
        #[command(flatten)]
        what: What,
        /// The run's folder.
        folder: PathBuf,
    },
    /// Draw a run's plots and its page.
    Plot {
        /// The run's folder.
        folder: PathBuf,
    },
    /// Tell the story of one message through all processes.
    Story {
        /// The run's folder.
        folder: PathBuf,
        /// Any id under which it was handed in.
        id: String,
    },
    /// Count what became of the messages that restarts found untried. Exit 1 if over half of those with half of
    /// their time left were given up with no call, in any of the folders.
    Found {
        /// Folders of couriers' logs, `*.log`, with a time before each line.
        #[arg(required = true)]
        folders: Vec<PathBuf>,
    },
}

const COURIER: &str = "target/release/courier";

#[derive(clap::Args)]
struct What {
    /// The experiment.
    file: PathBuf,
    /// Set a key of the experiment to another value, as `load.rate=300`.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Where the record, the logs and the summary go.
    #[arg(long)]
    out: Option<PathBuf>,
}

impl What {
    fn experiment(&self) -> Result<Experiment> {
        Experiment::read(&self.file, &self.set)
    }

    fn out(&self, otherwise: impl FnOnce() -> String) -> PathBuf {
        self.out.clone().unwrap_or_else(|| PathBuf::from("target/lab").join(otherwise()))
    }
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("warn"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match carry_out(Arguments::parse().command) {
        Ok(Outcome::Holds) => ExitCode::SUCCESS,
        Ok(Outcome::Fails) => ExitCode::from(1),
        Ok(Outcome::Invalid) => ExitCode::from(3),
        Err(e) => {
            eprintln!("courier-lab: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn carry_out(command: Command) -> Result<Outcome> {
    match command {
        Command::Run { what, seed, courier } => {
            let experiment = what.experiment()?;
            let out = what.out(|| format!("{}-{seed}", experiment.name));
            let finished = run::run(&experiment, &Options { seed, out: out.clone(), courier })?;
            println!("{}\n{}", finished.summary.text(), out.display());
            Ok(finished.outcome)
        }
        Command::Sweep { what, axes, seeds, courier } => {
            let out = what.out(|| format!("{}-sweep", what.file.file_stem().unwrap_or_default().display()));
            let (file, set, courier) = (&what.file, &what.set[..], &courier);
            sweep::Sweep { file, set, axes: &axes, seeds: &seeds, courier, out: &out }.play()
        }
        Command::Compare { what, a, b, seeds } => {
            let experiment = what.experiment()?;
            let out = what.out(|| format!("{}-compare", experiment.name));
            let (text, outcome) = compare::compare(&experiment, [&a, &b], &seeds, &out)?;
            print!("{text}");
            Ok(outcome)
        }
        Command::Audit { what, folder } => {
            let finished = run::judge(&what.experiment()?, &folder)?;
            println!("{}", finished.summary.text());
            Ok(finished.outcome)
        }
        Command::Plot { folder } => {
            println!("{}", page::write(&folder)?.display());
            Ok(Outcome::Holds)
        }
        Command::Story { folder, id } => {
            print!("{}", story::tell(&folder, &id)?);
            Ok(Outcome::Holds)
        }
        Command::Found { folders } => {
            let mut outcome = Outcome::Holds;
            for folder in &folders {
                let found = found::count(folder)?;
                println!("{}: {found}", folder.display());
                if found.fails() {
                    outcome = Outcome::Fails;
                }
            }
            Ok(outcome)
        }
    }
}
