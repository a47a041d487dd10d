//! The table of what a day lost: it adds up, and names the worst moments.

use day_generator::loss::DayReport;

const REPORT: &str = r#"{
    "G": 0.7744, "served": 0.9, "fault": null,
    "parts": [["whole day", 0.7, 0.91], ["worst windows", 0.15, 0.52], ["worst class", 0.15, 0.8]],
    "prices": [["machine-seconds", 6557.0, 0.025], ["orders", 900.0, 0.0004], ["loads of weights", 283.0, 0.0352]],
    "classes": [{"name": "draft", "n": 100, "in_aim": 80, "late": 12, "refused": 6, "failed": 2, "worth": 0.8}],
    "windows": [
        {"name": "0", "n": 10, "late": 0, "refused": 0, "failed": 0, "worth": 1.0},
        {"name": "2", "n": 11, "late": 3, "refused": 2, "failed": 1, "worth": 0.4},
        {"name": "4", "n": 12, "late": 1, "refused": 0, "failed": 0, "worth": 0.9}
    ]
}"#;

#[test]
fn the_losses_add_up_to_what_the_day_lacks() {
    let report = DayReport::read(REPORT).unwrap();
    let sum: f64 = report.losses().iter().map(|loss| loss.points).sum();
    assert!((sum - report.lacking()).abs() < 1e-9, "{sum} against {}", report.lacking());
}

#[test]
fn the_largest_loss_and_the_worst_window_come_first() {
    let report = DayReport::read(REPORT).unwrap();
    assert_eq!(report.losses()[0].cause, "worst windows: 0.520 of 1, weight 0.15");
    let windows: Vec<String> = report.worst_windows().iter().map(ToString::to_string).collect();
    assert_eq!(windows[0], "2: 0.400 of 11 requests; late 3, refused 2, failed 1");
}

#[test]
fn small_losses_are_told_together() {
    let table = DayReport::read(REPORT).unwrap().to_string();
    assert!(table.contains("  0.0004  all smaller ones\n  0.2256  lost in all\n"), "{table}");
    assert!(table.ends_with("draft: 0.800 of 100 requests; late 12, refused 6, failed 2\n"), "{table}");
}

#[test]
fn what_is_no_report_is_refused_with_its_place() {
    let error = DayReport::read("{\"G\": 0.5}").unwrap_err().to_string();
    assert!(error.contains("missing field `parts`") && error.contains("line 1"), "{error}");
}
