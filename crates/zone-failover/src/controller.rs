//! The zone controller: the part of a consensus server that runs the zone state machine on all sidecars' evidence, proposes
//! its transitions and grants the budgets of returning zones. Only the leader's proposals and grants leave the process.

use crate::grants::Grants;
use crate::state_machine::{ActiveOverride, Effect, Environment, Transition, ZoneStateMachine};
use crate::zone_states::{
    FREEZE_KEY, Freeze, OVERRIDE_KEY_PREFIX, OperatorOverride, ZONE_STATES_KEY, ZoneStates,
};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::consensus_server::ConsensusServer;
use curlewhub_control_plane::evidence::Digest;
use curlewhub_control_plane::membership::Role;
use curlewhub_control_plane::protocol::Message;
use curlewhub_control_plane::record::{MAX_TEXT_BYTES, Proposal, RecordKind, Version};
use curlewhub_control_plane::view::View;
use std::collections::BTreeMap;
use std::time::Duration;

/// Ticks between two updates of the demand that grants are divided by.
const DEMAND_UPDATE_TICKS: u64 = 2;
/// Ticks between two readings of the members, which change slowly and may be thousands.
const MEMBER_UPDATE_TICKS: u64 = 8;

/// What the host is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the sidecar of this name.
    Send(String, Message),
    /// Propose a record with these transitions to this server's own replica.
    Propose(Proposal, Vec<Transition>),
}

/// The zone controller of one consensus server.
#[derive(Clone, Debug)]
pub struct ZoneController {
    /// The consensus server's name, given as the author of proposals.
    name: String,
    state_machine: ZoneStateMachine,
    grants: Grants,
    /// The version of the zone states that the state machine has applied.
    applied_version: Version,
    /// Counter of ticks.
    turn: u64,
    /// Sorted names of the sidecars that are alive, by zone.
    sidecars: BTreeMap<String, Vec<String>>,
}

impl ZoneController {
    /// A controller of the consensus server `name`, without evidence.
    pub fn new(name: &str, settings: ZoneFailoverConfig) -> ZoneController {
        ZoneController {
            name: name.to_owned(),
            state_machine: ZoneStateMachine::new(settings),
            grants: Grants::default(),
            applied_version: Version::default(),
            turn: 0,
            sidecars: BTreeMap::new(),
        }
    }

    /// The zone state machine, with its evidence.
    pub fn state_machine(&self) -> &ZoneStateMachine {
        &self.state_machine
    }

    /// The grants that have not expired.
    pub fn grants(&self) -> &Grants {
        &self.grants
    }

    /// Takes in a sidecar's digest; the leader answers it with grants for returning zones.
    pub fn record_evidence(
        &mut self,
        now: Duration,
        name: &str,
        digest: &Digest,
        consensus: &ConsensusServer,
    ) -> Vec<Action> {
        self.state_machine.record(now, name, digest);
        if !leads(now, consensus) {
            return Vec::new();
        }
        let settings = self.state_machine.settings();
        let (demand, tier_zone) = self.state_machine.signals.demand(now, name);
        let zone_states = self.state_machine.zone_states();
        let rates = self.grants.grant(now, (name, tier_zone, demand), zone_states, settings);
        if rates.is_empty() {
            return Vec::new();
        }
        let grant = Message::Grant {
            term: consensus.replica.term(),
            digest_sequence: digest.sequence,
            valid_ms: settings.grant_validity.0.as_millis() as u32,
            rates,
        };
        vec![Action::Send(name.to_owned(), grant)]
    }

    /// Applies decided zone states, updates grants and evaluates the state machine. `unix_ms` is the wall clock, in
    /// milliseconds of Unix time, by which overrides expire.
    pub fn tick(&mut self, now: Duration, unix_ms: u64, consensus: &ConsensusServer) -> Vec<Action> {
        let view = consensus.replica.view();
        self.apply_view(now, view);
        let leads = leads(now, consensus);
        self.grants.set_leading(now, leads, self.state_machine.settings());
        self.turn += 1;
        if leads && self.turn.is_multiple_of(DEMAND_UPDATE_TICKS) {
            let demands = self.state_machine.signals.demands(now);
            self.grants.update_demand(now, self.state_machine.zone_states(), demands);
        }
        let environment = self.environment(unix_ms, consensus);
        let effects = self.state_machine.tick(now, &environment);
        if !leads {
            // Followers evaluate as well, so that a new leader decides at once.
            return Vec::new();
        }
        let proposal_id = proposal_id(consensus.replica.term(), view.version(), now);
        effects.into_iter().map(|effect| self.action(effect, proposal_id)).collect()
    }

