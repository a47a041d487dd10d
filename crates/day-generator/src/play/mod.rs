//! Plays drawn days with the operators' bench and tells which rules were broken.
//!
//! The bench is a program that is named on the command line. Each day is one process of it, several at once; what
//! it prints and its report stay beside each other in a folder, so that a broken day can be looked at.

mod bench;
mod report;
mod summary;

pub use bench::{Bench, Played, play_all};
pub use report::{Break, Report};
pub use summary::Summary;
