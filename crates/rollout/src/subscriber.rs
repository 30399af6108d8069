//! A sidecar's side of rollouts: which configuration to apply, and what to report about that.

use crate::canary::Sidecar;
use crate::record;
use crate::reports::REPORT_REFRESH_INTERVAL;
use crate::rollout::Rollout;
use curlewhub_control_plane::configuration::{ConfigNumber, ConfigReport, Refusal, SettingValues};
use std::collections::BTreeMap;
use std::time::Duration;

/// The shortest time between two reports that differ, so that a burst of changes leads to few reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A sidecar's state in rollouts. The number in force only rises, and only to numbers that were decided.
#[derive(Clone, Debug)]
pub struct Subscriber {
    name: String,
    zone: String,
    in_force: ConfigNumber,
    /// The configurations that were refused, with the reason. Only those of the current base and target are kept.
    refused: BTreeMap<ConfigNumber, String>,
    refusals_since_start: u64,
    /// The state of reporting; `None` until the first decision, as there is nothing to report before.
    reporting: Option<Reporting>,
}

/// What has been reported since the first decision.
#[derive(Clone, Debug, Default)]
struct Reporting {
    last: Option<SentReport>,
}

#[derive(Clone, Debug)]
struct SentReport {
    at: Duration,
    report: ConfigReport,
}

impl Subscriber {
    /// A sidecar that has applied nothing but its own file: configuration 0.
    pub fn new(name: &str, zone: &str) -> Subscriber {
        Subscriber {
            name: name.to_owned(),
            zone: zone.to_owned(),
            in_force: ConfigNumber::default(),
            refused: BTreeMap::new(),
            refusals_since_start: 0,
            reporting: None,
        }
    }

    /// The configuration in force.
    pub fn in_force(&self) -> ConfigNumber {
        self.in_force
    }

    /// The newest refused configuration, if it is newer than the one in force.
    pub fn refused(&self) -> Option<Refusal> {
        let (number, why) = self.refused.last_key_value()?;
        (*number > self.in_force).then(|| Refusal { number: *number, why: why.clone() })
    }

    /// How many configurations were refused since the start of the process.
    pub fn refusals(&self) -> u64 {
        self.refusals_since_start
    }

    /// Takes in a decided rollout and has `apply` put this sidecar's settings into force. If `apply` refuses them with a
    /// reason, the base is tried, provided that it is newer than what is in force. A refused number is not tried again
    /// while it is the rollout's base or target.
    pub fn decided(
        &mut self,
        rollout: &Rollout,
        mut apply: impl FnMut(ConfigNumber, &SettingValues) -> Result<(), String>,
    ) {
        self.reporting.get_or_insert_default();
        let (base, target) = (rollout.base.number, rollout.target.number);
        self.refused.retain(|number, _| *number == base || *number == target);
        let sidecar = Sidecar { name: &self.name, zone: &self.zone };
        for content in [rollout.content_for(sidecar), &rollout.base] {
            if content.number <= self.in_force {
                return;
            }
            if self.refused.contains_key(&content.number) {
                continue;
            }
            match apply(content.number, &content.settings.in_zone(&self.zone)) {
                Ok(()) => {
                    self.in_force = content.number;
                    return;
                }
                Err(why) => {
                    self.refusals_since_start += 1;
                    self.refused.insert(content.number, record::truncate(&why));
                }
            }
        }
    }

    /// The report that is due at `now`, if any: a changed one at once, but not twice within 200 ms, and an
    /// unchanged one after [`REPORT_REFRESH_INTERVAL`].
    pub fn report(&mut self, now: Duration) -> Option<ConfigReport> {
        let report = ConfigReport { in_force: self.in_force, refused: self.refused() };
        let reporting = self.reporting.as_mut()?;
        if let Some(last) = &reporting.last {
            let unchanged = last.report == report;
            let interval = if unchanged { REPORT_REFRESH_INTERVAL } else { MIN_REPORT_INTERVAL };
            if now.saturating_sub(last.at) < interval {
                return None;
            }
        }
        reporting.last = Some(SentReport { at: now, report: report.clone() });
        Some(report)
    }
}
