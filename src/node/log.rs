//! The log on standard error: one line per event; lines about a message start with its client-assigned id.

use std::fmt;
use std::io::{self, Write};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;

/// Writes one line in one call, so that lines never mix. A closed standard error must not end the
/// courier, as `eprintln!` would.
pub fn line(text: fmt::Arguments) {
    let _ = io::stderr().write_all(format!("{text}\n").as_bytes());
}

/// Lines that may be queued; further ones are dropped.
const MAX_QUEUED_LINES: usize = 64;

/// Writes to the log from a thread of its own, for callers that must not block on its reader.
pub struct BackgroundLog(SyncSender<String>);

impl BackgroundLog {
    pub fn new() -> io::Result<Self> {
        let (lines, written) = sync_channel::<String>(MAX_QUEUED_LINES);
        let write = move || written.iter().for_each(|text| line(format_args!("{text}")));
        thread::Builder::new().name("log".to_owned()).spawn(write)?;
        Ok(BackgroundLog(lines))
    }

    pub fn line(&self, text: String) {
        let _ = self.0.try_send(text);
    }
}

macro_rules! log_line {
    ($($text:tt)*) => { $crate::node::log::line(format_args!($($text)*)) };
}

pub(crate) use log_line;
