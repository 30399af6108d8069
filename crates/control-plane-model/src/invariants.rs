//! What must hold in every step of a fleet, whatever goes wrong.

use curlewhub_control_plane::record::{Hash, Record, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// Rules, and what broke them.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    /// The one content of each version, and when it was first decided.
    pub contents: BTreeMap<Version, (Hash, Duration)>,
    /// Which version each proposal became, as its proposer was told.
    pub decided: BTreeMap<u64, Version>,
    /// What broke a rule, the first hundred.
    pub violations: Vec<String>,
}

const MAX_VIOLATIONS: usize = 100;

impl Invariants {
    fn require(&mut self, holds: bool, text: impl FnOnce() -> String) {
        if !holds && self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(text());
        }
    }

    /// A keeper has decided something.
    pub fn applied(&mut self, now: Duration, by: &str, record: &Record) {
        let (version, hash) = (record.version, record.hash());
        let first = self.contents.entry(version).or_insert((hash, now)).0;
        self.require(first == hash, || format!("version {version} has two contents, one by {by}"));
    }

    /// A proposer was told that its proposal is decided.
    pub fn told(&mut self, id: u64, version: Version) {
        let first = *self.decided.entry(id).or_insert(version);
        self.require(first == version, || format!("proposal {id} became {first} and {version}"));
    }

    /// A process holds this after it held that.
    pub fn holds(&mut self, name: &str, before: Version, after: Version, hash: Hash) {
        self.require(after >= before, || format!("{name} went back from {before} to {after}"));
        let known = self.contents.get(&after).map(|(hash, _)| *hash);
        self.require(known.is_none_or(|known| known == hash), || {
            format!("{name} holds another content of version {after}")
        });
    }

    /// What proposers were told is decided is decided still, by the greatest version that is held.
    pub fn nothing_lost(&mut self, newest: Version) {
        let lost: Vec<(u64, Version)> = (self.decided.iter())
            .filter(|(_, version)| **version > newest || !self.contents.contains_key(version))
            .map(|(id, version)| (*id, *version))
            .collect();
        for (id, version) in lost {
            self.require(false, || format!("proposal {id} was decided as {version}, and that is lost"));
        }
    }
}
