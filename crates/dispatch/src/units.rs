//! Conversions between the units of configuration documents and of the clock.

use fair_edf::Ns;
use std::time::Duration;

/// A duration from ms; zero if `value` is negative or not finite.
pub(crate) fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or_default()
}

/// A duration from s; zero if `value` is negative or not finite.
pub(crate) fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

/// A time on the clock of the timelines, ns.
pub(crate) fn nanoseconds(time: Duration) -> Ns {
    Ns::try_from(time.as_nanos()).unwrap_or(Ns::MAX)
}
