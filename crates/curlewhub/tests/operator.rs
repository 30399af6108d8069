//! The built sidecar's operator address: calls, metrics, drains and bans.

#[path = "support/mod.rs"]
mod support;

use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::discovery::Discovery;
use support::*;

#[test]
fn valid_calls_are_answered_and_invalid_ones_get_a_no() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config_with_operator(&[&peer]));
    assert_eq!(sidecar.call("PING"), "YES\n");
    assert_eq!(sidecar.call("PING\r"), "YES\n");
    let long = format!("DETACH {}", "x".repeat(100_000));
    for bad in
        ["", "ping", "PING now", "DETACH", "DETACH nobody", "ATTACH nobody", "DETACH s-0 s-0", "\0\u{fffd}"]
    {
        assert!(sidecar.call(bad).starts_with("NO"), "{bad:?}");
    }
    // An unterminated line may hold a truncated id.
    assert!(sidecar.call_raw("DETACH s-0").starts_with("NO"));
    assert!(sidecar.call("INFO").ends_with("END\n"));
    let mut endless = TcpStream::connect(sidecar.operator.unwrap()).unwrap();
    let _ = endless.write_all(long.as_bytes()); // the sidecar may close the connection during the write
    assert_eq!(sidecar.call("PING"), "YES\n");
    assert_eq!(sidecar.metric("hosts_down"), 0);
    assert_eq!(sidecar.send_request("quote", "r1").status(), 200);
}

#[test]
fn silent_callers_do_not_delay_others_or_use_up_descriptors() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config_with_operator(&[&peer]));
    let before = sidecar.descriptors();
    let silent: Vec<_> = (0..200)
        .map(|n| {
            let mut stream = TcpStream::connect(sidecar.operator.unwrap()).unwrap();
            if n % 2 == 0 {
                let _ = stream.write_all(b"DETA"); // the sidecar may have closed it already
            }
            stream
        })
        .collect();
    assert_eq!(sidecar.call("PING"), "YES\n");
    assert!(sidecar.descriptors() < before + 16, "{before}, then {}", sidecar.descriptors());
    drop(silent);
    assert_eq!(sidecar.call("PING"), "YES\n");
}

#[test]
fn each_request_is_counted_in_exactly_one_metric() {
    let peer = Peer::new(|m| match m.target() {
        t if t.starts_with("/quote") => Action::Serve("ok"),
        t if t.starts_with("/pay") => Action::NeverAnswer,
        _ => Action::Write(answer("500 No", "", "")),
    });
    let sidecar = Sidecar::start(&config_with_operator(&[&peer]));
    for n in 0..5 {
        assert_eq!(sidecar.send_request("quote", &format!("q{n}")).status(), 200);
    }
    // The request may have run and must not be repeated: it counts as failed.
    assert!(sidecar.send_request("book", "b1").status() >= 500);
    // Malformed requests, with a known class and without one.
    assert_eq!(sidecar.send_request("nothing", "n1").status(), 404);
    let mut client = sidecar.client();
    client.send(&request("quote", "q9", "soon"));
    assert_eq!(client.receive().unwrap().status(), 400);
    let mut client = sidecar.client();
    client.send("no request at all\r\n\r\n");
    assert_eq!(client.receive().unwrap().status(), 400);
    // Readiness checks are not counted as requests.
    assert_eq!(sidecar.readiness_status(), Some(200));
    let mut gone = sidecar.client();
    gone.send(&request("pay", "p1", "10000m"));
    wait_for("it to be in flight", || sidecar.metric("inflight") == 1);
    drop(gone);
    wait_for("it to be over", || sidecar.metric("inflight") == 0);
    let figures =
        |class: &str| ["success", "busy", "failure"].map(|name| sidecar.metric(&format!("{name}.{class}")));
    wait_for("all counts", || figures("unknown") == [0, 0, 2]);
    assert_eq!(figures("quote"), [5, 0, 1]);
    assert_eq!(figures("book"), [0, 0, 1]);
    assert_eq!(figures("pay"), [0, 0, 1]);
    assert_eq!(sidecar.metric("backend_calls"), peer.request_count() as u64);
    assert_eq!((sidecar.metric("hosts_listed"), sidecar.metric("reconfig_ok")), (1, 0));
}

