//! The built sidecar while its own system calls fail in the ways that Linux documents, one row of
//! docs/design/0019-system-calls.md each: every request that was accepted gets exactly one final answer.

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

/// Clients that ask at once, each on a connection of its own.
const CLIENTS: usize = 4;
/// Requests of each client that are answered before a fault begins, so that connections are pooled.
const BEFORE: usize = 10;
/// Struck calls that a test waits for.
const STRUCK: u64 = 20;
/// How long a peer takes where connections are to be in use at once.
const BUSY: Duration = Duration::from_millis(20);

/// A sidecar under injection, and the endpoints that it calls.
struct Setup {
    _peers: Vec<Peer>,
    sidecar: Sidecar,
    injection: Injection,
    folder: tempfile::TempDir,
}

/// The entries are off until they are switched on.
fn setup(peers: Vec<Peer>, entries: impl FnOnce(&Places) -> Vec<Entry>) -> Setup {
    let folder = tempfile::tempdir().unwrap();
    let addresses = peers.iter().map(|peer| peer.address).collect();
    let state = folder.path().join("state");
    std::fs::create_dir(&state).unwrap();
    let entries =
        entries(&Places { endpoints: Target::Connected(addresses), state: Target::Below(state.clone()) });
    let schedule =
        Schedule { seed: 1, program: Some("curlewhub".to_owned()), origin: Origin::Activation, entries };
    let injection = Injection::new(&schedule, folder.path(), "sidecar").unwrap();
    let prefix = format!("{} export TMPDIR='{}';", injection.shell_prefix(), state.display());
    let all: Vec<&Peer> = peers.iter().collect();
    let sidecar = Sidecar::start_with(&config(&all), &prefix);
    Setup { _peers: peers, sidecar, injection, folder }
}

/// What entries may strike.
struct Places {
    /// Connections to endpoints.
    endpoints: Target,
    /// The folder of the sidecar's state.
    state: Target,
}

/// What came of the requests of some clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    asked: usize,
    /// Answered by an endpoint.
    served: usize,
    /// Answered otherwise: refused, failed or late.
    not_served: usize,
    /// Sent, and the connection ended without an answer.
    unanswered: usize,
    /// More bytes than one answer.
    surplus: usize,
}

impl Outcome {
    fn add(self, other: Outcome) -> Outcome {
        Outcome {
            asked: self.asked + other.asked,
            served: self.served + other.served,
            not_served: self.not_served + other.not_served,
            unanswered: self.unanswered + other.unanswered,
            surplus: self.surplus + other.surplus,
        }
    }

    /// Every request got one answer.
    fn is_whole(self) -> bool {
        self.asked > 0 && self.served + self.not_served == self.asked && self.unanswered + self.surplus == 0
    }

    /// Every request was served once.
    fn is_all_served(self) -> bool {
        self.is_whole() && self.served == self.asked
    }
}

/// A client's connection that is opened anew where it has ended.
struct Asking<'a> {
    sidecar: &'a Sidecar,
    open: Option<BufReader<TcpStream>>,
    /// Each request has a connection of its own.
    anew: bool,
    outcome: Outcome,
}

impl<'a> Asking<'a> {
    fn new(sidecar: &'a Sidecar, anew: bool) -> Self {
        Asking { sidecar, open: None, anew, outcome: Outcome::default() }
    }

    fn ask(&mut self, class: &str, id: &str) {
        let mut connection = self.open.take().unwrap_or_else(|| {
            let stream = TcpStream::connect(self.sidecar.address).expect("the system accepts");
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            BufReader::new(stream)
        });
        self.outcome.asked += 1;
        let sent = connection.get_mut().write_all(request(class, id, "10000m").as_bytes());
        let answer = sent.ok().and_then(|()| Message::read(&mut connection));
        match answer.as_ref().map(Message::status) {
            Some(200) => self.outcome.served += 1,
            Some(_) => self.outcome.not_served += 1,
            None => self.outcome.unanswered += 1,
        }
        self.outcome.surplus += usize::from(!connection.buffer().is_empty());
        if self.anew && answer.is_some() {
            self.outcome.surplus += usize::from(says_more(connection));
        } else if answer.is_some_and(|answer| answer.header("connection") != "close") {
            self.open = Some(connection);
        }
    }

    fn end(mut self) -> Outcome {
        if let Some(connection) = self.open.take() {
            self.outcome.surplus += usize::from(says_more(connection));
        }
        self.outcome
    }
}

