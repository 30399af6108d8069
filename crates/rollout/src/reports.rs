//! What sidecars report of the configuration: of each the newest summary, and sums of them.

use crate::canary::Sidecar;
use crate::rollout::Rollout;
use curlewhub_control_plane::configuration::{ConfigNumber, ConfigReport};
use curlewhub_control_plane::evidence::MAX_SIDECARS;
use curlewhub_control_plane::protocol::PeerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A sidecar reports at once what is new, and again after this.
pub const RENEW: Duration = Duration::from_secs(5);
/// One that has not reported for so long, three reports, is silent.
pub const FRESH: Duration = Duration::from_secs(15);
/// Stragglers that are named, at the most; all are counted.
pub const STRAGGLERS_MOST: usize = 50;

/// Why a report is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum NotTaken {
    /// It is of an earlier start, or was overtaken.
    #[error("it is older than what is known of that sidecar")]
    Old,
    /// Its text is too long.
    #[error("its text is too long")]
    TooLong,
    /// Too many sidecars.
    #[error("{MAX_SIDECARS} sidecars are known")]
    NoRoom,
}

/// How a sidecar stands towards what it is to have.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It is in force.
    InForce,
    /// It is refused, and why.
    Refused(String),
    /// Another one is in force still.
    Behind(ConfigNumber),
    /// Nothing was heard of it lately.
    Silent,
}

/// Sidecars by how they stand.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Have in force what they are to have ...
    pub in_force: u32,
    /// ... refuse it ...
    pub refused: u32,
    /// ... have another one in force still ...
    pub behind: u32,
    /// ... or have not been heard of lately.
    pub silent: u32,
}

impl Counts {
    /// All of them.
    pub fn total(&self) -> u32 {
        self.in_force + self.refused + self.behind + self.silent
    }

    /// Those of whom it is not known that they have it or refuse it.
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

/// A sidecar that does not have what it is to have.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Straggler {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// How it stands.
    pub standing: Standing,
}

/// How all sidecars stand towards a rollout.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Census {
    /// Those that the target goes to, as far as the rollout has come.
    pub stage: Counts,
    /// All, by zone; those beyond the canary are counted by the base.
    pub zones: BTreeMap<String, Counts>,
    /// Some of those that do not have what they are to have.
    pub stragglers: Vec<Straggler>,
}

impl Census {
    /// The first reason of a sidecar that refuses.
    pub fn first_refusal(&self) -> Option<&str> {
        self.stragglers.iter().find_map(|straggler| match &straggler.standing {
            Standing::Refused(why) => Some(&why[..]),
            _ => None,
        })
    }
}

#[derive(Clone, Debug)]
struct Heard {
    incarnation: u64,
    at: Duration,
    report: ConfigReport,
}

/// The newest report of each sidecar.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    heard: BTreeMap<String, Heard>,
}

impl Reports {
    /// A report has come.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn heard(&mut self, now: Duration, from: &PeerId, report: ConfigReport) -> Result<(), NotTaken> {
        if !report.is_valid() {
            return Err(NotTaken::TooLong);
        }
        let order = |incarnation: u64, report: &ConfigReport| {
            let refused = report.refused.as_ref().map(|refused| refused.number);
            (incarnation, refused.max(Some(report.in_force)), report.in_force)
        };
        let is_fresh = |known: &Heard| now.saturating_sub(known.at) <= FRESH;
        if let Some(known) = self.heard.get(&from.name) {
            let older = order(from.incarnation, &report) < order(known.incarnation, &known.report);
            // A process that forgot counts its starts from its clock, which may go back.
            if older && is_fresh(known) {
                return Err(NotTaken::Old);
            }
        } else if self.heard.len() >= MAX_SIDECARS {
            self.heard.retain(|_, known| is_fresh(known));
            if self.heard.len() >= MAX_SIDECARS {
                return Err(NotTaken::NoRoom);
            }
        }
        let heard = Heard { incarnation: from.incarnation, at: now, report };
        self.heard.insert(from.name.clone(), heard);
        Ok(())
    }

    /// How a sidecar stands towards a configuration.
    pub fn standing(&self, now: Duration, name: &str, wanted: ConfigNumber) -> Standing {
        let fresh = self.heard.get(name).filter(|heard| now.saturating_sub(heard.at) <= FRESH);
        let Some(Heard { report, .. }) = fresh else { return Standing::Silent };
        match &report.refused {
            _ if report.in_force == wanted => Standing::InForce,
            Some(refused) if refused.number == wanted => Standing::Refused(refused.why.clone()),
            _ => Standing::Behind(report.in_force),
        }
    }

    /// How all of these stand towards a rollout.
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
            if wanted == rollout.target.number {
                census.stage.add(&standing);
            }
            census.zones.entry(sidecar.zone.to_owned()).or_default().add(&standing);
            // A refusal has a reason to tell: it goes before those that are only late.
            let refuses = matches!(standing, Standing::Refused(_));
            if standing == Standing::InForce || census.stragglers.len() >= STRAGGLERS_MOST && !refuses {
                continue;
            }
            let (name, zone) = (sidecar.name.to_owned(), sidecar.zone.to_owned());
            let straggler = Straggler { name, zone, standing };
            census.stragglers.insert(if refuses { 0 } else { census.stragglers.len() }, straggler);
            census.stragglers.truncate(STRAGGLERS_MOST);
        }
        census
    }
}
