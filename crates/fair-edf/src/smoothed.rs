//! Exponentially weighted means of times.

/// Parameters of an exponentially weighted mean.
#[derive(Clone, Copy, Debug)]
pub struct Smoothing {
    /// Value before the first sample, s. The first sample replaces it.
    pub initial: f64,
    /// Weight of each further sample, 0 to 1.
    pub gain: f64,
}

impl Smoothing {
    /// A mean without samples.
    pub const fn start(&self) -> Smoothed {
        Smoothed(self.initial)
    }
}

/// A time as an exponentially weighted mean of its samples, s.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(transparent))]
pub struct Smoothed(f64);

impl Smoothed {
    /// The mean, s.
    pub const fn seconds(self) -> f64 {
        self.0
    }

    /// Adds a sample, s.
    pub fn sample(&mut self, smoothing: &Smoothing, measured: f64) {
        let gain = if self.0 == smoothing.initial { 1.0 } else { smoothing.gain };
        self.0 += gain * (measured - self.0);
    }

    /// Adds a sample of which only a lower bound is known, s. A bound below the mean changes nothing.
    pub fn sample_at_least(&mut self, smoothing: &Smoothing, least: f64) {
        self.0 += smoothing.gain * (least - self.0).max(0.0);
    }
}
