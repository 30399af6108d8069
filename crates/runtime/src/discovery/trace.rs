//! The record of one call to discovery, written to the log as it opens and as it ends.

use curlewhub_discovery_client::{CallId, CallKind, Epoch};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// A call's times and its end. Dropped before it has ended, the call was given up.
pub(super) struct CallTrace {
    id: CallId,
    epoch: Epoch,
    kind: CallKind,
    address: SocketAddr,
    began: Instant,
    connected: Option<Duration>,
    first_byte: Option<Duration>,
    end: Option<String>,
}

impl CallTrace {
    pub fn begin(id: CallId, epoch: Epoch, kind: CallKind, address: SocketAddr) -> Self {
        info!(call = id.0, epoch = epoch.0, %address, kind = kind_name(kind), after = after(kind), "discovery call");
        let (connected, first_byte, end) = Default::default();
        CallTrace { id, epoch, kind, address, began: Instant::now(), connected, first_byte, end }
    }

    pub fn connected(&mut self) {
        self.connected = Some(self.began.elapsed());
    }

    pub fn first_byte(&mut self) {
        self.first_byte.get_or_insert(self.began.elapsed());
    }

    /// The watch has opened.
    pub fn opened(&self) {
        info!(
            call = self.id.0,
            connect_ms = self.connected.map(millis),
            first_byte_ms = self.first_byte.map(millis),
            ms = millis(self.began.elapsed()),
            "discovery watch opened"
        );
    }

    pub fn ended(&mut self, reason: String) {
        self.end = Some(reason);
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
            ms = millis(self.began.elapsed()),
            reason = self.end.as_deref().unwrap_or("given up"),
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
