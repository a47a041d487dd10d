//! A clock that is set back while no process runs.

use super::*;

#[test]
fn a_clock_that_went_back_between_two_lives_gives_no_time_and_no_window() {
    let at = Duration::from_secs;
    let submitted = Message { until: at(120), ..Message::default() };
    assert_eq!(time_left(&submitted, at(100), at(105)), at(15));
    assert_eq!(time_left(&submitted, at(100), at(130)), Duration::ZERO);
    assert_eq!(time_left(&submitted, at(100), at(10)), at(20), "no more than it ever had");
    assert_eq!(age(at(100), at(105)), at(5));
    assert_eq!(age(at(100), at(10)), UNKNOWN_AGE, "nobody knows: as if long ago");
}
