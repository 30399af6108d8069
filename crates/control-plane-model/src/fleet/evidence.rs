//! The evidence that sidecars collect and report.

use super::node::RunningProcess;
use super::{EPOCH, Fleet, zone_name};
use crate::spec::Evidence;
use curlewhub_control_plane::evidence::{CallCounts, CallOutcome, CallRecorder, Digest};
use std::time::Duration;

/// Invented evidence is reported no more often than this.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_secs(1);

impl Fleet {
    /// Records that a sidecar has started a call, at a time since the start. Sidecars are numbered from 0 here, without the
    /// consensus servers; `call` identifies a request and an attempt of it.
    pub fn call_started(
        &mut self,
        at: Duration,
        sidecar: usize,
        call: (u64, u32),
        zone: usize,
        class: usize,
    ) {
        if let Some(recorder) = self.recorder(sidecar) {
            recorder.call_started(EPOCH + at, call, zone, class);
        }
    }

    /// Records the outcome of a call, and how long it took.
    pub fn call_finished(
        &mut self,
        sidecar: usize,
        call: (u64, u32),
        outcome: CallOutcome,
        took: Duration,
    ) {
        if let Some(recorder) = self.recorder(sidecar) {
            recorder.call_finished(call, outcome, took);
        }
    }

    /// Records whether a probe of [`Fleet::probes`] was answered.
    pub fn probe_finished(&mut self, sidecar: usize, zone: usize, answered: bool) {
        if let Some(recorder) = self.recorder(sidecar) {
            recorder.probe_finished(zone, answered);
        }
    }

    fn recorder(&mut self, sidecar: usize) -> Option<&mut CallRecorder> {
        let n = self.consensus_servers() + sidecar;
        match &mut self.nodes[n].process {
            Some(RunningProcess::Sidecar(sidecar)) => Some(&mut sidecar.recorder),
            _ => None,
        }
    }

    /// Has a sidecar report its evidence, if there is any to report now.
    pub(super) fn report_evidence(&mut self, n: usize) {
        let now = self.now;
        let digest = match self.spec.evidence {
            Evidence::None => None,
            Evidence::Seen => self.recorded_digest(n),
            Evidence::Well => self.healthy_digest(n),
        };
        let Some(digest) = digest else { return };
        let Some(RunningProcess::Sidecar(sidecar)) = &mut self.nodes[n].process else { return };
        let actions = sidecar.agent.report_evidence(now, &digest);
        self.handle_agent_actions(n, actions);
    }

    fn recorded_digest(&mut self, n: usize) -> Option<Digest> {
        let Some(RunningProcess::Sidecar(sidecar)) = &mut self.nodes[n].process else { return None };
        sidecar.recorder.take_digest(self.now, sidecar.agent.renewal_interval())
    }

    /// A digest of a few successful calls into each zone.
    fn healthy_digest(&mut self, n: usize) -> Option<Digest> {
        let node = &mut self.nodes[n];
        let interval = self.now.saturating_sub(node.digest_sent_at);
        if node.process.is_none() || interval < MIN_DIGEST_INTERVAL {
            return None;
        }
        node.digest_sent_at = self.now;
        node.digest_sequence += 1;
        let calls = CallCounts { served: 3, took_ms: 40, expected_ms: 40, ..CallCounts::default() };
        Some(Digest {
            sequence: node.digest_sequence,
            sent_at_ms: self.now.as_millis() as u64,
            zone: zone_name(node.location.zone),
            interval_ms: interval.as_millis() as u32,
            calls_by_zone: (0..self.spec.zones.len()).map(|zone| (zone_name(zone), calls)).collect(),
        })
    }
}
