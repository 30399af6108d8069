//! Reads the body of a response frame by frame, with timeouts, and detects when it stalls.

use super::error::{CallError, ResponseKind};
use curlewhub_discovery_client::timing::{PARTIAL_LIST_AFTER, PAUSE_TIMEOUT};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};
use tokio::time::{Instant, timeout_at};

/// Maximum length of a list, and of a line of a watch.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;

/// The result of a read.
#[derive(Debug, PartialEq)]
pub(super) enum Progress {
    /// More data was received.
    More,
    /// The data received has been incomplete for a long time, or the body has just paused: it may be cut
    /// off here.
    MayBeCutOff,
    /// The body has ended.
    End,
}

/// A body, and the data received from it that has not been consumed yet.
pub(super) struct BodyReader<B> {
    body: B,
    part: ResponseKind,
    pub buffer: Vec<u8>,
    /// When the incomplete data in the buffer began, or was last reported as possibly cut off.
    checked_at: Option<Instant>,
    /// The last read timed out; the next one gets a last, short timeout.
    paused: bool,
}

impl<B> BodyReader<B>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    pub fn new(body: B, part: ResponseKind) -> Self {
        BodyReader { body, part, buffer: Vec::new(), checked_at: None, paused: false }
    }

    /// A complete line was consumed: the timeout of the next one starts anew.
    pub fn line_consumed(&mut self) {
        self.checked_at = None;
    }

    /// Reads more data, until `due` at the latest, however steadily data arrives. Reports once that the
    /// body may be cut off, and keeps reading after that.
    pub async fn read(&mut self, due: Instant) -> Result<Progress, CallError> {
        let has_data = !self.buffer.trim_ascii().is_empty();
        let until = match (has_data, self.paused) {
            (false, _) => due,
            (true, true) => (Instant::now() + PAUSE_TIMEOUT).min(due),
            (true, false) => {
                (*self.checked_at.get_or_insert_with(Instant::now) + PARTIAL_LIST_AFTER).min(due)
            }
        };
        match timeout_at(until, self.body.frame()).await {
            Ok(None) => Ok(Progress::End),
            Ok(Some(Ok(frame))) => {
                self.paused = false;
                self.buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                if !has_data {
                    self.checked_at = None;
                }
                if self.buffer.len() > MAX_LIST_BYTES {
                    return Err(CallError::TooLong(self.part));
                }
                Ok(Progress::More)
            }
            Ok(Some(Err(source))) => Err(CallError::Body { part: self.part, source }),
            Err(_) if !has_data => Err(CallError::Silent(self.part)),
            Err(_) if self.paused || Instant::now() >= due => Err(CallError::CutOff(self.part)),
            Err(_) => {
                (self.paused, self.checked_at) = (true, Some(Instant::now()));
                Ok(Progress::MayBeCutOff)
            }
        }
    }
}
