//! Request ids whose answer was handed to their client's connection. That a client has got its answer is known only once it sends
//! its next request, or ends its connection in order: one that left as the answer came resets it, and may send the request
//! again.

use super::connection::ClientConnection;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The ids, as hashes, by the open connections that their answers were written to: one each, at most.
#[derive(Default)]
pub(super) struct AnsweredIds(RefCell<HashMap<u64, Rc<ClientConnection>>>);

impl AnsweredIds {
    /// Records that the request of this id was answered on this connection.
    pub fn record(&self, id: u64, connection: &Rc<ClientConnection>) {
        connection.answered_id.set(Some(id));
        self.0.borrow_mut().insert(id, connection.clone());
    }

    /// The id that was answered on this connection, which its client uses for another request now: it has its answer.
    pub fn confirm(&self, connection: &ClientConnection) -> Option<u64> {
        let id = connection.answered_id.take()?;
        self.0.borrow_mut().remove(&id);
        Some(id)
    }

    /// Whether the client that this id's answer went to is still there, as the same id comes again. Then it has its answer.
    pub fn confirm_id(&self, id: u64) -> bool {
        let answered = self.0.borrow_mut().remove(&id);
        answered.is_some_and(|connection| {
            connection.answered_id.take();
            !connection.monitor.peer_has_closed()
        })
    }

    /// The id that was answered on a connection that has ended, if its client has its answer.
    pub fn connection_ended(&self, connection: &ClientConnection) -> Option<u64> {
        let id = self.confirm(connection);
        id.filter(|_| !connection.monitor.has_failed())
    }
}
