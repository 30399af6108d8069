//! An endpoint begins a request when its last byte arrives, which is long after the first one if the endpoint reads
//! slowly. Whatever forbids an attempt to begin ends it until then, for each kind of attempt.

use crate::support::script::{RawConnection, ScriptedListener};
use crate::support::slow_endpoint::{Arrival, Heads, SlowEndpoints, SlowRequest};
use crate::support::*;
use serde_json::{Value, json};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// The settings' window for repeats.
const WINDOW: Duration = Duration::from_millis(600);
/// Time limits of the rules grow by this.
pub const LIMIT_SLACK: Duration = Duration::from_millis(50);
/// An attempt may begin for so long after its client has disconnected.
const CLIENT_GONE_GRACE: Duration = Duration::from_millis(100);
/// Bodies that fit whole into the kernel's queue, in bytes, and one that does not.
pub const BODY_LENGTHS: [usize; 3] = [60_000, 300_000, 1_000_000];
/// A second copy of the last warm-up arrives within this.
const LEFTOVER_COPIES_WITHIN: Duration = Duration::from_millis(100);
/// Requests after which the sidecar knows how long answers take.
const WARM_UP_REQUESTS: usize = 40;

pub fn config_for(endpoints: &SlowEndpoints) -> Value {
    let mut config = config_with_operator(&[]);
    config["known"] = list(7, true, &endpoints.targets());
    config["settings"]["classes"][2]["repeatWindowMs"] = json!(WINDOW.as_millis() as f64);
    config
}

/// A request of this class with a body of this length.
pub fn long_request(class: &str, id: &str, length: usize) -> String {
    let short =
        request(class, id, "10000m").replace("Content-Length: 4", &format!("Content-Length: {length}"));
    let head = short.strip_suffix("body").expect("a class with a body");
    format!("{head}{}", "b".repeat(length))
}

pub fn send(sidecar: &Sidecar, text: &str) -> RawConnection {
    let mut client = RawConnection::connect(sidecar.address);
    client.write(text);
    client
}

/// Has keyed requests answered at once, until the sidecar knows how long answers take. On a busy machine a request may get a
/// second copy, which is answered too: left over, it would be taken for the next request's attempt.
pub fn warm_up(sidecar: &Sidecar, endpoints: &SlowEndpoints) {
    for number in 0..WARM_UP_REQUESTS {
        let mut client = send(sidecar, &long_request("pay", &format!("w{number}"), 100));
        wait_for("the warm-up's response", || {
            answer_all(endpoints, Duration::from_millis(2));
            client.has_unread(Duration::from_millis(2))
        });
        assert_eq!(client.read().expect("a response").status(), 200);
    }
    answer_all(endpoints, LEFTOVER_COPIES_WITHIN);
}

/// Answers each request that arrives within this time of the one before.
fn answer_all(endpoints: &SlowEndpoints, time: Duration) {
    while let Some(mut request) = endpoints.next_within(time) {
        if request.read_rest() == Arrival::Whole {
            request.answer("ok");
        }
    }
}

/// Guards against a keyed job that runs again after its window: the repeat's first bytes are written inside it, and its
/// endpoint reads the last one after it.
#[test]
fn a_repeat_whose_endpoint_reads_slowly_does_not_begin_after_its_window() {
    thread::scope(|scope| {
        for length in BODY_LENGTHS {
            scope.spawn(move || {
                let endpoints = SlowEndpoints::start(2, Heads::Read);
                let sidecar = Sidecar::start(&config_for(&endpoints));
                let mut client = send(&sidecar, &long_request("pay", "r1", length));
                let mut first = endpoints.next();
                assert_eq!(first.read_rest(), Arrival::Whole, "{length}");
                let ran_at = Instant::now();
                first.reset();
                let mut repeat = endpoints.next();
                thread::sleep((WINDOW + LIMIT_SLACK).saturating_sub(ran_at.elapsed()));
                assert_eq!(repeat.read_rest(), Arrival::Broken, "{length}");
                let response = client.read().expect("a response");
                assert!(matches!(response.status(), 502 | 503), "{length}: {}", response.first_line);
            });
        }
    });
}