/// Whether anything comes after the last answer.
fn says_more(mut connection: BufReader<TcpStream>) -> bool {
    let _ = connection.get_ref().shutdown(Shutdown::Write);
    let mut rest = Vec::new();
    let _ = connection.read_to_end(&mut rest); // a reset is as good an end
    !rest.is_empty()
}

impl Setup {
    fn serving(entries: impl FnOnce(&Places) -> Vec<Entry>) -> Setup {
        setup((0..3).map(|_| Peer::serving("ok")).collect(), entries)
    }

    /// Clients ask before the entries are on, then until each entry has struck often enough, then once they are off.
    fn play(&self, classes: &[&str], anew: bool) -> Outcome {
        self.play_with(classes, anew, CLIENTS, STRUCK)
    }

    fn play_with(&self, classes: &[&str], anew: bool, clients: usize, struck: u64) -> Outcome {
        self.rounds(classes, anew, clients, &|_, n| n < BEFORE);
        self.switch(Switch::On);
        let enough = AtomicBool::new(false);
        let entries = self.entries();
        let asked = AtomicUsize::new(0);
        let during = std::thread::scope(|scope| {
            let load = scope.spawn(|| {
                self.rounds(classes, anew, clients, &|_, _| {
                    asked.fetch_add(1, Ordering::SeqCst);
                    !enough.load(Ordering::SeqCst)
                })
            });
            let came = |entry: usize| self.injection.struck(entry).unwrap() >= struck;
            let began = std::time::Instant::now();
            while !(0..entries).all(came) && began.elapsed() < WAIT_TIMEOUT && !load.is_finished() {
                std::thread::sleep(Duration::from_millis(5));
            }
            enough.store(true, Ordering::SeqCst);
            load.join().unwrap()
        });
        let struck_all: Vec<u64> = (0..entries).map(|n| self.injection.struck(n).unwrap()).collect();
        assert!(
            struck_all.iter().all(|n| *n >= struck),
            "the faults came about: {struck_all:?} {during:?}"
        );
        self.switch(Switch::Off);
        let after = self.rounds(classes, anew, clients, &|_, n| n < BEFORE);
        assert!(after.is_all_served(), "once the fault is over: {after:?}");
        eprintln!("struck {struck_all:?}: {during:?}");
        during
    }

