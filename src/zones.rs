//! Zones: what this courier's own calls tell of each as a whole. One bad endpoint, or one bad destination, is
//! no bad zone; many endpoints of several destinations that fail at once are.

use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;

/// What an endpoint's last call told counts for so long, s.
const FRESH: f64 = 4.0;
/// Suspect from so many failing endpoints, of so many destinations, that are this share of those heard of.
const SUSPECT_BAD: usize = 3;
const SUSPECT_DESTS: usize = 2;
const SUSPECT_SHARE: f64 = 0.5;
/// Out from so many, of this share; and where a suspect one stays so for this time, s.
const OUT_BAD: usize = 4;
const OUT_SHARE: f64 = 0.75;
const OUT_AFTER: f64 = 1.0;
/// Well below this share.
const WELL_SHARE: f64 = 0.25;

/// What the endpoints of a zone that were heard of lately tell.
#[derive(Default)]
struct Evidence {
    heard: usize,
    bad: usize,
    destinations: BTreeSet<DestinationId>,
    /// By kind, as in `FailureKind`.
    kinds: [usize; 4],
}

impl Evidence {
    fn share(&self) -> f64 {
        self.bad as f64 / self.heard.max(1) as f64
    }

    fn is_suspect(&self) -> bool {
        self.bad >= SUSPECT_BAD && self.destinations.len() >= SUSPECT_DESTS && self.share() >= SUSPECT_SHARE
    }
}

impl Scheduler {
    /// Takes note of how a call ended for the zone of its endpoint. A full one is there, and well.
    pub(crate) fn zone_heard(&mut self, id: EndpointId, outcome: Outcome) {
        let ill = match outcome {
            Outcome::Delivered | Outcome::Full { .. } => None,
            Outcome::ConnectFailed => Some(FailureKind::Connect),
            Outcome::TimedOut | Outcome::Cancelled => Some(FailureKind::Timeout),
            Outcome::Reset => Some(FailureKind::Reset),
            Outcome::Error => Some(FailureKind::Error),
            Outcome::Moot => return,
        };
        let now = self.now;
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| self.set.zone_fees.len() > 1) else { return };
        (e.outcome_at, e.last_failure) = (now, ill);
        // In a well zone what went well changes nothing; others are judged each time.
        if ill.is_some() {
            self.changed_zones.insert(e.zone);
        }
    }

    fn evidence(&self, zone: usize) -> Evidence {
        let mut all = Evidence::default();
        let fresh =
            |e: &&Endpoint| e.zone == zone && e.outcome_at > 0 && secs(self.now - e.outcome_at) < FRESH;
        for e in self.endpoints.values().filter(fresh) {
            all.heard += 1;
            if let Some(ill) = e.last_failure {
                all.bad += 1;
                all.kinds[ill as usize] += 1;
                all.destinations.insert(e.dest);
            }
        }
        all
    }

    /// Judges the zones of which something was heard, and those that are not well; notes each change with its
    /// figures. Nothing is heard of one that all calls have left: that it stays so must count by itself.
    pub(crate) fn judge_zones(&mut self, out: &mut Vec<Action>) {
        let ailing = self.zones.iter().filter(|(_, z)| z.state != ZoneState::Healthy);
        let ailing: BTreeSet<_> = ailing.map(|(zone, _)| *zone).collect();
        for zone in std::mem::take(&mut self.changed_zones).union(&ailing).copied() {
            let (evidence, now) = (self.evidence(zone), self.now);
            let was = self.zones.entry(zone).or_default();
            let (for_long, share) = (secs(now - was.since), evidence.share());
            use ZoneState::*;
            let next = match was.state {
                Healthy if evidence.is_suspect() => Suspect,
                Suspect if evidence.bad >= OUT_BAD && share >= OUT_SHARE => Out,
                Suspect if evidence.is_suspect() && for_long >= OUT_AFTER => Out,
                Suspect if share < WELL_SHARE => Healthy,
                Out if evidence.heard > 0 && share < SUSPECT_SHARE => Returning,
                Returning if evidence.is_suspect() => Out,
                Returning if share < WELL_SHARE && for_long >= self.set.cold_span.as_secs_f64() => Healthy,
                same => same,
            };
            if next == was.state {
                continue;
            }
            let Evidence { heard, bad, destinations, kinds: [unconnected, silent, reset, error] } = evidence;
            let (from, of) = (was.state, destinations.len());
            let text = format!(
                "zone {zone}: {from:?} to {next:?} after {for_long:.1} s: {bad} of {heard} endpoints fail, \
                 of {of} destinations; \
                 {unconnected} unconnected, {silent} silent, {reset} reset, {error} error"
            );
            *was = Zone { state: next, since: now };
            out.push(Action::Note { text });
        }
    }
}
