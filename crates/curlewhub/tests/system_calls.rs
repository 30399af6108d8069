//! Runs the built sidecar while its own system calls fail in the ways that Linux documents, one row of
//! docs/design/0019-system-calls.md at a time: every accepted request gets exactly one final response.

#[path = "support/mod.rs"]
mod support;

use curlewhub_fault_schedule::{
    Call, Effect, Entry, Errno, Injection, Origin, Schedule, Strikes, Switch, Target,
};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use support::*;

/// Concurrent clients, each with its own connection.
const CLIENTS: usize = 4;
/// Requests that each client completes before a fault begins, so that connections are pooled.
const WARM_UP_REQUESTS: usize = 10;
/// Faults of each entry that a test waits for.
const MIN_FAULTS: u64 = 20;
/// Response delay of peers in tests that need several connections in use at once.
const RESPONSE_DELAY: Duration = Duration::from_millis(20);

/// A sidecar with fault injection, and its endpoints.
struct Setup {
    _peers: Vec<Peer>,
    sidecar: Sidecar,
    injection: Injection,
    folder: tempfile::TempDir,
}

/// Starts a sidecar with these entries, which inject nothing until they are switched on.
fn setup(peers: Vec<Peer>, entries: impl FnOnce(&FaultTargets) -> Vec<Entry>) -> Setup {
    let folder = tempfile::tempdir().unwrap();
    let addresses = peers.iter().map(|peer| peer.address).collect();
    let state = folder.path().join("state");
    std::fs::create_dir(&state).unwrap();
    let entries = entries(&FaultTargets {
        endpoints: Target::Connected(addresses),
        state: Target::Below(state.clone()),
    });
    let schedule =
        Schedule { seed: 1, program: Some("curlewhub".to_owned()), origin: Origin::Activation, entries };
    let injection = Injection::new(&schedule, folder.path(), "sidecar").unwrap();
    let prefix = format!("{} export TMPDIR='{}';", injection.shell_prefix(), state.display());
    let all: Vec<&Peer> = peers.iter().collect();
    let sidecar = Sidecar::start_with(&config(&all), &prefix);
    Setup { _peers: peers, sidecar, injection, folder }
}

/// What entries can target.
struct FaultTargets {
    /// Connections to endpoints.
    endpoints: Target,
    /// The sidecar's state directory.
    state: Target,
}

/// Counts the outcomes of the requests of some clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    sent: usize,
    /// Answered by an endpoint.
    served: usize,
    /// Answered with another status: rejected, failed or timed out.
    failed: usize,
    /// The connection ended without a response.
    unanswered: usize,
    /// Responses with further bytes behind them.
    surplus_responses: usize,
}

impl Outcome {
    fn add(self, other: Outcome) -> Outcome {
        Outcome {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            failed: self.failed + other.failed,
            unanswered: self.unanswered + other.unanswered,
            surplus_responses: self.surplus_responses + other.surplus_responses,
        }
    }

    /// Every request got exactly one response.
    fn each_answered_once(self) -> bool {
        self.sent > 0
            && self.served + self.failed == self.sent
            && self.unanswered + self.surplus_responses == 0
    }

    /// Every request got exactly one response, from an endpoint.
    fn all_served(self) -> bool {
        self.each_answered_once() && self.served == self.sent
    }
}

/// A client that reconnects when its connection has ended.
struct ReconnectingClient<'a> {
    sidecar: &'a Sidecar,
    open: Option<BufReader<TcpStream>>,
    /// Uses a new connection for each request.
    reconnect_each_time: bool,
    outcome: Outcome,
}

impl<'a> ReconnectingClient<'a> {
    fn new(sidecar: &'a Sidecar, reconnect_each_time: bool) -> Self {
        ReconnectingClient { sidecar, open: None, reconnect_each_time, outcome: Outcome::default() }
    }

    fn send_request(&mut self, class: &str, id: &str) {
        let mut connection = self.open.take().unwrap_or_else(|| {
            let stream = TcpStream::connect(self.sidecar.address).expect("the connection is accepted");
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            BufReader::new(stream)
        });
        self.outcome.sent += 1;
        let sent = connection.get_mut().write_all(request(class, id, "10000m").as_bytes());
        let response = sent.ok().and_then(|()| Message::read(&mut connection));
        match response.as_ref().map(Message::status) {
            Some(200) => self.outcome.served += 1,
            Some(_) => self.outcome.failed += 1,
            None => self.outcome.unanswered += 1,
        }
        self.outcome.surplus_responses += usize::from(!connection.buffer().is_empty());
        if self.reconnect_each_time && response.is_some() {
            self.outcome.surplus_responses += usize::from(receives_more(connection));
        } else if response.is_some_and(|response| response.header("connection") != "close") {
            self.open = Some(connection);
        }
    }

