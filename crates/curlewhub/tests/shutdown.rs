//! Runs the built sidecar between SIGTERM and SIGKILL, which comes as early as the protocol page allows:
//! after the longest deadline, capped at 3 s, plus 0.7 s. Every request read by then has its response.

#[path = "support/mod.rs"]
mod support;

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::discovery::Discovery;
use support::script::*;
use support::*;

/// Minimum time from the longest deadline to SIGKILL, set by the protocol page.
const KILL_SLACK: Duration = Duration::from_millis(700);
/// A request written on an idle connection within this time of its close has crossed the close on the wire.
const CROSSING_WINDOW: Duration = Duration::from_millis(20);
/// How long before SIGKILL some clients finish writing their requests.
const FINAL_WINDOW: Duration = Duration::from_millis(220);

/// Idle clients that send one request each, at different times between SIGTERM and SIGKILL.
const IDLE_CLIENTS: usize = 12;

/// One shutdown under load.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    deadline: Duration,
    /// A successor process is running and accepts new connections.
    has_successor: bool,
    /// All endpoints hang throughout, not just one of the two.
    all_endpoints_hang: bool,
}

impl Scenario {
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

    fn time_to_kill(&self) -> Duration {
        self.deadline.min(Duration::from_secs(3)) + KILL_SLACK
    }

    /// Runs the shutdown and returns one line for each lost request.
    fn run(self) -> Vec<String> {
        let hanging = Peer::new(|_| Action::NeverAnswer);
        let other =
            if self.all_endpoints_hang { Peer::new(|_| Action::NeverAnswer) } else { Peer::serving("ok") };
        let (config, _discovery) = self.config(&[&hanging, &other]);
        let mut old = Sidecar::start(&config);
        let next = self.has_successor.then(|| {
            let next = old.successor(&config);
            wait_for("the successor to be ready", || next.call("PING") == "YES\n");
            old.wait_for_log("a successor has come");
            next
        });
        let idle = self.idle_clients(old.address);
        let busy: Vec<RawConnection> = (0..8).map(|_| RawConnection::connect(old.address)).collect();
        let slow: Vec<RawConnection> = (0..4).map(|_| RawConnection::connect(old.address)).collect();
        let started = Instant::now();
        // The old process accepts all open connections before it gets the signal.
        wait_for("the clients to be accepted", || started.elapsed() > Duration::from_millis(100));
        old.signal("-TERM");
        let (term, kill) = (Instant::now(), self.time_to_kill());
        let lost = thread::scope(|scope| {
            let mut clients = Vec::new();
            for (n, wire) in busy.into_iter().enumerate() {
                clients.push(scope.spawn(move || self.send_continuously(wire, n, term)));
            }
            for (n, wire) in idle.into_iter().enumerate() {
                clients.push(scope.spawn(move || self.send_late(wire, n, term)));
            }
            for (n, wire) in slow.into_iter().enumerate() {
                clients.push(scope.spawn(move || self.finish_body_late(wire, n, term)));
            }
            thread::sleep((term + kill).saturating_duration_since(Instant::now()));
            let _ = old.child.kill(); // fails if it has already exited
            let _ = old.child.wait();
            clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
        });
        drop(next);
        lost
    }

    /// Connects clients whose first requests get any response and whose connections stay open.
    fn idle_clients(&self, address: SocketAddr) -> Vec<RawConnection> {
        let mut all: Vec<RawConnection> =
            (0..IDLE_CLIENTS).map(|_| RawConnection::connect(address)).collect();
        for (n, wire) in all.iter_mut().enumerate() {
            wire.write(&request("quote", &format!("rest{n}"), &self.timeout()));
        }
        for wire in &mut all {
            assert_eq!(wire.read().expect("a response").header("connection"), "");
        }
        all
    }

    /// Sends one request. Returns whether the connection stays open, or an error if the request was lost.
    fn send_one(&self, wire: &mut RawConnection, id: &str) -> Result<bool, String> {
        let at = Instant::now();
        if !wire.try_write(&request("quote", id, &self.timeout())) {
            return Ok(false);
        }
        match wire.read() {
            Some(response) => Ok(response.header("connection") != "close"),
            None if at.elapsed() < CROSSING_WINDOW => Ok(false),
            None => Err(format!("{id}: no response after {:?}", at.elapsed())),
        }
    }

