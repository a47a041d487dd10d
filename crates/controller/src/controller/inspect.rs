//! Accessors through which a simulation inspects a controller.

use crate::controller::Controller;
use crate::controller::consensus::shards;
use bytes::Bytes;
use lanegate_placement::InvariantViolations;
use std::net::SocketAddr;

impl Controller {
    /// Newest committed revision and replica group of each shard that this controller knows.
    pub(crate) fn learned_groups(&self) -> Vec<(u64, Vec<SocketAddr>)> {
        let known = |shard| {
            let committed = self.shards.get(shard).committed();
            (committed.map_or(0, |value| value.revision), self.group(shard))
        };
        shards::all().map(known).collect()
    }

    /// The smallest number of failures that any shard tolerates; `None` if a shard has no majority or its group is not
    /// known here.
    pub(crate) fn least_fault_tolerance(&self) -> Option<usize> {
        let margins: Option<Vec<usize>> = shards::all().map(|shard| self.fault_tolerance(shard)).collect();
        margins?.into_iter().min()
    }

    /// Number of orders that the placers of this controller withheld because they would have violated a limit.
    pub(crate) fn violations(&self) -> InvariantViolations {
        self.placers.violations()
    }

    /// The body of the status document, and the metrics in text format.
    pub(crate) fn exported(&self) -> (Bytes, String) {
        (self.status().body, self.metrics().render().expect("metrics can be rendered as text"))
    }

    /// Number of shards whose lease this controller holds.
    pub(crate) fn acting_shards(&self) -> usize {
        shards::all().filter(|shard| self.placers.acts_for(*shard)).count()
    }
}
