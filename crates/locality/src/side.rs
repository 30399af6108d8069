//! A sidecar's side whole: it follows its fleet, and what that and its own calls come to for halls.

use crate::part::{self, Part};
use curlewhub_fleet::acted::Acted;
use curlewhub_fleet::agent::{self, Agent};
use curlewhub_fleet::evidence::Digest;
use curlewhub_fleet::wire::{Said, Who};
use std::time::Duration;

/// What the host does, or should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Of the fleet.
    Fleet(agent::Action),
    /// Of halls.
    Halls(part::Action),
}

/// A sidecar's side.
pub struct Side {
    /// Its part in the fleet.
    pub agent: Agent,
    /// Its part in halls; a process that calls nobody has none.
    pub part: Option<Part>,
    keepers: Vec<String>,
    began: Duration,
}

impl Side {
    /// One that begins.
    pub fn new(agent: Agent, part: Option<Part>, now: Duration) -> Side {
        let keepers = agent.keepers().map(str::to_owned).collect();
        Side { agent, part, keepers, began: now }
    }

    /// When it wants to be called again at the latest.
    pub fn next(&self) -> Duration {
        let part = self.part.as_ref().map(Part::next);
        part.map_or(self.agent.next(), |at| at.min(self.agent.next()))
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions: Vec<Action> = self.agent.tick(now).into_iter().map(Action::Fleet).collect();
        let (age, started) = (self.agent.age(now), now.saturating_sub(self.began));
        if let Some(part) = &mut self.part {
            actions.extend(part.tick(now, age, started).into_iter().map(Action::Halls));
        }
        actions
    }

    /// Something was heard; only keepers grant, and have probed.
    pub fn heard(&mut self, now: Duration, from: &Who, said: Said) -> Vec<Action> {
        let keeper = self.keepers.contains(&from.name);
        let halls = |actions: Vec<part::Action>| actions.into_iter().map(Action::Halls).collect();
        match (said, &mut self.part) {
            (Said::Granted { term, of, for_ms, rates }, Some(part)) if keeper => {
                halls(part.granted(now, term, of, Duration::from_millis(for_ms.into()), &rates))
            }
            (Said::ProbeHall { hall, count }, Some(_)) if keeper => {
                halls(vec![part::Action::Probe(hall, count)])
            }
            (Said::Granted { .. } | Said::ProbeHall { .. }, _) => Vec::new(),
            (said, _) => self.agent.heard(now, from, said).into_iter().map(Action::Fleet).collect(),
        }
    }

    /// This is acted on.
    pub fn acts(&mut self, now: Duration, acted: &Acted) -> Vec<Action> {
        let part = self.part.as_mut().map(|part| part.acts(now, acted)).unwrap_or_default();
        part.into_iter().map(Action::Halls).collect()
    }

    /// How long after its last digest keepers must hear of it though its calls have shown nothing new; none if they need not.
    pub fn renews(&self) -> Option<Duration> {
        self.part.as_ref().is_some_and(Part::renews).then(|| self.agent.pace())
    }

    /// What its calls have shown is told now.
    pub fn tell(&mut self, now: Duration, digest: &Digest) -> Vec<Action> {
        if let Some(part) = &mut self.part {
            part.told(now, digest);
            part.saw(now, digest);
        }
        self.agent.tell(digest).into_iter().map(Action::Fleet).collect()
    }
}
