//! Replacing a running sidecar process by a successor that is started beside it.

#[path = "support/mod.rs"]
mod support;

use serde_json::{Value, json};
use std::os::unix::net::UnixListener;
use support::crowded_discovery::{CallResult, CrowdedDiscovery, FirstLine};
use support::discovery::Discovery;
use support::*;

/// A configuration for these endpoints with a discovery service that answers.
fn with_discovery(peers: &[&Peer]) -> (Value, Discovery) {
    let mut config = config_with_operator(peers);
    let entry = |(n, peer): (usize, &&Peer)| target(&format!("s-{n}"), peer.address, "up");
    let entries: Vec<Value> = peers.iter().enumerate().map(entry).collect();
    let discovery = Discovery::new(list(8, true, &entries));
    config["discovery"] = json!(discovery.address.to_string());
    (config, discovery)
}

#[test]
fn upgrades_under_load_refuse_no_connection_and_lose_no_request() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&[&peer]);
    let first = Sidecar::start(&config);
    let load = Load::start(&first, 6);
    // Dropping the first process removes the shared state directory: all are kept until the end.
    let mut all = vec![first];
    for _ in 0..3 {
        let next = all[all.len() - 1].successor(&config);
        wait_for("the successor's yes", || next.call("PING") == "YES\n");
        let old = all.last_mut().unwrap();
        old.wait_for_log("a successor has come");
        old.signal("-TERM");
        assert!(old.wait_for_exit().success());
        wait_for("its use", || next.metric("success.quote") > 0);
        assert_eq!(next.metric("failure.quote"), 0);
        all.push(next);
    }
    assert!(load.stop() > 0);
}

#[test]
fn bans_survive_upgrades_also_those_made_during_the_overlap() {
    let peers = [Peer::serving("ok"), Peer::serving("ok"), Peer::serving("ok"), Peer::serving("ok")];
    let (config, _discovery) = with_discovery(&peers.each_ref());
    let mut old = Sidecar::start(&config);
    assert_eq!(old.call("DETACH s-0"), "YES\n");
    let next = old.successor(&config);
    wait_for("the successor's yes", || next.call("PING") == "YES\n");
    assert_eq!(old.call("DETACH s-1"), "YES\n", "sent to the old process");
    assert_eq!(next.call("DETACH s-2"), "YES\n", "sent to the new process");
    for sidecar in [&old, &next] {
        assert_eq!(sidecar.metric("hosts_down"), 3);
    }
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    let load = |tag: &str| {
        (0..20).for_each(|n| assert_eq!(next.send_request("quote", &format!("{tag}{n}")).status(), 200))
    };
    load("a");
    assert_eq!(peers.each_ref().map(Peer::request_count)[..3], [0, 0, 0]);
    assert_eq!(next.call("ATTACH s-1"), "YES\n");
    wait_for("its use", || {
        load("b");
        peers[1].request_count() > 0
    });
    assert_eq!((peers[0].request_count(), peers[2].request_count()), (0, 0));
    // The next upgrade keeps the bans too; one is lifted during the overlap.
    let last = next.successor(&config);
    wait_for("the successor's yes", || last.call("PING") == "YES\n");
    assert_eq!(last.metric("hosts_down"), 2);
    assert_eq!(next.call("ATTACH s-0"), "YES\n");
    assert_eq!(last.metric("hosts_down"), 1);
}

#[test]
fn a_start_after_a_kill_succeeds_and_keeps_the_bans() {
    let peers = [Peer::serving("ok"), Peer::serving("ok")];
    let (config, _discovery) = with_discovery(&peers.each_ref());
    let mut old = Sidecar::start(&config);
    assert_eq!(old.call("DETACH s-0"), "YES\n");
    old.signal("-KILL");
    old.wait_for_exit();
    let mut next = old.successor(&config);
    wait_for("its yes", || next.call("PING") == "YES\n");
    assert_eq!(next.send_request("quote", "r1").status(), 200);
    assert_eq!(next.metric("hosts_down"), 1);
    next.signal("-KILL");
    next.wait_for_exit();
    // With corrupt files it still starts, without bans.
    for file in std::fs::read_dir(old.state_dir()).unwrap() {
        std::fs::write(file.unwrap().path(), "{").ok();
    }
    let next = old.successor(&config);
    wait_for("its yes", || next.call("PING") == "YES\n");
    assert_eq!(next.metric("hosts_down"), 0);
}

