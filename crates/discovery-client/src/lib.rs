//! Keeps the endpoint list of a discovery service up to date. Decides when to call the service, which of its answers
//! to use, and how long the current list may be used. Sans I/O: events and the time go in, and actions come out.
//! Equal seeds and events give equal actions. Times are [`Duration`](std::time::Duration)s on a monotonic clock of
//! the caller.
//!
//! - [`Client`] is the state machine: it tracks active calls and the watch, and schedules the next call.
//! - [`Lease`] bounds the use of the list: it expires when a change that this process has not received may count as
//!   notified.
//! - [`Versions`] orders lists and changes from one server, or from two servers after a switch.
//! - [`WatchState`] gives the deadline of each state of a watch; [`timing`] has the durations used here.
//! - [`Backoff`] computes the waits between failed calls.

mod backoff;
mod calls;
mod client;
mod lease;
mod origin;
mod partial_list;
mod server_changes;
mod settings;
pub mod timing;
mod versions;
mod watch_state;

pub use backoff::Backoff;
pub use calls::{CallId, CallKind, Epoch};
pub use client::{Action, Client, EndReason, Outcome};
pub use lease::{FailedCall, Lease, LeaseState, Reachability};
pub use settings::{LeaseSettings, Mode};
pub use versions::{PENDING_CHANGES_LIMIT, Versions};
pub use watch_state::WatchState;
