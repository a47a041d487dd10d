//! Figures of a lease.

use std::time::Duration;
use thiserror::Error;

/// Figures of a lease; all members of a group use the same.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long a round of grants lets its candidate act, from before it was asked for.
    pub validity: Duration,
    /// Time that must lie between the acts of two holders.
    pub quiet_period: Duration,
    /// Time between two rounds.
    pub round_interval: Duration,
    /// End of the validity that the holder leaves unused: time that an act needs on the wire.
    pub margin: Duration,
    /// Most by which the rate of a monotonic clock differs from true time, in parts per million.
    pub clock_drift_ppm: u32,
}

/// These figures cannot give a safe and usable lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LeaseSettingsError {
    #[error("the round interval has to be above zero and, with the margin, below the validity")]
    NoTimeToAct,
    #[error("the quiet period has to be above zero")]
    NoQuietPeriod,
    #[error("a duration does not fit the messages: at most 2^32 - 1 ms")]
    TooLong,
}

/// One percent: far above what quartz clocks show, and what a virtual machine may add.
const CLOCK_DRIFT_PPM: u32 = 10_000;
/// Parts per million in a whole.
const PARTS_PER_MILLION: u128 = 1_000_000;

impl LeaseSettings {
    /// Figures in proportion to the quiet period that the caller has to keep between two holders.
    pub fn for_quiet_period(quiet_period: Duration) -> Self {
        let validity = quiet_period / 3;
        LeaseSettings {
            validity,
            quiet_period,
            round_interval: validity / 3,
            margin: validity / 10,
            clock_drift_ppm: CLOCK_DRIFT_PPM,
        }
    }

    /// Refuses figures that contradict one another.
    pub fn check(&self) -> Result<(), LeaseSettingsError> {
        if self.round_interval.is_zero() || self.round_interval + self.margin >= self.validity {
            return Err(LeaseSettingsError::NoTimeToAct);
        }
        if self.quiet_period.is_zero() {
            return Err(LeaseSettingsError::NoQuietPeriod);
        }
        let longest = self.lockout_period(self.validity).max(self.quiet_period);
        u32::try_from(longest.as_millis()).map_err(|_| LeaseSettingsError::TooLong)?;
        Ok(())
    }

    /// How long a grantor of `validity` refuses other candidates, on its own clock.
    pub(super) fn lockout_period(&self, validity: Duration) -> Duration {
        self.with_clock_drift(validity + self.quiet_period)
    }

    /// `span` lengthened so that it is long enough where this clock is fast and that of the holder is slow.
    pub(super) fn with_clock_drift(&self, span: Duration) -> Duration {
        let parts = PARTS_PER_MILLION + 2 * u128::from(self.clock_drift_ppm) + DRIFT_SQUARED_PPM;
        let nanoseconds = (span.as_nanos() * parts).div_ceil(PARTS_PER_MILLION);
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }
}

/// Covers the square of the drift, which twice the drift leaves out (0.03 percent, for drifts up to 1.7 percent).
const DRIFT_SQUARED_PPM: u128 = 300;
