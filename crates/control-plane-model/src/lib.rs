//! The fleet's own processes in simulated time: consensus servers and the agents of sidecars run the program's code, over a
//! modelled network and with injected faults. One seed replays a run.
//!
//! No sockets and no wall clock. Each process has a disk that keeps what was written, needs some time for each message, and
//! may crash, lose its disk, pause or be cut off at any moment. [`Invariants`] are checked in every step.
//!
//! ```
//! use curlewhub_control_plane_model::{Fleet, SimulationSpec};
//! use std::time::Duration;
//!
//! let mut fleet = Fleet::new(SimulationSpec::small(3, 4), 7);
//! fleet.run(Duration::from_secs(3));
//! let id = fleet.propose_anywhere();
//! fleet.run(Duration::from_secs(1));
//! assert!(fleet.invariants.decided.contains_key(&id) && fleet.invariants.violations.is_empty());
//! ```

#![warn(clippy::too_many_lines)]

mod fleet;
mod invariants;
mod network;
mod spec;
mod traffic;

pub use fleet::{Fault, Fleet, VoterChangeError, zone_name};
pub use invariants::Invariants;
pub use network::{Delays, Location, Network, Scope};
pub use spec::{Cost, Evidence, SimulationSpec};
pub use traffic::{LatencyHistogram, Purpose, Traffic, TrafficTotals};
