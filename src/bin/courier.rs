//! The courier as a program: clients, endpoints, discovery and the platform on real sockets; and what operators
//! do with the journal of one that does not run.

use clap::{Parser, Subcommand};
use lanegate_courier::node;
use lanegate_courier::node::offline::{self, Finding};
use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Without arguments: the courier, as the environment tells it.
#[derive(Parser)]
#[command(name = "courier", version, about, disable_help_subcommand = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// The journal of a courier that does not run
    #[command(subcommand, after_help = EXITS)]
    Journal(Journal),
}

const EXITS: &str =
    "Exit codes: 0 sound, or mended; 1 damaged; 2 wrong arguments; 3 in use, or it cannot be read.";

/// DIR is the folder that LB_STATE names for that courier.
#[derive(Subcommand)]
enum Journal {
    /// Tell what is damaged, and what that costs; changes nothing
    #[command(after_help = EXITS)]
    Check { dir: PathBuf },
    /// Print the messages that live, with their attempts; changes nothing
    #[command(after_help = EXITS)]
    Show {
        dir: PathBuf,
        /// Only the message of this id
        #[arg(long)]
        id: Option<String>,
        /// One JSON object a line
        #[arg(long)]
        json: bool,
    },
    /// Write a damaged journal anew from what can be read; the damaged one is kept under another name
    #[command(after_help = EXITS)]
    Repair { dir: PathBuf },
}

const DAMAGED: u8 = 1;
const UNUSABLE: u8 = 3;

fn told(fault: &impl Display) {
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
            told(&fault);
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
                told(&fault);
                ExitCode::FAILURE
            }
        },
    }
}
