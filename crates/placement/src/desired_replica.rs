//! The models that should get a replica, and the gain of each replica.
//!
//! Costs and gains are in requests/s, weighted by the cost of a request whose model is not loaded.

use crate::planning_view::{ModelStatus, PlanningView};
use lanegate_config::mechanism::Mechanism;
use std::sync::Arc;

/// Cost of evicting a model's last replica, for each request/s: a load and a late answer.
pub(crate) const MISS_COST: f64 = 1.4;

/// Cost of evicting a replica that is not the last one, for each request/s that the others take over.
pub(crate) const REDISTRIBUTION_COST: f64 = 0.3;

/// Lowest rate that is assumed for a model that requests wait for, requests/s.
const MIN_RATE: f64 = 0.25;

/// From this expected rate on, requests/s, a model without a replica is loaded before it is requested again.
const RESTORE_RATE: f64 = 0.008;

/// A model that should get one more replica.
#[derive(Debug, Clone)]
pub(crate) struct DesiredReplica {
    pub model: Arc<str>,
    pub priority: Priority,
    pub status: ModelStatus,
}

/// How urgently a replica is desired, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// Requests arrive while no endpoint has the model.
    Unplaced,
    /// On no endpoint, and in demand.
    First,
    /// Has less than half of its target.
    Underprovisioned,
    /// Has fewer replicas than its target.
    Additional,
    /// Has lost its last replica and may be requested again.
    Restore,
}

impl Priority {
    /// Priorities of one group compete by gain; a lower group goes first.
    fn group(self) -> u8 {
        match self {
            Priority::Unplaced | Priority::First | Priority::Underprovisioned => 0,
            Priority::Additional => 1,
            Priority::Restore => 2,
        }
    }

    /// Whether requests wait for the load.
    pub(crate) fn urgent(self) -> bool {
        self <= Priority::Underprovisioned
    }
}

/// The models that should get a replica, the most urgent first.
pub(crate) fn desired_replicas(view: &PlanningView) -> Vec<DesiredReplica> {
    let mut desired_replicas: Vec<DesiredReplica> =
        view.models.iter().filter_map(|(model, status)| desired_replica(model, status)).collect();
    desired_replicas.retain(|desired| {
        desired.priority != Priority::Restore || view.switched_off.allows(Mechanism::LostModelReload)
    });
    desired_replicas
        .sort_by(|a, b| a.priority.group().cmp(&b.priority.group()).then(b.gain().total_cmp(&a.gain())));
    desired_replicas
}

/// Whether the model should get one more replica, and how urgently.
pub(crate) fn desired_replica(model: &Arc<str>, status: &ModelStatus) -> Option<DesiredReplica> {
    let priority = match status.replicas {
        0 if status.urgent => Priority::Unplaced,
        0 if status.in_demand => Priority::First,
        0 if status.expected_rate >= RESTORE_RATE => Priority::Restore,
        replicas if replicas > 0 && replicas * 2 < status.target.minimum => Priority::Underprovisioned,
        replicas if replicas > 0 && replicas < status.target.minimum => Priority::Additional,
        _ => return None,
    };
    Some(DesiredReplica { model: model.clone(), priority, status: status.clone() })
}

impl DesiredReplica {
    /// A replica whose endpoint has been chosen and reserved already, and is counted in `status`.
    pub(crate) fn at_reserved_site(model: Arc<str>, status: ModelStatus) -> DesiredReplica {
        let priority = match status.replicas {
            0..=1 if status.urgent => Priority::Unplaced,
            0..=1 if status.in_demand => Priority::First,
            0..=1 => Priority::Restore,
            replicas if (replicas - 1) * 2 < status.target.minimum => Priority::Underprovisioned,
            _ => Priority::Additional,
        };
        DesiredReplica { model, priority, status }
    }

    /// Gain of another replica.
    pub(crate) fn gain(&self) -> f64 {
        let status = &self.status;
        match self.priority {
            Priority::Unplaced | Priority::First | Priority::Restore => {
                MISS_COST * status.recent_rate.max(status.expected_rate).max(MIN_RATE)
            }
            Priority::Underprovisioned => {
                MISS_COST * status.served_by_next_replica(status.replicas).max(MIN_RATE)
            }
            Priority::Additional => REDISTRIBUTION_COST * status.relief(status.replicas),
        }
    }
}
