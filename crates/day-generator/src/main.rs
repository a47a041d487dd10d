//! The command line of the generator.

use bpaf::{OptionParser, Parser, construct, long, positional};
use day_generator::{Draw, Error, Site, Weights, write_days};
use std::path::PathBuf;
use std::process::ExitCode;

/// Days that are drawn when no number is given.
const DEFAULT_COUNT: u32 = 10;

/// What the command line asks for.
#[derive(Debug, Clone)]
struct Arguments {
    seed: u64,
    count: u32,
    weights: Weights,
    most_troubles: usize,
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
    let weights = long("weights")
        .help("What is drawn most: control, even or endpoints")
        .argument::<String>("NAME")
        .parse(|name| name.parse::<Weights>())
        .fallback(Weights::Control);
    let most_troubles = long("most-troubles")
        .help("Most troubles of a day, 6 to 60")
        .argument::<usize>("NUMBER")
        .fallback(Draw::DEFAULT_MOST_TROUBLES)
        .display_fallback();
    let site = positional::<PathBuf>("SITE").help("The site file of a deployment");
    let folder = positional::<PathBuf>("FOLDER").help("Where the day files go");
    construct!(Arguments { seed, count, weights, most_troubles, site, folder })
        .to_options()
        .descr("Draws days of troubles for a deployment")
        .version(env!("CARGO_PKG_VERSION"))
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
    let Arguments { seed, weights, most_troubles, .. } = *arguments;
    let draw = Draw { seed, weights, most_troubles };
    for path in write_days(&site, draw, arguments.count, &arguments.folder)? {
        println!("{}", path.display());
    }
    Ok(())
}
