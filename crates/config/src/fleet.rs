//! What a process of the fleet is told: in a file of its own, or in the `[fleet]` of a sidecar's.

use crate::units::Span;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Keepers at the most: more agree more slowly and bear no more that happens.
const KEEPERS_MOST: usize = 9;

/// A file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Its name, of its own in the fleet.
    pub name: String,
    /// Where it listens, for streams and for datagrams, and what it connects and sends from.
    pub listen: SocketAddr,
    /// Where others reach it, if that is another address than `listen`.
    pub advertise: Option<SocketAddr>,
    /// Its hall; a sidecar's is its zone.
    #[serde(default)]
    #[serde(rename = "hall")]
    pub zone: String,
    /// Its folder; nobody else's.
    pub state_dir: PathBuf,
    /// The key that messages are written with.
    pub key: KeyConfig,
    /// Another one that is read too, while the key is changed.
    pub other_key: Option<KeyConfig>,
    /// The keepers.
    #[serde(rename = "keepers")]
    pub consensus_servers: Vec<ConsensusServerConfig>,
    /// Others that are asked where no keeper is reached.
    #[serde(default)]
    pub peers: Vec<PeerConfig>,
    /// How halls and regions are left, and returned to.
    #[serde(default)]
    #[serde(rename = "places")]
    pub zone_failover: ZoneFailoverConfig,
    /// For trials: the wall clock that its fleet's part reads is set off by so many milliseconds.
    #[serde(default)]
    pub clock_ahead_ms: i64,
    /// This keeper joins a fleet that there is: it has a number that no keeper ever had, and an empty folder.
    #[serde(default)]
    pub joins: bool,
}

/// A key: its number, and where its 64 hexadecimal digits lie.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// Its number, 0 to 255.
    pub number: u8,
    /// Its file; one that others can read is refused.
    pub file: PathBuf,
}

/// A keeper.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConsensusServerConfig {
    /// Its number, 1 or more; never used again for another.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// Where this process reaches it.
    pub address: SocketAddr,
    /// Its hall and region, where it is said: no hall's loss may take the majority, and no region's where there are three.
    #[serde(default)]
    #[serde(rename = "hall")]
    pub zone: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
}

/// A peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Its name.
    pub name: String,
    /// Where this process reaches it.
    pub address: SocketAddr,
}

/// How halls and regions are left, and returned to. Keepers go by it; a sidecar that has lost them too.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneFailoverConfig {
    /// Keepers move halls by themselves; else only by hand.
    pub automatic: bool,
    /// Each region's halls; a hall that is named in none stands for itself.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The largest part of the calls into a hall that is lost while it is sound ...
    #[serde(rename = "sound_loses")]
    pub healthy_loss: f64,
    /// ... and the least while it is dark.
    #[serde(rename = "dark_loses")]
    pub unreachable_loss: f64,
    /// The logarithm of how much likelier what was seen must be in a dark hall than in a sound one: 20 is 500 million to 1.
    #[serde(rename = "alarm")]
    pub alarm_log_likelihood: f64,
    /// Sidecars that must lose by a hall, at the least, where there are so many.
    pub witnesses: u32,
    /// Halls that these must be in, at the least, where there are so many.
    #[serde(rename = "halls_of_witnesses")]
    pub witness_zones: u32,
    /// A hall is slow whose answers take so many times as long as before, and as those of the others ...
    #[serde(rename = "slow")]
    pub slow_ratio: f64,
    /// ... for so long.
    pub slow_for: Span,
    /// Never is so much left that a smaller part than this of the fleet's room stays, 0 to 1.
    #[serde(rename = "floor")]
    pub min_remaining_capacity: f64,
    /// Halls that may be left at once by themselves, at the most; those of one region count as one.
    #[serde(rename = "at_once")]
    pub max_concurrent_failovers: u32,
    /// A hall that was left is let be for so long, doubled each time that it is left again soon ...
    #[serde(rename = "rest")]
    pub cooldown: Span,
    /// ... up to this.
    #[serde(rename = "rest_most")]
    pub max_cooldown: Span,
    /// Soon is within this of its return.
    #[serde(rename = "soon")]
    pub flap_window: Span,
    /// Probes a second into a hall that may have come back, of the whole fleet together.
    #[serde(rename = "probes")]
    pub probes_per_s: f64,
    /// Answered probes in a row that let calls in again.
    #[serde(rename = "probes_good")]
    pub probes_required: u32,
    /// The first step of a return: a part of what the hall bore before.
    #[serde(rename = "first_step")]
    pub first_step_share: f64,
    /// Each step lets in so many times as much as the one before.
    #[serde(rename = "step")]
    pub step_factor: f64,
    /// A step lasts so long, at the least.
    #[serde(rename = "step_least")]
    pub min_step: Span,
    /// What a sidecar may send into a returning hall it may for so long, unless a keeper says so again.
    #[serde(rename = "grant")]
    pub grant_validity: Span,
    /// A sidecar that no keeper has confirmed the view for so long goes by its own calls.
    #[serde(rename = "alone_after")]
    pub autonomous_after: Span,
}

