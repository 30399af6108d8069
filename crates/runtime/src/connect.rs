//! Opening a connection, and what it says when none comes up: whether the endpoint or this machine is at fault.

use super::interrupts::uninterrupted_async;
use curlewhub_balance::EndpointId;
use rustix::io::Errno;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// So many faults in a row on the way to one endpoint are put down to this machine; further ones only where most
/// endpoints are as hard to reach.
const ROUTE_FAULTS: u32 = 2;

/// Why no connection came up.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// This machine is out of something: descriptors, memory, buffers. It says nothing of the endpoint.
    #[error("this machine can open no connection now: {0}")]
    Resources(#[source] io::Error),
    /// This machine has no port or no route for it just now. One that lasts may be the endpoint's alone.
    #[error("this machine has no way to the endpoint now: {0}")]
    Route(#[source] io::Error),
    /// The endpoint's machine says no.
    #[error("the endpoint refuses the connection")]
    Refused,
    /// Nothing was heard of it in time.
    #[error("no connection within {0:?}")]
    TimedOut(Duration),
    /// It failed on the way or at the endpoint.
    #[error("the connection failed: {0}")]
    Failed(#[source] io::Error),
}

impl From<io::Error> for ConnectError {
    /// By the pages of connect(2), socket(2) and tcp(7).
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

/// Whether an error of any call on a socket is of this machine alone: it is out of something for a moment.
pub fn is_local(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::INTR)
    )
}

/// Opens a connection. A machine that is cut off never answers: the time is limited.
pub async fn connect(address: SocketAddr, within: Duration) -> Result<TcpStream, ConnectError> {
    let connect = uninterrupted_async(async || TcpStream::connect(address).await);
    let stream = timeout(within, connect).await.map_err(|_| ConnectError::TimedOut(within))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Faults in a row on the way to one endpoint.
#[derive(Debug)]
struct Streak {
    since: Duration,
    faults: u32,
}

/// Tells a fault of the way to one endpoint from one of the way to all. It has an entry for each endpoint that could
/// not be reached at the last try, and for no other.
#[derive(Debug, Default)]
pub struct Routes {
    streaks: HashMap<EndpointId, Streak>,
    /// When a connection last came up.
    connected: Option<Duration>,
}

impl Routes {
    /// A connection came up.
    pub fn connects(&mut self, now: Duration, endpoint: EndpointId) {
        self.connected = Some(now);
        self.streaks.remove(&endpoint);
    }

    /// There was no way to an endpoint, one of so many. Whether that is this machine's fault: not where others have
    /// been reached since, nor where it lasts and most endpoints know nothing of it.
    pub fn is_local(&mut self, now: Duration, endpoint: EndpointId, listed: usize) -> bool {
        let streak = self.streaks.entry(endpoint).or_insert(Streak { since: now, faults: 0 });
        streak.faults = streak.faults.saturating_add(1);
        let (since, faults) = (streak.since, streak.faults);
        let others_connect = self.connected.is_some_and(|at| at > since);
        !others_connect && (faults <= ROUTE_FAULTS || self.streaks.len() * 2 > listed)
    }

    /// The endpoint is left.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.streaks.remove(&endpoint);
    }
}
