//! The log events of one call to discovery: its start, the opening of a watch, and its end.

use curlewhub_discovery_client::{CallId, CallKind, Epoch};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// The times of a call and the reason of its end. If it is dropped before the call has ended, the call was
/// given up.
pub(super) struct CallTrace {
    id: CallId,
    epoch: Epoch,
    kind: CallKind,
    address: SocketAddr,
    started_at: Instant,
    connected: Option<Duration>,
    first_byte: Option<Duration>,
    end_reason: Option<String>,
}

impl CallTrace {
    pub fn start(id: CallId, epoch: Epoch, kind: CallKind, address: SocketAddr) -> Self {
        info!(call = id.0, epoch = epoch.0, %address, kind = kind_name(kind), after = after(kind), "discovery call");
        let (connected, first_byte, end_reason) = Default::default();
        CallTrace {
            id,
            epoch,
            kind,
            address,
            started_at: Instant::now(),
            connected,
            first_byte,
            end_reason,
        }
    }

    pub fn connected(&mut self) {
        self.connected = Some(self.started_at.elapsed());
    }

    pub fn first_byte(&mut self) {
        self.first_byte.get_or_insert(self.started_at.elapsed());
    }

    /// The watch has opened.
    pub fn opened(&self) {
        info!(
            call = self.id.0,
            connect_ms = self.connected.map(millis),
            first_byte_ms = self.first_byte.map(millis),
            ms = millis(self.started_at.elapsed()),
            "discovery watch opened"
        );
    }

    pub fn ended(&mut self, reason: String) {
        self.end_reason = Some(reason);
    }
}

impl Drop for CallTrace {
    fn drop(&mut self) {
        info!(
            call = self.id.0,
            epoch = self.epoch.0,
            address = %self.address,
            kind = kind_name(self.kind),
            connect_ms = self.connected.map(millis),
            first_byte_ms = self.first_byte.map(millis),
            ms = millis(self.started_at.elapsed()),
            reason = self.end_reason.as_deref().unwrap_or("given up"),
            "discovery call ended"
        );
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn kind_name(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Watch { .. } => "watch",
        CallKind::WholeList => "whole list",
    }
}

fn after(kind: CallKind) -> Option<u64> {
    match kind {
        CallKind::Watch { after } => Some(after),
        CallKind::WholeList => None,
    }
}
