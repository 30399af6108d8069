//! Digests: what a sidecar's calls into each zone have shown over an interval.

use crate::record::MAX_TEXT_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bound on the rows of a digest, which are the zones that one sidecar calls into.
pub const MAX_ROWS: usize = 128;
/// Bound on each count of a digest. No process has that many calls in one interval, and sums over all sidecars stay within
/// their types.
const MAX_COUNT: u32 = 10_000_000;

/// How the calls into one zone ended, over one digest's interval.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls that were served in time.
    pub served: u32,
    /// Served calls that were slower than usual for their class.
    pub slow: u32,
    /// Calls that an endpoint rejected without processing them, as a busy one does.
    pub rejected: u32,
    /// Calls that were answered with an error.
    pub failed: u32,
    /// Calls whose connection was not established, or broke.
    pub unreachable: u32,
    /// Calls that ended without an answer and had not been counted as overdue before.
    pub timed_out: u32,
    /// Calls in flight for longer than any should be; each is counted once.
    pub overdue: u32,
    /// Overdue calls that were served after all.
    pub recovered: u32,
    /// Total duration of the served calls, in milliseconds.
    pub took_ms: u32,
    /// What that total would be had each call taken its class's mean, in milliseconds.
    pub expected_ms: u32,
    /// Milliseconds since the last call was served; meaningful only if one was.
    pub last_served_ms_ago: u32,
    /// Calls lost since the last one that was answered. It tells a zone that has gone from one that loses some calls.
    pub lost_streak: u32,
    /// Probes that were answered in any way.
    pub probes_answered: u32,
    /// Probes that were not answered.
    pub probes_unanswered: u32,
}

impl CallCounts {
    /// Calls whose outcome is known so far. A call that was overdue and recovered counts once.
    pub fn total(&self) -> u32 {
        let ended = self.served + self.rejected + self.failed + self.unreachable + self.timed_out;
        (ended + self.overdue).saturating_sub(self.recovered)
    }

    /// Calls that nothing answered. A zone that rejects calls or answers with errors is reachable, so those don't count.
    pub fn lost(&self) -> u32 {
        (self.unreachable + self.timed_out + self.overdue).saturating_sub(self.recovered)
    }

    /// Whether any call was lost, rejected, failed or recovered, or any probe ended: news that is not held back.
    pub(super) fn is_noteworthy(&self) -> bool {
        let probes = self.probes_answered + self.probes_unanswered;
        self.lost() + self.rejected + self.failed + self.recovered + probes > 0
    }

    fn is_valid(&self) -> bool {
        let counts = [
            self.served,
            self.rejected,
            self.failed,
            self.unreachable,
            self.timed_out,
            self.overdue,
            self.probes_answered,
            self.probes_unanswered,
        ];
        counts.iter().all(|count| *count <= MAX_COUNT)
            && self.slow <= self.served
            && self.recovered <= self.served
            && self.lost_streak <= self.unreachable + self.timed_out + self.overdue
    }

    /// Adds another sidecar's counts.
    pub(super) fn add(&mut self, other: &CallCounts) {
        let add = |sum: &mut u32, count: u32| *sum = sum.saturating_add(count);
        add(&mut self.served, other.served);
        add(&mut self.slow, other.slow);
        add(&mut self.rejected, other.rejected);
        add(&mut self.failed, other.failed);
        add(&mut self.unreachable, other.unreachable);
        add(&mut self.timed_out, other.timed_out);
        add(&mut self.overdue, other.overdue);
        add(&mut self.recovered, other.recovered);
        add(&mut self.took_ms, other.took_ms);
        add(&mut self.expected_ms, other.expected_ms);
        self.last_served_ms_ago = self.last_served_ms_ago.min(other.last_served_ms_ago);
        self.lost_streak = if other.total() > other.lost() {
            other.lost_streak
        } else {
            self.lost_streak.saturating_add(other.lost_streak)
        };
        add(&mut self.probes_answered, other.probes_answered);
        add(&mut self.probes_unanswered, other.probes_unanswered);
    }

    /// Scales the counts down in proportion, so that they stand for `max_calls` calls or fewer.
    pub fn capped(&self, max_calls: u32) -> CallCounts {
        let total = self.total();
        if total <= max_calls {
            return *self;
        }
        let scale = |count: u32| (u64::from(count) * u64::from(max_calls) / u64::from(total)) as u32;
        CallCounts {
            served: scale(self.served),
            slow: scale(self.slow),
            rejected: scale(self.rejected),
            failed: scale(self.failed),
            unreachable: scale(self.unreachable),
            timed_out: scale(self.timed_out),
            overdue: scale(self.overdue),
            recovered: scale(self.recovered),
            took_ms: scale(self.took_ms),
            expected_ms: scale(self.expected_ms),
            lost_streak: self.lost_streak.min(max_calls),
            ..*self
        }
    }
}

/// What one sidecar's calls have shown over an interval. The order of its fields is part of the wire format.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Rises with each digest of one incarnation of the sidecar.
    pub sequence: u64,
    /// When it was sent, in milliseconds of the sidecar's monotonic clock, whose origin is arbitrary. It shows which digests
    /// were delayed in transit.
    pub sent_at_ms: u64,
    /// The sidecar's zone.
    pub zone: String,
    /// Length of the interval, in milliseconds.
    pub interval_ms: u32,
    /// Counts by called zone; zones without calls or probes are left out.
    pub calls_by_zone: BTreeMap<String, CallCounts>,
}

impl Digest {
    /// Whether its sizes and counts are within their bounds.
    pub(super) fn is_valid(&self) -> bool {
        let is_valid_row =
            |(zone, calls): (&String, &CallCounts)| zone.len() <= MAX_TEXT_BYTES && calls.is_valid();
        self.calls_by_zone.len() <= MAX_ROWS
            && self.calls_by_zone.iter().all(is_valid_row)
            && self.zone.len() <= MAX_TEXT_BYTES
    }
}

/// A digest in format 1. It is decoded, so that the message is not malformed, and otherwise ignored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LegacyDigest {
    sequence: u64,
    zone: String,
    interval_ms: u32,
    rows: BTreeMap<String, [f64; 5]>,
}
