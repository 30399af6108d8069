//! A keeper's part in halls: what sidecars tell goes into the machine, its moves are proposed by the keeper that leads, and
//! returning halls' budgets are granted.

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
use curlewhub_control_plane::record::{Proposal, RecordKind, Version};
use curlewhub_control_plane::view::View;
use std::collections::BTreeMap;
use std::time::Duration;

/// What the host does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Say this to a sidecar, by name.
    Send(String, Message),
    /// Have this proposed by its own keeper.
    Propose(Proposal, Vec<Transition>),
}

/// A keeper's part in halls.
#[derive(Clone, Debug)]
pub struct ZoneController {
    name: String,
    state_machine: ZoneStateMachine,
    grants: Grants,
    /// The version of the places that the machine goes by.
    version: Version,
    turn: u64,
    sidecars: BTreeMap<String, Vec<String>>,
}

impl ZoneController {
    /// A keeper's, by its name.
    pub fn new(name: &str, rules: ZoneFailoverConfig) -> ZoneController {
        let (grants, version, turn, sidecars) = Default::default();
        ZoneController {
            name: name.to_owned(),
            state_machine: ZoneStateMachine::new(rules),
            grants,
            version,
            turn,
            sidecars,
        }
    }

    /// What it goes by and sees.
    pub fn state_machine(&self) -> &ZoneStateMachine {
        &self.state_machine
    }

    /// What is granted.
    pub fn grants(&self) -> &Grants {
        &self.grants
    }

    /// A digest was taken: it may earn its sidecar grants.
    pub fn record_evidence(
        &mut self,
        now: Duration,
        name: &str,
        digest: &Digest,
        consensus: &ConsensusServer,
    ) -> Vec<Action> {
        self.state_machine.record(now, name, digest);
        let rules = self.state_machine.settings().clone();
        if !consensus.replica.is_leader() || !consensus.replica.has_recent_quorum(now) {
            return Vec::new();
        }
        let (need, home) = self.state_machine.signals.demand(now, name);
        let rates = self.grants.grant(now, (name, home, need), self.state_machine.zone_states(), &rules);
        if rates.is_empty() {
            return Vec::new();
        }
        let for_ms = rules.grant_validity.0.as_millis() as u32;
        let granted = Message::Grant {
            term: consensus.replica.term(),
            digest_sequence: digest.sequence,
            valid_ms: for_ms,
            rates,
        };
        vec![Action::Send(name.to_owned(), granted)]
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration, unix_ms: u64, consensus: &ConsensusServer) -> Vec<Action> {
        let view = consensus.replica.view();
        self.follow(now, view);
        let leads = consensus.replica.is_leader() && consensus.replica.has_recent_quorum(now);
        let rules = self.state_machine.settings().clone();
        self.grants.set_leading(now, leads, &rules);
        self.turn += 1;
        if leads && self.turn.is_multiple_of(2) {
            self.grants.update_demand(
                now,
                self.state_machine.zone_states(),
                self.state_machine.signals.demands(now),
            );
        }
        let world = self.world(unix_ms, consensus);
        let wants = self.state_machine.tick(now, &world);
        if !leads {
            return Vec::new(); // it sees the same, so that it knows what to do once it leads
        }
        let act = |wanted: Effect| match wanted {
            Effect::Probe { sidecar, zone, count } => {
                Action::Send(sidecar, Message::ProbeZone { zone, count })
            }
            Effect::Propose { states: zone_states, transitions: moves } => {
                let whys: Vec<String> =
                    moves.iter().map(|moved| format!("{}: {}", moved.zone, moved.why)).collect();
                let mut why =
                    if whys.is_empty() { "back for long enough".to_owned() } else { whys.join("; ") };
                while why.len() > curlewhub_control_plane::record::MAX_TEXT_BYTES {
                    why.pop();
                }
                let proposal = Proposal {
                    // Of one term and version there is one proposal; two of the same moment are told apart by it.
                    id: id(consensus.replica.term(), view.version(), now),
                    key: ZONE_STATES_KEY.to_owned(),
                    kind: RecordKind::ZONE_STATES,
                    body: zone_states.encode(),
                    by: self.name.clone(),
                    why,
                    expected_version: Some(self.version),
                };
                Action::Propose(proposal, moves)
            }
        };
        wants.into_iter().map(act).collect()
    }

    /// What is decided of halls.
    fn follow(&mut self, now: Duration, view: &View) {
        let Some(record) = view.get(ZONE_STATES_KEY) else { return };
        if record.version <= self.version {
            return;
        }
        self.version = record.version;
        // One that a newer build has written and this one can't read changes nothing here.
        if let Ok(zone_states) = ZoneStates::decode(&record.proposal.body) {
            self.state_machine.apply(now, &zone_states);
        }
    }

    fn world(&mut self, unix_ms: u64, consensus: &ConsensusServer) -> Environment {
        // Once in a while: who is there changes slowly, and may be thousands.
        if self.turn % 8 == 1 {
            self.sidecars.clear();
            for member in consensus.membership().alive().filter(|member| member.role == Role::Sidecar) {
                self.sidecars.entry(member.zone.clone()).or_default().push(member.name.clone());
            }
            self.sidecars.values_mut().for_each(|names| names.sort_unstable());
        }
        let view = consensus.replica.view();
        let overrides = view.records().filter_map(|record| {
            let place = record.proposal.key.strip_prefix(OVERRIDE_KEY_PREFIX)?;
            let hand: OperatorOverride = serde_json::from_slice(&record.proposal.body).ok()?;
            let why = format!("{} ({})", record.proposal.why, record.proposal.by);
            (unix_ms < hand.expires_unix_ms)
                .then(|| (place.to_owned(), ActiveOverride { action: hand.action, why }))
        });
        let freeze = view
            .get(FREEZE_KEY)
            .and_then(|record| serde_json::from_slice::<Freeze>(&record.proposal.body).ok());
        Environment {
            sidecars: self.sidecars.clone(),
            overrides: overrides.collect(),
            frozen: freeze.is_some_and(|freeze| freeze.on),
            turn: self.turn,
        }
    }
}

/// The id of a proposal: two of one leader differ by their time.
fn id(term: u64, version: Version, now: Duration) -> u64 {
    let mixed = term.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ version.0.rotate_left(32);
    mixed ^ (now.as_micros() as u64).wrapping_mul(0xd134_2543_de82_ef95)
}
