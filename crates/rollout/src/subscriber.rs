//! A sidecar's part: which content is its own, what it made of it, and what it reports.

use crate::canary::Sidecar;
use crate::record;
use crate::reports::RENEW;
use crate::rollout::Rollout;
use curlewhub_control_plane::configuration::{ConfigNumber, ConfigReport, Refusal, SettingValues};
use std::collections::BTreeMap;
use std::time::Duration;

/// Between two reports that differ, at the least: 840 changes that come at once are told of as few.
const REPORT_LEAST: Duration = Duration::from_millis(200);

/// A sidecar's part in rollouts. What is in force only goes to higher numbers, and only to ones that were decided.
#[derive(Clone, Debug)]
pub struct Subscriber {
    name: String,
    zone: String,
    in_force: ConfigNumber,
    /// Of base and target those that it has refused, and why.
    refused: BTreeMap<ConfigNumber, String>,
    /// Refused since the start, in all.
    refusals: u64,
    /// Something was decided: before that there is nothing to report.
    begun: bool,
    reported: Option<(Duration, ConfigReport)>,
}

impl Subscriber {
    /// One that begins with its own file alone.
    pub fn new(name: &str, zone: &str) -> Subscriber {
        let (in_force, refused, refusals, begun, reported) = Default::default();
        let (name, zone) = (name.to_owned(), zone.to_owned());
        Subscriber { name, zone, in_force, refused, refusals, begun, reported }
    }

    /// What is in force.
    pub fn in_force(&self) -> ConfigNumber {
        self.in_force
    }

    /// The newest that it refuses.
    pub fn refused(&self) -> Option<Refusal> {
        let (number, why) = self.refused.last_key_value()?;
        (*number > self.in_force).then(|| Refusal { number: *number, why: why.clone() })
    }

    /// How many it has refused.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Has what is decided put into force. Where what it is to have is refused it keeps what it has, or takes what was in
    /// force before that, if that is newer.
    pub fn decided(
        &mut self,
        rollout: &Rollout,
        mut apply: impl FnMut(ConfigNumber, &SettingValues) -> Result<(), String>,
    ) {
        self.begun = true;
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
                Ok(()) => return self.in_force = content.number,
                Err(why) => {
                    self.refusals += 1;
                    self.refused.insert(content.number, record::cut(&why));
                }
            }
        }
    }

    /// What is to be reported now, if anything: at once what is new, and again after a while.
    pub fn report(&mut self, now: Duration) -> Option<ConfigReport> {
        if !self.begun {
            return None;
        }
        let (in_force, refused) = (self.in_force, self.refused());
        let report = ConfigReport { in_force, refused };
        if let Some((at, before)) = &self.reported {
            let wait = if *before == report { RENEW } else { REPORT_LEAST };
            if now.saturating_sub(*at) < wait {
                return None;
            }
        }
        self.reported = Some((now, report.clone()));
        Some(report)
    }
}
