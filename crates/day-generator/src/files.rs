//! Writing drawn days into a folder.

use crate::draw::{Draw, draw_day};
use crate::error::Error;
use crate::site::Site;
use std::path::{Path, PathBuf};

/// Draws the first `count` days and writes each into a file of its own. Gives the paths.
///
/// # Errors
///
/// When the folder or a file cannot be written.
pub fn write_days(site: &Site, draw: Draw, count: u32, folder: &Path) -> Result<Vec<PathBuf>, Error> {
    std::fs::create_dir_all(folder).map_err(|cause| Error::Write { path: folder.to_path_buf(), cause })?;
    (0..count).map(|number| write_day(site, draw, number, folder)).collect()
}

fn write_day(site: &Site, draw: Draw, number: u32, folder: &Path) -> Result<PathBuf, Error> {
    let day = draw_day(site, draw, number);
    let path = folder.join(file_name(site, draw, number));
    match std::fs::write(&path, day.to_string()) {
        Ok(()) => Ok(path),
        Err(cause) => Err(Error::Write { path, cause }),
    }
}

/// The site, the profile where it is not the mixed one, the seed and the number of the day.
fn file_name(site: &Site, draw: Draw, number: u32) -> String {
    let label = draw.label().map(|label| format!("{label}-")).unwrap_or_default();
    format!("{}-{label}{}-{number:03}.toml", site.name, draw.seed)
}
