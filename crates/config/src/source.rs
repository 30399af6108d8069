//! Where the configuration came from, so that it can be read again.

use crate::config::{Config, LogSettings};
use crate::list::Target;
use crate::live;
use crate::problem::Problems;
use crate::reader::{EffectiveValue, Override};
use crate::{file, platform};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Debug)]
enum Source {
    Platform(Value),
    File(FileSource),
}

/// An operator's file as it was last taken, and what wins over it.
#[derive(Clone, Debug)]
struct FileSource {
    path: PathBuf,
    text: String,
    /// Flags and variables of this process.
    overrides: Vec<Override>,
    /// What its fleet has decided: that wins over all else, or it would not be in force.
    fleet: Vec<Override>,
}

impl FileSource {
    fn parse(&self) -> Result<(Config, Vec<EffectiveValue>), Problems> {
        let all: Vec<Override> = self.overrides.iter().chain(&self.fleet).cloned().collect();
        file::parse(&self.path.display().to_string(), &self.text, &all)
    }
}

/// A configuration in effect.
#[derive(Debug)]
pub struct LoadedConfig {
    /// What holds.
    pub config: Config,
    /// Each field with its origin; empty for the platform's form.
    pub effective: Vec<EffectiveValue>,
    source: Source,
}

/// What a reload changes while the process runs.
#[derive(Debug, Default, PartialEq)]
pub struct ConfigChange {
    /// Discovery is at another address.
    pub discovery: Option<SocketAddr>,
    /// The static list is another one.
    pub endpoints: Option<Vec<Target>>,
    /// The log is to be written otherwise, by its level or lines a second.
    pub log: Option<LogSettings>,
    /// Fields that differ and hold only after a restart.
    pub restart_fields: Vec<String>,
}

impl LoadedConfig {
    /// As the platform tells it.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn from_platform() -> Result<LoadedConfig, Problems> {
        let (config, raw) = platform::from_env()?;
        Ok(LoadedConfig { config, effective: Vec::new(), source: Source::Platform(raw) })
    }

    /// From an operator's file; the overrides win over it, a later one over an earlier one.
    ///
    /// # Errors
    /// All that is wrong with it, in one go.
    pub fn from_file(path: &Path, overrides: Vec<Override>) -> Result<LoadedConfig, Problems> {
        let (path, text, fleet) = (path.to_owned(), file::text(path)?, Vec::new());
        let source = FileSource { path, text, overrides, fleet };
        let (config, effective) = source.parse()?;
        Ok(LoadedConfig { config, effective, source: Source::File(source) })
    }

    /// Reads it again. Where the new one is wrong the old one stays.
    ///
    /// # Errors
    /// What is wrong with the new one.
    pub fn reload(&mut self) -> Result<ConfigChange, Problems> {
        match &self.source {
            Source::Platform(old) => {
                let (_, new) = platform::from_env()?;
                let (discovery, restart_fields) = platform::changes(old, &new)?;
                self.source = Source::Platform(new);
                Ok(ConfigChange { discovery, restart_fields, ..ConfigChange::default() })
            }
            Source::File(source) => {
                let source = FileSource { text: file::text(&source.path)?, ..source.clone() };
                let (new, effective) = source.parse()?;
                Ok(self.take(source, new, effective))
            }
        }
    }

    /// Takes over what the fleet has decided, in place of what it had decided before. Where it is refused, nothing changes.
    ///
    /// # Errors
    /// All that is wrong with it; with the platform's form, that there is no fleet.
    pub fn apply_fleet_values(
        &mut self,
        values: &BTreeMap<String, String>,
    ) -> Result<ConfigChange, Problems> {
        let mut problems = live::problems(values);
        let Source::File(source) = &self.source else {
            return Err(Problems(values.keys().map(|field| live::not_live(field)).collect()));
        };
        if !problems.is_empty() {
            return Err(Problems(problems));
        }
        let fleet = live::overrides(values);
        if fleet == source.fleet {
            return Ok(ConfigChange::default()); // no file is read anew for what another zone is told
        }
        let source = FileSource { fleet, ..source.clone() };
        let (new, effective) = source.parse()?;
        problems.extend(
            self.change_to(&new, &effective).restart_fields.iter().map(|field| live::not_here(field)),
        );
        if !problems.is_empty() {
            return Err(Problems(problems));
        }
        Ok(self.take(source, new, effective))
    }

    fn take(&mut self, source: FileSource, new: Config, effective: Vec<EffectiveValue>) -> ConfigChange {
        let change = self.change_to(&new, &effective);
        // Both are for a start alone, and a new seed is no change.
        (self.config, self.effective, self.source) = (new, effective, Source::File(source));
        change
    }

    fn change_to(&self, new: &Config, effective: &[EffectiveValue]) -> ConfigChange {
        let old = &self.config;
        let is_static = new.discovery.is_none() && old.discovery.is_none();
        let lives = |field: &str| match field {
            "seed" => true,
            "log.level" | "log.per_second" => true,
            "discovery.address" => old.discovery.is_some() == new.discovery.is_some(),
            field => is_static && field.starts_with("endpoints["),
        };
        let differs = |from: &[EffectiveValue], to: &[EffectiveValue]| {
            let values: HashMap<&str, &Value> = to.iter().map(|e| (e.field.as_str(), &e.value)).collect();
            let same = |e: &&EffectiveValue| values.get(e.field.as_str()) == Some(&&e.value);
            let changed = from.iter().filter(|e| !lives(&e.field) && !same(e));
            changed.map(|e| e.field.clone()).collect::<Vec<_>>()
        };
        let mut restart_fields = differs(effective, &self.effective);
        restart_fields.extend(differs(&self.effective, effective));
        restart_fields.sort();
        restart_fields.dedup();
        ConfigChange {
            discovery: new.discovery.filter(|at| old.discovery.is_some_and(|before| before != *at)),
            endpoints: (is_static && old.initial_list.targets != new.initial_list.targets)
                .then(|| new.initial_list.targets.clone()),
            log: (old.log != new.log && old.log.format == new.log.format).then(|| new.log.clone()),
            restart_fields,
        }
    }
}
