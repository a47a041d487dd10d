use crate::view::Standing;

/// A model with 20 requests a second, whose work would fill `need` endpoints.
fn standing(need: f64) -> Standing {
    Standing { need, fast: 20.0, ..Standing::default() }
}

#[test]
fn half_of_the_even_share_serves_all_and_each_copy_below_that_loses_its_part() {
    let busy = standing(10.0);
    for (copies, unserved) in [(10, 0.0), (5, 0.0), (4, 4.0), (1, 16.0), (0, 20.0)] {
        assert!((busy.unserved(copies) - unserved).abs() < 1e-9, "{copies} copies");
    }
}

#[test]
fn a_model_of_little_work_needs_one_copy() {
    let light = standing(0.3);
    assert_eq!(light.unserved(1), 0.0);
    assert_eq!(light.unserved(0), 20.0);
}
