//! Transitions between the states of the process.

use curlewhub_runtime::lifecycle::{Lifecycle, State};
use std::time::Duration;

#[test]
fn a_drain_can_be_undone_and_a_termination_can_not() {
    let lifecycle = Lifecycle::new(Duration::from_secs(1));
    assert_eq!(lifecycle.state(), State::Starting);
    assert!(!lifecycle.resume(), "resumed before the start is completed");
    lifecycle.start_completed();
    assert!(lifecycle.is_ready() && lifecycle.resume());
    assert!(lifecycle.drain());
    let since = lifecycle.draining_since();
    assert!(since.is_some() && lifecycle.drain());
    assert_eq!(lifecycle.draining_since(), since, "the first drain sets the time");
    assert!(lifecycle.resume());
    assert_eq!((lifecycle.state(), lifecycle.draining_since()), (State::Ready, None));
    lifecycle.drain();
    lifecycle.terminate();
    assert!(lifecycle.drain() && !lifecycle.resume());
    assert_eq!(lifecycle.state(), State::Terminating);
}

#[test]
fn a_drain_undone_during_the_start_returns_to_starting() {
    let lifecycle = Lifecycle::new(Duration::from_secs(1));
    lifecycle.drain();
    assert!(!lifecycle.resume());
    assert_eq!(lifecycle.state(), State::Starting);
    lifecycle.start_completed();
    assert!(lifecycle.resume());
}