    /// Sends one request after another while the connection stays open.
    fn send_continuously(&self, mut wire: RawConnection, n: usize, term: Instant) -> Vec<String> {
        let mut number = 0;
        while term.elapsed() < self.time_to_kill() && !wire.has_ended() {
            number += 1;
            match self.send_one(&mut wire, &format!("busy{n}-{number}")) {
                Ok(true) => {}
                Ok(false) => return Vec::new(),
                Err(lost) => return vec![format!("{lost}, {:?} after SIGTERM", term.elapsed())],
            }
        }
        Vec::new()
    }

    /// Stays idle and sends one request, at a time between SIGTERM and SIGKILL that depends on `n`.
    fn send_late(&self, mut wire: RawConnection, n: usize, term: Instant) -> Vec<String> {
        let at = self.time_to_kill().mul_f64((n + 1) as f64 / (IDLE_CLIENTS + 1) as f64);
        thread::sleep((term + at).saturating_duration_since(Instant::now()));
        if wire.has_ended() {
            return Vec::new();
        }
        let lost = self.send_one(&mut wire, &format!("late{n}")).err();
        lost.map(|lost| format!("{lost}, sent {at:?} after SIGTERM")).into_iter().collect()
    }

    /// Writes a body as slowly as a compliant client may, and its last byte shortly before SIGKILL.
    fn finish_body_late(&self, mut wire: RawConnection, n: usize, term: Instant) -> Vec<String> {
        const PIECE: usize = 4_000;
        const PAUSE: Duration = Duration::from_millis(50);
        let end = self.time_to_kill() - FINAL_WINDOW + Duration::from_millis(20 * n as u64);
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
            vec![format!("{id}: complete {end:?} after SIGTERM, no response")]
        }
    }
}

fn run_scenarios(deadline_ms: u64) {
    let deadline = Duration::from_millis(deadline_ms);
    let lost: Vec<String> = thread::scope(|scope| {
        let mut all = Vec::new();
        for (has_successor, all_endpoints_hang) in
            [(false, false), (false, true), (true, false), (true, true)]
        {
            let scenario = Scenario { deadline, has_successor, all_endpoints_hang };
            let run =
                move || scenario.run().into_iter().map(|lost| format!("{scenario:?}: {lost}")).collect();
            all.push(scope.spawn::<_, Vec<String>>(run));
        }
        all.into_iter().flat_map(|scenario| scenario.join().unwrap()).collect()
    });
    assert!(lost.is_empty(), "{} lost:\n{}", lost.len(), lost.join("\n"));
}

#[test]
fn each_request_is_answered_before_sigkill_with_deadlines_of_0_3_seconds() {
    run_scenarios(300);
}

#[test]
fn each_request_is_answered_before_sigkill_with_deadlines_of_0_5_seconds() {
    run_scenarios(500);
}

#[test]
fn each_request_is_answered_before_sigkill_with_deadlines_of_1_second() {
    run_scenarios(1000);
}

#[test]
fn each_request_is_answered_before_sigkill_with_deadlines_of_3_seconds() {
    run_scenarios(3000);
}

#[test]
fn a_response_without_a_length_that_shutdown_truncates_ends_with_a_reset() {
    let listener = ScriptedListener::new();
    let scenario =
        Scenario { deadline: Duration::from_millis(500), has_successor: false, all_endpoints_hang: true };
    let peer = Peer::serving("unused");
    let (mut config, _) = scenario.config(&[&peer]);
    config["known"] = list(7, true, &[target("s-0", listener.address, "up")]);
    config["discovery"] = json!(unused_address().to_string());
    let mut sidecar = Sidecar::start(&config);
    let mut client = RawConnection::connect(sidecar.address);
    client.write(&request("quote", "r1", &scenario.timeout()).replace("HTTP/1.1", "HTTP/1.0"));
    let (mut endpoint, _) = listener.accept_request();
    endpoint.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    endpoint.write_chunk(&"y".repeat(100_000));
    sidecar.signal("-TERM");
    // The endpoint keeps writing until the sidecar exits.
    let reader = thread::spawn(move || client.read_until_end(WAIT_TIMEOUT));
    while endpoint.try_write("3e8\r\n") && endpoint.try_write(&("y".repeat(1000) + "\r\n")) {
        thread::sleep(Duration::from_millis(20));
    }
    assert!(sidecar.wait_for_exit().success());
    let (bytes, end) = reader.join().unwrap();
    assert!(bytes.len() > 100_000, "streamed only {} bytes", bytes.len());
    assert_eq!(end, End::Reset, "an orderly close would look like a complete response");
}