    fn finish(mut self) -> Outcome {
        if let Some(connection) = self.open.take() {
            self.outcome.surplus_responses += usize::from(receives_more(connection));
        }
        self.outcome
    }
}

/// Whether more bytes arrive after the last response.
fn receives_more(mut connection: BufReader<TcpStream>) -> bool {
    let _ = connection.get_ref().shutdown(Shutdown::Write);
    let mut rest = Vec::new();
    let _ = connection.read_to_end(&mut rest); // a reset is a valid end too
    !rest.is_empty()
}

impl Setup {
    fn serving(entries: impl FnOnce(&FaultTargets) -> Vec<Entry>) -> Setup {
        setup((0..3).map(|_| Peer::serving("ok")).collect(), entries)
    }

    /// Sends requests before the entries are on, then until each entry has injected enough faults, then
    /// after they are off. Returns the outcome of the second phase.
    fn run_load(&self, classes: &[&str], reconnect_each_time: bool) -> Outcome {
        self.run_load_with(classes, reconnect_each_time, CLIENTS, MIN_FAULTS)
    }

    fn run_load_with(
        &self,
        classes: &[&str],
        reconnect_each_time: bool,
        clients: usize,
        min_faults: u64,
    ) -> Outcome {
        self.run_clients(classes, reconnect_each_time, clients, &|_, n| n < WARM_UP_REQUESTS);
        self.switch(Switch::On);
        let stop = AtomicBool::new(false);
        let entries = self.entries();
        let sent = AtomicUsize::new(0);
        let during = std::thread::scope(|scope| {
            let load = scope.spawn(|| {
                self.run_clients(classes, reconnect_each_time, clients, &|_, _| {
                    sent.fetch_add(1, Ordering::SeqCst);
                    !stop.load(Ordering::SeqCst)
                })
            });
            let reached = |entry: usize| self.injection.struck(entry).unwrap() >= min_faults;
            let began = std::time::Instant::now();
            while !(0..entries).all(reached) && began.elapsed() < WAIT_TIMEOUT && !load.is_finished() {
                std::thread::sleep(Duration::from_millis(5));
            }
            stop.store(true, Ordering::SeqCst);
            load.join().unwrap()
        });
        let fault_counts: Vec<u64> = (0..entries).map(|n| self.injection.struck(n).unwrap()).collect();
        assert!(
            fault_counts.iter().all(|n| *n >= min_faults),
            "too few faults: {fault_counts:?} {during:?}"
        );
        self.switch(Switch::Off);
        let after = self.run_clients(classes, reconnect_each_time, clients, &|_, n| n < WARM_UP_REQUESTS);
        assert!(after.all_served(), "after the fault: {after:?}");
        eprintln!("faults {fault_counts:?}: {during:?}");
        during
    }

    fn run_clients(
        &self,
        classes: &[&str],
        reconnect_each_time: bool,
        clients: usize,
        more: &(dyn Fn(usize, usize) -> bool + Sync),
    ) -> Outcome {
        static ROUND: AtomicUsize = AtomicUsize::new(0);
        let round = ROUND.fetch_add(1, Ordering::SeqCst);
        std::thread::scope(|scope| {
            let clients: Vec<_> = (0..clients)
                .map(|c| {
                    scope.spawn(move || {
                        let mut client = ReconnectingClient::new(&self.sidecar, reconnect_each_time);
                        for n in (0..).take_while(|n| more(c, *n)) {
                            client.send_request(classes[n % classes.len()], &format!("r{round}-{c}-{n}"));
                        }
                        client.finish()
                    })
                })
                .collect();
            clients.into_iter().map(|c| c.join().unwrap()).fold(Outcome::default(), Outcome::add)
        })
    }

    fn entries(&self) -> usize {
        let file = std::fs::read(self.folder.path().join("sidecar.schedule")).unwrap();
        serde_json::from_slice::<Schedule>(&file).unwrap().entries.len()
    }

    fn switch(&self, switch: Switch) {
        (0..self.entries()).for_each(|entry| self.injection.switch(entry, switch).unwrap());
    }
}

/// A class whose requests may be retried, and one whose requests may not.
const CLASSES: [&str; 2] = ["quote", "book"];

fn fails_each_tenth(call: Call, errno: Errno) -> Entry {
    Entry::fails(&[call], errno).striking(Strikes::EveryNth(10))
}

#[test]
fn each_tenth_recv_is_interrupted() {
    let setup = Setup::serving(|_| vec![fails_each_tenth(Call::Recv, Errno::Eintr)]);
    let outcome = setup.run_load(&CLASSES, false);
    assert!(outcome.all_served(), "{outcome:?}\n{}", setup.sidecar.log());
}

#[test]
fn each_tenth_send_is_interrupted() {
    let setup = Setup::serving(|_| vec![fails_each_tenth(Call::Send, Errno::Eintr)]);
    let outcome = setup.run_load(&CLASSES, false);
    assert!(outcome.all_served(), "{outcome:?}\n{}", setup.sidecar.log());
}

