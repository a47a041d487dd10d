//! What a placer is told once, when it is made.

use lanegate_config::mechanism::SwitchedOff;
use lanegate_config::settings::Settings;
use std::time::Duration;

/// Whether somebody may have placed models just before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Nobody has given orders within the last ceiling window.
    First,
    /// A predecessor may have used up the ceiling, and orders of it may be under way.
    Takeover,
}

/// Figures of the rules in force, and how this placer begins.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacerSettings {
    /// Length of the sliding window in which loads from the weight store are counted.
    pub ceiling_window: Duration,
    /// How far beyond the permitted rate the loads of a window may lie.
    pub ceiling_overshoot: f64,
    pub start: Start,
    /// Mechanisms that do not work.
    pub switched_off: SwitchedOff,
}

impl PlacerSettings {
    /// Takes the figures from the settings of the process.
    pub fn new(settings: &Settings, start: Start) -> PlacerSettings {
        let bounds = &settings.bounds;
        PlacerSettings {
            ceiling_window: Duration::from_secs_f64(bounds.rate_limit_window_s.max(0.0)),
            ceiling_overshoot: bounds.rate_limit_overshoot,
            start,
            switched_off: settings.switched_off,
        }
    }
}
