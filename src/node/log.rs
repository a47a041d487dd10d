//! The operators' log on standard error: one line an event, a message's lines under its client's id.

use std::fmt;
use std::io::{self, Write};

/// Writes one line in one call, so that lines never mix. A reader that is gone must not end the courier, as
/// `eprintln!` would.
pub fn line(text: fmt::Arguments) {
    let _ = io::stderr().write_all(format!("{text}\n").as_bytes());
}

macro_rules! say {
    ($($text:tt)*) => { $crate::node::log::line(format_args!($($text)*)) };
}

pub(crate) use say;
