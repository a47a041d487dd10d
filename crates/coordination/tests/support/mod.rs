//! Shared by the tests that compare with committed data.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod digest;
pub(crate) mod golden;
