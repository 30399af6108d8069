//! A sidecar's side whole: it follows its fleet, and what that and its own calls come to for halls.

use crate::zone_policy::{self, ZonePolicy};
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::client::{self, FleetClient};
use curlewhub_control_plane::evidence::Digest;
use curlewhub_control_plane::protocol::{Message, PeerId};
use std::time::Duration;

/// What the host does, or should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Of the fleet.
    Client(client::Action),
    /// Of halls.
    Policy(zone_policy::Action),
}

/// A sidecar's side.
pub struct Agent {
    /// Its part in the fleet.
    pub client: FleetClient,
    /// Its part in halls; a process that calls nobody has none.
    pub policy: Option<ZonePolicy>,
    keepers: Vec<String>,
    started_at: Duration,
}

impl Agent {
    /// One that begins.
    pub fn new(client: FleetClient, part: Option<ZonePolicy>, now: Duration) -> Agent {
        let keepers = client.consensus_servers().map(str::to_owned).collect();
        Agent { client, policy: part, keepers, started_at: now }
    }

    /// When it wants to be called again at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let part = self.policy.as_ref().map(ZonePolicy::next_wakeup);
        part.map_or(self.client.next_wakeup(), |at| at.min(self.client.next_wakeup()))
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions: Vec<Action> = self.client.tick(now).into_iter().map(Action::Client).collect();
        let (age, started) = (self.client.age(now), now.saturating_sub(self.started_at));
        if let Some(part) = &mut self.policy {
            actions.extend(part.tick(now, age, started).into_iter().map(Action::Policy));
        }
        actions
    }

    /// Something was heard; only keepers grant, and have probed.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Vec<Action> {
        let keeper = self.keepers.contains(&from.name);
        let zones = |actions: Vec<zone_policy::Action>| actions.into_iter().map(Action::Policy).collect();
        match (message, &mut self.policy) {
            (Message::Grant { term, digest_sequence: of, valid_ms: for_ms, rates }, Some(part))
                if keeper =>
            {
                zones(part.handle_grant(now, term, of, Duration::from_millis(for_ms.into()), &rates))
            }
            (Message::ProbeZone { zone, count }, Some(_)) if keeper => {
                zones(vec![zone_policy::Action::Probe(zone, count)])
            }
            (Message::Grant { .. } | Message::ProbeZone { .. }, _) => Vec::new(),
            (message, _) => {
                self.client.handle_message(now, from, message).into_iter().map(Action::Client).collect()
            }
        }
    }

    /// This is acted on.
    pub fn apply(&mut self, now: Duration, acted: &AppliedRecords) -> Vec<Action> {
        let part = self.policy.as_mut().map(|part| part.apply(now, acted)).unwrap_or_default();
        part.into_iter().map(Action::Policy).collect()
    }

    /// How long after its last digest keepers must hear of it though its calls have shown nothing new; none if they need not.
    pub fn renewal_interval(&self) -> Option<Duration> {
        self.policy.as_ref().is_some_and(ZonePolicy::needs_renewal).then(|| self.client.evidence_interval())
    }

    /// What its calls have shown is told now.
    pub fn report_evidence(&mut self, now: Duration, digest: &Digest) -> Vec<Action> {
        if let Some(part) = &mut self.policy {
            part.evidence_sent(now, digest);
            part.record(now, digest);
        }
        self.client.report_evidence(digest).into_iter().map(Action::Client).collect()
    }
}
