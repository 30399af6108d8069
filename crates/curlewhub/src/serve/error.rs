//! Errors that prevent a sidecar from starting, or stop it.

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
    /// The balancer rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A configured address is in use by another program.
    #[error("{field}: {address}: another program listens there already{hint}")]
    AddressInUse {
        /// The name of the setting.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the operator can do about it; a clause, or empty.
        hint: &'static str,
    },
    /// A configured address can't be listened on.
    #[error("{field}: {address}: {source}")]
    Listen {
        /// The name of the setting.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The driver's task ended while the sidecar was serving.
    #[error("the driver task ended: {0:?}")]
    DriverEnded(Result<(), JoinError>),
}

impl ServeError {
    /// Creates the error for a failure to bind the address of the setting `field`.
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
