//! The times of a shutdown, all from the one at which SIGKILL may come.

use curlewhub_runtime::shutdown::{Phase, ShutdownDeadline};
use std::time::Duration;
use tokio::time::Instant;

const PHASES: [Phase; 4] = [Phase::Accepting, Phase::Draining, Phase::Failing, Phase::Exiting];

fn times(longest_ms: u64, succeeded: bool) -> Vec<u64> {
    let asked = Instant::now();
    let end = ShutdownDeadline::new(asked, Duration::from_millis(longest_ms));
    let mut times: Vec<Instant> = PHASES.iter().map(|phase| end.begins(*phase, succeeded)).collect();
    times.push(end.kill());
    times.into_iter().map(|at| (at - asked).as_millis() as u64).collect()
}

#[test]
fn the_phases_follow_from_the_longest_deadline() {
    assert_eq!(times(3000, true), [0, 2500, 3450, 3600, 3700]);
    assert_eq!(times(3000, false), [0, 500, 3450, 3600, 3700]);
    assert_eq!(times(20_000, true), times(3000, true), "a longer deadline counts as 3 s");
    assert_eq!(times(300, false), [0, 500, 750, 900, 1000]);
}

#[test]
fn the_phases_come_in_order_and_all_before_the_kill_whatever_the_deadlines() {
    for longest_ms in (0..4000).step_by(7) {
        for succeeded in [false, true] {
            let times = times(longest_ms, succeeded);
            assert!(times.is_sorted() && times[3] < times[4], "{longest_ms} ms: {times:?}");
        }
    }
}

#[test]
fn nothing_that_is_bounded_by_the_end_outlasts_it() {
    let asked = Instant::now();
    let end = ShutdownDeadline::new(asked, Duration::from_millis(500));
    let second = Duration::from_secs(1);
    assert_eq!(end.bound(second, asked + Duration::from_millis(800)), Duration::from_millis(300));
    assert_eq!(end.bound(Duration::from_millis(200), asked), Duration::from_millis(200));
    assert_eq!(end.bound(second, asked + second * 2), Duration::ZERO);
    assert!(!end.is_failing(asked) && end.is_failing(asked + Duration::from_millis(950)));
}
