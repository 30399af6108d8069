//! What clients, endpoints and the soak itself have seen.

use std::collections::HashMap;
use std::sync::Mutex;
use tokio::time::Instant;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEnd {
    /// An answer with this status came whole, with this body.
    Answered {
        /// The status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// Part of an answer came, and then the end of the connection: the client can tell that it is not whole.
    Truncated,
    /// The connection ended without a byte of an answer.
    Unanswered,
    /// The client left by itself.
    Left,
    /// No answer in the client's time and the grace behind it.
    Overdue,
    /// The request was not accepted: no connection came up, or it broke before the last byte was written.
    NotAccepted,
}

/// A request as its client has seen it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id, which no other request of the run has unless it repeats this one.
    pub id: String,
    /// The name of its class.
    pub class: &'static str,
    /// The sidecar.
    pub sidecar: usize,
    /// When its first byte was written, and when its last one was.
    pub begun: Instant,
    /// See `begun`.
    pub sent: Instant,
    /// The time that its client gives it, in seconds.
    pub timeout_s: f64,
    /// When it ended, and how.
    pub ended: Instant,
    /// See `ended`.
    pub end: ClientEnd,
    /// Whether it was the first request of its connection.
    pub is_first: bool,
    /// Whether it repeats the id of a request whose client left.
    pub is_repeat: bool,
}

/// How much of an attempt came to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// All of it, the last byte later than `not_before`.
    Whole {
        /// The endpoint's machine was seen not to have the last byte by then.
        not_before: Option<Instant>,
        /// The endpoint had read all of it by then.
        read: Instant,
    },
    /// The connection ended before the last byte.
    Broken,
}

/// An attempt as its endpoint has seen it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The id of its request.
    pub id: String,
    /// The endpoint.
    pub endpoint: usize,
    /// The connection at this endpoint, and which of the connection's requests this is.
    pub connection: u64,
    /// See `connection`.
    pub use_number: u32,
    /// When its head was read.
    pub head_at: Instant,
    /// How much of it came.
    pub arrival: Arrival,
    /// What the endpoint did with it.
    pub answer: &'static str,
    /// Whether the endpoint has begun to work on it.
    pub has_run: bool,
}

/// The life of one process of a sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation {
    /// The sidecar.
    pub sidecar: usize,
    /// When it got SIGTERM.
    pub terminated: Option<Instant>,
    /// When it got SIGKILL.
    pub killed: Option<Instant>,
}

/// Something that was done to a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarEvent {
    /// The sidecar.
    pub sidecar: usize,
    /// What was done: a signal, a start, or that it became ready.
    pub what: &'static str,
    /// When.
    pub at: Instant,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// By clients.
    pub requests: Vec<RequestRecord>,
    /// By endpoints.
    pub attempts: Vec<AttemptRecord>,
    /// Processes that got a signal to end.
    pub incarnations: Vec<Incarnation>,
    /// What happened to sidecars, and when.
    pub events: Vec<SidecarEvent>,
    /// Endpoints whose process died, and when: all their connections were reset.
    pub endpoint_crashes: Vec<(usize, Instant)>,
    /// Exits that no signal had asked for, and starts that failed.
    pub crashes: Vec<String>,
    /// Second answers that endpoints have written behind the first.
    pub second_answers: u64,
    /// The longest time by which a timer of the soak itself was late, in seconds.
    pub timer_lag_s: f64,
    /// New connections may be closed unread, because idle clients fill the descriptors.
    pub is_crowded: bool,
}

/// A record that several tasks write.
#[derive(Debug, Default)]
pub struct SoakRecord(Mutex<Record>);

impl SoakRecord {
    /// Changes the record.
    pub fn update(&self, change: impl FnOnce(&mut Record)) {
        // A task that panicked in between has pushed a whole entry or none.
        change(&mut self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    }

    /// What was recorded by now.
    pub fn take(&self) -> Record {
        let mut taken = Record::default();
        self.update(|record| taken = std::mem::take(record));
        taken
    }
}

impl Record {
    /// The attempts by the id of their request.
    pub fn attempts_by_id(&self) -> HashMap<&str, Vec<&AttemptRecord>> {
        let mut by_id: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
        for attempt in &self.attempts {
            by_id.entry(&attempt.id).or_default().push(attempt);
        }
        by_id
    }
}

/// The body of an endpoint's answer to this request: it states whose answer it is and how long.
pub fn expected_body(id: &str, endpoint: usize, length: usize) -> Vec<u8> {
    let mut body = format!("answer to {id} from {endpoint} of {length}\n").into_bytes();
    let mut next = body.len();
    while body.len() < length {
        body.push(b'a' + (next.wrapping_mul(31) % 26) as u8);
        next += 1;
    }
    body
}
