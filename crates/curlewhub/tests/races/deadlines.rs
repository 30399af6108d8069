//! Races of a request with its deadline, with its client's disconnect, and with a process that stalls
//! between reading its clock and writing.

use super::support::discovery::Discovery;
use super::support::script::*;
use super::support::*;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit of the standing test: the timeout sent to an endpoint may exceed the time that the client has left
/// by this.
const TIME_SLACK: Duration = Duration::from_millis(150);
/// Limit of the standing test: a process may stall this long between reading its clock and writing.
const STALL: Duration = Duration::from_millis(150);
/// Clients that stop sending must get an error or a close within this time.
const CLOSE_WITHIN: Duration = Duration::from_secs(3);
/// The timeout of client requests in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout that a request passes to its endpoint.
fn reported_timeout(message: &Message) -> Duration {
    let text = message.header("x-timeout");
    Duration::from_micros(text.strip_suffix('u').expect("microseconds").parse().expect("a number"))
}

fn assert_timeout_at_most(message: &Message, sent: Instant, what: &str) {
    let left = TIMEOUT.saturating_sub(sent.elapsed());
    assert!(
        reported_timeout(message) <= left + TIME_SLACK,
        "{what}: timeout {:?}, left {left:?}",
        reported_timeout(message)
    );
}

fn config_with_endpoints(listeners: &[std::net::SocketAddr]) -> Value {
    let mut config = config_with_operator(&[]);
    let entry = |(n, at): (usize, &std::net::SocketAddr)| target(&format!("s-{n}"), *at, "up");
    config["known"] = list(7, true, &listeners.iter().enumerate().map(entry).collect::<Vec<_>>());
    config["settings"]["limits"]["connectTimeoutMs"] = json!(8000.0);
    config
}

#[test]
fn x_timeout_is_the_time_left_when_the_connection_is_established_not_when_it_was_started() {
    for class in ["quote", "book", "pay"] {
        let slow_endpoint = FullBacklogListener::new();
        let sidecar =
            Sidecar::start_with(&config_with_endpoints(&[slow_endpoint.address]), "RUST_LOG=debug");
        let mut client = RawConnection::connect(sidecar.address);
        let sent = Instant::now();
        client.write(&request(class, "r1", "10000m"));
        sidecar.wait_for_log(" class=");
        // The kernel repeats the connection attempt one second after the first.
        let (mut wire, message) = slow_endpoint.start_accepting().accept_request();
        assert_timeout_at_most(&message, sent, class);
        wire.write(&answer("200 OK", "", "ok"));
        assert_eq!(client.read().expect("a response").status(), 200, "{class}");
    }
}

#[test]
fn x_timeout_of_a_retry_is_the_time_left_at_the_retry() {
    for class in ["quote", "pay"] {
        let listeners = [ScriptedListener::new(), ScriptedListener::new()];
        let sidecar = Sidecar::start(&config_with_endpoints(&[listeners[0].address, listeners[1].address]));
        let mut client = RawConnection::connect(sidecar.address);
        let sent = Instant::now();
        client.write(&request(class, "r1", "10000m"));
        let mut attempts = 0;
        loop {
            let taken =
                listeners.iter().find_map(|listener| listener.accept_within(Duration::from_millis(5)));
            let Some((mut wire, message)) = taken.and_then(|mut wire| wire.read().map(|read| (wire, read)))
            else {
                assert!(sent.elapsed() < TIMEOUT, "no retry arrived");
                continue;
            };
            assert_timeout_at_most(&message, sent, class);
            attempts += 1;
            if attempts == 2 {
                wire.write(&answer("200 OK", "", "ok"));
                break;
            }
            thread::sleep(Duration::from_millis(400));
            wire.reset();
        }
        assert_eq!(client.read().expect("a response").status(), 200, "{class}");
    }
}

#[test]
fn no_attempt_begins_for_a_client_that_disconnects_while_the_process_is_stopped() {
    for connect_first in [false, true] {
        let slow_endpoint = FullBacklogListener::new();
        let sidecar =
            Sidecar::start_with(&config_with_endpoints(&[slow_endpoint.address]), "RUST_LOG=debug");
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&request("quote", "r1", "10000m"));
        sidecar.wait_for_log(" class=");
        sidecar.signal("-STOP");
        // While the process is stopped, its connection is established and its client disconnects, in either
        // order.
        let mut client = Some(client);
        if !connect_first {
            drop(client.take());
        }
        let mut wire = slow_endpoint.start_accepting().accept();
        drop(client.take());
        sidecar.signal("-CONT");
        assert!(
            wire.read_within(Duration::from_millis(800)).is_none(),
            "connection first: {connect_first}"
        );
    }
}