/// Guards against a first attempt that runs after the window of the second copy that overtook it.
#[test]
fn an_attempt_that_a_second_copy_overtook_does_not_begin_after_the_copys_window() {
    for length in BODY_LENGTHS {
        let endpoints = SlowEndpoints::start(2, Heads::Read);
        let sidecar = Sidecar::start(&config_for(&endpoints));
        warm_up(&sidecar, &endpoints);
        let mut client = send(&sidecar, &long_request("pay", "r1", length));
        let mut overtaken = endpoints.next();
        let mut copy = endpoints.next();
        assert_eq!(copy.read_rest(), Arrival::Whole, "{length}");
        let ran_at = Instant::now();
        copy.reset();
        // Further copies begin inside the window or not at all.
        let mut later: Vec<SlowRequest> = std::iter::from_fn(|| {
            endpoints.next_within((WINDOW + LIMIT_SLACK).saturating_sub(ran_at.elapsed()))
        })
        .collect();
        assert_eq!(overtaken.read_rest(), Arrival::Broken, "{length}");
        later.iter_mut().for_each(|copy| assert_eq!(copy.read_rest(), Arrival::Broken, "{length}"));
        let response = client.read().expect("a response");
        assert!(matches!(response.status(), 502 | 503), "{length}: {}", response.first_line);
    }
}

/// Guards against a job of a killed process that runs again, at its successor, after its window.
#[test]
fn a_repeat_of_a_killed_processs_job_does_not_begin_after_its_window() {
    for length in BODY_LENGTHS {
        let endpoints = SlowEndpoints::start(2, Heads::Read);
        let mut config = config_for(&endpoints);
        config["settings"]["classes"][2]["group"] = json!("zone");
        let window = Duration::from_secs(4);
        config["settings"]["classes"][2]["repeatWindowMs"] = json!(window.as_millis() as f64);
        let mut killed = Sidecar::start(&config);
        let _client = send(&killed, &long_request("pay", "r1", length));
        let mut first = endpoints.next();
        assert_eq!(first.read_rest(), Arrival::Whole, "{length}");
        let ran_at = Instant::now();
        killed.signal("-KILL");
        killed.wait_for_exit();
        let next = killed.successor(&config);
        wait_for("its yes", || next.call("PING") == "YES\n");
        let mut client = send(&next, &long_request("pay", "r2", length));
        let mut repeat = endpoints.next();
        assert!(ran_at.elapsed() < window, "the repeat begins inside the window");
        thread::sleep((window + LIMIT_SLACK).saturating_sub(ran_at.elapsed()));
        assert_eq!(repeat.read_rest(), Arrival::Broken, "{length}");
        assert!(matches!(client.read().expect("a response").status(), 502 | 503));
    }
}

/// Guards against a request that its endpoint begins long after its client has left, because the kernel goes on sending
/// what it has taken.
#[test]
fn no_attempt_whose_endpoint_reads_slowly_begins_after_its_client_left() {
    thread::scope(|scope| {
        let cases = BODY_LENGTHS.into_iter().flat_map(|length| [(length, true), (length, false)]);
        for (length, cancelling) in cases {
            scope.spawn(move || {
                for class in ["book", "pay"] {
                    let endpoints = SlowEndpoints::start(2, Heads::Read);
                    let mut config = config_for(&endpoints);
                    config["settings"]["limits"]["cancelling"] = json!(cancelling);
                    let sidecar = Sidecar::start(&config);
                    let client = send(&sidecar, &long_request(class, "r1", length));
                    let mut attempt = endpoints.next();
                    drop(client);
                    thread::sleep(CLIENT_GONE_GRACE + LIMIT_SLACK);
                    assert_eq!(attempt.read_rest(), Arrival::Broken, "{class}, {length}, {cancelling}");
                }
            });
        }
    });
}

