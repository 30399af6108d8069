//! Sidecars' reports about the configuration: the newest of each sidecar, and counts over all of them.

use crate::canary::Sidecar;
use crate::rollout::Rollout;
use curlewhub_control_plane::configuration::{ConfigNumber, ConfigReport};
use curlewhub_control_plane::evidence::MAX_SIDECARS;
use curlewhub_control_plane::protocol::PeerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A sidecar repeats an unchanged report after this time; a changed one it sends at once.
pub const REPORT_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// An older report no longer counts: three repetitions were missed, and the sidecar is silent.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(15);
/// How many stragglers a census names; the counts contain all of them.
pub const MAX_STRAGGLERS: usize = 50;

/// Why a report was dropped. The texts are keys of counters in the JSON of `fleet status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum ReportRejection {
    /// It is of an earlier incarnation, or a newer report has overtaken it.
    #[error("it is older than what is known of that sidecar")]
    Outdated,
    /// Its text is longer than allowed.
    #[error("its text is too long")]
    TooLong,
    /// Reports of [`MAX_SIDECARS`] other sidecars are stored, all of them recent.
    #[error("{MAX_SIDECARS} sidecars are known")]
    TooManySidecars,
}

/// The old name of [`ReportRejection`], until `control-plane-node` uses the new one.
pub use ReportRejection as NotTaken;

/// A sidecar's state relative to the configuration that it should have.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It has the configuration in force.
    InForce,
    /// It refused the configuration, for this reason.
    Refused(String),
    /// It still has this other configuration in force.
    Behind(ConfigNumber),
    /// It has sent no report for [`MAX_REPORT_AGE`].
    Silent,
}

/// Numbers of sidecars by [`Standing`].
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sidecars that have the right configuration in force.
    pub in_force: u32,
    /// Sidecars that refused it.
    pub refused: u32,
    /// Sidecars that still have another one in force.
    pub behind: u32,
    /// Sidecars without a recent report.
    pub silent: u32,
}

impl Counts {
    /// The number of all sidecars.
    pub fn total(&self) -> u32 {
        self.in_force + self.refused + self.behind + self.silent
    }

    /// The number of sidecars that are known neither to have the configuration nor to refuse it.
    pub fn missing(&self) -> u32 {
        self.behind + self.silent
    }

    fn add(&mut self, standing: &Standing) {
        match standing {
            Standing::InForce => self.in_force += 1,
            Standing::Refused(_) => self.refused += 1,
            Standing::Behind(_) => self.behind += 1,
            Standing::Silent => self.silent += 1,
        }
    }
}

/// A sidecar that does not have the configuration that it should have.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Straggler {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its state.
    pub standing: Standing,
}

/// The state of all sidecars relative to a rollout.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Census {
    /// Counts over the sidecars that should have the target in the rollout's current phase.
    pub stage: Counts,
    /// Counts over all sidecars by zone. Those outside the canary are compared with the base.
    pub zones: BTreeMap<String, Counts>,
    /// Up to [`MAX_STRAGGLERS`] sidecars that do not have what they should have; those that refuse it come first.
    pub stragglers: Vec<Straggler>,
}

impl Census {
    /// The reason of the first straggler that refuses its configuration.
    pub fn first_refusal(&self) -> Option<&str> {
        self.stragglers.iter().find_map(|straggler| match &straggler.standing {
            Standing::Refused(why) => Some(why.as_str()),
            _ => None,
        })
    }

    fn add(&mut self, sidecar: Sidecar<'_>, standing: Standing, is_in_stage: bool) {
        if is_in_stage {
            self.stage.add(&standing);
        }
        self.zones.entry(sidecar.zone.to_owned()).or_default().add(&standing);
        self.add_straggler(sidecar, standing);
    }

