//! The built sidecar and requests that find its connections resting after an answer.

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

/// What a connection rests for, less what the two processes' looks at the clock are apart.
const REST_SEEN: Duration = Duration::from_millis(4);
/// Whole rests that the first further connection is worth.
const RESTS: usize = 10;

/// An endpoint that notes by how much each request follows the answer before it on the same connection.
#[derive(Clone)]
struct Endpoint {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
    pauses: Arc<Mutex<Vec<Duration>>>,
}

impl Endpoint {
    fn start() -> Endpoint {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (connections, ended, pauses) = Default::default();
        let endpoint = Endpoint { address: listener.local_addr().unwrap(), connections, ended, pauses };
        let of_thread = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                of_thread.connections.fetch_add(1, Ordering::SeqCst);
                let endpoint = of_thread.clone();
                thread::spawn(move || {
                    endpoint.serve(stream);
                    endpoint.ended.fetch_add(1, Ordering::SeqCst);
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
            self.pauses.lock().unwrap().extend(answered.map(|at| at.elapsed()));
            answered = Some(Instant::now());
            if writer.write_all(answer("200 OK", "", "ok").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Connections that are open.
    fn open(&self) -> usize {
        self.connections() - self.ended.load(Ordering::SeqCst)
    }
}

#[test]
fn requests_that_keep_finding_connections_at_rest_get_more_of_them_and_each_goes_on_resting() {
    let endpoint = Endpoint::start();
    let sidecar = Sidecar::start(&config_for_addresses(&[endpoint.address]));
    let mut client = sidecar.client();
    let (start, mut asked) = (Instant::now(), 0);
    // Each request at once after the last one's answer: a pause between them would be rest enough.
    // One that comes in another one's stead makes no two for long.
    let mut both_open = 0;
    while both_open < 5 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "never came: a second connection");
        asked += 1;
        assert_eq!(client.send_request("book", &format!("r{asked}")).status(), 200);
        both_open = if endpoint.open() >= 2 { both_open + 1 } else { 0 };
    }
    // None comes before requests can have waited for ten whole rests.
    assert!(asked > RESTS, "{asked}");
    for n in 0..20 {
        assert_eq!(client.send_request("book", &format!("s{n}")).status(), 200);
    }
    let shortest = endpoint.pauses.lock().unwrap().iter().min().copied();
    assert!(shortest >= Some(REST_SEEN), "{shortest:?}: a second copy might still have come");
}

#[test]
fn a_connection_outlives_the_client_whose_request_waited_for_its_rest() {
    let (start, mut kept) = (Instant::now(), 0);
    while kept < 3 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "a connection is lost with the client that waited for it");
        let peer = Peer::serving("ok");
        let sidecar = Sidecar::start(&config(&[&peer]));
        let (mut client, mut leaving) = (sidecar.client(), sidecar.client());
        assert_eq!(client.send_request("quote", "first").status(), 200);
        leaving.send(&request("quote", "leaving", "10000m"));
        // The request is read, and waits for the rest; then its client leaves.
        thread::sleep(REST_SEEN / 4);
        drop(leaving);
        // Where its client's leaving is not noticed by the end of the rest, the request goes out, and counts.
        thread::sleep(2 * REST_SEEN);
        assert_eq!(client.send_request("quote", "last").status(), 200);
        let never_sent = peer.request_count() == 2;
        kept += usize::from(never_sent && peer.connections.load(Ordering::SeqCst) == 1);
    }
}

#[test]
fn no_connection_is_opened_to_save_a_wait_beyond_what_an_operator_allows() {
    let endpoint = Endpoint::start();
    let mut config = config_for_addresses(&[endpoint.address]);
    config["limits"]["endpoint_connections"] = json!(1);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    for n in 0..5 * RESTS {
        assert_eq!(client.send_request("book", &format!("r{n}")).status(), 200);
    }
    assert_eq!(endpoint.connections(), 1);
}
