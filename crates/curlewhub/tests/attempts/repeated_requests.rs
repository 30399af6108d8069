//! A request id or a key that comes again: what an endpoint may have run is repeated only in its group and inside its
//! window, whether or not its client is still there, and whichever process of the sidecar it comes to.

use crate::support::processes::connect_to;
use crate::support::script::{RawConnection, ScriptedListener};
use crate::support::slow_endpoint::{Arrival, Heads, SlowEndpoints};
use crate::support::*;
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};

/// The settings' window for repeats.
const WINDOW: Duration = Duration::from_millis(1500);
/// Time limits of the rules grow by this.
const LIMIT_SLACK: Duration = Duration::from_millis(50);
/// A request that is forwarded arrives at an endpoint within this.
const FORWARDED_WITHIN: Duration = Duration::from_millis(700);
/// Endpoints; those with an even number are in the first zone.
const ENDPOINTS: usize = 4;
/// A connection that waits for its request is used this often.
const WARM_UP_INTERVAL: Duration = Duration::from_millis(300);
/// Jobs of one key that come at once.
const JOBS_OF_ONE_KEY: usize = 12;

/// The zone of an endpoint.
fn zone(endpoint: usize) -> &'static str {
    if endpoint.is_multiple_of(2) { "a" } else { "b" }
}

fn targets(endpoints: &SlowEndpoints) -> Vec<Value> {
    let mut targets = endpoints.targets();
    for (number, target) in targets.iter_mut().enumerate() {
        target["az"] = json!(zone(number));
    }
    targets
}

fn config_for(endpoints: &SlowEndpoints, group: &str, cancelling: bool) -> Value {
    let mut config = config_with_operator(&[]);
    config["known"] = list(7, true, &targets(endpoints));
    config["settings"]["classes"][2]["repeatWindowMs"] = json!(WINDOW.as_millis() as f64);
    config["settings"]["classes"][2]["group"] = json!(group);
    config["settings"]["limits"]["cancelling"] = json!(cancelling);
    config
}

/// Where a request comes for the first and for the second time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Processes {
    One,
    OldThenNew,
    NewThenOld,
}

/// What becomes of a request that came again.
#[derive(Debug, PartialEq)]
enum Second {
    /// It arrived at an endpoint of this number.
    Forwarded(usize),
    /// It was answered with this status, and arrived at no endpoint.
    Answered(u16),
}

/// A connection on which a request was served: an unused one may be closed for another client.
fn warmed_up(mut client: RawConnection, endpoints: &SlowEndpoints) -> RawConnection {
    client.write(&request("quote", "warm-up", "10000m"));
    endpoints.next().answer("ok");
    assert_eq!(client.read().expect("a response").status(), 200);
    client
}

/// A request runs, its client leaves, and it comes again after this time.
fn send_twice(
    text: &str,
    config: &Value,
    endpoints: &SlowEndpoints,
    processes: Processes,
    after: Duration,
) -> (usize, Second) {
    let old = Sidecar::start(config);
    let old_client = warmed_up(RawConnection::connect(old.address), endpoints);
    let next = (processes != Processes::One).then(|| {
        let next = old.successor(config);
        wait_for("the successor's yes", || next.call("PING") == "YES\n");
        next
    });
    let new_client = next.as_ref().map(|next| warmed_up(connect_to(next), endpoints));
    let (mut first, mut second) = match (processes, new_client) {
        (Processes::OldThenNew, Some(new_client)) => (old_client, new_client),
        (_, Some(new_client)) => (new_client, old_client),
        (_, None) => (old_client, warmed_up(RawConnection::connect(old.address), endpoints)),
    };
    assert!(!first.has_ended() && !second.has_ended(), "both processes keep their clients");
    first.write(text);
    let mut attempt = endpoints.next();
    assert_eq!(attempt.read_rest(), Arrival::Whole);
    let ran_at = Instant::now();
    drop(first);
    // A connection that is idle for long may be closed for another client, and a request that crosses that is not read.
    loop {
        second = warmed_up(second, endpoints);
        let left = after.saturating_sub(ran_at.elapsed());
        if left.is_zero() {
            break;
        }
        thread::sleep(left.min(WARM_UP_INTERVAL));
    }
    second.write(text);
    if let Some(repeat) = endpoints.next_within(FORWARDED_WITHIN) {
        return (attempt.endpoint, Second::Forwarded(repeat.endpoint));
    }
    let status = second.read_within(Duration::from_secs(3)).map_or(0, |answer| answer.status());
    (attempt.endpoint, Second::Answered(status))
}

/// Each case on its own sidecars, side by side.
fn for_each_case(check: impl Fn(Processes, bool) + Sync) {
    let all = [Processes::One, Processes::OldThenNew, Processes::NewThenOld];
    thread::scope(|scope| {
        for (processes, cancelling) in all.into_iter().flat_map(|p| [(p, true), (p, false)]) {
            let check = &check;
            scope.spawn(move || check(processes, cancelling));
        }
    });
}

