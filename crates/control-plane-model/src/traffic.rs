//! What has passed between processes, in all and by process, and how long versions took to spread.

use curlewhub_control_plane::protocol::Message;
use hdrhistogram::Histogram;
use std::ops::Sub;
use std::time::Duration;

/// What has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficTotals {
    /// Messages.
    pub messages: u64,
    /// Bytes, frames among them.
    pub bytes: u64,
    /// Messages that found no room at their process.
    pub dropped: u64,
}

/// How long versions took to be held.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    after: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let after = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        LatencyHistogram { after: after.unwrap_or_else(|_| unreachable!("the bounds are sound")) }
    }
}

impl LatencyHistogram {
    /// A part of all, 0 to 1: within how long they were held.
    pub fn at(&self, q: f64) -> Duration {
        Duration::from_micros(self.after.value_at_quantile(q))
    }

    pub(crate) fn record(&mut self, micros: u64) {
        self.after.saturating_record(micros.max(1));
    }

    /// How many.
    pub fn count(&self) -> u64 {
        self.after.len()
    }
}

impl TrafficTotals {
    fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

impl Sub for TrafficTotals {
    type Output = TrafficTotals;

    fn sub(self, before: TrafficTotals) -> TrafficTotals {
        TrafficTotals {
            messages: self.messages - before.messages,
            bytes: self.bytes - before.bytes,
            dropped: self.dropped - before.dropped,
        }
    }
}

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Membership: probes, suspicions and gossip.
    Membership,
    /// Following the view: how far one is, what is in force of its configuration, questions and their answers.
    View,
    /// Evidence, and what consensus servers say of it.
    Evidence,
    /// The consensus servers' agreement, and proposals to it.
    Agreement,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 4] =
        [Purpose::Membership, Purpose::View, Purpose::Evidence, Purpose::Agreement];

    fn of(message: &Message) -> Purpose {
        match message {
            Message::Membership(_) | Message::ListMembers => Purpose::Membership,
            Message::Evidence(_) | Message::LegacyEvidence(_) | Message::SetEvidenceInterval { .. } => {
                Purpose::Evidence
            }
            Message::ProbeZone { .. } | Message::Grant { .. } | Message::ListZones => Purpose::Evidence,
            Message::ViewVersion { .. } | Message::FetchRecords { .. } | Message::Records(_) => {
                Purpose::View
            }
            Message::Snapshot(_) | Message::RetryAfter { .. } | Message::ReportConfig(_) => Purpose::View,
            Message::Raft(_)
            | Message::Propose(_)
            | Message::Decided { .. }
            | Message::NotDecided { .. } => Purpose::Agreement,
            Message::DescribeServer | Message::Described(_) | Message::ChangeVoters { .. } => {
                Purpose::Agreement
            }
            Message::VoterChangeStarted | Message::VoterChangeRejected(_) => Purpose::Agreement,
            Message::CommandConfig(_) | Message::DescribeConfig => Purpose::Agreement,
        }
    }
}

/// What one process has sent and received, by purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    sent: [TrafficTotals; Purpose::ALL.len()],
    received: [TrafficTotals; Purpose::ALL.len()],
}

impl Traffic {
    /// What it has sent for this purpose.
    pub fn sent(&self, purpose: Purpose) -> TrafficTotals {
        self.sent[purpose as usize]
    }

    /// What has reached it for this purpose, dealt with or dropped.
    pub fn received(&self, purpose: Purpose) -> TrafficTotals {
        self.received[purpose as usize]
    }

    /// Bytes in both directions, for all purposes.
    pub fn bytes(&self) -> u64 {
        self.sent.iter().chain(&self.received).map(|passed| passed.bytes).sum()
    }

    /// Messages in both directions, for all purposes.
    pub fn messages(&self) -> u64 {
        self.sent.iter().chain(&self.received).map(|passed| passed.messages).sum()
    }

    pub(crate) fn count_sent(&mut self, message: &Message, bytes: u64) {
        self.sent[Purpose::of(message) as usize].add(bytes);
    }

    pub(crate) fn count_received(&mut self, message: &Message, bytes: u64) {
        self.received[Purpose::of(message) as usize].add(bytes);
    }
}

impl Sub for Traffic {
    type Output = Traffic;

    fn sub(self, before: Traffic) -> Traffic {
        let difference = |now: [TrafficTotals; 4], then: [TrafficTotals; 4]| {
            std::array::from_fn(|purpose| now[purpose] - then[purpose])
        };
        Traffic {
            sent: difference(self.sent, before.sent),
            received: difference(self.received, before.received),
        }
    }
}
