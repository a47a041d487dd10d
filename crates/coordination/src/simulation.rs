//! Simulated network, disks and clocks for scenarios.