/// Guards against an unsafe request that runs twice, because its id comes again after its client has left.
#[test]
fn an_unsafe_id_that_comes_again_after_its_client_left_does_not_run_again() {
    for_each_case(|processes, cancelling| {
        for after in [Duration::ZERO, WINDOW + LIMIT_SLACK] {
            let endpoints = SlowEndpoints::start(ENDPOINTS, Heads::Read);
            let config = config_for(&endpoints, "all", cancelling);
            let text = request("book", "again", "10000m");
            let (_, second) = send_twice(&text, &config, &endpoints, processes, after);
            let is_failure = matches!(second, Second::Answered(status) if status >= 400 && status != 429 && status != 503);
            assert!(is_failure, "{processes:?}, {cancelling}, {after:?}: {second:?}");
        }
    });
}

/// Guards against an unsafe request that runs twice, because its client left as the answer came: the answer was handed to the
/// connection, and nobody read it.
#[test]
fn an_unsafe_id_whose_answer_nobody_read_does_not_run_again() {
    for cancelling in [true, false] {
        let endpoints = SlowEndpoints::start(ENDPOINTS, Heads::Read);
        let sidecar = Sidecar::start(&config_for(&endpoints, "all", cancelling));
        let mut second = warmed_up(RawConnection::connect(sidecar.address), &endpoints);
        let mut first = RawConnection::connect(sidecar.address);
        let text = request("book", "again", "10000m");
        first.write(&text);
        let mut attempt = endpoints.next();
        assert_eq!(attempt.read_rest(), Arrival::Whole);
        attempt.answer("ok");
        assert!(first.stream().peek(&mut [0]).is_ok_and(|count| count == 1), "the answer is there");
        drop(first);
        second.write(&text);
        let forwarded = endpoints.next_within(FORWARDED_WITHIN).map(|repeat| repeat.endpoint);
        assert_eq!(forwarded, None, "cancelling: {cancelling}");
        let status = second.read().expect("an answer").status();
        assert!(status >= 400 && status != 429 && status != 503, "{status}");
    }
}

/// Guards against a keyed id that runs again outside its group, after its client has left.
#[test]
fn a_keyed_id_that_comes_again_at_once_stays_in_its_group() {
    for_each_case(|processes, cancelling| {
        let endpoints = SlowEndpoints::start(ENDPOINTS, Heads::Read);
        let config = config_for(&endpoints, "zone", cancelling);
        let text = request("pay", "again", "10000m");
        let (first, second) = send_twice(&text, &config, &endpoints, processes, Duration::ZERO);
        let stays = match second {
            Second::Forwarded(endpoint) => zone(endpoint) == zone(first),
            Second::Answered(status) => status >= 400,
        };
        assert!(stays, "{processes:?}, {cancelling}: first at {first}, {second:?}");
    });
}

/// Guards against a keyed id that runs again after its window, when the endpoints have forgotten its key.
#[test]
fn a_keyed_id_that_comes_again_after_its_window_does_not_run_again() {
    for_each_case(|processes, cancelling| {
        for group in ["all", "zone"] {
            let endpoints = SlowEndpoints::start(ENDPOINTS, Heads::Read);
            let config = config_for(&endpoints, group, cancelling);
            let text = request("pay", "again", "10000m");
            let (_, second) = send_twice(&text, &config, &endpoints, processes, WINDOW + LIMIT_SLACK);
            let is_answered = matches!(second, Second::Answered(status) if status >= 400);
            assert!(is_answered, "{processes:?}, {cancelling}, {group}: {second:?}");
        }
    });
}

/// Guards against one key's jobs that run in two groups: several of them wait, and each is sent on its own.
#[test]
fn jobs_of_one_key_that_wait_together_stay_in_one_group() {
    for round in 0..4 {
        let (endpoints, discovery) =
            (SlowEndpoints::start(ENDPOINTS, Heads::Read), ScriptedListener::new());
        let mut config = config_for(&endpoints, "zone", true);
        config["known"] = list(7, true, &[]);
        config["discovery"] = json!(discovery.address.to_string());
        let sidecar = Sidecar::start(&config);
        let (mut watch, _) = discovery.accept_request();
        let clients: Vec<RawConnection> = (0..JOBS_OF_ONE_KEY)
            .map(|number| {
                let mut client = RawConnection::connect(sidecar.address);
                client.write(&request("pay", &format!("job-{number}"), "10000m"));
                client
            })
            .collect();
        wait_for("all of them to wait", || sidecar.metric("inflight") == JOBS_OF_ONE_KEY as u64);
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.write_chunk(&format!("{}\n", list(8, false, &targets(&endpoints))));
        let mut zones = Vec::new();
        while let Some(mut attempt) = endpoints.next_within(FORWARDED_WITHIN) {
            zones.push(zone(attempt.endpoint));
            attempt.read_rest();
            attempt.answer("done");
        }
        drop(clients);
        assert!(!zones.is_empty(), "round {round}: jobs are sent");
        assert!(zones.iter().all(|zone| *zone == zones[0]), "round {round}: {zones:?}");
    }
}

