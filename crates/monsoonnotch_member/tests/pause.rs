//! Tests that a pause is noticed before the process acts on what it believed before.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use monsoonnotch_member::pause::Detector;
use rstest::rstest;

/// Guards against a leader that acts on a confirmation that has run out: the steady clock stands
/// still while its VM is suspended.
#[rstest]
#[case::not_paused(100, 100, false)]
#[case::paused(2_000, 2_000, true)]
#[case::suspended(100, 9_000, true)]
#[case::time_of_day_stepped_back(100, -5_000, false)]
fn a_pause_is_seen_by_either_clock(
    #[case] steady_ms: u64,
    #[case] wall_ms: i64,
    #[case] paused: bool,
) {
    let (steady, wall) = (Instant::now(), SystemTime::now());
    let mut detector = Detector::new(steady, wall);
    let step = Duration::from_millis(wall_ms.unsigned_abs());
    let wall = if wall_ms < 0 {
        wall - step
    } else {
        wall + step
    };
    let steady = steady + Duration::from_millis(steady_ms);
    let expected = Duration::from_millis(700);
    assert_eq!(detector.was_paused(expected, steady, wall), paused);
    assert!(!detector.was_paused(expected, steady, wall), "counted once");
}
