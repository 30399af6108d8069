//! Watches the arrival of a long body that is forwarded as its endpoint reads: most of it may lie unread on this machine.

use crate::socket::SocketMonitor;
use crate::streaming::StreamingUpload;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval of the checks of a connection from which nothing may be read.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// What a check has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum UploadEvent {
    /// The last byte of the body arrived at this time: the client's time runs.
    Arrived(Instant),
    /// Nothing has arrived for as long as the client waits for a response, although the client is not waited for: its last
    /// byte may have arrived, or finds no place on this machine.
    Overdue,
    /// The client has closed or reset its connection, or ended its sending, before its request was forwarded.
    ClientClosed,
}

/// The watch of one body.
pub(super) struct UploadWatch {
    monitor: Rc<SocketMonitor>,
    upload: Rc<StreamingUpload>,
    /// How long the client waits for the response, from its last byte on.
    response_timeout: Duration,
    has_reported: bool,
}

impl UploadWatch {
    /// The watch of a body that arrives on this connection.
    pub fn new(
        monitor: Rc<SocketMonitor>,
        upload: Rc<StreamingUpload>,
        response_timeout: Duration,
    ) -> Self {
        UploadWatch { monitor, upload, response_timeout, has_reported: false }
    }

    /// Waits for the next event: what becomes of the body, which is reported once, or the client's close.
    pub async fn next(&mut self) -> UploadEvent {
        loop {
            if self.monitor.peer_has_closed() {
                return UploadEvent::ClientClosed;
            }
            if !self.has_reported
                && let Some(event) = self.check()
            {
                self.has_reported = true;
                return event;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn check(&self) -> Option<UploadEvent> {
        let arrivals = self.monitor.observe_arrivals();
        let is_here = |length: u64| arrivals.arrived() >= self.monitor.head_len() + length;
        if self.upload.has_end_arrived() || self.upload.stated_length().is_some_and(is_here) {
            return Some(UploadEvent::Arrived(arrivals.last_at()));
        }
        let is_awaited = self.upload.awaits_client() && arrivals.arrived() == arrivals.read();
        let is_overdue = !is_awaited && arrivals.last_at().elapsed() >= self.response_timeout;
        is_overdue.then_some(UploadEvent::Overdue)
    }
}