/// Writes a long request until all of it is written or nothing more is taken; whether all was.
fn write_as_taken(client: &RawConnection, text: &str) -> bool {
    let mut stream = client.stream();
    stream.set_nonblocking(true).unwrap();
    let (mut written, mut blocked_since) = (0, Instant::now());
    while written < text.len() && blocked_since.elapsed() < Duration::from_millis(300) {
        match stream.write(&text.as_bytes()[written..]) {
            Ok(count) => (written, blocked_since) = (written + count, Instant::now()),
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    }
    stream.set_nonblocking(false).unwrap();
    written == text.len()
}

/// Guards against requests that are sent on after their client has left with much of them unread: its close lies behind
/// all that.
#[test]
fn no_request_is_sent_on_after_its_client_left_with_any_length_unread() {
    let lengths = [1_100_000, 1_800_000, 3_000_000, 5_000_000, 9_000_000, 20_000_000];
    thread::scope(|scope| {
        for (length, resets) in lengths.into_iter().flat_map(|length| [(length, false), (length, true)]) {
            scope.spawn(move || {
                let (endpoints, discovery) =
                    (SlowEndpoints::start(2, Heads::Read), ScriptedListener::new());
                let mut config = config_for(&endpoints);
                config["known"] = list(7, true, &[]);
                config["discovery"] = json!(discovery.address.to_string());
                let sidecar = Sidecar::start(&config);
                let (mut watch, _) = discovery.accept_request();
                let client = RawConnection::connect(sidecar.address);
                let is_written = write_as_taken(&client, &long_request("book", "r1", length));
                if resets {
                    client.reset()
                } else {
                    drop(client)
                }
                thread::sleep(CLIENT_GONE_GRACE + LIMIT_SLACK);
                watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                watch.write_chunk(&format!("{}\n", list(8, false, &endpoints.targets())));
                let attempt = endpoints.next_within(Duration::from_secs(2));
                let arrival = attempt.map_or(Arrival::Broken, |mut attempt| attempt.read_rest());
                assert_eq!(arrival, Arrival::Broken, "{length}, reset: {resets}, written: {is_written}");
            });
        }
    });
}

/// Guards against a request without a body that its endpoint begins long after its client has left: a long head waits in
/// the kernel's queue too.
#[test]
fn no_attempt_with_a_long_unread_head_begins_after_its_client_left() {
    for length in [20_000, 50_000] {
        let endpoints = SlowEndpoints::start(2, Heads::Unread);
        let sidecar = Sidecar::start(&config_for(&endpoints));
        let header = format!("X-Note: {}\r\n\r\n", "n".repeat(length));
        let text = request("quote", "r1", "10000m").replace("\r\n\r\n", &format!("\r\n{header}"));
        let client = send(&sidecar, &text);
        let mut attempt = endpoints.next();
        drop(client);
        thread::sleep(CLIENT_GONE_GRACE + LIMIT_SLACK);
        assert_eq!(attempt.read_rest(), Arrival::Broken, "{length}");
    }
}

/// Guards against work cut off by a drain: its grace counts the first byte, so an attempt that has started is completed.
#[test]
fn an_attempt_that_started_before_a_drain_is_completed_and_served() {
    for length in BODY_LENGTHS {
        let endpoints = SlowEndpoints::start(1, Heads::Read);
        let (mut config, discovery) = (config_for(&endpoints), ScriptedListener::new());
        config["discovery"] = json!(discovery.address.to_string());
        let sidecar = Sidecar::start_with(&config, "RUST_LOG=debug");
        let (mut watch, _) = discovery.accept_request();
        let mut client = send(&sidecar, &long_request("book", "r1", length));
        let mut attempt = endpoints.next();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let draining = target("s-0", endpoints.addresses[0], "draining");
        watch.write_chunk(&format!("{}\n", list(8, false, &[draining])));
        sidecar.wait_for_log("rev=8 ");
        thread::sleep(Duration::from_millis(200));
        assert_eq!(attempt.read_rest(), Arrival::Whole, "{length}");
        attempt.answer("done");
        assert_eq!(client.read().expect("a response").status(), 200, "{length}");
    }
}

/// Guards against requests that are not served because their endpoint reads slowly, though nothing forbids them.
#[test]
fn a_request_whose_endpoint_reads_slowly_is_served_while_its_conditions_hold() {
    for length in [1, 2, 1400, 1401, 60_000, 300_000, 1_000_000] {
        let endpoints = SlowEndpoints::start(1, Heads::Read);
        let sidecar = Sidecar::start(&config_for(&endpoints));
        let mut client = send(&sidecar, &long_request("book", "r1", length));
        let mut attempt = endpoints.next();
        thread::sleep(Duration::from_millis(700));
        assert_eq!(attempt.read_rest(), Arrival::Whole, "{length}");
        attempt.answer("done");
        assert_eq!(client.read().expect("a response").status(), 200, "{length}");
    }
}
