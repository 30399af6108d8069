//! The other process of a handover, while it lives: messages to it, and the replies that are awaited from it.

use super::overlap::SendMessage;
use super::protocol::Message;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

/// A connected predecessor or successor.
pub(super) struct Peer {
    /// Identifies it among the connections of this process.
    pub(super) link: u64,
    outgoing: UnboundedSender<Message>,
    /// Callers that await the acknowledgement of a ban, in the order of sending.
    awaiting_ban: RefCell<VecDeque<oneshot::Sender<()>>>,
    /// The caller that awaits the learned state.
    awaiting_learned_state: Cell<Option<oneshot::Sender<Vec<u8>>>>,
    /// The caller that awaits the usable endpoints.
    awaiting_usable_endpoints: Cell<Option<oneshot::Sender<Vec<String>>>>,
}

impl Peer {
    /// A peer, and the queue of messages that are to be written to it.
    pub(super) fn new(link: u64) -> (Rc<Self>, UnboundedReceiver<Message>) {
        let (outgoing, queue) = unbounded_channel();
        let (awaiting_ban, awaiting_learned_state, awaiting_usable_endpoints) = Default::default();
        let peer = Peer { link, outgoing, awaiting_ban, awaiting_learned_state, awaiting_usable_endpoints };
        (Rc::new(peer), queue)
    }

    /// Queues a message; it is dropped if the peer has disconnected.
    pub(super) fn send(&self, message: Message) {
        let _ = self.outgoing.send(message);
    }

    /// A function that sends overlap messages to the peer.
    pub(super) fn overlap_sender(&self) -> SendMessage {
        let outgoing = self.outgoing.clone();
        Box::new(move |message| drop(outgoing.send(Message::Overlap(message))))
    }

    /// Sends a ban or its end; resolves once the peer has acknowledged it.
    pub(super) fn send_ban(&self, uid: &str, banned: bool) -> oneshot::Receiver<()> {
        let (reply, acknowledged) = oneshot::channel();
        self.awaiting_ban.borrow_mut().push_back(reply);
        self.send(Message::Ban { uid: uid.to_owned(), banned });
        acknowledged
    }

    pub(super) fn ban_acknowledged(&self) {
        if let Some(reply) = self.awaiting_ban.borrow_mut().pop_front() {
            let _ = reply.send(()); // the caller may have given up
        }
    }

    /// Asks for the learned state; resolves once it was received.
    pub(super) fn request_learned_state(&self) -> oneshot::Receiver<Vec<u8>> {
        let (reply, received) = oneshot::channel();
        self.awaiting_learned_state.set(Some(reply));
        self.send(Message::LearnedStateRequest);
        received
    }

    /// Asks for the endpoints that the peer's list allows to be used; resolves once they were received.
    pub(super) fn request_usable_endpoints(&self) -> oneshot::Receiver<Vec<String>> {
        let (reply, received) = oneshot::channel();
        self.awaiting_usable_endpoints.set(Some(reply));
        self.send(Message::UsableEndpointsRequest);
        received
    }

    pub(super) fn usable_endpoints_received(&self, uids: Vec<String>) {
        if let Some(reply) = self.awaiting_usable_endpoints.take() {
            let _ = reply.send(uids); // the caller may have given up
        }
    }

    pub(super) fn learned_state_received(&self, bytes: Vec<u8>) {
        if let Some(reply) = self.awaiting_learned_state.take() {
            let _ = reply.send(bytes); // the caller may have given up
        }
    }
}
