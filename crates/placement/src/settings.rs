//! Settings of a placer.

use lanegate_config::mechanism::SwitchedOff;
use lanegate_config::settings::Settings;
use std::time::Duration;

/// Whether another placer may have sent orders shortly before this one starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartMode {
    /// No orders were sent within the last window of the rate limit.
    First,
    /// A predecessor may have used up the rate limit, and its orders may still be in flight.
    Takeover,
}

/// Settings of a placer, and how it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacerSettings {
    /// Length of the sliding window in which loads from the weight store are counted.
    pub rate_limit_window: Duration,
    /// Factor by which the loads of a window may exceed the permitted rate.
    pub rate_limit_overshoot: f64,
    /// How this placer starts.
    pub start: StartMode,
    /// Mechanisms that are switched off.
    pub switched_off: SwitchedOff,
}

impl PlacerSettings {
    /// Takes the values from the settings of the process.
    pub fn new(settings: &Settings, start: StartMode) -> PlacerSettings {
        let bounds = &settings.bounds;
        PlacerSettings {
            rate_limit_window: Duration::from_secs_f64(bounds.rate_limit_window_s.max(0.0)),
            rate_limit_overshoot: bounds.rate_limit_overshoot,
            start,
            switched_off: settings.switched_off,
        }
    }
}
