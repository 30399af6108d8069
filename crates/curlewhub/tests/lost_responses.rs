//! Runs the built sidecar with endpoints that never respond to single requests.

#[path = "support/mod.rs"]
mod support;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::*;

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
