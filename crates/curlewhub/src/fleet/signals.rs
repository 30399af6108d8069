//! The signals that end a command or a control plane process.

use std::io;
use std::pin::Pin;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Completes at the first signal that ends the process.
pub type Shutdown = Pin<Box<dyn Future<Output = ()>>>;

/// A signal handler could not be installed.
#[derive(Debug, Error)]
#[error("{signal}: {source}")]
pub struct SignalError {
    signal: &'static str,
    source: io::Error,
}

/// Handles SIGTERM from this call on.
///
/// # Errors
/// The handler could not be installed.
pub fn terminate() -> Result<Shutdown, SignalError> {
    let mut terminate = listen(SignalKind::terminate(), "SIGTERM")?;
    Ok(Box::pin(async move {
        terminate.recv().await;
    }))
}

/// Handles SIGTERM and SIGINT from this call on.
///
/// # Errors
/// A handler could not be installed.
pub fn terminate_or_interrupt() -> Result<Shutdown, SignalError> {
    let mut terminate = listen(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = listen(SignalKind::interrupt(), "SIGINT")?;
    Ok(Box::pin(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }))
}

fn listen(kind: SignalKind, name: &'static str) -> Result<Signal, SignalError> {
    signal(kind).map_err(|source| SignalError { signal: name, source })
}
