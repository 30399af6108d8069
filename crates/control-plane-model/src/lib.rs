//! A fleet's own processes in simulated time: keepers and sidecars' agents as they are in the program, a network between
//! them, and what goes wrong. One seed replays all.
//!
//! No sockets and no wall clock. Each process has a disk that keeps what was written, takes so long for each message, and
//! may crash, forget, stand still or be cut off at any moment. What must always hold is looked at in every step.
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

mod fleet;
mod invariants;
mod network;
mod spec;
mod traffic;

pub use fleet::{Fault, Fleet, zone_name};
pub use invariants::Invariants;
pub use network::{Delays, Location, Network, Scope};
pub use spec::{Cost, Evidence, SimulationSpec};
pub use traffic::{LatencyHistogram, Purpose, Traffic, TrafficTotals};
