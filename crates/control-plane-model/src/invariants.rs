//! Safety properties of the fleet view that hold in every step, whatever faults are injected.

use curlewhub_control_plane::record::{Hash, Record, Version};
use std::collections::BTreeMap;
use std::time::Duration;

const MAX_VIOLATIONS: usize = 100;

/// What was decided so far, and the violations found.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    /// The one content of each version, and when a consensus server first applied it.
    pub contents: BTreeMap<Version, (Hash, Duration)>,
    /// The version that each proposal became, by its id, as acknowledged to its proposer.
    pub decided: BTreeMap<u64, Version>,
    /// Violations in the order in which they were found, up to a hundred.
    pub violations: Vec<String>,
}

impl Invariants {
    fn require(&mut self, holds: bool, text: impl FnOnce() -> String) {
        if !holds && self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(text());
        }
    }

    /// Records that a consensus server has applied a record. Each version has one content.
    pub fn record_applied(&mut self, now: Duration, by: &str, record: &Record) {
        let (version, hash) = (record.version, record.hash());
        let first = self.contents.entry(version).or_insert((hash, now)).0;
        self.require(first == hash, || format!("version {version} has two contents, one by {by}"));
    }

    /// Records that a proposer was notified of a decision. Each proposal becomes one version.
    pub fn record_decided(&mut self, id: u64, version: Version) {
        let first = *self.decided.entry(id).or_insert(version);
        self.require(first == version, || format!("proposal {id} became {first} and {version}"));
    }

    /// Records that a subscriber has replaced its view. Versions only grow, and their content is the decided one.
    pub fn record_view_change(&mut self, name: &str, before: Version, after: Version, hash: Hash) {
        self.require(after >= before, || format!("{name} went back from {before} to {after}"));
        let decided = self.contents.get(&after).map(|(hash, _)| *hash);
        self.require(decided.is_none_or(|decided| decided == hash), || {
            format!("{name} holds another content of version {after}")
        });
    }

    /// Checks that every acknowledged proposal is part of the chain up to the newest version that a process holds.
    pub fn check_nothing_lost(&mut self, newest: Version) {
        let lost: Vec<(u64, Version)> = (self.decided.iter())
            .filter(|(_, version)| **version > newest || !self.contents.contains_key(version))
            .map(|(id, version)| (*id, *version))
            .collect();
        for (id, version) in lost {
            self.require(false, || format!("proposal {id} was decided as {version}, and that is lost"));
        }
    }
}
