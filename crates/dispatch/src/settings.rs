//! What the dispatcher takes from the settings file of its process.

use lanegate_config::mechanism::SwitchedOff;
use lanegate_config::settings::{Bounds, Settings};
use std::collections::BTreeMap;

/// Settings of one dispatcher.
#[derive(Debug, Clone, Default)]
pub struct DispatchSettings {
    /// Zone of this router.
    pub zone: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Figures of the rules in force.
    pub bounds: Bounds,
    /// Mechanisms that do not work.
    pub switched_off: SwitchedOff,
}

impl From<&Settings> for DispatchSettings {
    fn from(settings: &Settings) -> Self {
        DispatchSettings {
            zone: settings.zone.clone(),
            zones: settings.zones.clone(),
            bounds: settings.bounds.clone(),
            switched_off: settings.switched_off,
        }
    }
}
