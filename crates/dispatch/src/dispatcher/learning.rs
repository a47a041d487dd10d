//! What attempts teach: times, loads, health, and which prompts engines keep.

use super::Dispatcher;
use crate::endpoints::EndpointKey;
use crate::health::Fault;
use crate::interface::{AttemptEnd, InstanceLoad, RequestId};
use crate::tracked::{Belief, Flight, Phase, Tracked};
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

/// Prompt tokens that must be in question for a time to tell whether they were kept.
const TELLING_TOKENS: f64 = 500.0;

impl Dispatcher {
    /// The head of an answer arrived.
    pub(super) fn head_arrived(&mut self, now: Duration, key: EndpointKey, load: Option<InstanceLoad>) {
        self.heard(now, key);
        self.fleet.told(now, key, load);
    }

    fn heard(&mut self, now: Duration, key: EndpointKey) {
        if let Some(load) = self.fleet.load_mut(key) {
            load.health.heard(now);
        }
    }

    /// The first event or byte arrived: the prompt has been read.
    pub(super) fn first_byte_arrived(&mut self, now: Duration, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Sent(flight) = &mut tracked.phase else {
            return;
        };
        if flight.first_byte.is_some() {
            return;
        }
        flight.first_byte = Some(now);
        let before = *flight;
        flight.footprint.unread_tokens = 0;
        flight.footprint.awaited = None;
        self.heard(now, before.endpoint);
        if let Some(load) = self.fleet.load_mut(before.endpoint) {
            load.read(before.footprint);
        }
        self.learn_first_byte(now, id, before);
        self.book_flight(id, None);
    }

    fn learn_first_byte(&mut self, now: Duration, id: RequestId, flight: Flight) {
        let tells = !self.spans_stall(&flight);
        let Some(tracked) = self.requests.get(&id).filter(|tracked| tells && !tracked.resume) else {
            return;
        };
        let backend = tracked.request.backend.clone();
        let slowness = self.fleet.load(flight.endpoint).slowness.get();
        let measured_s = now.saturating_sub(flight.sent).as_secs_f64();
        let tokens = flight.ahead_tokens as f64 + flight.footprint.unread_tokens as f64;
        let memory = self.fleet.service(&backend).memory_tokens();
        let found = found_share(tracked, &flight, measured_s / slowness, self.fleet.service(&backend));
        let service = self.fleet.service_mut(&backend);
        let expected_s = service.first_byte.expected_s(tokens);
        match flight.belief {
            Belief::Absent => service.first_byte.sample(tokens, measured_s),
            Belief::Kept => found.into_iter().for_each(|share| service.kept.sample(share)),
            Belief::Owned => found.into_iter().for_each(|share| service.owned.sample(share)),
        }
        service.sample_held_tokens(tracked.held_tokens());
        service.sample_first_byte(measured_s, flight.footprint.unread_tokens);
        if let Some(load) = self.fleet.load_mut(flight.endpoint) {
            load.slowness.sample(measured_s - load.excess_s(now), expected_s);
            load.sample_excess(now, measured_s - expected_s * load.slowness.get());
            if let Some(memory) = memory {
                load.cache.insert(&tracked.chain, memory);
            }
        }
    }

    /// Learns from the end of an attempt.
    pub(super) fn learn_end(&mut self, now: Duration, id: RequestId, flight: Flight, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered { success, load } => {
                self.first_byte_arrived(now, id);
                self.fleet.told(now, flight.endpoint, load);
                self.learn_answer(now, id, flight, success);
            }
            AttemptEnd::NotExecuted { load, .. } => {
                self.heard(now, flight.endpoint);
                self.fleet.told(now, flight.endpoint, load);
                self.void_trial(flight);
            }
            AttemptEnd::Cancelled => {}
            AttemptEnd::NotSent | AttemptEnd::Broken | AttemptEnd::BrokenMidway | AttemptEnd::Garbled => {
                let usual = self.fleet.service(&self.requests[&id].request.backend).served.seconds();
                if let Some(load) = self.fleet.load_mut(flight.endpoint) {
                    load.recent.record(false, 0.0, usual);
                }
            }
        }
    }

    fn learn_answer(&mut self, now: Duration, id: RequestId, flight: Flight, success: bool) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        let backend = tracked.request.backend.clone();
        let served = now.saturating_sub(flight.sent);
        let tells = !self.spans_stall(&flight);
        let service = self.fleet.service_mut(&backend);
        let usual = service.served.seconds();
        if success && tells {
            service.sample_served(served);
        }
        if let Some(load) = self.fleet.load_mut(flight.endpoint).filter(|_| tells) {
            load.recent.record(success, served.as_secs_f64(), usual);
        }
        match success {
            true => self.succeeded(now, flight.endpoint),
            false => self.fleet.failed(now, flight.endpoint, Fault::Told),
        }
    }

    fn succeeded(&mut self, now: Duration, key: EndpointKey) {
        let slowly = self.fleet.uses(Mechanism::SlowReturn);
        if let Some(load) = self.fleet.load_mut(key) {
            load.health.succeeded(now, slowly);
        }
    }

    /// An attempt told nothing of an endpoint that it was the trial of.
    pub(super) fn void_trial(&mut self, flight: Flight) {
        if flight.is_trial
            && let Some(load) = self.fleet.load_mut(flight.endpoint)
        {
            load.health.trial_void();
        }
    }
}

/// Which share of the prompt that was believed to be kept was so, by the time that the first byte took.
fn found_share(
    tracked: &Tracked,
    flight: &Flight,
    measured_s: f64,
    service: &crate::service::Service,
) -> Option<f64> {
    let prompt = f64::from(tracked.chain.prompt_tokens);
    let (in_question, share) = match flight.belief {
        Belief::Absent => return None,
        Belief::Kept => {
            let share = service.kept.get().max(0.05);
            ((prompt - flight.footprint.unread_tokens as f64) / share, share)
        }
        Belief::Owned => (f64::from(tracked.chain.shared_tokens()), service.owned.get()),
    };
    let per_token_s = service.first_byte.per_token_s();
    if in_question < TELLING_TOKENS || per_token_s <= 0.0 || share <= 0.0 {
        return None;
    }
    let read = (measured_s - service.first_byte.base_s()) / per_token_s - flight.ahead_tokens as f64;
    let certain = prompt - in_question;
    Some(1.0 - (read - certain) / in_question)
}
