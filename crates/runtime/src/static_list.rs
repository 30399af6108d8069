//! The endpoint list of the configuration file, for installations without discovery.
//!
//! A new list holds at once. What is gone from it is first drained, for as long as a request may take, and
//! only then leaves; what is new in it, or has moved to another address, is taken for cold.

use crate::clock::Clock;
use crate::events::{Inbox, Input, ListCommand, ListUpdate};
use crate::listing::Listing;
use curlewhub_balance::Membership;
use curlewhub_config::list::{EndpointList, Target, TargetState};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep_until};
use tracing::info;

/// The list, and what is leaving it. Sans I/O: times are passed in.
struct Held {
    rev: u64,
    targets: Vec<Target>,
    /// What was taken from the list, drained until then.
    leaving: Vec<(Instant, Target)>,
}

impl Held {
    fn new(targets: Vec<Target>) -> Self {
        Held { rev: 1, targets, leaving: Vec::new() }
    }

    /// Takes over a new list; `unix_ms` is the time now for what starts with it.
    fn replace(&mut self, new: Vec<Target>, now: Instant, linger: Duration, unix_ms: f64) {
        self.rev += 1;
        let old = std::mem::take(&mut self.targets);
        // By name: a file may hold 100,000 endpoints, and traffic waits while it is taken over.
        let stays: HashSet<&str> = new.iter().map(|target| target.uid.as_str()).collect();
        self.leaving.retain(|(_, left)| !stays.contains(left.uid.as_str()));
        let gone = old.iter().filter(|target| !stays.contains(target.uid.as_str()));
        let drained = gone.map(|target| Target { state: TargetState::Draining, ..target.clone() });
        self.leaving.extend(drained.map(|target| (now + linger, target)));
        let before: HashMap<&str, &Target> =
            old.iter().map(|target| (target.uid.as_str(), target)).collect();
        let known = |target: &Target| {
            let before =
                before.get(target.uid.as_str()).filter(|before| before.endpoint == target.endpoint);
            before.map(|before| before.boot_ms)
        };
        self.targets = new
            .into_iter()
            .map(|target| Target { boot_ms: known(&target).unwrap_or(unix_ms), ..target })
            .collect();
    }

    /// Drops what has been drained for long enough; whether anything has.
    fn expire(&mut self, now: Instant) -> bool {
        let before = self.leaving.len();
        self.leaving.retain(|(until, _)| *until > now);
        self.rev += u64::from(self.leaving.len() != before);
        self.leaving.len() != before
    }

    fn next(&self) -> Option<Instant> {
        self.leaving.iter().map(|(until, _)| *until).min()
    }

    fn list(&self) -> EndpointList {
        let leaving = self.leaving.iter().map(|(_, target)| target);
        EndpointList {
            rev: self.rev,
            is_complete: true,
            targets: self.targets.iter().chain(leaving).cloned().collect(),
        }
    }
}

/// Answers the driver's calls with the list, each with exactly one event, and tells what a reload changes.
/// `linger` is the longest that a request at an endpoint may still take.
pub async fn run(
    targets: Vec<Target>,
    linger: Duration,
    clock: Clock,
    listing: Rc<Listing>,
    mut calls: UnboundedReceiver<ListCommand>,
    inbox: Inbox,
) {
    let mut held = Held::new(targets);
    let tell = |news| drop(inbox.send(Input::ListUpdate(news))); // fails only while the process ends
    loop {
        let until = held.next();
        let call = tokio::select! {
            call = calls.recv() => call,
            () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {
                if held.expire(Instant::now()) {
                    tell(listing.update(held.list()));
                }
                continue;
            }
        };
        match call {
            None => return,
            Some(ListCommand::Watch(_)) => {
                tell(ListUpdate { membership: Membership::Delta(Vec::new()), addresses: Vec::new() });
            }
            Some(ListCommand::Fetch) => tell(listing.update(held.list())),
            Some(ListCommand::SetAddress(_)) => {} // there is no discovery to move to
            Some(ListCommand::ReplaceTargets(new)) => {
                held.replace(new, Instant::now(), linger, clock.now().as_secs_f64() * 1e3);
                let (endpoints, draining) = (held.targets.len(), held.leaving.len());
                info!(rev = held.rev, endpoints, draining, "list from the file");
                tell(listing.update(held.list()));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn target(uid: &str, port: u16) -> Target {
        Target {
            uid: uid.to_owned(),
            endpoint: ([127, 0, 0, 1], port).into(),
            az: String::new(),
            model: String::new(),
            pod_group: 0,
            state: TargetState::Up,
            capacity_hint: 1.0,
            boot_ms: 0.0,
        }
    }

    fn states(held: &Held) -> Vec<(String, TargetState, f64)> {
        held.list().targets.into_iter().map(|t| (t.uid, t.state, t.boot_ms)).collect()
    }

    #[test]
    fn what_goes_is_drained_first_and_what_comes_or_moves_is_cold() {
        let (now, linger) = (Instant::now(), Duration::from_secs(4));
        let mut held = Held::new(vec![target("a", 1), target("b", 2), target("c", 3)]);
        held.replace(vec![target("a", 1), target("b", 9), target("d", 4)], now, linger, 7.0);
        let up = |uid: &str, boot| (uid.to_owned(), TargetState::Up, boot);
        let drained = ("c".to_owned(), TargetState::Draining, 0.0);
        assert_eq!(states(&held), [up("a", 0.0), up("b", 7.0), up("d", 7.0), drained]);
        assert!(!held.expire(now + linger / 2), "it still drains");
        assert!(held.expire(now + linger));
        assert_eq!(states(&held), [up("a", 0.0), up("b", 7.0), up("d", 7.0)]);
        assert_eq!(held.next(), None);
    }

    #[test]
    fn what_comes_back_while_it_drains_is_up_again_and_nothing_is_listed_twice() {
        let (now, linger) = (Instant::now(), Duration::from_secs(4));
        let mut held = Held::new(vec![target("a", 1), target("b", 2)]);
        held.replace(vec![target("a", 1)], now, linger, 7.0);
        held.replace(vec![target("a", 1), target("b", 2)], now, linger, 8.0);
        let up = |uid: &str, boot| (uid.to_owned(), TargetState::Up, boot);
        assert_eq!(states(&held), [up("a", 0.0), up("b", 8.0)]);
        assert_eq!(held.list().rev, 3);
    }
}
