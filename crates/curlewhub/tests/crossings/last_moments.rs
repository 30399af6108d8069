//! What is told, begun and answered in the last moments of a request's time, of a client's stay, and of a process that
//! is held up between its clock and its write.

use super::support::discovery::Discovery;
use super::support::script::*;
use super::support::*;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The standing test: what is told of the time may exceed what the client has left by this.
const TIME_SLACK: Duration = Duration::from_millis(150);
/// The standing test: a process may be held up for so long between its clock and its write.
const HELD_UP: Duration = Duration::from_millis(150);
/// Clients that stop are owed an error or a close within this.
const OWED: Duration = Duration::from_secs(3);
/// A client's time in these tests.
const TIME: Duration = Duration::from_secs(10);

/// What a request tells its endpoint of the time.
fn told(message: &Message) -> Duration {
    let text = message.header("x-timeout");
    Duration::from_micros(text.strip_suffix('u').expect("microseconds").parse().expect("a number"))
}

fn assert_told_at_most(message: &Message, asked: Instant, what: &str) {
    let left = TIME.saturating_sub(asked.elapsed());
    assert!(told(message) <= left + TIME_SLACK, "{what}: told {:?}, left {left:?}", told(message));
}

fn knows(stages: &[std::net::SocketAddr]) -> Value {
    let mut config = config_with_operator(&[]);
    let entry = |(n, at): (usize, &std::net::SocketAddr)| target(&format!("s-{n}"), *at, "up");
    config["known"] = list(7, true, &stages.iter().enumerate().map(entry).collect::<Vec<_>>());
    config["settings"]["limits"]["connectTimeoutMs"] = json!(8000.0);
    config
}

#[test]
fn an_endpoint_is_told_what_is_left_when_its_connection_is_up_and_not_when_that_was_asked_for() {
    for class in ["quote", "book", "pay"] {
        let door = FullBacklogListener::new();
        let sidecar = Sidecar::start_with(&knows(&[door.address]), "RUST_LOG=debug");
        let mut client = RawConnection::connect(sidecar.address);
        let asked = Instant::now();
        client.write(&request(class, "r1", "10000m"));
        sidecar.wait_for_log(" class=");
        // The dialler's machine tries again a second after it began.
        let (mut wire, message) = door.start_accepting().accept_request();
        assert_told_at_most(&message, asked, class);
        wire.write(&answer("200 OK", "", "ok"));
        assert_eq!(client.read().expect("an answer").status(), 200, "{class}");
    }
}

#[test]
fn a_repeat_is_told_what_is_left_by_then() {
    for class in ["quote", "pay"] {
        let stages = [ScriptedListener::new(), ScriptedListener::new()];
        let sidecar = Sidecar::start(&knows(&[stages[0].address, stages[1].address]));
        let mut client = RawConnection::connect(sidecar.address);
        let asked = Instant::now();
        client.write(&request(class, "r1", "10000m"));
        let mut attempts = 0;
        loop {
            let taken = stages.iter().find_map(|stage| stage.accept_within(Duration::from_millis(5)));
            let Some((mut wire, message)) = taken.and_then(|mut wire| wire.read().map(|read| (wire, read)))
            else {
                assert!(asked.elapsed() < TIME, "no repeat came");
                continue;
            };
            assert_told_at_most(&message, asked, class);
            attempts += 1;
            if attempts == 2 {
                wire.write(&answer("200 OK", "", "ok"));
                break;
            }
            thread::sleep(Duration::from_millis(400));
            wire.reset();
        }
        assert_eq!(client.read().expect("an answer").status(), 200, "{class}");
    }
}

