//! Settings of a lease.

use std::time::Duration;
use thiserror::Error;

/// Settings of a lease; all members of a group use the same.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long the grants of a round are valid, counted from before its requests were sent.
    pub validity: Duration,
    /// Shortest time between the actions of two holders.
    pub quiet_period: Duration,
    /// Time between two rounds.
    pub round_interval: Duration,
    /// Last part of the validity, in which the holder sends no action: the time that an action takes to arrive.
    pub margin: Duration,
    /// Largest difference of the rate of a monotonic clock from true time, in parts per million.
    pub clock_drift_ppm: u32,
}

/// The settings would make a lease that is unsafe or cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LeaseSettingsError {
    /// The validity is too short for the round interval and the margin.
    #[error("the round interval has to be above zero and, with the margin, below the validity")]
    NoTimeToAct,
    /// The quiet period is zero.
    #[error("the quiet period has to be above zero")]
    NoQuietPeriod,
    /// A duration does not fit its field in the messages.
    #[error("a duration does not fit the messages: at most 2^32 - 1 ms")]
    TooLong,
}

/// One percent: far above the drift of quartz clocks and the drift that a virtual machine may add.
const CLOCK_DRIFT_PPM: u32 = 10_000;
/// Parts per million in a whole.
const PARTS_PER_MILLION: u128 = 1_000_000;

impl LeaseSettings {
    /// Settings in proportion to the quiet period.
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

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    /// If the lease would not be safe or not be usable.
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

    /// How long a grantor refuses other candidates after a grant of `validity`, on its own clock.
    pub(super) fn lockout_period(&self, validity: Duration) -> Duration {
        self.with_clock_drift(validity + self.quiet_period)
    }

    /// `duration`, lengthened so that it is still long enough if this clock is fast and the holder's is slow.
    pub(super) fn with_clock_drift(&self, duration: Duration) -> Duration {
        let parts = PARTS_PER_MILLION + 2 * u128::from(self.clock_drift_ppm) + DRIFT_SQUARED_PPM;
        let nanoseconds = (duration.as_nanos() * parts).div_ceil(PARTS_PER_MILLION);
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }
}

/// Upper bound of the square of the drift, a term that doubling the drift does not cover: 0.03 percent, for drifts
/// up to 1.7 percent.
const DRIFT_SQUARED_PPM: u128 = 300;
