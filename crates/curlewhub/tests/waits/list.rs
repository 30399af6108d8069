//! Runs the built sidecar with its list of endpoints: configured at start, watched, drained.

use super::support::discovery::Discovery;
use super::support::*;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Starts a sidecar that has this peer in its initial list and watches this discovery server.
fn start_with_discovery(peer: &Peer, discovery: &Discovery, mode: &str) -> Sidecar {
    let mut config = config(&[peer]);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["discovery"] = json!(mode);
    Sidecar::start(&config)
}

#[test]
fn the_configured_list_is_used_while_discovery_is_down() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer])); // its discovery refuses connections
    assert_eq!(sidecar.send_request("book", "r1").status(), 200);
}

#[test]
fn a_drain_stops_new_requests_and_closes_idle_connections() {
    for (mode, state) in [("subscribe", "draining"), ("automatic", "removed")] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let discovery = Discovery::new(list(8, false, &[]));
        let sidecar = start_with_discovery(&old, &discovery, mode);
        assert_eq!(sidecar.send_request("book", "r1").body, b"old");
        discovery.send_line(&list(9, false, &[target("s-new", new.address, "up")]).to_string());
        discovery.send_line(&list(10, false, &[target("s-0", old.address, state)]).to_string());
        wait_for("the idle connection to end", || old.closed_by_sidecar() == 1);
        let before = old.request_count();
        for n in 0..20 {
            assert_eq!(sidecar.send_request("book", &format!("s{n}")).body, b"new");
        }
        assert_eq!(old.request_count(), before, "a new request was sent there");
    }
}

#[test]
fn a_drain_in_a_truncated_line_is_applied_at_once() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, false, &[target("s-new", new.address, "up")]));
    let sidecar = start_with_discovery(&old, &discovery, "subscribe");
    wait_for("a response from the old endpoint", || sidecar.send_request("book", "r1").body == b"old");
    let changes = [target("s-0", old.address, "draining"), target("s-new", new.address, "removed")];
    let truncated = list(11, false, &changes).to_string();
    discovery.send_partial_line(&truncated[..truncated.len() - 5]);
    wait_for("the idle connection to end", || old.closed_by_sidecar() >= 1);
    for n in 0..20 {
        assert_eq!(
            sidecar.send_request("book", &format!("s{n}")).body,
            b"new",
            "the removal was not received completely"
        );
    }
    wait_for("a second watch", || discovery.calls().len() == 2);
    assert_eq!(discovery.calls()[1], "/api/targets?watch=1&after=8", "the rest is requested");
}

#[test]
fn an_endpoint_that_changes_its_address_is_used_at_the_new_one() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = start_with_discovery(&old, &discovery, "subscribe");
    assert_eq!(sidecar.send_request("book", "r1").body, b"old");
    discovery.send_line(&list(9, false, &[target("s-0", new.address, "up")]).to_string());
    wait_for("the old address's connection to end", || old.closed_by_sidecar() == 1);
    assert_eq!(sidecar.send_request("book", "r2").body, b"new");
}

#[test]
fn an_endpoint_missing_from_a_full_list_is_removed() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, true, &[target("s-new", new.address, "up")]));
    let sidecar = start_with_discovery(&old, &discovery, "subscribe");
    wait_for("the new list", || sidecar.send_request("quote", "r").body == b"new");
    for n in 0..10 {
        assert_eq!(sidecar.send_request("book", &format!("r{n}")).body, b"new");
    }
}

#[test]
fn a_silent_watch_is_reopened_from_the_last_version() {
    for mode in ["subscribe", "automatic"] {
        let peer = Peer::serving("ok");
        let discovery = Discovery::new(list(8, false, &[])); // it never sends empty lines
        let sidecar = start_with_discovery(&peer, &discovery, mode);
        wait_for("the first watch", || discovery.calls().len() == 1);
        assert_eq!(discovery.calls()[0], "/api/targets?watch=1&after=7", "from the known version");
        discovery.send_line(&list(12, false, &[]).to_string());
        wait_for("a second watch", || discovery.calls().len() == 2);
        assert_eq!(discovery.calls()[1], "/api/targets?watch=1&after=12");
        assert_eq!(sidecar.send_request("quote", "r").status(), 200);
    }
}

#[test]
fn a_watch_with_an_invalid_line_is_reopened() {
    for mode in ["subscribe", "automatic"] {
        let peer = Peer::serving("ok");
        let discovery = Discovery::new(list(8, false, &[]));
        let sidecar = start_with_discovery(&peer, &discovery, mode);
        wait_for("the first watch", || discovery.calls().len() == 1);
        discovery.send_line("{\"rev\":9,\"all\":false,\"targets\":[{\"uid\":7}]}");
        wait_for("a second watch", || discovery.calls().len() == 2);
        assert_eq!(discovery.calls()[1], "/api/targets?watch=1&after=8", "the change was not skipped");
        assert_eq!(sidecar.send_request("quote", "r").status(), 200);
    }
}

#[test]
fn a_watch_kept_alive_by_empty_lines_stays_open() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let _sidecar = start_with_discovery(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    for _ in 0..14 {
        thread::sleep(std::time::Duration::from_millis(500));
        discovery.send_line("");
    }
    assert_eq!(discovery.calls().len(), 1);
}