#[test]
fn a_client_that_stalls_in_the_middle_of_a_body_gets_an_error_or_close_within_3_seconds() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let whole = request("book", "r1", "20000m");
    let with =
        |framing: &str| whole.replace("Content-Length: 4", framing).replace("\r\n\r\nbody", "\r\n\r\n");
    // The head, a piece of the body, and how often the piece is repeated before the client stalls.
    let cases = [
        (with("Content-Length: 900000"), "x".repeat(500_000), 0),
        (with("Content-Length: 9000000"), "x".repeat(3_000_000), 0),
        (with("Content-Length: 900000"), "x".repeat(4_000), 30),
        (with("Transfer-Encoding: chunked"), "fff\r\nabc".to_owned(), 0),
        (with("Transfer-Encoding: chunked"), "3\r\nabc\r\n".to_owned(), 20),
        (with("Content-Length: 9\r\nExpect: 100-continue"), "x".to_owned(), 0),
    ];
    thread::scope(|scope| {
        for (n, (head, piece, more)) in cases.iter().enumerate() {
            let address = sidecar.address;
            scope.spawn(move || {
                let mut wire = RawConnection::connect(address);
                wire.write(head);
                wire.write(piece);
                for _ in 0..*more {
                    thread::sleep(Duration::from_millis(50));
                    wire.write(piece);
                }
                let stopped = Instant::now();
                // Covers all bytes up to the end of the connection; lingering ends within this time too.
                let (_, end) = wire.read_until_end(Duration::from_secs(8));
                assert_ne!(end, End::Open, "case {n}");
                assert!(
                    stopped.elapsed() < CLOSE_WITHIN,
                    "case {n}: {:?} after the client stalled",
                    stopped.elapsed()
                );
            });
        }
    });
    assert_eq!(sidecar.send_request("quote", "r2").status(), 200);
}

#[test]
fn pipelined_bytes_during_a_long_response_are_rejected_or_closed_within_3_seconds() {
    let valid = request("book", "ahead", "9000m");
    let both = valid.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked");
    for (ahead, what) in
        [(&valid[..40], "half a head"), (&valid[..], "a complete request"), (&both[..], "two framings")]
    {
        let listener = ScriptedListener::new();
        let sidecar = Sidecar::start(&config_with_endpoints(&[listener.address]));
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&request("quote", "r1", "9000m"));
        let (mut endpoint, _) = listener.accept_request();
        endpoint.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        endpoint.write(&"y".repeat(99_999));
        assert!(client.has_unread(WAIT_TIMEOUT), "the response is streamed");
        client.write(ahead);
        thread::sleep(Duration::from_millis(100));
        endpoint.write("y");
        let first = client.read().expect("the first response stays complete");
        assert_eq!((first.status(), first.body.len()), (200, 100_000), "{what}");
        let start = Instant::now();
        let (rest, end) = client.read_until_end(Duration::from_secs(8));
        assert!(
            end != End::Open && start.elapsed() < CLOSE_WITHIN,
            "{what}: {end:?} after {:?}",
            start.elapsed()
        );
        let rest = String::from_utf8_lossy(&rest).into_owned();
        assert!(rest.is_empty() || rest.starts_with("HTTP/1.1 4"), "{what}: {rest}");
        assert!(listener.receives_no_request(Duration::from_millis(100)), "{what} was forwarded");
    }
}

#[test]
fn a_request_with_a_timeout_of_milliseconds_gets_exactly_one_response() {
    // The endpoints close without a response, never respond, or respond too late.
    let peers = [
        Peer::new(|_| Action::WriteAndClose(String::new())),
        Peer::new(|_| Action::NeverAnswer),
        Peer::new(|_| Action::ServeAfter(Duration::from_millis(30))),
    ];
    let sidecar = Sidecar::start(&config(&peers.each_ref()));
    for n in 0..60 {
        let (class, left) = (["quote", "book", "pay"][n % 3], Duration::from_millis(1 + n as u64 / 6));
        let mut wire = RawConnection::connect(sidecar.address);
        let start = Instant::now();
        wire.write(&request(class, &format!("r{n}"), &format!("{}m", left.as_millis())));
        wire.read().unwrap_or_else(|| panic!("{class} with {left:?}: no response"));
        // A response earns nothing after the deadline, and counts as lost half a second later.
        assert!(start.elapsed() < left + Duration::from_millis(500), "{class}: {:?}", start.elapsed());
        assert!(!wire.has_unread(Duration::from_millis(50)), "{class}: more than one response");
    }
}

#[test]
fn a_response_without_a_length_is_forwarded_as_complete_only_if_it_is_not_reset() {
    for length in [1, 1000, 60_000, 200_000] {
        for version in ["1.0", "1.1"] {
            let listener = ScriptedListener::new();
            let sidecar = Sidecar::start(&config_with_endpoints(&[listener.address]));
            let body = "y".repeat(length);
            for whole in [true, false] {
                let mut client = RawConnection::connect(sidecar.address);
                client
                    .write(&request("book", &format!("r{whole}"), "9000m").replace("HTTP/1.1", "HTTP/1.0"));
                let (mut endpoint, _) = listener.accept_request();
                endpoint.write(&format!("HTTP/{version} 200 OK\r\n\r\n"));
                endpoint.write(&body);
                if whole {
                    endpoint.half_close();
                } else {
                    thread::sleep(Duration::from_millis(50));
                    endpoint.reset();
                }
                let (text, end) = client.read_until_end(WAIT_TIMEOUT);
                let text = String::from_utf8_lossy(&text).into_owned();
                let served =
                    text.starts_with("HTTP/1.0 200") && text.ends_with(&body) && end == End::Closed;
                assert_eq!(served, whole, "{length} bytes, HTTP/{version}, {end:?}");
            }
        }
    }
}

