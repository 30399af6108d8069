//! Opening a connection to an endpoint, and classifying a failure: whether the endpoint or this machine is
//! at fault.

use super::interrupts::uninterrupted_async;
use curlewhub_balance::EndpointId;
use rustix::io::Errno;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Up to this many consecutive route faults of one endpoint count as local; further ones only if more than
/// half of all endpoints have route faults.
const MAX_LOCAL_FAULTS: u32 = 2;

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// This machine lacks a resource: descriptors, memory, buffers. It says nothing about the endpoint.
    #[error("this machine can open no connection now: {0}")]
    Resources(#[source] io::Error),
    /// This machine has no port or no route at the moment. A lasting one may be a fault of the endpoint's
    /// address alone: see [`RouteFaults`].
    #[error("this machine has no route to the endpoint now: {0}")]
    Route(#[source] io::Error),
    /// The endpoint's machine refused the connection.
    #[error("the endpoint refuses the connection")]
    Refused,
    /// There was no reply within the timeout.
    #[error("no connection within {0:?}")]
    TimedOut(Duration),
    /// It failed in the network or at the endpoint.
    #[error("the connection failed: {0}")]
    Failed(#[source] io::Error),
}

impl From<io::Error> for ConnectError {
    /// Classifies an error according to connect(2), socket(2) and tcp(7).
    fn from(error: io::Error) -> Self {
        match Errno::from_io_error(&error) {
            _ if is_local(&error) => ConnectError::Resources(error),
            Some(Errno::ADDRNOTAVAIL | Errno::NETUNREACH | Errno::NETDOWN | Errno::AGAIN | Errno::PERM) => {
                ConnectError::Route(error)
            }
            Some(Errno::CONNREFUSED) => ConnectError::Refused,
            _ => ConnectError::Failed(error),
        }
    }
}

/// Whether an error of a call on a socket is local: this machine lacks a resource for a moment.
pub fn is_local(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::INTR)
    )
}

/// Whether a call failed for lack of descriptors or memory, which closing a connection of our own would
/// give back.
pub fn lacks_resources(error: &io::Error) -> bool {
    is_local(error) && Errno::from_io_error(error) != Some(Errno::INTR)
}

/// Opens a connection; an unreachable machine never answers, so the time is limited.
///
/// # Errors
/// See [`ConnectError`].
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, ConnectError> {
    let connect = uninterrupted_async(async || TcpStream::connect(address).await);
    let stream = timeout(limit, connect).await.map_err(|_| ConnectError::TimedOut(limit))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Consecutive route faults of one endpoint.
#[derive(Debug)]
struct Streak {
    /// Time of the first fault.
    since: Duration,
    faults: u32,
}

/// Distinguishes route faults of one endpoint from local ones, which affect all. It has an entry for each
/// endpoint whose last connection attempt ended in a route fault, and for no other. Times are on one
/// monotonic clock of the caller.
#[derive(Debug, Default)]
pub struct RouteFaults {
    streaks: HashMap<EndpointId, Streak>,
    /// Time of the last successful connection to any endpoint.
    last_connected: Option<Duration>,
}

impl RouteFaults {
    /// Records a successful connection.
    pub fn connected(&mut self, now: Duration, endpoint: EndpointId) {
        self.last_connected = Some(now);
        self.streaks.remove(&endpoint);
    }

    /// Records a route fault of one of `listed` endpoints. Returns whether it counts as local: not if any
    /// endpoint was reached since this one's first fault, nor if it lasts while at least half of the
    /// endpoints have none.
    pub fn is_local(&mut self, now: Duration, endpoint: EndpointId, listed: usize) -> bool {
        let streak = self.streaks.entry(endpoint).or_insert(Streak { since: now, faults: 0 });
        streak.faults = streak.faults.saturating_add(1);
        let (since, faults) = (streak.since, streak.faults);
        let others_connect = self.last_connected.is_some_and(|at| at > since);
        !others_connect && (faults <= MAX_LOCAL_FAULTS || self.streaks.len() * 2 > listed)
    }

    /// Removes an endpoint that is no longer listed.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.streaks.remove(&endpoint);
    }
}
