//! Compares two balancers that share limits with a single one.

use super::*;
use crate::types::*;
use proptest::prelude::*;

/// A balancer with three warm endpoints and a cold one.
fn balancer(seed: u64, now: Duration) -> Balancer {
    let mut balancer = Balancer::new(Settings::default(), seed, now).unwrap();
    let mut list: Vec<EndpointInfo> = (0..4).map(EndpointInfo::ready).collect();
    list[3].started = Some(now);
    balancer.handle(now, Event::Membership(Membership::Full(list)), &mut Vec::new());
    balancer
}

/// Sends `requests` requests; returns the endpoints of those that are sent at once.
fn sent(balancer: &mut Balancer, now: Duration, first: u64, requests: u64) -> Vec<EndpointId> {
    let mut out = Vec::new();
    for id in first..first + requests {
        balancer.handle(now, Event::request(RequestId(id), Duration::from_secs(9)), &mut out);
    }
    let to = |action: &Action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    };
    out.iter().filter_map(to).collect()
}

/// A balancer with windows of these sizes, and a successor that holds the share `given`.
fn pair(windows: [f64; 2], given: f64, now: Duration) -> (Balancer, Balancer) {
    let (mut old, mut new) = (balancer(3, now), balancer(4, now));
    for (window, size) in old.windows.iter_mut().zip(windows) {
        (window.size, window.ramping_up) = (size, false);
    }
    old.endpoints.iter_mut().for_each(|endpoint| endpoint.limit = 50.0);
    new.begin_without_share(now);
    let transfer = old.release_share(now, 1.0 - given);
    new.acquire_share(now, given, Some(&transfer), &mut Vec::new());
    assert!(new.restore(now, &old.snapshot(now)));
    (old, new)
}

proptest! {
    #[test]
    fn two_balancers_send_as_many_requests_as_one(size in 1.0..60.0f64, given in 1..64u32) {
        let now = Duration::from_secs(100);
        let given = f64::from(given) / 64.0;
        let (mut old, mut new) = pair([size, 1.0], given, now);
        let mut one = balancer(3, now);
        one.windows = old.windows;
        one.endpoints.iter_mut().for_each(|endpoint| endpoint.limit = 50.0);
        let alone = sent(&mut one, now, 0, 100).len();
        let both = sent(&mut old, now, 0, 100).len() + sent(&mut new, now, 0, 100).len();
        // A call can't be divided: each may round its share up.
        prop_assert!((alone..=alone + 1).contains(&both), "{both} sent by two, {alone} by one");
    }

    #[test]
    fn moving_shares_keeps_the_totals_of_windows_and_retries(
        moves in prop::collection::vec((any::<bool>(), 1..8u32), 1..40),
        windows in [1.0..40.0f64, 1.0..40.0],
    ) {
        let now = Duration::from_secs(100);
        let (mut old, mut new) = pair(windows, 0.5, now);
        new.windows[0].size = 17.0; // it has learned something else since
        new.windows[1].ramping_up = true;
        let total = |a: &Balancer, b: &Balancer, zone_group: usize| {
            a.share * a.windows[zone_group].size + b.share * b.windows[zone_group].size
        };
        let before = [0, 1].map(|zone_group| total(&old, &new, zone_group));
        let retries = old.retry_tokens + new.retry_tokens;
        for (forth, parts) in moves {
            let (from, to) = if forth { (&mut old, &mut new) } else { (&mut new, &mut old) };
            let share = from.share() - f64::from(parts) / 64.0;
            if share < 0.0 {
                continue;
            }
            let (kept, got) = (from.share() - share, to.share());
            let transfer = from.release_share(now, share);
            prop_assert!(transfer.is_valid());
            to.acquire_share(now, got + kept, Some(&transfer), &mut Vec::new());
        }
        for (zone_group, before) in before.into_iter().enumerate() {
            let after = total(&old, &new, zone_group);
            prop_assert!((after - before).abs() < 1e-6, "{before} before and {after} after");
        }
        prop_assert!(old.retry_tokens + new.retry_tokens <= retries + 1e-6);
    }
}

#[test]
fn two_balancers_send_a_cold_endpoint_no_more_than_one() {
    let start = Duration::from_secs(100);
    let cold = EndpointId(3);
    let play = |balancers: &mut [Balancer]| {
        let mut count = 0;
        for step in 0..200u64 {
            let now = start + Duration::from_millis(step * 10);
            // With two balancers, requests go to them in turn.
            let turn = step as usize % balancers.len();
            let balancer = &mut balancers[turn];
            for to in sent(balancer, now, step * 10, 1) {
                count += u32::from(to == cold);
                let ended = AttemptEnded {
                    request: RequestId(step * 10),
                    attempt: AttemptNo(0),
                    endpoint: to,
                    outcome: Outcome::Ok,
                    elapsed: Duration::from_millis(1),
                    finished: true,
                    report: None,
                };
                balancer.handle(now, Event::AttemptEnded(ended), &mut Vec::new());
            }
        }
        count
    };
    let (old, new) = pair([20.0, 20.0], 0.5, start);
    let mut alone = balancer(3, start);
    alone.endpoints[3].cold_tokens = 0.0;
    let mut two = [old, new];
    two.iter_mut().for_each(|balancer| balancer.endpoints[3].cold_tokens = 0.0);
    let (one, both) = (play(&mut [alone]), play(&mut two));
    assert!(one > 0 && both <= one + 2, "{both} from two, {one} from one");
}

#[test]
fn queued_requests_are_sent_once_the_whole_share_is_acquired() {
    let now = Duration::from_secs(100);
    let (_old, mut new) = pair([8.0, 1.0], 0.125, now);
    assert_eq!(sent(&mut new, now, 0, 8).len(), 1);
    let mut out = Vec::new();
    new.acquire_share(now, 1.0, None, &mut out);
    assert_eq!(out.iter().filter(|action| matches!(action, Action::Send { .. })).count(), 7);
}