#[test]
fn refusals_are_counted_including_those_on_arrival() {
    let peer = Peer::new(|_| Action::NeverAnswer);
    let mut config = config_with_operator(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    let mut clients: Vec<Client> = (0..80).map(|_| sidecar.client()).collect();
    let ask = |n: usize, client: &mut Client| client.send(&request("quote", &format!("r{n}"), "1000m"));
    clients.iter_mut().enumerate().for_each(|(n, client)| ask(n, client));
    // On a slow machine a connection that sent nothing for too long is closed unread; its client tries again.
    let again = |n: usize| {
        let mut client = sidecar.client();
        ask(n, &mut client);
        client.receive()
    };
    let statuses = clients.iter_mut().enumerate().map(|(n, client)| {
        let answer = client.receive().or_else(|| (0..20).find_map(|_| again(n)));
        answer.expect("an answer").status()
    });
    let statuses: Vec<u16> = statuses.collect();
    let busy = statuses.iter().filter(|status| **status == 503).count() as u64;
    assert!(busy > 0);
    wait_for("the counts", || sidecar.metric("busy.quote") + sidecar.metric("failure.quote") == 80);
    assert_eq!(sidecar.metric("busy.quote"), busy);
}

#[test]
fn a_drain_under_load_loses_no_request_closes_idle_connections_and_can_be_undone() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config_with_operator(&[&peer]));
    let load = Load::start(&sidecar, 4);
    let mut idle = sidecar.client();
    assert_eq!(idle.send_request("quote", "i1").status(), 200);
    assert_eq!(sidecar.call("LAMEDUCK"), "YES\n");
    assert_eq!(sidecar.call("LAMEDUCK"), "YES\n");
    assert_eq!(sidecar.readiness_status(), Some(503));
    assert!(sidecar.call("PING").starts_with("NO"));
    let answer = sidecar.send_request("quote", "late");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(idle.receive().is_none(), "closed while it was idle");
    assert_eq!(sidecar.call("REJOIN"), "YES\n");
    assert_eq!(sidecar.call("REJOIN"), "YES\n");
    assert_eq!(sidecar.readiness_status(), Some(200));
    let mut kept = sidecar.client();
    assert_eq!(kept.send_request("quote", "k1").header("connection"), "");
    assert_eq!(kept.send_request("quote", "k2").status(), 200, "on the same connection");
    assert!(load.stop() > 0);
}

#[test]
fn a_terminating_sidecar_can_not_rejoin() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config_with_operator(&[&peer]));
    sidecar.call("LAMEDUCK");
    let mut client = sidecar.client();
    client.send("GET /quo");
    sidecar.signal("-TERM");
    wait_for("the end to be known", || sidecar.log().contains("Terminating"));
    assert!(sidecar.call("REJOIN").starts_with("NO"));
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn a_ban_holds_immediately_and_regardless_of_list_changes() {
    let [first, second] = [Peer::serving("ok"), Peer::serving("ok")];
    let mut config = config_with_operator(&[&first, &second]);
    let entry = |n: usize, peer: &Peer, state| target(&format!("s-{n}"), peer.address, state);
    let discovery = Discovery::new(list(8, true, &[entry(0, &first, "up"), entry(1, &second, "up")]));
    config["discovery"] = json!(discovery.address.to_string());
    let sidecar = Sidecar::start(&config);
    let load = |tag: &str| {
        (0..20).for_each(|n| assert_eq!(sidecar.send_request("quote", &format!("{tag}{n}")).status(), 200))
    };
    assert_eq!(sidecar.call("DETACH s-0"), "YES\n");
    assert_eq!(sidecar.call("DETACH s-0"), "YES\n", "twice");
    let before = first.request_count();
    load("a");
    assert_eq!((sidecar.metric("hosts_listed"), sidecar.metric("hosts_down")), (2, 1));
    // The endpoint leaves the list and returns after a restart.
    for (rev, all, entries) in [
        (9, true, vec![entry(1, &second, "up")]),
        (10, false, vec![entry(0, &first, "draining")]),
        (11, false, vec![entry(0, &first, "removed")]),
        (12, true, vec![entry(0, &first, "up"), entry(1, &second, "up")]),
    ] {
        discovery.send_line(&list(rev, all, &entries).to_string());
        wait_for("the list", || sidecar.log().contains(&format!("rev={rev} ")));
        load(&format!("b{rev}-"));
    }
    assert_eq!(first.request_count(), before, "the banned endpoint got no request");
    assert_eq!(sidecar.call("ATTACH s-0"), "YES\n", "one ATTACH undoes both");
    assert_eq!(sidecar.metric("hosts_down"), 0);
    let start = Instant::now();
    wait_for("its use", || {
        load("c");
        first.request_count() > before
    });
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_ban_of_an_endpoint_that_left_the_list_can_be_undone() {
    let [first, second] = [Peer::serving("ok"), Peer::serving("ok")];
    let mut config = config_with_operator(&[&first, &second]);
    let entries = [target("s-0", first.address, "up"), target("s-1", second.address, "up")];
    let discovery = Discovery::new(list(8, true, &entries));
    config["discovery"] = json!(discovery.address.to_string());
    let sidecar = Sidecar::start(&config);
    assert_eq!(sidecar.call("DETACH s-0"), "YES\n");
    discovery.send_line(&list(9, true, &entries[1..]).to_string());
    wait_for("the list", || sidecar.metric("hosts_listed") == 1);
    assert_eq!(sidecar.call("ATTACH s-0"), "YES\n");
    assert!(sidecar.call("ATTACH s-0").starts_with("NO"), "the endpoint is no longer known");
}
