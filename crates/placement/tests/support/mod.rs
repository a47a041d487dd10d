//! A simulated service: endpoints that execute orders, routers that report demand, a network that loses messages, and
//! checks of every limit at every step.
#![allow(dead_code)]

pub(crate) mod check;
pub(crate) mod decision_digest;
pub(crate) mod fleet;
pub(crate) mod random;
pub(crate) mod simulation;
