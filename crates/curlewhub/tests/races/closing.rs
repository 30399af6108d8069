//! How client connections end: by a drain, when idle, to free descriptors, with an error, and with bytes in
//! flight.

use super::support::script::*;
use super::support::*;
use serde_json::json;
use std::time::Duration;

const CLOSE_TIMEOUT: Duration = Duration::from_secs(6);

fn while_stopped(sidecar: &Sidecar, meanwhile: impl FnOnce()) {
    sidecar.signal("-STOP");
    meanwhile();
    sidecar.signal("-CONT");
}

#[test]
fn a_partly_read_request_head_is_completed_and_served_during_a_drain() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let whole = request("book", "r1", "9000m");
    let cut = whole.find("X-Tenant").unwrap();
    let (mut fresh, mut reused) =
        (RawConnection::connect(sidecar.address), RawConnection::connect(sidecar.address));
    reused.write(&request("quote", "r0", "9000m"));
    assert_eq!(reused.read().expect("a response").status(), 200);
    fresh.write(&whole[..cut]);
    reused.write(&whole.replace("r1", "r2")[..cut]);
    sidecar.signal("-TERM");
    wait_for("the drain to begin", || sidecar.readiness_status() != Some(200));
    // Well after idle connections are closed, and before the time limit of a request head.
    std::thread::sleep(Duration::from_millis(900));
    for wire in [&mut fresh, &mut reused] {
        wire.write(&whole[cut..]);
        let response = wire.read().expect("a request that started to arrive before the close is served");
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
        assert_eq!(wire.wait_for_end(), End::Closed);
    }
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn an_unread_request_on_a_connection_about_to_be_closed_is_served() {
    for _ in 0..4 {
        let peer = Peer::serving("ok");
        let mut sidecar = Sidecar::start(&config(&[&peer]));
        let mut reused: Vec<RawConnection> =
            (0..12).map(|_| RawConnection::connect(sidecar.address)).collect();
        for (n, wire) in reused.iter_mut().enumerate() {
            wire.write(&request("quote", &format!("a{n}"), "9000m"));
            assert_eq!(wire.read().expect("a response").status(), 200);
        }
        sidecar.signal("-TERM");
        wait_for("the drain to begin", || sidecar.readiness_status() != Some(200));
        // While the process is stopped, two things happen: the time to close idle connections passes, and
        // their next requests arrive.
        while_stopped(&sidecar, || {
            for (n, wire) in reused.iter_mut().enumerate() {
                wire.write(&request("book", &format!("b{n}"), "9000m"));
            }
            std::thread::sleep(Duration::from_millis(700));
        });
        for wire in &mut reused {
            let response = wire.read().expect("the request arrived before the close");
            assert_eq!((response.status(), response.header("connection")), (200, "close"));
            assert_eq!(wire.wait_for_end(), End::Closed);
        }
        assert!(sidecar.wait_for_exit().success());
    }
}

#[test]
fn bytes_after_the_last_response_neither_destroy_it_nor_are_forwarded() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    // More than a connection buffers, and less than is read and discarded after a response.
    let more = "x".repeat(150_000);
    let valid = request("book", "r1", "9000m");
    let bad = [
        valid.replace("/book/", "/nosuch/") + &more,
        valid.replace("Content-Length: 4", "Content-Length: 150004") + &more.replace('x', " "),
        "GARBAGE\r\n\r\n".to_owned() + &more,
        valid.replace("X-Tenant-Id: acme", "X-Tenant-Id: nobody") + &more,
        valid.clone() + &request("book", "r9", "9000m"),
    ];
    for (n, text) in bad.iter().enumerate() {
        let mut wire = RawConnection::connect(sidecar.address);
        wire.write(text);
        let response = wire.read().unwrap_or_else(|| panic!("case {n}: no complete response"));
        let fine = if n == 1 { 200..=200 } else { 400..=499 };
        assert!(fine.contains(&response.status()), "case {n}: {}", response.first_line);
        if n == 1 {
            continue;
        }
        // A request written after the close was sent is not served.
        wire.write(&request("book", &format!("late{n}"), "9000m"));
        let (rest, end) = wire.read_until_end(CLOSE_TIMEOUT);
        assert!(rest.is_empty(), "case {n}: bytes after the response");
        assert_eq!(end, End::Closed, "case {n}: a reset could discard the response");
    }
    assert!(peer.requests.lock().unwrap().iter().all(|m| !m.header("x-request-id").starts_with("late")));
}

