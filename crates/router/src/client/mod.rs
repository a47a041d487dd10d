//! Client connections: accepting them, reading requests, and the replies and bodies that go back.

pub mod activity;
pub mod body;
pub mod frontend;
pub mod listener;
pub mod local_reply;
