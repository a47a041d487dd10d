use crate::planning_view::ModelStatus;

/// A model with 20 requests/s whose work fills `endpoints_needed` endpoints.
fn status(endpoints_needed: f64) -> ModelStatus {
    ModelStatus { endpoints_needed, recent_rate: 20.0, ..ModelStatus::default() }
}

#[test]
fn replicas_below_half_of_even_load_leave_requests_unserved() {
    let busy = status(10.0);
    for (replicas, unserved) in [(10, 0.0), (5, 0.0), (4, 4.0), (1, 16.0), (0, 20.0)] {
        assert!((busy.unserved(replicas) - unserved).abs() < 1e-9, "{replicas} replicas");
    }
}

#[test]
fn model_with_little_work_needs_one_replica() {
    let light = status(0.3);
    assert_eq!(light.unserved(1), 0.0);
    assert_eq!(light.unserved(0), 20.0);
}
