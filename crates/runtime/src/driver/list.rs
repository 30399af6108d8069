//! Updates of the endpoint list: endpoint addresses, which endpoints new requests may be written to, and
//! until when the list may be used.

use super::Driver;
use super::attempts::Attempt;
use crate::events::{ListStatus, ListUpdate};
use crate::sent_jobs::JobIdentity;
use curlewhub_balance::{EndpointId, EndpointInfo, EndpointState, Event, Membership, RequestId};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// Start times that lie in the future by no more than this are attributed to clock differences between
/// machines.
const MAX_START_SKEW: Duration = Duration::from_secs(1);

/// An endpoint may have started this much before its stated start, by the clock of this machine.
const START_TIME_MARGIN: Duration = Duration::from_millis(250);

impl Driver {
    /// Warns of endpoints whose listed start time is ahead of this machine's clock. The value itself is not
    /// corrected: the balancer counts no start as later than now, and a value rewritten in each list would
    /// look like a restart each time.
    fn warn_of_future_starts(&self, entries: &[EndpointInfo]) {
        let now = self.clock.now();
        for entry in entries {
            let ahead = entry.started.map_or(Duration::ZERO, |started| started.saturating_sub(now));
            if ahead > MAX_START_SKEW {
                let endpoint = self.listing.uid(entry.id);
                warn!(endpoint, field = "boot_ms", ?ahead, "it lies in the future: taken for now");
            }
        }
    }

    /// Finds open requests that may have run at an endpoint other than the one they were sent to: another one is listed at
    /// its address now, and may have been there already. Where only a group of endpoints drops a repeat, none is sent.
    fn find_misplaced_attempts(&mut self, update: &ListUpdate) {
        let (Membership::Full(entries) | Membership::Delta(entries)) = &update.membership else { return };
        let addresses: HashMap<EndpointId, SocketAddr> = update.addresses.iter().copied().collect();
        let listed = entries.iter().filter(|entry| entry.state != EndpointState::Gone);
        let new_at: HashMap<SocketAddr, &EndpointInfo> = listed
            .filter_map(|entry| Some((*addresses.get(&entry.id)?, entry)))
            .filter(|(address, entry)| self.addresses.get(&entry.id) != Some(address))
            .collect();
        if new_at.is_empty() {
            return;
        }
        let now = self.clock.now();
        let may_be_misplaced = |attempt: &Attempt| {
            let Some(entry) = attempt.address.and_then(|address| new_at.get(&address)) else {
                return false;
            };
            let sent = now.saturating_sub(attempt.sent_at.elapsed());
            let started_before = entry.started.is_none_or(|at| at <= sent + START_TIME_MARGIN);
            entry.id != attempt.endpoint && started_before
        };
        let open = self.requests.iter().filter(|(_, open)| open.attempts.iter().any(may_be_misplaced));
        let misplaced: Vec<(RequestId, JobIdentity)> = open.map(|(id, open)| (*id, open.job)).collect();
        for (id, job) in misplaced {
            self.sent_jobs.set_place_unknown(now, job);
            self.pending_events.push_back(Event::GroupUnknown(id));
        }
        self.run_actions(Vec::new());
    }