#[test]
fn the_last_response_arrives_complete_although_its_client_keeps_writing() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut clients: Vec<RawConnection> = (0..6).map(|_| RawConnection::connect(sidecar.address)).collect();
    for (n, wire) in clients.iter_mut().enumerate() {
        wire.write(&request("quote", &format!("a{n}"), "9000m"));
        assert_eq!(wire.read().expect("a response").status(), 200);
    }
    sidecar.signal("-TERM");
    wait_for("the drain to begin", || sidecar.readiness_status() != Some(200));
    for (n, wire) in clients.iter_mut().enumerate() {
        wire.write(&request("quote", &format!("b{n}"), "9000m"));
        let response = wire.read().expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
        // The client ignores `connection: close`, and its next request crosses the close.
        wire.write(&request("book", &format!("late{n}"), "9000m"));
        let (rest, end) = wire.read_until_end(CLOSE_TIMEOUT);
        assert_eq!((rest.len(), end), (0, End::Closed));
    }
    assert!(sidecar.wait_for_exit().success());
    assert!(peer.requests.lock().unwrap().iter().all(|m| !m.header("x-request-id").starts_with("late")));
}

#[test]
fn lingering_connections_end_after_a_timeout_and_when_descriptors_are_needed() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    let before = sidecar.descriptors();
    // These clients never close their side.
    let linger = |count: usize| {
        let open = |_| {
            let mut wire = RawConnection::connect(sidecar.address);
            wire.write("GARBAGE\r\n\r\n");
            wire
        };
        let mut linger: Vec<RawConnection> = (0..count).map(open).collect();
        std::thread::scope(|scope| {
            for wire in &mut linger {
                scope.spawn(|| assert_eq!(wire.read_until_end(Duration::from_secs(20)).1, End::Closed));
            }
        });
        linger
    };
    let ten = linger(10);
    wait_for("their descriptors to be released", || sidecar.descriptors() <= before);
    // Far more than the descriptor limit allows, and none of them leaves.
    let excess = linger(150);
    assert_eq!(sidecar.send_request("quote", "r1").status(), 200);
    drop((ten, excess));
    // A client that keeps writing is cut off: the bytes read and discarded are limited.
    let mut endless = RawConnection::connect(sidecar.address);
    endless.write("GARBAGE\r\n\r\n");
    wait_for("the endless connection to be cut off", || !endless.try_write(&"x".repeat(16_384)));
}

#[test]
fn a_drain_closes_silent_and_idle_connections_without_delay() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut silent = RawConnection::connect(sidecar.address);
    let mut idle = RawConnection::connect(sidecar.address);
    idle.write(&request("quote", "r0", "9000m"));
    assert_eq!(idle.read().expect("a response").status(), 200);
    // SIGTERM twice, with a reload in between.
    sidecar.signal("-TERM");
    sidecar.signal("-HUP");
    sidecar.signal("-TERM");
    assert_eq!(idle.wait_for_end(), End::Closed);
    assert_eq!(silent.wait_for_end(), End::Closed);
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn a_sidecar_that_gets_sigterm_before_it_is_ready_exits() {
    // A successor that waits for a list from a discovery server that does not respond.
    let (peer, discovery) = (Peer::serving("ok"), ScriptedListener::new());
    let mut config = config_with_operator(&[&peer]);
    let first = Sidecar::start(&config);
    config["discovery"] = json!(discovery.address.to_string());
    let mut next = first.successor(&config);
    assert!(next.call("PING").starts_with("NO"));
    next.signal("-TERM");
    assert!(next.wait_for_exit().success());
    assert_eq!(first.send_request("quote", "r1").status(), 200, "the predecessor keeps serving");
}

#[test]
fn a_truncated_response_without_a_length_ends_with_a_reset() {
    // Longer than the buffer, so that it is streamed; an HTTP/1.0 client does not know chunks.
    let part = "y".repeat(200_000);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cut = format!("{head}{:x}\r\n{part}\r\n", part.len());
    let peer = Peer::new(move |_| Action::WriteAndClose(cut.clone()));
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut wire = RawConnection::connect(sidecar.address);
    wire.write(&request("quote", "r1", "9000m").replace("HTTP/1.1", "HTTP/1.0"));
    let (_, end) = wire.read_until_end(CLOSE_TIMEOUT);
    assert_eq!(end, End::Reset, "an orderly close would look like a complete response");
}
