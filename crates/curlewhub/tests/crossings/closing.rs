//! How clients' connections end: by a drain, for idleness, for room, with an error, and with more bytes on their way.

use super::support::script::*;
use super::support::*;
use serde_json::json;
use std::time::Duration;

const A_WHILE: Duration = Duration::from_secs(6);

fn stopped(sidecar: &Sidecar, meanwhile: impl FnOnce()) {
    sidecar.signal("-STOP");
    meanwhile();
    sidecar.signal("-CONT");
}

#[test]
fn a_head_that_is_half_read_as_the_drain_begins_is_read_on_and_served() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let whole = request("book", "r1", "9000m");
    let cut = whole.find("X-Tenant").unwrap();
    let (mut fresh, mut kept) =
        (RawConnection::connect(sidecar.address), RawConnection::connect(sidecar.address));
    kept.write(&request("quote", "r0", "9000m"));
    assert_eq!(kept.read().expect("an answer").status(), 200);
    fresh.write(&whole[..cut]);
    kept.write(&whole.replace("r1", "r2")[..cut]);
    sidecar.signal("-TERM");
    wait_for("the drain to begin", || sidecar.readiness_status() != Some(200));
    // Well after idle connections are closed, and before a head's time is over.
    std::thread::sleep(Duration::from_millis(900));
    for wire in [&mut fresh, &mut kept] {
        wire.write(&whole[cut..]);
        let answer = wire.read().expect("what began to come before the close is served");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        assert_eq!(wire.wait_for_end(), End::Closed);
    }
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn a_request_that_lies_unread_as_its_connection_is_to_be_closed_is_served() {
    for _ in 0..4 {
        let peer = Peer::serving("ok");
        let mut sidecar = Sidecar::start(&config(&[&peer]));
        let mut kept: Vec<RawConnection> =
            (0..12).map(|_| RawConnection::connect(sidecar.address)).collect();
        for (n, wire) in kept.iter_mut().enumerate() {
            wire.write(&request("quote", &format!("a{n}"), "9000m"));
            assert_eq!(wire.read().expect("an answer").status(), 200);
        }
        sidecar.signal("-TERM");
        wait_for("the drain to begin", || sidecar.readiness_status() != Some(200));
        // While it stands still both come: the time at which idle ones are closed, and their next requests.
        stopped(&sidecar, || {
            for (n, wire) in kept.iter_mut().enumerate() {
                wire.write(&request("book", &format!("b{n}"), "9000m"));
            }
            std::thread::sleep(Duration::from_millis(700));
        });
        for wire in &mut kept {
            let answer = wire.read().expect("it lay there before the close");
            assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
            assert_eq!(wire.wait_for_end(), End::Closed);
        }
        assert!(sidecar.wait_for_exit().success());
    }
}

#[test]
fn what_comes_behind_the_last_answer_neither_takes_it_away_nor_is_sent_on() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    // More than a connection buffers, and less than is read on behind an answer.
    let more = "x".repeat(150_000);
    let good = request("book", "r1", "9000m");
    let bad = [
        good.replace("/book/", "/nosuch/") + &more,
        good.replace("Content-Length: 4", "Content-Length: 150004") + &more.replace('x', " "),
        "GARBAGE\r\n\r\n".to_owned() + &more,
        good.replace("X-Tenant-Id: acme", "X-Tenant-Id: nobody") + &more,
        good.clone() + &request("book", "r9", "9000m"),
    ];
    for (n, text) in bad.iter().enumerate() {
        let mut wire = RawConnection::connect(sidecar.address);
        wire.write(text);
        let answer = wire.read().unwrap_or_else(|| panic!("case {n}: a whole answer"));
        let fine = if n == 1 { 200..=200 } else { 400..=499 };
        assert!(fine.contains(&answer.status()), "case {n}: {}", answer.first_line);
        if n == 1 {
            continue;
        }
        // A request that is written after the end was sent is nobody's.
        wire.write(&request("book", &format!("late{n}"), "9000m"));
        let (rest, end) = wire.read_until_end(A_WHILE);
        assert!(rest.is_empty(), "case {n}: nothing behind the answer");
        assert_eq!(end, End::Closed, "case {n}: the end, and no reset that takes the answer with it");
    }
    assert!(peer.requests.lock().unwrap().iter().all(|m| !m.header("x-request-id").starts_with("late")));
}

