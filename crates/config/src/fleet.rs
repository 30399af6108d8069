//! What a process of the fleet is told: in a file of its own, or in the `[fleet]` of a sidecar's.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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
