//! What a simulation inspects of a controller.

use crate::controller::Controller;
use crate::controller::consensus::shards;
use bytes::Bytes;
use lanegate_placement::InvariantViolations;
use std::net::SocketAddr;

impl Controller {
    /// Revision and group of each shard, as far as this controller has learned them.
    pub(crate) fn learned_groups(&self) -> Vec<(u64, Vec<SocketAddr>)> {
        let known = |shard| {
            let committed = self.shards.get(shard).committed();
            (committed.map_or(0, |value| value.revision), self.group(shard))
        };
        shards::all().map(known).collect()
    }

    /// The least number of failures that any shard tolerates; `None` if one has no majority, or while this
    /// controller is no member of all groups.
    pub(crate) fn least_fault_tolerance(&self) -> Option<usize> {
        let margins: Option<Vec<usize>> = shards::all().map(|shard| self.fault_tolerance(shard)).collect();
        margins?.into_iter().min()
    }

    /// Orders that the placers here withheld because they would have broken a limit.
    pub(crate) fn violations(&self) -> InvariantViolations {
        self.placers.violations()
    }

    /// Body of the answer to a status call, and the text of the metrics.
    pub(crate) fn exported(&self) -> (Bytes, String) {
        (self.status().body, self.metrics().render().expect("strings take any text"))
    }

    /// Shards for which this controller acts.
    pub(crate) fn acting_shards(&self) -> usize {
        shards::all().filter(|shard| self.placers.acts_for(*shard)).count()
    }
}