#[test]
fn nothing_begins_for_a_client_that_leaves_while_the_process_is_held_up() {
    for come_first in [false, true] {
        let door = FullBacklogListener::new();
        let sidecar = Sidecar::start_with(&knows(&[door.address]), "RUST_LOG=debug");
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&request("quote", "r1", "10000m"));
        sidecar.wait_for_log(" class=");
        sidecar.signal("-STOP");
        // While it is held up its connection comes up and its client leaves, in either order.
        let mut client = Some(client);
        if !come_first {
            drop(client.take());
        }
        let mut wire = door.start_accepting().accept();
        drop(client.take());
        sidecar.signal("-CONT");
        assert!(wire.read_within(Duration::from_millis(800)).is_none(), "connection first: {come_first}");
    }
}

#[test]
fn a_client_that_stops_in_the_middle_of_a_body_gets_its_error_or_close_in_time() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let whole = request("book", "r1", "20000m");
    let with =
        |framing: &str| whole.replace("Content-Length: 4", framing).replace("\r\n\r\nbody", "\r\n\r\n");
    // What is sent at once, and what then in pieces until it stops.
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
                // The way to the end; its lingering is over before this too.
                let (_, end) = wire.read_until_end(Duration::from_secs(8));
                assert_ne!(end, End::Open, "case {n}");
                assert!(stopped.elapsed() < OWED, "case {n}: {:?} after it stopped", stopped.elapsed());
            });
        }
    });
    assert_eq!(sidecar.send_request("quote", "r2").status(), 200);
}

#[test]
fn what_a_client_sends_ahead_while_a_long_answer_comes_is_refused_or_closed_in_time() {
    let good = request("book", "ahead", "9000m");
    let both = good.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked");
    for (ahead, what) in
        [(&good[..40], "half a head"), (&good[..], "a whole one"), (&both[..], "two framings")]
    {
        let stage = ScriptedListener::new();
        let sidecar = Sidecar::start(&knows(&[stage.address]));
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&request("quote", "r1", "9000m"));
        let (mut endpoint, _) = stage.accept_request();
        endpoint.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        endpoint.write(&"y".repeat(99_999));
        assert!(client.has_unread(WAIT_TIMEOUT), "it flows");
        client.write(ahead);
        thread::sleep(Duration::from_millis(100));
        endpoint.write("y");
        let first = client.read().expect("the first answer stays whole");
        assert_eq!((first.status(), first.body.len()), (200, 100_000), "{what}");
        let start = Instant::now();
        let (rest, end) = client.read_until_end(Duration::from_secs(8));
        assert!(end != End::Open && start.elapsed() < OWED, "{what}: {end:?} after {:?}", start.elapsed());
        let rest = String::from_utf8_lossy(&rest).into_owned();
        assert!(rest.is_empty() || rest.starts_with("HTTP/1.1 4"), "{what}: {rest}");
        assert!(stage.receives_no_request(Duration::from_millis(100)), "{what} went on");
    }
}

#[test]
fn a_request_with_hardly_any_time_left_gets_one_answer_whatever_becomes_of_it() {
    // Endpoints drop it without a word, hold it, or answer too late.
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
        wire.read().unwrap_or_else(|| panic!("{class} with {left:?}: an answer"));
        // It earns nothing after its time, and is lost half a second later.
        assert!(start.elapsed() < left + Duration::from_millis(500), "{class}: {:?}", start.elapsed());
        assert!(!wire.has_unread(Duration::from_millis(50)), "{class}: one answer");
    }
}

