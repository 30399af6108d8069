//! A sidecar's part in halls: what it may send where, by what the fleet has decided and granted; and where it has lost the
//! keepers for long, by its own calls.

use crate::state_machine::{Effect, Environment, Transition, ZoneStateMachine};
use crate::zone_states::{ZONE_STATES_KEY, ZoneState, ZoneStates};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::evidence::Digest;
use curlewhub_control_plane::record::Version;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Digests whose time of asking is remembered.
const ASKED_MOST: usize = 64;
/// It looks at its own calls this often, where it goes by them.
const LOOK: Duration = Duration::from_millis(50);

/// What may go into a hall.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneAccess {
    /// Anything.
    Open,
    /// This part of what would go there, 0 to 1.
    Share(f64),
    /// So many calls a second until then, and nothing from then on.
    Rate(f64, Duration),
    /// Nothing new; what is out goes on.
    Closed,
    /// Nothing new, and what is out goes elsewhere as its class permits: nobody answers there.
    Unreachable,
}

/// What the host does, or should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// From now on these rights hold, by hall; all of them.
    AccessChanged(Vec<(String, ZoneAccess)>),
    /// Probe a hall so often.
    Probe(String, u32),
    /// It goes by its own calls from now on, or by its fleet again.
    Autonomous(bool),
    /// It has moved a hall by its own calls.
    Transition(Transition),
}

/// What it was granted.
#[derive(Clone, Copy, Debug)]
struct Grant {
    rate: f64,
    until: Duration,
}

/// A sidecar's part.
#[derive(Clone, Debug)]
pub struct ZonePolicy {
    name: String,
    zone: String,
    zones: Vec<String>,
    rules: ZoneFailoverConfig,
    /// As the fleet has decided.
    zone_states: ZoneStates,
    version: Version,
    /// Its own, used while it is alone.
    state_machine: ZoneStateMachine,
    autonomous: bool,
    /// When its digests were told, the newest last.
    asked: VecDeque<(u64, Duration)>,
    grants: BTreeMap<String, Grant>,
    /// The latest term that anything was granted in: what an earlier leader grants is not taken.
    term: u64,
    access: Vec<(String, ZoneAccess)>,
    look_at: Duration,
    turn: u64,
    /// Grants that were not taken: of an earlier term, or too late.
    pub rejected_grants: u64,
}

impl ZonePolicy {
    /// One in this hall, of a fleet or of none.
    pub fn new(name: &str, zone: &str, zones: Vec<String>, rules: ZoneFailoverConfig) -> ZonePolicy {
        let rights = zones.iter().map(|zone| (zone.clone(), ZoneAccess::Open)).collect();
        let state_machine =
            ZoneStateMachine::new(ZoneFailoverConfig { witnesses: 1, witness_zones: 1, ..rules.clone() });
        let (zone_states, version, alone, asked, grants, term, look_at, turn, not_granted) =
            Default::default();
        ZonePolicy {
            name: name.to_owned(),
            zone: zone.to_owned(),
            zones,
            rules,
            zone_states,
            version,
            state_machine,
            autonomous: alone,
            asked,
            grants,
            term,
            access: rights,
            look_at,
            turn,
            rejected_grants: not_granted,
        }
    }

    /// What may go where.
    pub fn access(&self) -> &[(String, ZoneAccess)] {
        &self.access
    }

    /// Whether it goes by its own calls.
    pub fn is_autonomous(&self) -> bool {
        self.autonomous
    }

    /// How halls stand for it.
    pub fn zone_states(&self) -> &ZoneStates {
        if self.autonomous { self.state_machine.zone_states() } else { &self.zone_states }
    }

    /// The version that decided how halls stand for it.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether keepers must hear of it though it has seen nothing: it lives by grants.
    pub fn needs_renewal(&self) -> bool {
        !self.autonomous
            && self.zone_states.zones.values().any(|held| matches!(held.state, ZoneState::Returning(_)))
    }

    /// This is acted on.
    pub fn apply(&mut self, now: Duration, acted: &AppliedRecords) -> Vec<Action> {
        let Some(record) = acted.get(ZONE_STATES_KEY).filter(|record| record.version > self.version) else {
            return Vec::new();
        };
        self.version = record.version;
        // What is acted on has been read before; what can't be changes nothing.
        if let Ok(zone_states) = ZoneStates::decode(&record.proposal.body) {
            self.grants.retain(|zone, _| matches!(zone_states.state(zone), ZoneState::Returning(_)));
            self.zone_states = zone_states;
        }
        self.changed(now)
    }

