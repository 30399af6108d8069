//! Descriptors, floods and starts, while discovery is down or slow.

use super::support::discovery::Discovery;
use super::support::script::*;
use super::support::*;
use serde_json::json;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn idle_clients_that_hold_all_descriptors_while_discovery_is_down_keep_nobody_from_their_own() {
    let (peer, new) = (Peer::serving("old"), Peer::serving("new"));
    let mut config = config_with_operator(&[&peer]);
    config["limits"]["sockets"] = json!(128);
    let door = unused_address();
    config["discovery"] = json!(door.to_string());
    config["settings"]["discovery"] = json!("automatic");
    // The kernel holds it to the same figure.
    let sidecar = Sidecar::start_with(&config, "ulimit -n 128;");
    // They have been served, rest, and never leave; others have said nothing.
    let mut resting = Vec::new();
    for n in 0..120 {
        let mut wire = RawConnection::connect(sidecar.address);
        if n % 2 == 0 {
            wire.write(&request("quote", &format!("i{n}"), "9000m"));
            wire.read().expect("an answer, served or turned away");
        }
        resting.push(wire);
    }
    assert!(sidecar.descriptors() <= 128);
    // Operators, new clients and discovery, once it is back, get theirs.
    assert_eq!(sidecar.call("PING"), "YES\n");
    wait_for("a new client to be served", || sidecar.send_request("quote", "n").status() == 200);
    let before = sidecar.cpu_ticks();
    std::thread::sleep(Duration::from_secs(1));
    assert!(sidecar.cpu_ticks() - before < 50, "it spins");
    let back = Instant::now();
    let discovery = Discovery::at(door, list(8, true, &[target("s-new", new.address, "up")]));
    wait_for("the new list", || sidecar.send_request("quote", "m").body == b"new");
    assert!(back.elapsed() < Duration::from_secs(8), "told, and a slow machine's margin");
    assert!(!discovery.calls().is_empty() && sidecar.descriptors() <= 128);
    drop(resting);
}

#[test]
fn nobody_who_is_closed_for_room_loses_a_request() {
    let peer = Peer::new(|_| Action::ServeAfter(Duration::from_millis(5)));
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    // Kept connections in use, while others come all the time, say nothing, and want room.
    let address = sidecar.address;
    let crowd = std::thread::spawn(move || {
        let mut silent = Vec::new();
        for _ in 0..400 {
            silent.extend(std::net::TcpStream::connect(address));
        }
        silent.len()
    });
    for n in 0..40 {
        let mut wire = RawConnection::connect(sidecar.address);
        let mut turn = 0;
        // A first request may cross the close of a connection that had said nothing until then: its client asks
        // again. Once one has been answered, only an answer that says so is the last.
        loop {
            wire.write(&request("book", &format!("k{n}-{turn}"), "9000m"));
            let answer = wire.read();
            assert!(answer.is_some() || turn == 0, "a kept connection was closed over its request");
            let Some(answer) = answer else { break };
            assert!(matches!(answer.status(), 200 | 503), "{}", answer.first_line);
            turn += 1;
            if turn == 3 || answer.header("connection") == "close" {
                break;
            }
        }
    }
    assert!(crowd.join().unwrap() > 0);
}

#[test]
fn a_flood_in_the_moment_of_a_drain_holds_up_neither_the_drain_nor_good_clients() {
    let peer = Peer::new(|_| Action::ServeAfter(Duration::from_millis(50)));
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let many: String = (0..300).map(|n| request("quote", &format!("f{n}"), "9000m")).collect();
    let mut good: Vec<RawConnection> = (0..5).map(|_| RawConnection::connect(sidecar.address)).collect();
    let mut bad: Vec<RawConnection> = (0..40).map(|_| RawConnection::connect(sidecar.address)).collect();
    for (n, wire) in good.iter_mut().enumerate() {
        wire.write(&request("book", &format!("g{n}"), "9000m"));
    }
    sidecar.signal("-TERM");
    for (n, wire) in bad.iter_mut().enumerate() {
        match n % 4 {
            0 => wire.write(&many),
            1 => wire.write(&format!("GET /quote/x HTTP/1.1\r\nX-Long: {}", "y".repeat(200_000))),
            2 => wire.write("GET /quote/x HT"),
            _ => {}
        }
    }
    // Some have gone again.
    bad.truncate(30);
    for wire in &mut good {
        assert_eq!(wire.read().expect("an answer").status(), 200);
    }
    let start = Instant::now();
    for wire in &mut bad {
        let (_, end) = wire.read_until_end(Duration::from_secs(6));
        assert_ne!(end, End::Open, "owed an error or a close");
    }
    assert!(sidecar.wait_for_exit().success());
    assert!(start.elapsed() < Duration::from_secs(10));
}

/// How discovery is while thirty processes are killed and start again.
#[derive(Clone, Copy, Debug)]
enum State {
    Silent,
    Refusing,
    DownAtFirst,
}

#[test]
fn nine_in_ten_of_thirty_restarted_processes_are_ready_within_ten_seconds() {
    for state in [State::Silent, State::Refusing, State::DownAtFirst] {
        let peer = Peer::serving("ok");
        let down = unused_address();
        // It takes calls and answers none; it refuses them; it comes up later.
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = match state {
            State::Silent => silent.local_addr().unwrap(),
            State::Refusing | State::DownAtFirst => down,
        };
        let start = |n: usize| {
            let mut config = config(&[&peer]);
            config["discovery"] = json!(address.to_string());
            config["settings"]["discovery"] =
                json!(if n.is_multiple_of(2) { "automatic" } else { "subscribe" });
            config
        };
        let configs: Vec<_> = (0..30).map(start).collect();
        let mut fleet: Vec<Sidecar> = configs.iter().map(Sidecar::start).collect();
        for sidecar in &mut fleet {
            sidecar.child.kill().unwrap();
            sidecar.child.wait().unwrap();
        }
        let at = Instant::now();
        let up = std::thread::scope(|scope| {
            let again: Vec<_> = configs
                .iter()
                .map(|config| scope.spawn(|| (Sidecar::start(config), at.elapsed())))
                .collect();
            if let State::DownAtFirst = state {
                std::thread::sleep(Duration::from_millis(500));
                let _ = Discovery::at(address, list(8, false, &[]));
            }
            again.into_iter().map(|one| one.join().unwrap()).collect::<Vec<_>>()
        });
        let soon = up.iter().filter(|(_, took)| *took < Duration::from_secs(10)).count();
        assert!(soon >= 27, "{state:?}: {soon} of 30 within 10 s");
        assert!(up.iter().all(|(sidecar, _)| sidecar.send_request("quote", "r").status() == 200));
    }
}
