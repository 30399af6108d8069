//! The settings that bound the use of a list.

use std::time::Duration;

/// How changes of the list count as notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// A change counts as notified as soon as discovery has it, whether or not a watch is open.
    Push,
    /// A change counts as notified when it arrives on a watch or in an answer.
    Ask,
}

/// The settings that bound the use of a list.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// A process that has neither watched nor called discovery for this long counts as notified of the changes until
    /// then.
    pub ask_within: Duration,
    /// Requests to an endpoint that is leaving must end within this time.
    pub drain_grace: Duration,
}
