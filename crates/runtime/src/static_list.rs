//! The endpoint list of the configuration file, for installations without discovery.
//!
//! A new list takes effect at once. An endpoint that was removed from it is first drained, for as long as a
//! request may take, and only then removed; an endpoint that is new in it, or has another address, counts
//! as just started (cold).

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

/// The list and the endpoints that are draining after their removal from it. Does no I/O: times are passed
/// in.
struct StaticList {
    rev: u64,
    targets: Vec<Target>,
    /// Endpoints that were removed from the list, and until when they drain.
    draining: Vec<(Instant, Target)>,
}

impl StaticList {
    fn new(targets: Vec<Target>) -> Self {
        StaticList { rev: 1, targets, draining: Vec::new() }
    }

    /// Replaces the list. `unix_ms` is the current time: the start time of endpoints that are new or have
    /// moved.
    fn replace(&mut self, new: Vec<Target>, now: Instant, drain_time: Duration, unix_ms: f64) {
        self.rev += 1;
        let old = std::mem::take(&mut self.targets);
        // Looked up in sets and maps: a file may list 100,000 endpoints, and traffic waits during the
        // replacement.
        let listed: HashSet<&str> = new.iter().map(|target| target.uid.as_str()).collect();
        self.draining.retain(|(_, removed)| !listed.contains(removed.uid.as_str()));
        let removed = old.iter().filter(|target| !listed.contains(target.uid.as_str()));
        let drained = removed.map(|target| Target { state: TargetState::Draining, ..target.clone() });
        self.draining.extend(drained.map(|target| (now + drain_time, target)));
        let before: HashMap<&str, &Target> =
            old.iter().map(|target| (target.uid.as_str(), target)).collect();
        let known_start = |target: &Target| {
            let before =
                before.get(target.uid.as_str()).filter(|before| before.endpoint == target.endpoint);
            before.map(|before| before.boot_ms)
        };
        self.targets = new
            .into_iter()
            .map(|target| Target { boot_ms: known_start(&target).unwrap_or(unix_ms), ..target })
            .collect();
    }

    /// Removes endpoints whose drain has ended. Returns whether there were any.
    fn expire(&mut self, now: Instant) -> bool {
        let before = self.draining.len();
        self.draining.retain(|(until, _)| *until > now);
        self.rev += u64::from(self.draining.len() != before);
        self.draining.len() != before
    }

    /// When the next drain ends.
    fn next_expiry(&self) -> Option<Instant> {
        self.draining.iter().map(|(until, _)| *until).min()
    }

    fn to_endpoint_list(&self) -> EndpointList {
        let draining = self.draining.iter().map(|(_, target)| target);
        EndpointList {
            rev: self.rev,
            is_complete: true,
            targets: self.targets.iter().chain(draining).cloned().collect(),
        }
    }
}

/// Answers each command that discovery would answer with exactly one update of the list, and sends an
/// update when a reload replaces the list or a drain ends. `drain_time` is the longest time that a request
/// at an endpoint may still take.
pub async fn run(
    targets: Vec<Target>,
    drain_time: Duration,
    clock: Clock,
    listing: Rc<Listing>,
    mut commands: UnboundedReceiver<ListCommand>,
    inbox: Inbox,
) {
    let mut list = StaticList::new(targets);
    let send = |update| drop(inbox.send(Input::ListUpdate(update))); // fails only while the process ends
    loop {
        let until = list.next_expiry();
        let command = tokio::select! {
            command = commands.recv() => command,
            () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {
                if list.expire(Instant::now()) {
                    send(listing.update(list.to_endpoint_list()));
                }
                continue;
            }
        };
        match command {
            None => return,
            Some(ListCommand::Watch(_)) => {
                send(ListUpdate { membership: Membership::Delta(Vec::new()), addresses: Vec::new() });
            }
            Some(ListCommand::Fetch) => send(listing.update(list.to_endpoint_list())),
            // There is no discovery server, and the list of the file is current.
            Some(ListCommand::SetAddress(_) | ListCommand::RestrictInitialList(_)) => {}
            Some(ListCommand::ReplaceTargets(new)) => {
                list.replace(new, Instant::now(), drain_time, clock.now().as_secs_f64() * 1e3);
                let (endpoints, draining) = (list.targets.len(), list.draining.len());
                info!(rev = list.rev, endpoints, draining, "list from the file");
                send(listing.update(list.to_endpoint_list()));
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

    fn states(list: &StaticList) -> Vec<(String, TargetState, f64)> {
        list.to_endpoint_list().targets.into_iter().map(|t| (t.uid, t.state, t.boot_ms)).collect()
    }

    #[test]
    fn removed_endpoints_drain_first_and_new_or_moved_ones_are_cold() {
        let (now, drain_time) = (Instant::now(), Duration::from_secs(4));
        let mut list = StaticList::new(vec![target("a", 1), target("b", 2), target("c", 3)]);
        list.replace(vec![target("a", 1), target("b", 9), target("d", 4)], now, drain_time, 7.0);
        let up = |uid: &str, boot| (uid.to_owned(), TargetState::Up, boot);
        let drained = ("c".to_owned(), TargetState::Draining, 0.0);
        assert_eq!(states(&list), [up("a", 0.0), up("b", 7.0), up("d", 7.0), drained]);
        assert!(!list.expire(now + drain_time / 2), "its drain has not ended");
        assert!(list.expire(now + drain_time));
        assert_eq!(states(&list), [up("a", 0.0), up("b", 7.0), up("d", 7.0)]);
        assert_eq!(list.next_expiry(), None);
    }

    #[test]
    fn an_endpoint_listed_again_while_draining_is_up_and_listed_once() {
        let (now, drain_time) = (Instant::now(), Duration::from_secs(4));
        let mut list = StaticList::new(vec![target("a", 1), target("b", 2)]);
        list.replace(vec![target("a", 1)], now, drain_time, 7.0);
        list.replace(vec![target("a", 1), target("b", 2)], now, drain_time, 8.0);
        let up = |uid: &str, boot| (uid.to_owned(), TargetState::Up, boot);
        assert_eq!(states(&list), [up("a", 0.0), up("b", 8.0)]);
        assert_eq!(list.to_endpoint_list().rev, 3);
    }
}