#[test]
fn a_successor_of_a_hung_process_starts_by_sharing_the_port() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&[&peer]);
    let old = Sidecar::start(&config);
    // A socket that never answers takes the place of the handover socket.
    let mut files = std::fs::read_dir(old.state_dir()).unwrap().map(|file| file.unwrap().path());
    let path = files.find(|path| path.extension().is_some_and(|e| e == "sock")).unwrap();
    std::fs::remove_file(&path).unwrap();
    let _hung = UnixListener::bind(&path).unwrap();
    let next = old.successor(&config);
    wait_for("its yes", || next.call("PING") == "YES\n");
}

#[test]
fn the_first_process_keeps_serving_when_its_successor_dies() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&[&peer]);
    let old = Sidecar::start(&config);
    let next = old.successor(&config);
    wait_for("its yes", || next.call("PING") == "YES\n");
    drop(next);
    wait_for("that to be known", || old.log().contains("successor has gone"));
    for n in 0..20 {
        assert_eq!(old.send_request("quote", &format!("r{n}")).status(), 200);
    }
    let next = old.successor(&config);
    wait_for("another one's yes", || next.call("PING") == "YES\n");
}

#[test]
fn a_successor_is_not_ready_before_its_list_is_fresh() {
    let peer = Peer::serving("ok");
    let mut config = config_with_operator(&[&peer]);
    let at = unused_address();
    config["discovery"] = json!(at.to_string());
    let old = Sidecar::start(&config);
    let next = old.successor(&config);
    assert!(next.call("PING").starts_with("NO"), "discovery is not there yet");
    let entries = [target("s-0", peer.address, "up"), target("s-1", unused_address(), "up")];
    let _discovery = Discovery::at(at, list(8, true, &entries));
    wait_for("its yes", || next.call("PING") == "YES\n");
    assert_eq!(next.metric("hosts_listed"), 2);
}

/// Starts a successor while discovery is down. Before that the predecessor was notified that `s-0` drains and `s-1` is
/// removed. Returns the endpoints, discovery, the predecessor, which has exited and keeps the state directory, and the
/// successor.
fn successor_without_discovery(first_line: FirstLine) -> ([Peer; 3], CrowdedDiscovery, Sidecar, Sidecar) {
    let peers = [Peer::serving("ok"), Peer::serving("ok"), Peer::serving("ok")];
    let mut config = config_with_operator(&peers.each_ref());
    let entries: Vec<Value> = config["known"]["targets"].as_array().unwrap().clone();
    let discovery = CrowdedDiscovery::start(entries, first_line);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["rules"]["askWithinMs"] = json!(10000.0);
    let mut old = Sidecar::start(&config);
    old.wait_for_log("discovery watch opened");
    let leaving = [target("s-0", peers[0].address, "draining"), target("s-1", peers[1].address, "removed")];
    discovery.send_changes(2, &leaving);
    wait_for("both to leave", || old.log().matches("endpoint leaves").count() == 2);
    discovery.set_watch_calls(CallResult::Reset);
    discovery.set_whole_list_calls(CallResult::Reset);
    let next = old.successor(&config);
    wait_for("the successor's yes", || next.call("PING") == "YES\n");
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    (peers, discovery, old, next)
}

/// Guards against a successor that starts while discovery is down, and sends to endpoints whose drain its predecessor was
/// notified of, because it has only the list of its configuration.
#[test]
fn a_successor_without_discovery_uses_no_endpoint_that_its_predecessor_knew_to_drain() {
    let (peers, _discovery, _old, next) = successor_without_discovery(FirstLine::WholeList);
    let before = peers.each_ref().map(Peer::request_count);
    for number in 0..40 {
        assert_eq!(next.send_request("quote", &format!("r{number}")).status(), 200);
    }
    let after = peers.each_ref().map(Peer::request_count);
    assert_eq!(after[..2], before[..2], "requests to endpoints that have left");
}

/// Guards against endpoints that a successor leaves out of use for good, because discovery, once it is back, begins the
/// watch with changes that do not name them.
#[test]
fn once_discovery_is_back_a_successor_uses_all_that_its_whole_list_names() {
    for first_line in [FirstLine::WholeList, FirstLine::Changes(&[])] {
        let (peers, discovery, _old, next) = successor_without_discovery(first_line);
        discovery.set_watch_calls(CallResult::Answered);
        discovery.set_whole_list_calls(CallResult::Answered);
        wait_for("the use of all that it lists", || {
            next.send_request("quote", "again");
            next.log().contains("list restricted") && peers.iter().all(|peer| peer.request_count() > 0)
        });
    }
}