#[test]
fn state_of_endpoints_with_changing_ids_is_released() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = start_with_discovery(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    let mut old = "s-0".to_owned();
    for n in 0..200 {
        // Each new endpoint has the address of the removed one.
        let new = format!("n-{n}");
        let change = [target(&new, peer.address, "up"), target(&old, peer.address, "removed")];
        discovery.send_line(&list(9 + n, false, &change).to_string());
        assert_eq!(sidecar.send_request("book", &format!("r{n}")).status(), 200);
        old = new;
    }
    let summaries = || sidecar.log().lines().filter(|line| line.contains("summary")).count();
    let before = summaries();
    wait_for("a summary after the last change", || summaries() > before);
    let log = sidecar.log();
    let last = log.lines().rfind(|line| line.contains("summary")).unwrap();
    assert!(last.contains("listed=1 names=1 idle="), "{last}");
}

#[test]
fn a_new_endpoint_at_a_reused_address_gets_new_connections() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = start_with_discovery(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    assert_eq!(sidecar.send_request("book", "r1").status(), 200);
    let change = [target("s-new", peer.address, "up"), target("s-0", peer.address, "removed")];
    discovery.send_line(&list(9, false, &change).to_string());
    wait_for("the connection to the old endpoint to end", || peer.closed_by_sidecar() == 1);
    assert_eq!(sidecar.send_request("book", "r2").status(), 200);
    assert_eq!(peer.connections.load(std::sync::atomic::Ordering::SeqCst), 2);
}

#[test]
fn a_truncated_list_is_not_applied() {
    let [first, second] = [Peer::serving("ok"), Peer::serving("ok")];
    let entry = |n: usize, peer: &Peer| target(&format!("s-{n}"), peer.address, "up");
    let short = list(9, true, &[entry(0, &first)]).to_string();
    let half = &short[..short.len() - 2];
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cuts = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", short.len()),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", half.len()),
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{half}"),
        format!("{chunked}{}", chunk(half)),
        format!("{chunked}{}0\r\n\r\n", chunk(half)),
        format!("{chunked}{}", chunk(&format!("{half}\n"))),
        format!("{chunked}ffff\r\n{short}"),
    ];
    // On a watch the last case is a complete line, although its chunk never ends.
    let on_a_watch = cuts[..cuts.len() - 1].to_vec();
    let changes = format!("{}\n", list(9, false, &[]));
    let watch = format!("{chunked}{}", chunk(&changes));
    let targets = [target("s-0", first.address, "up"), target("s-1", second.address, "up")];
    let good = list(10, true, &targets).to_string();
    std::thread::scope(|scope| {
        for (cuts, on_full_lists) in [(on_a_watch, false), (cuts.to_vec(), true)] {
            let (peers, watch, good) = ([&first, &second], watch.clone(), good.clone());
            scope.spawn(move || {
                let asked = Arc::new(AtomicUsize::new(0));
                let discovery = {
                    let (asked, cuts) = (asked.clone(), cuts.clone());
                    // Closes after each truncated list. When the watch of a new server starts with changes,
                    // the full list still has to be fetched.
                    Peer::new(move |message| {
                        if on_full_lists && message.target().contains("watch") {
                            return Action::Write(watch.clone());
                        }
                        let n = asked.fetch_add(1, Ordering::SeqCst);
                        match cuts.get(n) {
                            Some(cut) => Action::WriteAndClose(cut.clone()),
                            None if on_full_lists => Action::WriteAndClose(answer("200 OK", "", &good)),
                            None => Action::Write(format!("{chunked}{}", chunk(&format!("{good}\n")))),
                        }
                    })
                };
                let mut config = config_with_operator(&peers);
                let sidecar = Sidecar::start(&config);
                assert_eq!(sidecar.metric("hosts_listed"), 2);
                config["discovery"] = json!(discovery.address.to_string());
                sidecar.reload(&config.to_string());
                wait_for("each truncated list", || {
                    assert_eq!(sidecar.metric("hosts_listed"), 2, "the list changed");
                    asked.load(Ordering::SeqCst) >= cuts.len()
                });
                // Four seconds after the reload the list of the new server counts as notified: a valid list
                // is needed.
                wait_for("requests by a complete list", || {
                    sidecar.send_request("book", "r1").status() == 200
                });
                assert_eq!(sidecar.metric("hosts_listed"), 2);
            });
        }
    });
}

#[test]
fn implausible_entries_are_logged_and_fail_no_request() {
    let (peer, other) = (Peer::serving("ok"), Peer::serving("ok"));
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = start_with_discovery(&peer, &discovery, "subscribe");
    let mut future = target("s-future", other.address, "up");
    future["boot_ms"] = json!(4e15);
    let [first, last] = ["draining", "up"].map(|state| target("s-0", peer.address, state));
    discovery.send_line(&list(9, false, &[future, first, last]).to_string());
    for (text, of) in [("in the future", ["s-future", "boot_ms"]), ("there twice", ["s-0", "uid"])] {
        let line = sidecar.wait_for_log(text);
        assert!(of.iter().all(|word| line.contains(word)), "{line}");
    }
    assert!((0..20).all(|n| sidecar.send_request("book", &format!("r{n}")).status() == 200));
    for (rev, targets, status) in [(10, vec![], 503), (11, vec![target("s-0", peer.address, "up")], 200)] {
        discovery.send_line(&list(rev, true, &targets).to_string());
        wait_for("an empty list, then a good one", || sidecar.send_request("book", "e").status() == status);
    }
}
