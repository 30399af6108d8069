//! For how long a list may be used while discovery refuses each call for a newer one.

use curlewhub_config::list::EndpointList;
use curlewhub_discovery_client::{Action, CallId, Client, EndReason, LeaseSettings, Mode};
use std::time::Duration;

/// A change counts as notified this long after discovery had it and could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// Calls that were held and refused are taken for an outage for this long.
const LONGEST_OUTAGE: Duration = Duration::from_secs(8);
/// What of the grace is left when the process may be held up for 0.15 s, less the slack of clocks.
const ALLOWANCE: Duration = Duration::from_millis(50);
/// Discovery fails a call that has waited so long.
const WAIT_LIMIT: Duration = Duration::from_secs(2);
const RUN_END: Duration = Duration::from_secs(60);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// How a client came to be without a watch.
#[derive(Clone, Copy, Debug)]
enum Lost {
    /// It has started, from the list of the process before it.
    NeverHad,
    EndedInOrder,
    Reset,
    Silent,
    Left,
}

fn client_without_watch(seed: u64, lost: Lost) -> (Client, Duration) {
    let rules = LeaseSettings { ask_within: seconds(10.0), drain_grace: Duration::from_millis(250) };
    let mut client = Client::new(Mode::Ask, rules, seed, Duration::ZERO);
    client.follow(Duration::ZERO);
    let at = seconds(5.0);
    if matches!(lost, Lost::NeverHad) {
        return (client, Duration::ZERO);
    }
    let watch = calls(&mut client)[0];
    client.watch_line(at, watch, Some(EndpointList { rev: 3, is_complete: true, targets: Vec::new() }));
    match lost {
        Lost::NeverHad => {}
        Lost::EndedInOrder => client.call_ended(at, watch, EndReason::Failed),
        Lost::Reset => client.call_ended(at, watch, EndReason::Reset),
        Lost::Silent => client.call_ended(at, watch, EndReason::Silent),
        Lost::Left => client.server_changed(at),
    }
    (client, at)
}

fn calls(client: &mut Client) -> Vec<CallId> {
    let begun = client.take_actions().into_iter().filter_map(|action| match action {
        Action::Call { id, .. } => Some(id),
        _ => None,
    });
    begun.collect()
}

/// Refuses each call after it took so long; the times at which the list may be used, in steps of 10 ms.
fn used(client: &mut Client, from: Duration, took: Duration) -> Vec<Duration> {
    let (mut out, mut used) = (Vec::new(), Vec::new());
    let mut now = from;
    while now < from + RUN_END {
        if client.next_timer().is_some_and(|at| at <= now) {
            client.timer(now);
        }
        out.extend(calls(client).into_iter().map(|id| (now + took, id)));
        for (_, id) in out.extract_if(.., |(at, _)| *at <= now) {
            client.call_ended(now, id, EndReason::Refused);
        }
        out.extend(calls(client).into_iter().map(|id| (now + took, id)));
        if client.lease().expires_at().is_none_or(|expires| now < expires) {
            used.push(now);
        }
        now += Duration::from_millis(10);
    }
    used
}

const ALL: [Lost; 5] = [Lost::NeverHad, Lost::EndedInOrder, Lost::Reset, Lost::Silent, Lost::Left];

/// Guards against a list that serves without bound once discovery has refused a call at once, by which it is there.
#[test]
fn a_list_is_used_no_longer_than_six_seconds_while_discovery_refuses_calls_at_once() {
    for lost in ALL {
        for seed in 0..20 {
            let (mut client, from) = client_without_watch(seed, lost);
            let last = used(&mut client, from, Duration::from_millis(3)).last().copied();
            let bound = from + NOTIFIED_WITHIN + ALLOWANCE;
            assert!(last.is_none_or(|last| last < bound), "{lost:?}, seed {seed}: {last:?}");
        }
    }
}

/// Guards against a list that serves without bound while each call is held to its limit and refused.
#[test]
fn a_list_is_used_no_longer_than_an_outage_and_six_seconds_while_discovery_holds_and_refuses_calls() {
    for lost in ALL {
        for seed in 0..20 {
            let (mut client, from) = client_without_watch(seed, lost);
            let last = used(&mut client, from, WAIT_LIMIT).last().copied();
            // Without a watch the first refusal is the first sign of an outage.
            let first_sign = if matches!(lost, Lost::NeverHad) { from + WAIT_LIMIT } else { from };
            let bound = first_sign + LONGEST_OUTAGE + NOTIFIED_WITHIN + ALLOWANCE;
            assert!(last.is_none_or(|last| last < bound), "{lost:?}, seed {seed}: {last:?}");
        }
    }
}

/// Guards against a wait for a newer list that ends by itself where discovery ended the watch and so was there.
#[test]
fn behind_a_watch_that_discovery_ended_an_old_list_never_serves_again() {
    for seed in 0..20 {
        let (mut client, from) = client_without_watch(seed, Lost::EndedInOrder);
        let last = used(&mut client, from, WAIT_LIMIT).last().copied();
        assert!(last.is_some_and(|last| last < from + seconds(2.0) + ALLOWANCE), "seed {seed}: {last:?}");
    }
}
