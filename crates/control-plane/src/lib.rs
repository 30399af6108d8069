//! One versioned view of the fleet, sans I/O: events and a clock in, actions out, the same for a seed.
//!
//! [`keeper`]s agree on proposals; each that makes sense becomes the next [`record`] of a [`view`]. [`holder`]s, one in
//! each sidecar, bring themselves up from keepers or from one another. [`evidence`] goes the other way. [`wire`] is how
//! any of it is said.

pub mod applied;
pub mod client;
pub mod configuration;
pub mod consensus;
pub mod consensus_server;
pub mod evidence;
pub mod membership;
pub mod protocol;
pub mod record;
pub mod subscriber;
pub mod view;
