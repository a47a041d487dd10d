//! Placement of models: a placer for each service whose shard lease this controller holds, and orders to endpoints.

pub(super) mod endpoint_client;
#[cfg(test)]
mod endpoint_client_test;
pub(super) mod placement_control;
pub(super) mod placers;
pub(super) mod recent_demand;
#[cfg(test)]
mod recent_demand_test;
