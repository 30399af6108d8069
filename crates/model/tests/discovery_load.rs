//! Discovery's return under a whole fleet, with the waits that the decision module draws.

use curlewhub_balance::{RefusalCause, refusal_retry_delay};
use curlewhub_model::discovery_load::{
    Callers, Discovery, Failures, Outage, Recovery, RetryWait, recover, recover_from,
};
use std::time::Duration;

/// Fleets of these sizes, each with a discovery that would need so long to answer all once.
const SIZES: [u32; 3] = [30, 300, 1900];
const SECONDS_FOR_ALL: f64 = 7.7;

/// A third as many start within 6 s of the return as wait for it; a call fails after 2 s.
fn play(size: u32, wait: RetryWait, seed: u64) -> Recovery {
    play_queue(size, Duration::from_secs(2), wait, seed)
}

fn play_queue(size: u32, queue_limit: Duration, wait: RetryWait, seed: u64) -> Recovery {
    let starting = size / 3;
    let calls_per_second = f64::from(size + starting) / SECONDS_FOR_ALL;
    let discovery = Discovery { calls_per_second, wait_limit: Duration::from_secs(2), queue_limit };
    let callers = Callers { waiting: size, starting, starting_within: Duration::from_secs(6) };
    recover(discovery, callers, wait, seed)
}

/// The waits up to commit 50d347b: a quarter of a second, doubled twice, and at once behind a call that took long.
fn former_waits(failures: Failures, draw: f64) -> Duration {
    let doubled = 0.25 * f64::from(1u32 << failures.before.min(2)) * (0.5 + draw);
    Duration::from_secs_f64((doubled - failures.took.as_secs_f64()).max(0.15 * draw))
}

/// The module's waits, as all of these calls are refused.
fn module_waits(failures: Failures, draw: f64) -> Duration {
    refusal_retry_delay(failures.before, RefusalCause::Unknown, failures.took, draw)
}

#[test]
fn all_callers_together_come_no_more_often_than_discovery_serves_them() {
    for size in SIZES {
        for seed in 1..=8 {
            let played = play(size, module_waits, seed);
            assert_eq!(played.unanswered, 0, "{size}, {seed}: {played:?}");
            // Of thirty, one unlucky caller is already more than one in a hundred, and each call is a tenth of the queue.
            let (half, nearly_all) = if size < 100 { (2.0, 3.5) } else { (1.0, 1.6) };
            assert!(played.half <= played.least.mul_f64(half), "{size}, {seed}: {played:?}");
            assert!(played.nearly_all <= played.least.mul_f64(nearly_all), "{size}, {seed}: {played:?}");
        }
    }
}

#[test]
fn shorter_waits_make_discovery_work_for_calls_that_it_then_fails() {
    for size in SIZES {
        let (former, now) = (play(size, former_waits, 1), play(size, module_waits, 1));
        assert!(former.nearly_all > 2 * now.nearly_all, "{size}: {former:?} {now:?}");
        assert!(former.worked_in_vain > 2 * now.worked_in_vain, "{size}: {former:?} {now:?}");
    }
}

#[test]
fn a_queue_that_accepts_more_than_it_can_answer_in_time_is_not_filled() {
    for size in SIZES {
        for seed in 1..=8 {
            let played = play_queue(size, Duration::from_millis(3750), module_waits, seed);
            assert_eq!(played.unanswered, 0, "{size}, {seed}: {played:?}");
            let times_the_least = if size < 100 { 3.5 } else { 1.6 };
            assert!(
                played.nearly_all <= played.least.mul_f64(times_the_least),
                "{size}, {seed}: {played:?}"
            );
        }
        let former = play_queue(size, Duration::from_millis(3750), former_waits, 1);
        assert!(former.unanswered > size / 2, "{size}: {former:?}");
    }
}

/// Guards against a fleet whose calls behind an outage fill discovery's queue, so that callers that start are refused too.
#[test]
fn behind_an_outage_discovery_works_for_calls_that_it_answers() {
    for starting in [34, 110] {
        for seed in 1..=8 {
            let discovery = Discovery {
                calls_per_second: 52.0,
                wait_limit: Duration::from_secs(2),
                queue_limit: Duration::from_millis(4200),
            };
            let callers = Callers { waiting: 345, starting, starting_within: Duration::from_secs(6) };
            let played = recover(discovery, callers, module_waits, seed);
            let answered = f64::from(345 + starting);
            let goodput = answered / (answered + played.worked_in_vain as f64);
            assert!(goodput > 0.95, "{starting} start, seed {seed}: {goodput:.3}, {played:?}");
        }
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    assert_eq!(play(300, module_waits, 5), play(300, module_waits, 5));
}

/// Callers that waited through a silent outage, at a discovery that fails calls after 3 s; behind a call that they gave
/// up they call again at once.
fn play_silent(size: u32, second_call: Option<Duration>, seed: u64) -> Recovery {
    let starting = size / 3;
    let calls_per_second = f64::from(size + starting) / SECONDS_FOR_ALL;
    let wait_limit = Duration::from_secs(3);
    let discovery = Discovery { calls_per_second, wait_limit, queue_limit: wait_limit };
    let callers = Callers { waiting: size, starting, starting_within: Duration::from_secs(6) };
    let wait = |failures: Failures, draw: f64| match failures.refused {
        true => refusal_retry_delay(failures.before, RefusalCause::Unknown, failures.took, draw),
        false => Duration::from_millis(150).mul_f64(draw),
    };
    let outage = Outage { silent: Some(Duration::from_millis(3200)), second_call };
    recover_from(discovery, callers, outage, wait, seed)
}

#[test]
fn second_calls_beside_lost_ones_do_not_fill_the_queue() {
    for size in [30, 300, 900] {
        for seed in 1..=8 {
            let played = play_silent(size, Some(Duration::from_millis(2750)), seed);
            assert_eq!(played.unanswered, 0, "{size}, {seed}: {played:?}");
            let times_the_least = if size < 100 { 3.5 } else { 1.6 };
            assert!(
                played.nearly_all <= played.least.mul_f64(times_the_least),
                "{size}, {seed}: {played:?}"
            );
        }
    }
}
