use crate::demand_rate::{DemandRates, DemandTable};
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
fn a_model_with_most_of_the_demand_is_on_most_endpoints() {
    let table = table(30, &[("busy", 70), ("other", 15), ("third", 15)]);
    let now = Duration::from_secs(30);
    let target = fleet(&table, now).target(rates(&table, "busy"), 12, now);
    assert!(target.minimum >= 7, "{target:?}");
    assert!(fleet(&table, now).target(rates(&table, "other"), 12, now).minimum >= 2);
}

#[test]
fn a_model_that_is_asked_for_wants_a_copy_and_one_that_is_not_wants_none() {
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
fn nothing_is_given_up_for_chance() {
    let table = table(60, &[("busy", 20), ("other", 2)]);
    let now = Duration::from_secs(60);
    for model in ["busy", "other"] {
        let target = fleet(&table, now).target(rates(&table, model), 12, now);
        assert!(target.maximum >= target.minimum, "{target:?}");
    }
}

#[test]
fn a_rising_rate_is_followed_within_seconds_and_a_fallen_one_is_let_go() {
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
fn what_is_expected_of_an_item_shrinks_with_its_pause() {
    let table = table(60, &[("old", 20)]);
    let old = rates(&table, "old");
    let at = |second| old.expected_rate(Duration::from_secs(second));
    assert!(at(60) > 10.0);
    assert!(at(64) <= 0.5);
    assert!(at(120) < 0.04);
}

#[test]
fn what_nobody_asks_for_has_no_entry() {
    let mut table = table(5, &[("busy", 20)]);
    add(&mut table, 6, &[("idle", 0)]);
    assert_eq!(table.models.len(), 1);
    table.expire(Duration::from_secs(400));
    assert!(table.models.is_empty());
}

/// Word of the request itself may have been lost on its way.
#[test]
fn what_only_waits_is_urgent_and_gets_a_replica() {
    let now = Duration::from_secs(5);
    let mut table = table(4, &[("busy", 10)]);
    let waiting = ModelDemand { unplaced: 1, ..demand("rare", 0) };
    let report = DemandReport { period_ms: 1_000, models: vec![waiting] };
    assert!(table.add(now, &report, BACKEND, |name, _| Some(Arc::from(name))));
    assert!(rates(&table, "rare").urgent(now));
    assert_eq!(fleet(&table, now).target(rates(&table, "rare"), 12, now).minimum, 1);
}
