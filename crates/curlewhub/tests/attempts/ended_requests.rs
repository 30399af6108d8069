//! A request ends with its final answer. An attempt that its endpoint has not begun by then does not begin any more,
//! whatever the attempt waits for, and whether or not the settings allow cancelling.

use super::attempt_begin::{BODY_LENGTHS, LIMIT_SLACK, config_for, long_request, send, warm_up};
use crate::support::script::{FullBacklogListener, ScriptedListener};
use crate::support::slow_endpoint::{Arrival, Heads, SlowEndpoints};
use crate::support::*;
use serde_json::json;
use std::thread;
use std::time::Duration;

/// An attempt whose last byte arrives later than this after the final answer has begun after the end of its request.
const ANSWERED_GRACE: Duration = Duration::from_millis(100);
/// A second copy that has not come by then is not sent.
const COPY_WITHIN: Duration = Duration::from_secs(2);
/// By then a second copy is under way.
const COPY_DELAY: Duration = Duration::from_millis(300);
/// A late connection that brings no request for so long brings none.
const QUIET: Duration = Duration::from_millis(2500);

/// Guards against a second copy that its endpoint begins after the first attempt's answer has reached the client: its body
/// waited behind a slow reader, and the settings forbid cancelling.
#[test]
fn a_copy_that_is_not_complete_does_not_begin_after_the_answer() {
    for (length, cancelling) in
        BODY_LENGTHS.into_iter().flat_map(|length| [(length, true), (length, false)])
    {
        // On a machine so slow that responses are late, no second copy may be sent; the case is then played again.
        wait_for("a second copy", || has_copy_that_does_not_begin(length, cancelling));
    }
}

/// Plays one case, and returns whether a second copy was sent; fails if it begins after the answer.
fn has_copy_that_does_not_begin(length: usize, cancelling: bool) -> bool {
    let endpoints = SlowEndpoints::start(2, Heads::Read);
    let mut config = config_for(&endpoints);
    config["settings"]["limits"]["cancelling"] = json!(cancelling);
    config["settings"]["classes"][2]["repeatWindowMs"] = json!(20_000.0);
    let sidecar = Sidecar::start(&config);
    warm_up(&sidecar, &endpoints);
    let mut client = send(&sidecar, &long_request("pay", "r1", length));
    let mut first = endpoints.next();
    assert_eq!(first.read_rest(), Arrival::Whole, "{length}, {cancelling}");
    let copy = endpoints.next_within(COPY_WITHIN);
    first.answer("ok");
    assert_eq!(client.read().expect("a response").status(), 200, "{length}, {cancelling}");
    let Some(mut copy) = copy else { return false };
    thread::sleep(ANSWERED_GRACE + LIMIT_SLACK);
    assert_eq!(copy.read_rest(), Arrival::Broken, "{length}, {cancelling}");
    true
}

/// Guards against an attempt that is sent after the answer because its connection came up late.
#[test]
fn an_attempt_whose_connection_comes_up_after_the_answer_is_not_sent() {
    thread::scope(|scope| {
        for cancelling in [true, false] {
            scope.spawn(move || {
                let (endpoints, discovery) =
                    (SlowEndpoints::start(1, Heads::Read), ScriptedListener::new());
                let mut config = config_for(&endpoints);
                config["discovery"] = json!(discovery.address.to_string());
                config["settings"]["limits"]["cancelling"] = json!(cancelling);
                config["settings"]["limits"]["connectTimeoutMs"] = json!(5000.0);
                config["settings"]["classes"][2]["repeatWindowMs"] = json!(20_000.0);
                let sidecar = Sidecar::start_with(&config, "RUST_LOG=debug");
                let (mut watch, _) = discovery.accept_request();
                warm_up(&sidecar, &endpoints);
                let late = FullBacklogListener::new();
                watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let added = target("late", late.address, "up");
                watch.write_chunk(&format!("{}\n", list(8, false, &[added])));
                sidecar.wait_for_log("rev=8 ");
                let mut client = send(&sidecar, &long_request("pay", "r1", 100));
                let mut prompt = endpoints.next();
                thread::sleep(COPY_DELAY);
                assert_eq!(prompt.read_rest(), Arrival::Whole, "{cancelling}");
                prompt.answer("ok");
                assert_eq!(client.read().expect("a response").status(), 200, "{cancelling}");
                thread::sleep(ANSWERED_GRACE);
                assert!(late.start_accepting().receives_no_request(QUIET), "{cancelling}");
            });
        }
    });
}

/// Guards against an attempt that its endpoint begins although it has answered it before it was complete.
#[test]
fn a_request_that_was_answered_before_it_was_complete_does_not_begin() {
    for length in BODY_LENGTHS {
        let endpoints = SlowEndpoints::start(1, Heads::Read);
        let sidecar = Sidecar::start(&config_for(&endpoints));
        let mut client = send(&sidecar, &long_request("book", "r1", length));
        let mut attempt = endpoints.next();
        attempt.write(&answer("500 Internal Server Error", "", "no"));
        assert!(matches!(client.read().expect("a response").status(), 502 | 503), "{length}");
        thread::sleep(ANSWERED_GRACE + LIMIT_SLACK);
        assert_eq!(attempt.read_rest(), Arrival::Broken, "{length}");
    }
}
