//! One raft replica of the fleet view. Raft orders proposals; each committed proposal that is valid at its position in the
//! log becomes the next record of the view, so every replica derives the same view from the same log.
//!
//! The replica does no I/O. The host passes in ticks, messages and proposals and gets an [`Output`] from each call. It must
//! write and sync [`Output::writes`] before it sends any message of the same output: raft's promises (votes,
//! acknowledgements) hold only if they survive a crash.

mod codec;
mod compaction;
mod error;
mod fetches;
mod output;
mod persistence;
mod proposals;
mod replica;
mod state;
mod storage;

pub use error::ReplicaError;
pub use fetches::SEND_BYTES_PER_S;
pub use output::Output;
pub use persistence::{PersistedState, WriteBatch};
pub use replica::{Replica, TICK_INTERVAL};