#[test]
fn recv_and_send_are_interrupted_on_new_connections() {
    let both = [Call::Recv, Call::Send];
    let setup = Setup::serving(|_| {
        vec![Entry::fails(&both, Errno::Eintr).on(Target::Accepted).striking(Strikes::Share(0.3))]
    });
    let outcome = setup.run_load(&CLASSES, true);
    assert!(outcome.all_served(), "{outcome:?}\n{}", setup.sidecar.log());
}

#[test]
fn waits_for_events_are_interrupted() {
    let setup = Setup::serving(|_| {
        vec![Entry::fails(&[Call::EpollWait], Errno::Eintr).striking(Strikes::EveryNth(3))]
    });
    let outcome = setup.run_load(&CLASSES, false);
    assert!(outcome.all_served(), "{outcome:?}");
}

#[test]
fn each_third_accept_fails_with_econnaborted() {
    let setup = Setup::serving(|_| {
        vec![Entry::fails(&[Call::Accept], Errno::Econnaborted).striking(Strikes::EveryNth(3))]
    });
    let outcome = setup.run_load(&CLASSES, true);
    assert!(outcome.all_served(), "{outcome:?}");
}

#[test]
fn accept_is_interrupted_or_fails_with_each_transient_error() {
    use Errno::{Ehostunreach, Eintr, Emfile, Enetdown, Enetunreach, Enobufs, Enomem};
    for errno in [Eintr, Emfile, Enobufs, Enomem, Enetdown, Ehostunreach, Enetunreach] {
        let setup =
            Setup::serving(|_| vec![Entry::fails(&[Call::Accept], errno).striking(Strikes::EveryNth(3))]);
        let outcome = setup.run_load_with(&CLASSES, true, 2, 3);
        assert!(outcome.all_served(), "{errno}: {outcome:?}");
    }
}

#[test]
fn accept_fails_with_enfile_until_the_fault_ends() {
    let setup = Setup::serving(|_| vec![Entry::fails(&[Call::Accept], Errno::Enfile)]);
    let mut open = ReconnectingClient::new(&setup.sidecar, false);
    open.send_request("quote", "before");
    setup.switch(Switch::On);
    std::thread::scope(|scope| {
        let new = scope.spawn(|| {
            let mut new = ReconnectingClient::new(&setup.sidecar, false);
            new.send_request("quote", "new");
            new.finish()
        });
        wait_for("a failed accept", || setup.injection.struck(0).unwrap() > 0);
        open.send_request("quote", "open");
        assert!(!new.is_finished(), "no connection is accepted yet");
        setup.switch(Switch::Off);
        let new = new.join().unwrap();
        assert!(new.all_served(), "{new:?}");
    });
    let open = open.finish();
    assert!(open.all_served(), "{open:?}");
}

/// Endpoints that respond slowly, so that more connections are needed than are pooled, and that close some
/// of them.
fn slow_endpoints() -> Vec<Peer> {
    let peer = |_| {
        let count = AtomicUsize::new(0);
        Peer::new(move |_| match count.fetch_add(1, Ordering::SeqCst) % 8 {
            7 => Action::ServeAndHalfClose("ok"),
            _ => Action::ServeAfter(RESPONSE_DELAY),
        })
    };
    (0..3).map(peer).collect()
}

