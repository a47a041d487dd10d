//! Each service of a traffic split gets its weight of the requests, even if many routers see few requests each.

mod common;

use common::{Endpoint, Router, run_ready_tasks, run_test};
use lanegate_config::configuration::Configuration;
use lanegate_config::feed::FeedEvent;
use lanegate_router::fault::RouterFault;
use lanegate_router::routing::table::Routing;
use lanegate_router::routing::traffic_split::SplitSequences;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::task::spawn_local;

/// Smallest number of requests over which weights are checked.
const REQUESTS: usize = 300;
/// Largest allowed deviation as a fraction of all requests, with the routers of a small deployment.
const MAX_DEVIATION: f64 = 0.03;
/// Largest allowed deviation if each router sees only about three requests.
const MAX_DEVIATION_MANY_ROUTERS: f64 = 0.07;
/// Numbers of routers in a small deployment, and in one with few requests for each router.
const FEW_ROUTERS: [usize; 4] = [1, 3, 6, 9];
const MANY_ROUTERS: [usize; 2] = [30, 90];
const SEEDS: u64 = 300;
const WEIGHTS: [&[f64]; 7] = [
    &[50.0, 50.0],
    &[99.0, 1.0],
    &[90.0, 10.0],
    &[1.0, 2.0],
    &[1.0, 1.0, 1.0],
    &[0.0, 3.0, 7.0],
    &[5.0, 10.0, 15.0, 30.0, 40.0],
];

fn configuration(version: u64, weights: &[f64]) -> Arc<Configuration> {
    let parts = weights.iter().enumerate();
    let parts: Vec<_> = parts
        .map(|(part, weight)| serde_json::json!({"Backend": format!("b{part}"), "Weight": weight}))
        .collect();
    let backends: Vec<_> = (0..weights.len())
        .map(|part| serde_json::json!({"Name": format!("b{part}"), "MaxConns": 50}))
        .collect();
    let configuration = serde_json::json!({
        "Version": version,
        "Routes": [{"Name": "split", "Hostname": "a.example", "PathPrefix": "/s/", "RouteType": "idempotent",
            "TimeoutMs": 20000, "TargetMs": 5000, "TrafficSplit": parts, "MaxAttempts": 1}],
        "Backends": backends,
        "Limits": {"MaxHeaderBytes": 4096, "MaxBodyBytes": 1000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    });
    Arc::new(serde_json::from_value(configuration).expect("a configuration"))
}

/// Routers that share the requests of one route.
struct Routers {
    sequences: Vec<SplitSequences>,
    random: SmallRng,
}

impl Routers {
    fn new(count: usize, seed: u64, fault: Option<RouterFault>) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let sequences = (0..count).map(|_| SplitSequences::new(random.random(), fault)).collect();
        Routers { sequences, random }
    }

    /// The service of the next request, at a random router.
    fn route(&mut self, routing: &Routing) -> String {
        let router = self.random.random_range(0..self.sequences.len());
        let sequences = &mut self.sequences[router];
        let resolved = routing.resolve("a.example", "/s/x", |route| sequences.next(route));
        resolved.expect("a route").backend.to_owned()
    }

    /// The largest deviation of a part from its weight over [`REQUESTS`] requests.
    fn largest_deviation(&mut self, weights: &[f64]) -> f64 {
        let routing = Routing::new(configuration(1, weights));
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for _ in 0..REQUESTS {
            *counts.entry(self.route(&routing)).or_default() += 1;
        }
        let total: f64 = weights.iter().sum();
        let deviation = weights.iter().enumerate().map(|(part, weight)| {
            let count = counts.get(&format!("b{part}")).copied().unwrap_or_default();
            (count as f64 / REQUESTS as f64 - weight / total).abs()
        });
        deviation.fold(0.0, f64::max)
    }
}

