//! Guards against use of an outdated list while the calls to discovery are queued. In a pre-production run
//! with nine sidecars, one sent a request to an endpoint 0.4 s after its drain counted as notified.
//!
//! New configurations made each sidecar request a full list and then a watch. Discovery serves one call at
//! a time, so its queue grew to seconds: the log showed calls served 0.3 s apart without a gap. The drain
//! ended the watch instead of being sent on it, and the next call was served too late. The late request
//! fell between the end of the watch and that response, because a list was used without a time limit while
//! a call for a newer one was pending. These tests reproduce this without any fault on the sidecar's
//! machine.

#[path = "support/mod.rs"]
mod support;

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::queued_discovery::{Event, QueuedDiscovery, Record};
use support::*;

const SIDECARS: usize = 9;
/// Time that discovery's single worker takes for each call and each notification.
const JOB_DURATION: Duration = Duration::from_millis(400);
/// Time between the reloads of one sidecar and the next.
const RELOAD_INTERVAL: Duration = Duration::from_millis(400);
const DRAIN_AFTER: Duration = Duration::from_millis(1700);
/// A change counts as notified this long after the end of the watch that should have carried it ...
const NOTIFIED_AFTER_WATCH_END: Duration = Duration::from_secs(2);
/// ... and at the latest this long after discovery has it.
const NOTIFIED_AT_LATEST: Duration = Duration::from_secs(6);
/// The drain grace period, and the tolerance for a busy machine.
const GRACE: Duration = Duration::from_millis(250);
const SLACK: Duration = Duration::from_millis(60);

type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// An endpoint that records the arrival of each request.
fn recording_peer(body: &'static str) -> (Peer, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let peer = Peer::new(move |message| {
        recorded.lock().unwrap().push((message.header("x-request-id").to_owned(), Instant::now()));
        Action::Serve(body)
    });
    (peer, arrivals)
}

fn sidecar_config(number: usize, peers: &[&Peer], discovery: &QueuedDiscovery) -> Value {
    let mut config = config(peers);
    config["name"] = json!(format!("n{number}"));
    config["seed"] = json!(format!("8c1f30d27a5be9{number:02x}"));
    config["settings"]["balancers"] = json!(SIDECARS);
    config["settings"]["me"] = json!(number);
    config["settings"]["rules"]["drainGraceMs"] = json!(250.0);
    config["settings"]["rules"]["askWithinMs"] = json!(10000.0);
    config["discovery"] = json!(discovery.address_for(number).to_string());
    config
}

/// Sends requests to a sidecar until `stop` is set, and returns how many were served.
fn send_load(sidecar: SocketAddr, number: usize, stop: &AtomicBool) -> usize {
    let mut served = 0;
    let mut client = Client::connect(sidecar).expect("the sidecar accepts");
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let text = request("quote", &format!("{number}-{n}"), "900m");
        client.send(&text);
        match client.receive() {
            Some(message) => served += usize::from(message.status() == 200),
            None => client = Client::connect(sidecar).expect("the sidecar accepts"),
        }
        thread::sleep(Duration::from_millis(40));
    }
    served
}

/// Stops the load even if the test panics: the scope waits for its threads.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// The time from which the drain counts as notified to a sidecar, by discovery's own records.
fn notified_at(records: &[Record], client: usize, drained: Instant, version: u64) -> Instant {
    let client_records = records.iter().filter(|record| record.client == client && record.at >= drained);
    let times = client_records.filter_map(|record| match record.event {
        Event::Written(written) if written >= version => Some(record.at),
        Event::WatchEnded => Some(record.at + NOTIFIED_AFTER_WATCH_END),
        Event::Written(_) | Event::Called(_) => None,
    });
    times.min().unwrap_or(drained + NOTIFIED_AT_LATEST).min(drained + NOTIFIED_AT_LATEST)
}

