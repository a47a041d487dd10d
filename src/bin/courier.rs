//! The courier executable: runs the courier on real sockets (clients, endpoints, discovery, platform), and has
//! commands for operators to inspect and repair the journal of a courier that is not running.

use clap::{Parser, Subcommand};
use lanegate_courier::node;
use lanegate_courier::node::offline::{self, Finding};
use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Without arguments, runs the courier as configured by the environment.
#[derive(Parser)]
#[command(name = "courier", version, about, disable_help_subcommand = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Inspect or repair the journal of a courier that is not running
    #[command(subcommand, after_help = EXITS)]
    Journal(Journal),
}

const EXITS: &str =
    "Exit codes: 0 intact or repaired; 1 damaged; 2 invalid arguments; 3 in use or unreadable.";

/// DIR is the directory that LB_STATE sets for that courier.
#[derive(Subcommand)]
enum Journal {
    /// Report damage and its consequences; changes nothing
    #[command(after_help = EXITS)]
    Check { dir: PathBuf },
    /// Print the messages without a final answer, with their attempts; changes nothing
    #[command(after_help = EXITS)]
    Show {
        dir: PathBuf,
        /// Only the message with this id
        #[arg(long)]
        id: Option<String>,
        /// Print one JSON object per line
        #[arg(long)]
        json: bool,
    },
    /// Rewrite a damaged journal from its readable records; the damaged one is kept under another name
    #[command(after_help = EXITS)]
    Repair { dir: PathBuf },
}

const DAMAGED: u8 = 1;
const UNUSABLE: u8 = 3;

fn print_error(fault: &impl Display) {
    eprintln!("courier: {fault}");
}

fn journal(command: Journal) -> ExitCode {
    let out = &mut io::stdout().lock();
    let done = match command {
        Journal::Check { dir } => offline::check(&dir, out),
        Journal::Show { dir, id, json } => offline::show(&dir, id.as_deref(), json, out),
        Journal::Repair { dir } => offline::repair(&dir, u64::from(std::process::id()), out),
    };
    match done {
        Ok(Finding::Undamaged | Finding::Repaired) => ExitCode::SUCCESS,
        Ok(Finding::Damaged) => ExitCode::from(DAMAGED),
        Err(fault) => {
            print_error(&fault);
            ExitCode::from(UNUSABLE)
        }
    }
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Some(Command::Journal(command)) => journal(command),
        None => match node::run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(fault) => {
                print_error(&fault);
                ExitCode::FAILURE
            }
        },
    }
}
