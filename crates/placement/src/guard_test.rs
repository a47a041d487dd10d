use crate::catalog::Catalog;
use crate::guard::OrderGuard;
use crate::interface::{EndpointReport, Operation, Order, OrderAnswer, OrderId};
use crate::violation::Violation;
use lanegate_config::configuration::{Model, Runtime};
use lanegate_config::instance::ResidentModel;
use std::sync::Arc;
use std::time::Duration;

const SENT: Duration = Duration::from_secs(10);
/// From this time on, a report proves that an order sent at [`SENT`] never arrived.
const KNOWN_LOST_AT: Duration = Duration::from_millis(12_500);

fn catalog() -> Catalog {
    let model = |number: u32| Model {
        name: format!("m{number}"),
        weights_mb: 70_000.0,
        load_time_s: 1.0,
        adapters: 4,
        adapter_size_mb: 66.0,
    };
    let runtime = Runtime {
        capacity: 64,
        kv_cache_tokens: 233_000.0,
        stride: None,
        models: (1..=5).map(model).collect(),
        weights_mb: 220_000.0,
        max_adapters: 2,
        loads_per_s: 2.8,
    };
    Catalog::new(&runtime, &Catalog::default())
}

fn report(models: &[(&str, &[&str])], busy: bool, sequence: u64) -> EndpointReport {
    let resident = |(name, adapters): &(&str, &[&str])| ResidentModel {
        name: (*name).into(),
        version: 1,
        adapters: adapters.iter().map(|adapter| (*adapter).into()).collect(),
    };
    let json = serde_json::json!({ "Busy": busy, "Sequence": sequence });
    EndpointReport { models: models.iter().map(resident).collect(), ..serde_json::from_value(json).unwrap() }
}

/// A guard with the catalog and the endpoint `i-1`.
struct Fixture {
    guard: OrderGuard,
    catalog: Catalog,
    orders: u64,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { guard: OrderGuard::default(), catalog: catalog(), orders: 0 }
    }

    fn with_report(models: &[(&str, &[&str])], sequence: u64) -> Fixture {
        let mut fixture = Fixture::new();
        fixture.report(SENT, &report(models, false, sequence));
        fixture
    }

    fn report(&mut self, now: Duration, report: &EndpointReport) {
        self.guard.reported(now, &Arc::from("i-1"), report, &self.catalog);
    }

    fn order(
        &mut self,
        operation: Operation,
        model: &str,
        adapter: Option<&str>,
        if_revision: u64,
    ) -> Result<(), Violation> {
        self.orders += 1;
        let order = Order {
            id: OrderId(self.orders),
            instance: Arc::from("i-1"),
            address: "10.0.0.1:80".parse().unwrap(),
            operation,
            model: Arc::from(model),
            adapter: adapter.map(Arc::from),
            if_revision,
        };
        self.guard.permit(SENT, &order, &self.catalog)
    }

    fn load(&mut self, model: &str, if_revision: u64) -> Result<(), Violation> {
        self.order(Operation::Load, model, None, if_revision)
    }

    fn answer(&mut self, answer: OrderAnswer) {
        self.guard.answered("i-1", OrderId(self.orders), answer);
    }
}

#[test]
fn order_is_blocked_until_idle_endpoint_reports() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.load("m1", 0), Err(Violation::UnknownContents));
    fixture.report(SENT, &report(&[], true, 0));
    assert_eq!(fixture.load("m1", 0), Err(Violation::UnknownContents));
    fixture.report(SENT, &report(&[], false, 0));
    assert_eq!(fixture.load("m1", 0), Ok(()));
    assert_eq!(fixture.guard.violations().unknown_contents(), 2);
    assert_eq!(fixture.guard.violations().total(), 2);
}

#[test]
fn load_that_exceeds_capacity_is_blocked_and_counted() {
    let mut fixture = Fixture::with_report(&[("m1", &[]), ("m2", &[]), ("m3", &[])], 4);
    let beyond = Violation::ExceedsCapacity { needed_mb: 280_000.0, capacity_mb: 220_000.0 };
    assert_eq!(fixture.load("m4", 4), Err(beyond));
    assert_eq!(fixture.guard.violations().exceeds_capacity(), 1);
    assert_eq!(fixture.order(Operation::Evict, "m3", None, 4), Ok(()));
    fixture.answer(OrderAnswer::Accepted);
    assert_eq!(fixture.load("m4", 5), Ok(()));
    fixture.answer(OrderAnswer::Accepted);
    assert!(matches!(fixture.load("m5", 6), Err(Violation::ExceedsCapacity { .. })));
}

#[test]
fn adapter_that_exceeds_the_limit_is_blocked_and_counted() {
    let mut fixture = Fixture::with_report(&[("m1", &["a1"])], 0);
    assert_eq!(fixture.order(Operation::Load, "m1", Some("a2"), 0), Ok(()));
    fixture.answer(OrderAnswer::Accepted);
    let beyond = Violation::ExceedsAdapterLimit { needed: 3, limit: 2 };
    assert_eq!(fixture.order(Operation::Load, "m1", Some("a3"), 1), Err(beyond));
    assert_eq!(fixture.guard.violations().exceeds_adapter_limit(), 1);
}

