//! Which message format each peer reads, so that builds of two releases understand one another.

use curlewhub_control_plane::protocol::{FORMAT, MIN_FORMAT};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a peer is assumed to read the oldest format alone, after it closed a connection without an answer or wrote an
/// older format.
const OLDER_FORMAT_PERIOD: Duration = Duration::from_secs(30);
/// Limit of the peers that are assumed to read the oldest format alone.
const MAX_OLDER_PEERS: usize = 256;

/// The formats of the peers, by name.
#[derive(Debug, Default)]
pub(super) struct PeerFormats {
    /// The newest format that a member reads, as its membership entry states it.
    announced: RefCell<BTreeMap<String, u8>>,
    /// Peers that are assumed to read the oldest format alone, and until when.
    older: RefCell<BTreeMap<String, Instant>>,
}

impl PeerFormats {
    /// Sets what a member announces; `None` once it is no member any more.
    pub(super) fn set_announced(&self, name: &str, format: Option<u8>) {
        let mut announced = self.announced.borrow_mut();
        match format {
            Some(format) => announced.insert(name.to_owned(), format),
            None => announced.remove(name),
        };
    }

    /// The format to write to a peer: the announced one, else the one that its connections suggest.
    pub(super) fn format_for(&self, name: &str) -> u8 {
        if let Some(format) = self.announced.borrow().get(name) {
            return (*format).clamp(MIN_FORMAT, FORMAT);
        }
        let mut older = self.older.borrow_mut();
        let now = Instant::now();
        older.retain(|_, until| now < *until);
        if older.contains_key(name) { MIN_FORMAT } else { FORMAT }
    }

    /// A message of this peer in this format was received.
    pub(super) fn observe(&self, name: &str, format: u8) {
        if format >= FORMAT {
            self.older.borrow_mut().remove(name);
        } else {
            self.assume_older(name);
        }
    }

    /// Assumes for a while that the peer reads the oldest format alone.
    pub(super) fn assume_older(&self, name: &str) {
        let mut older = self.older.borrow_mut();
        if older.len() < MAX_OLDER_PEERS || older.contains_key(name) {
            older.insert(name.to_owned(), Instant::now() + OLDER_FORMAT_PERIOD);
        }
    }
}
