//! A loaded configuration with its source, so that it can be reloaded.

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

/// An operator's file as it was last applied, and the overrides of its values.
#[derive(Clone, Debug)]
struct FileSource {
    path: PathBuf,
    text: String,
    /// From flags and environment variables of this process.
    overrides: Vec<Override>,
    /// From the fleet configuration. They take precedence over all others; otherwise a flag could keep a
    /// decision of the fleet from taking effect.
    fleet: Vec<Override>,
}

impl FileSource {
    fn parse(&self) -> Result<(Config, Vec<EffectiveValue>), Problems> {
        let all: Vec<Override> = self.overrides.iter().chain(&self.fleet).cloned().collect();
        file::parse(&self.path.display().to_string(), &self.text, &all)
    }
}

/// The configuration in effect, and its source.
#[derive(Debug)]
pub struct LoadedConfig {
    /// The configuration.
    pub config: Config,
    /// The value of each field and its origin; empty for the platform's format.
    pub effective: Vec<EffectiveValue>,
    source: Source,
}

/// The differences between two configurations: what changes at once, and what needs a restart.
#[derive(Debug, Default, PartialEq)]
pub struct ConfigChange {
    /// The new address of the discovery service, if it changes.
    pub discovery: Option<SocketAddr>,
    /// The new static endpoint list, if it changes.
    pub endpoints: Option<Vec<Target>>,
    /// The new log settings, if the level or the lines per second change.
    pub log: Option<LogSettings>,
    /// Changed fields that take effect only after a restart.
    pub restart_fields: Vec<String>,
}

impl LoadedConfig {
    /// Loads the platform's file, which `ROUTER_CONFIG` names.
    ///
    /// # Errors
    /// Returns the first error of the file.
    pub fn from_platform() -> Result<LoadedConfig, Problems> {
        let (config, raw) = platform::from_env()?;
        Ok(LoadedConfig { config, effective: Vec::new(), source: Source::Platform(raw) })
    }

    /// Loads an operator's file. Overrides take precedence over it, and a later one over an earlier one.
    ///
    /// # Errors
    /// Returns all errors of the file and the overrides.
    pub fn from_file(path: &Path, overrides: Vec<Override>) -> Result<LoadedConfig, Problems> {
        let (path, text, fleet) = (path.to_owned(), file::read_text(path)?, Vec::new());
        let source = FileSource { path, text, overrides, fleet };
        let (config, effective) = source.parse()?;
        Ok(LoadedConfig { config, effective, source: Source::File(source) })
    }

    /// Reads the source again. An invalid configuration changes nothing.
    ///
    /// # Errors
    /// Returns the errors of the new configuration.
    pub fn reload(&mut self) -> Result<ConfigChange, Problems> {
        match &self.source {
            Source::Platform(old) => {
                let (_, new) = platform::from_env()?;
                let (discovery, restart_fields) = platform::changes(old, &new)?;
                self.source = Source::Platform(new);
                Ok(ConfigChange { discovery, restart_fields, ..ConfigChange::default() })
            }
            Source::File(source) => {
                let source = FileSource { text: file::read_text(&source.path)?, ..source.clone() };
                let (new, effective) = source.parse()?;
                Ok(self.replace(source, new, effective))
            }
        }
    }

    /// Applies the values that the fleet has decided; they replace all earlier ones. If one is refused,
    /// nothing changes.
    ///
    /// # Errors
    /// Returns all errors. With the platform's format every field is refused: it has no fleet.
    pub fn apply_fleet_values(
        &mut self,
        values: &BTreeMap<String, String>,
    ) -> Result<ConfigChange, Problems> {
        let mut problems = live::problems(values);
        let Source::File(source) = &self.source else {
            return Err(Problems(values.keys().map(|field| live::not_live_problem(field)).collect()));
        };
        if !problems.is_empty() {
            return Err(Problems(problems));
        }
        let fleet = live::overrides(values);
        if fleet == source.fleet {
            return Ok(ConfigChange::default()); // the change is for another zone
        }
        let source = FileSource { fleet, ..source.clone() };
        let (new, effective) = source.parse()?;
        problems.extend(
            self.changes_to(&new, &effective)
                .restart_fields
                .iter()
                .map(|field| live::needs_restart_problem(field)),
        );
        if !problems.is_empty() {
            return Err(Problems(problems));
        }
        Ok(self.replace(source, new, effective))
    }

    fn replace(&mut self, source: FileSource, new: Config, effective: Vec<EffectiveValue>) -> ConfigChange {
        let change = self.changes_to(&new, &effective);
        (self.config, self.effective, self.source) = (new, effective, Source::File(source));
        change
    }

    fn changes_to(&self, new: &Config, effective: &[EffectiveValue]) -> ConfigChange {
        let old = &self.config;
        let is_static = new.discovery.is_none() && old.discovery.is_none();
        let applies_at_once = |field: &str| match field {
            // The seed is used only at the start: a newly drawn one is no change.
            "seed" => true,
            "log.level" | "log.per_second" => true,
            "discovery.address" => old.discovery.is_some() == new.discovery.is_some(),
            field => is_static && field.starts_with("endpoints["),
        };
        let changed_fields = |from: &[EffectiveValue], to: &[EffectiveValue]| {
            let values: HashMap<&str, &Value> = to.iter().map(|e| (e.field.as_str(), &e.value)).collect();
            let same = |e: &&EffectiveValue| values.get(e.field.as_str()) == Some(&&e.value);
            let changed = from.iter().filter(|e| !applies_at_once(&e.field) && !same(e));
            changed.map(|e| e.field.clone()).collect::<Vec<_>>()
        };
        let mut restart_fields = changed_fields(effective, &self.effective);
        restart_fields.extend(changed_fields(&self.effective, effective));
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