    /// Refusals go in front, as their reasons help an operator more than the names of sidecars that are merely late.
    fn add_straggler(&mut self, sidecar: Sidecar<'_>, standing: Standing) {
        let is_refusal = matches!(standing, Standing::Refused(_));
        let is_full = self.stragglers.len() >= MAX_STRAGGLERS;
        if standing == Standing::InForce || is_full && !is_refusal {
            return;
        }
        let position = if is_refusal { 0 } else { self.stragglers.len() };
        let (name, zone) = (sidecar.name.to_owned(), sidecar.zone.to_owned());
        self.stragglers.insert(position, Straggler { name, zone, standing });
        self.stragglers.truncate(MAX_STRAGGLERS);
    }
}

/// A report, and who sent it when.
#[derive(Clone, Debug)]
struct ReceivedReport {
    incarnation: u64,
    at: Duration,
    report: ConfigReport,
}

impl ReceivedReport {
    fn is_recent(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) <= MAX_REPORT_AGE
    }

    /// Whether the sidecar sent this report before the other one, whichever arrived first. Numbers of one incarnation
    /// only rise.
    fn precedes(&self, other: &ReceivedReport) -> bool {
        self.sequence() < other.sequence()
    }

    fn sequence(&self) -> (u64, Option<ConfigNumber>, ConfigNumber) {
        let in_force = self.report.in_force;
        let refused = self.report.refused.as_ref().map(|refusal| refusal.number);
        (self.incarnation, refused.max(Some(in_force)), in_force)
    }
}

/// The newest report of each sidecar, for up to [`MAX_SIDECARS`] of them.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_sidecar: BTreeMap<String, ReceivedReport>,
}

impl Reports {
    /// Stores a report that arrived at `now`, on the receiver's monotonic clock.
    ///
    /// # Errors
    /// Returns why the report was dropped.
    pub fn record(
        &mut self,
        now: Duration,
        from: &PeerId,
        report: ConfigReport,
    ) -> Result<(), ReportRejection> {
        if !report.is_valid() {
            return Err(ReportRejection::TooLong);
        }
        let received = ReceivedReport { incarnation: from.incarnation, at: now, report };
        if let Some(stored) = self.by_sidecar.get(&from.name) {
            // A process without state takes its incarnation from the wall clock, which may step back: after a silence
            // an earlier incarnation is accepted.
            if received.precedes(stored) && stored.is_recent(now) {
                return Err(ReportRejection::Outdated);
            }
        } else if self.by_sidecar.len() >= MAX_SIDECARS {
            self.by_sidecar.retain(|_, stored| stored.is_recent(now));
            if self.by_sidecar.len() >= MAX_SIDECARS {
                return Err(ReportRejection::TooManySidecars);
            }
        }
        self.by_sidecar.insert(from.name.clone(), received);
        Ok(())
    }

    /// The old name of [`Reports::record`], until `control-plane-node` uses the new one.
    ///
    /// # Errors
    /// Those of [`Reports::record`].
    pub fn heard(
        &mut self,
        now: Duration,
        from: &PeerId,
        report: ConfigReport,
    ) -> Result<(), ReportRejection> {
        self.record(now, from, report)
    }

    /// The state of a sidecar that should have the configuration `wanted`.
    pub fn standing(&self, now: Duration, name: &str, wanted: ConfigNumber) -> Standing {
        let recent = self.by_sidecar.get(name).filter(|received| received.is_recent(now));
        let Some(ReceivedReport { report, .. }) = recent else { return Standing::Silent };
        match &report.refused {
            _ if report.in_force == wanted => Standing::InForce,
            Some(refusal) if refusal.number == wanted => Standing::Refused(refusal.why.clone()),
            _ => Standing::Behind(report.in_force),
        }
    }

    /// The state of these sidecars relative to a rollout.
    pub fn census<'a>(
        &self,
        now: Duration,
        rollout: &Rollout,
        sidecars: impl Iterator<Item = Sidecar<'a>>,
    ) -> Census {
        let mut census = Census::default();
        for sidecar in sidecars {
            let wanted = rollout.content_for(sidecar).number;
            let standing = self.standing(now, sidecar.name, wanted);
            census.add(sidecar, standing, wanted == rollout.target.number);
        }
        census
    }
}
