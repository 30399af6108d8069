//! Calls to discovery that have not ended.

use std::time::Duration;

/// Identifies a call: calls are numbered from 1 in the order in which they are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The number of a discovery server, in the order in which configurations have named them. List versions of different
/// servers are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch(pub u32);

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A watch on changes after a version.
    Watch {
        /// The version; 0 if no version of the list of that server is known.
        after: u64,
    },
    /// The whole list, once.
    WholeList,
}

/// The state of a call that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallState {
    /// Nothing has been received yet.
    Pending,
    /// The call is an open watch.
    Open,
}

/// A call that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveCall {
    pub id: CallId,
    pub epoch: Epoch,
    pub kind: CallKind,
    pub started_at: Duration,
    pub state: CallState,
    /// The version of the current list when the call started.
    pub version_at_start: u64,
}

impl ActiveCall {
    pub fn is_pending_watch(&self) -> bool {
        self.state == CallState::Pending && matches!(self.kind, CallKind::Watch { .. })
    }
}
