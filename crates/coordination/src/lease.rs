//! Leases: one holder at a time, on the monotonic clock, fenced by an epoch.
