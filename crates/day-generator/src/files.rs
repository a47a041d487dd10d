//! Writing drawn days into a folder.

use crate::draw::draw_day;
use crate::error::Error;
use crate::site::Site;
use crate::weights::Weights;
use std::path::{Path, PathBuf};

/// Which days to draw.
#[derive(Debug, Clone, Copy)]
pub struct Order {
    pub seed: u64,
    /// Number of days.
    pub count: u32,
    pub weights: Weights,
}

/// Draws the days of an order and writes each into a file of its own. Gives the paths.
///
/// # Errors
///
/// When the folder or a file cannot be written.
pub fn write_days(site: &Site, order: Order, folder: &Path) -> Result<Vec<PathBuf>, Error> {
    std::fs::create_dir_all(folder).map_err(|cause| Error::Write { path: folder.to_path_buf(), cause })?;
    (0..order.count).map(|number| write_day(site, order, number, folder)).collect()
}

fn write_day(site: &Site, order: Order, number: u32, folder: &Path) -> Result<PathBuf, Error> {
    let day = draw_day(site, order.weights, order.seed, number);
    let path = folder.join(format!("{}-{}-{number:03}.toml", site.name, order.seed));
    match std::fs::write(&path, day.to_string()) {
        Ok(()) => Ok(path),
        Err(cause) => Err(Error::Write { path, cause }),
    }
}
