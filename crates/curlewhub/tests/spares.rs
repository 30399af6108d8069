//! Runs the built sidecar with requests that find its connections in the reuse delay that follows a
//! response.

#[path = "support/mod.rs"]
mod support;

use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The reuse delay of a connection, less the difference between the clock readings of the two processes.
const OBSERVED_REUSE_DELAY: Duration = Duration::from_millis(9);
/// Full reuse delays that requests must have waited for before the first spare connection is opened.
const DELAYS_PER_SPARE: usize = 10;

/// An endpoint that records the time from each response to the next request on the same connection.
#[derive(Clone)]
struct Endpoint {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
    reuse_intervals: Arc<Mutex<Vec<Duration>>>,
}

impl Endpoint {
    fn start() -> Endpoint {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (connections, closed, reuse_intervals) = Default::default();
        let endpoint =
            Endpoint { address: listener.local_addr().unwrap(), connections, closed, reuse_intervals };
        let accepting = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.connections.fetch_add(1, Ordering::SeqCst);
                let endpoint = accepting.clone();
                thread::spawn(move || {
                    endpoint.serve(stream);
                    endpoint.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        let mut answered: Option<Instant> = None;
        while Message::read(&mut reader).is_some() {
            self.reuse_intervals.lock().unwrap().extend(answered.map(|at| at.elapsed()));
            answered = Some(Instant::now());
            if writer.write_all(answer("200 OK", "", "ok").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Number of open connections.
    fn open(&self) -> usize {
        self.connections() - self.closed.load(Ordering::SeqCst)
    }
}

#[test]
fn repeated_waits_for_the_reuse_delay_open_spare_connections_that_keep_the_delay() {
    let endpoint = Endpoint::start();
    let sidecar = Sidecar::start(&config_for_addresses(&[endpoint.address]));
    let mut client = sidecar.client();
    let (start, mut sent) = (Instant::now(), 0);
    // Each request follows the previous response at once: a pause would let the reuse delay pass.
    // Five checks in a row: a connection that replaces another overlaps it only briefly.
    let mut both_open = 0;
    while both_open < 5 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "no second connection was opened");
        sent += 1;
        assert_eq!(client.send_request("book", &format!("r{sent}")).status(), 200);
        both_open = if endpoint.open() >= 2 { both_open + 1 } else { 0 };
    }
    // No spare connection opens before requests have waited for ten full reuse delays.
    assert!(sent > DELAYS_PER_SPARE, "{sent}");
    for n in 0..20 {
        assert_eq!(client.send_request("book", &format!("s{n}")).status(), 200);
    }
    let shortest = endpoint.reuse_intervals.lock().unwrap().iter().min().copied();
    assert!(
        shortest >= Some(OBSERVED_REUSE_DELAY),
        "{shortest:?}: a second copy of the response could still arrive"
    );
}

#[test]
fn a_connection_survives_a_client_that_leaves_during_the_reuse_delay() {
    let (start, mut reused) = (Instant::now(), 0);
    while reused < 3 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the connection closed with the client that waited for it");
        let peer = Peer::serving("ok");
        let sidecar = Sidecar::start(&config(&[&peer]));
        let (mut client, mut leaving) = (sidecar.client(), sidecar.client());
        assert_eq!(client.send_request("quote", "first").status(), 200);
        leaving.send(&request("quote", "leaving", "10000m"));
        // The request is read and waits for the reuse delay; then its client disconnects.
        thread::sleep(OBSERVED_REUSE_DELAY / 4);
        drop(leaving);
        // If the disconnect is not noticed by the end of the delay, the request is sent and counted.
        thread::sleep(2 * OBSERVED_REUSE_DELAY);
        assert_eq!(client.send_request("quote", "last").status(), 200);
        let never_sent = peer.request_count() == 2;
        reused += usize::from(never_sent && peer.connections.load(Ordering::SeqCst) == 1);
    }
}

#[test]
fn spare_connections_respect_the_configured_connection_limit() {
    let endpoint = Endpoint::start();
    let mut config = config_for_addresses(&[endpoint.address]);
    config["limits"]["endpoint_connections"] = json!(1);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    for n in 0..5 * DELAYS_PER_SPARE {
        assert_eq!(client.send_request("book", &format!("r{n}")).status(), 200);
    }
    assert_eq!(endpoint.connections(), 1);
}
