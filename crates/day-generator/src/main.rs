//! The command line of the generator.

use bpaf::{OptionParser, Parser, construct, long, positional};
use day_generator::{Draw, Error, Profile, Site, Weights, write_days};
use std::path::PathBuf;
use std::process::ExitCode;

/// Days that are drawn when no number is given.
const DEFAULT_COUNT: u32 = 10;

/// What the command line asks for.
#[derive(Debug, Clone)]
struct Arguments {
    seed: u64,
    count: u32,
    profile: Profile,
    site: PathBuf,
    folder: PathBuf,
}

fn options() -> OptionParser<Arguments> {
    let seed =
        long("seed").help("Same seed, same days").argument::<u64>("SEED").fallback(1).display_fallback();
    let count = long("count")
        .help("Number of days")
        .argument::<u32>("COUNT")
        .fallback(DEFAULT_COUNT)
        .display_fallback();
    let site = positional::<PathBuf>("SITE").help("The site file of a deployment");
    let folder = positional::<PathBuf>("FOLDER").help("Where the day files go");
    construct!(Arguments { seed, count, profile(), site, folder })
        .to_options()
        .descr("Draws days of faults for a deployment")
        .version(env!("CARGO_PKG_VERSION"))
}

/// A crowded profile by its name, or the mixed one with its own options.
fn profile() -> impl Parser<Profile> {
    let crowded = long("profile")
        .help("Days full of one thing: planned (planned work) or orders (orders to endpoints)")
        .argument::<String>("NAME")
        .parse(|name| crowded_profile(&name))
        .optional();
    let weights = long("weights")
        .help("What is drawn most: control (default), even or endpoints")
        .argument::<String>("NAME")
        .parse(|name| name.parse::<Weights>())
        .optional();
    let max_faults = long("max-faults")
        .help("Most faults of a day, 6 to 60 (default 13)")
        .argument::<usize>("NUMBER")
        .optional();
    construct!(crowded, weights, max_faults).parse(|(crowded, weights, max_faults)| {
        match (crowded, weights, max_faults) {
            (Some(profile), None, None) => Ok(profile),
            (Some(profile), ..) => Err(format!("profile {} takes no other options", profile.name())),
            (None, weights, max_faults) => Ok(Profile::Mixed {
                weights: weights.unwrap_or(Weights::Control),
                max_faults: max_faults.unwrap_or(Profile::DEFAULT_MAX_FAULTS),
            }),
        }
    })
}

fn crowded_profile(name: &str) -> Result<Profile, String> {
    let known = Profile::CROWDED.into_iter().find(|profile| profile.name() == name);
    known.ok_or_else(|| {
        let names = Profile::CROWDED.map(Profile::name).join(", ");
        format!("profile {name:?} is none of {names}")
    })
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("day-generator: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Writes the days and prints their paths.
fn run(arguments: &Arguments) -> Result<(), Error> {
    let site = Site::read(&arguments.site)?;
    let draw = Draw { seed: arguments.seed, profile: arguments.profile };
    for path in write_days(&site, draw, arguments.count, &arguments.folder)? {
        println!("{}", path.display());
    }
    Ok(())
}