/// Milliseconds of Unix time.
fn unix_ms() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    (now.as_secs_f64() * 1e3).floor()
}

/// A sidecar that is notified late sends a job to an address at which another endpoint of the second zone has started. Returns where
/// the job was sent to after that, if it was, and the status of a later job of the same key.
fn job_at_a_reused_address(has_started_before: bool) -> (Option<usize>, u16) {
    let (endpoints, discovery) = (SlowEndpoints::start(3, Heads::Read), ScriptedListener::new());
    let mut config = config_for(&endpoints, "zone", true);
    let mut listed = targets(&endpoints);
    listed[1]["az"] = json!("a");
    config["known"] = list(7, true, &listed[..2]);
    config["discovery"] = json!(discovery.address.to_string());
    let sidecar = Sidecar::start(&config);
    let (mut watch, _) = discovery.accept_request();
    let mut started = unix_ms();
    thread::sleep(Duration::from_millis(20));
    let job = |number: usize| {
        let mut client = RawConnection::connect(sidecar.address);
        let text = request("pay", &format!("job-{number}"), "5000m");
        client.write(&text.replace("Idempotency-Key: k1", &format!("Idempotency-Key: key-{number}")));
        client
    };
    let mut jobs = Vec::new();
    let mut attempt = loop {
        jobs.push(job(jobs.len()));
        let attempt = endpoints.next();
        if attempt.endpoint == 0 {
            break attempt;
        }
        attempt.answer("done");
    };
    assert_eq!(attempt.read_rest(), Arrival::Whole);
    if !has_started_before {
        thread::sleep(Duration::from_millis(600));
        started = unix_ms();
    }
    let mut other = target("s-other", endpoints.addresses[0], "up");
    (other["az"], other["boot_ms"]) = (json!("b"), json!(started));
    let gone = target("s-0", endpoints.addresses[0], "removed");
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.write_chunk(&format!("{}\n", list(8, false, &[gone, other])));
    thread::sleep(Duration::from_millis(100));
    attempt.reset();
    let repeat = endpoints.next_within(FORWARDED_WITHIN).map(|repeat| {
        let endpoint = repeat.endpoint;
        repeat.answer("done");
        endpoint
    });
    let mut client = RawConnection::connect(sidecar.address);
    let key = format!("Idempotency-Key: key-{}", jobs.len() - 1);
    client.write(&request("pay", "later", "400m").replace("Idempotency-Key: k1", &key));
    if let Some(later) = endpoints.next_within(FORWARDED_WITHIN) {
        later.answer("done");
    }
    (repeat, client.read().map_or(0, |answer| answer.status()))
}

/// Guards against a job that runs in two zones: it was sent to an address that an endpoint of another zone had taken over, and
/// is repeated in the zone of the one before.
#[test]
fn a_job_that_may_have_run_at_another_endpoint_of_its_address_is_not_repeated() {
    let (repeat, later) = job_at_a_reused_address(true);
    assert_eq!(repeat, None, "it may have run in either zone");
    assert!(later >= 400, "nor is a later job of its key: {later}");
    // If the other endpoint has started since, the job ran at the one before.
    let (repeat, later) = job_at_a_reused_address(false);
    assert_eq!((repeat, later), (Some(1), 200));
}

/// Guards against work that goes to a process whose place another one has taken: an endpoint was restarted under its uid and
/// at its address, and the process before still holds its connections, idle or in use.
#[test]
fn no_request_is_sent_on_a_connection_to_the_process_before_a_restart() {
    for in_use in [false, true] {
        let (endpoint, discovery) = (ScriptedListener::new(), ScriptedListener::new());
        let mut config = config_with_operator(&[]);
        let mut listed = target("s-0", endpoint.address, "up");
        listed["boot_ms"] = json!(unix_ms() - 100_000.0);
        config["known"] = list(7, true, &[listed.clone()]);
        config["discovery"] = json!(discovery.address.to_string());
        let sidecar = Sidecar::start_with(&config, "RUST_LOG=debug");
        let (mut watch, _) = discovery.accept_request();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&request("quote", "r1", "10000m"));
        let (mut before, _) = endpoint.accept_request();
        let mut answer_first = || {
            before.write(&answer("200 OK", "", "ok"));
            assert_eq!(client.read().expect("a response").status(), 200);
        };
        if !in_use {
            answer_first();
        }
        listed["boot_ms"] = json!(unix_ms());
        watch.write_chunk(&format!("{}\n", list(8, false, &[listed])));
        sidecar.wait_for_log("rev=8 ");
        thread::sleep(Duration::from_millis(50));
        if in_use {
            answer_first();
        }
        client.write(&request("quote", "r2", "10000m"));
        let (mut after, message) = endpoint.accept_request();
        assert_eq!(message.header("x-request-id"), "r2", "in use: {in_use}");
        after.write(&answer("200 OK", "", "ok"));
        assert_eq!(client.read().expect("a response").status(), 200);
    }
}
