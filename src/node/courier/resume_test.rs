//! Recovery after the clock was set back while no process was running.

use super::*;

#[test]
fn a_clock_set_back_between_two_runs_gives_no_extra_time_and_no_window() {
    let at = Duration::from_secs;
    let submitted = Message { until: at(120), ..Message::default() };
    assert_eq!(time_left(&submitted, at(100), at(105)), at(15));
    assert_eq!(time_left(&submitted, at(100), at(130)), Duration::ZERO);
    assert_eq!(time_left(&submitted, at(100), at(10)), at(20), "no more than it ever had");
    assert_eq!(age(at(100), at(105)), at(5));
    assert_eq!(age(at(100), at(10)), UNKNOWN_AGE, "nobody knows: as if long ago");
}
