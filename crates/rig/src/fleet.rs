//! A file's `[fleet]`: keepers, sidecars that hold what they decide, and who has notes decided, written out as groups.
//!
//! Whole fleets are what most files are about; without this each would say the same forty lines. Left out
//! (`rig run --without-fleet`) it leaves the same file with sidecars that share nothing, which is what it is measured against.

use crate::fault::FaultSpec;
use crate::spec::{ProcessGroup, RigSpec, Transport};
use curlewhub_config::units::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The name of the keepers' group, and of the port that all of the fleet listen on.
pub const KEEPER: &str = "keeper";
const PORT: &str = "fleet";
pub(crate) const OPERATOR: &str = "operator";

/// A fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPart {
    /// The halls that have a keeper each, in the order of their numbers.
    pub keepers: Vec<String>,
    /// A note is decided this often, so that there are versions to spread; none where nothing is said.
    #[serde(default)]
    pub notes: Option<Span>,
    /// The hall of who has them decided; the first of the halls that have a keeper where nothing is said.
    #[serde(default)]
    pub notes_from: Option<String>,
    /// Laid over the `[fleet]` of each sidecar.
    #[serde(default)]
    pub sidecars: toml::Table,
    /// The same for keepers.
    #[serde(default)]
    pub config: toml::Table,
}

impl RigSpec {
    /// Writes `[fleet]` out as groups, after which it is gone.
    ///
    /// # Errors
    /// A hall that is none.
    pub(crate) fn write_fleet_out(&mut self) -> Result<(), String> {
        let Some(fleet) = self.fleet.take() else { return Ok(()) };
        let halls = self.halls();
        let known = |name: &String| halls.iter().any(|(hall, _)| hall == name);
        let from = fleet.notes_from.clone().or_else(|| fleet.keepers.first().cloned());
        for hall in fleet.keepers.iter().chain(&from) {
            if !known(hall) {
                return Err(format!("fleet.keepers: allowed: names of halls, and `{hall}` is none"));
            }
        }
        let region =
            |name: &String| halls.iter().find(|(hall, _)| hall == name).map(|(_, region)| region.clone());
        let keepers = |how: &str| {
            let one = |(n, hall): (usize, &String)| {
                let name = format!("{KEEPER}-{hall}-1");
                let mut keeper = toml::Table::new();
                keeper.insert("id".to_owned(), (n as i64 + 1).into());
                keeper.insert("name".to_owned(), name.clone().into());
                keeper.insert("address".to_owned(), format!("{{{how}.{name}.{PORT}}}").into());
                keeper.insert("hall".to_owned(), hall.clone().into());
                keeper.insert("region".to_owned(), region(hall).unwrap_or_default().into());
                toml::Value::Table(keeper)
            };
            toml::Value::Array(fleet.keepers.iter().enumerate().map(one).collect())
        };
        let mut key = toml::Table::new();
        key.insert("number".to_owned(), 1.into());
        key.insert("file".to_owned(), "{shared}/fleet.key".into());
        // One region alone says nothing of which halls fail together.
        let mut regions = toml::Table::new();
        for (hall, region) in halls.iter().filter(|_| self.regions.len() > 1) {
            let named = regions.entry(region.clone()).or_insert_with(|| toml::Value::Array(Vec::new()));
            named.as_array_mut().into_iter().for_each(|names| names.push(hall.clone().into()));
        }
        let places = toml::Table::from_iter([("regions".to_owned(), toml::Value::from(regions))]);
        for group in &mut self.sidecars {
            group.ports.insert(PORT.to_owned(), Transport::Both);
            let mut part = toml::Table::new();
            part.insert("listen".to_owned(), format!("{{port.{PORT}}}").into());
            part.insert("advertise".to_owned(), format!("{{door.{PORT}}}").into());
            part.insert("key".to_owned(), key.clone().into());
            part.insert("keepers".to_owned(), keepers("link"));
            part.insert("peers".to_owned(), format!("{{peers.{}.{PORT}}}", group.name).into());
            part.insert("places".to_owned(), places.clone().into());
            crate::texts::lay_over(&mut part, &fleet.sidecars);
            let own =
                group.config.remove("fleet").and_then(|own| own.as_table().cloned()).unwrap_or_default();
            crate::texts::lay_over(&mut part, &own);
            group.config.insert("fleet".to_owned(), part.into());
        }
        let file = |listen: &str, more: &[(&str, &str)], over: &toml::Table| {
            let mut table = toml::Table::new();
            let texts =
                [("name", "{name}"), ("listen", listen), ("state_dir", "{state}"), ("hall", "{hall}")];
            for (name, text) in texts.iter().chain(more) {
                table.insert((*name).to_owned(), (*text).into());
            }
            table.insert("key".to_owned(), key.clone().into());
            table.insert("keepers".to_owned(), keepers("reach"));
            table.insert("places".to_owned(), places.clone().into());
            crate::texts::lay_over(&mut table, over);
            toml::to_string(&table).map_err(|e| format!("fleet: {e}"))
        };
        let words = |words: &[&str]| words.iter().map(|word| (*word).to_owned()).collect();
        let door = format!("{{door.{PORT}}}");
        self.processes.push(ProcessGroup {
            name: KEEPER.to_owned(),
            halls: fleet.keepers.clone(),
            count: 1,
            program: "sidecar".to_owned(),
            words: words(&["keeper", "--config", "{config}", "--log-json"]),
            first_words: words(&["--begin"]), // an empty folder later on is one that forgot
            config: file(&format!("{{port.{PORT}}}"), &[("advertise", &door)], &fleet.config)?,
            ports: BTreeMap::from([(PORT.to_owned(), Transport::Both)]),
            ready: Some(PORT.to_owned()),
        });
        if let (Some(every), Some(from)) = (fleet.notes, from) {
            let every = humantime::format_duration(every.0).to_string();
            self.processes.push(ProcessGroup {
                name: OPERATOR.to_owned(),
                halls: vec![from],
                count: 1,
                program: "sidecar".to_owned(),
                words: words(&["fleet", "note", "--config", "{config}", "--every", &every, "tick"]),
                first_words: Vec::new(),
                // It does not listen there, but connects from there, by which the rig knows it.
                config: file("{port.call}", &[], &toml::Table::new())?,
                ports: BTreeMap::from([("call".to_owned(), Transport::Tcp)]),
                ready: None,
            });
        }
        Ok(())
    }

