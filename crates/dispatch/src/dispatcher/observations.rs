//! Updates the estimates from attempts: times, loads, health and the contents of prefix caches.

use super::Dispatcher;
use crate::endpoints::EndpointKey;
use crate::health::Failure;
use crate::interface::{AttemptEnd, InstanceLoad, RequestId};
use crate::pending_request::{Attempt, PendingRequest, Phase};
use crate::prefix::PrefixExpectation;
use crate::service::Service;
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

/// A time to first byte shows whether a prefix was cached only if the prefix has at least this many tokens.
const MIN_SIGNIFICANT_TOKENS: f64 = 500.0;

impl Dispatcher {
    /// Handles the head of an answer.
    pub(super) fn on_head(&mut self, now: Duration, key: EndpointKey, load: Option<InstanceLoad>) {
        self.record_activity(now, key);
        self.fleet.record_reported_load(now, key, load);
    }

    fn record_activity(&mut self, now: Duration, key: EndpointKey) {
        if let Some(load) = self.fleet.load_mut(key) {
            load.health.record_activity(now);
        }
    }

    /// Handles the first event or byte of an answer: the prefill is complete.
    pub(super) fn on_first_byte(&mut self, now: Duration, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::InFlight(attempt) = &mut pending.phase else {
            return;
        };
        if attempt.first_byte.is_some() {
            return;
        }
        attempt.first_byte = Some(now);
        let before = *attempt;
        attempt.requirement.prefill_tokens = 0;
        attempt.requirement.expected_first_byte = None;
        self.record_activity(now, before.endpoint);
        if let Some(load) = self.fleet.load_mut(before.endpoint) {
            load.finish_prefill(before.requirement);
        }
        self.record_first_byte(now, id, before);
        self.schedule_attempt_timer(id, None);
    }

    fn record_first_byte(&mut self, now: Duration, id: RequestId, attempt: Attempt) {
        let is_measurable = !self.spans_stall(&attempt);
        let Some(pending) = self.requests.get(&id).filter(|pending| is_measurable && !pending.resume) else {
            return;
        };
        let backend = pending.request.backend.clone();
        let latency_ratio = self.fleet.load(attempt.endpoint).latency_ratio.get();
        let measured_s = now.saturating_sub(attempt.sent).as_secs_f64();
        let tokens = attempt.queued_prefill_tokens as f64 + attempt.requirement.prefill_tokens as f64;
        let memory = self.fleet.service(&backend).memory_tokens();
        let hit_rate =
            observed_hit_rate(pending, &attempt, measured_s / latency_ratio, self.fleet.service(&backend));
        let service = self.fleet.service_mut(&backend);
        let expected_s = service.first_byte.expected_s(tokens);
        match attempt.prefix {
            PrefixExpectation::Absent => service.first_byte.sample(tokens, measured_s),
            PrefixExpectation::Cached => {
                hit_rate.into_iter().for_each(|sample| service.cache_hit_rate.sample(sample))
            }
            PrefixExpectation::Owned => {
                hit_rate.into_iter().for_each(|sample| service.owner_hit_rate.sample(sample))
            }
        }
        service.sample_kv_cache_tokens(pending.kv_cache_tokens());
        service.sample_first_byte(measured_s, attempt.requirement.prefill_tokens);
        if let Some(load) = self.fleet.load_mut(attempt.endpoint) {
            load.latency_ratio.sample(measured_s - load.excess_delay_s(now), expected_s);
            load.sample_excess_delay(now, measured_s - expected_s * load.latency_ratio.get());
            if let Some(memory) = memory {
                load.cache.insert(&pending.chain, memory);
            }
        }
    }

    /// Records what the end of an attempt shows.
    pub(super) fn record_end(&mut self, now: Duration, id: RequestId, attempt: Attempt, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered { success, load } => {
                self.on_first_byte(now, id);
                self.fleet.record_reported_load(now, attempt.endpoint, load);
                self.record_answer(now, id, attempt, success);
            }
            AttemptEnd::NotExecuted { load, .. } => {
                self.record_activity(now, attempt.endpoint);
                self.fleet.record_reported_load(now, attempt.endpoint, load);
                self.cancel_trial(attempt);
            }
            AttemptEnd::Cancelled => {}
            AttemptEnd::NotSent
            | AttemptEnd::Broken
            | AttemptEnd::BrokenMidway
            | AttemptEnd::InvalidResponse => {
                let usual_s = self.fleet.service(&self.requests[&id].request.backend).service_time.seconds();
                if let Some(load) = self.fleet.load_mut(attempt.endpoint) {
                    load.recent.record(false, 0.0, usual_s);
                }
            }
        }
    }

    fn record_answer(&mut self, now: Duration, id: RequestId, attempt: Attempt, success: bool) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let backend = pending.request.backend.clone();
        let service_time = now.saturating_sub(attempt.sent);
        let is_measurable = !self.spans_stall(&attempt);
        let service = self.fleet.service_mut(&backend);
        let usual_s = service.service_time.seconds();
        if success && is_measurable {
            service.sample_service_time(service_time);
        }
        if let Some(load) = self.fleet.load_mut(attempt.endpoint).filter(|_| is_measurable) {
            load.recent.record(success, service_time.as_secs_f64(), usual_s);
        }
        if success {
            self.record_success(now, attempt.endpoint)
        } else {
            self.fleet.record_failure(now, attempt.endpoint, Failure::ErrorResponse)
        }
    }

    fn record_success(&mut self, now: Duration, key: EndpointKey) {
        let slow_start = self.fleet.is_enabled(Mechanism::SlowStart);
        if let Some(load) = self.fleet.load_mut(key) {
            load.health.record_success(now, slow_start);
        }
    }

    /// If the attempt is the trial of an ejected endpoint, it ended without a result.
    pub(super) fn cancel_trial(&mut self, attempt: Attempt) {
        if attempt.is_trial
            && let Some(load) = self.fleet.load_mut(attempt.endpoint)
        {
            load.health.cancel_trial();
        }
    }
}

/// The fraction of the expected cached tokens that was cached, estimated from the time to the first byte.
fn observed_hit_rate(
    pending: &PendingRequest,
    attempt: &Attempt,
    measured_s: f64,
    service: &Service,
) -> Option<f64> {
    let prompt = f64::from(pending.chain.prompt_tokens);
    let (expected_cached, expected_rate) = match attempt.prefix {
        PrefixExpectation::Absent => return None,
        PrefixExpectation::Cached => {
            let expected_rate = service.cache_hit_rate.get().max(0.05);
            ((prompt - attempt.requirement.prefill_tokens as f64) / expected_rate, expected_rate)
        }
        PrefixExpectation::Owned => (f64::from(pending.chain.shared_tokens()), service.owner_hit_rate.get()),
    };
    let per_token_s = service.first_byte.per_token_s();
    if expected_cached < MIN_SIGNIFICANT_TOKENS || per_token_s <= 0.0 || expected_rate <= 0.0 {
        return None;
    }
    let prefilled =
        (measured_s - service.first_byte.base_s()) / per_token_s - attempt.queued_prefill_tokens as f64;
    let always_prefilled = prompt - expected_cached;
    Some(1.0 - (prefilled - always_prefilled) / expected_cached)
}
