//! The one narrow interface towards a fleet: what the driver's own calls show goes out here, and nothing comes back by it.

use curlewhub_balance::{Outcome, ZoneId};
use std::time::Duration;

/// Sees how attempts end.
pub trait Sight {
    /// An attempt has ended so, after this long. Its zone is looked up only where somebody sees.
    fn ended(&self, zone: &dyn Fn() -> Option<ZoneId>, outcome: Outcome, took: Duration);
}

/// Sees nothing: where there is no fleet.
pub struct Blind;

impl Sight for Blind {
    fn ended(&self, _: &dyn Fn() -> Option<ZoneId>, _: Outcome, _: Duration) {}
}
