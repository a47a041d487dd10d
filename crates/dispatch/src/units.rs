//! Conversions between the units of the documents and those of the clock.

use fair_edf::Ns;
use std::time::Duration;

/// A time given in ms; what is no time counts as none.
pub fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or_default()
}

/// A time computed in s; what is no time counts as none.
pub fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

/// A time on the clock of the occupancy charts.
pub fn nanoseconds(time: Duration) -> Ns {
    Ns::try_from(time.as_nanos()).unwrap_or(Ns::MAX)
}
