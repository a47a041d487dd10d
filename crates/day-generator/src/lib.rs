//! Draws days of troubles for the operators' bench: a site file and a seed in, day files out.
//!
//! A day takes its traffic, its marks and its floors from one of the site's own days. Its troubles are drawn from the
//! [`catalogue`]: any kind that fits the site, several at once and more than once, with every variant that the kind
//! has. The same site, seed and [`Weights`] always give the same days.

pub mod catalogue;
mod day;
mod draw;
mod error;
mod files;
mod site;
mod variant;
mod weights;

pub use day::{Day, Entry};
pub use draw::{Draw, draw_day};
pub use error::Error;
pub use files::write_days;
pub use site::Site;
pub use weights::Weights;
