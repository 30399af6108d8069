//! Runs the built sidecar when more requests arrive at once than it has measured its endpoints to handle.

#[path = "support/mod.rs"]
mod support;

use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use support::*;

#[test]
fn the_concurrency_limit_of_few_endpoints_grows_as_soon_as_responses_are_on_time() {
    let (received, released) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let (counter, gate) = (received.clone(), released.clone());
    // Holds each request until the test releases it.
    let peer = Peer::new(move |_| {
        let number = counter.fetch_add(1, Ordering::SeqCst);
        wait_for("the gate", || gate.load(Ordering::SeqCst) > number);
        Action::Serve("ok")
    });
    let mut config = config(&[&peer]);
    // Inside a tier no response counts as late by its duration, so that a slow machine does not change the
    // result.
    config["settings"]["tiers"] = json!(["t", "u"]);
    config["settings"]["stage"] = json!(1);
    let sidecar = Sidecar::start(&config);
    let mut total = 0;
    // Only the first, on-time responses of each round allow the next, larger round through at once.
    for at_once in [3, 4, 6, 8] {
        let mut clients: Vec<Client> = (0..at_once).map(|_| sidecar.client()).collect();
        for client in &mut clients {
            total += 1;
            client.send(&request("quote", &format!("r{total}"), "20000m"));
        }
        wait_for(&format!("{at_once} calls at once"), || received.load(Ordering::SeqCst) == total);
        released.store(total, Ordering::SeqCst);
        for client in &mut clients {
            assert_eq!(client.receive().expect("a response").status(), 200);
        }
    }
}
