//! Draws days of faults for the operators' bench: a site file and a seed in, day files out.
//!
//! A day takes its traffic, its marks and its floors from one of the site's own days. What else it holds, its
//! [`Profile`] tells: faults of all kinds of the [`catalogue`], several at once and more than once, with every
//! variant that the kind has; or a [`crowd`] of a few kinds with few others beside it. The same site, seed and
//! profile always give the same days.

pub mod catalogue;
pub mod crowd;
mod day;
mod draw;
mod entry;
mod error;
mod faults;
mod files;
mod kind;
pub mod loss;
pub mod play;
mod profile;
mod site;
mod variant;
mod weights;

pub use day::{Day, Entry};
pub use draw::{Draw, draw_day};
pub use error::Error;
pub use files::write_days;
pub use profile::Profile;
pub use site::Site;
pub use weights::{UnknownWeights, Weights};
