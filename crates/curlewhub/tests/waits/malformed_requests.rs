//! Runs the built sidecar with clients that violate the protocol.

use super::support::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Clients that violate the protocol must get an error or a close within this time.
const CLOSE_WITHIN: Duration = Duration::from_secs(3);

/// A request with these framing headers, and a smuggled request after an empty chunked body.
fn request_with_hidden_request(first: &str, second: &str) -> String {
    let hidden = request("quote", "hidden", "5000m");
    let head = request("book", "r1", "5000m").replace("Content-Length: 4\r\n", &format!("{first}{second}"));
    let length = format!("{}", hidden.len() + 5);
    head.replace("\r\n\r\nbody", "\r\n\r\n").replace("LENGTH", &length) + "0\r\n\r\n" + &hidden
}

#[test]
fn a_request_with_ambiguous_framing_is_rejected_and_nothing_after_it_is_read() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let (length, chunked) = ("Content-Length: LENGTH\r\n", "Transfer-Encoding: chunked\r\n");
    for bad in [
        request_with_hidden_request(length, chunked),
        request_with_hidden_request(chunked, length),
        request_with_hidden_request(chunked, ""),
        request_with_hidden_request("Transfer-Encoding: gzip, chunked\r\n", length),
        request_with_hidden_request("Content-Length: 4\r\n", "Content-Length: 9\r\n"),
        request_with_hidden_request("Content-Length: -4\r\n", ""),
        request_with_hidden_request("Content-Length: +4\r\n", ""),
        request_with_hidden_request("Content-Length: 99999999999999999999999\r\n", ""),
        request_with_hidden_request("Content-Length: 60000000\r\n", ""),
    ] {
        let mut client = sidecar.client();
        client.send(&bad);
        if let Some(response) = client.receive() {
            assert!((400..500).contains(&response.status()), "{} for {bad}", response.first_line);
            assert!(client.receive().is_none(), "more was read on the connection: {bad}");
        }
    }
    assert_eq!(peer.request_count(), 0, "a part of it was forwarded");
}

#[test]
fn pipelined_requests_are_never_served() {
    let peer = Peer::new(|_| Action::NeverAnswer);
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    let all: String = (0..300).map(|n| request("quote", &format!("r{n}"), "5000m")).collect();
    client.send(&all);
    assert!(client.receive().is_none_or(|response| (400..500).contains(&response.status())));
    assert!(client.receive().is_none(), "the connection stays open");
    assert_eq!(peer.request_count(), 0, "a part of it was forwarded");
    // The same with single requests, the first already forwarded.
    let mut client = sidecar.client();
    client.send(&request("quote", "s1", "20000m"));
    wait_for("the attempt", || peer.request_count() == 1);
    client.send(&request("quote", "s2", "20000m"));
    assert!(client.receive().is_none_or(|response| (400..500).contains(&response.status())));
    assert!(client.receive().is_none(), "the connection stays open");
    wait_for("the attempt to end", || peer.closed_by_sidecar() == 1);
    assert_eq!(peer.request_count(), 1);
}

#[test]
fn a_request_id_already_in_use_is_rejected_without_effect_on_the_first_request() {
    let peer = Peer::new(|_| Action::ServeAfter(Duration::from_millis(800)));
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut first = sidecar.client();
    first.send(&request("book", "twice", "20000m"));
    wait_for("the attempt", || peer.request_count() == 1);
    let refused = sidecar.send_request("quote", "twice").status();
    assert!((400..500).contains(&refused) && refused != 429, "{refused}");
    assert_eq!(first.receive().expect("a response to the first request").status(), 200);
    assert_eq!(peer.request_count(), 1);
    assert_eq!(sidecar.send_request("book", "twice").status(), 200, "the ID can be used again");
}

#[test]
fn a_request_that_does_not_arrive_completely_in_time_is_closed() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let whole = request("book", "r1", "20000m");
    for reused in [false, true] {
        for sent in [0, 1, 30, whole.len() - 6, whole.len() - 2] {
            let mut client = sidecar.client();
            if reused {
                // On a connection that has already served a request.
                assert_eq!(client.send_request("book", "r0").status(), 200);
            }
            if reused && sent == 0 {
                continue; // the idle connection of a compliant client
            }
            let start = Instant::now();
            client.send(&whole[..sent]);
            assert!(client.receive().is_none_or(|response| (400..500).contains(&response.status())));
            assert!(client.receive().is_none());
            let took = start.elapsed();
            assert!(took < CLOSE_WITHIN, "{sent} bytes: closed after {took:?}");
        }
    }
}

#[test]
fn silent_clients_and_readiness_checks_take_no_descriptors_from_other_clients() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(128);
    let sidecar = Sidecar::start_with(&config, "ulimit -n 128;");
    let mut others = Vec::new();
    for n in 0..300 {
        let mut other = sidecar.client();
        match n % 3 {
            0 => other.send("GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n"),
            1 => other.send("GET /quo"),
            _ => {}
        }
        others.push(other);
    }
    for n in 0..20 {
        assert_eq!(
            sidecar.send_request("book", &format!("r{n}")).status(),
            200,
            "in spite of the other clients"
        );
    }
    assert!(sidecar.descriptors() <= 128);
}
