//! The agent: a sidecar's complete control plane, that is its client of the fleet and its zone policy. Sans I/O.

use crate::zone_policy::{self, ZonePolicy};
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::client::{self, FleetClient};
use curlewhub_control_plane::evidence::Digest;
use curlewhub_control_plane::protocol::{Message, PeerId};
use std::collections::BTreeSet;
use std::time::Duration;

/// What the host is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An action of the fleet client.
    Client(client::Action),
    /// An action of the zone policy.
    Policy(zone_policy::Action),
}

/// A sidecar's control plane.
pub struct Agent {
    /// The client of the fleet.
    pub client: FleetClient,
    /// The zone policy; none in a process that makes no calls.
    pub policy: Option<ZonePolicy>,
    /// Names of the consensus servers: they alone may grant and ask for probes.
    consensus_servers: BTreeSet<String>,
    started_at: Duration,
}

impl Agent {
    /// An agent that starts at `now`.
    pub fn new(client: FleetClient, policy: Option<ZonePolicy>, now: Duration) -> Agent {
        let consensus_servers = client.consensus_servers().map(str::to_owned).collect();
        Agent { client, policy, consensus_servers, started_at: now }
    }

    /// The latest time of the next call of [`Agent::tick`].
    pub fn next_wakeup(&self) -> Duration {
        let client = self.client.next_wakeup();
        self.policy.as_ref().map_or(client, |policy| policy.next_wakeup().min(client))
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = client_actions(self.client.tick(now));
        let (age, uptime) = (self.client.age(now), now.saturating_sub(self.started_at));
        if let Some(policy) = &mut self.policy {
            actions.extend(policy_actions(policy.tick(now, age, uptime)));
        }
        actions
    }

    /// Handles a message of a peer. Grants and requests for probes are dropped unless a consensus server sent them.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Vec<Action> {
        let is_consensus_server = self.consensus_servers.contains(&from.name);
        match (message, &mut self.policy) {
            (Message::Grant { term, digest_sequence, valid_ms, rates }, Some(policy))
                if is_consensus_server =>
            {
                let validity = Duration::from_millis(valid_ms.into());
                policy_actions(policy.handle_grant(now, term, digest_sequence, validity, &rates))
            }
            (Message::ProbeZone { zone, count }, Some(_)) if is_consensus_server => {
                policy_actions(vec![zone_policy::Action::Probe(zone, count)])
            }
            (Message::Grant { .. } | Message::ProbeZone { .. }, _) => Vec::new(),
            (message, _) => client_actions(self.client.handle_message(now, from, message)),
        }
    }

    /// Applies records of the view to the zone policy.
    pub fn apply(&mut self, now: Duration, records: &AppliedRecords) -> Vec<Action> {
        let actions = self.policy.as_mut().map(|policy| policy.apply(now, records));
        policy_actions(actions.unwrap_or_default())
    }

    /// The interval at which digests must be sent even without new calls; none if there is no need.
    pub fn renewal_interval(&self) -> Option<Duration> {
        self.policy.as_ref().is_some_and(ZonePolicy::needs_renewal).then(|| self.client.evidence_interval())
    }

    /// Sends a digest of the sidecar's calls to the consensus servers, and takes it in.
    pub fn report_evidence(&mut self, now: Duration, digest: &Digest) -> Vec<Action> {
        if let Some(policy) = &mut self.policy {
            policy.evidence_sent(now, digest);
            policy.record(now, digest);
        }
        client_actions(self.client.report_evidence(digest))
    }
}

fn client_actions(actions: Vec<client::Action>) -> Vec<Action> {
    actions.into_iter().map(Action::Client).collect()
}

fn policy_actions(actions: Vec<zone_policy::Action>) -> Vec<Action> {
    actions.into_iter().map(Action::Policy).collect()
}
