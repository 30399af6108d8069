//! The built sidecar between SIGTERM and SIGKILL, which comes at the earliest that the protocol page allows: the longest
//! deadline, counted as 3 s at most, and 0.7 s more. Whatever was read by then has its answer.

#[path = "support/mod.rs"]
mod support;

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::discovery::Discovery;
use support::script::*;
use support::*;

/// The protocol page's: SIGKILL comes no sooner than this beyond the longest deadline.
const KILL_SLACK: Duration = Duration::from_millis(700);
/// A request written on a resting connection within this of its end has crossed it.
const CROSSING: Duration = Duration::from_millis(20);
/// How long before the kill some clients finish what they have begun to write.
const LAST_MOMENT: Duration = Duration::from_millis(220);

/// Clients that rest and then speak, each at its own time between SIGTERM and SIGKILL.
const RESTING: usize = 12;

/// One shutdown.
#[derive(Clone, Copy, Debug)]
struct Drill {
    deadline: Duration,
    /// Another process of this sidecar is there and accepts in its stead.
    succeeded: bool,
    /// All endpoints hang through all of it, and not only every other one.
    all_hang: bool,
}

impl Drill {
    fn config(&self, peers: &[&Peer]) -> (Value, Discovery) {
        let mut config = config_with_operator(peers);
        let entry = |(n, peer): (usize, &&Peer)| target(&format!("s-{n}"), peer.address, "up");
        let entries: Vec<Value> = peers.iter().enumerate().map(entry).collect();
        let discovery = Discovery::new(list(8, true, &entries));
        config["discovery"] = json!(discovery.address.to_string());
        let deadline = self.deadline.as_secs_f64() * 1000.0;
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["deadlineMs"] = json!(deadline);
            class["objectiveMs"] = json!(deadline / 2.0);
            class["repeatWindowMs"] = json!(deadline);
        }
        (config, discovery)
    }

    fn timeout(&self) -> String {
        format!("{}m", self.deadline.as_millis())
    }

    fn kill(&self) -> Duration {
        self.deadline.min(Duration::from_secs(3)) + KILL_SLACK
    }

    /// Plays it; what was lost, one line each.
    fn play(self) -> Vec<String> {
        let hanging = Peer::new(|_| Action::NeverAnswer);
        let other = if self.all_hang { Peer::new(|_| Action::NeverAnswer) } else { Peer::serving("ok") };
        let (config, _discovery) = self.config(&[&hanging, &other]);
        let mut old = Sidecar::start(&config);
        let next = self.succeeded.then(|| {
            let next = old.successor(&config);
            wait_for("the successor's yes", || next.call("PING") == "YES\n");
            old.wait_for_log("a successor has come");
            next
        });
        let resting = self.rested(old.address);
        let busy: Vec<RawConnection> = (0..8).map(|_| RawConnection::connect(old.address)).collect();
        let slow: Vec<RawConnection> = (0..4).map(|_| RawConnection::connect(old.address)).collect();
        let started = Instant::now();
        // All that is open is taken by the old process before it is told.
        wait_for("the clients to be accepted", || started.elapsed() > Duration::from_millis(100));
        old.signal("-TERM");
        let (term, kill) = (Instant::now(), self.kill());
        let lost = thread::scope(|scope| {
            let mut clients = Vec::new();
            for (n, wire) in busy.into_iter().enumerate() {
                clients.push(scope.spawn(move || self.sends_on(wire, n, term)));
            }
            for (n, wire) in resting.into_iter().enumerate() {
                clients.push(scope.spawn(move || self.speaks_late(wire, n, term)));
            }
            for (n, wire) in slow.into_iter().enumerate() {
                clients.push(scope.spawn(move || self.ends_its_body_late(wire, n, term)));
            }
            thread::sleep((term + kill).saturating_duration_since(Instant::now()));
            let _ = old.child.kill(); // fails where it has ended by itself
            let _ = old.child.wait();
            clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
        });
        drop(next);
        lost
    }

    /// Clients whose first requests have been answered, in whatever way, and that keep their connections.
    fn rested(&self, address: SocketAddr) -> Vec<RawConnection> {
        let mut all: Vec<RawConnection> = (0..RESTING).map(|_| RawConnection::connect(address)).collect();
        for (n, wire) in all.iter_mut().enumerate() {
            wire.write(&request("quote", &format!("rest{n}"), &self.timeout()));
        }
        for wire in &mut all {
            assert_eq!(wire.read().expect("an answer").header("connection"), "");
        }
        all
    }

    /// One request; says what is lost of it, and whether the connection stays.
    fn one(&self, wire: &mut RawConnection, id: &str) -> Result<bool, String> {
        let at = Instant::now();
        if !wire.try_write(&request("quote", id, &self.timeout())) {
            return Ok(false);
        }
        match wire.read() {
            Some(answer) => Ok(answer.header("connection") != "close"),
            None if at.elapsed() < CROSSING => Ok(false),
            None => Err(format!("{id}: no answer after {:?}", at.elapsed())),
        }
    }

    /// Sends one request after another while its connection stays open.
    fn sends_on(&self, mut wire: RawConnection, n: usize, term: Instant) -> Vec<String> {
        let mut number = 0;
        while term.elapsed() < self.kill() && !wire.has_ended() {
            number += 1;
            match self.one(&mut wire, &format!("busy{n}-{number}")) {
                Ok(true) => {}
                Ok(false) => return Vec::new(),
                Err(lost) => return vec![format!("{lost}, {:?} after SIGTERM", term.elapsed())],
            }
        }
        Vec::new()
    }

    /// Rests, and sends one request at a time of its own between SIGTERM and SIGKILL.
    fn speaks_late(&self, mut wire: RawConnection, n: usize, term: Instant) -> Vec<String> {
        let at = self.kill().mul_f64((n + 1) as f64 / (RESTING + 1) as f64);
        thread::sleep((term + at).saturating_duration_since(Instant::now()));
        if wire.has_ended() {
            return Vec::new();
        }
        let lost = self.one(&mut wire, &format!("late{n}")).err();
        lost.map(|lost| format!("{lost}, sent {at:?} after SIGTERM")).into_iter().collect()
    }

    /// Writes a body as slowly as a good client may, and its last byte when there is hardly any time left.
    fn ends_its_body_late(&self, mut wire: RawConnection, n: usize, term: Instant) -> Vec<String> {
        const PIECE: usize = 4_000;
        const PAUSE: Duration = Duration::from_millis(50);
        let end = self.kill() - LAST_MOMENT + Duration::from_millis(20 * n as u64);
        let id = format!("slow{n}");
        let pieces = (end.as_millis() / PAUSE.as_millis()) as usize;
        let head = request("book", &id, &self.timeout())
            .replace("Content-Length: 4", &format!("Content-Length: {}", pieces * PIECE + 1))
            .replace("\r\n\r\nbody", "\r\n\r\n");
        wire.write(&head);
        for piece in 0..pieces {
            wire.write(&"x".repeat(PIECE));
            let next = end.mul_f64((piece + 1) as f64 / pieces as f64);
            thread::sleep((term + next).saturating_duration_since(Instant::now()));
        }
        if wire.has_ended() || wire.has_unread(Duration::from_millis(1)) {
            return Vec::new();
        }
        let whole = wire.try_write("x");
        let answered = wire.read().is_some();
        if answered || !whole {
            Vec::new()
        } else {
            vec![format!("{id}: whole {end:?} after SIGTERM, no answer")]
        }
    }
}

