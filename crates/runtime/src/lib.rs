//! The sidecar's I/O: sockets, timers, and files. It takes no balancing decisions: the driver turns what
//! happens into events for `curlewhub-balance`, and carries out the actions that come back.
//!
//! - A request: `inbound` reads it, `driver` passes it to the balancer, `outbound` makes the attempts, and
//!   the answer returns on the same path.
//! - The endpoint list: `discovery` or `static_list`, then `listing`.
//! - State that outlives the process: `endpoint_bans`, `idempotency_keys` and `request_ids` (both by
//!   `job_records`), `learned_state`; `handover`
//!   passes it on to a successor process.
//! - The process itself: `lifecycle` has its state, `shutdown` its final deadlines, `clock` its time.
//!
//! `events` has the messages that pass between these parts, so that they depend on no internals of each
//! other.

mod aged_connections;
mod arrivals;
pub mod attempt_terms;
pub mod budget;
pub mod call_observer;
pub mod clock;
pub mod connect;
pub mod discovery;
pub mod driver;
pub mod endpoint_bans;
pub mod events;
pub mod figures;
mod framing;
pub mod guard;
pub mod handover;
pub mod idempotency_keys;
pub mod inbound;
pub mod interrupts;
pub mod job_records;
pub mod learned_state;
pub mod lifecycle;
pub mod listing;
mod load_report;
pub mod memory_division;
pub mod message_memory;
pub mod operator;
pub mod outbound;
pub mod process_memory;
mod read_ahead;
pub mod repeat_window;
pub mod request_ids;
pub mod request_log;
pub mod request_status;
pub mod request_write;
pub mod response_body;
pub mod reuse_delay;
pub mod sent_jobs;
pub mod shutdown;
pub mod slots;
pub mod socket;
pub mod spares;
pub mod static_list;
pub mod stream_window;
pub mod streaming;
pub mod time_left;
pub mod timers;
mod write_gate;