#[test]
fn no_request_goes_to_a_drained_endpoint_while_discovery_calls_are_queued() {
    let ((leaving, arrivals), (staying, _)) = (recording_peer("leaving"), recording_peer("staying"));
    let up = |uid: &str, peer: &Peer| target(uid, peer.address, "up");
    let both = vec![up("s-0", &leaving), up("s-1", &staying)];
    let discovery = QueuedDiscovery::start(both, JOB_DURATION);
    let peers = [&leaving, &staying];
    let configs: Vec<Value> = (0..SIDECARS).map(|n| sidecar_config(n, &peers, &discovery)).collect();
    let sidecars: Vec<Sidecar> = configs.iter().map(Sidecar::start).collect();
    wait_for("a watch of each sidecar", || discovery.watching_clients() == SIDECARS);
    let stop = AtomicBool::new(false);
    let (drained, served) = thread::scope(|scope| {
        let stop = &stop;
        let _stop_on_drop = StopOnDrop(stop);
        let loads: Vec<_> = sidecars
            .iter()
            .enumerate()
            .map(|(number, sidecar)| (number, sidecar.address))
            .map(|(number, address)| scope.spawn(move || send_load(address, number, stop)))
            .collect();
        let reloads = scope.spawn(|| {
            for (number, sidecar) in sidecars.iter().enumerate() {
                let mut config = configs[number].clone();
                config["discovery"] = json!(discovery.address_for(number).to_string());
                sidecar.reload(&config.to_string());
                thread::sleep(RELOAD_INTERVAL);
            }
        });
        thread::sleep(DRAIN_AFTER);
        let drained = discovery.replace_targets(vec![up("s-1", &staying)]);
        let answered = |records: &[Record], client| {
            let mut client_records = records.iter().filter(|record| record.client == client);
            client_records.any(|record| record.event == Event::Written(2))
        };
        wait_for("each sidecar to get the list without the drained endpoint", || {
            let records = discovery.records();
            (0..SIDECARS).all(|client| answered(&records, client))
        });
        thread::sleep(Duration::from_millis(500));
        reloads.join().unwrap();
        stop.store(true, Ordering::SeqCst);
        let served: usize = loads.into_iter().map(|load| load.join().unwrap()).sum();
        (drained, served)
    });
    assert!(served > 100, "{served} requests were served");
    let records = discovery.records();
    for (id, at) in arrivals.lock().unwrap().iter() {
        let Some(number) = id.split('-').next().and_then(|number| number.parse().ok()) else { continue };
        let notified = notified_at(&records, number, drained, 2);
        let late = at.saturating_duration_since(notified + GRACE);
        assert!(
            late <= SLACK,
            "{id} was sent there {late:?} after the grace period, {:?} after the drain",
            *at - drained
        );
    }
}

/// A full list on the watch itself is all that a new discovery address has to return: a second call would
/// delay other callers in its queue.
#[test]
fn a_new_discovery_address_takes_one_call_if_the_watch_starts_with_the_full_list() {
    let peer = Peer::serving("ok");
    let targets = vec![target("s-0", peer.address, "up")];
    let discovery = QueuedDiscovery::start(targets, Duration::from_millis(50));
    let config = sidecar_config(0, &[&peer], &discovery);
    let sidecar = Sidecar::start(&config);
    wait_for("the watch", || discovery.watching_clients() == 1);
    let called = |records: &[Record]| {
        records.iter().filter(|record| matches!(record.event, Event::Called(_))).count()
    };
    let before = called(&discovery.records());
    let mut moved = config.clone();
    moved["discovery"] = json!(discovery.address_for(1).to_string());
    sidecar.reload(&moved.to_string());
    wait_for("a list from the new address", || {
        discovery.records().iter().any(|record| record.client == 1 && record.event == Event::Written(1))
    });
    thread::sleep(Duration::from_secs(1));
    let records = discovery.records();
    assert_eq!(called(&records) - before, 1, "{records:?}");
}