fn drills(deadline_ms: u64) {
    let deadline = Duration::from_millis(deadline_ms);
    let lost: Vec<String> = thread::scope(|scope| {
        let mut all = Vec::new();
        for (succeeded, all_hang) in [(false, false), (false, true), (true, false), (true, true)] {
            let drill = Drill { deadline, succeeded, all_hang };
            let play = move || drill.play().into_iter().map(|lost| format!("{drill:?}: {lost}")).collect();
            all.push(scope.spawn::<_, Vec<String>>(play));
        }
        all.into_iter().flat_map(|drill| drill.join().unwrap()).collect()
    });
    assert!(lost.is_empty(), "{} lost:\n{}", lost.len(), lost.join("\n"));
}

#[test]
fn nothing_is_left_unanswered_with_deadlines_of_0_3_seconds() {
    drills(300);
}

#[test]
fn nothing_is_left_unanswered_with_deadlines_of_0_5_seconds() {
    drills(500);
}

#[test]
fn nothing_is_left_unanswered_with_deadlines_of_1_second() {
    drills(1000);
}

#[test]
fn nothing_is_left_unanswered_with_deadlines_of_3_seconds() {
    drills(3000);
}

#[test]
fn an_answer_without_a_length_that_the_end_cuts_off_is_reset_and_not_ended() {
    let stage = ScriptedListener::new();
    let drill = Drill { deadline: Duration::from_millis(500), succeeded: false, all_hang: true };
    let peer = Peer::serving("unused");
    let (mut config, _) = drill.config(&[&peer]);
    config["known"] = list(7, true, &[target("s-0", stage.address, "up")]);
    config["discovery"] = json!(unused_address().to_string());
    let mut sidecar = Sidecar::start(&config);
    let mut client = RawConnection::connect(sidecar.address);
    client.write(&request("quote", "r1", &drill.timeout()).replace("HTTP/1.1", "HTTP/1.0"));
    let (mut endpoint, _) = stage.accept_request();
    endpoint.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    endpoint.write_chunk(&"y".repeat(100_000));
    sidecar.signal("-TERM");
    // It goes on until the sidecar is gone.
    let reader = thread::spawn(move || client.read_until_end(WAIT_TIMEOUT));
    while endpoint.try_write("3e8\r\n") && endpoint.try_write(&("y".repeat(1000) + "\r\n")) {
        thread::sleep(Duration::from_millis(20));
    }
    assert!(sidecar.wait_for_exit().success());
    let (bytes, end) = reader.join().unwrap();
    assert!(bytes.len() > 100_000, "it flowed: {} bytes", bytes.len());
    assert_eq!(end, End::Reset, "a plain end would pass for a whole answer");
}
