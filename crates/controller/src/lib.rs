//! The control plane process, and the agent that keeps a router fed.

pub mod agent;
pub mod configuration_feed;
pub mod controller;
pub mod feed_client;
mod incarnation;
pub mod link;
pub mod message;
pub mod registration;
#[doc(hidden)]
pub mod simulation;
pub mod subscription;
pub mod view;

pub use agent::run_agent;
pub use controller::run_controller;
pub use feed_client::feed_client;
