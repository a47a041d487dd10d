//! Logging to standard error, one line per event.

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use std::io::Write;

/// Time of day (UTC), level, module and message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t}: {m}";

/// Name of the one appender.
const STANDARD_ERROR: &str = "stderr";

/// Starts logging events of `level` and more severe ones; does nothing for `Off`.
pub(crate) fn start(level: LevelFilter) {
    if level == LevelFilter::Off {
        return;
    }
    let appender = StandardError { encoder: PatternEncoder::new(PATTERN) };
    let appender = Appender::builder().build(STANDARD_ERROR, Box::new(appender));
    let root = Root::builder().appender(STANDARD_ERROR).build(level);
    let started = Config::builder().appender(appender).build(root).map(log4rs::init_config);
    if !matches!(started, Ok(Ok(_))) {
        eprintln!("lanegate: logging could not be initialized");
    }
}

/// Writes each event with a single call, so that lines of several processes do not interleave.
#[derive(Debug)]
struct StandardError {
    encoder: PatternEncoder,
}

impl Append for StandardError {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = Vec::with_capacity(256);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        join_lines(&mut line);
        line.push(b'\n');
        // If standard error is closed, there is nowhere to report the failure.
        let _ = std::io::stderr().write_all(&line);
        Ok(())
    }

    fn flush(&self) {}
}

fn join_lines(line: &mut [u8]) {
    for byte in line.iter_mut().filter(|byte| matches!(byte, b'\n' | b'\r')) {
        *byte = b' ';
    }
}
