//! What the driver does with the endpoint list: addresses, which endpoints may be written to, and until when the list may be used.

use super::Driver;
use crate::events::{ListStatus, ListUpdate};
use curlewhub_balance::{EndpointId, EndpointInfo, EndpointState, Event, Membership};
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// A start that lies ahead by less is put down to clocks that differ a little.
const START_SLACK: Duration = Duration::from_secs(1);

impl Driver {
    /// Warns of endpoints whose stated start lies ahead of this machine's clock. The statement itself stays: the module
    /// counts no start as later than now, and one that was rewritten on each listing would look like a new start each time.
    fn warn_of_future_starts(&self, entries: &[EndpointInfo]) {
        let now = self.clock.now();
        for entry in entries {
            let ahead = entry.started.map_or(Duration::ZERO, |started| started.saturating_sub(now));
            if ahead > START_SLACK {
                let endpoint = self.listing.uid(entry.id);
                warn!(endpoint, field = "boot_ms", ?ahead, "it lies in the future: taken for now");
            }
        }
    }

    /// Applies a list, or a change of one: addresses, what may be written to, and the balancer's membership.
    pub(super) fn list(&mut self, news: ListUpdate) {
        for (id, address) in &news.addresses {
            let before = self.addresses.insert(*id, *address);
            if before.is_some_and(|before| before != *address) {
                self.outbound.close_idle(*id);
            }
        }
        let named: Vec<EndpointId> = news.addresses.iter().map(|(id, _)| *id).collect();
        if let Membership::Full(entries) | Membership::Cached(entries) | Membership::Delta(entries) =
            &news.membership
        {
            self.warn_of_future_starts(entries);
        }
        let (whole, entries) = match &news.membership {
            Membership::Full(entries) | Membership::Cached(entries) => (true, entries),
            Membership::Delta(entries) => (false, entries),
            Membership::Failed | Membership::Refused => {
                return self.handle(Event::Membership(news.membership));
            }
        };
        for entry in entries {
            match entry.state {
                EndpointState::Draining => self.draining.insert(entry.id),
                EndpointState::Ready | EndpointState::Gone => self.draining.remove(&entry.id),
            };
        }
        for entry in entries.iter().filter(|entry| entry.state != EndpointState::Ready) {
            // No new request is written to it.
            self.outbound.close_idle(entry.id);
            let state = if entry.state == EndpointState::Gone { "gone" } else { "draining" };
            info!(endpoint = self.listing.uid(entry.id), state, "endpoint leaves");
            if entry.state == EndpointState::Gone {
                self.addresses.remove(&entry.id);
            }
        }
        if whole {
            let outbound = &self.outbound;
            let listed: HashSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
            self.addresses.retain(|id, _| {
                let stays = listed.contains(id);
                if !stays {
                    outbound.close_idle(*id);
                    outbound.set_admitted(*id, None);
                }
                stays
            });
            self.draining.retain(|id| listed.contains(id));
        }
        named.into_iter().for_each(|id| self.admit(id));
        self.listing.keep(|id| self.addresses.contains_key(&id) || self.banned.contains(&id));
        self.handle(Event::Membership(news.membership));
    }

    /// Behind its expiry nothing new begins by the list that is held, neither chosen nor written.
    pub(super) fn list_status(&mut self, status: ListStatus) {
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
        self.handle(Event::ListLease { expires });
    }
}
