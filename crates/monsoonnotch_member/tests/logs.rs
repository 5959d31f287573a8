//! Tests of the limit on log lines per second.

use std::time::Duration;
use std::time::Instant;

use monsoonnotch_member::logs::RateLimit;
use monsoonnotch_member::logs::WARNINGS_MAX;

/// Guards against the loss of the lines that explain why a run was dropped, in a second with
/// many other lines.
#[test]
fn dropped_lines_do_not_displace_warnings() {
    let mut limit = RateLimit::new(10);
    let now = Instant::now();
    let admitted = (0..1_000).filter(|_| limit.admit(now, false).is_some());
    assert_eq!(admitted.count(), 10);
    let admitted = (0..1_000).filter(|_| limit.admit(now, true).is_some());
    assert_eq!(admitted.count(), WARNINGS_MAX as usize);
    let dropped = 990 + 1_000 - u64::from(WARNINGS_MAX);
    let next = now + Duration::from_secs(1);
    assert_eq!(limit.admit(next, false), Some(dropped));
    assert_eq!(limit.admit(next, false), Some(0));
}
