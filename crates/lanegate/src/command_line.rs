//! The command line.

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional};
use lanegate_config::mechanism::Mechanism;
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Width of help texts, columns.
const HELP_WIDTH: usize = 100;

/// What the command line asks for.
#[derive(Debug, Clone)]
pub(crate) struct Arguments {
    pub log_level: LevelFilter,
    pub command: Command,
}

/// One command.
#[derive(Debug, Clone)]
pub(crate) enum Command {
    Router(ProcessOptions),
    Agent { metrics_port: Option<u16> },
    Controller(ProcessOptions),
    Check { files: Vec<PathBuf> },
    Status { address: SocketAddr },
}

/// How a process serves that decides for requests or models.
#[derive(Debug, Clone)]
pub(crate) struct ProcessOptions {
    pub metrics_port: Option<u16>,
    /// Mechanisms that are switched off.
    pub disabled_mechanisms: Vec<Mechanism>,
}

/// A command line, read.
pub(crate) enum Parsed {
    Arguments(Arguments),
    /// Help or version.
    HelpOrVersion(String),
    /// What is wrong with it.
    UsageError(String),
}

/// Reads the command line of this process.
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
        .descr("A router and placer for many models")
        .footer("LANEGATE_NODE_FILE names the settings file of router, agent and controller.")
        .version(env!("CARGO_PKG_VERSION"))
        .max_width(HELP_WIDTH)
}

fn log_level() -> impl Parser<LevelFilter> {
    long("log-level")
        .env("LANEGATE_LOG")
        .help("What is logged to standard error: off, error, warn, info, debug or trace")
        .argument::<String>("LEVEL")
        .parse(|level| parse_log_level(&level))
        .fallback(LevelFilter::Warn)
        .display_fallback()
}

fn parse_log_level(level: &str) -> Result<LevelFilter, String> {
    let read = level.parse();
    read.map_err(|_| format!("log level {level:?} is none of off, error, warn, info, debug and trace"))
}

fn command() -> impl Parser<Command> {
    let router = process_options().map(Command::Router).to_options();
    let router = router.descr("Serve clients").command("router");
    let agent = metrics_port().map(|metrics_port| Command::Agent { metrics_port }).to_options();
    let agent = agent.descr("Keep a router fed").command("agent");
    let controller = process_options().map(Command::Controller).to_options();
    let controller = controller.descr("Keep configuration and registrations").command("controller");
    let check = check().to_options().descr("Check settings and configuration files").command("check");
    let status = status().to_options().descr("Ask a controller how it is").command("status");
    construct!([router, agent, controller, check, status])
}

fn process_options() -> impl Parser<ProcessOptions> {
    let metrics_port = metrics_port();
    let disabled_mechanisms = disabled_mechanisms();
    construct!(ProcessOptions { metrics_port, disabled_mechanisms })
}

fn disabled_mechanisms() -> impl Parser<Vec<Mechanism>> {
    long("without")
        .help("A mechanism that is switched off, to measure what it is worth; may be given several times")
        .argument::<String>("MECHANISM")
        .parse(|name| name.parse::<Mechanism>())
        .many()
}

fn metrics_port() -> impl Parser<Option<u16>> {
    long("metrics-port")
        .help("Port at the machine's address where GET /metrics tells the figures of the process")
        .argument::<u16>("PORT")
        .guard(|port| *port > 0, "the port of the metrics cannot be 0")
        .optional()
}

fn check() -> impl Parser<Command> {
    let files = positional::<PathBuf>("FILE")
        .help("A settings file (YAML) or a configuration (JSON)")
        .some("name at least one file");
    construct!(Command::Check { files })
}

fn status() -> impl Parser<Command> {
    let address =
        positional::<SocketAddr>("ADDRESS").help("Address of a control interface, as 10.0.0.4:8080");
    construct!(Command::Status { address })
}
