//! Attempts at endpoints: connections, their pool, and the verification of answers.

pub mod answer;
pub mod attempt;
pub mod connection;
pub mod invalid_answer;
pub mod late_responses;
pub mod lease;
pub mod outbound;
pub mod pool;
mod shared_stream;
pub mod verify;
