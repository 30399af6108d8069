//! Server changes that no whole list has completed, and when each counts as notified.

use crate::Epoch;
use crate::timing::{LEASE_SLACK, NOTIFIED_AFTER_SERVER_CHANGE, NOTIFIED_WITHIN};
use std::time::Duration;

/// The maximum number of incomplete server changes. If there are more, the two oldest count as one.
const MAX_INCOMPLETE: usize = 8;

/// When a change at the server named so far may count as notified.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EarlierBound {
    /// Changes were notified as they were made.
    None,
    /// That server could not be reached, so far as is known; an outage that continues moves the time.
    Outage(Duration),
    /// That server was available.
    Fixed(Duration),
}

/// A server change without a whole list of its server or of a later one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerChange {
    /// The server. Servers that were replaced before they answered have no change of their own.
    pub epoch: Epoch,
    /// The time of the first configuration that this change stands for.
    pub since: Duration,
    /// When the list of the server counts as notified: an endpoint that no server since then has named is gone.
    deadline: Duration,
    /// When a change at a server before it may count as notified; nothing that the server shows moves this.
    inherited: Option<Duration>,
    reachability: KnownReachability,
}

/// What the calls to a server have shown since it was named.
#[derive(Clone, Copy, Debug, PartialEq)]
enum KnownReachability {
    /// No call has ended yet.
    Unknown,
    /// No connection was established.
    Unreachable,
    /// A call was held, answered or refused, or its connection broke.
    Reached,
}

impl ServerChange {
    /// From when on only endpoints that the server or a later one has named may be used.
    pub fn notified_at(&self) -> Duration {
        self.inherited.map_or(self.deadline, |inherited| inherited.min(self.deadline))
    }
}

/// The incomplete server changes, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ServerChanges {
    incomplete: Vec<ServerChange>,
}

impl ServerChanges {
    /// Records that a configuration names the server `epoch`. `previous_answered` is whether the server named before has
    /// answered. If it has not, its deadline still applies: what it would have told counts as notified by then. So does
    /// `bound`: the new server's answer covers changes at the servers before only as far as it names endpoints.
    pub fn server_named(
        &mut self,
        now: Duration,
        epoch: Epoch,
        previous_answered: bool,
        bound: EarlierBound,
    ) {
        let deadline = now + NOTIFIED_AFTER_SERVER_CHANGE;
        let (deadline, inherited) = match bound {
            EarlierBound::None => (deadline, None),
            EarlierBound::Outage(at) => (deadline.min(at), None),
            EarlierBound::Fixed(at) => (deadline, Some(at)),
        };
        match self.incomplete.last_mut().filter(|_| !previous_answered) {
            Some(unanswered) => {
                unanswered.epoch = epoch;
                unanswered.inherited = earlier(unanswered.inherited, inherited);
                // What the server before had may count as notified, unless its calls showed that it could not be reached.
                if unanswered.reachability != KnownReachability::Unreachable {
                    unanswered.inherited = earlier(unanswered.inherited, Some(unanswered.deadline));
                }
                unanswered.reachability = KnownReachability::Unknown;
                unanswered.deadline = unanswered.deadline.min(deadline);
            }
            None => {
                let (since, reachability) = (now, KnownReachability::Unknown);
                self.incomplete.push(ServerChange { epoch, since, deadline, inherited, reachability });
            }
        }
        if self.incomplete.len() > MAX_INCOMPLETE {
            self.merge_oldest();
        }
    }

    /// Makes one change of the two oldest, with the earlier deadline.
    fn merge_oldest(&mut self) {
        let oldest = self.incomplete.remove(0);
        let next = &mut self.incomplete[0];
        next.since = oldest.since;
        next.inherited = earlier(next.inherited, Some(oldest.notified_at()));
    }

    /// Records that a call has shown that the newest server can be reached. No later failure moves its deadline.
    pub fn newest_reached(&mut self) {
        if let Some(newest) = self.incomplete.last_mut() {
            newest.reachability = KnownReachability::Reached;
        }
    }

    /// Records that the newest server could not be reached when a call to it started. As long as no call has reached it,
    /// it can have told nothing before that, unless its deadline has passed.
    pub fn newest_unreachable(&mut self, now: Duration, call_started_at: Duration) {
        let Some(newest) = self.incomplete.last_mut() else { return };
        if newest.reachability == KnownReachability::Reached || call_started_at < newest.since {
            return;
        }
        if newest.notified_at() > now + LEASE_SLACK {
            newest.reachability = KnownReachability::Unreachable;
            newest.deadline = newest.deadline.max(call_started_at + NOTIFIED_WITHIN);
        }
    }

    /// Removes the changes to this server and to earlier ones: only endpoints that it or a later server has named stay in
    /// use.
    pub fn completed(&mut self, epoch: Epoch) {
        self.incomplete.retain(|change| change.epoch > epoch);
    }

    /// The change that counts as notified first, the newest of several.
    pub fn first_notified(&self) -> Option<&ServerChange> {
        self.incomplete.iter().rev().min_by_key(|change| change.notified_at())
    }

    /// The time of the first configuration whose server has not answered completely.
    pub fn since(&self) -> Option<Duration> {
        self.incomplete.first().map(|change| change.since)
    }

    /// Whether all changes are complete.
    pub fn is_empty(&self) -> bool {
        self.incomplete.is_empty()
    }
}

fn earlier(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}
