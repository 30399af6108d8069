//! The zone policy: the part of a sidecar that turns decided zone states and grants into access to each zone.
//!
//! A sidecar whose view no consensus server has confirmed for `autonomous_after` becomes autonomous: until the next
//! confirmation it runs the zone state machine on its own calls, starting from the states last decided.

use crate::state_machine::{Effect, Environment, Transition, ZoneStateMachine};
use crate::zone_states::{ZONE_STATES_KEY, ZoneState, ZoneStates};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::evidence::Digest;
use curlewhub_control_plane::record::Version;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Sent digests whose time is remembered, as a grant's validity counts from it.
const MAX_SENT_DIGESTS: usize = 64;
/// Interval at which an autonomous sidecar evaluates its own calls.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

/// What may be sent to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneAccess {
    /// Every call.
    Open,
    /// This share of the calls that would be sent there, 0 to 1.
    Share(f64),
    /// Calls a second, up to a time of the monotonic clock, and nothing after it.
    Rate(f64, Duration),
    /// No new calls; those in flight go on.
    Closed,
    /// No new calls; those in flight are retried elsewhere as their class permits, as the zone does not answer.
    Unreachable,
}

/// What the host is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Put this access into force; it names every zone.
    AccessChanged(Vec<(String, ZoneAccess)>),
    /// Send this number of probes to a zone.
    Probe(String, u32),
    /// Note that the sidecar has become autonomous, or is no longer.
    Autonomous(bool),
    /// Note a transition that the autonomous sidecar made for itself.
    Transition(Transition),
}

/// A grant for a returning zone.
#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Calls a second.
    rate: f64,
    expires_at: Duration,
}

/// A digest that was sent to the consensus servers.
#[derive(Clone, Copy, Debug)]
struct SentDigest {
    sequence: u64,
    sent_at: Duration,
}

/// The zone policy of one sidecar.
#[derive(Clone, Debug)]
pub struct ZonePolicy {
    /// The sidecar's name.
    name: String,
    /// The sidecar's zone.
    zone: String,
    /// The tier zones that it calls.
    zones: Vec<String>,
    settings: ZoneFailoverConfig,
    /// The states that the fleet has decided.
    zone_states: ZoneStates,
    /// The version that decided them.
    version: Version,
    /// Decides while the sidecar is autonomous; takes in its calls at all times.
    state_machine: ZoneStateMachine,
    autonomous: bool,
    /// The newest last.
    sent_digests: VecDeque<SentDigest>,
    grants: BTreeMap<String, Grant>,
    /// The highest term of a grant: grants of earlier leaders are rejected.
    term: u64,
    access: Vec<(String, ZoneAccess)>,
    next_evaluation_at: Duration,
    /// Counter of evaluations.
    turn: u64,
    /// Grants that were rejected: of an earlier term, expired, or for a digest not known any more.
    pub rejected_grants: u64,
}

impl ZonePolicy {
    /// The policy of the sidecar `name` in `zone`, which calls `zones`; all are open until states are applied.
    pub fn new(name: &str, zone: &str, zones: Vec<String>, settings: ZoneFailoverConfig) -> ZonePolicy {
        // An autonomous sidecar is its only witness.
        let own_settings = ZoneFailoverConfig { witnesses: 1, witness_zones: 1, ..settings.clone() };
        ZonePolicy {
            name: name.to_owned(),
            zone: zone.to_owned(),
            access: zones.iter().map(|zone| (zone.clone(), ZoneAccess::Open)).collect(),
            zones,
            settings,
            zone_states: ZoneStates::default(),
            version: Version::default(),
            state_machine: ZoneStateMachine::new(own_settings),
            autonomous: false,
            sent_digests: VecDeque::new(),
            grants: BTreeMap::new(),
            term: 0,
            next_evaluation_at: Duration::ZERO,
            turn: 0,
            rejected_grants: 0,
        }
    }

    /// The access to each zone, as last put into force.
    pub fn access(&self) -> &[(String, ZoneAccess)] {
        &self.access
    }

    /// Whether the sidecar decides by its own calls.
    pub fn is_autonomous(&self) -> bool {
        self.autonomous
    }

    /// The zone states in force: the fleet's, or its own while it is autonomous.
    pub fn zone_states(&self) -> &ZoneStates {
        if self.autonomous { self.state_machine.zone_states() } else { &self.zone_states }
    }

    /// The version of the fleet's zone states that was applied last.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether digests must be sent even without new calls, since grants answer them.
    pub fn needs_renewal(&self) -> bool {
        let is_returning = |state: ZoneState| matches!(state, ZoneState::Returning(_));
        !self.autonomous && self.zone_states.zones.values().any(|record| is_returning(record.state))
    }

    /// Applies the zone states of these records, if they are newer.
    pub fn apply(&mut self, now: Duration, records: &AppliedRecords) -> Vec<Action> {
        let Some(record) = records.get(ZONE_STATES_KEY).filter(|record| record.version > self.version)
        else {
            return Vec::new();
        };
        self.version = record.version;
        // Records were checked before they were applied; one that cannot be read here all the same changes nothing.
        if let Ok(zone_states) = ZoneStates::decode(&record.proposal.body) {
            self.grants.retain(|zone, _| matches!(zone_states.state(zone), ZoneState::Returning(_)));
            self.zone_states = zone_states;
        }
        self.update_access(now)
    }