    fn rounds(
        &self,
        classes: &[&str],
        anew: bool,
        clients: usize,
        more: &(dyn Fn(usize, usize) -> bool + Sync),
    ) -> Outcome {
        static ROUND: AtomicUsize = AtomicUsize::new(0);
        let round = ROUND.fetch_add(1, Ordering::SeqCst);
        std::thread::scope(|scope| {
            let clients: Vec<_> = (0..clients)
                .map(|c| {
                    scope.spawn(move || {
                        let mut asking = Asking::new(&self.sidecar, anew);
                        for n in (0..).take_while(|n| more(c, *n)) {
                            asking.ask(classes[n % classes.len()], &format!("r{round}-{c}-{n}"));
                        }
                        asking.end()
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

/// A class whose requests may be repeated, and one whose requests may not.
const CLASSES: [&str; 2] = ["quote", "book"];

fn each_tenth(call: Call, errno: Errno) -> Entry {
    Entry::fails(&[call], errno).striking(Strikes::EveryNth(10))
}

#[test]
fn each_tenth_recv_is_interrupted() {
    let setup = Setup::serving(|_| vec![each_tenth(Call::Recv, Errno::Eintr)]);
    let outcome = setup.play(&CLASSES, false);
    assert!(outcome.is_all_served(), "{outcome:?}\n{}", setup.sidecar.log());
}

#[test]
fn each_tenth_send_is_interrupted() {
    let setup = Setup::serving(|_| vec![each_tenth(Call::Send, Errno::Eintr)]);
    let outcome = setup.play(&CLASSES, false);
    assert!(outcome.is_all_served(), "{outcome:?}\n{}", setup.sidecar.log());
}

#[test]
fn recv_and_send_are_interrupted_on_new_connections_too() {
    let both = [Call::Recv, Call::Send];
    let setup = Setup::serving(|_| {
        vec![Entry::fails(&both, Errno::Eintr).on(Target::Accepted).striking(Strikes::Share(0.3))]
    });
    let outcome = setup.play(&CLASSES, true);
    assert!(outcome.is_all_served(), "{outcome:?}\n{}", setup.sidecar.log());
}

#[test]
fn waits_for_events_are_interrupted() {
    let setup = Setup::serving(|_| {
        vec![Entry::fails(&[Call::EpollWait], Errno::Eintr).striking(Strikes::EveryNth(3))]
    });
    let outcome = setup.play(&CLASSES, false);
    assert!(outcome.is_all_served(), "{outcome:?}");
}

#[test]
fn each_third_accept_finds_its_connection_aborted() {
    let setup = Setup::serving(|_| {
        vec![Entry::fails(&[Call::Accept], Errno::Econnaborted).striking(Strikes::EveryNth(3))]
    });
    let outcome = setup.play(&CLASSES, true);
    assert!(outcome.is_all_served(), "{outcome:?}");
}

#[test]
fn accept_is_interrupted_or_fails_for_a_moment_in_each_way() {
    use Errno::{Ehostunreach, Eintr, Emfile, Enetdown, Enetunreach, Enobufs, Enomem};
    for errno in [Eintr, Emfile, Enobufs, Enomem, Enetdown, Ehostunreach, Enetunreach] {
        let setup =
            Setup::serving(|_| vec![Entry::fails(&[Call::Accept], errno).striking(Strikes::EveryNth(3))]);
        let outcome = setup.play_with(&CLASSES, true, 2, 3);
        assert!(outcome.is_all_served(), "{errno}: {outcome:?}");
    }
}

#[test]
fn accept_lacks_descriptors_for_a_while() {
    let setup = Setup::serving(|_| vec![Entry::fails(&[Call::Accept], Errno::Enfile)]);
    let mut open = Asking::new(&setup.sidecar, false);
    open.ask("quote", "before");
    setup.switch(Switch::On);
    std::thread::scope(|scope| {
        let new = scope.spawn(|| {
            let mut new = Asking::new(&setup.sidecar, false);
            new.ask("quote", "new");
            new.end()
        });
        wait_for("a failed accept", || setup.injection.struck(0).unwrap() > 0);
        open.ask("quote", "open");
        assert!(!new.is_finished(), "no connection is accepted yet");
        setup.switch(Switch::Off);
        let new = new.join().unwrap();
        assert!(new.is_all_served(), "{new:?}");
    });
    let open = open.end();
    assert!(open.is_all_served(), "{open:?}");
}

/// Endpoints that take a while, so that more connections are wanted than are pooled, and that end some.
fn busy() -> Vec<Peer> {
    let peer = |_| {
        let count = AtomicUsize::new(0);
        Peer::new(move |_| match count.fetch_add(1, Ordering::SeqCst) % 8 {
            7 => Action::ServeAndHalfClose("ok"),
            _ => Action::ServeAfter(BUSY),
        })
    };
    (0..3).map(peer).collect()
}

#[test]
fn connections_to_endpoints_lack_an_address_or_a_route_while_others_are_pooled() {
    for errno in [Errno::Eaddrnotavail, Errno::Enetunreach] {
        let setup = setup(busy(), |places| {
            let half = Entry::fails(&[Call::Connect], errno).striking(Strikes::EveryNth(2));
            vec![half.on(places.endpoints.clone())]
        });
        let outcome = setup.play_with(&CLASSES, false, CLIENTS, 10);
        assert!(outcome.is_all_served(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn no_connection_to_any_endpoint_can_be_made() {
    for errno in [Errno::Eaddrnotavail, Errno::Enetunreach] {
        let setup = setup(busy(), |places| {
            vec![Entry::fails(&[Call::Connect], errno).on(places.endpoints.clone())]
        });
        let outcome = setup.play_with(&CLASSES, false, CLIENTS, 10);
        assert!(outcome.is_whole(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn no_connection_can_be_made_from_the_first_request_on() {
    for errno in [Errno::Eaddrnotavail, Errno::Enetunreach] {
        let setup = Setup::serving(|places| {
            vec![Entry::fails(&[Call::Connect], errno).on(places.endpoints.clone())]
        });
        setup.switch(Switch::On);
        let during = setup.rounds(&CLASSES, false, CLIENTS, &|_, n| n < BEFORE);
        assert!(during.is_whole() && during.served == 0, "{errno}: {during:?}\n{}", setup.sidecar.log());
        assert!(setup.injection.struck(0).unwrap() > 0);
        setup.switch(Switch::Off);
        // Endpoints may be spared for a moment after so many failures.
        wait_for("a served request", || setup.sidecar.send_request("quote", "after").status() == 200);
        let after = setup.rounds(&CLASSES, false, CLIENTS, &|_, n| n < BEFORE);
        assert!(after.is_all_served(), "{errno}: {after:?}\n{}", setup.sidecar.log());
        eprintln!("{errno}: {during:?}, then {after:?}");
    }
}

#[test]
fn sockets_for_new_connections_can_not_be_had_for_a_moment() {
    for errno in [Errno::Enfile, Errno::Emfile, Errno::Enobufs] {
        let setup =
            setup(busy(), |_| vec![Entry::fails(&[Call::Socket], errno).striking(Strikes::EveryNth(2))]);
        let outcome = setup.play_with(&CLASSES, false, CLIENTS, 10);
        assert!(outcome.is_all_served(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn reads_and_writes_are_short() {
    let short = |call, bytes| Entry::new(&[call], Effect::Short { bytes });
    let setup = Setup::serving(|_| vec![short(Call::Recv, 7), short(Call::Send, 5)]);
    // Each request and each answer takes many calls now.
    let outcome = setup.play_with(&CLASSES, false, CLIENTS, 2000);
    assert!(outcome.is_all_served(), "{outcome:?}\n{}", setup.sidecar.log());
}

/// What breaks a connection to an endpoint: a safe request is served all the same, and each other one is answered.
fn connections_to_endpoints_break_by(errno: Errno, call: Call, nth: u64) {
    let broken = |places: &Places| {
        let entry = Entry::fails(&[call], errno).on(places.endpoints.clone());
        vec![entry.striking(Strikes::EveryNth(nth))]
    };
    let setup = Setup::serving(broken);
    let outcome = setup.play(&["quote"], false);
    assert!(outcome.is_all_served(), "{call} {errno}: {outcome:?}\n{}", setup.sidecar.log());
    let setup = Setup::serving(broken);
    let outcome = setup.play(&["book"], false);
    assert!(outcome.is_whole(), "{call} {errno}, not repeatable: {outcome:?}\n{}", setup.sidecar.log());
}

#[test]
fn each_50th_recv_from_endpoints_times_out() {
    connections_to_endpoints_break_by(Errno::Etimedout, Call::Recv, 50);
}

#[test]
fn each_20th_recv_from_endpoints_has_no_route() {
    connections_to_endpoints_break_by(Errno::Ehostunreach, Call::Recv, 20);
}

#[test]
fn each_20th_send_to_endpoints_times_out_or_has_no_route() {
    for errno in [Errno::Etimedout, Errno::Ehostunreach] {
        connections_to_endpoints_break_by(errno, Call::Send, 20);
    }
}

#[test]
fn a_broken_connection_of_a_client_takes_no_other_request_with_it() {
    for errno in [Errno::Etimedout, Errno::Ehostunreach] {
        let setup = Setup::serving(|_| {
            vec![Entry::fails(&[Call::Recv], errno).on(Target::Accepted).striking(Strikes::EveryNth(20))]
        });
        let outcome = setup.play(&CLASSES, false);
        // What is struck is the client's own connection: nobody can be answered on it any more.
        let struck = setup.injection.struck(0).unwrap() as usize;
        assert!(outcome.unanswered <= struck, "{errno}: {struck} struck, {outcome:?}");
        let rest = Outcome { asked: outcome.asked - outcome.unanswered, unanswered: 0, ..outcome };
        assert!(rest.is_all_served(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn the_folder_of_the_state_is_full_or_broken() {
    let calls = [Call::Open, Call::Write, Call::Fsync, Call::Ftruncate, Call::Rename];
    for errno in [Errno::Enospc, Errno::Eio] {
        let setup = Setup::serving(|places| vec![Entry::fails(&calls, errno).on(places.state.clone())]);
        let outcome = setup.play_with(&["pay", "quote"], false, CLIENTS, 1);
        assert!(outcome.is_all_served(), "{errno}: {outcome:?}\n{}", setup.sidecar.log());
    }
}

#[test]
fn the_wall_clock_is_stepped_by_an_hour_and_by_seconds() {
    for offset_ms in [-3_600_000, -3_000, 3_000, 3_600_000] {
        let setup = Setup::serving(|_| vec![Entry::new(&[], Effect::ClockStep { offset_ms })]);
        // Each request reads the wall clock a few times.
        let outcome = setup.play_with(&["quote", "book", "pay"], false, CLIENTS, 300);
        assert!(outcome.is_all_served(), "{offset_ms}: {outcome:?}\n{}", setup.sidecar.log());
    }
}
