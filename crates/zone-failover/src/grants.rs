//! Budgets of returning halls, parted among the sidecars that are there, by their need.
//!
//! Only the keeper that leads and has been heard by a majority of late grants anything, and each grant ends by itself. What
//! is granted and has not ended never comes to more than the hall's budget, whoever restarts, pauses or is lost meanwhile:
//! a sidecar counts its grant's time from when it asked, and the keeper from when it answered.

use crate::zone_states::{ZoneState, ZoneStates, tier_of};
use curlewhub_config::fleet::ZoneFailoverConfig;
use std::collections::BTreeMap;
use std::time::Duration;

/// Clocks of two processes run apart by no more than this part.
const MAX_CLOCK_DRIFT: f64 = 1.01;
/// A keeper that has come to lead grants nothing until what another one granted has ended: one that has led may have gone
/// on for so long without a majority.
const LED_ON: Duration = Duration::from_millis(1200);

/// A grant that has not ended, as far as the keeper knows.
#[derive(Clone, Copy, Debug)]
struct Out {
    rate: f64,
    until: Duration,
}

/// What the sidecars that may send into a returning hall need, together.
#[derive(Clone, Copy, Debug, Default)]
struct Needs {
    /// Only the hall's own sidecars may: its return is nearest to them.
    own: bool,
    sum: f64,
}

/// What is granted.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    /// By hall and sidecar: its grants that have not ended, the newest last.
    granted_rate: BTreeMap<String, BTreeMap<String, Vec<Out>>>,
    /// Their rates by hall: of each sidecar its greatest.
    sums: BTreeMap<String, f64>,
    needs: BTreeMap<String, Needs>,
    /// Nothing is granted before this.
    from: Option<Duration>,
    /// Grants that were cut short, since others were still out.
    pub truncated: u64,
}

impl Grants {
    /// Whether it leads, as of now: one that begins to waits for the grants of the one before to end.
    pub fn set_leading(&mut self, now: Duration, leads: bool, rules: &ZoneFailoverConfig) {
        match (leads, self.from) {
            (true, None) => {
                self.from = Some(now + rules.grant_validity.0.mul_f64(MAX_CLOCK_DRIFT) + LED_ON)
            }
            (false, Some(_)) => *self = Grants { truncated: self.truncated, ..Grants::default() },
            _ => {}
        }
    }

    /// What all sidecars need now: names, places, calls a second. Called some times a second, and not for each grant.
    pub fn update_demand<'a>(
        &mut self,
        now: Duration,
        zone_states: &ZoneStates,
        needs: impl Iterator<Item = (&'a str, &'a str, f64)> + Clone,
    ) {
        let returning = |zone: &str| matches!(zone_states.state(zone), ZoneState::Returning(_));
        self.granted_rate.retain(|zone, _| returning(zone));
        self.needs.clear();
        for zone in zone_states.zones.keys().filter(|zone| returning(zone)) {
            let own = needs.clone().any(|(_, of, need)| of == zone && need > 0.0);
            let may = |of: &str| if own { of == zone } else { tier_of(of) == tier_of(zone) };
            let sum = needs.clone().filter(|(_, of, _)| may(of)).map(|(_, _, need)| need).sum();
            self.needs.insert(zone.clone(), Needs { own, sum });
        }
        for (zone, out) in &mut self.granted_rate {
            out.retain(|_, grants| {
                grants.retain(|one| now < one.until);
                !grants.is_empty()
            });
            self.sums.insert(zone.clone(), out.values().map(|grants| greatest(grants)).sum());
        }
    }

    /// What one sidecar of a place, with its need, may send a second into each returning hall, until `rules.grant` after it
    /// asked.
    pub fn grant(
        &mut self,
        now: Duration,
        (name, of, need): (&str, &str, f64),
        zone_states: &ZoneStates,
        rules: &ZoneFailoverConfig,
    ) -> Vec<(String, f64)> {
        if self.from.is_none_or(|from| now < from) {
            return Vec::new();
        }
        let mut granted = Vec::new();
        for (zone, held) in &zone_states.zones {
            let ZoneState::Returning(budget) = held.state else { continue };
            let Some(needs) = self.needs.get(zone).filter(|needs| needs.sum > 0.0) else { continue };
            if (needs.own && of != zone) || tier_of(of) != tier_of(zone) {
                continue;
            }
            let grants =
                self.granted_rate.entry(zone.clone()).or_default().entry(name.to_owned()).or_default();
            grants.retain(|one| now < one.until);
            let sum = self.sums.entry(zone.clone()).or_default();
            let (part, mine) = (budget * (need / needs.sum).min(1.0), greatest(grants));
            // What others have is theirs until it ends.
            let rate = part.min(budget - (*sum - mine)).max(0.0);
            self.truncated += u64::from(rate < part);
            if rate > 0.0 {
                grants.push(Out { rate, until: now + rules.grant_validity.0.mul_f64(MAX_CLOCK_DRIFT) });
                *sum += greatest(grants) - mine;
                granted.push((zone.clone(), rate));
            }
        }
        granted
    }

    /// What is out of a hall's budget.
    pub fn granted_rate(&self, now: Duration, zone: &str) -> f64 {
        let out = self.granted_rate.get(zone).into_iter().flat_map(BTreeMap::values);
        out.map(|grants| {
            grants.iter().filter(|one| now < one.until).map(|one| one.rate).fold(0.0, f64::max)
        })
        .sum()
    }
}

/// The greatest rate: a newer grant takes an older one's place only once it is heard.
fn greatest(grants: &[Out]) -> f64 {
    grants.iter().map(|one| one.rate).fold(0.0, f64::max)
}
