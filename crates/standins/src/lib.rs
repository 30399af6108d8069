//! Stand-ins for what a sidecar meets: endpoints that follow the platform's protocol, and discovery, over
//! real sockets on loopback, with faults by schedule and on demand.
//!
//! What an endpoint does with its work is decided by [`machine::Machine`], sans I/O: cores, slots, a queue,
//! a cold start, a slow state under a backlog. [`fleet::Fleet`] puts machines behind sockets, keeps the
//! [`ledger`] of what ran, and lets a test or an operator break things.

#![warn(clippy::too_many_lines)]

mod control;
mod discovery;
mod endpoint;
mod error;
pub mod fault;
pub mod fleet;
pub mod http;
pub mod interrupted;
pub mod ledger;
pub mod machine;
pub mod program;
pub mod request_log;
mod site;
pub mod spec;
mod world;

pub use error::{OrderError, SpecError, StartError};
pub use fault::{Fault, FaultAt};
pub use fleet::Fleet;
pub use spec::FleetSpec;

/// The old path of [`request_log`], for one release.
pub mod books {
    pub use crate::request_log::RequestLog as Books;
}
