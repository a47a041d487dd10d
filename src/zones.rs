//! Zone health, inferred from this courier's own calls. One failing endpoint or destination does not make a
//! zone unhealthy; many endpoints of several destinations failing at the same time do.

use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;

/// How long the outcome of an endpoint's last call counts, s.
const RECENT: f64 = 4.0;
/// Suspect from this many failing endpoints, in this many destinations, at this share of those observed.
const SUSPECT_MIN: usize = 3;
const MIN_DESTS: usize = 2;
const SUSPECT_SHARE: f64 = 0.5;
/// Out from this many at this share, or after being suspect for this time, s.
const OUT_MIN: usize = 4;
const OUT_SHARE: f64 = 0.75;
const OUT_AFTER: f64 = 1.0;
/// Healthy again below this share.
const HEALTHY_SHARE: f64 = 0.25;

/// Recent outcomes of a zone's endpoints.
#[derive(Default)]
struct Evidence {
    observed: usize,
    failed: usize,
    destinations: BTreeSet<DestinationId>,
    /// Failures by `FailureKind`.
    kinds: [usize; 4],
}

impl Evidence {
    fn share(&self) -> f64 {
        self.failed as f64 / self.observed.max(1) as f64
    }

    fn is_suspect(&self) -> bool {
        self.failed >= SUSPECT_MIN && self.destinations.len() >= MIN_DESTS && self.share() >= SUSPECT_SHARE
    }
}

impl Scheduler {
    /// Records a call's outcome for the zone of its endpoint. A refusal as full counts as healthy.
    pub(crate) fn record_zone_outcome(&mut self, id: EndpointId, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Delivered | Outcome::Full { .. } => None,
            Outcome::ConnectFailed => Some(FailureKind::Connect),
            Outcome::TimedOut | Outcome::Cancelled => Some(FailureKind::Timeout),
            Outcome::Reset => Some(FailureKind::Reset),
            Outcome::Error => Some(FailureKind::Error),
            Outcome::NotSent => return,
        };
        let now = self.now;
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| self.set.zone_costs.len() > 1) else { return };
        (e.outcome_at, e.last_failure) = (now, failure);
        // A success changes nothing in a healthy zone; unhealthy zones are evaluated each time anyway.
        if failure.is_some() {
            self.changed_zones.insert(e.zone);
        }
    }

    fn evidence(&self, zone: usize) -> Evidence {
        let mut all = Evidence::default();
        let recent =
            |e: &&Endpoint| e.zone == zone && e.outcome_at > 0 && secs(self.now - e.outcome_at) < RECENT;
        for e in self.endpoints.values().filter(recent) {
            all.observed += 1;
            if let Some(failure) = e.last_failure {
                all.failed += 1;
                all.kinds[failure as usize] += 1;
                all.destinations.insert(e.dest);
            }
        }
        all
    }

    /// Evaluates zones with new failures and unhealthy zones, and logs each change with its figures. A zone
    /// that gets no more calls yields no outcomes, so the time in its state has to count by itself.
    pub(crate) fn judge_zones(&mut self, out: &mut Vec<Action>) {
        let unhealthy = self.zones.iter().filter(|(_, z)| z.state != ZoneState::Healthy);
        let unhealthy: BTreeSet<_> = unhealthy.map(|(zone, _)| *zone).collect();
        for zone in std::mem::take(&mut self.changed_zones).union(&unhealthy).copied() {
            let (evidence, now) = (self.evidence(zone), self.now);
            let was = self.zones.entry(zone).or_default();
            let (elapsed, share) = (secs(now - was.since), evidence.share());
            use ZoneState::*;
            let next = match was.state {
                Healthy if evidence.is_suspect() => Suspect,
                Suspect if evidence.failed >= OUT_MIN && share >= OUT_SHARE => Out,
                Suspect if evidence.is_suspect() && elapsed >= OUT_AFTER => Out,
                Suspect if share < HEALTHY_SHARE => Healthy,
                Out if evidence.observed > 0 && share < SUSPECT_SHARE => Returning,
                Returning if evidence.is_suspect() => Out,
                Returning if share < HEALTHY_SHARE && elapsed >= self.set.warm_up.as_secs_f64() => Healthy,
                same => same,
            };
            if next == was.state {
                continue;
            }
            let Evidence { observed, failed, destinations, kinds: [connect, timeout, reset, error] } =
                evidence;
            let (from, of) = (was.state, destinations.len());
            let text = format!(
                "zone {zone}: {from:?} to {next:?} after {elapsed:.1} s: {failed} of {observed} endpoints \
                 fail, of {of} destinations; \
                 {connect} unconnected, {timeout} silent, {reset} reset, {error} error"
            );
            *was = Zone { state: next, since: now };
            out.push(Action::Note { text });
        }
    }
}
