//! Errors that keep a sidecar from starting or end it.

use curlewhub_balance::SettingsError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Why a sidecar could not start, or stopped serving.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A signal handler can't be installed.
    #[error("{signal}: {source}")]
    Signal {
        /// The signal's name.
        signal: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The balancer refuses the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The address of a setting is in use by another program.
    #[error("{field}: {address}: another program listens there already{hint}")]
    AddressInUse {
        /// The setting.
        field: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What the operator may do; empty or a clause.
        hint: &'static str,
    },
    /// The address of a setting can't be listened on.
    #[error("{field}: {address}: {source}")]
    Listen {
        /// The setting.
        field: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The driver's task ended while the process served.
    #[error("the driver ended: {0:?}")]
    DriverEnded(Result<(), JoinError>),
}

impl ServeError {
    /// Of a failure to bind the address of a setting.
    pub fn bind(
        field: &'static str,
        address: SocketAddr,
        source: io::Error,
        hint: &'static str,
    ) -> ServeError {
        match source.kind() {
            io::ErrorKind::AddrInUse => ServeError::AddressInUse { field, address, hint },
            _ => ServeError::Listen { field, address, source },
        }
    }
}
