//! Operators' options besides the platform's configuration: an optional TOML file named by `LB_OPTIONS`. Without it
//! the defaults apply.

use crate::store::Durability;
use serde::Deserialize;
use std::fs;
use std::path::Path;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    pub store: Store,
}

/// How the journal is kept.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    pub durability: Durability,
    pub on_damage: OnDamage,
    /// Interval between scrubs of a sealed segment, s; 0 disables them.
    scrub_s: f64,
}

/// What to do if the journal is found damaged at the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnDamage {
    /// Quarantines and logs the damage, and serves.
    #[default]
    Serve,
    /// Ends, with nothing changed: `courier journal check` shows it, `repair` mends it.
    Refuse,
}

const DEFAULT_SCRUB_S: f64 = 10.0;
/// A year: anything longer is a mistake.
const MAX_SCRUB_S: f64 = 3.2e7;

impl Default for Store {
    fn default() -> Self {
        Store { durability: Durability::default(), on_damage: OnDamage::default(), scrub_s: DEFAULT_SCRUB_S }
    }
}

impl Store {
    /// The scrub interval, if scrubbing is enabled.
    pub fn scrub(&self) -> Option<Duration> {
        (self.scrub_s > 0.0).then(|| Duration::from_secs_f64(self.scrub_s))
    }
}

impl Options {
    /// # Errors
    /// What is wrong, with the file and the place in it.
    pub fn read(path: &Path) -> Result<Self, String> {
        let at = |why: String| format!("{}: {why}", path.display());
        let text = fs::read_to_string(path).map_err(|e| at(e.to_string()))?;
        let options: Options = toml::from_str(&text).map_err(|e| at(e.to_string().trim().to_owned()))?;
        let scrub = options.store.scrub_s;
        if !(0.0..=MAX_SCRUB_S).contains(&scrub) {
            return Err(at(format!("store.scrub_s: {scrub} is no time between 0 and {MAX_SCRUB_S} s")));
        }
        Ok(options)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Options, String> {
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("courier-options-{}-{number}", std::process::id()));
        fs::write(&path, text).expect("written");
        let read = Options::read(&path);
        let _ = fs::remove_file(path);
        read
    }

    #[test]
    fn what_is_left_out_is_as_the_defaults_say() {
        assert_eq!(read(""), Ok(Options::default()));
        let set = read("[store]\ndurability = \"power\"\n").expect("read").store;
        assert_eq!(
            (set.durability, set.on_damage, set.scrub()),
            (Durability::Power, OnDamage::Serve, Some(Duration::from_secs(10)))
        );
    }

    #[test]
    fn a_slip_is_told_with_its_place() {
        for (text, told) in [
            ("[store]\ndurabilty = \"power\"", "durabilty"),
            ("[store]\ndurability = \"disk\"", "`process` or `power`"),
            ("[store]\nscrub_s = -1", "store.scrub_s"),
            ("[store]\nscrub_s = nan", "store.scrub_s"),
            ("[stor]", "stor"),
            ("store", "line 1"),
        ] {
            let why = read(text).expect_err(text);
            assert!(why.contains(told), "{why}");
        }
    }
}
