//! Probes of endpoints, for the balancer and for a control plane.

use super::Driver;
use crate::events::Input;
use curlewhub_balance::{EndpointId, Event, Outcome, ZoneId};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

impl Driver {
    /// Probes an endpoint for the balancer.
    pub(super) fn probe(&mut self, endpoint: EndpointId) {
        let out_of_use = self.banned.contains(&endpoint) || self.unconfirmed.contains(&endpoint);
        let address = self.addresses.get(&endpoint).filter(|_| !out_of_use);
        let Some(&address) = address else {
            let (outcome, elapsed, report) = (Outcome::ConnectFailed, Duration::ZERO, None);
            return self.pending_events.push_back(Event::ProbeEnded { endpoint, outcome, elapsed, report });
        };
        let (outbound, inbox, sent_at) = (self.outbound.clone(), self.inbox.clone(), Instant::now());
        spawn_local(async move {
            let result = outbound.probe(endpoint, address).await;
            let _ = inbox.send(Input::ProbeEnded(endpoint, result, sent_at.elapsed()));
        });
    }

    /// Probes this many endpoints of a zone, in turn over successive calls.
    pub(super) fn probe_zone(&mut self, zone: ZoneId, count: u32, within: Duration) {
        let usable = |id: &EndpointId| {
            !self.banned.contains(id)
                && !self.unconfirmed.contains(id)
                && self.balancer.location(*id).is_some_and(|(its_zone, _)| its_zone == zone)
        };
        let mut candidates: Vec<EndpointId> = self.addresses.keys().copied().filter(usable).collect();
        candidates.sort_unstable();
        if candidates.is_empty() {
            // No endpoint is listed in the zone: the probes count as unanswered.
            (0..count).for_each(|_| self.call_observer.zone_probe_ended(zone, false));
        }
        for _ in 0..candidates.len().min(count as usize) {
            self.zone_probes = self.zone_probes.wrapping_add(1);
            let endpoint = candidates[self.zone_probes % candidates.len()];
            let (outbound, address, observer) =
                (self.outbound.clone(), self.addresses[&endpoint], self.call_observer.clone());
            spawn_local(async move {
                let outcome =
                    timeout(within, outbound.probe(endpoint, address)).await.map(|result| result.outcome);
                if matches!(outcome, Ok(Outcome::LocalFault)) {
                    return; // not sent, so it says nothing about the zone
                }
                // Any response shows that the endpoint can be reached.
                observer.zone_probe_ended(
                    zone,
                    matches!(outcome, Ok(Outcome::Ok | Outcome::Error | Outcome::Rejected)),
                );
            });
        }
    }
}
