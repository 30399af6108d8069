//! Why a consensus server or a subscriber does not start, or ends.

use crate::config::KeyError;
use crate::store::StoreError;
use curlewhub_control_plane::consensus::ReplicaError;
use curlewhub_control_plane::consensus_server::FatalError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a process of the control plane does not start, or ends. The text begins with the settings key concerned.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProcessError {
    /// The configured name is not that of a consensus server.
    #[error("name: allowed: that of one of `keepers`")]
    UnknownServerName,
    /// A key file can't be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The configured address can't be bound.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address, for streams and datagrams.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The store can't be used, and waiting would not change that.
    #[error("state_dir: {}: {source}", path.display())]
    Store {
        /// The state directory.
        path: PathBuf,
        /// Why.
        source: StoreError,
    },
    /// The state directory of a server that is expected to have state is empty.
    #[error(
        "state_dir: {}: it holds nothing: with `--begin` where the fleet is new, else with `joins = true` and a new number",
        .0.display()
    )]
    EmptyStore(PathBuf),
    /// The store was read, but no replica can be built from what it holds.
    #[error("state_dir: {}: {source}", path.display())]
    Replica {
        /// The state directory.
        path: PathBuf,
        /// Why.
        source: ReplicaError,
    },
    /// The replica or its membership must not go on.
    #[error(transparent)]
    Fatal(#[from] FatalError),
}
