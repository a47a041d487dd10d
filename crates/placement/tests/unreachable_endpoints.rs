//! Endpoints whose heartbeats arrive through other controllers, while neither orders nor report requests of this placer
//! reach them.

use lanegate_config::configuration::{Model, Runtime};
use lanegate_config::demand::{DemandReport, ModelDemand};
use lanegate_config::instance::{Instance, InstanceState, ResidentModel};
use lanegate_config::mechanism::SwitchedOff;
use lanegate_placement::{
    Action, EndpointReport, Operation, Order, OrderAnswer, Placer, PlacerSettings, StartMode,
};
use std::time::Duration;

const BACKEND: &str = "engines";
const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 1_200;
const LOAD_MS: u64 = 600;
/// `RecoverS` of the rules.
const RECOVER_MS: u64 = 12_000;

/// An endpoint that executes orders which reach it.
struct Endpoint {
    id: String,
    is_reachable: bool,
    models: Vec<String>,
    loading: Option<(String, u64)>,
    revision: u64,
    heartbeats: u64,
}

impl Endpoint {
    fn resident(&self) -> Vec<ResidentModel> {
        let held = |name: &String| ResidentModel { name: name.clone(), version: 1, adapters: Vec::new() };
        self.models.iter().map(held).collect()
    }

    fn registration(&mut self, number: u8) -> Instance {
        self.heartbeats += 1;
        Instance {
            id: self.id.clone(),
            backend: BACKEND.into(),
            address: std::net::SocketAddr::from(([10, 0, 0, number], 80)),
            zone: "z1".into(),
            version: "v1".into(),
            capacity: 64,
            state: InstanceState::Ready,
            warmup_remaining_ms: 0.0,
            phase: None,
            models: self.resident(),
            sequence: self.heartbeats,
            remaining_ms: None,
        }
    }

    fn report(&self) -> EndpointReport {
        let json = serde_json::json!({ "Busy": self.loading.is_some(), "Sequence": self.revision });
        EndpointReport { models: self.resident(), ..serde_json::from_value(json).expect("a report") }
    }

    fn take(&mut self, order: &Order, now_ms: u64) {
        self.revision += 1;
        match order.operation {
            Operation::Load => self.loading = Some((order.model.to_string(), now_ms + LOAD_MS)),
            Operation::Evict => self.models.retain(|model| **model != *order.model),
        }
    }

    fn advance(&mut self, now_ms: u64) {
        if let Some((model, _)) = self.loading.take_if(|(_, done_at)| *done_at <= now_ms) {
            self.models.push(model);
        }
    }
}

fn runtime(resident: usize) -> Runtime {
    let model = |number: usize| Model {
        name: format!("m{number}"),
        weights_mb: 70_000.0,
        load_time_s: 0.6,
        adapters: 0,
        adapter_size_mb: 0.0,
    };
    Runtime {
        capacity: 64,
        kv_cache_tokens: 233_000.0,
        stride: None,
        models: (0..=resident).map(model).collect(),
        weights_mb: 220_000.0,
        max_adapters: 8,
        loads_per_s: 2.8,
    }
}

/// Time at which a model that is resident nowhere is loaded by an endpoint, of three of which one is not reachable.
/// Each holds `resident` other models. `start` decides whether their contents have to be verified first.
fn loaded_at(unreachable: usize, seed: u64, resident: usize, start: StartMode, limit_ms: u64) -> Option<u64> {
    let settings = PlacerSettings {
        rate_limit_window: Duration::from_secs(5),
        rate_limit_overshoot: 1.1,
        start,
        switched_off: SwitchedOff::default(),
    };
    let mut placer = Placer::new(Duration::ZERO, BACKEND, seed, &settings);
    placer.configure(Duration::ZERO, &runtime(resident));
    let mut endpoints: Vec<Endpoint> = (0..3)
        .map(|number| Endpoint {
            id: format!("i-{number}"),
            is_reachable: number != unreachable,
            models: (1..=resident).map(|model| format!("m{model}")).collect(),
            loading: None,
            revision: 0,
            heartbeats: 0,
        })
        .collect();
    for now_ms in (0..limit_ms).step_by(STEP_MS as usize) {
        let now = Duration::from_millis(now_ms);
        for (number, endpoint) in endpoints.iter_mut().enumerate() {
            endpoint.advance(now_ms);
            if (now_ms + 100 * number as u64).is_multiple_of(HEARTBEAT_MS) {
                placer.register(now, &endpoint.registration(number as u8));
            }
        }
        if endpoints.iter().any(|endpoint| endpoint.models.iter().any(|model| model == "m0")) {
            return Some(now_ms);
        }
        if now_ms.is_multiple_of(500) {
            let demand = ModelDemand {
                backend: BACKEND.into(),
                model: "m0".into(),
                adapter: None,
                requests: 20,
                tokens: 20_000,
                unplaced: 20,
            };
            placer.add_demand(now, "r", &DemandReport { period_ms: 500, models: vec![demand] });
        }
        placer.wake(now);
        while let Some(action) = placer.next_action() {
            let id = match &action {
                Action::Order(order) => order.instance.clone(),
                Action::RequestReport { instance, .. } => instance.clone(),
            };
            let Some(endpoint) = endpoints.iter_mut().find(|endpoint| *endpoint.id == *id) else { continue };
            if !endpoint.is_reachable {
                continue;
            }
            match action {
                Action::Order(order) => {
                    endpoint.take(&order, now_ms);
                    placer.order_answered(now, order.id, OrderAnswer::Accepted);
                }
                Action::RequestReport { .. } => {
                    let report = endpoint.report();
                    placer.apply_report(now, &id, &report);
                }
            }
        }
    }
    None
}

/// The endpoint that the placer prefers never hears of it: the model is loaded elsewhere.
#[test]
fn a_model_is_loaded_though_one_endpoint_cannot_be_reached() {
    for start in [StartMode::First, StartMode::Takeover] {
        for (resident, unreachable) in [(0, 0), (0, 1), (0, 2), (3, 0), (3, 1), (3, 2)] {
            for seed in 0..20 {
                let loaded_at = loaded_at(unreachable, seed, resident, start, RECOVER_MS);
                assert!(
                    loaded_at.is_some(),
                    "{start:?}, {resident} resident, i-{unreachable} cut, seed {seed}"
                );
            }
        }
    }
}
