//! A soak test of lanegate: real processes on loopback addresses, stand-ins for everything around them, troubles
//! drawn from a seed, and an auditor that judges from outside.
//!
//! See `docs/soak.md` for what runs and what is checked.

pub mod answer;
pub mod audit;
pub mod catalog;
mod client;
mod command_line;
pub mod endpoint;
mod entry;
mod injection;
pub mod journal;
pub mod layout;
pub mod metrics;
pub mod names;
mod operator;
mod process;
mod random;
pub mod relay;
mod run;
pub mod schedule;
mod story;

pub use command_line::{Arguments, main_with, parse};
pub use run::{LEAST_TIME, Plan, RECOVERY_TIME, Report, RunError};
pub use story::tell;
