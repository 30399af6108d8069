//! What the state machine counts and times for each zone.

use curlewhub_control_plane::evidence::CallCounts;
use std::collections::BTreeSet;
use std::time::Duration;

/// Window over which calls into a zone that is left are counted.
const RESIDUAL_TRAFFIC_WINDOW: Duration = Duration::from_millis(1500);

/// Call outcomes since a step of a recovery ramp began, or within a window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeCounts {
    pub(super) served: u32,
    pub(super) lost: u32,
    pub(super) rejected: u32,
    pub(super) failed: u32,
    pub(super) took_ms: u32,
    pub(super) expected_ms: u32,
}

impl OutcomeCounts {
    pub(super) fn total(&self) -> u32 {
        self.served + self.lost + self.rejected + self.failed
    }

    pub(super) fn record(&mut self, calls: &CallCounts) {
        self.served += calls.served;
        self.lost += calls.lost();
        self.rejected += calls.rejected;
        self.failed += calls.failed;
        self.took_ms += calls.took_ms;
        self.expected_ms += calls.expected_ms;
    }
}

/// Recent calls into a zone that is left, by sidecars that have not applied that state.
#[derive(Clone, Debug, Default)]
pub(super) struct ResidualTraffic {
    window_start: Duration,
    pub(super) outcomes: OutcomeCounts,
    /// Sidecars with at least one served call.
    pub(super) served_sidecars: BTreeSet<String>,
}

impl ResidualTraffic {
    /// An empty window that begins at `now`.
    pub(super) fn starting_at(now: Duration) -> ResidualTraffic {
        ResidualTraffic { window_start: now, ..ResidualTraffic::default() }
    }

    /// Counts a sidecar's calls, in a new window if [`RESIDUAL_TRAFFIC_WINDOW`] is over.
    pub(super) fn record(&mut self, now: Duration, sidecar: &str, calls: &CallCounts) {
        if now.saturating_sub(self.window_start) > RESIDUAL_TRAFFIC_WINDOW {
            *self = ResidualTraffic::starting_at(now);
        }
        self.outcomes.record(calls);
        if calls.served > 0 {
            self.served_sidecars.insert(sidecar.to_owned());
        }
    }
}

/// Since when conditions of a zone have held; none while they do not.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneTimes {
    pub(super) state_since: Option<Duration>,
    /// Some calling zone's evidence is not healthy.
    pub(super) suspect_since: Option<Duration>,
    pub(super) slow_since: Option<Duration>,
    /// Latencies of a zone in state `Leaving` are back to normal.
    pub(super) recovered_since: Option<Duration>,
    /// When it was last returned to in full.
    pub(super) returned_at: Option<Duration>,
    /// When sidecars were last asked to probe it as suspect.
    pub(super) probed_at: Option<Duration>,
}

impl ZoneTimes {
    /// Starts anew as the zone's state changes.
    pub(super) fn state_changed(&mut self, now: Duration) {
        self.state_since = Some(now);
        self.suspect_since = None;
        self.slow_since = None;
        self.recovered_since = None;
    }
}