impl Default for ZoneFailoverConfig {
    fn default() -> Self {
        let ms = |ms| Span(Duration::from_millis(ms));
        ZoneFailoverConfig {
            automatic: true,
            regions: BTreeMap::new(),
            healthy_loss: 0.3,
            unreachable_loss: 0.9,
            alarm_log_likelihood: 20.0,
            witnesses: 2,
            witness_zones: 2,
            slow_ratio: 4.0,
            slow_for: ms(2000),
            min_remaining_capacity: 0.3,
            max_concurrent_failovers: 2,
            cooldown: ms(1000),
            max_cooldown: ms(120_000),
            flap_window: ms(60_000),
            probes_per_s: 8.0,
            probes_required: 6,
            first_step_share: 0.2,
            step_factor: 1.6,
            min_step: ms(400),
            grant_validity: ms(1500),
            autonomous_after: ms(10_000),
        }
    }
}

impl ZoneFailoverConfig {
    /// All that makes no sense: the field, and what is allowed.
    fn problems(&self) -> Vec<(String, &'static str)> {
        let part = |n: f64| n > 0.0 && n < 1.0;
        let times = |n: f64| n > 1.0 && n <= 100.0;
        let over_0 = |span: Span| !span.0.is_zero() && span.0 <= Duration::from_secs(3600);
        let named: Vec<&String> = self.regions.values().flatten().collect();
        let once: BTreeSet<&&String> = named.iter().collect();
        let cases = [
            (once.len() == named.len(), "regions", "each hall in one region"),
            (named.iter().all(|hall| !hall.contains('/')), "regions", "names of halls without `/`"),
            (part(self.healthy_loss), "sound_loses", "over 0, below 1"),
            (
                part(self.unreachable_loss) && self.unreachable_loss > self.healthy_loss,
                "dark_loses",
                "above `sound_loses`, below 1",
            ),
            ((5.0..=100.0).contains(&self.alarm_log_likelihood), "alarm", "5 to 100"),
            ((1..=1000).contains(&self.witnesses), "witnesses", "1 to 1000"),
            ((1..=100).contains(&self.witness_zones), "halls_of_witnesses", "1 to 100"),
            (times(self.slow_ratio), "slow", "over 1, up to 100"),
            (over_0(self.slow_for), "slow_for", "over 0, up to 1h"),
            ((0.0..1.0).contains(&self.min_remaining_capacity), "floor", "0 to below 1"),
            ((1..=100).contains(&self.max_concurrent_failovers), "at_once", "1 to 100"),
            (over_0(self.cooldown), "rest", "over 0, up to 1h"),
            (
                over_0(self.max_cooldown) && self.max_cooldown >= self.cooldown,
                "rest_most",
                "`rest` or more, up to 1h",
            ),
            (over_0(self.flap_window), "soon", "over 0, up to 1h"),
            ((0.1..=1000.0).contains(&self.probes_per_s), "probes", "0.1 to 1000"),
            ((1..=1000).contains(&self.probes_required), "probes_good", "1 to 1000"),
            (part(self.first_step_share), "first_step", "over 0, below 1"),
            (times(self.step_factor), "step", "over 1, up to 100"),
            (over_0(self.min_step), "step_least", "over 0, up to 1h"),
            (over_0(self.grant_validity), "grant", "over 0, up to 1h"),
            (
                over_0(self.autonomous_after) && self.autonomous_after > self.grant_validity,
                "alone_after",
                "longer than `grant`, up to 1h",
            ),
        ];
        let wrong = cases.into_iter().filter(|(ok, ..)| !ok);
        wrong.map(|(_, field, allowed)| (format!("places.{field}"), allowed)).collect()
    }
}

