//! The phases of a shutdown, which are all derived from the time at which SIGKILL may be sent.

use curlewhub_runtime::shutdown::{Phase, ShutdownDeadline};
use std::time::Duration;
use tokio::time::Instant;

const PHASES: [Phase; 4] = [Phase::Accepting, Phase::Draining, Phase::Failing, Phase::Exiting];

fn times(longest_ms: u64, has_successor: bool) -> Vec<u64> {
    let requested_at = Instant::now();
    let end = ShutdownDeadline::new(requested_at, Duration::from_millis(longest_ms));
    let mut times: Vec<Instant> = PHASES.iter().map(|phase| end.start_of(*phase, has_successor)).collect();
    times.push(end.kill_at());
    times.into_iter().map(|at| (at - requested_at).as_millis() as u64).collect()
}

#[test]
fn the_phases_are_derived_from_the_longest_deadline() {
    assert_eq!(times(3000, true), [0, 2500, 3450, 3600, 3700]);
    assert_eq!(times(3000, false), [0, 500, 3450, 3600, 3700]);
    assert_eq!(times(20_000, true), times(3000, true), "a longer deadline is capped at 3 s");
    assert_eq!(times(300, false), [0, 500, 750, 900, 1000]);
}

#[test]
fn the_phases_start_in_order_and_before_the_kill_for_all_deadlines() {
    for longest_ms in (0..4000).step_by(7) {
        for has_successor in [false, true] {
            let times = times(longest_ms, has_successor);
            assert!(times.is_sorted() && times[3] < times[4], "{longest_ms} ms: {times:?}");
        }
    }
}

#[test]
fn a_limited_duration_ends_before_the_process_exits() {
    let requested_at = Instant::now();
    let end = ShutdownDeadline::new(requested_at, Duration::from_millis(500));
    let second = Duration::from_secs(1);
    assert_eq!(end.limit(second, requested_at + Duration::from_millis(800)), Duration::from_millis(300));
    assert_eq!(end.limit(Duration::from_millis(200), requested_at), Duration::from_millis(200));
    assert_eq!(end.limit(second, requested_at + second * 2), Duration::ZERO);
    assert!(!end.is_failing(requested_at) && end.is_failing(requested_at + Duration::from_millis(950)));
}
