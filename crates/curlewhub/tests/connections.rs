//! The built sidecar and endpoints that limit their number of connections.

#[path = "support/mod.rs"]
mod support;

use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use support::discovery::Discovery;
use support::*;

/// Delays answers until it is opened, and counts the requests received.
#[derive(Clone, Default)]
struct Gate {
    open: Arc<AtomicBool>,
    received: Arc<AtomicUsize>,
}

impl Gate {
    fn peer(&self) -> Peer {
        let gate = self.clone();
        Peer::new(move |_| {
            gate.received.fetch_add(1, Ordering::SeqCst);
            wait_for("the gate", || gate.open.load(Ordering::SeqCst));
            Action::Serve("ok")
        })
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    fn open(&self) {
        self.open.store(true, Ordering::SeqCst);
    }
}

/// Sends this many requests at once, runs `meanwhile`, and returns how many requests were served.
fn send_concurrently(sidecar: &Sidecar, tag: &str, count: usize, meanwhile: impl FnOnce()) -> usize {
    let ask = |n| {
        let mut client = sidecar.client();
        client.send(&request("quote", &format!("{tag}{n}"), "10000m"));
        client
    };
    let mut clients: Vec<Client> = (0..count).map(ask).collect();
    meanwhile();
    let served = |client: &mut Client| client.receive().expect("an answer").status() == 200;
    clients.iter_mut().map(served).filter(|served| *served).count()
}

/// A TCP proxy in front of a peer that accepts two connections and then stops listening: others are refused.
fn two_connection_proxy(peer: SocketAddr, taken: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut pipes = Vec::new();
        for _ in 0..2 {
            let (near, _) = listener.accept().unwrap();
            let far = std::net::TcpStream::connect(peer).unwrap();
            for (mut from, mut to) in [(near.try_clone().unwrap(), far.try_clone().unwrap()), (far, near)] {
                pipes.push(thread::spawn(move || std::io::copy(&mut from, &mut to)));
            }
            taken.fetch_add(1, Ordering::SeqCst);
        }
        drop(listener);
        pipes.into_iter().for_each(|pipe| drop(pipe.join()));
    });
    address
}

#[test]
fn an_endpoint_at_its_connection_limit_is_not_taken_for_one_that_is_down() {
    let gate = Gate::default();
    let (crowded, other) = (gate.peer(), Peer::serving("ok"));
    let taken = Arc::<AtomicUsize>::default();
    let mut config =
        config_for_addresses(&[two_connection_proxy(crowded.address, taken.clone()), other.address]);
    config["known"]["targets"][1]["state"] = json!("draining");
    let discovery = Discovery::new(config["known"].clone());
    config["discovery"] = json!(discovery.address.to_string());
    let sidecar = Sidecar::start_with(&config, "RUST_LOG=debug");
    let served = send_concurrently(&sidecar, "a", 2, || {
        wait_for("both to be there", || gate.received() == 2);
        let up = target("s-1", other.address, "up");
        discovery.send_line(&list(9, false, &[up]).to_string());
        wait_for("the list", || sidecar.log().contains("rev=9 "));
        // The crowded endpoint is tried too, and accepts no third connection.
        let mut turned_away = 0;
        wait_for("a full table", || {
            turned_away += 1;
            assert_eq!(
                send_concurrently(&sidecar, &format!("b{turned_away}-"), 4, || ()),
                4,
                "all by the other one"
            );
            sidecar.log().contains("outcome=\"turned away\"")
        });
        gate.open();
    });
    assert_eq!(served, 2);
    assert!(!sidecar.log().contains("outcome=\"not connected\""));
    assert_eq!(taken.load(Ordering::SeqCst), 2);
}

#[test]
fn the_configured_limit_of_connections_per_endpoint_is_respected() {
    for (accepts, sidecars, part) in [(2, 1, 2), (9, 3, 3), (1, 3, 1)] {
        let gate = Gate::default();
        let peer = gate.peer();
        let mut config = config(&[&peer]);
        config["limits"]["endpoint_connections"] = json!(accepts);
        config["settings"]["balancers"] = json!(sidecars);
        // At stage 1 of two tiers nothing else limits the number of concurrent requests.
        config["settings"]["tiers"] = json!(["t", "u"]);
        config["settings"]["stage"] = json!(1);
        let sidecar = Sidecar::start(&config);
        let served = send_concurrently(&sidecar, "a", 8, || {
            wait_for("its part", || gate.received() == part.min(3));
            gate.open();
        });
        assert!(served >= part.min(3), "{served} served");
        for n in 0..20 {
            send_concurrently(&sidecar, &format!("b{n}-"), 4, || ());
        }
        assert!(peer.connections.load(Ordering::SeqCst) <= part, "{accepts} among {sidecars}");
    }
}

#[test]
fn invalid_limits_are_logged_and_requests_are_still_served() {
    let odd = [json!(0), json!(-3), json!(1e12), json!("many"), json!([])];
    for (said, field) in odd.iter().flat_map(|said| [(said, "endpoint_connections"), (said, "balancers")]) {
        let peer = Peer::serving("ok");
        let mut config: Value = config(&[&peer]);
        let part = if field == "balancers" { "settings" } else { "limits" };
        config[part][field] = said.clone();
        let sidecar = Sidecar::start(&config);
        assert_eq!(sidecar.send_request("quote", "r1").status(), 200);
        let log = sidecar.wait_for_log(field);
        assert!(log.contains(&format!("{part}.{field}")) && log.contains("out of range"), "{log}");
    }
}
