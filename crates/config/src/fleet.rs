//! The settings of a process's part in the control plane: a file of its own for a consensus server or a
//! subscriber, the `[fleet]` section of its file for a sidecar.
//!
//! Fields are renamed for serde: keys keep the names that operators use.

use crate::units::Span;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The maximum number of consensus servers. Five already survive two failures; more only make agreement
/// slower.
const MAX_CONSENSUS_SERVERS: usize = 9;

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The name of the process, unique in the fleet.
    pub name: String,
    /// The address on which it listens, for streams and for datagrams, and from which it connects and
    /// sends.
    pub listen: SocketAddr,
    /// The address at which others reach it, if that is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// The zone of the process; empty if it has none. A sidecar takes that of its own file.
    #[serde(default)]
    #[serde(rename = "hall")]
    pub zone: String,
    /// The folder of its state. No other process may use it.
    pub state_dir: PathBuf,
    /// The key that authenticates messages, both sent and received ones.
    pub key: KeyConfig,
    /// A further key that is accepted in received messages while keys are rotated.
    pub other_key: Option<KeyConfig>,
    /// The consensus servers of the fleet.
    #[serde(rename = "keepers")]
    pub consensus_servers: Vec<ConsensusServerConfig>,
    /// Further processes that are asked for the fleet view while no consensus server can be reached.
    #[serde(default)]
    pub peers: Vec<PeerConfig>,
    /// How zones fail over and recover.
    #[serde(default)]
    #[serde(rename = "places")]
    pub zone_failover: ZoneFailoverConfig,
    /// For tests: an offset in milliseconds to the wall clock that the control plane reads.
    #[serde(default)]
    pub clock_ahead_ms: i64,
    /// This consensus server joins an existing fleet. Its id must never have been used, and its folder must
    /// be empty.
    #[serde(default)]
    pub joins: bool,
}

/// A key for message authentication.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// The number that messages state, to tell keys apart during a rotation.
    pub number: u8,
    /// The file with its 64 hexadecimal digits. A file that other users can read is rejected.
    pub file: PathBuf,
}

/// A consensus server, as other processes know it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConsensusServerConfig {
    /// Its raft id, 1 or more. An id is never reused for another server.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// The address at which this process reaches it.
    pub address: SocketAddr,
    /// Its zone; empty if unknown. With three or more zones no zone may contain so many servers that the
    /// others are no majority.
    #[serde(default)]
    #[serde(rename = "hall")]
    pub zone: String,
    /// Its region; empty if unknown. The same rule holds for regions.
    #[serde(default)]
    pub region: String,
}

/// A peer, as other processes know it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Its name.
    pub name: String,
    /// The address at which this process reaches it.
    pub address: SocketAddr,
}