/// The first weights, number of routers and seed with a larger deviation than `bound`.
fn excessive_deviation(routers: &[usize], bound: f64, fault: Option<RouterFault>) -> Option<String> {
    for weights in WEIGHTS {
        for count in routers {
            for seed in 0..SEEDS {
                let deviation = Routers::new(*count, seed, fault).largest_deviation(weights);
                if deviation > bound {
                    return Some(format!("{weights:?}, {count} routers, seed {seed}: off by {deviation:.3}"));
                }
            }
        }
    }
    None
}

#[test]
fn each_part_gets_its_weight_at_a_few_routers() {
    assert_eq!(excessive_deviation(&FEW_ROUTERS, MAX_DEVIATION, None), None);
}

#[test]
fn each_part_gets_its_weight_when_routers_see_few_requests() {
    assert_eq!(excessive_deviation(&MANY_ROUTERS, MAX_DEVIATION_MANY_ROUTERS, None), None);
}

#[test]
fn independent_random_draws_are_detected() {
    let fault = Some(RouterFault::DrawSplitsIndependently);
    assert!(excessive_deviation(&FEW_ROUTERS, MAX_DEVIATION, fault).is_some());
    assert!(excessive_deviation(&MANY_ROUTERS, MAX_DEVIATION_MANY_ROUTERS, fault).is_some());
}

/// The weights change repeatedly while requests arrive; each change lasts for as many requests as are checked.
#[test]
fn each_part_gets_its_weight_after_a_change_of_the_weights() {
    for seed in 0..SEEDS {
        let mut routers = Routers::new(6, seed, None);
        for weights in WEIGHTS {
            let deviation = routers.largest_deviation(weights);
            assert!(deviation <= MAX_DEVIATION, "{weights:?}, seed {seed}: off by {deviation:.3}");
        }
    }
}

/// A configuration with unchanged weights arrives every few requests.
#[test]
fn many_configuration_changes_do_not_shift_the_weights() {
    const REQUESTS_PER_CONFIGURATION: usize = 3;
    for seed in 0..SEEDS {
        let mut sequences = SplitSequences::new(seed, None);
        let mut first_part = 0;
        for version in 0..REQUESTS / REQUESTS_PER_CONFIGURATION {
            let configuration = configuration(version as u64, &[50.0, 50.0]);
            sequences.retain(&configuration);
            let routing = Routing::new(configuration);
            for _ in 0..REQUESTS_PER_CONFIGURATION {
                let resolved = routing.resolve("a.example", "/s/x", |route| sequences.next(route));
                first_part += usize::from(resolved.expect("a route").backend == "b0");
            }
        }
        let deviation = (first_part as f64 / REQUESTS as f64 - 0.5).abs();
        assert!(deviation <= MAX_DEVIATION, "seed {seed}: off by {deviation:.3}");
    }
}

/// Answers and counts all requests to an endpoint.
async fn serve(endpoint: Endpoint, count: Rc<Cell<usize>>) {
    loop {
        let mut upstream = endpoint.accept().await;
        let count = count.clone();
        spawn_local(async move {
            while let Some(request) = upstream.next_request().await {
                count.set(count.get() + 1);
                upstream.answer(&request, "served").await;
            }
        });
    }
}

/// Checks the weights over real connections, through a router that receives new configurations.
#[test]
fn a_router_splits_traffic() {
    const SENT: u64 = 40;
    run_test(async {
        let router = Router::serving(&[]).await;
        let mut counts = Vec::new();
        for backend in ["b0", "b1"] {
            let endpoint = Endpoint::start(backend).await;
            router.send_event(endpoint.registration(backend));
            let count = Rc::new(Cell::new(0));
            counts.push(count.clone());
            spawn_local(serve(endpoint, count));
        }
        for number in 0..SENT {
            if number % 10 == 0 {
                router.send_event(FeedEvent::Configuration(configuration(2 + number, &[90.0, 10.0])));
                run_ready_tasks().await;
            }
            let mut client = router.client().await;
            client.get("/s/x", &number.to_string()).await;
            assert_eq!(client.answer().await.text(), "served");
        }
        assert!((3..=5).contains(&counts[1].get()), "{counts:?}");
    });
}
