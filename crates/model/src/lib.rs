//! A fleet in simulated time: clients, sidecars with the real decision module, endpoints, a network, and faults.
//!
//! No sockets and no wall clock: one seed gives the same [`Outcome`] on any machine. Each sidecar is an instance of
//! [`curlewhub_balance::Balancer`] driven through its own interface, as the sidecar's driver does it; each endpoint is
//! the machine of the stand-ins. Random numbers come in streams by what they are for, so that two variants of a
//! scenario see the same arrivals and the same work.
//!
//! ```
//! use curlewhub_model::{Scenario, run};
//!
//! let scenario = Scenario::parse(r#"
//!     name = "small"
//!     lasts = "2s"
//!     sidecars = 2
//!     arrivals = { rate = 50.0 }
//!     [[endpoints]]
//!     count = 3
//!     [[classes]]
//!     name = "view"
//!     work = "10ms"
//! "#)?;
//! let outcome = run(&scenario, 7);
//! assert_eq!(outcome.totals.answered_twice, 0);
//! assert!(outcome.totals.in_time > 0);
//! assert_eq!(outcome.digest(), run(&scenario, 7).digest());
//! # Ok::<(), curlewhub_model::ScenarioError>(())
//! ```

#![warn(clippy::too_many_lines)]

mod baselines;
mod clients;
mod decider;
pub mod discovery_load;
pub mod list_notification;
mod process;
mod queue;
mod retry;
mod scenario;
mod slow_start;
mod tally;
mod world;

pub use baselines::Decisions;
pub use curlewhub_config::RepeatPolicy;
pub use retry::{End, RetrySpec, pick};
pub use scenario::{
    ArrivalSpec, Carry, ClassSpec, CutDirection, EndpointsSpec, FaultSpec, FleetSpec, NetworkSpec, Point,
    ReplacementSpec, Scenario, ScenarioError, SlowStartSpec, Spread, TenantSpec, Trouble,
};
pub use tally::{Move, Outcome, Second, TenantOutcome, Totals};

/// Plays a scenario once.
pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    Prepared::new(scenario, seed).run()
}

/// A fleet that stands and has not been asked anything yet: so that the cost of a run can be told from its set-up's.
pub struct Prepared<'a>(world::World<'a>);

impl<'a> Prepared<'a> {
    /// Endpoints, sidecars with their lists, and what is planned from the start.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Self {
        Prepared(world::World::new(scenario, seed))
    }

    /// Plays it.
    pub fn run(self) -> Outcome {
        self.0.run()
    }
}
