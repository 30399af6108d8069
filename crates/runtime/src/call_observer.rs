//! The interface between the driver and a control plane: the driver reports its calls and zone probes to an
//! observer. In the other direction there are only [`Command`](crate::events::Command)s: access to zones,
//! and probes of a zone.

use curlewhub_balance::{AttemptNo, ClassId, Outcome, RequestId, ZoneId};
use std::time::Duration;

/// Identifies an attempt among all that are in flight.
pub type AttemptId = (RequestId, AttemptNo);

/// Observes attempts and zone probes.
pub trait CallObserver {
    /// An attempt of this class has started. `zone` looks up the endpoint's zone; an observer that ignores
    /// calls does not pay for the lookup.
    fn attempt_started(&self, attempt: AttemptId, class: ClassId, zone: &dyn Fn() -> Option<ZoneId>);
    /// An attempt has ended, `elapsed` after its start.
    fn attempt_ended(&self, attempt: AttemptId, outcome: Outcome, elapsed: Duration);
    /// A probe that [`Command::ProbeZone`](crate::events::Command::ProbeZone) asked for was answered, or
    /// not.
    fn zone_probe_ended(&self, zone: ZoneId, answered: bool);
}

/// Ignores everything; used without a control plane.
pub struct NoObserver;

impl CallObserver for NoObserver {
    fn attempt_started(&self, _: AttemptId, _: ClassId, _: &dyn Fn() -> Option<ZoneId>) {}
    fn attempt_ended(&self, _: AttemptId, _: Outcome, _: Duration) {}
    fn zone_probe_ended(&self, _: ZoneId, _: bool) {}
}
