//! The command line that plays many days with the operators' bench. Run it in the root of the sources that are
//! to be measured: the bench builds these.

use bpaf::{OptionParser, Parser, construct, long, positional};
use day_generator::Error;
use day_generator::play::{Bench, Summary, play_all};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Days that are played at the same time when no number is given.
const DEFAULT_AT_ONCE: usize = 2;

/// What the command line asks for.
#[derive(Debug, Clone)]
struct Arguments {
    bench: PathBuf,
    why: String,
    at_once: usize,
    logged: Option<String>,
    folder: PathBuf,
    site: PathBuf,
    days: Vec<PathBuf>,
}

fn options() -> OptionParser<Arguments> {
    let bench = long("bench").help("The operators' bench").argument::<PathBuf>("PROGRAM");
    let why = long("why").help("Reason that stands in the bench's journal").argument::<String>("TEXT");
    let at_once = long("at-once")
        .help("Days played at the same time")
        .argument::<usize>("NUMBER")
        .fallback(DEFAULT_AT_ONCE)
        .display_fallback();
    let logged = long("log")
        .help("Machines whose logs are kept: names, or all")
        .argument::<String>("NAMES")
        .optional();
    let folder = long("folder").help("Where reports and output go").argument::<PathBuf>("FOLDER");
    let site = positional::<PathBuf>("SITE").help("The site file of a deployment");
    let days = positional::<PathBuf>("DAY").help("Day files, or folders of them").some("no day to play");
    construct!(Arguments { bench, why, at_once, logged, folder, site, days })
        .to_options()
        .descr("Plays days with the operators' bench and tells which rules were broken")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(summary) => {
            println!("{summary}");
            ExitCode::from(u8::from(!summary.is_clean()))
        }
        Err(error) => {
            eprintln!("play-days: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<Summary, Error> {
    let folder = &arguments.folder;
    std::fs::create_dir_all(folder).map_err(|cause| Error::Write { path: folder.clone(), cause })?;
    let bench = Bench {
        program: arguments.bench.clone(),
        site: arguments.site.clone(),
        folder: folder.clone(),
        why: arguments.why.clone(),
        logged: arguments.logged.clone(),
    };
    let mut summary = Summary::default();
    play_all(&bench, &day_files(&arguments.days)?, arguments.at_once, |day| {
        if let Some(text) = summary.add(&day) {
            println!("{text}");
        }
    });
    Ok(summary)
}

/// The files named, and those of the folders named, in order of their names.
fn day_files(named: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    for path in named {
        if path.is_dir() {
            files.extend(files_of(path)?);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

fn files_of(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let failed = |cause| Error::Read { path: folder.to_path_buf(), cause };
    let entries = std::fs::read_dir(folder).map_err(failed)?;
    let mut files = entries
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<Result<Vec<_>, _>>()
        .map_err(failed)?;
    files.retain(|path| path.extension().is_some_and(|ending| ending == "toml"));
    files.sort();
    Ok(files)
}
