//! How a replica serves the fetches of subscribers: within a budget of bytes, and by pushing new records to those that
//! have fetched recently.

use crate::protocol::Message;
use crate::send_budget::SendBudget;
use crate::subscriber::{EVIDENCE_INTERVAL, INTERVALS_PER_FETCH, MAX_EVIDENCE_INTERVAL};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes per second that a replica sends to subscribers; also the largest burst.
pub const SEND_BYTES_PER_S: f64 = 16e6;
/// Bytes that an answer costs beside its records.
const ANSWER_OVERHEAD_BYTES: f64 = 100.0;
/// Bound on the subscribers to which new records are pushed.
const MAX_NOTIFIED_SUBSCRIBERS: usize = 20_000;
/// Digests per second that one replica takes in. In a fleet too large for that each sidecar reports less often; several
/// hundred still report within the time in which a zone is judged.
const MAX_DIGESTS_PER_S: f64 = 2000.0;

/// What becomes of a fetch.
pub(super) enum FetchAnswer {
    /// The budget is used up: the subscriber is to retry.
    Deferred(Message),
    /// Messages for the subscriber, in order.
    Served(Vec<Message>),
}

/// Serves subscribers.
pub(super) struct FetchServer {
    budget: SendBudget,
    /// Until when new records are pushed to each subscriber.
    notified_until: BTreeMap<String, Duration>,
    /// Some sidecars were slowed down, so each must be informed once it may report more often again.
    has_slowed_sidecars: bool,
    rng: Pcg32,
}

impl FetchServer {
    pub(super) fn new(seed: u64, now: Duration) -> FetchServer {
        FetchServer {
            budget: SendBudget::new(SEND_BYTES_PER_S, now),
            notified_until: BTreeMap::new(),
            has_slowed_sidecars: false,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.budget.refill(now);
        self.notified_until.retain(|_, until| now < *until);
    }

    /// Sends `answer` to a subscriber as far as the budget allows, and registers it for new records.
    pub(super) fn serve(
        &mut self,
        now: Duration,
        subscriber: &str,
        answer: Message,
        evidence_interval: Duration,
    ) -> FetchAnswer {
        if !self.budget.try_take(ANSWER_OVERHEAD_BYTES + answer.approximate_size() as f64) {
            return FetchAnswer::Deferred(Message::RetryAfter {
                after_ms: self.rng.random_range(200..1000),
            });
        }
        if self.notified_until.len() < MAX_NOTIFIED_SUBSCRIBERS
            || self.notified_until.contains_key(subscriber)
        {
            // Half as long again as until its next fetch, so that there is no gap between the two.
            let until = now + evidence_interval * INTERVALS_PER_FETCH * 3 / 2;
            self.notified_until.insert(subscriber.to_owned(), until);
        }
        let mut messages = Vec::new();
        self.has_slowed_sidecars |= evidence_interval > EVIDENCE_INTERVAL;
        if self.has_slowed_sidecars {
            let interval_ms = evidence_interval.as_millis() as u32;
            messages.push(Message::SetEvidenceInterval { interval_ms });
        }
        messages.push(answer);
        FetchAnswer::Served(messages)
    }

    /// The subscribers to which new records are pushed.
    pub(super) fn notified(&self) -> impl Iterator<Item = &String> {
        self.notified_until.keys()
    }
}

/// How often each of so many sidecars may report evidence.
pub(super) fn evidence_interval(sidecar_count: usize) -> Duration {
    let wanted = Duration::from_secs_f64(sidecar_count as f64 / MAX_DIGESTS_PER_S);
    // In whole steps, so that it does not change with every sidecar that starts or stops.
    let steps = wanted.as_millis().div_ceil(EVIDENCE_INTERVAL.as_millis()) as u32;
    (EVIDENCE_INTERVAL * steps).clamp(EVIDENCE_INTERVAL, MAX_EVIDENCE_INTERVAL)
}
