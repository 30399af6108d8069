//! Request classes, tenants, and whether a request may run again.

use super::{CellId, ZoneId};
use std::time::Duration;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time earn the full value.
    pub objective: Duration,
    /// How long a client waits in total.
    pub deadline: Duration,
    /// Whether a request may be executed again.
    pub semantics: Semantics,
    /// Fraction of the value that is left for an answer after the objective.
    pub late_value: f64,
    /// The answer is streamed.
    pub streamed: bool,
    /// The value of one request.
    pub worth: f64,
    /// The objective is extended by this multiple of the request's own work, up to the deadline.
    pub aim_stretch: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            objective: Duration::from_millis(500),
            deadline: Duration::from_secs(2),
            semantics: Semantics::Safe,
            late_value: 0.5,
            streamed: false,
            worth: 1.0,
            aim_stretch: 0.0,
        }
    }
}

/// Whether a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Any repetition is harmless.
    Safe,
    /// Endpoints of one group drop repetitions with the same key for a while.
    Keyed {
        /// The group of endpoints that share their knowledge of keys.
        group: DeduplicationScope,
        /// For how long, from the first send that may have run.
        window: Duration,
    },
    /// Must never run twice.
    Unsafe,
}

impl Semantics {
    /// Whether a request may be sent again now. `first` is when it was first sent, if that attempt may have
    /// run.
    pub fn may_retry(self, now: Duration, first: Option<Duration>) -> bool {
        match (self, first) {
            (_, None) | (Semantics::Safe, _) => true,
            (Semantics::Unsafe, Some(_)) => false,
            (Semantics::Keyed { window, .. }, Some(first)) => now < first + window,
        }
    }

    /// Whether only some endpoints drop a repeat.
    pub fn has_group(self) -> bool {
        matches!(self, Semantics::Keyed { group: DeduplicationScope::Zone | DeduplicationScope::Cell, .. })
    }

    /// Whether a request that may have run at `ran` may be sent to `to`.
    pub fn may_retry_at(self, ran: (ZoneId, CellId), to: (ZoneId, CellId)) -> bool {
        match self {
            Semantics::Keyed { group: DeduplicationScope::Zone, .. } => ran.0 == to.0,
            Semantics::Keyed { group: DeduplicationScope::Cell, .. } => ran.1 == to.1,
            Semantics::Keyed { group: DeduplicationScope::All, .. }
            | Semantics::Safe
            | Semantics::Unsafe => true,
        }
    }

    /// Whether the client may safely retry at any balancer.
    pub fn client_may_retry(self, may_have_run: bool) -> bool {
        match self {
            Semantics::Safe | Semantics::Keyed { group: DeduplicationScope::All, .. } => true,
            Semantics::Keyed { .. } | Semantics::Unsafe => !may_have_run,
        }
    }
}

/// The group of endpoints within which repetitions of a key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within its share, over all balancers.
    pub allowance_per_s: f64,
    /// Its fraction of the service.
    pub portion: f64,
}