/// How zones fail over and recover. Consensus servers decide by these settings, and so does a sidecar that
/// has lost contact to them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneFailoverConfig {
    /// Whether consensus servers decide on failovers by themselves. If not, only operators' overrides do.
    pub automatic: bool,
    /// The zones of each region. A zone that is in no list is a region of its own.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The largest share of calls into a zone that is lost while the zone is healthy, 0 to 1.
    #[serde(rename = "sound_loses")]
    pub healthy_loss: f64,
    /// The smallest share of calls into a zone that is lost while the zone is unreachable, 0 to 1.
    #[serde(rename = "dark_loses")]
    pub unreachable_loss: f64,
    /// The log-likelihood ratio at which a zone counts as unreachable: how much likelier the observed
    /// outcomes must be for an unreachable zone than for a healthy one, as a natural logarithm. 20 means
    /// 500 million to 1.
    #[serde(rename = "alarm")]
    pub alarm_log_likelihood: f64,
    /// The minimum number of sidecars that must lose calls into a zone; all of them if there are fewer.
    pub witnesses: u32,
    /// The minimum number of zones that these sidecars must be in; all of them if there are fewer.
    #[serde(rename = "halls_of_witnesses")]
    pub witness_zones: u32,
    /// A zone is slow if its latency ratio is more than this many times the one of before, and more than
    /// half this many times the median of the other zones of its tier ...
    #[serde(rename = "slow")]
    pub slow_ratio: f64,
    /// ... for this long.
    pub slow_for: Span,
    /// The minimum share of the fleet's capacity that a failover has to leave in service, 0 to 1.
    #[serde(rename = "floor")]
    pub min_remaining_capacity: f64,
    /// The maximum number of automatic failovers at the same time. Zones of one region count as one.
    #[serde(rename = "at_once")]
    pub max_concurrent_failovers: u32,
    /// The wait before the recovery of a zone begins. It doubles with each failover within `flap_window` of
    /// a recovery ...
    #[serde(rename = "rest")]
    pub cooldown: Span,
    /// ... up to this maximum.
    #[serde(rename = "rest_most")]
    pub max_cooldown: Span,
    /// A failover within this time of the zone's recovery counts as flapping.
    #[serde(rename = "soon")]
    pub flap_window: Span,
    /// The rate of probes into a zone that may have recovered, per second and of the whole fleet together.
    #[serde(rename = "probes")]
    pub probes_per_s: f64,
    /// The number of consecutive answered probes that starts the recovery ramp.
    #[serde(rename = "probes_good")]
    pub probes_required: u32,
    /// The first step of the recovery ramp, as a share of the zone's load before its failover.
    #[serde(rename = "first_step")]
    pub first_step_share: f64,
    /// The factor from each step of the ramp to the next.
    #[serde(rename = "step")]
    pub step_factor: f64,
    /// The minimum duration of a step.
    #[serde(rename = "step_least")]
    pub min_step: Span,
    /// How long a sidecar's grant for a returning zone is valid unless it is renewed.
    #[serde(rename = "grant")]
    pub grant_validity: Span,
    /// A sidecar whose view no consensus server has confirmed for this long decides by its own calls.
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
    /// All invalid settings: the field, and what is allowed.
    fn problems(&self) -> Vec<(String, &'static str)> {
        let is_share = |n: f64| n > 0.0 && n < 1.0;
        let is_factor = |n: f64| n > 1.0 && n <= 100.0;
        let is_time = |span: Span| !span.0.is_zero() && span.0 <= Duration::from_secs(3600);
        let zones: Vec<&String> = self.regions.values().flatten().collect();
        let distinct_zones: BTreeSet<&&String> = zones.iter().collect();
        let cases = [
            (distinct_zones.len() == zones.len(), "regions", "each zone in one region"),
            (zones.iter().all(|zone| !zone.contains('/')), "regions", "names of zones without `/`"),
            (is_share(self.healthy_loss), "sound_loses", "over 0, below 1"),
            (
                is_share(self.unreachable_loss) && self.unreachable_loss > self.healthy_loss,
                "dark_loses",
                "above `sound_loses`, below 1",
            ),
            ((5.0..=100.0).contains(&self.alarm_log_likelihood), "alarm", "5 to 100"),
            ((1..=1000).contains(&self.witnesses), "witnesses", "1 to 1000"),
            ((1..=100).contains(&self.witness_zones), "halls_of_witnesses", "1 to 100"),
            (is_factor(self.slow_ratio), "slow", "over 1, up to 100"),
            (is_time(self.slow_for), "slow_for", "over 0, up to 1h"),
            ((0.0..1.0).contains(&self.min_remaining_capacity), "floor", "0 to below 1"),
            ((1..=100).contains(&self.max_concurrent_failovers), "at_once", "1 to 100"),
            (is_time(self.cooldown), "rest", "over 0, up to 1h"),
            (
                is_time(self.max_cooldown) && self.max_cooldown >= self.cooldown,
                "rest_most",
                "`rest` or more, up to 1h",
            ),
            (is_time(self.flap_window), "soon", "over 0, up to 1h"),
            ((0.1..=1000.0).contains(&self.probes_per_s), "probes", "0.1 to 1000"),
            ((1..=1000).contains(&self.probes_required), "probes_good", "1 to 1000"),
            (is_share(self.first_step_share), "first_step", "over 0, below 1"),
            (is_factor(self.step_factor), "step", "over 1, up to 100"),
            (is_time(self.min_step), "step_least", "over 0, up to 1h"),
            (is_time(self.grant_validity), "grant", "over 0, up to 1h"),
            (
                is_time(self.autonomous_after) && self.autonomous_after > self.grant_validity,
                "alone_after",
                "longer than `grant`, up to 1h",
            ),
        ];
        let invalid = cases.into_iter().filter(|(is_valid, ..)| !is_valid);
        invalid.map(|(_, field, allowed)| (format!("places.{field}"), allowed)).collect()
    }
}