#[test]
fn half_of_all_connects_to_endpoints_fail_while_other_connections_are_pooled() {
    for errno in [Errno::Eaddrnotavail, Errno::Enetunreach] {
        let setup = setup(slow_endpoints(), |targets| {
            let half = Entry::fails(&[Call::Connect], errno).striking(Strikes::EveryNth(2));
            vec![half.on(targets.endpoints.clone())]
        });
        let outcome = setup.run_load_with(&CLASSES, false, CLIENTS, 10);
        assert!(outcome.all_served(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn each_new_connect_to_an_endpoint_fails() {
    for errno in [Errno::Eaddrnotavail, Errno::Enetunreach] {
        let setup = setup(slow_endpoints(), |targets| {
            vec![Entry::fails(&[Call::Connect], errno).on(targets.endpoints.clone())]
        });
        let outcome = setup.run_load_with(&CLASSES, false, CLIENTS, 10);
        assert!(outcome.each_answered_once(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn each_connect_fails_from_the_first_request_on() {
    for errno in [Errno::Eaddrnotavail, Errno::Enetunreach] {
        let setup = Setup::serving(|targets| {
            vec![Entry::fails(&[Call::Connect], errno).on(targets.endpoints.clone())]
        });
        setup.switch(Switch::On);
        let during = setup.run_clients(&CLASSES, false, CLIENTS, &|_, n| n < WARM_UP_REQUESTS);
        assert!(
            during.each_answered_once() && during.served == 0,
            "{errno}: {during:?}\n{}",
            setup.sidecar.log()
        );
        assert!(setup.injection.struck(0).unwrap() > 0);
        setup.switch(Switch::Off);
        // Endpoints may be skipped for a moment after so many failures.
        wait_for("a served request", || setup.sidecar.send_request("quote", "after").status() == 200);
        let after = setup.run_clients(&CLASSES, false, CLIENTS, &|_, n| n < WARM_UP_REQUESTS);
        assert!(after.all_served(), "{errno}: {after:?}\n{}", setup.sidecar.log());
        eprintln!("{errno}: {during:?}, then {after:?}");
    }
}

#[test]
fn half_of_all_socket_calls_fail() {
    for errno in [Errno::Enfile, Errno::Emfile, Errno::Enobufs] {
        let setup = setup(slow_endpoints(), |_| {
            vec![Entry::fails(&[Call::Socket], errno).striking(Strikes::EveryNth(2))]
        });
        let outcome = setup.run_load_with(&CLASSES, false, CLIENTS, 10);
        assert!(outcome.all_served(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn reads_and_writes_are_short() {
    let short = |call, bytes| Entry::new(&[call], Effect::Short { bytes });
    let setup = Setup::serving(|_| vec![short(Call::Recv, 7), short(Call::Send, 5)]);
    // Each request and each response now takes many calls.
    let outcome = setup.run_load_with(&CLASSES, false, CLIENTS, 2000);
    assert!(outcome.all_served(), "{outcome:?}\n{}", setup.sidecar.log());
}

/// Breaks connections to endpoints: each safe request is still served, and each other one gets one
/// response.
fn check_broken_endpoint_connections(errno: Errno, call: Call, nth: u64) {
    let broken = |targets: &FaultTargets| {
        let entry = Entry::fails(&[call], errno).on(targets.endpoints.clone());
        vec![entry.striking(Strikes::EveryNth(nth))]
    };
    let setup = Setup::serving(broken);
    let outcome = setup.run_load(&["quote"], false);
    assert!(outcome.all_served(), "{call} {errno}: {outcome:?}\n{}", setup.sidecar.log());
    let setup = Setup::serving(broken);
    let outcome = setup.run_load(&["book"], false);
    assert!(
        outcome.each_answered_once(),
        "{call} {errno}, not retryable: {outcome:?}\n{}",
        setup.sidecar.log()
    );
}

#[test]
fn each_50th_recv_from_endpoints_times_out() {
    check_broken_endpoint_connections(Errno::Etimedout, Call::Recv, 50);
}

#[test]
fn each_20th_recv_from_endpoints_has_no_route() {
    check_broken_endpoint_connections(Errno::Ehostunreach, Call::Recv, 20);
}

#[test]
fn each_20th_send_to_endpoints_times_out_or_has_no_route() {
    for errno in [Errno::Etimedout, Errno::Ehostunreach] {
        check_broken_endpoint_connections(errno, Call::Send, 20);
    }
}

#[test]
fn a_broken_client_connection_fails_no_request_of_other_connections() {
    for errno in [Errno::Etimedout, Errno::Ehostunreach] {
        let setup = Setup::serving(|_| {
            vec![Entry::fails(&[Call::Recv], errno).on(Target::Accepted).striking(Strikes::EveryNth(20))]
        });
        let outcome = setup.run_load(&CLASSES, false);
        // The fault breaks the client's own connection: no response can be sent on it any more.
        let struck = setup.injection.struck(0).unwrap() as usize;
        assert!(outcome.unanswered <= struck, "{errno}: {struck} faults, {outcome:?}");
        let rest = Outcome { sent: outcome.sent - outcome.unanswered, unanswered: 0, ..outcome };
        assert!(rest.all_served(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn writes_to_the_state_directory_fail() {
    let calls = [Call::Open, Call::Write, Call::Fsync, Call::Ftruncate, Call::Rename];
    for errno in [Errno::Enospc, Errno::Eio] {
        let setup = Setup::serving(|targets| vec![Entry::fails(&calls, errno).on(targets.state.clone())]);
        let outcome = setup.run_load_with(&["pay", "quote"], false, CLIENTS, 1);
        assert!(outcome.all_served(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn the_wall_clock_is_stepped_by_an_hour_and_by_seconds() {
    for offset_ms in [-3_600_000, -3_000, 3_000, 3_600_000] {
        let setup = Setup::serving(|_| vec![Entry::new(&[], Effect::ClockStep { offset_ms })]);
        // Each request reads the wall clock a few times.
        let outcome = setup.run_load_with(&["quote", "book", "pay"], false, CLIENTS, 300);
        assert!(outcome.all_served(), "{offset_ms}: {outcome:?}\n{}", setup.sidecar.log());
    }
}
