//! Client connections: accepting them, reading requests, and sending answers.

pub mod activity;
pub mod body;
pub mod connection;
pub mod frontend;
pub mod listener;
pub mod local_reply;
pub mod stream;
