//! Calls to discovery that are out.

use std::time::Duration;

/// The number of a call, from 1 in the order made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Which of the servers that configurations have named, in their order: versions of two servers never compare.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch(pub u32);

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A watch on changes after this version; 0 where none of that server's versions is held.
    Watch {
        /// The version.
        after: u64,
    },
    /// The whole list, once.
    WholeList,
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Nothing has come yet.
    Waiting,
    /// It is a watch that is up.
    Up,
}

/// A call that is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutCall {
    pub id: CallId,
    pub epoch: Epoch,
    pub kind: CallKind,
    pub began: Duration,
    pub progress: Progress,
    /// The version held as it began.
    pub held: u64,
}

impl OutCall {
    pub fn is_waiting_watch(&self) -> bool {
        self.progress == Progress::Waiting && matches!(self.kind, CallKind::Watch { .. })
    }
}
