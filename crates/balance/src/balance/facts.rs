//! What other code may ask of a balancer, and the state that moves between two balancers. Nothing is
//! decided here.

use super::{Balancer, MAX_RETRY_TOKENS, Run};
use crate::types::{CellId, ClassId, EndpointId, EndpointState, RequestId, Semantics, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The state that moves with a part of a share.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShareTransfer {
    /// The giver's windows, for the own zone and for others, and whether they are still ramping up.
    pub(super) windows: [(f64, bool); 2],
    /// Retry tokens.
    pub(super) retries: f64,
}

impl ShareTransfer {
    /// Whether a balancer could have produced it.
    pub fn is_valid(&self) -> bool {
        let window = |(size, _): &(f64, bool)| size.is_finite() && *size >= 0.0;
        self.windows.iter().all(window) && (0.0..=MAX_RETRY_TOKENS).contains(&self.retries)
    }
}

impl Balancer {
    /// The number of tracked endpoints, requests, timers and queue entries. It stays in proportion to the
    /// current load.
    pub fn tracked_items(&self) -> usize {
        self.endpoints.len() + self.requests.len() + self.timers.len() + self.queue.len()
    }

    /// The zone and cell of an endpoint.
    pub fn location(&self, id: EndpointId) -> Option<(ZoneId, CellId)> {
        self.index.get(&id).map(|&i| (self.endpoints[i].info.zone, self.endpoints[i].info.cell))
    }

    /// Until when the newest attempt of a request may begin: a keyed job that may have run before is
    /// repeated only within its window. None if nothing limits it.
    pub fn retry_deadline(&self, id: RequestId) -> Option<Duration> {
        let pending = self.requests.get(&id)?;
        let window = self.repeat_window(ClassId(pending.class))?;
        let (_newest, before) = pending.attempts.split_last()?;
        let own = before.iter().find(|attempt| attempt.run != Run::Never).map(|attempt| attempt.sent);
        let first = pending.earlier_attempt.map(|earlier| earlier.sent).or(own)?;
        Some(first + window)
    }

    /// The window in which a keyed job of this class may be repeated; none for other classes.
    pub fn repeat_window(&self, class: ClassId) -> Option<Duration> {
        match self.settings.classes.get(class.0)?.semantics {
            Semantics::Keyed { window, .. } => Some(window),
            _ => None,
        }
    }

    /// The number of listed endpoints that are avoided now: banned, leaving, or excluded by failures alone.
    pub fn avoided_endpoints(&self, now: Duration) -> usize {
        let avoided = |&i: &usize| {
            let endpoint = &self.endpoints[i];
            let failure_penalty = (endpoint.failure_penalty(now) - self.common_penalty).max(0.0);
            let listed = endpoint.info.state != EndpointState::Gone;
            listed && (!endpoint.is_ready() || failure_penalty + 1.0 > self.capacity(now, i))
        };
        (0..self.endpoints.len()).filter(avoided).count()
    }

    /// The share that this balancer may use, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
