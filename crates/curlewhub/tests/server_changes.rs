//! New configurations that name another discovery server: which endpoints are used while the new server's list is not
//! known, or not known completely.

#[path = "support/mod.rs"]
mod support;

use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::crowded_discovery::*;
use support::*;

/// All that a newly named server has counts as notified this long after SIGHUP.
const NOTIFIED_AFTER: Duration = Duration::from_secs(4);
/// The grace of drains, and the tolerance that the protocol adds to every limit on sockets.
const GRACE: Duration = Duration::from_millis(250);
const TOLERANCE: Duration = Duration::from_millis(50);
/// The part of the requests that a fleet serves on while its discovery moves.
const MIN_SERVED: f64 = 0.95;
const CLIENTS: usize = 2;
const MODES: [&str; 2] = ["subscribe", "automatic"];

/// An endpoint that records when requests arrive.
struct RecordingPeer {
    peer: Peer,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl RecordingPeer {
    fn new() -> RecordingPeer {
        let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
        let recorded = arrivals.clone();
        let peer = Peer::new(move |_| {
            recorded.lock().unwrap().push(Instant::now());
            Action::ServeAfter(Duration::from_millis(5))
        });
        RecordingPeer { peer, arrivals }
    }

    fn target(&self, uid: &str) -> Value {
        target(uid, self.peer.address, "up")
    }

    fn arrivals_after(&self, at: Instant) -> usize {
        self.arrivals.lock().unwrap().iter().filter(|arrival| **arrival > at).count()
    }
}

/// The endpoints `s-0` to `s-3` behind one sidecar that follows `first`.
struct Fixture {
    peers: Vec<RecordingPeer>,
    first: CrowdedDiscovery,
    sidecar: Sidecar,
    config: Value,
}

impl Fixture {
    fn start(mode: &str) -> Fixture {
        Fixture::with_known_version(mode, 7)
    }

    /// As `start`, with this version of the list in the configuration.
    fn with_known_version(mode: &str, version: u64) -> Fixture {
        let peers: Vec<RecordingPeer> = (0..4).map(|_| RecordingPeer::new()).collect();
        let first = CrowdedDiscovery::start(targets(&peers, &[0, 1, 2, 3]), FirstLine::WholeList);
        let mut config = config_with_operator(&peers.iter().map(|peer| &peer.peer).collect::<Vec<_>>());
        config["discovery"] = json!(first.address.to_string());
        config["known"]["rev"] = json!(version);
        config["settings"]["discovery"] = json!(mode);
        config["settings"]["rules"]["drainGraceMs"] = json!(GRACE.as_millis() as f64);
        config["settings"]["rules"]["askWithinMs"] = json!(10000.0);
        let sidecar = Sidecar::start(&config);
        sidecar.wait_for_log("discovery watch opened");
        Fixture { peers, first, sidecar, config }
    }

    /// Replaces the configuration by one that names this server; returns the time of the signal.
    fn move_to(&self, server: &CrowdedDiscovery) -> Instant {
        let mut config = self.config.clone();
        config["discovery"] = json!(server.address.to_string());
        self.sidecar.reload(&config.to_string());
        Instant::now()
    }
}

/// The entries of these endpoints.
fn targets(peers: &[RecordingPeer], numbers: &[usize]) -> Vec<Value> {
    numbers.iter().map(|number| peers[*number].target(&format!("s-{number}"))).collect()
}

/// Whether a request was served, and when it was sent.
type Sent = (Instant, bool);

/// Sends requests from several clients while `during` runs; returns all of them.
fn with_load(sidecar: &Sidecar, during: impl FnOnce()) -> Vec<Sent> {
    let (stop, sent) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        let _stop = StopOnDrop(&stop);
        for number in 0..CLIENTS {
            let (stop, sent) = (&stop, &sent);
            scope.spawn(move || send_until_stopped(sidecar, number, stop, sent));
        }
        during();
    });
    sent.into_inner().unwrap()
}

