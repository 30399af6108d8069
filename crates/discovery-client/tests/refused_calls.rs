//! How long a list may be used while discovery refuses every call for a newer one.

use curlewhub_config::list::EndpointList;
use curlewhub_discovery_client::{Action, CallId, Client, EndReason, LeaseSettings, Mode};
use std::time::Duration;

/// A change counts as notified this long after discovery had it and could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// Calls that are held and then refused count as an outage for at most this long.
const LONGEST_OUTAGE: Duration = Duration::from_secs(8);
/// What is left of the drain grace after 0.15 s for a stalled process and the tolerance for clocks.
const ALLOWANCE: Duration = Duration::from_millis(50);
/// Discovery refuses a call that has waited this long.
const WAIT_LIMIT: Duration = Duration::from_secs(2);
const RUN_END: Duration = Duration::from_secs(60);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Why a client has no watch.
#[derive(Clone, Copy, Debug)]
enum WatchLoss {
    /// It has just started, with the list of the process before it.
    JustStarted,
    EndedByDiscovery,
    Reset,
    Silent,
    Cancelled,
}

fn client_without_watch(seed: u64, loss: WatchLoss) -> (Client, Duration) {
    let rules = LeaseSettings { ask_within: seconds(10.0), drain_grace: Duration::from_millis(250) };
    let mut client = Client::new(Mode::Ask, rules, seed, Duration::ZERO);
    client.follow(Duration::ZERO);
    let at = seconds(5.0);
    if matches!(loss, WatchLoss::JustStarted) {
        return (client, Duration::ZERO);
    }
    let watch = calls(&mut client)[0];
    client.watch_line(at, watch, Some(EndpointList { rev: 3, is_complete: true, targets: Vec::new() }));
    match loss {
        WatchLoss::JustStarted => {}
        WatchLoss::EndedByDiscovery => client.call_ended(at, watch, EndReason::Failed),
        WatchLoss::Reset => client.call_ended(at, watch, EndReason::Reset),
        WatchLoss::Silent => client.call_ended(at, watch, EndReason::Silent),
        WatchLoss::Cancelled => client.server_changed(at),
    }
    (client, at)
}

fn calls(client: &mut Client) -> Vec<CallId> {
    let started = client.take_actions().into_iter().filter_map(|action| match action {
        Action::Call { id, .. } => Some(id),
        _ => None,
    });
    started.collect()
}

/// Refuses each call after `took`, and returns the times at which the list may be used, in steps of 10 ms.
fn usable_times(client: &mut Client, from: Duration, took: Duration) -> Vec<Duration> {
    let (mut active, mut usable) = (Vec::new(), Vec::new());
    let mut now = from;
    while now < from + RUN_END {
        if client.next_timer().is_some_and(|at| at <= now) {
            client.timer(now);
        }
        active.extend(calls(client).into_iter().map(|id| (now + took, id)));
        for (_, id) in active.extract_if(.., |(at, _)| *at <= now) {
            client.call_ended(now, id, EndReason::Refused);
        }
        active.extend(calls(client).into_iter().map(|id| (now + took, id)));
        if client.lease().expires_at().is_none_or(|expires| now < expires) {
            usable.push(now);
        }
        now += Duration::from_millis(10);
    }
    usable
}

const ALL: [WatchLoss; 5] = [
    WatchLoss::JustStarted,
    WatchLoss::EndedByDiscovery,
    WatchLoss::Reset,
    WatchLoss::Silent,
    WatchLoss::Cancelled,
];

/// Guards against an unbounded lease after an immediate refusal, which shows that discovery is available.
#[test]
fn a_list_is_used_for_at_most_six_seconds_while_discovery_refuses_calls_at_once() {
    for loss in ALL {
        for seed in 0..20 {
            let (mut client, from) = client_without_watch(seed, loss);
            let last = usable_times(&mut client, from, Duration::from_millis(3)).last().copied();
            let bound = from + NOTIFIED_WITHIN + ALLOWANCE;
            assert!(last.is_none_or(|last| last < bound), "{loss:?}, seed {seed}: {last:?}");
        }
    }
}

/// Guards against an unbounded lease while each call is held up to discovery's time limit and then refused.
#[test]
fn a_list_is_used_for_at_most_an_outage_and_six_seconds_while_discovery_holds_and_refuses_calls() {
    for loss in ALL {
        for seed in 0..20 {
            let (mut client, from) = client_without_watch(seed, loss);
            let last = usable_times(&mut client, from, WAIT_LIMIT).last().copied();
            // Without a watch the first refusal is the first sign of an outage.
            let first_sign = if matches!(loss, WatchLoss::JustStarted) { from + WAIT_LIMIT } else { from };
            let bound = first_sign + LONGEST_OUTAGE + NOTIFIED_WITHIN + ALLOWANCE;
            assert!(last.is_none_or(|last| last < bound), "{loss:?}, seed {seed}: {last:?}");
        }
    }
}

/// Guards against a lease that renews itself without a newer list after discovery has ended the watch, which shows
/// that it was available.
#[test]
fn an_expired_list_is_not_used_again_after_discovery_ends_the_watch() {
    for seed in 0..20 {
        let (mut client, from) = client_without_watch(seed, WatchLoss::EndedByDiscovery);
        let last = usable_times(&mut client, from, WAIT_LIMIT).last().copied();
        assert!(last.is_some_and(|last| last < from + seconds(2.0) + ALLOWANCE), "seed {seed}: {last:?}");
    }
}
