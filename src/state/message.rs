//! A message, and the call that is delivering it.

use super::time::*;
use crate::interface::*;
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
pub(crate) struct InFlight {
    pub(crate) endpoint: EndpointId,
    pub(crate) call: u64,
    pub(crate) cancelled: bool,
    pub(crate) sent: Ns,
    /// The call had to open a connection.
    #[serde(rename = "opens")]
    pub(crate) connects: bool,
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) class: usize,
    pub(crate) group: usize,
    pub(crate) dest: DestinationId,
    pub(crate) key: Option<String>,
    /// Latency target: full value is earned until then.
    #[serde(rename = "aim")]
    pub(crate) target: Ns,
    #[serde(rename = "end")]
    pub(crate) deadline: Ns,
    /// Due time on the timeline: the target, or a later time up to the deadline once postponed.
    pub(crate) due: Ns,
    pub(crate) late: bool,
    pub(crate) missed: bool,
    pub(crate) attempts: u32,
    #[serde(rename = "flight")]
    pub(crate) in_flight: Option<InFlight>,
    /// First attempt that may have run: endpoint, zone and time of sending.
    #[serde(rename = "ran")]
    pub(crate) may_have_run: Option<(EndpointId, usize, Ns)>,
    #[serde(rename = "last")]
    pub(crate) previous: Option<EndpointId>,
    /// Retry backoff: no attempt before this time.
    pub(crate) not_before: Ns,
    /// Recovered after a restart, certainly not run, and not attempted since. Its time was spent on the
    /// restart, so without this mark newer messages would always lose more value by being postponed in its
    /// place.
    #[serde(default)]
    #[serde(rename = "found")]
    pub(crate) recovered: bool,
    /// The final answer was given; the message is kept until its attempt has an outcome.
    #[serde(rename = "over")]
    pub(crate) answered: bool,
}

impl Message {
    /// A newly accepted message; a recovered one keeps its attempts and the attempt that may have run.
    pub(crate) fn new(taken: &Taken, set: &Settings, now: Ns) -> Self {
        let class = taken.class.min(set.classes.len() - 1);
        let terms = &set.classes[class];
        let deadline = now + ns(taken.time_left);
        let stretch = taken.estimated_work.map_or(0.0, |work| terms.target_stretch * work.as_secs_f64());
        let target =
            (deadline - ns(terms.deadline) + ns(terms.latency_target) + to_ns(stretch)).min(deadline);
        let group = if set.tenants > 0 { taken.tenant.min(set.tenants - 1) } else { class };
        let may_have_run = taken.history.may_have_run.map(|ran| (ran.endpoint, ran.zone, now - ns(ran.ago)));
        Message {
            class,
            group,
            dest: taken.destination,
            key: taken.key.clone().filter(|_| terms.ordered),
            target,
            deadline,
            due: target,
            attempts: taken.history.attempts,
            may_have_run,
            recovered: taken.history.recovered && may_have_run.is_none(),
            ..Message::default()
        }
    }

    /// No attempt is in flight.
    pub(crate) fn is_waiting(&self) -> bool {
        self.in_flight.is_none()
    }
}

impl Settings {
    /// Value of a message if it is delivered at this time.
    pub(crate) fn value_at(&self, message: &Message, at: Ns) -> f64 {
        let c = &self.classes[message.class];
        let after = secs(at - message.target).max(0.0);
        let share = match self.value_decay {
            ValueDecay::Linear => {
                1.0 - (1.0 - c.late_value_share) * after / secs(message.deadline - message.target).max(1e-9)
            }
            ValueDecay::Halving => 0.5f64.powf((after / c.latency_target.as_secs_f64().max(1e-9)).ceil()),
        };
        if at > message.deadline { 0.0 } else { c.value * share.max(c.late_value_share) }
    }
}
