//! Counts of messages and bytes, in total and by process, and how long versions took to spread.

use curlewhub_control_plane::protocol::Message;
use hdrhistogram::Histogram;
use std::ops::Sub;
use std::time::Duration;

/// Counts of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficTotals {
    /// Messages.
    pub messages: u64,
    /// Bytes on the wire, with the overhead of frames.
    pub bytes: u64,
    /// Messages dropped because their receiver's inbox was full.
    pub dropped: u64,
}

/// How long sidecars took to hold a version after its decision, from 1 us to an hour.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    micros: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let micros = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        LatencyHistogram { micros: micros.unwrap_or_else(|_| unreachable!("the bounds are sound")) }
    }
}

impl LatencyHistogram {
    /// The latency at a quantile, 0 to 1.
    pub fn at(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.micros.value_at_quantile(quantile))
    }

    pub(crate) fn record(&mut self, micros: u64) {
        self.micros.saturating_record(micros.max(1));
    }

    /// The number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.micros.len()
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

/// The purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Membership: probes, suspicions and gossip.
    Membership,
    /// Following the view: versions, records, snapshots, and reports of the configuration in force.
    View,
    /// Digests of evidence, and the probes and grants that follow from it.
    Evidence,
    /// Raft among consensus servers, proposals, and operators' commands.
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
    /// Sent messages of a purpose.
    pub fn sent(&self, purpose: Purpose) -> TrafficTotals {
        self.sent[purpose as usize]
    }

    /// Messages of a purpose that have arrived, whether processed or dropped.
    pub fn received(&self, purpose: Purpose) -> TrafficTotals {
        self.received[purpose as usize]
    }

    /// Bytes in both directions, of all purposes.
    pub fn bytes(&self) -> u64 {
        self.sent.iter().chain(&self.received).map(|totals| totals.bytes).sum()
    }

    /// Messages in both directions, of all purposes.
    pub fn messages(&self) -> u64 {
        self.sent.iter().chain(&self.received).map(|totals| totals.messages).sum()
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
        let difference = |after: [TrafficTotals; Purpose::ALL.len()],
                          before: [TrafficTotals; Purpose::ALL.len()]| {
            std::array::from_fn(|purpose| after[purpose] - before[purpose])
        };
        Traffic {
            sent: difference(self.sent, before.sent),
            received: difference(self.received, before.received),
        }
    }
}
