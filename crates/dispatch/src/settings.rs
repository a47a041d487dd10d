//! The settings of the dispatcher.

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
    /// Bounds of retries and times.
    pub bounds: Bounds,
    /// Mechanisms that are switched off.
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