#[test]
fn violations_of_several_placers_add_up() {
    let mut first = Fixture::new();
    let _ = first.load("m1", 0);
    let mut second = Fixture::with_report(&[("m1", &[]), ("m2", &[]), ("m3", &[])], 0);
    let _ = second.load("m4", 0);
    let _ = second.load("m4", 1);
    let mut sum = first.guard.violations();
    sum += second.guard.violations();
    assert_eq!((sum.unknown_contents(), sum.exceeds_capacity(), sum.wrong_revision()), (1, 1, 1));
    assert_eq!(sum.total(), 3);
}

#[test]
fn order_with_wrong_revision_is_blocked() {
    let mut fixture = Fixture::with_report(&[], 3);
    assert_eq!(fixture.load("m1", 2), Err(Violation::WrongRevision { known: 3, expected: 2 }));
    assert_eq!(fixture.guard.violations().wrong_revision(), 1);
}

#[test]
fn unanswered_order_blocks_others_until_report_resolves_it() {
    for operation in [Operation::Load, Operation::Evict] {
        let mut fixture = Fixture::with_report(&[("m1", &[])], 0);
        assert_eq!(fixture.load("m2", 0), Ok(()));
        let pending = Err(Violation::OrderPending(OrderId(1)));
        fixture.answer(OrderAnswer::Unknown);
        assert_eq!(fixture.order(operation, "m1", None, 0), pending);
        // This report may be older than the arrival of the order.
        fixture.report(KNOWN_LOST_AT - Duration::from_millis(1), &report(&[("m1", &[])], false, 0));
        assert_eq!(fixture.order(operation, "m1", None, 0), pending);
        fixture.report(KNOWN_LOST_AT, &report(&[("m1", &[])], true, 1));
        assert_eq!(fixture.order(operation, "m1", None, 1), pending);
        fixture.report(KNOWN_LOST_AT, &report(&[("m1", &[])], false, 0));
        assert_eq!(fixture.order(operation, "m1", None, 0), Ok(()));
        assert_eq!(fixture.guard.violations().order_pending(), 3);
    }
}

#[test]
fn report_older_than_accepted_order_is_ignored() {
    let mut fixture = Fixture::with_report(&[("m1", &[]), ("m2", &[])], 7);
    assert_eq!(fixture.load("m3", 7), Ok(()));
    fixture.answer(OrderAnswer::Accepted);
    fixture.report(KNOWN_LOST_AT, &report(&[("m1", &[]), ("m2", &[])], false, 7));
    assert!(matches!(fixture.load("m4", 8), Err(Violation::ExceedsCapacity { .. })));
}

#[test]
fn contradicting_rejection_makes_contents_unknown() {
    for answer in [OrderAnswer::Conflict, OrderAnswer::AlreadyDone, OrderAnswer::Invalid] {
        let mut fixture = Fixture::with_report(&[], 0);
        assert_eq!(fixture.load("m1", 0), Ok(()));
        fixture.answer(answer);
        assert_eq!(fixture.load("m1", 0), Err(Violation::UnknownContents), "{answer:?}");
    }
    for answer in [OrderAnswer::Unavailable, OrderAnswer::WrongInstance] {
        let mut fixture = Fixture::with_report(&[], 0);
        assert_eq!(fixture.load("m1", 0), Ok(()));
        fixture.answer(answer);
        assert_eq!(fixture.load("m1", 0), Ok(()), "{answer:?}");
    }
}

#[test]
fn record_ends_with_its_incarnation() {
    let mut fixture = Fixture::with_report(&[], 0);
    fixture.guard.forget("i-1");
    assert_eq!(fixture.load("m1", 0), Err(Violation::UnknownContents));
}

#[test]
fn model_counts_with_its_largest_configured_size() {
    let model = |name: &str, weights_mb: f64| Model {
        name: name.into(),
        weights_mb,
        load_time_s: 1.0,
        adapters: 0,
        adapter_size_mb: 0.0,
    };
    let runtime = |models: Vec<Model>| Runtime {
        capacity: 64,
        kv_cache_tokens: 233_000.0,
        stride: None,
        models,
        weights_mb: 220_000.0,
        max_adapters: 2,
        loads_per_s: 2.8,
    };
    let first =
        Catalog::new(&runtime(vec![model("m1", 90_000.0), model("m2", 50_000.0)]), &Catalog::default());
    let second = Catalog::new(&runtime(vec![model("m2", 60_000.0), model("m3", 10.0)]), &first);
    let third = Catalog::new(&runtime(vec![model("m2", 40_000.0)]), &second);
    let size = |model: &str| third.size_mb(&crate::interface::Item::model(Arc::from(model)));
    assert_eq!((size("m1"), size("m2"), size("m3")), (90_000.0, 60_000.0, 10.0));
    // `m4` was never configured, so it is assumed to fill the endpoint.
    assert_eq!(size("m4"), 220_000.0);
}
