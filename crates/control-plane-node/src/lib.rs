//! The I/O of the control plane: processes, sockets, storage and clocks of consensus servers and subscribers.
//!
//! Decisions are taken in the packages below, `curlewhub-control-plane`, `curlewhub-zone-failover` and
//! `curlewhub-rollout`, which do no I/O: this package feeds them events and carries out their actions.
#![warn(clippy::too_many_lines)]

pub mod admin_client;
pub mod config;
mod consensus_server;
mod error;
mod process;
mod rollout;
mod storage;
mod store;
mod subscriber;
mod traffic;
mod transient;
mod transport;
mod view_file;

pub use consensus_server::{run_consensus_server, run_consensus_server_with};
pub use store::{OpenDatabase, Store, StoreError, StoreFile, open_database};
pub use subscriber::{SubscriberOptions, SubscriberStatus, ViewHandler, run_subscriber};
pub use traffic::{Flow, Lost, MessageKind, Traffic};
pub use transient::{Uninterrupted, accept_pause};
pub use view_file::ViewFile;
