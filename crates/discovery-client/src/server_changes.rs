//! Server changes that no whole list has completed, and when each counts as notified.

use crate::Epoch;
use crate::timing::{LEASE_SLACK, NOTIFIED_AFTER_SERVER_CHANGE, NOTIFIED_WITHIN};
use std::time::Duration;

/// The maximum number of incomplete server changes. If there are more, the two oldest count as one.
const MAX_INCOMPLETE: usize = 8;

/// A server change without a whole list of its server or of a later one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerChange {
    /// The server. Servers that were replaced before they answered have no change of their own.
    pub epoch: Epoch,
    /// The time of the first configuration that this change stands for.
    pub since: Duration,
    /// When the list of the server counts as notified: an endpoint that no server since then has named is gone.
    pub notified_at: Duration,
    /// Whether a call has shown that the server could be reached.
    was_reached: bool,
}

/// The incomplete server changes, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ServerChanges {
    incomplete: Vec<ServerChange>,
}

impl ServerChanges {
    /// Records that a configuration names the server `epoch`. `previous_answered` is whether the server named before has
    /// answered. If it has not, its deadline goes on: what it would have told counts as notified by then. So does
    /// `current_bound`, when a change of the current list may count as notified: the new server's answer covers only what
    /// it names.
    pub fn server_named(
        &mut self,
        now: Duration,
        epoch: Epoch,
        previous_answered: bool,
        current_bound: Option<Duration>,
    ) {
        let deadline = now + NOTIFIED_AFTER_SERVER_CHANGE;
        let notified_at = current_bound.map_or(deadline, |bound| bound.min(deadline));
        match self.incomplete.last_mut().filter(|_| !previous_answered) {
            Some(unanswered) => {
                (unanswered.epoch, unanswered.was_reached) = (epoch, false);
                unanswered.notified_at = unanswered.notified_at.min(notified_at);
            }
            None => {
                self.incomplete.push(ServerChange { epoch, since: now, notified_at, was_reached: false })
            }
        }
        if self.incomplete.len() > MAX_INCOMPLETE {
            let oldest = self.incomplete.remove(0);
            let next = &mut self.incomplete[0];
            (next.since, next.notified_at) = (oldest.since, next.notified_at.min(oldest.notified_at));
        }
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
            && newest.notified_at > now + LEASE_SLACK
        {
            newest.notified_at = newest.notified_at.max(call_started_at + NOTIFIED_WITHIN);
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
        self.incomplete.iter().map(|change| change.notified_at).min()
    }
}
