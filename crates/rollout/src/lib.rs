//! Staged rollout of configuration changes to the sidecars of a fleet, sans I/O: events and a clock go in, proposals and
//! settings to apply come out.
//!
//! The whole state of a [`rollout`] is one record of the fleet view ([`record`]). On the leading consensus server the
//! [`coordinator`] proposes the next state, based on what sidecars report ([`reports`]) and on how calls end. In each
//! sidecar a [`subscriber`] derives from the record alone which configuration it has to apply. [`settings`] checks what
//! a configuration may contain, and [`command`] turns operators' commands into proposals.

#![warn(clippy::too_many_lines)]

pub mod canary;
pub mod command;
pub mod coordinator;
mod digest;
pub mod record;
pub mod reports;
pub mod rollout;
pub mod settings;
pub mod status;
pub mod subscriber;