impl FleetConfig {
    /// Reads a file.
    ///
    /// # Errors
    /// All that is wrong with it, by field.
    pub fn read(path: &Path) -> Result<FleetConfig, String> {
        let named = |problem: String| format!("{}: {problem}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
        let config: FleetConfig = toml::from_str(&text).map_err(|e| named(e.to_string()))?;
        let problems = config.problems();
        let lines: Vec<String> =
            problems.into_iter().map(|(field, allowed)| format!("{field}: allowed: {allowed}")).collect();
        if lines.is_empty() { Ok(config) } else { Err(named(lines.join("\n"))) }
    }

    /// All that makes no sense: the field, and what is allowed.
    pub fn problems(&self) -> Vec<(String, &'static str)> {
        let mut problems = Vec::new();
        let mut wants = |ok: bool, field: String, allowed: &'static str| {
            if !ok {
                problems.push((field, allowed));
            }
        };
        let name =
            |name: &str| (1..=80).contains(&name.len()) && name.chars().all(|c| c.is_ascii_graphic());
        wants(name(&self.name), "name".to_owned(), "1 to 80 visible characters");
        wants(self.listen.ip().is_loopback(), "listen".to_owned(), "on loopback");
        wants(
            (1..=KEEPERS_MOST).contains(&self.consensus_servers.len()),
            "keepers".to_owned(),
            "1 to 9, best 3 or 5",
        );
        let text = |text: &str| text.len() <= 80 && text.chars().all(|c| c.is_ascii_graphic());
        wants(text(&self.zone), "hall".to_owned(), "up to 80 visible characters");
        wants(
            self.advertise.is_none_or(|at| at.ip().is_loopback() && at.port() > 0),
            "advertise".to_owned(),
            "on loopback, with a port",
        );
        for (field, places) in [
            ("hall", self.consensus_servers.iter().map(|k| &k.zone).collect::<Vec<_>>()),
            ("region", self.consensus_servers.iter().map(|k| &k.region).collect()),
        ] {
            let distinct: BTreeSet<_> = places.iter().filter(|place| !place.is_empty()).collect();
            // Of two places one always holds half.
            for place in distinct.iter().filter(|_| distinct.len() > 2) {
                let here = places.iter().filter(|other| **other == **place).count();
                wants(
                    here <= self.consensus_servers.len() - (self.consensus_servers.len() / 2 + 1),
                    format!("keepers.{field} `{place}`"),
                    "so few keepers that a majority is left without them",
                );
            }
        }
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        for (n, keeper) in self.consensus_servers.iter().enumerate() {
            wants(
                keeper.id > 0 && ids.insert(keeper.id),
                format!("keepers[{n}].id"),
                "1 or more, each once",
            );
            let own = name(&keeper.name) && names.insert(&keeper.name);
            wants(own, format!("keepers[{n}].name"), "a name of its own");
            wants(text(&keeper.zone), format!("keepers[{n}].hall"), "up to 80 visible characters");
            wants(text(&keeper.region), format!("keepers[{n}].region"), "up to 80 visible characters");
        }
        for (n, peer) in self.peers.iter().enumerate() {
            let own = name(&peer.name) && peer.name != self.name && names.insert(&peer.name);
            wants(own, format!("peers[{n}].name"), "a name of its own, and not this process's");
        }
        for (field, allowed) in self.zone_failover.problems() {
            wants(false, field, allowed);
        }
        let other = self.other_key.as_ref().is_none_or(|other| other.number != self.key.number);
        wants(other, "other_key.number".to_owned(), "another number than `key`");
        problems
    }

    /// Where others reach this process.
    pub fn reached_at(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// This process's keeper number, if it is one.
    pub fn server_id(&self) -> Option<u64> {
        self.consensus_servers.iter().find(|keeper| keeper.name == self.name).map(|keeper| keeper.id)
    }
}
