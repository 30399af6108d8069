//! The fleet's view over sockets and disk: keepers that agree, and followers that hold what is decided.
//!
//! What is decided and believed is worked out in `curlewhub-fleet`, sans I/O; here are its sockets, its disk and its clock.

pub mod call;
pub mod config;
mod follower;
mod keeper;
mod kept;
mod links;
mod rollout;
mod storage;
mod store;
mod traffic;
mod transient;

pub use follower::{Acts, Manner, Standing, follow};
pub use keeper::{keep, keep_with};
pub use kept::ViewFile;
pub use store::{OpenDatabase, Store, StoreError, StoreFile, open_database};
pub use traffic::{Flow, Lost, MessageKind, Traffic};
pub use transient::{Uninterrupted, accept_pause};
