//! The sidecar's parts with I/O. They decide nothing: the decision module does, and the driver carries
//! out what it wants done.
//!
//! A request's way: `inbound` reads it, `driver` asks the module, `outbound` makes the attempts, and
//! the answer goes back the same way. `events` holds the values that pass between them, so that none
//! of them needs to know another's inside.

pub mod budget;
pub mod call_observer;
pub mod clock;
pub mod connect;
pub mod discovery;
pub mod driver;
pub mod endpoint_bans;
pub mod events;
pub mod figures;
pub mod freshness;
pub mod guard;
pub mod handover;
pub mod idempotency_keys;
pub mod inbound;
pub mod interrupts;
pub mod learned_state;
pub mod lifecycle;
pub mod listing;
pub mod operator;
pub mod outbound;
pub mod shutdown;
pub mod slots;
pub mod socket;
pub mod spares;
pub mod static_list;
pub mod streaming;
pub mod time_left;
pub mod timers;