#[test]
fn the_last_of_several_quick_reloads_takes_effect_and_no_open_request_is_lost() {
    let peers: Vec<Peer> = ["0", "1", "2", "3", "4", "5"].into_iter().map(Peer::serving).collect();
    let lists = |(n, peer): (usize, &Peer)| {
        Discovery::new(list(50 - n as u64, true, &[target(&format!("s-{n}"), peer.address, "up")]))
    };
    let discoveries: Vec<Discovery> = peers.iter().enumerate().map(lists).collect();
    let mut config = config_with_operator(&[&peers[0]]);
    config["discovery"] = json!(discoveries[0].address.to_string());
    let mut sidecar = Sidecar::start(&config);
    let load = Load::start(&sidecar, 4);
    for turn in 1..=20 {
        config["discovery"] = json!(discoveries[turn % 5].address.to_string());
        sidecar.reload(&config.to_string());
        if turn % 3 == 0 {
            sidecar.signal("-HUP");
        }
        thread::sleep(Duration::from_millis(7 * (turn as u64 % 4)));
    }
    config["discovery"] = json!(discoveries[5].address.to_string());
    sidecar.reload(&config.to_string());
    wait_for("the list of the last configuration", || sidecar.send_request("quote", "r").body == b"5");
    for n in 0..30 {
        assert_eq!(
            sidecar.send_request("book", &format!("s{n}")).body,
            b"5",
            "an earlier list was applied late"
        );
    }
    assert!(load.stop() > 0);
    assert!(sidecar.child.try_wait().unwrap().is_none());
}

#[test]
fn a_drain_notified_to_a_stopped_process_takes_effect_within_the_grace_period() {
    const GRACE: Duration = Duration::from_millis(250);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let leaving = {
        let arrivals = arrivals.clone();
        Peer::new(move |_| {
            arrivals.lock().unwrap().push(Instant::now());
            Action::Serve("ok")
        })
    };
    let staying = Peer::serving("ok");
    for turn in 0..5 {
        let mut config = config_with_operator(&[&leaving, &staying]);
        config["settings"]["rules"]["drainGraceMs"] = json!(GRACE.as_secs_f64() * 1000.0);
        let discovery = Discovery::new(config["known"].clone());
        config["discovery"] = json!(discovery.address.to_string());
        let sidecar = Sidecar::start(&config);
        let load = Load::start(&sidecar, 6);
        let before = arrivals.lock().unwrap().len();
        wait_for("requests at the endpoint", || arrivals.lock().unwrap().len() > before + 20);
        // Stops the process at a varying moment between choosing an endpoint and writing.
        thread::sleep(Duration::from_micros(713 * turn));
        sidecar.signal("-STOP");
        let drained = Instant::now();
        discovery.send_line(&list(9, false, &[target("s-0", leaving.address, "draining")]).to_string());
        thread::sleep(STALL);
        sidecar.signal("-CONT");
        thread::sleep(GRACE * 2);
        let last = arrivals.lock().unwrap().iter().copied().max().unwrap();
        assert!(last <= drained + GRACE, "new request {:?} after the notification", last - drained);
        assert!(load.stop() > 0);
    }
}

#[test]
fn a_request_that_crosses_the_close_of_an_unused_or_idle_connection_is_not_read() {
    // Longer than a connection is kept after the sidecar closed its side.
    const MAX_LINGER: Duration = Duration::from_millis(1500);
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut unused = RawConnection::connect(sidecar.address);
    let mut idle = RawConnection::connect(sidecar.address);
    idle.write(&request("quote", "r0", "9000m"));
    assert_eq!(idle.read().expect("a response").status(), 200);
    // This client never closes its side, which keeps the process alive until the others have been checked.
    let mut open = RawConnection::connect(sidecar.address);
    open.write(&request("book", "open", "9000m").replace("Content-Length: 4", "Content-Length: 90000"));
    sidecar.signal("-TERM");
    for (wire, what) in [(&mut unused, "unused"), (&mut idle, "idle")] {
        assert_eq!(wire.wait_for_end(), End::Closed, "{what}");
        wire.write(&request("book", "late", "9000m"));
    }
    thread::sleep(MAX_LINGER);
    // A request that was read without a response would be lost; one that was not read is rejected by a
    // reset.
    for (wire, what) in [(&unused, "unused"), (&idle, "idle")] {
        assert!(wire.was_reset(), "{what}: its request was read");
    }
    drop(open);
    assert!(sidecar.wait_for_exit().success());
    assert!(peer.requests.lock().unwrap().iter().all(|m| m.header("x-request-id") != "late"));
}
