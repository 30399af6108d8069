//! The control plane of a fleet without I/O: one versioned view of what is decided, how it is agreed on, and how it spreads.
//! Events and a clock go in, actions come out, and the same seed gives the same run.
//!
//! [`consensus`] replicas agree on proposals; each valid one becomes the next [`record`] of the [`view`]. A [`subscriber`] in
//! each sidecar keeps a copy of the view current, from consensus servers or other sidecars. [`evidence`] flows the other
//! way: digests of the sidecars' calls, on which the servers decide. [`membership`] finds out which processes are alive, and
//! [`protocol`] defines the messages.

#![warn(clippy::too_many_lines)]

pub mod applied;
pub mod client;
pub mod configuration;
pub mod consensus;
pub mod consensus_server;
pub mod evidence;
pub mod membership;
pub mod peer;
pub mod protocol;
pub mod record;
mod send_budget;
pub mod subscriber;
pub mod view;
