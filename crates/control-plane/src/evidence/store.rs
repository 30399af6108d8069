//! The newest digest of each sidecar, and sums over them by pair of zones.

use super::digest::{CallCounts, Digest};
use crate::peer::PeerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bound on the sidecars whose digests are stored.
pub const MAX_SIDECARS: usize = 20_000;
/// A digest that was received longer ago is no evidence any more.
pub const FRESHNESS: Duration = Duration::from_secs(3);
/// A digest that was in transit for so much longer than the quickest of the same sidecar describes the past. A network
/// partition that ends can deliver such digests.
pub const MAX_TRANSIT_DELAY: Duration = Duration::from_millis(1500);
/// The largest rate difference between the monotonic clocks of two processes.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// How long the entry of a silent sidecar is kept once the store is full.
const RETENTION: Duration = Duration::from_secs(60);
/// Calls that one digest adds to a sum. It bounds the weight of a sidecar that is very busy, or that lies.
pub const MAX_CALLS_PER_DIGEST: u32 = 20;

/// Why a digest is rejected. The texts are keys of counters in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DigestRejection {
    /// A newer one of that sidecar is stored: this one is late, repeated, or of an old incarnation.
    #[error("it is older than what is known of that sidecar")]
    Outdated,
    /// It was delayed in transit by more than [`MAX_TRANSIT_DELAY`].
    #[error("it was under way for over {MAX_TRANSIT_DELAY:?}")]
    Delayed,
    /// It has too many rows, too long names or impossible counts.
    #[error("its numbers can't be")]
    Invalid,
    /// The store is full.
    #[error("{MAX_SIDECARS} sidecars are known")]
    CapacityExceeded,
}

/// Sums over the sidecars of one zone of their calls into another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZonePairSummary {
    /// Sums of the counts, each sidecar's capped at [`MAX_CALLS_PER_DIGEST`] calls.
    pub calls: CallCounts,
    /// Sidecars that reported calls.
    pub witnesses: u32,
    /// Those of them that lost more than half of their calls.
    pub losing: u32,
}

#[derive(Clone, Debug)]
struct StoredDigest {
    incarnation: u64,
    received_at: Duration,
    digest: Digest,
    /// The smallest difference seen between this process's clock and the sidecar's, in milliseconds: their offset plus the
    /// transit time of the quickest digest.
    min_clock_difference_ms: f64,
}

impl StoredDigest {
    /// The smallest difference to expect at `now`, as the clocks may have drifted apart since.
    fn expected_clock_difference_ms(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.received_at);
        self.min_clock_difference_ms + age.as_secs_f64() * 1e3 * MAX_CLOCK_DRIFT
    }

    /// The smallest clock difference once `digest` has followed this one.
    ///
    /// # Errors
    /// It does not follow.
    fn min_clock_difference(
        &self,
        now: Duration,
        from: &PeerId,
        digest: &Digest,
        clock_difference_ms: f64,
    ) -> Result<f64, DigestRejection> {
        let same_incarnation = from.incarnation == self.incarnation;
        let is_older = (from.incarnation, digest.sequence) <= (self.incarnation, self.digest.sequence);
        let is_fresh = now.saturating_sub(self.received_at) <= FRESHNESS;
        // One that is no evidence any more does not keep an older incarnation from reporting.
        if is_older && (same_incarnation || is_fresh) {
            return Err(DigestRejection::Outdated);
        }
        if same_incarnation {
            return Ok(clock_difference_ms.min(self.expected_clock_difference_ms(now)));
        }
        // Each incarnation has a clock of its own, and nothing shows the transit time of its first digest.
        Ok(clock_difference_ms)
    }
}

/// The newest digest of each sidecar.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    newest: BTreeMap<String, StoredDigest>,
}

impl Evidence {
    /// Stores a digest in the place of the sidecar's last one.
    ///
    /// # Errors
    /// It is rejected, and nothing has changed.
    pub fn record(&mut self, now: Duration, from: &PeerId, digest: &Digest) -> Result<(), DigestRejection> {
        if !digest.is_valid() {
            return Err(DigestRejection::Invalid);
        }
        self.make_room(now, &from.name)?;
        let clock_difference_ms = now.as_secs_f64() * 1e3 - digest.sent_at_ms as f64;
        let min_clock_difference_ms = match self.newest.get(&from.name) {
            None => clock_difference_ms,
            Some(newest) => newest.min_clock_difference(now, from, digest, clock_difference_ms)?,
        };
        let delay_ms = clock_difference_ms - min_clock_difference_ms;
        if delay_ms > MAX_TRANSIT_DELAY.as_secs_f64() * 1e3 {
            return Err(DigestRejection::Delayed);
        }
        let stored = StoredDigest {
            incarnation: from.incarnation,
            received_at: now,
            digest: digest.clone(),
            min_clock_difference_ms,
        };
        self.newest.insert(from.name.clone(), stored);
        Ok(())
    }

    /// Makes sure that there is room for this sidecar, at the cost of those that have long been silent.
    fn make_room(&mut self, now: Duration, name: &str) -> Result<(), DigestRejection> {
        if self.newest.contains_key(name) || self.newest.len() < MAX_SIDECARS {
            return Ok(());
        }
        self.newest.retain(|_, stored| now.saturating_sub(stored.received_at) <= RETENTION);
        if self.newest.len() >= MAX_SIDECARS {
            return Err(DigestRejection::CapacityExceeded);
        }
        Ok(())
    }

    /// Sums of the fresh digests by pair of zones, as (calling zone, called zone).
    pub fn zone_pairs(&self, now: Duration) -> BTreeMap<(&str, &str), ZonePairSummary> {
        let mut pairs: BTreeMap<(&str, &str), ZonePairSummary> = BTreeMap::new();
        let is_fresh = |stored: &&StoredDigest| now.saturating_sub(stored.received_at) <= FRESHNESS;
        for StoredDigest { digest, .. } in self.newest.values().filter(is_fresh) {
            for (to, calls) in digest.calls_by_zone.iter().filter(|(_, calls)| calls.total() > 0) {
                let pair = pairs.entry((&digest.zone, to)).or_default();
                pair.calls.add(&calls.capped(MAX_CALLS_PER_DIGEST));
                pair.witnesses += 1;
                pair.losing += u32::from(calls.lost() > calls.total() / 2);
            }
        }
        pairs
    }

    /// Sidecars whose digests are stored, fresh or not.
    pub fn sidecar_count(&self) -> usize {
        self.newest.len()
    }
}