#[test]
fn a_last_answer_is_read_whole_though_its_client_writes_on_in_that_moment() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut clients: Vec<RawConnection> = (0..6).map(|_| RawConnection::connect(sidecar.address)).collect();
    for (n, wire) in clients.iter_mut().enumerate() {
        wire.write(&request("quote", &format!("a{n}"), "9000m"));
        assert_eq!(wire.read().expect("an answer").status(), 200);
    }
    sidecar.signal("-TERM");
    wait_for("the drain to begin", || sidecar.readiness_status() != Some(200));
    for (n, wire) in clients.iter_mut().enumerate() {
        wire.write(&request("quote", &format!("b{n}"), "9000m"));
        let answer = wire.read().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        // It did not look at that, and its next request crosses the end.
        wire.write(&request("book", &format!("late{n}"), "9000m"));
        let (rest, end) = wire.read_until_end(A_WHILE);
        assert_eq!((rest.len(), end), (0, End::Closed));
    }
    assert!(sidecar.wait_for_exit().success());
    assert!(peer.requests.lock().unwrap().iter().all(|m| !m.header("x-request-id").starts_with("late")));
}

#[test]
fn lingering_ends_by_itself_and_for_whoever_wants_room() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    let before = sidecar.descriptors();
    // They never close their side.
    let stay = |count: usize| {
        let noisy = |_| {
            let mut wire = RawConnection::connect(sidecar.address);
            wire.write("GARBAGE\r\n\r\n");
            wire
        };
        let mut stay: Vec<RawConnection> = (0..count).map(noisy).collect();
        std::thread::scope(|scope| {
            for wire in &mut stay {
                scope.spawn(|| assert_eq!(wire.read_until_end(Duration::from_secs(20)).1, End::Closed));
            }
        });
        stay
    };
    let few = stay(10);
    wait_for("their descriptors", || sidecar.descriptors() <= before);
    // Far more than there is room for, and all of them stay.
    let many = stay(150);
    assert_eq!(sidecar.send_request("quote", "r1").status(), 200);
    drop((few, many));
    // One that goes on writing is cut off: what is read on is bounded.
    let mut endless = RawConnection::connect(sidecar.address);
    endless.write("GARBAGE\r\n\r\n");
    wait_for("the end of one that never ends", || !endless.try_write(&"x".repeat(16_384)));
}

#[test]
fn a_client_that_says_nothing_or_rests_is_ended_by_the_drain_and_holds_nothing_up() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut silent = RawConnection::connect(sidecar.address);
    let mut resting = RawConnection::connect(sidecar.address);
    resting.write(&request("quote", "r0", "9000m"));
    assert_eq!(resting.read().expect("an answer").status(), 200);
    // Twice, and beside a new configuration.
    sidecar.signal("-TERM");
    sidecar.signal("-HUP");
    sidecar.signal("-TERM");
    assert_eq!(resting.wait_for_end(), End::Closed);
    assert_eq!(silent.wait_for_end(), End::Closed);
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn a_sidecar_told_to_end_before_it_is_ready_ends() {
    // A successor that waits for a list from a discovery that says nothing.
    let (peer, stage) = (Peer::serving("ok"), ScriptedListener::new());
    let mut config = config_with_operator(&[&peer]);
    let first = Sidecar::start(&config);
    config["discovery"] = json!(stage.address.to_string());
    let mut next = first.successor(&config);
    assert!(next.call("PING").starts_with("NO"));
    next.signal("-TERM");
    assert!(next.wait_for_exit().success());
    assert_eq!(first.send_request("quote", "r1").status(), 200, "the one before goes on");
}

#[test]
fn a_broken_answer_without_a_length_is_reset_and_not_ended() {
    // Longer than is kept whole, so that it flows; its client knows no chunks.
    let part = "y".repeat(200_000);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cut = format!("{head}{:x}\r\n{part}\r\n", part.len());
    let peer = Peer::new(move |_| Action::WriteAndClose(cut.clone()));
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut wire = RawConnection::connect(sidecar.address);
    wire.write(&request("quote", "r1", "9000m").replace("HTTP/1.1", "HTTP/1.0"));
    let (_, end) = wire.read_until_end(A_WHILE);
    assert_eq!(end, End::Reset, "a plain end would pass for a whole answer");
}
