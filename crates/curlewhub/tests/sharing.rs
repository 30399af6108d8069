//! Two processes of one sidecar during an overlap: how they split the shares, and what happens to these when one ends.

mod support;

use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, IoSlice, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread::JoinHandle;
use support::discovery::Discovery;
use support::*;

/// A configuration for one endpoint with a discovery service that answers.
fn with_discovery(peer: &Peer) -> (Value, Discovery) {
    let mut config = config_with_operator(&[peer]);
    let discovery = Discovery::new(list(8, true, &[target("s-0", peer.address, "up")]));
    config["discovery"] = json!(discovery.address.to_string());
    (config, discovery)
}

/// A sidecar and its ready successor, under load.
fn pair(config: &Value) -> (Sidecar, Sidecar, Load) {
    let old = Sidecar::start(config);
    assert_eq!(old.metric("share_parts"), 64, "a single process holds all parts");
    let load = Load::start(&old, 4);
    let new = old.successor(config);
    wait_for("the successor's yes", || new.call("PING") == "YES\n");
    (old, new, load)
}

#[test]
fn two_processes_share_and_the_new_one_takes_all_parts_when_the_old_one_ends() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let (mut old, new, load) = pair(&config);
    wait_for("shares", || (1..64).contains(&old.metric("share_parts")) && new.metric("share_parts") > 0);
    new.wait_for_log("restored=true");
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    wait_for("all", || new.metric("share_parts") == 64);
    assert!(load.stop() > 0);
}

#[test]
fn the_new_process_takes_all_parts_when_the_old_one_is_killed_during_the_overlap() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let old = Sidecar::start(&config);
    let new = old.successor(&config);
    wait_for("shares", || (1..64).contains(&new.metric("share_parts")));
    old.signal("-KILL");
    wait_for("all", || new.metric("share_parts") == 64);
    assert_eq!(new.send_request("quote", "r1").status(), 200);
}

#[test]
fn the_old_process_takes_all_parts_back_when_the_new_one_is_killed_during_the_overlap() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let old = Sidecar::start(&config);
    let mut new = old.successor(&config);
    wait_for("shares", || (1..64).contains(&old.metric("share_parts")));
    new.signal("-KILL");
    new.wait_for_exit();
    wait_for("all", || old.metric("share_parts") == 64);
    assert_eq!(old.send_request("quote", "r1").status(), 200);
}

#[test]
fn a_process_stopped_during_the_overlap_loses_its_parts() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let old = Sidecar::start(&config);
    let new = old.successor(&config);
    wait_for("shares", || (1..64).contains(&new.metric("share_parts")));
    assert_eq!(
        old.metric("share_parts") + new.metric("share_parts"),
        64,
        "without load no part moves between the two reads"
    );
    old.signal("-STOP");
    wait_for("all", || new.metric("share_parts") == 64);
    new.wait_for_log("does not share, or not any more");
    old.signal("-CONT");
    wait_for("the old one to answer again", || {
        old.try_call("PING\n").is_ok_and(|said| said.starts_with("YES"))
    });
    wait_for("the old one to go on too", || old.metric("share_parts") == 64);
}

/// A scripted predecessor: it hands over what every version hands over, then runs `rest` on the connection.
fn scripted(first: &Sidecar, rest: impl FnOnce(UnixStream) + Send + 'static) -> JoinHandle<()> {
    let at = first.address;
    let path = first.state_dir().join(format!("curlewhub-handover-{}-{}.sock", at.ip(), at.port()));
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(path).unwrap();
    let clients = TcpListener::bind("127.0.0.1:0").unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut message = SendAncillaryBuffer::new(&mut space);
        let sockets = [clients.as_fd()];
        assert!(message.push(SendAncillaryMessage::ScmRights(&sockets)));
        sendmsg(&stream, &[IoSlice::new(b"L")], &mut message, SendFlags::empty()).unwrap();
        stream.write_all(b"SPARE 200\n").unwrap();
        rest(stream);
    })
}

/// A sidecar that was killed after it had written its snapshot.
fn killed(config: &Value) -> Sidecar {
    let mut first = Sidecar::start(config);
    assert_eq!(first.send_request("quote", "l1").status(), 200);
    wait_for("the file", || first.metric("snapshot_ok") > 0);
    first.signal("-KILL");
    first.wait_for_exit();
    first
}

#[test]
fn the_snapshot_file_is_used_when_the_predecessor_dies_before_handing_its_state_over() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let first = killed(&config);
    let before = scripted(&first, |stream| {
        // It reads until it is asked for its learned state, and then ends.
        let asked = BufReader::new(&stream).lines().map_while(Result::ok).any(|line| line == "LEARN");
        assert!(asked);
    });
    let new = first.successor(&config);
    wait_for("its yes", || new.call("PING") == "YES\n");
    before.join().unwrap();
    let line = new.wait_for_log("snapshot: read");
    assert!(line.contains("from=\"file\"") && line.contains("restored=true"), "{line}");
    wait_for("all", || new.metric("share_parts") == 64);
}

#[test]
fn a_predecessor_that_does_not_share_does_not_delay_the_successor() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let first = killed(&config);
    let before = scripted(&first, |stream| {
        // It reads without answering until the successor closes the connection.
        assert!(BufReader::new(&stream).lines().map_while(Result::ok).count() > 0);
    });
    let mut new = first.successor(&config);
    wait_for("its yes", || new.call("PING") == "YES\n");
    wait_for("all", || new.metric("share_parts") == 64);
    new.wait_for_log("does not share");
    new.signal("-KILL");
    new.wait_for_exit();
    before.join().unwrap();
}

#[test]
fn an_endless_handover_line_is_not_buffered() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let first = killed(&config);
    let before = scripted(&first, |mut stream| {
        // Longer than any line may be: the successor closes the connection instead of buffering it.
        let piece = vec![b'x'; 1 << 20];
        assert!((0..256).any(|_| stream.write_all(&piece).is_err()), "it took 256 MiB of one line");
    });
    let new = first.successor(&config);
    wait_for("its yes", || new.call("PING") == "YES\n");
    before.join().unwrap();
    wait_for("all", || new.metric("share_parts") == 64);
}

#[test]
fn failed_writes_of_keys_are_counted_and_traffic_goes_on() {
    let peer = Peer::serving("ok");
    let mut config = config_with_operator(&[&peer]);
    config["settings"]["classes"][2]["group"] = json!("zone");
    let sidecar = Sidecar::start_with(&config, "TMPDIR=/nonexistent/curlewhub");
    assert_eq!(sidecar.send_request("pay", "p1").status(), 200);
    sidecar.wait_for_log("keys: no journal");
    assert_eq!((sidecar.metric("keys_failed"), sidecar.metric("keys")), (1, 1));
}
