//! Zone failover: decides which zones and regions are served, left and returned to, at which pace and why. Sans I/O.
//!
//! [`signals`] evaluates evidence, [`state_machine`] decides by it, [`zone_states`] is what was decided, [`grants`] divides the
//! budgets of returning zones, and [`capacity`] computes what an evacuation would do. [`controller`] hosts them in a consensus
//! server and [`zone_policy`] in a sidecar; [`server`] and [`agent`] are the complete state of each, as the program, the model
//! and the model checker run it.
//!
//! A *tier zone* is the endpoints of one tier in one zone; wherever a zone is left or returned to, it is meant.

#![warn(clippy::too_many_lines)]

pub mod agent;
pub mod capacity;
pub mod controller;
pub mod grants;
pub mod server;
pub mod signals;
pub mod state_machine;
pub mod zone_policy;
pub mod zone_states;
