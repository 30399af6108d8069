//! Decides when an additional connection to an endpoint is worth its handshake, although none is needed at
//! this moment.
//!
//! A connection is not reused for some milliseconds after a response (`reuse_delay.rs`). A request that finds only such
//! connections waits, which costs it time; an additional connection would cost the endpoint a handshake.
//! Since future requests are unknown, this is decided as a ski-rental problem: requests wait until their
//! waits add up to the price, and then a connection is opened. Whatever the pattern of requests, the
//! handshakes stay in a fixed ratio to the time that they save.

use curlewhub_balance::EndpointId;
use std::collections::HashMap;
use std::time::Duration;

/// Total wait at an endpoint before the first additional connection is opened: ten whole reuse delays. A
/// lower total may come from a short burst of one caller, which is over by the time the connection is open.
pub const FIRST_PRICE: Duration = Duration::from_millis(100);
/// Total wait before each further one: as much as a handshake costs an endpoint at most (see
/// `curlewhub_connection_quota::MAX_PENDING_CONNECTS`). So handshakes never cost more work than the waits
/// that caused them.
pub const PRICE: Duration = Duration::from_millis(8);

/// The time that requests have waited for reusable connections, by endpoint. Only listed endpoints have an
/// entry.
#[derive(Debug, Default)]
pub struct SpareConnections {
    waits: HashMap<EndpointId, Waits>,
}

/// The waits at one endpoint.
#[derive(Debug)]
struct Waits {
    /// Total since an additional connection was last opened.
    total: Duration,
    /// Total at which the next one is opened.
    price: Duration,
}

impl SpareConnections {
    /// Records that a request waits this long at an endpoint. Returns whether an additional connection is
    /// now worth its price.
    pub fn record_wait(&mut self, endpoint: EndpointId, time: Duration) -> bool {
        let first = || Waits { total: Duration::ZERO, price: FIRST_PRICE };
        let waits = self.waits.entry(endpoint).or_insert_with(first);
        waits.total += time;
        let is_worth_it = waits.total >= waits.price;
        if is_worth_it {
            *waits = Waits { total: Duration::ZERO, price: PRICE };
        }
        is_worth_it
    }

    /// Removes the waits of an endpoint that was removed, or whose connections were closed.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.waits.remove(&endpoint);
    }

    /// Number of endpoints at which requests have waited.
    pub fn len(&self) -> usize {
        self.waits.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }
}
