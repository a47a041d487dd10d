//! Shared by the tests that compare with committed data.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod digest;
pub mod golden;
