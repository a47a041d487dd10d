//! The command line.

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional};
use lanegate_config::mechanism::Mechanism;
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Width of help texts, columns.
const HELP_WIDTH: usize = 100;

/// The parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Arguments {
    pub log_level: LevelFilter,
    pub command: Command,
}

/// A subcommand with its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Command {
    Router(ProcessOptions),
    Agent { metrics_port: Option<u16> },
    Controller(ProcessOptions),
    Check { files: Vec<PathBuf> },
    Status { address: SocketAddr },
}

/// Options of the processes that route requests or place models.
#[derive(Debug, Clone)]
pub(crate) struct ProcessOptions {
    pub metrics_port: Option<u16>,
    /// Mechanisms that `--without` switches off.
    pub disabled_mechanisms: Vec<Mechanism>,
}

/// Result of parsing the command line.
pub(crate) enum Parsed {
    Arguments(Arguments),
    /// The text of `--help` or `--version`.
    HelpOrVersion(String),
    /// Why the command line is invalid.
    UsageError(String),
}

/// Parses the command line of this process.
pub(crate) fn parse() -> Parsed {
    match options().run_inner(Args::current_args()) {
        Ok(arguments) => Parsed::Arguments(arguments),
        Err(ParseFailure::Stdout(text, full)) => Parsed::HelpOrVersion(text.monochrome(full)),
        Err(ParseFailure::Completion(text)) => Parsed::HelpOrVersion(text),
        Err(ParseFailure::Stderr(text)) => Parsed::UsageError(text.monochrome(true)),
    }
}

fn options() -> OptionParser<Arguments> {
    let log_level = log_level();
    let command = command();
    construct!(Arguments { log_level, command })
        .to_options()
        .descr("Routes requests to model endpoints and places models on them")
        .footer("The variable LANEGATE_NODE_FILE names the settings file of router, agent and controller.")
        .version(env!("CARGO_PKG_VERSION"))
        .max_width(HELP_WIDTH)
}

fn log_level() -> impl Parser<LevelFilter> {
    long("log-level")
        .env("LANEGATE_LOG")
        .help("Least severe level that is logged to standard error: off, error, warn, info, debug or trace")
        .argument::<String>("LEVEL")
        .parse(|level| parse_log_level(&level))
        .fallback(LevelFilter::Warn)
        .display_fallback()
}

fn parse_log_level(level: &str) -> Result<LevelFilter, String> {
    let read = level.parse();
    read.map_err(|_| format!("invalid log level {level:?}; expected off, error, warn, info, debug or trace"))
}

fn command() -> impl Parser<Command> {
    let router = process_options().map(Command::Router).to_options();
    let router = router.descr("Route requests of clients").command("router");
    let agent = metrics_port().map(|metrics_port| Command::Agent { metrics_port }).to_options();
    let agent =
        agent.descr("Forward configuration and registrations to the router of this machine").command("agent");
    let controller = process_options().map(Command::Controller).to_options();
    let controller =
        controller.descr("Store configuration and registrations, and place models").command("controller");
    let check = check().to_options().descr("Check settings and configuration files").command("check");
    let status = status().to_options().descr("Print the status of a controller").command("status");
    construct!([router, agent, controller, check, status])
}

fn process_options() -> impl Parser<ProcessOptions> {
    let metrics_port = metrics_port();
    let disabled_mechanisms = disabled_mechanisms();
    construct!(ProcessOptions { metrics_port, disabled_mechanisms })
}

fn disabled_mechanisms() -> impl Parser<Vec<Mechanism>> {
    long("without")
        .help("Switch off a mechanism, to measure its value; may be repeated")
        .argument::<String>("MECHANISM")
        .parse(|name| name.parse::<Mechanism>())
        .many()
}

fn metrics_port() -> impl Parser<Option<u16>> {
    long("metrics-port")
        .help("Port on the machine's address at which the process serves GET /metrics")
        .argument::<u16>("PORT")
        .guard(|port| *port > 0, "the metrics port must not be 0")
        .optional()
}

fn check() -> impl Parser<Command> {
    let files = positional::<PathBuf>("FILE")
        .help("A settings file (YAML) or a configuration (JSON)")
        .some("expected at least one FILE");
    construct!(Command::Check { files })
}

fn status() -> impl Parser<Command> {
    let address = positional::<SocketAddr>("ADDRESS")
        .help("Address of a controller's control interface, such as 10.0.0.4:8080");
    construct!(Command::Status { address })
}
