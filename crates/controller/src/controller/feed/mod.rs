//! The feed of this controller: its subscribers, and the number of live routers that it reports.

pub(super) mod agents;
pub(super) mod live_routers;
#[cfg(test)]
mod live_routers_test;
#[cfg(test)]
mod subscriber_storm_test;
pub(super) mod subscribers;
#[cfg(test)]
mod subscribers_test;
