//! What consensus servers and subscribers have in common as processes: clock, sockets and membership entry.

use crate::config::FleetConfig;
use crate::error::ProcessError;
use curlewhub_control_plane::membership::{Member, Role};
use curlewhub_control_plane::protocol::FORMAT;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};

/// Where a process's incarnation comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IncarnationSource {
    /// It counts up from the previous start, which is on disk.
    Storage,
    /// No previous start is on disk, so the wall clock gave it. Other members may remember a higher one, which the process
    /// then raises its own above.
    Clock,
}

/// Wall-clock time in milliseconds since the Unix epoch, with the configured offset added.
pub(crate) fn unix_ms(config: &FleetConfig) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    now.saturating_add_signed(config.clock_ahead_ms)
}

/// Binds the configured address for streams, and the same port for datagrams.
///
/// # Errors
/// One of them can't be bound, for instance because another process holds the address.
pub(crate) async fn listen(config: &FleetConfig) -> Result<(TcpListener, UdpSocket), ProcessError> {
    let address = config.listen;
    let failed = |source| ProcessError::Listen { address, source };
    let streams = TcpListener::bind(address).await.map_err(failed)?;
    let datagrams = UdpSocket::bind(address).await.map_err(failed)?;
    Ok((streams, datagrams))
}

/// This process as a member.
pub(crate) fn local_member(config: &FleetConfig, role: Role, incarnation: u64) -> Member {
    Member {
        name: config.name.clone(),
        role,
        zone: config.zone.clone(),
        address: config.advertised_address(),
        build: env!("CARGO_PKG_VERSION").to_owned(),
        format: FORMAT,
        incarnation,
        rejoins: 0,
    }
}
