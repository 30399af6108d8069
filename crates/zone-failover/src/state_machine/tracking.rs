//! What is counted and since when, for each hall: steps of a return, calls into a hall that is left, and times.

use crate::zone_states::ZoneState;
use curlewhub_control_plane::evidence::CallCounts;
use std::collections::BTreeSet;
use std::time::Duration;

/// Calls into a hall that is left are counted over this time.
const ALONG_OVER: Duration = Duration::from_millis(1500);

/// What a returning hall's step has brought.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Step {
    pub(super) served: u32,
    pub(super) lost: u32,
    pub(super) full: u32,
    pub(super) error: u32,
    pub(super) took_ms: u32,
    pub(super) usual_ms: u32,
}

/// Calls of late into a hall that is left, by sidecars that have not left it.
#[derive(Clone, Debug, Default)]
pub(super) struct Along {
    pub(super) since: Duration,
    pub(super) step: Step,
    pub(super) by: BTreeSet<String>,
}

/// Since when something holds of a hall.
#[derive(Clone, Debug, Default)]
pub(super) struct Since {
    /// Its state is this, since then.
    pub(super) state: Option<(ZoneState, Duration)>,
    pub(super) ill: Option<Duration>,
    pub(super) slow: Option<Duration>,
    pub(super) well: Option<Duration>,
    /// When it was last returned to.
    pub(super) returned: Option<Duration>,
    pub(super) probed: Option<Duration>,
}

impl Step {
    /// All calls.
    pub(super) fn calls(&self) -> u32 {
        self.served + self.lost + self.full + self.error
    }

    pub(super) fn saw(&mut self, calls: &CallCounts) {
        self.served += calls.served;
        self.lost += calls.lost();
        self.full += calls.rejected;
        self.error += calls.failed;
        self.took_ms += calls.took_ms;
        self.usual_ms += calls.expected_ms;
    }
}

impl Along {
    /// None yet, counted from now on.
    pub(super) fn from(now: Duration) -> Along {
        Along { since: now, ..Along::default() }
    }

    /// Counts a sidecar's calls; after [`ALONG_OVER`] it begins anew.
    pub(super) fn saw(&mut self, now: Duration, name: &str, calls: &CallCounts) {
        if now.saturating_sub(self.since) > ALONG_OVER {
            *self = Along::from(now);
        }
        self.step.saw(calls);
        if calls.served > 0 {
            self.by.insert(name.to_owned());
        }
    }
}
