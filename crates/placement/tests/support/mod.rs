//! A simulated service: endpoints that obey orders, routers that report demand, a network that loses
//! messages, and checks of every limit at every step.
#![allow(dead_code)]

pub mod check;
pub mod digest;
pub mod fleet;
pub mod random;
pub mod simulation;
