//! Runs the built sidecar with endpoints that never respond to single requests, or break off their answers.

#[path = "support/mod.rs"]
mod support;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use support::script::RawConnection;
use support::slow_endpoint::{Arrival, Heads, SlowEndpoints, SlowRequest};
use support::*;

/// Sidecars, and the answers that break off at once while each of them is held up.
const SIDECARS: usize = 6;
const BROKEN_ANSWERS: usize = 4;
/// For how long it is held up: longer than the interval of its checks of a response that has begun.
const HOLD: Duration = Duration::from_millis(150);

#[test]
fn a_safe_request_without_a_response_is_hedged_before_its_deadline() {
    let withheld = Arc::<Mutex<HashSet<String>>>::default();
    let peer = || {
        let withheld = withheld.clone();
        Peer::new(move |message| {
            let id = message.header("x-request-id");
            let first = id.starts_with("lost") && withheld.lock().unwrap().insert(id.to_owned());
            if first { Action::NeverAnswer } else { Action::ServeAfter(Duration::from_millis(20)) }
        })
    };
    let (a, b) = (peer(), peer());
    let sidecar = Sidecar::start(&config(&[&a, &b]));
    let mut client = sidecar.client();
    let mut number = 0;
    // Many on-time responses for each missing one, so that the endpoint never appears silent. On a machine
    // so slow that responses are late, no second copy may be sent; the test then tries again.
    wait_for("a response to a second copy", || {
        for _ in 0..25 {
            number += 1;
            assert_eq!(client.send_request("quote", &format!("r{number}")).status(), 200);
        }
        let mut other = sidecar.client();
        other.send(&request("quote", &format!("lost{number}"), "3000m"));
        let response = other.receive().expect("a response");
        response.status() == 200
    });
    assert!(!withheld.lock().unwrap().is_empty());
}

/// Guards against half of an answer that is served as a whole one: it states no length, and is reset while the sidecar is
/// held up.
#[test]
fn an_answer_without_a_length_that_is_reset_while_the_sidecar_is_held_up_is_not_served() {
    thread::scope(|scope| {
        for _ in 0..SIDECARS {
            scope.spawn(|| {
                let endpoints = SlowEndpoints::start(BROKEN_ANSWERS, Heads::Read);
                let sidecar = Sidecar::start(&config_for_addresses(&endpoints.addresses));
                let (mut clients, mut attempts) = (Vec::new(), Vec::new());
                for number in 0..BROKEN_ANSWERS {
                    let mut client = RawConnection::connect(sidecar.address);
                    client.write(&request("book", &format!("r{number}"), "10000m"));
                    let mut attempt: SlowRequest = endpoints.next();
                    assert_eq!(attempt.read_rest(), Arrival::Whole);
                    attempt.write("HTTP/1.1 200 OK\r\n\r\nhalf of it");
                    clients.push(client);
                    attempts.push(attempt);
                }
                thread::sleep(HOLD);
                sidecar.signal("-STOP");
                attempts.into_iter().for_each(SlowRequest::reset);
                thread::sleep(HOLD);
                sidecar.signal("-CONT");
                for mut client in clients {
                    assert_eq!(client.read().expect("a response").status(), 502);
                }
            });
        }
    });
}