/// Collects invalid fields, and what is allowed in each.
#[derive(Default)]
struct FieldChecks {
    problems: Vec<(String, &'static str)>,
}

impl FieldChecks {
    fn require(&mut self, is_valid: bool, field: impl Into<String>, allowed: &'static str) {
        if !is_valid {
            self.problems.push((field.into(), allowed));
        }
    }
}

/// Whether a text can be the name of a process.
fn is_name(text: &str) -> bool {
    !text.is_empty() && is_label(text)
}

/// Whether a text can be the name of a zone or region. It may be empty.
fn is_label(text: &str) -> bool {
    text.len() <= 80 && text.chars().all(|c| c.is_ascii_graphic())
}

impl FleetConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Returns why the file can't be read, or all invalid fields, one a line.
    pub fn read(path: &Path) -> Result<FleetConfig, String> {
        let with_path = |problem: String| format!("{}: {problem}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
        let config: FleetConfig = toml::from_str(&text).map_err(|error| with_path(error.to_string()))?;
        let problems = config.problems();
        let lines: Vec<String> =
            problems.into_iter().map(|(field, allowed)| format!("{field}: allowed: {allowed}")).collect();
        if lines.is_empty() { Ok(config) } else { Err(with_path(lines.join("\n"))) }
    }

    /// All invalid settings: the field, and what is allowed.
    pub fn problems(&self) -> Vec<(String, &'static str)> {
        let mut checks = FieldChecks::default();
        self.check_process(&mut checks);
        self.check_majorities(&mut checks);
        self.check_names(&mut checks);
        checks.problems.extend(self.zone_failover.problems());
        let has_other_number = self.other_key.as_ref().is_none_or(|other| other.number != self.key.number);
        checks.require(has_other_number, "other_key.number", "another number than `key`");
        checks.problems
    }

    fn check_process(&self, checks: &mut FieldChecks) {
        checks.require(is_name(&self.name), "name", "1 to 80 visible characters");
        checks.require(self.listen.ip().is_loopback(), "listen", "on loopback");
        let has_servers = (1..=MAX_CONSENSUS_SERVERS).contains(&self.consensus_servers.len());
        checks.require(has_servers, "keepers", "1 to 9, best 3 or 5");
        checks.require(is_label(&self.zone), "hall", "up to 80 visible characters");
        let is_reachable = self.advertise.is_none_or(|at| at.ip().is_loopback() && at.port() > 0);
        checks.require(is_reachable, "advertise", "on loopback, with a port");
    }

    /// Checks that a majority of the consensus servers is left after the loss of any one zone or region.
    fn check_majorities(&self, checks: &mut FieldChecks) {
        let servers = &self.consensus_servers;
        let zones: Vec<&str> = servers.iter().map(|server| server.zone.as_str()).collect();
        let regions: Vec<&str> = servers.iter().map(|server| server.region.as_str()).collect();
        let majority = servers.len() / 2 + 1;
        for (field, domains) in [("hall", zones), ("region", regions)] {
            let distinct: BTreeSet<&str> =
                domains.iter().copied().filter(|domain| !domain.is_empty()).collect();
            if distinct.len() <= 2 {
                continue; // one of two domains always has half of the servers
            }
            for domain in distinct {
                let lost = domains.iter().filter(|other| **other == domain).count();
                checks.require(
                    lost <= servers.len() - majority,
                    format!("keepers.{field} `{domain}`"),
                    "so few consensus servers that the others are a majority",
                );
            }
        }
    }

    /// Checks the consensus servers and peers one by one; names and ids have to be unique.
    fn check_names(&self, checks: &mut FieldChecks) {
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        for (n, server) in self.consensus_servers.iter().enumerate() {
            let has_own_id = server.id > 0 && ids.insert(server.id);
            checks.require(has_own_id, format!("keepers[{n}].id"), "1 or more, each once");
            let has_own_name = is_name(&server.name) && names.insert(&server.name);
            checks.require(has_own_name, format!("keepers[{n}].name"), "a name of its own");
            let labels = [("hall", &server.zone), ("region", &server.region)];
            for (field, label) in labels {
                let field = format!("keepers[{n}].{field}");
                checks.require(is_label(label), field, "up to 80 visible characters");
            }
        }
        for (n, peer) in self.peers.iter().enumerate() {
            let has_own_name = is_name(&peer.name) && peer.name != self.name && names.insert(&peer.name);
            let allowed = "a name of its own, and not this process's";
            checks.require(has_own_name, format!("peers[{n}].name"), allowed);
        }
    }

    /// The address at which others reach this process.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// The raft id of this process, if it is a consensus server.
    pub fn server_id(&self) -> Option<u64> {
        let server = self.consensus_servers.iter().find(|server| server.name == self.name);
        server.map(|server| server.id)
    }
}