    /// Applies a complete list or a change of it.
    pub(super) fn apply_list_update(&mut self, update: ListUpdate) {
        self.find_misplaced_attempts(&update);
        for (id, address) in &update.addresses {
            let before = self.addresses.insert(*id, *address);
            if before.is_some_and(|before| before != *address) {
                self.outbound.close_idle(*id);
            }
        }
        let updated: Vec<EndpointId> = update.addresses.iter().map(|(id, _)| *id).collect();
        if let Membership::Full(entries) | Membership::Cached(entries) | Membership::Delta(entries) =
            &update.membership
        {
            self.warn_of_future_starts(entries);
        }
        let (is_complete, entries) = match &update.membership {
            Membership::Full(entries) | Membership::Cached(entries) => (true, entries),
            Membership::Delta(entries) => (false, entries),
            Membership::Failed | Membership::Refused => {
                return self.handle_event(Event::Membership(update.membership));
            }
        };
        for entry in entries {
            let before = entry.started.and_then(|started| self.starts.insert(entry.id, started));
            if before.is_some() && before != entry.started {
                self.outbound.record_restart(entry.id);
            }
            self.unconfirmed.remove(&entry.id);
            match entry.state {
                EndpointState::Draining => self.draining.insert(entry.id),
                EndpointState::Ready | EndpointState::Gone => self.draining.remove(&entry.id),
            };
        }
        for entry in entries.iter().filter(|entry| entry.state != EndpointState::Ready) {
            // No new requests are written to it.
            self.outbound.close_idle(entry.id);
            let state = if entry.state == EndpointState::Gone { "gone" } else { "draining" };
            info!(endpoint = self.listing.uid(entry.id), state, "endpoint leaves");
            if entry.state == EndpointState::Gone {
                self.addresses.remove(&entry.id);
                self.starts.remove(&entry.id);
                self.outbound.forget(entry.id);
            }
        }
        if is_complete {
            let outbound = &self.outbound;
            let listed: HashSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
            self.addresses.retain(|id, _| {
                let stays = listed.contains(id);
                if !stays {
                    info!(endpoint = self.listing.uid(*id), state = "unlisted", "endpoint leaves");
                    outbound.forget(*id);
                    outbound.set_admitted(*id, None);
                }
                stays
            });
            self.starts.retain(|id, _| listed.contains(id));
            self.draining.retain(|id| listed.contains(id));
            self.unconfirmed.retain(|id| listed.contains(id));
        }
        updated.into_iter().for_each(|id| self.update_admission(id));
        self.listing.retain(|id| self.addresses.contains_key(&id) || self.banned.contains(&id));
        self.handle_event(Event::Membership(update.membership));
    }

    /// The uids of the endpoints that the list allows to be used, in order. Bans are apart from the list.
    pub(super) fn usable_endpoints(&self) -> Vec<String> {
        let usable = |id: &&EndpointId| !self.draining.contains(id) && !self.unconfirmed.contains(id);
        let mut uids: Vec<String> =
            self.addresses.keys().filter(usable).map(|id| self.listing.uid(*id)).collect();
        uids.sort_unstable();
        uids
    }

    /// Takes all endpoints except these out of use until they are named again.
    pub(super) fn apply_list_restriction(&mut self, named: Vec<EndpointId>) {
        let stays: HashSet<EndpointId> = named.iter().copied().collect();
        self.unconfirmed = self.addresses.keys().copied().filter(|id| !stays.contains(id)).collect();
        for id in &self.unconfirmed {
            info!(endpoint = self.listing.uid(*id), state = "unconfirmed", "endpoint leaves");
            self.outbound.close_idle(*id);
            self.update_admission(*id);
        }
        self.handle_event(Event::RestrictEndpoints(named));
    }

    /// Applies a new status of the list. After the list has expired, no endpoint is chosen from it and no
    /// request is written on its basis.
    pub(super) fn apply_list_status(&mut self, status: ListStatus) {
        let before = self.list_status.replace(status).and_then(|before| before.expires_at);
        if let Some(lapsed) = before.filter(|at| *at < Instant::now() && status.expires_at != Some(*at)) {
            let lapsed_ms = lapsed.elapsed().as_millis() as u64;
            info!(lapsed_ms, version = status.version, "list could not be used: requests were held");
        }
        if before == status.expires_at {
            return;
        }
        self.outbound.set_list_lease(status.expires_at);
        let left = status.expires_at.map(|at| at.saturating_duration_since(Instant::now()));
        let expires = left.map(|left| self.clock.now() + left);
        self.handle_event(Event::ListLease { expires });
    }
}
