//! Where the configuration came from, so that it can be read again.

use crate::config::Config;
use crate::list::Target;
use crate::problem::Problems;
use crate::reader::{Effective, Override};
use crate::{file, platform};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Debug)]
enum Source {
    Platform(Value),
    File { path: PathBuf, overrides: Vec<Override> },
}

/// A configuration in effect.
#[derive(Debug)]
pub struct Loaded {
    /// What holds.
    pub config: Config,
    /// Each field with its origin; empty for the platform's form.
    pub effective: Vec<Effective>,
    source: Source,
}

/// What a reload changes while the process runs.
#[derive(Debug, Default, PartialEq)]
pub struct Change {
    /// Discovery is at another address.
    pub discovery: Option<SocketAddr>,
    /// The static list is another one.
    pub endpoints: Option<Vec<Target>>,
    /// Fields that differ and hold only after a restart.
    pub restart: Vec<String>,
}

impl Loaded {
    /// As the platform tells it.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn platform() -> Result<Loaded, Problems> {
        let (config, raw) = platform::from_env()?;
        Ok(Loaded { config, effective: Vec::new(), source: Source::Platform(raw) })
    }

    /// From an operator's file; the overrides win over it, a later one over an earlier one.
    ///
    /// # Errors
    /// All that is wrong with it, in one go.
    pub fn file(path: &Path, overrides: Vec<Override>) -> Result<Loaded, Problems> {
        let (config, effective) = file::read(path, &overrides)?;
        Ok(Loaded { config, effective, source: Source::File { path: path.to_owned(), overrides } })
    }

    /// Reads it again. Where the new one is wrong the old one stays.
    ///
    /// # Errors
    /// What is wrong with the new one.
    pub fn reload(&mut self) -> Result<Change, Problems> {
        match &self.source {
            Source::Platform(old) => {
                let (_, new) = platform::from_env()?;
                let (discovery, restart) = platform::changes(old, &new)?;
                self.source = Source::Platform(new);
                Ok(Change { discovery, endpoints: None, restart })
            }
            Source::File { path, overrides } => {
                let (new, effective) = file::read(path, overrides)?;
                let change = self.change_to(&new, &effective);
                // Both are for a start alone, and a new seed is no change.
                (self.config, self.effective) = (new, effective);
                Ok(change)
            }
        }
    }

    fn change_to(&self, new: &Config, effective: &[Effective]) -> Change {
        let old = &self.config;
        let is_static = new.discovery.is_none() && old.discovery.is_none();
        let lives = |field: &str| match field {
            "seed" => true,
            "discovery.address" => old.discovery.is_some() == new.discovery.is_some(),
            field => is_static && field.starts_with("endpoints["),
        };
        let differs = |from: &[Effective], to: &[Effective]| {
            let values: HashMap<&str, &Value> = to.iter().map(|e| (e.field.as_str(), &e.value)).collect();
            let same = |e: &&Effective| values.get(e.field.as_str()) == Some(&&e.value);
            let changed = from.iter().filter(|e| !lives(&e.field) && !same(e));
            changed.map(|e| e.field.clone()).collect::<Vec<_>>()
        };
        let mut restart = differs(effective, &self.effective);
        restart.extend(differs(&self.effective, effective));
        restart.sort();
        restart.dedup();
        Change {
            discovery: new.discovery.filter(|at| old.discovery.is_some_and(|before| before != *at)),
            endpoints: (is_static && old.known.targets != new.known.targets)
                .then(|| new.known.targets.clone()),
            restart,
        }
    }
}
