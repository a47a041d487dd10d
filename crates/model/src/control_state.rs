//! The value of the configuration's register, and its compare-and-set.
