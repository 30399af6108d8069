//! What others may ask of a balancer, and what goes from one to another. Decides nothing.

use super::{Balancer, Fate, RETRY_SAVED};
use crate::types::{CellId, EndpointId, EndpointState, RequestId, Semantics, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What goes along with a share that is given.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShareTransfer {
    /// The giver's windows, own zone and others, and whether they still open.
    pub(super) windows: [(f64, bool); 2],
    /// Retries saved up.
    pub(super) retries: f64,
}

impl ShareTransfer {
    /// Whether a balancer could have given it.
    pub fn is_valid(&self) -> bool {
        let window = |(size, _): &(f64, bool)| size.is_finite() && *size >= 0.0;
        self.windows.iter().all(window) && (0.0..=RETRY_SAVED).contains(&self.retries)
    }
}

impl Balancer {
    /// Things remembered: endpoints, requests, timers. Stays in proportion to what is going on.
    pub fn tracked_items(&self) -> usize {
        self.endpoints.len() + self.requests.len() + self.timers.len() + self.held.len()
    }

    /// Where an endpoint is.
    pub fn location(&self, id: EndpointId) -> Option<(ZoneId, CellId)> {
        self.index.get(&id).map(|&i| (self.endpoints[i].info.zone, self.endpoints[i].info.cell))
    }

    /// Until when the newest attempt of a request may begin: a keyed job that may have run before is repeated
    /// within its window. None where nothing bounds it.
    pub fn retry_deadline(&self, id: RequestId) -> Option<Duration> {
        let pending = self.requests.get(&id)?;
        let Semantics::Keyed { window, .. } = self.settings.classes[pending.class].semantics else {
            return None;
        };
        let (_newest, before) = pending.attempts.split_last()?;
        let own = before.iter().find(|attempt| attempt.fate != Fate::NeverRan).map(|attempt| attempt.sent);
        let first = pending.earlier.map(|earlier| earlier.sent).or(own)?;
        Some(first + window)
    }

    /// How many listed endpoints it avoids now: out of use by hand, leaving, or barred by failures alone.
    pub fn avoided_endpoints(&self, now: Duration) -> usize {
        let avoided = |&i: &usize| {
            let endpoint = &self.endpoints[i];
            let heat = (endpoint.heat(now) - self.common_heat).max(0.0);
            let listed = endpoint.info.state != EndpointState::Gone;
            listed && (!endpoint.is_ready() || heat + 1.0 > self.room(now, i))
        };
        (0..self.endpoints.len()).filter(avoided).count()
    }

    /// The share that this balancer may use, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
