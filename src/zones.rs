//! Zones: what this courier's own calls tell of each as a whole. One bad endpoint, or one bad destination, is
//! no bad zone; many endpoints of several destinations that fail at once are.

use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;

/// What an endpoint's last call told counts for so long, s.
const RECENT: f64 = 4.0;
/// Suspect from so many failing endpoints, of so many destinations, that are this share of those heard of.
const SUSPECT_MIN: usize = 3;
const MIN_DESTS: usize = 2;
const SUSPECT_SHARE: f64 = 0.5;
/// Out from so many, of this share; and where a suspect one stays so for this time, s.
const OUT_MIN: usize = 4;
const OUT_SHARE: f64 = 0.75;
const OUT_AFTER: f64 = 1.0;
/// Well below this share.
const HEALTHY_SHARE: f64 = 0.25;

/// What the endpoints of a zone that were heard of lately tell.
#[derive(Default)]
struct Evidence {
    observed: usize,
    failed: usize,
    destinations: BTreeSet<DestinationId>,
    /// By kind, as in `FailureKind`.
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
    /// Takes note of how a call ended for the zone of its endpoint. A full one is there, and well.
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
        // In a well zone what went well changes nothing; others are judged each time.
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

    /// Judges the zones of which something was heard, and those that are not well; notes each change with its
    /// figures. Nothing is heard of one that all calls have left: that it stays so must count by itself.
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
