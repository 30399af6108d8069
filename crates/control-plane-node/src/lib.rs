//! The fleet's view over sockets and disk: keepers that agree, and followers that hold what is decided.
//!
//! What is decided and believed is worked out in `curlewhub-control-plane`, sans I/O; here are its sockets, its disk and its clock.

pub mod admin_client;
pub mod config;
mod consensus_server;
mod rollout;
mod storage;
mod store;
mod subscriber;
mod traffic;
mod transient;
mod transport;
mod view_file;

pub use consensus_server::{keep_with, run_consensus_server};
pub use store::{OpenDatabase, Store, StoreError, StoreFile, open_database};
pub use subscriber::{SubscriberOptions, SubscriberStatus, ViewHandler, run_subscriber};
pub use traffic::{Flow, Lost, MessageKind, Traffic};
pub use transient::{Uninterrupted, accept_pause};
pub use view_file::ViewFile;