    /// The same run with sidecars that share nothing: what is drawn stays what was drawn, but what would strike the fleet's own
    /// processes alone.
    pub fn without_fleet(&self) -> RigSpec {
        let mut spec = self.clone();
        let own = |name: &str| name == KEEPER || name == OPERATOR;
        spec.processes.retain(|group| !own(&group.name));
        for group in &mut spec.sidecars {
            group.config.remove("fleet");
            group.ports.remove(PORT);
        }
        let mut numbers = Vec::new();
        let members = crate::plan::members(self);
        for (n, fault) in std::mem::take(&mut spec.faults).into_iter().enumerate() {
            let left = |names: &[String]| -> Vec<String> {
                let strikes = |name: &String| members.iter().any(|m| m.is(name) && !own(&m.side.group));
                names.iter().filter(|name| strikes(name)).cloned().collect()
            };
            let (on, from, to) = (left(&fault.on), left(&fault.from), left(&fault.to));
            let gone = |before: &[String], left: &[String]| left.is_empty() && !before.is_empty();
            if !(gone(&fault.on, &on) || gone(&fault.from, &from) || gone(&fault.to, &to)) {
                numbers.push(n);
                spec.faults.push(FaultSpec { on, from, to, ..fault });
            }
        }
        spec.checks.retain_mut(|check| match check.fault {
            None => true,
            Some(fault) => {
                check.fault = numbers.iter().position(|n| *n == fault);
                check.fault.is_some()
            }
        });
        spec
    }
}
