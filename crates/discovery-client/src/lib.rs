//! Follows the endpoint list of a discovery service: decides when it is called, which of its answers count, and for how
//! long the list that is held may be used. Sans I/O: what happened and the time go in, actions come out; equal seeds and
//! events give equal actions. Times are [`Duration`](std::time::Duration)s on a monotonic clock of the caller.
//!
//! - [`Client`] owns all of it: calls that are out, the watch, the next call.
//! - [`Lease`] is the bound on the list's use: when a change that this process has not seen counts as notified.
//! - [`Versions`] puts lists and changes of one server, or of two after a move, into one order.
//! - [`WatchState`] has the one deadline of each state of a watch; [`timing`] has the times that all of this uses.
//! - [`Backoff`] has the waits between calls that fail.

mod backoff;
mod calls;
mod client;
mod lease;
pub mod timing;
mod versions;
mod watch_state;

pub use backoff::Backoff;
pub use calls::{CallId, CallKind, Epoch};
pub use client::{Action, Client, EndReason, LeaseSettings, Mode, Outcome};
pub use lease::{FailedCall, Lease, LeaseState, Reachability};
pub use versions::{PENDING_CHANGES_LIMIT, Versions};
pub use watch_state::WatchState;
