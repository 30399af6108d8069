//! Why a call to discovery brought nothing.

use crate::connect::ConnectError;
use curlewhub_discovery_client::EndReason;
use hyper::StatusCode;
use std::io;

/// Why a call to discovery brought nothing, or a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// It was answered, and not by a list: discovery is there.
    #[error("answered {0}")]
    Refused(StatusCode),
    /// This machine could not make it: nothing reached discovery.
    #[error("not made: {0}")]
    Local(#[source] io::Error),
    /// No connection was established within its part of the call's time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection failed.
    #[error("{0}")]
    Connect(#[source] ConnectError),
    /// The exchange broke.
    #[error("the exchange broke: {0}")]
    Broke(#[source] hyper::Error),
    /// There was no answer within the call's time.
    #[error("no answer in time")]
    NoAnswer,
    /// The request could not be built.
    #[error("no request: {0}")]
    Request(#[source] hyper::http::Error),
    /// The body broke.
    #[error("{part} broke: {source}")]
    BodyBroke {
        /// What broke.
        part: Part,
        /// How.
        source: hyper::Error,
    },
    /// A body that had begun paused or trickled for too long.
    #[error("{0} broke off")]
    BrokeOff(Part),
    /// Nothing was received for too long.
    #[error("{0} fell silent")]
    Silent(Part),
    /// A watch's body ended.
    #[error("the watch ended")]
    WatchEnded,
    /// The answer is longer than any list.
    #[error("{0} is too long")]
    TooLong(Part),
    /// The answer is no list.
    #[error("{part} brought what is no list: {source}")]
    NoList {
        /// What brought it.
        part: Part,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A whole list was requested, and the answer has changes only.
    #[error("the list is not whole")]
    NotWhole,
}

/// What of discovery's was read.
#[derive(Clone, Copy, Debug)]
pub enum Part {
    /// The answer that is a whole list.
    List,
    /// A watch.
    Watch,
}

impl std::fmt::Display for Part {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Part::List => "the list",
            Part::Watch => "the watch",
        })
    }
}

impl CallError {
    /// The error and all that caused it, for the log.
    pub(super) fn chain(&self) -> String {
        let mut text = self.to_string();
        let mut source = std::error::Error::source(self);
        while let Some(cause) = source {
            let cause_text = cause.to_string();
            if !text.ends_with(&cause_text) {
                text = format!("{text}: {cause_text}");
            }
            source = cause.source();
        }
        text
    }

    /// Classifies an error of connect(2).
    pub(super) fn of_connect(error: io::Error) -> Self {
        match ConnectError::from(error) {
            ConnectError::Resources(error) | ConnectError::Route(error) => CallError::Local(error),
            error => CallError::Connect(error),
        }
    }

    /// How the call ended; a watch that was up may have fallen silent.
    pub(super) fn ending(&self, watch_was_up: bool) -> EndReason {
        match self {
            CallError::Refused(_) => EndReason::Refused,
            CallError::Local(_) => EndReason::LocalError,
            CallError::ConnectTimeout | CallError::Connect(_) => EndReason::NotConnected,
            CallError::Broke(_) | CallError::NoAnswer => EndReason::NoResponse,
            CallError::Silent(_) if watch_was_up => EndReason::Silent,
            CallError::BodyBroke { source, .. } if watch_was_up && is_reset(source) => EndReason::Reset,
            _ => EndReason::Failed,
        }
    }
}

/// Whether the system reports that the connection broke, rather than that its peer has ended it.
fn is_reset(error: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if cause.downcast_ref::<io::Error>().is_some_and(|error| error.raw_os_error().is_some()) {
            return true;
        }
        source = cause.source();
    }
    false
}
