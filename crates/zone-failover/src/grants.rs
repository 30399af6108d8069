//! Grants: the budgets of returning zones, divided among the sidecars by their demand.
//!
//! Only a leader with a recent quorum grants, and each grant expires by itself. Invariant: grants that have not expired
//! never add up to more than a zone's budget, whichever process restarts, pauses or is lost. A sidecar therefore counts the
//! validity of a grant from when it sent its digest, and the leader from when it answered, which is later.

use crate::zone_states::{ZoneState, ZoneStates, tier_of};
use curlewhub_config::fleet::ZoneFailoverConfig;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bound on the ratio of the clock rates of two processes.
const MAX_CLOCK_DRIFT: f64 = 1.01;
/// How long a previous leader may have granted after it lost its quorum. A new leader waits for that and for the validity
/// of such a grant before its own first one.
const PREVIOUS_LEADER_TIMEOUT: Duration = Duration::from_millis(1200);

/// A grant that may be in use, by the leader's clock.
#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Calls a second.
    rate: f64,
    expires_at: Duration,
}

/// The demand of the sidecars that may send into a returning zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneDemand {
    /// Only the zone's own sidecars may send, as they have demand.
    own_sidecars_only: bool,
    total_per_s: f64,
}

/// The grants of one consensus server.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    /// Grants that have not expired, by zone and sidecar, the newest last.
    grants: BTreeMap<String, BTreeMap<String, Vec<Grant>>>,
    /// Granted calls a second by zone, with the highest grant of each sidecar.
    granted_totals: BTreeMap<String, f64>,
    demands: BTreeMap<String, ZoneDemand>,
    /// When granting may begin; none while this server does not lead.
    starts_at: Option<Duration>,
    /// Grants that were reduced since other grants had not expired.
    pub truncated: u64,
}

impl Grants {
    /// Sets whether this server leads with a recent quorum. One that begins to waits until grants of the previous leader
    /// have expired; one that ceases to forgets its grants.
    pub fn set_leading(&mut self, now: Duration, leads: bool, settings: &ZoneFailoverConfig) {
        match (leads, self.starts_at) {
            (true, None) => self.starts_at = Some(now + held_validity(settings) + PREVIOUS_LEADER_TIMEOUT),
            (false, Some(_)) => *self = Grants { truncated: self.truncated, ..Grants::default() },
            _ => {}
        }
    }

    /// Takes in the demand of all sidecars: name, tier zone, calls a second. It visits every sidecar, so it is to be called
    /// a few times a second and not for each grant.
    pub fn update_demand<'a>(
        &mut self,
        now: Duration,
        zone_states: &ZoneStates,
        demands: impl Iterator<Item = (&'a str, &'a str, f64)> + Clone,
    ) {
        let is_returning = |zone: &str| matches!(zone_states.state(zone), ZoneState::Returning(_));
        self.grants.retain(|zone, _| is_returning(zone));
        self.demands.clear();
        for zone in zone_states.zones.keys().filter(|zone| is_returning(zone)) {
            let own_sidecars_only = demands.clone().any(|(_, from, rate)| from == zone && rate > 0.0);
            let may_send = |from: &str| may_send(from, zone, own_sidecars_only);
            let total_per_s =
                demands.clone().filter(|(_, from, _)| may_send(from)).map(|(_, _, rate)| rate).sum();
            self.demands.insert(zone.clone(), ZoneDemand { own_sidecars_only, total_per_s });
        }
        for (zone, by_sidecar) in &mut self.grants {
            by_sidecar.retain(|_, grants| {
                grants.retain(|grant| now < grant.expires_at);
                !grants.is_empty()
            });
            let total = by_sidecar.values().map(|grants| highest_rate(grants)).sum();
            self.granted_totals.insert(zone.clone(), total);
        }
    }

    /// Grants a sidecar its share of the budget of each returning zone, by its demand `(name, tier zone, calls a second)`.
    /// Returns zones and calls a second, valid for the setting `grant_validity` from when the sidecar sent its digest.
    pub fn grant(
        &mut self,
        now: Duration,
        (name, from, demand): (&str, &str, f64),
        zone_states: &ZoneStates,
        settings: &ZoneFailoverConfig,
    ) -> Vec<(String, f64)> {
        if self.starts_at.is_none_or(|starts_at| now < starts_at) {
            return Vec::new();
        }
        let expires_at = now + held_validity(settings);
        let mut granted = Vec::new();
        for (zone, record) in &zone_states.zones {
            let ZoneState::Returning(budget) = record.state else { continue };
            let Some(zone_demand) = self.demands.get(zone).filter(|all| all.total_per_s > 0.0) else {
                continue;
            };
            if !may_send(from, zone, zone_demand.own_sidecars_only) {
                continue;
            }
            let share = budget * (demand / zone_demand.total_per_s).min(1.0);
            let rate = self.reserve(now, zone, name, Budget { share, total: budget, expires_at });
            if rate > 0.0 {
                granted.push((zone.clone(), rate));
            }
        }
        granted
    }

    /// Records a grant of a sidecar's share, or of what other sidecars' grants leave of the budget. Returns its rate.
    fn reserve(&mut self, now: Duration, zone: &str, sidecar: &str, budget: Budget) -> f64 {
        let by_sidecar = self.grants.entry(zone.to_owned()).or_default();
        let grants = by_sidecar.entry(sidecar.to_owned()).or_default();
        grants.retain(|grant| now < grant.expires_at);
        let total = self.granted_totals.entry(zone.to_owned()).or_default();
        let previous = highest_rate(grants);
        let rate = budget.share.min(budget.total - (*total - previous)).max(0.0);
        self.truncated += u64::from(rate < budget.share);
        if rate > 0.0 {
            grants.push(Grant { rate, expires_at: budget.expires_at });
            *total += highest_rate(grants) - previous;
        }
        rate
    }

    /// Calls a second of a zone's budget that are granted and have not expired.
    pub fn granted_rate(&self, now: Duration, zone: &str) -> f64 {
        let by_sidecar = self.grants.get(zone).into_iter().flat_map(BTreeMap::values);
        by_sidecar
            .map(|grants| {
                let valid = grants.iter().filter(|grant| now < grant.expires_at);
                valid.map(|grant| grant.rate).fold(0.0, f64::max)
            })
            .sum()
    }
}

/// What one sidecar may be granted of a zone's budget, in calls a second.
struct Budget {
    share: f64,
    total: f64,
    expires_at: Duration,
}

/// How long the leader holds a grant as in use: its validity on the slowest clock.
fn held_validity(settings: &ZoneFailoverConfig) -> Duration {
    settings.grant_validity.0.mul_f64(MAX_CLOCK_DRIFT)
}

/// Whether sidecars of the tier zone `from` may send into the returning `zone`.
fn may_send(from: &str, zone: &str, own_sidecars_only: bool) -> bool {
    if own_sidecars_only { from == zone } else { tier_of(from) == tier_of(zone) }
}

/// The rate that a sidecar may use at most: an older grant may be in use until a newer one has arrived.
fn highest_rate(grants: &[Grant]) -> f64 {
    grants.iter().map(|grant| grant.rate).fold(0.0, f64::max)
}