    fn action(&self, effect: Effect, proposal_id: u64) -> Action {
        match effect {
            Effect::Probe { sidecar, zone, count } => {
                Action::Send(sidecar, Message::ProbeZone { zone, count })
            }
            Effect::Propose { states, transitions } => {
                let proposal = Proposal {
                    id: proposal_id,
                    key: ZONE_STATES_KEY.to_owned(),
                    kind: RecordKind::ZONE_STATES,
                    body: states.encode(),
                    by: self.name.clone(),
                    why: proposal_reason(&transitions),
                    expected_version: Some(self.applied_version),
                };
                Action::Propose(proposal, transitions)
            }
        }
    }

    /// Applies the zone states of the view, if they are newer. Those of a later build that cannot be read are skipped.
    fn apply_view(&mut self, now: Duration, view: &View) {
        let Some(record) = view.get(ZONE_STATES_KEY) else { return };
        if record.version <= self.applied_version {
            return;
        }
        self.applied_version = record.version;
        if let Ok(zone_states) = ZoneStates::decode(&record.proposal.body) {
            self.state_machine.apply(now, &zone_states);
        }
    }

    fn environment(&mut self, unix_ms: u64, consensus: &ConsensusServer) -> Environment {
        if self.turn % MEMBER_UPDATE_TICKS == 1 {
            self.update_sidecars(consensus);
        }
        let view = consensus.replica.view();
        let freeze = view
            .get(FREEZE_KEY)
            .and_then(|record| serde_json::from_slice::<Freeze>(&record.proposal.body).ok());
        Environment {
            sidecars: self.sidecars.clone(),
            overrides: active_overrides(view, unix_ms),
            frozen: freeze.is_some_and(|freeze| freeze.on),
            turn: self.turn,
        }
    }

    fn update_sidecars(&mut self, consensus: &ConsensusServer) {
        self.sidecars.clear();
        for member in consensus.membership().alive().filter(|member| member.role == Role::Sidecar) {
            self.sidecars.entry(member.zone.clone()).or_default().push(member.name.clone());
        }
        self.sidecars.values_mut().for_each(|names| names.sort_unstable());
    }
}

fn leads(now: Duration, consensus: &ConsensusServer) -> bool {
    consensus.replica.is_leader() && consensus.replica.has_recent_quorum(now)
}

/// The overrides of the view that have not expired, by zone or region; those that cannot be read are skipped.
fn active_overrides(view: &View, unix_ms: u64) -> BTreeMap<String, ActiveOverride> {
    view.records()
        .filter_map(|record| {
            let proposal = &record.proposal;
            let name = proposal.key.strip_prefix(OVERRIDE_KEY_PREFIX)?;
            let stored: OperatorOverride = serde_json::from_slice(&proposal.body).ok()?;
            let why = format!("{} ({})", proposal.why, proposal.by);
            (unix_ms < stored.expires_unix_ms)
                .then(|| (name.to_owned(), ActiveOverride { action: stored.action, why }))
        })
        .collect()
}

/// The reasons of all transitions, cut to what a record may hold.
fn proposal_reason(transitions: &[Transition]) -> String {
    let reasons: Vec<String> =
        transitions.iter().map(|transition| format!("{}: {}", transition.zone, transition.why)).collect();
    // Without a transition the proposal only removes records of settled zones.
    let mut reason =
        if reasons.is_empty() { "back for long enough".to_owned() } else { reasons.join("; ") };
    while reason.len() > MAX_TEXT_BYTES {
        reason.pop();
    }
    reason
}

/// An id that differs for any two proposals of one leader, by their time.
fn proposal_id(term: u64, version: Version, now: Duration) -> u64 {
    let mixed = term.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ version.0.rotate_left(32);
    mixed ^ (now.as_micros() as u64).wrapping_mul(0xd134_2543_de82_ef95)
}