    /// A digest of its calls is told now.
    pub fn evidence_sent(&mut self, now: Duration, digest: &Digest) {
        self.asked.push_back((digest.sequence, now));
        if self.asked.len() > ASKED_MOST {
            self.asked.pop_front();
        }
    }

    /// Its own calls have shown this.
    pub fn record(&mut self, now: Duration, digest: &Digest) {
        self.state_machine.record(now, &self.name, digest);
    }

    /// A keeper grants it calls into returning halls, for so long from when it asked by that digest.
    pub fn handle_grant(
        &mut self,
        now: Duration,
        term: u64,
        of: u64,
        lasts: Duration,
        rates: &[(String, f64)],
    ) -> Vec<Action> {
        let asked = self.asked.iter().find(|(sequence, _)| *sequence == of).map(|(_, at)| *at);
        let until = asked.map(|at| at + lasts.min(self.rules.grant_validity.0));
        let Some(until) = until.filter(|until| now < *until && term >= self.term) else {
            self.rejected_grants += 1;
            return Vec::new();
        };
        self.term = term;
        for (zone, rate) in rates {
            let sound = rate.is_finite() && *rate >= 0.0;
            if sound && matches!(self.zone_states.state(zone), ZoneState::Returning(_)) {
                self.grants.insert(zone.clone(), Grant { rate: *rate, until });
            }
        }
        self.changed(now)
    }

    /// When it wants to be called again at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let ends = self.grants.values().map(|grant| grant.until).min();
        ends.map_or(self.look_at, |at| at.min(self.look_at))
    }

    /// Time has passed; `age` is how long ago a keeper confirmed the view, if one has since the start, which was so long ago.
    pub fn tick(&mut self, now: Duration, age: Option<Duration>, started: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let old = age.unwrap_or(started) >= self.rules.autonomous_after.0;
        if old != self.autonomous {
            self.autonomous = old;
            if old {
                // It goes on from what the fleet had decided.
                let zone_states = self.zone_states.clone();
                self.state_machine.apply(now, &zone_states);
            }
            actions.push(Action::Autonomous(old));
        }
        if now >= self.look_at {
            self.look_at = now + LOOK;
            self.turn += 1;
            self.look(now, &mut actions);
        }
        self.grants.retain(|_, grant| now < grant.until);
        actions.extend(self.changed(now));
        actions
    }

    /// What its own calls come to, if it goes by them.
    fn look(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.autonomous {
            return;
        }
        let sidecars = [(self.zone.clone(), vec![self.name.clone()])].into();
        let world = Environment { sidecars, turn: self.turn, ..Environment::default() };
        for wanted in self.state_machine.tick(now, &world) {
            match wanted {
                Effect::Probe { zone, count, .. } => actions.push(Action::Probe(zone, count)),
                Effect::Propose { states: zone_states, transitions: moves } => {
                    self.state_machine.apply(now, &zone_states);
                    actions.extend(moves.into_iter().map(Action::Transition));
                }
            }
        }
    }

    /// Its rights, where they are others than before.
    fn changed(&mut self, now: Duration) -> Vec<Action> {
        let rights: Vec<(String, ZoneAccess)> =
            self.zones.iter().map(|zone| (zone.clone(), self.right(now, zone))).collect();
        if rights == self.access {
            return Vec::new();
        }
        self.access = rights;
        vec![Action::AccessChanged(self.access.clone())]
    }

    fn right(&self, now: Duration, zone: &str) -> ZoneAccess {
        let zone_states = self.zone_states();
        if zone_states.is_cut(&self.zone, zone) {
            return ZoneAccess::Unreachable;
        }
        match zone_states.state(zone) {
            ZoneState::Serving => ZoneAccess::Open,
            ZoneState::Leaving(part) => ZoneAccess::Share(part),
            ZoneState::Left if zone_states.zones.get(zone).is_some_and(|held| held.overridden) => {
                ZoneAccess::Closed
            }
            ZoneState::Left => ZoneAccess::Unreachable,
            // Alone, a budget is its own: what it bore of its calls alone, by steps.
            ZoneState::Returning(rate) if self.autonomous => {
                ZoneAccess::Rate(rate, now + self.rules.grant_validity.0)
            }
            ZoneState::Returning(_) => match self.grants.get(zone) {
                Some(grant) if now < grant.until => ZoneAccess::Rate(grant.rate, grant.until),
                _ => ZoneAccess::Closed,
            },
        }
    }
}
