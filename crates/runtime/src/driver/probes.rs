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
        let address = self.addresses.get(&endpoint).filter(|_| !self.banned.contains(&endpoint));
        let Some(&address) = address else {
            let (outcome, elapsed, report) = (Outcome::ConnectFailed, Duration::ZERO, None);
            return self.due.push_back(Event::ProbeEnded { endpoint, outcome, elapsed, report });
        };
        let (outbound, inbox, sent) = (self.outbound.clone(), self.inbox.clone(), Instant::now());
        spawn_local(async move {
            let ended = outbound.probe(endpoint, address).await;
            let _ = inbox.send(Input::ProbeEnded(endpoint, ended, sent.elapsed()));
        });
    }

    /// Probes some endpoints of a zone, others each time.
    pub(super) fn probe_zone(&mut self, zone: ZoneId, count: u32, within: Duration) {
        let usable = |id: &EndpointId| {
            !self.banned.contains(id) && self.balancer.location(*id).is_some_and(|(place, _)| place == zone)
        };
        let mut there: Vec<EndpointId> = self.addresses.keys().copied().filter(usable).collect();
        there.sort_unstable();
        if there.is_empty() {
            // No endpoint is listed in the zone: the probes count as unanswered.
            (0..count).for_each(|_| self.call_observer.zone_probe_ended(zone, false));
        }
        for _ in 0..there.len().min(count as usize) {
            self.probes = self.probes.wrapping_add(1);
            let endpoint = there[self.probes % there.len()];
            let (outbound, address, observer) =
                (self.outbound.clone(), self.addresses[&endpoint], self.call_observer.clone());
            spawn_local(async move {
                let ended =
                    timeout(within, outbound.probe(endpoint, address)).await.map(|ended| ended.outcome);
                if matches!(ended, Ok(Outcome::LocalFault)) {
                    return; // nothing was sent
                }
                // Any answer shows that the endpoint can be reached.
                observer.zone_probe_ended(
                    zone,
                    matches!(ended, Ok(Outcome::Ok | Outcome::Error | Outcome::Rejected)),
                );
            });
        }
    }
}
