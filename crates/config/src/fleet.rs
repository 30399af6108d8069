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
    pub hall: String,
    /// Its folder; nobody else's.
    pub state_dir: PathBuf,
    /// The key that messages are written with.
    pub key: KeyConfig,
    /// Another one that is read too, while the key is changed.
    pub other_key: Option<KeyConfig>,
    /// The keepers.
    pub keepers: Vec<KeeperConfig>,
    /// Others that are asked where no keeper is reached.
    #[serde(default)]
    pub peers: Vec<PeerConfig>,
    /// How halls and regions are left, and returned to.
    #[serde(default)]
    pub places: PlacesConfig,
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
pub struct KeeperConfig {
    /// Its number, 1 or more; never used again for another.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// Where this process reaches it.
    pub address: SocketAddr,
    /// Its hall and region, where it is said: no hall's loss may take the majority, and no region's where there are three.
    #[serde(default)]
    pub hall: String,
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
pub struct PlacesConfig {
    /// Keepers move halls by themselves; else only by hand.
    pub automatic: bool,
    /// Each region's halls; a hall that is named in none stands for itself.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The largest part of the calls into a hall that is lost while it is sound ...
    pub sound_loses: f64,
    /// ... and the least while it is dark.
    pub dark_loses: f64,
    /// The logarithm of how much likelier what was seen must be in a dark hall than in a sound one: 20 is 500 million to 1.
    pub alarm: f64,
    /// Sidecars that must lose by a hall, at the least, where there are so many.
    pub witnesses: u32,
    /// Halls that these must be in, at the least, where there are so many.
    pub halls_of_witnesses: u32,
    /// A hall is slow whose answers take so many times as long as before, and as those of the others ...
    pub slow: f64,
    /// ... for so long.
    pub slow_for: Span,
    /// Never is so much left that a smaller part than this of the fleet's room stays, 0 to 1.
    pub floor: f64,
    /// Halls that may be left at once by themselves, at the most; those of one region count as one.
    pub at_once: u32,
    /// A hall that was left is let be for so long, doubled each time that it is left again soon ...
    pub rest: Span,
    /// ... up to this.
    pub rest_most: Span,
    /// Soon is within this of its return.
    pub soon: Span,
    /// Probes a second into a hall that may have come back, of the whole fleet together.
    pub probes: f64,
    /// Answered probes in a row that let calls in again.
    pub probes_good: u32,
    /// The first step of a return: a part of what the hall bore before.
    pub first_step: f64,
    /// Each step lets in so many times as much as the one before.
    pub step: f64,
    /// A step lasts so long, at the least.
    pub step_least: Span,
    /// What a sidecar may send into a returning hall it may for so long, unless a keeper says so again.
    pub grant: Span,
    /// A sidecar that no keeper has confirmed the view for so long goes by its own calls.
    pub alone_after: Span,
}

impl Default for PlacesConfig {
    fn default() -> Self {
        let ms = |ms| Span(Duration::from_millis(ms));
        PlacesConfig {
            automatic: true,
            regions: BTreeMap::new(),
            sound_loses: 0.3,
            dark_loses: 0.9,
            alarm: 20.0,
            witnesses: 2,
            halls_of_witnesses: 2,
            slow: 4.0,
            slow_for: ms(2000),
            floor: 0.3,
            at_once: 2,
            rest: ms(1000),
            rest_most: ms(120_000),
            soon: ms(60_000),
            probes: 8.0,
            probes_good: 6,
            first_step: 0.2,
            step: 1.6,
            step_least: ms(400),
            grant: ms(1500),
            alone_after: ms(10_000),
        }
    }
}

impl PlacesConfig {
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
            (part(self.sound_loses), "sound_loses", "over 0, below 1"),
            (
                part(self.dark_loses) && self.dark_loses > self.sound_loses,
                "dark_loses",
                "above `sound_loses`, below 1",
            ),
            ((5.0..=100.0).contains(&self.alarm), "alarm", "5 to 100"),
            ((1..=1000).contains(&self.witnesses), "witnesses", "1 to 1000"),
            ((1..=100).contains(&self.halls_of_witnesses), "halls_of_witnesses", "1 to 100"),
            (times(self.slow), "slow", "over 1, up to 100"),
            (over_0(self.slow_for), "slow_for", "over 0, up to 1h"),
            ((0.0..1.0).contains(&self.floor), "floor", "0 to below 1"),
            ((1..=100).contains(&self.at_once), "at_once", "1 to 100"),
            (over_0(self.rest), "rest", "over 0, up to 1h"),
            (
                over_0(self.rest_most) && self.rest_most >= self.rest,
                "rest_most",
                "`rest` or more, up to 1h",
            ),
            (over_0(self.soon), "soon", "over 0, up to 1h"),
            ((0.1..=1000.0).contains(&self.probes), "probes", "0.1 to 1000"),
            ((1..=1000).contains(&self.probes_good), "probes_good", "1 to 1000"),
            (part(self.first_step), "first_step", "over 0, below 1"),
            (times(self.step), "step", "over 1, up to 100"),
            (over_0(self.step_least), "step_least", "over 0, up to 1h"),
            (over_0(self.grant), "grant", "over 0, up to 1h"),
            (
                over_0(self.alone_after) && self.alone_after > self.grant,
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
            (1..=KEEPERS_MOST).contains(&self.keepers.len()),
            "keepers".to_owned(),
            "1 to 9, best 3 or 5",
        );
        let text = |text: &str| text.len() <= 80 && text.chars().all(|c| c.is_ascii_graphic());
        wants(text(&self.hall), "hall".to_owned(), "up to 80 visible characters");
        wants(
            self.advertise.is_none_or(|at| at.ip().is_loopback() && at.port() > 0),
            "advertise".to_owned(),
            "on loopback, with a port",
        );
        for (field, places) in [
            ("hall", self.keepers.iter().map(|k| &k.hall).collect::<Vec<_>>()),
            ("region", self.keepers.iter().map(|k| &k.region).collect()),
        ] {
            let distinct: BTreeSet<_> = places.iter().filter(|place| !place.is_empty()).collect();
            // Of two places one always holds half.
            for place in distinct.iter().filter(|_| distinct.len() > 2) {
                let here = places.iter().filter(|other| **other == **place).count();
                wants(
                    here <= self.keepers.len() - (self.keepers.len() / 2 + 1),
                    format!("keepers.{field} `{place}`"),
                    "so few keepers that a majority is left without them",
                );
            }
        }
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        for (n, keeper) in self.keepers.iter().enumerate() {
            wants(
                keeper.id > 0 && ids.insert(keeper.id),
                format!("keepers[{n}].id"),
                "1 or more, each once",
            );
            let own = name(&keeper.name) && names.insert(&keeper.name);
            wants(own, format!("keepers[{n}].name"), "a name of its own");
            wants(text(&keeper.hall), format!("keepers[{n}].hall"), "up to 80 visible characters");
            wants(text(&keeper.region), format!("keepers[{n}].region"), "up to 80 visible characters");
        }
        for (n, peer) in self.peers.iter().enumerate() {
            let own = name(&peer.name) && peer.name != self.name && names.insert(&peer.name);
            wants(own, format!("peers[{n}].name"), "a name of its own, and not this process's");
        }
        for (field, allowed) in self.places.problems() {
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
    pub fn id(&self) -> Option<u64> {
        self.keepers.iter().find(|keeper| keeper.name == self.name).map(|keeper| keeper.id)
    }
}
