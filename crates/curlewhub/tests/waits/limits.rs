//! Runs the built sidecar at its descriptor limit, on SIGTERM and with a full accept backlog.

use super::support::*;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn more_clients_than_descriptors_are_all_answered_within_the_limit() {
    let peer = Peer::new(|_| Action::ServeAfter(Duration::from_millis(300)));
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(128);
    // The kernel enforces the same limit: exceeding it would show as errors.
    let sidecar = Sidecar::start_with(&config, "ulimit -n 128;");
    let connect = |n| {
        let mut client = sidecar.client();
        client.send(&request("quote", &format!("r{n}"), "20000m"));
        client
    };
    let mut clients: Vec<Client> = (0..200).map(connect).collect();
    let mut peak = 0;
    let mut served = 0;
    for client in &mut clients {
        peak = peak.max(sidecar.descriptors());
        let response = client.receive().expect("a complete response for each client");
        assert!(matches!(response.status(), 200 | 503), "{}", response.first_line);
        served += usize::from(response.status() == 200);
    }
    assert!(peak <= 128, "{peak} descriptors");
    assert!(served >= 40, "{served} served");
    drop(clients);
    assert_eq!(sidecar.send_request("quote", "after").status(), 200);
}

#[test]
fn a_sidecar_out_of_descriptors_neither_spins_nor_exits() {
    let peer = Peer::serving("ok");
    // The configured limit is 1,024, but the kernel allows far fewer.
    let mut sidecar = Sidecar::start_with(&config(&[&peer]), "ulimit -n 40;");
    assert_eq!(sidecar.send_request("quote", "before").status(), 200);
    let clients: Vec<Client> = (0..60).map(|_| sidecar.client()).collect();
    wait_for("its descriptors to be used up", || sidecar.descriptors() >= 40);
    let before = sidecar.cpu_ticks();
    thread::sleep(Duration::from_secs(1));
    let used = sidecar.cpu_ticks() - before;
    assert!(used < 50, "{used} ticks of a second spent on failing to accept");
    drop(clients);
    assert_eq!(sidecar.send_request("quote", "after").status(), 200);
    assert!(sidecar.child.try_wait().unwrap().is_none());
}

#[test]
fn idle_client_connections_are_closed_to_accept_new_ones() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    let mut idle = Vec::new();
    for n in 0..80 {
        let mut client = sidecar.client();
        assert!(matches!(client.send_request("quote", &format!("r{n}")).status(), 200 | 503));
        idle.push(client);
    }
    let start = Instant::now();
    wait_for("a free descriptor", || sidecar.send_request("quote", "new").status() == 200);
    assert!(start.elapsed() < Duration::from_secs(12), "well before the idle timeout would close them");
}

#[test]
fn a_recently_used_connection_is_not_closed_abruptly_to_free_descriptors() {
    let peer =
        Peer::new(
            |m| if m.target().starts_with("/book") { Action::Serve("ok") } else { Action::NeverAnswer },
        );
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(128);
    for _ in 0..20 {
        let sidecar = Sidecar::start(&config);
        let mut client = sidecar.client();
        assert_eq!(client.send_request("book", "r1").status(), 200);
        let answered = Instant::now();
        let before = peer.request_count();
        let mut others: Vec<Client> = (0..60).map(|_| sidecar.client()).collect();
        for (n, other) in others.iter_mut().enumerate() {
            other.send(&request("quote", &format!("s{n}"), "20000m"));
        }
        // All but one of the fifty connections that fit are in use; the others are rejected.
        wait_for("the descriptors to be used up", || {
            peer.request_count() >= before + 3 && others[59].receive().is_some()
        });
        client.send(&request("book", "r2", "20000m"));
        if answered.elapsed() > Duration::from_millis(500) {
            continue; // the machine is too slow for this to count as recently used
        }
        let response = client.receive().expect("a response on the same connection");
        assert!(matches!(response.status(), 200 | 503), "{}", response.first_line);
        assert_eq!(response.header("connection"), "close");
        return;
    }
    panic!("the machine was never fast enough");
}

#[test]
fn requests_in_flight_at_sigterm_and_after_it_are_completed() {
    let peer = Peer::new(|_| Action::ServeAfter(Duration::from_millis(1000)));
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut idle = sidecar.client();
    assert_eq!(idle.send_request("quote", "r0").status(), 200);
    let mut early = sidecar.client();
    early.send(&request("book", "r1", "20000m"));
    wait_for("the attempt", || peer.request_count() == 2);
    sidecar.signal("-TERM");
    wait_for("the drain to begin", || sidecar.readiness_status() != Some(200));
    let mut late = sidecar.client();
    late.send(&request("book", "r2", "20000m"));
    for client in [&mut early, &mut late] {
        let response = client.receive().expect("a response in spite of the drain");
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
    }
    assert!(idle.receive().is_none(), "idle connections are closed");
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn connections_in_the_backlog_at_sigterm_are_answered() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    // While the process is stopped, only the kernel accepts connections.
    sidecar.signal("-STOP");
    let mut clients: Vec<Client> = (0..50).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("book", &format!("r{n}"), "20000m"));
    }
    sidecar.signal("-TERM");
    thread::sleep(Duration::from_millis(50));
    sidecar.signal("-CONT");
    for client in &mut clients {
        assert_eq!(
            client.receive().expect("the connection was accepted, so it gets a response").status(),
            200
        );
    }
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn requests_that_can_not_finish_before_sigkill_get_an_error() {
    let peer = Peer::new(|_| Action::NeverAnswer);
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    client.send(&request("book", "r1", "20000m"));
    wait_for("the attempt", || peer.request_count() == 1);
    sidecar.signal("-TERM");
    let response = client.receive().expect("a complete response before the process exits");
    assert!(!matches!(response.status(), 200 | 429 | 503), "{}", response.first_line);
    assert!(sidecar.wait_for_exit().success());
}
