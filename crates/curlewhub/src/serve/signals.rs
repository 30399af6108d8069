//! The signals that a sidecar handles.

use super::error::ServeError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal requests.
pub(super) enum SignalRequest {
    /// SIGTERM or SIGINT.
    Terminate,
    /// SIGHUP.
    Reload,
}

/// Installed signal handlers.
pub(super) struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. Without a handler SIGHUP would end the process.
    ///
    /// # Errors
    /// A handler can't be installed.
    pub(super) fn install() -> Result<Self, ServeError> {
        Ok(Signals {
            hangup: handle("SIGHUP", SignalKind::hangup())?,
            terminate: handle("SIGTERM", SignalKind::terminate())?,
            interrupt: handle("SIGINT", SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub(super) async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Terminate,
            _ = self.interrupt.recv() => SignalRequest::Terminate,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}

fn handle(name: &'static str, kind: SignalKind) -> Result<Signal, ServeError> {
    signal(kind).map_err(|source| ServeError::Signal { signal: name, source })
}