    /// Notes that a digest is being sent.
    pub fn evidence_sent(&mut self, now: Duration, digest: &Digest) {
        self.sent_digests.push_back(SentDigest { sequence: digest.sequence, sent_at: now });
        if self.sent_digests.len() > MAX_SENT_DIGESTS {
            self.sent_digests.pop_front();
        }
    }

    /// Takes in a digest of the sidecar's own calls.
    pub fn record(&mut self, now: Duration, digest: &Digest) {
        self.state_machine.record(now, &self.name, digest);
    }

    /// Takes a grant that answers the digest `digest_sequence`: zones and calls a second. `validity` counts from when that
    /// digest was sent, and is bounded by the setting `grant_validity`.
    pub fn handle_grant(
        &mut self,
        now: Duration,
        term: u64,
        digest_sequence: u64,
        validity: Duration,
        rates: &[(String, f64)],
    ) -> Vec<Action> {
        let validity = validity.min(self.settings.grant_validity.0);
        let digest = self.sent_digests.iter().find(|digest| digest.sequence == digest_sequence);
        let expires_at = digest.map(|digest| digest.sent_at + validity);
        let Some(expires_at) = expires_at.filter(|at| now < *at && term >= self.term) else {
            self.rejected_grants += 1;
            return Vec::new();
        };
        self.term = term;
        for (zone, rate) in rates {
            let is_valid = rate.is_finite() && *rate >= 0.0;
            if is_valid && matches!(self.zone_states.state(zone), ZoneState::Returning(_)) {
                self.grants.insert(zone.clone(), Grant { rate: *rate, expires_at });
            }
        }
        self.update_access(now)
    }

    /// The latest time of the next call of [`ZonePolicy::tick`].
    pub fn next_wakeup(&self) -> Duration {
        let first_expiry = self.grants.values().map(|grant| grant.expires_at).min();
        first_expiry.map_or(self.next_evaluation_at, |at| at.min(self.next_evaluation_at))
    }

    /// Runs the periodic work. `age` is the time since a consensus server last confirmed the view, none if that has not
    /// happened since the process started; `uptime` is the time since then.
    pub fn tick(&mut self, now: Duration, age: Option<Duration>, uptime: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let autonomous = age.unwrap_or(uptime) >= self.settings.autonomous_after.0;
        if autonomous != self.autonomous {
            self.autonomous = autonomous;
            if autonomous {
                self.state_machine.apply(now, &self.zone_states);
            }
            actions.push(Action::Autonomous(autonomous));
        }
        if now >= self.next_evaluation_at {
            self.next_evaluation_at = now + EVALUATION_INTERVAL;
            self.turn += 1;
            if self.autonomous {
                self.evaluate_own_calls(now, &mut actions);
            }
        }
        self.grants.retain(|_, grant| now < grant.expires_at);
        actions.extend(self.update_access(now));
        actions
    }

    /// Evaluates the state machine on the sidecar's own calls, and applies what it proposes.
    fn evaluate_own_calls(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let sidecars = [(self.zone.clone(), vec![self.name.clone()])].into();
        let environment = Environment { sidecars, turn: self.turn, ..Environment::default() };
        for effect in self.state_machine.tick(now, &environment) {
            match effect {
                Effect::Probe { zone, count, .. } => actions.push(Action::Probe(zone, count)),
                Effect::Propose { states, transitions } => {
                    self.state_machine.apply(now, &states);
                    actions.extend(transitions.into_iter().map(Action::Transition));
                }
            }
        }
    }

    /// Determines the access to all zones; an action if any has changed.
    fn update_access(&mut self, now: Duration) -> Vec<Action> {
        let access: Vec<(String, ZoneAccess)> =
            self.zones.iter().map(|zone| (zone.clone(), self.access_to(now, zone))).collect();
        if access == self.access {
            return Vec::new();
        }
        self.access = access;
        vec![Action::AccessChanged(self.access.clone())]
    }

    fn access_to(&self, now: Duration, zone: &str) -> ZoneAccess {
        let zone_states = self.zone_states();
        if zone_states.is_cut(&self.zone, zone) {
            return ZoneAccess::Unreachable;
        }
        match zone_states.state(zone) {
            ZoneState::Serving => ZoneAccess::Open,
            ZoneState::Leaving(share) => ZoneAccess::Share(share),
            // A zone that an operator has left may still answer.
            ZoneState::Left if zone_states.zones.get(zone).is_some_and(|record| record.overridden) => {
                ZoneAccess::Closed
            }
            ZoneState::Left => ZoneAccess::Unreachable,
            // The budget of an autonomous sidecar follows from its own calls alone, and needs no grant.
            ZoneState::Returning(rate) if self.autonomous => {
                ZoneAccess::Rate(rate, now + self.settings.grant_validity.0)
            }
            ZoneState::Returning(_) => match self.grants.get(zone) {
                Some(grant) if now < grant.expires_at => ZoneAccess::Rate(grant.rate, grant.expires_at),
                _ => ZoneAccess::Closed,
            },
        }
    }
}
