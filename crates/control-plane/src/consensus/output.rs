//! What a call of the replica asks its host to do.

use super::persistence::WriteBatch;
use crate::protocol::Message;
use crate::record::Record;

/// Work for the host. `writes` must be written and synced before any message is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// To be made durable first.
    pub writes: WriteBatch,
    /// Encoded raft messages, each with the id of the replica it is for.
    pub raft_messages: Vec<(u64, Vec<u8>)>,
    /// Messages for subscribers and proposers, each with the name of its recipient.
    pub messages: Vec<(String, Message)>,
    /// Records that this call has appended to the view, in order.
    pub applied: Vec<Record>,
}
