//! Descriptor limits, request floods and process starts while discovery is down or slow.

use super::support::discovery::Discovery;
use super::support::script::*;
use super::support::*;
use serde_json::json;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn idle_clients_that_use_all_descriptors_block_neither_operators_nor_new_clients_nor_discovery() {
    let (peer, new) = (Peer::serving("old"), Peer::serving("new"));
    let mut config = config_with_operator(&[&peer]);
    config["limits"]["sockets"] = json!(128);
    let discovery_address = unused_address();
    config["discovery"] = json!(discovery_address.to_string());
    config["settings"]["discovery"] = json!("automatic");
    // The kernel enforces the same limit.
    let sidecar = Sidecar::start_with(&config, "ulimit -n 128;");
    // Half of the clients have been served and stay idle, the others have sent nothing; none disconnects.
    let mut idle = Vec::new();
    for n in 0..120 {
        let mut wire = RawConnection::connect(sidecar.address);
        if n % 2 == 0 {
            wire.write(&request("quote", &format!("i{n}"), "9000m"));
            wire.read().expect("a response, served or rejected");
        }
        idle.push(wire);
    }
    assert!(sidecar.descriptors() <= 128);
    // Operators, new clients and discovery, once it is back, get descriptors.
    assert_eq!(sidecar.call("PING"), "YES\n");
    wait_for("a new client to be served", || sidecar.send_request("quote", "n").status() == 200);
    let before = sidecar.cpu_ticks();
    std::thread::sleep(Duration::from_secs(1));
    assert!(sidecar.cpu_ticks() - before < 50, "the sidecar spins");
    let back = Instant::now();
    let discovery = Discovery::at(discovery_address, list(8, true, &[target("s-new", new.address, "up")]));
    wait_for("the new list", || sidecar.send_request("quote", "m").body == b"new");
    assert!(
        back.elapsed() < Duration::from_secs(8),
        "the notification limit plus a margin for a slow machine"
    );
    assert!(!discovery.calls().is_empty() && sidecar.descriptors() <= 128);
    drop(idle);
}

#[test]
fn no_request_is_lost_when_connections_are_closed_to_free_descriptors() {
    let peer = Peer::new(|_| Action::ServeAfter(Duration::from_millis(5)));
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    // Keep-alive connections are in use while others keep arriving, send nothing and need descriptors.
    let address = sidecar.address;
    let flood = std::thread::spawn(move || {
        let mut silent = Vec::new();
        for _ in 0..400 {
            silent.extend(std::net::TcpStream::connect(address));
        }
        silent.len()
    });
    for n in 0..40 {
        let mut wire = RawConnection::connect(sidecar.address);
        let mut turn = 0;
        // A first request may cross the close of a connection that was silent until then: its client
        // retries. After the first response, only a response with `connection: close` may be the last.
        loop {
            wire.write(&request("book", &format!("k{n}-{turn}"), "9000m"));
            let response = wire.read();
            assert!(
                response.is_some() || turn == 0,
                "a keep-alive connection was closed with a request in flight"
            );
            let Some(response) = response else { break };
            assert!(matches!(response.status(), 200 | 503), "{}", response.first_line);
            turn += 1;
            if turn == 3 || response.header("connection") == "close" {
                break;
            }
        }
    }
    assert!(flood.join().unwrap() > 0);
}

#[test]
fn a_request_flood_at_the_start_of_a_drain_delays_neither_the_drain_nor_valid_clients() {
    let peer = Peer::new(|_| Action::ServeAfter(Duration::from_millis(50)));
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let many: String = (0..300).map(|n| request("quote", &format!("f{n}"), "9000m")).collect();
    let mut valid: Vec<RawConnection> = (0..5).map(|_| RawConnection::connect(sidecar.address)).collect();
    let mut invalid: Vec<RawConnection> =
        (0..40).map(|_| RawConnection::connect(sidecar.address)).collect();
    for (n, wire) in valid.iter_mut().enumerate() {
        wire.write(&request("book", &format!("g{n}"), "9000m"));
    }
    sidecar.signal("-TERM");
    for (n, wire) in invalid.iter_mut().enumerate() {
        match n % 4 {
            0 => wire.write(&many),
            1 => wire.write(&format!("GET /quote/x HTTP/1.1\r\nX-Long: {}", "y".repeat(200_000))),
            2 => wire.write("GET /quote/x HT"),
            _ => {}
        }
    }
    // Some of them disconnect.
    invalid.truncate(30);
    for wire in &mut valid {
        assert_eq!(wire.read().expect("a response").status(), 200);
    }
    let start = Instant::now();
    for wire in &mut invalid {
        let (_, end) = wire.read_until_end(Duration::from_secs(6));
        assert_ne!(end, End::Open, "neither an error nor a close");
    }
    assert!(sidecar.wait_for_exit().success());
    assert!(start.elapsed() < Duration::from_secs(10));
}

/// State of discovery while thirty processes are killed and restarted.
#[derive(Clone, Copy, Debug)]
enum DiscoveryState {
    Silent,
    Refusing,
    DownAtFirst,
}

#[test]
fn nine_in_ten_of_thirty_restarted_processes_are_ready_within_ten_seconds() {
    for state in [DiscoveryState::Silent, DiscoveryState::Refusing, DiscoveryState::DownAtFirst] {
        let peer = Peer::serving("ok");
        let down = unused_address();
        // Accepts calls without responding, refuses connections, or starts later.
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = match state {
            DiscoveryState::Silent => silent.local_addr().unwrap(),
            DiscoveryState::Refusing | DiscoveryState::DownAtFirst => down,
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
            if let DiscoveryState::DownAtFirst = state {
                std::thread::sleep(Duration::from_millis(500));
                let _ = Discovery::at(address, list(8, false, &[]));
            }
            again.into_iter().map(|one| one.join().unwrap()).collect::<Vec<_>>()
        });
        let in_time = up.iter().filter(|(_, took)| *took < Duration::from_secs(10)).count();
        assert!(in_time >= 27, "{state:?}: {in_time} of 30 within 10 s");
        assert!(up.iter().all(|(sidecar, _)| sidecar.send_request("quote", "r").status() == 200));
    }
}
