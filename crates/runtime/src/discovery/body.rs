//! Reads the body of an answer piece by piece, within deadlines, and notices where it breaks off.

use super::error::{CallError, Part};
use curlewhub_discovery_client::timing::{PARTIAL_LIST_AFTER, PAUSE_TIMEOUT};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};
use tokio::time::{Instant, timeout_at};

/// No list, and no line of a watch, is longer than this.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;

/// What a read has come to.
#[derive(Debug, PartialEq)]
pub(super) enum Progress {
    /// More has come.
    More,
    /// What is there has been there for long, or the body has just paused: it may have broken off here.
    MayHaveBrokenOff,
    /// The body has ended.
    End,
}

/// A body and what has come of it and is not taken yet.
pub(super) struct BodyReader<B> {
    body: B,
    part: Part,
    pub text: Vec<u8>,
    /// When what is there was last looked at, or began.
    looked: Option<Instant>,
    /// It was found paused, and is given a last while.
    paused: bool,
}

impl<B> BodyReader<B>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    pub fn new(body: B, part: Part) -> Self {
        BodyReader { body, part, text: Vec::new(), looked: None, paused: false }
    }

    /// A line has been taken whole: the next one begins anew.
    pub fn line_taken(&mut self) {
        self.looked = None;
    }

    /// Reads on, no longer than until `due`, however steadily something comes. Where the body may have broken off it
    /// reports that once, and keeps reading.
    pub async fn read(&mut self, due: Instant) -> Result<Progress, CallError> {
        let begun = !self.text.trim_ascii().is_empty();
        let until = match (begun, self.paused) {
            (false, _) => due,
            (true, true) => (Instant::now() + PAUSE_TIMEOUT).min(due),
            (true, false) => (*self.looked.get_or_insert_with(Instant::now) + PARTIAL_LIST_AFTER).min(due),
        };
        match timeout_at(until, self.body.frame()).await {
            Ok(None) => Ok(Progress::End),
            Ok(Some(Ok(frame))) => {
                self.paused = false;
                self.text.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                if !begun {
                    self.looked = None;
                }
                if self.text.len() > MAX_LIST_BYTES {
                    return Err(CallError::TooLong(self.part));
                }
                Ok(Progress::More)
            }
            Ok(Some(Err(source))) => Err(CallError::BodyBroke { part: self.part, source }),
            Err(_) if !begun => Err(CallError::Silent(self.part)),
            Err(_) if self.paused || Instant::now() >= due => Err(CallError::BrokeOff(self.part)),
            Err(_) => {
                (self.paused, self.looked) = (true, Some(Instant::now()));
                Ok(Progress::MayHaveBrokenOff)
            }
        }
    }
}