#[test]
fn an_answer_with_no_length_is_forwarded_where_it_comes_whole_and_not_where_it_is_reset() {
    for length in [1, 1000, 60_000, 200_000] {
        for version in ["1.0", "1.1"] {
            let stage = ScriptedListener::new();
            let sidecar = Sidecar::start(&knows(&[stage.address]));
            let body = "y".repeat(length);
            for whole in [true, false] {
                let mut client = RawConnection::connect(sidecar.address);
                client
                    .write(&request("book", &format!("r{whole}"), "9000m").replace("HTTP/1.1", "HTTP/1.0"));
                let (mut endpoint, _) = stage.accept_request();
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
fn of_new_configurations_in_quick_succession_the_last_one_holds_and_nothing_open_is_lost() {
    let peers: Vec<Peer> = ["0", "1", "2", "3", "4", "5"].into_iter().map(Peer::serving).collect();
    let lists = |(n, peer): (usize, &Peer)| {
        Discovery::new(list(50 - n as u64, true, &[target(&format!("s-{n}"), peer.address, "up")]))
    };
    let found: Vec<Discovery> = peers.iter().enumerate().map(lists).collect();
    let mut config = config_with_operator(&[&peers[0]]);
    config["discovery"] = json!(found[0].address.to_string());
    let mut sidecar = Sidecar::start(&config);
    let load = Load::start(&sidecar, 4);
    for turn in 1..=20 {
        config["discovery"] = json!(found[turn % 5].address.to_string());
        sidecar.reload(&config.to_string());
        if turn % 3 == 0 {
            sidecar.signal("-HUP");
        }
        thread::sleep(Duration::from_millis(7 * (turn as u64 % 4)));
    }
    config["discovery"] = json!(found[5].address.to_string());
    sidecar.reload(&config.to_string());
    wait_for("the last one's list", || sidecar.send_request("quote", "r").body == b"5");
    for n in 0..30 {
        assert_eq!(sidecar.send_request("book", &format!("s{n}")).body, b"5", "an earlier one's late word");
    }
    assert!(load.stop() > 0);
    assert!(sidecar.child.try_wait().unwrap().is_none());
}

#[test]
fn a_drain_that_is_told_to_a_process_that_is_held_up_is_kept_within_its_grace() {
    const GRACE: Duration = Duration::from_millis(250);
    let came = Arc::new(Mutex::new(Vec::new()));
    let leaving = {
        let came = came.clone();
        Peer::new(move |_| {
            came.lock().unwrap().push(Instant::now());
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
        let before = came.lock().unwrap().len();
        wait_for("its use", || came.lock().unwrap().len() > before + 20);
        // Held up at some moment between a choice and its write.
        thread::sleep(Duration::from_micros(713 * turn));
        sidecar.signal("-STOP");
        let drained = Instant::now();
        discovery.send_line(&list(9, false, &[target("s-0", leaving.address, "draining")]).to_string());
        thread::sleep(HELD_UP);
        sidecar.signal("-CONT");
        thread::sleep(GRACE * 2);
        let last = came.lock().unwrap().iter().copied().max().unwrap();
        assert!(last <= drained + GRACE, "something new {:?} after it was told", last - drained);
        assert!(load.stop() > 0);
    }
}

#[test]
fn a_request_that_crosses_the_end_of_an_unused_or_resting_connection_is_not_read() {
    // Longer than a connection that ended by our will is kept.
    const KEPT: Duration = Duration::from_millis(1500);
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut unused = RawConnection::connect(sidecar.address);
    let mut resting = RawConnection::connect(sidecar.address);
    resting.write(&request("quote", "r0", "9000m"));
    assert_eq!(resting.read().expect("an answer").status(), 200);
    // It never ends its side, and holds the process until the others have been looked at.
    let mut open = RawConnection::connect(sidecar.address);
    open.write(&request("book", "open", "9000m").replace("Content-Length: 4", "Content-Length: 90000"));
    sidecar.signal("-TERM");
    for (wire, what) in [(&mut unused, "unused"), (&mut resting, "resting")] {
        assert_eq!(wire.wait_for_end(), End::Closed, "{what}");
        wire.write(&request("book", "late", "9000m"));
    }
    thread::sleep(KEPT);
    // What was read, and has no answer, would be lost; what was not is turned back by a reset.
    for (wire, what) in [(&unused, "unused"), (&resting, "resting")] {
        assert!(wire.was_reset(), "{what}: its request was read");
    }
    drop(open);
    assert!(sidecar.wait_for_exit().success());
    assert!(peer.requests.lock().unwrap().iter().all(|m| m.header("x-request-id") != "late"));
}
