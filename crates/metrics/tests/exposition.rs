//! The text of the metrics.

#[path = "common/text_format.rs"]
mod text_format;

use lanegate_invariants::{Invariant, Violations};
use lanegate_metrics::{Exposition, Metric};
use std::time::Duration;
use text_format::ParsedMetrics;

const ORDERS: Metric = Metric::counter("lanegate_test_orders_total", "Orders that were given");
const DEPTH: Metric = Metric::gauge("lanegate_test_depth", "How many wait in the queue");
const AGE: Metric = Metric::gauge("lanegate_test_age_seconds", "How old the newest value is");

#[test]
fn exposition_text_follows_the_format() {
    let mut exposition = Exposition::default();
    exposition.set_labelled(&ORDERS, &[("kind", "load"), ("outcome", "placed")], 3_u64);
    exposition.set_labelled(&ORDERS, &[("kind", "evict"), ("outcome", "placed")], 0_u64);
    exposition.set(&DEPTH, 7_usize);
    exposition.set(&AGE, Duration::from_millis(1_250));
    assert_eq!(
        exposition.render().unwrap(),
        "# HELP lanegate_test_orders_total Orders that were given\n\
         # TYPE lanegate_test_orders_total counter\n\
         lanegate_test_orders_total{kind=\"load\",outcome=\"placed\"} 3\n\
         lanegate_test_orders_total{kind=\"evict\",outcome=\"placed\"} 0\n\
         # HELP lanegate_test_depth How many wait in the queue\n\
         # TYPE lanegate_test_depth gauge\n\
         lanegate_test_depth 7\n\
         # HELP lanegate_test_age_seconds How old the newest value is\n\
         # TYPE lanegate_test_age_seconds gauge\n\
         lanegate_test_age_seconds 1.25\n"
    );
}

#[test]
fn samples_are_grouped_by_metric() {
    let mut exposition = Exposition::default();
    exposition.set_labelled(&ORDERS, &[("kind", "load")], 1_u64);
    exposition.set(&DEPTH, 2_u64);
    exposition.set_labelled(&ORDERS, &[("kind", "evict")], 3_u64);
    let metrics = ParsedMetrics::parse(&exposition.render().unwrap());
    assert_eq!(metrics.sum("lanegate_test_orders_total"), 4.0);
    assert_eq!(metrics.value("lanegate_test_depth", &[]), 2.0);
}

#[test]
fn label_values_are_escaped() {
    let odd = "a\"b\\c\nd,e}";
    let mut exposition = Exposition::default();
    exposition.set_labelled(&DEPTH, &[("kind", odd)], 1_u64);
    let metrics = ParsedMetrics::parse(&exposition.render().unwrap());
    assert_eq!(metrics.value("lanegate_test_depth", &[("kind", odd)]), 1.0);
}

#[test]
fn declared_metric_without_sample_is_described() {
    let mut exposition = Exposition::default();
    exposition.declare(&DEPTH);
    let metrics = ParsedMetrics::parse(&exposition.render().unwrap());
    assert!(metrics.0["lanegate_test_depth"].samples.is_empty());
}

#[test]
fn every_invariant_is_exported_from_the_start() {
    let violations = Violations::default();
    let rendered = |violations: &Violations| {
        let mut exposition = Exposition::default();
        exposition.set_violations(violations);
        ParsedMetrics::parse(&exposition.render().unwrap())
    };
    let name = "lanegate_invariant_violations_total";
    let before = rendered(&violations);
    assert_eq!(before.0[name].samples.len(), Invariant::ALL.len());
    assert_eq!(before.sum(name), 0.0);
    violations.record(Invariant::EpochRises);
    let after = rendered(&violations);
    assert_eq!(after.value(name, &[("invariant", "epoch_rises")]), 1.0);
    assert_eq!(after.sum(name), 1.0);
}
