//! The built sidecar when system calls of its own machine fail: no endpoint is blamed for that, and a broken connection
//! costs only the request that was on it.

#[path = "support/mod.rs"]
mod support;

use curlewhub_fault_schedule::{Call, Entry, Errno, Injection, Origin, Schedule, Strikes, Switch, Target};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::*;

const AGED_LOG: &str = "aged connections are reset";
/// Longer than a connection must be idle to count as aged, with a margin.
const AGING_TIME: Duration = Duration::from_millis(150);

/// A sidecar with fault injection into its system calls, and the endpoints that it calls.
struct Bench {
    sidecar: Sidecar,
    injection: Injection,
    peers: Vec<Peer>,
    folder: std::path::PathBuf,
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Bench {
    /// Starts with one fault that is off until it is switched on.
    fn with(name: &str, entry: impl FnOnce(Vec<SocketAddr>) -> Entry) -> Bench {
        let folder = std::env::temp_dir().join(format!("curlewhub-local-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let peers: Vec<Peer> = (0..4).map(|_| Peer::serving("ok")).collect();
        let entry = entry(peers.iter().map(|peer| peer.address).collect());
        let program = Some("curlewhub".to_owned());
        let schedule = Schedule { seed: 1, program, origin: Origin::Activation, entries: vec![entry] };
        let injection = Injection::new(&schedule, &folder, "sidecar").unwrap();
        let config = config_with_operator(&peers.iter().collect::<Vec<_>>());
        let sidecar = Sidecar::start_with(&config, &injection.shell_prefix());
        Bench { sidecar, injection, peers, folder }
    }

    fn switch(&self, switch: Switch) {
        self.injection.switch(0, switch).unwrap();
    }

    /// Sends a request on a new connection; `None` if the connection ended without an answer.
    fn ask(&self, id: &str) -> Option<u16> {
        let mut client = Client::connect(self.sidecar.address).expect("it accepts");
        client.send(&request("book", id, "2000m"));
        client.receive().map(|answer| answer.status())
    }

    /// Sends requests until the fault has struck this often; returns the number sent and the number unanswered.
    fn ask_until_struck(&self, times: u64) -> (usize, usize) {
        let (mut asked, mut unanswered) = (0, 0);
        wait_for("the fault", || {
            asked += 1;
            unanswered += usize::from(self.ask(&format!("s{asked}")).is_none());
            self.injection.struck(0).unwrap() >= times
        });
        (asked, unanswered)
    }
}

fn connecting(errno: Errno) -> impl FnOnce(Vec<SocketAddr>) -> Entry {
    move |peers| Entry { target: Target::Connected(peers), ..Entry::fails(&[Call::Connect], errno) }
}

fn reading(target: Target, errno: Errno, strikes: Strikes) -> Entry {
    Entry { target, strikes, ..Entry::fails(&[Call::Recv], errno) }
}

/// No connection is open when the fault begins, and none can be opened for 3 s.
fn nobody_is_ejected(name: &str, errno: Errno) {
    let bench = Bench::with(name, connecting(errno));
    bench.switch(Switch::On);
    let (began, mut asked) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_secs(3) {
        asked += 1;
        assert_eq!(bench.ask(&format!("d{asked}")), Some(503), "refused: it may be tried again");
        assert_eq!(bench.sidecar.metric("hosts_down"), 0, "after {asked} requests");
    }
    let struck = bench.injection.struck(0).unwrap();
    assert!(struck >= asked, "each was tried");
    assert!(struck <= asked * 4, "at most as often as the limit of attempts allows: {struck} for {asked}");
    bench.switch(Switch::Off);
    for n in 0..20 {
        assert_eq!(bench.ask(&format!("a{n}")), Some(200), "served again at once");
    }
}

#[test]
fn without_a_port_no_endpoint_is_ejected_and_service_is_back() {
    nobody_is_ejected("port", Errno::Eaddrnotavail);
}

#[test]
fn without_a_route_no_endpoint_is_ejected_and_service_is_back() {
    nobody_is_ejected("route", Errno::Enetunreach);
}

#[test]
fn without_buffers_no_endpoint_is_ejected_and_service_is_back() {
    nobody_is_ejected("buffers", Errno::Enobufs);
}

#[test]
fn a_fault_that_ends_before_the_retries_do_fails_no_request() {
    let bench = Bench::with("moment", |peers| Entry {
        at_most: Some(2),
        ..connecting(Errno::Eaddrnotavail)(peers)
    });
    bench.switch(Switch::On);
    assert_eq!(bench.ask("one"), Some(200));
    assert_eq!(bench.injection.struck(0).unwrap(), 2);
}

#[test]
fn interrupted_calls_lose_no_request_and_mark_no_connection_as_aged() {
    let strikes = Strikes::EveryNth(2);
    let bench = Bench::with("interrupts", |_| Entry {
        strikes,
        ..Entry::fails(&[Call::Recv, Call::Send], Errno::Eintr)
    });
    bench.switch(Switch::On);
    let mut client = Client::connect(bench.sidecar.address).unwrap();
    for n in 0..20 {
        assert_eq!(client.send_request("book", &format!("i{n}")).status(), 200);
        std::thread::sleep(AGING_TIME);
    }
    assert!(bench.injection.struck(0).unwrap() >= 40);
    assert!(!bench.sidecar.log().contains(AGED_LOG), "{}", bench.sidecar.log());
}

#[test]
fn only_resets_by_the_endpoint_count_against_aged_connections() {
    for (errno, taught) in [(Errno::Econnreset, true), (Errno::Enomem, false), (Errno::Ehostunreach, false)]
    {
        // The check of an idle connection succeeds, and the read of an answer fails now and then.
        let every = Strikes::EveryNth(4);
        let name = format!("aged-{errno:?}");
        let bench = Bench::with(&name, |peers| reading(Target::Connected(peers), errno, every));
        bench.switch(Switch::On);
        for n in 0..16 {
            assert!(bench.ask(&format!("b{n}")).is_some(), "answered as failed, and answered");
            std::thread::sleep(AGING_TIME);
        }
        assert!(bench.injection.struck(0).unwrap() >= 8);
        assert_eq!(bench.sidecar.log().contains(AGED_LOG), taught, "{errno:?}: {}", bench.sidecar.log());
    }
}

#[test]
fn a_fault_of_this_machine_turns_no_calls_away_from_the_endpoint_that_it_struck() {
    let bench = Bench::with("struck", |peers| Entry {
        at_most: Some(1),
        ..connecting(Errno::Enobufs)(peers[..1].to_vec())
    });
    bench.switch(Switch::On);
    let (asked, unanswered) = bench.ask_until_struck(1);
    assert_eq!(unanswered, 0, "of {asked}");
    let before = bench.peers[0].request_count();
    for n in 0..60 {
        assert_eq!(bench.ask(&format!("t{n}")), Some(200));
    }
    assert!(bench.peers[0].request_count() > before, "one of four endpoints that nothing tells apart");
}

#[test]
fn a_broken_connection_to_an_endpoint_leaves_no_client_unanswered() {
    for (name, errno) in [("e-host", Errno::Ehostunreach), ("e-time", Errno::Etimedout)] {
        let every = Strikes::EveryNth(5);
        let bench = Bench::with(name, |peers| reading(Target::Connected(peers), errno, every));
        bench.switch(Switch::On);
        let (asked, unanswered) = bench.ask_until_struck(20);
        assert_eq!(unanswered, 0, "{errno:?}: of {asked}");
    }
}

#[test]
fn a_broken_client_connection_affects_only_that_client() {
    for (name, errno) in [("c-host", Errno::Ehostunreach), ("c-time", Errno::Etimedout)] {
        let every = Strikes::EveryNth(5);
        let bench = Bench::with(name, |_| reading(Target::Accepted, errno, every));
        bench.switch(Switch::On);
        let (asked, unanswered) = bench.ask_until_struck(20);
        let struck = bench.injection.struck(0).unwrap();
        eprintln!("{errno:?}: of {asked} unanswered {unanswered}, {struck} connections broken");
        assert!(unanswered as u64 <= struck, "{errno:?}: {unanswered} with {struck} connections broken");
        // The fault strikes operators' connections too: the first whole answer counts.
        let mut info = None;
        wait_for("an operator's answer", || {
            info = bench.sidecar.try_call("INFO\n").ok().filter(|text| !text.is_empty());
            info.is_some()
        });
        let info = info.unwrap();
        assert!(info.contains("router.hosts_down:0|"), "{errno:?}: {info}");
        bench.switch(Switch::Off);
        assert_eq!(bench.ask("after"), Some(200));
    }
}
