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
    /// Whether a call has shown that the server could be reached.
    was_reached: bool,
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
                (unanswered.epoch, unanswered.was_reached) = (epoch, false);
                unanswered.deadline = unanswered.deadline.min(deadline);
                unanswered.inherited = earlier(unanswered.inherited, inherited);
            }
            None => {
                let (since, was_reached) = (now, false);
                self.incomplete.push(ServerChange { epoch, since, deadline, inherited, was_reached });
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
            newest.was_reached = true;
        }
    }

    /// Records that the newest server could not be reached when a call to it started. As long as no call has reached it,
    /// it can have told nothing before that, unless its deadline has passed.
    pub fn newest_unreachable(&mut self, now: Duration, call_started_at: Duration) {
        let newest = self.incomplete.last_mut();
        if let Some(newest) = newest.filter(|newest| !newest.was_reached && newest.since <= call_started_at)
            && newest.notified_at() > now + LEASE_SLACK
        {
            newest.deadline = newest.deadline.max(call_started_at + NOTIFIED_WITHIN);
        }
    }

    /// Removes the changes to this server and to earlier ones: only endpoints that it or a later server has named stay in
    /// use.
    pub fn completed(&mut self, epoch: Epoch) {
        self.incomplete.retain(|change| change.epoch > epoch);
    }

    /// The oldest incomplete change.
    pub fn oldest(&self) -> Option<&ServerChange> {
        self.incomplete.first()
    }

    /// Whether all changes are complete.
    pub fn is_empty(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// When the first of the changes counts as notified.
    pub fn notified_at(&self) -> Option<Duration> {
        self.incomplete.iter().map(ServerChange::notified_at).min()
    }
}

fn earlier(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}
