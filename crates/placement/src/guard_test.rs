use crate::catalog::Catalog;
use crate::guard::{OrderGuard, Violation};
use crate::interface::{EndpointReport, Operation, Order, OrderAnswer, OrderId};
use lanegate_config::configuration::{Model, Runtime};
use lanegate_config::instance::ResidentModel;
use std::sync::Arc;
use std::time::Duration;

const SENT: Duration = Duration::from_secs(10);
/// From then on a report tells that an order sent at [`SENT`] never came.
const REFUTED: Duration = Duration::from_millis(12_500);

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
struct Play {
    guard: OrderGuard,
    catalog: Catalog,
    orders: u64,
}

impl Play {
    fn new() -> Play {
        Play { guard: OrderGuard::default(), catalog: catalog(), orders: 0 }
    }

    fn told(models: &[(&str, &[&str])], sequence: u64) -> Play {
        let mut play = Play::new();
        play.report(SENT, &report(models, false, sequence));
        play
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
fn no_order_leaves_before_a_report_of_an_endpoint_at_rest() {
    let mut play = Play::new();
    assert_eq!(play.load("m1", 0), Err(Violation::UnknownContents));
    play.report(SENT, &report(&[], true, 0));
    assert_eq!(play.load("m1", 0), Err(Violation::UnknownContents));
    play.report(SENT, &report(&[], false, 0));
    assert_eq!(play.load("m1", 0), Ok(()));
    assert_eq!(play.guard.violations().unknown_contents(), 2);
    assert_eq!(play.guard.violations().total(), 2);
}

#[test]
fn a_load_beyond_the_room_is_held_back_and_counted() {
    let mut play = Play::told(&[("m1", &[]), ("m2", &[]), ("m3", &[])], 4);
    let beyond = Violation::ExceedsCapacity { needed_mb: 280_000.0, capacity_mb: 220_000.0 };
    assert_eq!(play.load("m4", 4), Err(beyond));
    assert_eq!(play.guard.violations().exceeds_capacity(), 1);
    assert_eq!(play.order(Operation::Evict, "m3", None, 4), Ok(()));
    play.answer(OrderAnswer::Accepted);
    assert_eq!(play.load("m4", 5), Ok(()));
    play.answer(OrderAnswer::Accepted);
    assert!(matches!(play.load("m5", 6), Err(Violation::ExceedsCapacity { .. })));
}

#[test]
fn an_adapter_beyond_the_places_is_held_back_and_counted() {
    let mut play = Play::told(&[("m1", &["a1"])], 0);
    assert_eq!(play.order(Operation::Load, "m1", Some("a2"), 0), Ok(()));
    play.answer(OrderAnswer::Accepted);
    let beyond = Violation::ExceedsAdapterLimit { needed: 3, limit: 2 };
    assert_eq!(play.order(Operation::Load, "m1", Some("a3"), 1), Err(beyond));
    assert_eq!(play.guard.violations().exceeds_adapter_limit(), 1);
}

#[test]
fn counts_of_several_placers_add_up() {
    let mut first = Play::new();
    let _ = first.load("m1", 0);
    let mut second = Play::told(&[("m1", &[]), ("m2", &[]), ("m3", &[])], 0);
    let _ = second.load("m4", 0);
    let _ = second.load("m4", 1);
    let mut sum = first.guard.violations();
    sum += second.guard.violations();
    assert_eq!((sum.unknown_contents(), sum.exceeds_capacity(), sum.wrong_revision()), (1, 1, 1));
    assert_eq!(sum.total(), 3);
}

#[test]
fn an_order_on_another_count_of_orders_is_held_back() {
    let mut play = Play::told(&[], 3);
    assert_eq!(play.load("m1", 2), Err(Violation::WrongRevision { known: 3, expected: 2 }));
    assert_eq!(play.guard.violations().wrong_revision(), 1);
}

#[test]
fn after_an_order_without_an_answer_no_other_leaves_until_a_report_tells() {
    for operation in [Operation::Load, Operation::Evict] {
        let mut play = Play::told(&[("m1", &[])], 0);
        assert_eq!(play.load("m2", 0), Ok(()));
        let unsettled = Err(Violation::OrderPending(OrderId(1)));
        play.answer(OrderAnswer::Unknown);
        assert_eq!(play.order(operation, "m1", None, 0), unsettled);
        // It may be older than the order's arrival.
        play.report(REFUTED - Duration::from_millis(1), &report(&[("m1", &[])], false, 0));
        assert_eq!(play.order(operation, "m1", None, 0), unsettled);
        play.report(REFUTED, &report(&[("m1", &[])], true, 1));
        assert_eq!(play.order(operation, "m1", None, 1), unsettled);
        play.report(REFUTED, &report(&[("m1", &[])], false, 0));
        assert_eq!(play.order(operation, "m1", None, 0), Ok(()));
        assert_eq!(play.guard.violations().order_pending(), 3);
    }
}

#[test]
fn a_report_older_than_an_order_that_was_taken_tells_nothing() {
    let mut play = Play::told(&[("m1", &[]), ("m2", &[])], 7);
    assert_eq!(play.load("m3", 7), Ok(()));
    play.answer(OrderAnswer::Accepted);
    play.report(REFUTED, &report(&[("m1", &[]), ("m2", &[])], false, 7));
    assert!(matches!(play.load("m4", 8), Err(Violation::ExceedsCapacity { .. })));
}

#[test]
fn a_refusal_that_contradicts_what_is_known_asks_for_a_report() {
    for answer in [OrderAnswer::Conflict, OrderAnswer::AlreadyDone, OrderAnswer::Invalid] {
        let mut play = Play::told(&[], 0);
        assert_eq!(play.load("m1", 0), Ok(()));
        play.answer(answer);
        assert_eq!(play.load("m1", 0), Err(Violation::UnknownContents), "{answer:?}");
    }
    for answer in [OrderAnswer::Unavailable, OrderAnswer::WrongInstance] {
        let mut play = Play::told(&[], 0);
        assert_eq!(play.load("m1", 0), Ok(()));
        play.answer(answer);
        assert_eq!(play.load("m1", 0), Ok(()), "{answer:?}");
    }
}

#[test]
fn what_was_known_of_an_incarnation_ends_with_it() {
    let mut play = Play::told(&[], 0);
    play.guard.forget("i-1");
    assert_eq!(play.load("m1", 0), Err(Violation::UnknownContents));
}

#[test]
fn a_model_counts_as_large_as_any_configuration_had_it() {
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
    // No configuration told of it: it may fill the endpoint.
    assert_eq!(size("m4"), 220_000.0);
}