fn send_until_stopped(sidecar: &Sidecar, number: usize, stop: &AtomicBool, sent: &Mutex<Vec<Sent>>) {
    let mut client = sidecar.client();
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let at = Instant::now();
        client.send(&request("quote", &format!("c{number}-{count}"), "1000m"));
        let answer = client.receive();
        sent.lock().unwrap().push((at, answer.as_ref().is_some_and(|answer| answer.status() == 200)));
        if answer.is_none_or(|answer| answer.header("connection") == "close") {
            client = sidecar.client();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Stops the clients even if the test panics: the scope waits for them.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn assert_served(sent: &[Sent], since: Instant, what: &str) {
    let after: Vec<bool> = sent.iter().filter(|(at, _)| *at > since).map(|(_, served)| *served).collect();
    let served = after.iter().filter(|served| **served).count();
    assert!(after.len() > 100, "{what}: {} requests", after.len());
    assert!(served as f64 >= MIN_SERVED * after.len() as f64, "{what}: {served} of {} served", after.len());
}

/// Guards against requests to endpoints that only the server before had named, for as long as the new server's whole list
/// is refused.
#[test]
fn endpoints_unknown_to_a_new_server_get_no_request_once_its_list_counts_as_notified() {
    let failures = [
        CallResult::RefusedAfter(Duration::from_secs(3)),
        CallResult::RefusedAfter(Duration::ZERO),
        CallResult::Reset,
        CallResult::Hanging,
    ];
    std::thread::scope(|scope| {
        for (mode, failure) in MODES.into_iter().flat_map(|mode| failures.map(|failure| (mode, failure))) {
            scope.spawn(move || {
                let fixture = Fixture::start(mode);
                let listed = targets(&fixture.peers, &[1, 2, 3]);
                let second = CrowdedDiscovery::start(listed, FirstLine::Changes(&["s-1", "s-2", "s-3"]));
                second.set_whole_list_calls(failure);
                let mut moved = Instant::now();
                let sent = with_load(&fixture.sidecar, || {
                    moved = fixture.move_to(&second);
                    // The server before closes its connections a little later.
                    sleep_until(moved + Duration::from_millis(1500));
                    fixture.first.end_watches();
                    sleep_until(moved + Duration::from_secs(12));
                });
                let late = fixture.peers[0].arrivals_after(moved + NOTIFIED_AFTER + GRACE + TOLERANCE);
                assert_eq!(late, 0, "{mode}, {failure:?}: requests to an endpoint that is gone");
                assert_served(&sent, moved, &format!("{mode}, {failure:?}"));
                assert!(second.whole_list_calls() > 0, "{mode}, {failure:?}: no call failed");
            });
        }
    });
}

/// Guards against an endpoint that stays in use because a later server change covers up the deadline of an earlier one.
#[test]
fn each_of_several_server_changes_ends_the_use_of_the_endpoints_that_only_servers_before_it_named() {
    std::thread::scope(|scope| {
        for mode in MODES {
            scope.spawn(move || {
                let fixture = Fixture::start(mode);
                let peers = &fixture.peers;
                let second = CrowdedDiscovery::start(
                    targets(peers, &[1, 2, 3]),
                    FirstLine::Changes(&["s-1", "s-2", "s-3"]),
                );
                let third =
                    CrowdedDiscovery::start(targets(peers, &[2, 3]), FirstLine::Changes(&["s-2", "s-3"]));
                for server in [&second, &third] {
                    server.set_whole_list_calls(CallResult::RefusedAfter(Duration::from_secs(2)));
                }
                let (mut first_move, mut second_move) = (Instant::now(), Instant::now());
                let sent = with_load(&fixture.sidecar, || {
                    first_move = fixture.move_to(&second);
                    sleep_until(first_move + Duration::from_secs(2));
                    second_move = fixture.move_to(&third);
                    sleep_until(second_move + Duration::from_secs(8));
                });
                let bound = NOTIFIED_AFTER + GRACE + TOLERANCE;
                assert_eq!(peers[0].arrivals_after(first_move + bound), 0, "{mode}: after the first move");
                assert_eq!(
                    peers[1].arrivals_after(second_move + bound),
                    0,
                    "{mode}: after the second move"
                );
                assert_served(&sent, first_move, mode);
            });
        }
    });
}

/// Guards against the use of a list of which a server that holds or refuses all calls has confirmed nothing.
#[test]
fn nothing_is_sent_by_the_list_of_the_server_before_while_the_new_one_refuses_all_calls() {
    let failures =
        [CallResult::RefusedAfter(Duration::from_secs(2)), CallResult::RefusedAfter(Duration::ZERO)];
    std::thread::scope(|scope| {
        for (mode, failure) in MODES.into_iter().flat_map(|mode| failures.map(|failure| (mode, failure))) {
            scope.spawn(move || {
                let fixture = Fixture::start(mode);
                let second =
                    CrowdedDiscovery::start(targets(&fixture.peers, &[0, 1, 2, 3]), FirstLine::WholeList);
                second.set_watch_calls(failure);
                second.set_whole_list_calls(failure);
                let (mut bound, mut answered) = (Instant::now(), Instant::now());
                with_load(&fixture.sidecar, || {
                    bound = fixture.move_to(&second) + NOTIFIED_AFTER + GRACE + TOLERANCE;
                    sleep_until(bound + Duration::from_secs(9));
                    second.set_watch_calls(CallResult::Answered);
                    answered = Instant::now();
                    wait_for("requests by the new list", || {
                        fixture.peers.iter().any(|peer| peer.arrivals_after(answered) > 0)
                    });
                });
                let arrivals = |at| fixture.peers.iter().map(|peer| peer.arrivals_after(at)).sum::<usize>();
                let late = arrivals(bound) - arrivals(answered);
                assert_eq!(late, 0, "{mode}, {failure:?}: requests by an unconfirmed list");
            });
        }
    });
}

/// Guards against requests to the former address of an endpoint that the new server names at another one.
#[test]
fn an_endpoint_that_the_new_server_names_at_another_address_gets_requests_only_there() {
    std::thread::scope(|scope| {
        for mode in MODES {
            scope.spawn(move || {
                let fixture = Fixture::start(mode);
                let returned = RecordingPeer::new();
                let mut listed = targets(&fixture.peers, &[1, 2, 3]);
                listed.push(returned.target("s-0"));
                let names = &["s-0", "s-1", "s-2", "s-3"];
                let second = CrowdedDiscovery::start(listed, FirstLine::Changes(names));
                second.set_whole_list_calls(CallResult::RefusedAfter(Duration::from_secs(2)));
                let mut moved = Instant::now();
                let sent = with_load(&fixture.sidecar, || {
                    moved = fixture.move_to(&second);
                    wait_for("requests at the other address", || returned.arrivals_after(moved) > 0);
                    sleep_until(moved + Duration::from_secs(6));
                });
                // The new address counts as notified when its line was written; the move's own deadline is later.
                let first_there = returned.arrivals.lock().unwrap()[0];
                let late = fixture.peers[0].arrivals_after(first_there + GRACE + TOLERANCE);
                assert_eq!(late, 0, "{mode}: requests at the former address");
                assert_served(&sent, moved, mode);
            });
        }
    });
}

/// Guards against endpoints that stay out of use after the crowd at the new server is over.
#[test]
fn the_whole_list_of_the_new_server_brings_endpoints_back_that_it_had_not_named() {
    std::thread::scope(|scope| {
        for mode in MODES {
            scope.spawn(move || {
                let fixture = Fixture::start(mode);
                let second = CrowdedDiscovery::start(
                    targets(&fixture.peers, &[0, 1, 2, 3]),
                    FirstLine::Changes(&["s-2"]),
                );
                second.set_whole_list_calls(CallResult::RefusedAfter(Duration::from_millis(500)));
                let mut moved = Instant::now();
                let sent = with_load(&fixture.sidecar, || {
                    moved = fixture.move_to(&second);
                    fixture.sidecar.wait_for_log("list restricted");
                    sleep_until(moved + NOTIFIED_AFTER + GRACE + TOLERANCE);
                    let restricted = Instant::now();
                    sleep_until(restricted + Duration::from_millis(500));
                    for unnamed in [0, 1, 3] {
                        assert_eq!(
                            fixture.peers[unnamed].arrivals_after(restricted),
                            0,
                            "{mode}: s-{unnamed}"
                        );
                    }
                    second.set_whole_list_calls(CallResult::Answered);
                    let answered = Instant::now();
                    wait_for("requests to all endpoints", || {
                        fixture.peers.iter().all(|peer| peer.arrivals_after(answered) > 0)
                    });
                });
                assert_served(&sent, moved, mode);
            });
        }
    });
}

/// Guards against a fleet whose sidecars all request the whole list of a new server that begins with changes after the
/// list of their configuration, and against one server's version 0 being taken for another's.
#[test]
fn changes_after_version_0_cover_the_list_of_the_configuration_unless_they_contradict_it() {
    // The changes name what has changed, or entries that have not.
    let first_lines: [&[&str]; 2] = [&["s-0"], &["s-1", "s-2", "s-3"]];
    std::thread::scope(|scope| {
        for (mode, named) in MODES.into_iter().flat_map(|mode| first_lines.map(|named| (mode, named))) {
            scope.spawn(move || {
                let fixture = Fixture::with_known_version(mode, 0);
                let mut listed = targets(&fixture.peers, &[0, 1, 2, 3]);
                listed[0]["state"] = json!("removed");
                let second = CrowdedDiscovery::start(listed, FirstLine::Changes(named));
                second.set_whole_list_calls(CallResult::RefusedAfter(Duration::from_secs(2)));
                let mut moved = Instant::now();
                let sent = with_load(&fixture.sidecar, || {
                    moved = fixture.move_to(&second);
                    sleep_until(moved + Duration::from_secs(8));
                });
                let late = fixture.peers[0].arrivals_after(moved + NOTIFIED_AFTER + GRACE + TOLERANCE);
                assert_eq!(late, 0, "{mode}, {named:?}: requests to an endpoint that is gone");
                assert_served(&sent, moved, &format!("{mode}, {named:?}"));
                let is_covered = named == ["s-0"];
                assert_eq!(second.whole_list_calls() == 0, is_covered, "{mode}, {named:?}: calls");
                let bound = moved + NOTIFIED_AFTER + GRACE + TOLERANCE;
                let used = fixture.peers[1..].iter().all(|peer| peer.arrivals_after(bound) > 0);
                assert!(used, "{mode}, {named:?}: the others go on");
            });
        }
    });
}
