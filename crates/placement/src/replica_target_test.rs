use crate::demand_rate::DemandRates;
use crate::demand_table::DemandTable;
use crate::replica_target::FleetLoad;
use lanegate_config::demand::{DemandReport, ModelDemand};
use std::sync::Arc;
use std::time::Duration;

const BACKEND: &str = "models";

fn demand(model: &str, requests: u32) -> ModelDemand {
    ModelDemand {
        backend: BACKEND.into(),
        model: model.into(),
        adapter: None,
        requests,
        tokens: u64::from(requests) * 1_500,
        unplaced: 0,
    }
}

/// A table after `seconds` reports, one a second.
fn table(seconds: u64, models: &[(&str, u32)]) -> DemandTable {
    let mut table = DemandTable::default();
    for second in 0..=seconds {
        add(&mut table, second, models);
    }
    table
}

fn add(table: &mut DemandTable, second: u64, models: &[(&str, u32)]) {
    let models = models.iter().map(|(model, requests)| demand(model, *requests)).collect();
    let report = DemandReport { period_ms: 1_000, models };
    table.add(Duration::from_secs(second), &report, BACKEND, |name, _| Some(Arc::from(name)));
}

fn rates<'a>(table: &'a DemandTable, model: &str) -> &'a DemandRates {
    &table.models[model].total
}

fn fleet(table: &DemandTable, now: Duration) -> FleetLoad {
    let work =
        table.models.values().map(|rates| rates.total.recent_rate(now) * rates.total.mean_work()).sum();
    FleetLoad { endpoints: 12, work }
}

#[test]
fn target_of_busy_model_spans_most_endpoints() {
    let table = table(30, &[("busy", 70), ("other", 15), ("third", 15)]);
    let now = Duration::from_secs(30);
    let target = fleet(&table, now).target(rates(&table, "busy"), 12, now);
    assert!(target.minimum >= 7, "{target:?}");
    assert!(fleet(&table, now).target(rates(&table, "other"), 12, now).minimum >= 2);
}

#[test]
fn only_models_in_demand_get_a_target() {
    let mut table = table(30, &[("busy", 30)]);
    add(&mut table, 31, &[("busy", 30), ("rare", 1)]);
    let now = Duration::from_secs(31);
    let target = fleet(&table, now).target(rates(&table, "rare"), 12, now);
    assert_eq!(target.minimum, 1);
    let now = Duration::from_secs(60);
    let target = fleet(&table, now).target(rates(&table, "rare"), 12, now);
    assert_eq!((target.minimum, target.maximum), (0, 0));
}

#[test]
fn maximum_is_never_below_minimum() {
    let table = table(60, &[("busy", 20), ("other", 2)]);
    let now = Duration::from_secs(60);
    for model in ["busy", "other"] {
        let target = fleet(&table, now).target(rates(&table, model), 12, now);
        assert!(target.maximum >= target.minimum, "{target:?}");
    }
}

#[test]
fn target_follows_rising_and_falling_rates() {
    let mut table = table(60, &[("old", 20), ("new", 1)]);
    for second in 61..64 {
        add(&mut table, second, &[("new", 20)]);
    }
    let now = Duration::from_secs(63);
    let risen = fleet(&table, now).target(rates(&table, "new"), 12, now);
    assert!(risen.minimum >= 3, "{risen:?}");
    for second in 64..76 {
        add(&mut table, second, &[("new", 20)]);
    }
    let now = Duration::from_secs(75);
    let fallen = fleet(&table, now).target(rates(&table, "old"), 12, now);
    assert_eq!((fallen.minimum, fallen.maximum), (0, 0));
}

#[test]
fn expected_rate_shrinks_with_gap_since_last_request() {
    let table = table(60, &[("old", 20)]);
    let old = rates(&table, "old");
    let at = |second| old.expected_rate(Duration::from_secs(second));
    assert!(at(60) > 10.0);
    assert!(at(64) <= 0.5);
    assert!(at(120) < 0.04);
}

#[test]
fn items_without_requests_have_no_entry() {
    let mut table = table(5, &[("busy", 20)]);
    add(&mut table, 6, &[("idle", 0)]);
    assert_eq!(table.models.len(), 1);
    table.expire(Duration::from_secs(400));
    assert!(table.models.is_empty());
}

/// The report that counted the request may have been lost; later reports only say that it still waits.
#[test]
fn waiting_requests_alone_make_a_model_urgent() {
    let now = Duration::from_secs(5);
    let mut table = table(4, &[("busy", 10)]);
    let waiting = ModelDemand { unplaced: 1, ..demand("rare", 0) };
    let report = DemandReport { period_ms: 1_000, models: vec![waiting] };
    assert!(table.add(now, &report, BACKEND, |name, _| Some(Arc::from(name))));
    assert!(rates(&table, "rare").urgent(now));
    assert_eq!(fleet(&table, now).target(rates(&table, "rare"), 12, now).minimum, 1);
}
