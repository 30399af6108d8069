//! The one narrow interface towards a fleet: what the driver's own calls show goes out here. What may go into zones comes
//! back as a command, and nothing else does.

use curlewhub_balance::{AttemptNo, ClassId, Outcome, RequestId, ZoneId};
use std::time::Duration;

/// An attempt, told from all others that are out.
pub type Attempt = (RequestId, AttemptNo);

/// Sees how attempts go out and end.
pub trait Sight {
    /// One goes out, of this class. Its zone is looked up only where somebody sees.
    fn began(&self, attempt: Attempt, class: ClassId, zone: &dyn Fn() -> Option<ZoneId>);
    /// It has ended so, after this long.
    fn ended(&self, attempt: Attempt, outcome: Outcome, took: Duration);
    /// A probe of a zone that was ordered was answered, or not.
    fn probed(&self, zone: ZoneId, answered: bool);
}

/// Sees nothing: where there is no fleet.
pub struct Blind;

impl Sight for Blind {
    fn began(&self, _: Attempt, _: ClassId, _: &dyn Fn() -> Option<ZoneId>) {}
    fn ended(&self, _: Attempt, _: Outcome, _: Duration) {}
    fn probed(&self, _: ZoneId, _: bool) {}
}
