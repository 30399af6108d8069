//! When one more connection to an endpoint is worth its handshake, though none is needed at this moment.
//!
//! A connection is not used for [`REST`] after an answer. A request that finds only such connections waits, which
//! costs it time; one more connection would cost the endpoint a handshake. Neither side knows what comes, so it is
//! decided as the ski-rental problem is: requests wait until their waits have added up to the price, and then the
//! connection is opened. Whatever the requests' pattern, handshakes stay in a fixed ratio to the time that they save.

use curlewhub_balance::EndpointId;
use std::collections::HashMap;
use std::time::Duration;

/// A connection rests for this long after an answer: what comes behind one, a second copy or noise,
/// would otherwise answer the next request, and nothing could tell it from that one's answer.
pub const REST: Duration = Duration::from_millis(5);
/// What requests wait at an endpoint before the first connection is opened for that: ten whole rests. Fewer may be one
/// caller's short burst, which is over by the time that the connection is up.
pub const FIRST_PRICE: Duration = Duration::from_millis(50);
/// What they wait before each further one: as much as a handshake costs an endpoint at the most (see
/// `curlewhub_connection_quota::MAX_PENDING_CONNECTS`). So handshakes never cost more work than they follow
/// waits.
pub const PRICE: Duration = Duration::from_millis(8);

/// What requests have waited for resting connections, by endpoint. It has an entry for an endpoint that is listed, and
/// for no other.
#[derive(Debug, Default)]
pub struct Spares {
    waits: HashMap<EndpointId, Waits>,
}

/// The waits at one endpoint.
#[derive(Debug)]
struct Waits {
    /// Since a connection was last opened for them.
    total: Duration,
    /// What they must come to for the next one.
    price: Duration,
}

impl Spares {
    /// A request waits for so long at this endpoint; whether one more connection is now worth its price.
    pub fn waits(&mut self, endpoint: EndpointId, time: Duration) -> bool {
        let first = || Waits { total: Duration::ZERO, price: FIRST_PRICE };
        let waits = self.waits.entry(endpoint).or_insert_with(first);
        waits.total += time;
        let worth = waits.total >= waits.price;
        if worth {
            *waits = Waits { total: Duration::ZERO, price: PRICE };
        }
        worth
    }

    /// The endpoint is left, or its connections are closed.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.waits.remove(&endpoint);
    }

    /// Endpoints at which requests have waited.
    pub fn len(&self) -> usize {
        self.waits.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }
}
