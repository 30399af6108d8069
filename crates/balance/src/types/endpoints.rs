//! Endpoint information from discovery, and limits on what may be sent to zones.

use super::{CellId, EndpointId, MachineKindId, ZoneId};
use std::time::Duration;

/// The information on one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// The endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub machine_kind: MachineKindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether requests may be sent to it.
    pub state: EndpointState,
    /// Its weight, see [`WeightKind`](crate::WeightKind).
    pub weight: f64,
    /// When its process last started; `None` means long ago.
    pub started: Option<Duration>,
}

impl EndpointInfo {
    /// A warm, ready endpoint of zone 0, for tests and examples.
    pub fn ready(id: u64) -> Self {
        EndpointInfo {
            id: EndpointId(id),
            zone: ZoneId(0),
            machine_kind: MachineKindId(0),
            cell: CellId(0),
            state: EndpointState::Ready,
            weight: 1.0,
            started: None,
        }
    }
}

/// An endpoint's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Requests may be sent to it.
    Ready,
    /// Finishing its work; no new request may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// An update from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The complete list: endpoints missing from it are gone.
    Full(Vec<EndpointInfo>),
    /// The last known complete list, possibly stale; used at startup.
    Cached(Vec<EndpointInfo>),
    /// Changed entries only.
    Delta(Vec<EndpointInfo>),
    /// A call to discovery failed or the subscription broke off; the list stays in use.
    Failed,
    /// Discovery refused a call: it is running, but can't serve all its callers.
    Refused,
}

/// What may be sent to zones, by zone.
pub type ZoneAdmissions = Vec<(ZoneId, ZoneAdmission)>;

/// What may be sent to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneAdmission {
    /// Anything.
    Open,
    /// This fraction of the requests, 0 to 1.
    Fraction(f64),
    /// This many calls per second until a given time, and nothing after it.
    Rate {
        /// Calls per second.
        per_s: f64,
        /// On the balancer's clock.
        until: Duration,
    },
    /// Nothing new; attempts in flight go on.
    Closed,
    /// Nothing new, and attempts in flight are retried elsewhere as their class permits: the zone does not
    /// answer.
    Unreachable,
}
