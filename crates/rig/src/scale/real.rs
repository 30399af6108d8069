//! Files of a scale run's real processes: sidecars, consensus servers, stand-ins, and the load's mix.

use crate::scale::layout::{Layout, REAL_PORTS, Server, Sidecar};
use crate::scale::spec::ScaleSpec;
use crate::spec::{ClassSpec, LoadSpec};
use crate::texts;
use curlewhub_config::RepeatPolicy;
use curlewhub_config::fleet::{
    ConsensusServerConfig, FleetConfig, KeyConfig, PeerConfig, ZoneFailoverConfig,
};
use curlewhub_config::units::{Size, Span};
use curlewhub_model::RetrySpec;
use curlewhub_standins::spec::{ClassSpec as Work, DirectorySpec, EndpointSpec, FleetSpec, MachineSpec};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The one class of requests.
const CLASS: &str = "call";
/// What a request costs an endpoint: little, so that the endpoints are never what is short.
const WORK: Duration = Duration::from_millis(2);
/// An answer in this time is worth all, and after the second nothing.
const OBJECTIVE: Duration = Duration::from_millis(1200);
const DEADLINE: Duration = Duration::from_secs(3);
/// Calls that a service's discovery handles a second, as the rig's stand-in does.
const DISCOVERY_CALLS_PER_S: f64 = 500.0;
/// A change shows in a list after this long.
const NOTICE: Duration = Duration::from_millis(200);
/// Endpoints of the service that real sidecars call, in each zone.
const ENDPOINTS_OF_A_ZONE: usize = 3;
/// Machines never run short of cores.
const CORES: u32 = 64;
/// The tier of the service that real sidecars call; a sidecar's file knows few tiers.
const REAL_TIER: i64 = 1;
/// Lines a second from one place of a real sidecar's log: what it acts on is read from there.
const LOG_LINES: i64 = 100_000;

/// Where the files of a run lie.
#[derive(Clone, Debug)]
pub struct Folders {
    /// Files and logs.
    pub run: PathBuf,
    /// State of sidecars.
    pub followers: PathBuf,
}

impl Folders {
    /// The fleet's key.
    pub fn key(&self) -> PathBuf {
        self.run.join("fleet.key")
    }
}

fn key(folders: &Folders) -> KeyConfig {
    KeyConfig { number: 1, file: folders.key() }
}

fn places(layout: &Layout) -> ZoneFailoverConfig {
    let mut regions: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for zone in &layout.zones {
        regions.entry(zone.region.to_owned()).or_default().push(zone.name.to_owned());
    }
    ZoneFailoverConfig { regions, ..ZoneFailoverConfig::default() }
}

fn servers(layout: &Layout, own: Option<u64>) -> Vec<ConsensusServerConfig> {
    let one = |server: &Server| ConsensusServerConfig {
        id: server.id,
        name: server.name.clone(),
        address: if own == Some(server.id) { server.listen } else { server.door },
        zone: layout.zones[server.zone].name.to_owned(),
        region: layout.zones[server.zone].region.to_owned(),
    };
    layout.servers.iter().map(one).collect()
}

fn fleet_config(layout: &Layout, folders: &Folders, name: &str, listen: SocketAddr) -> FleetConfig {
    FleetConfig {
        name: name.to_owned(),
        listen,
        advertise: None,
        zone: String::new(),
        state_dir: folders.followers.join(name),
        key: key(folders),
        other_key: None,
        consensus_servers: servers(layout, None),
        peers: Vec::new(),
        zone_failover: places(layout),
        clock_ahead_ms: 0,
        joins: false,
    }
}

/// A sidecar's part of the fleet.
pub fn of_sidecar(
    layout: &Layout,
    folders: &Folders,
    sidecar: &Sidecar,
    peers: Vec<PeerConfig>,
) -> FleetConfig {
    FleetConfig {
        advertise: Some(sidecar.door),
        zone: layout.zones[sidecar.zone].name.to_owned(),
        peers,
        ..fleet_config(layout, folders, &sidecar.name, sidecar.listen)
    }
}

/// A consensus server's file.
pub fn of_server(layout: &Layout, folders: &Folders, server: &Server) -> FleetConfig {
    FleetConfig {
        advertise: Some(server.door),
        zone: layout.zones[server.zone].name.to_owned(),
        state_dir: folders.run.join("state").join(&server.name),
        consensus_servers: servers(layout, Some(server.id)),
        ..fleet_config(layout, folders, &server.name, server.listen)
    }
}

/// The file of who has versions decided.
pub fn of_operator(layout: &Layout, folders: &Folders) -> FleetConfig {
    fleet_config(layout, folders, "operator", layout.operator())
}

/// A real sidecar's file.
///
/// # Errors
/// It can't be written as TOML.
pub fn sidecar_file(
    spec: &ScaleSpec,
    layout: &Layout,
    fleet: &FleetConfig,
    sidecar: &Sidecar,
    number: usize,
) -> Result<String, String> {
    #[derive(Serialize)]
    struct File<'a> {
        name: &'a str,
        listen: SocketAddr,
        operator: SocketAddr,
        state_dir: &'a Path,
        seed: String,
        zones: Vec<&'a str>,
        zone: &'a str,
        tier: i64,
        tiers: i64,
        balancers: usize,
        number: usize,
        log: toml::Table,
        discovery: toml::Table,
        classes: Vec<toml::Table>,
        fleet: toml::Table,
    }
    let at = |port: u16| SocketAddr::new(sidecar.listen.ip(), port);
    let mut part = toml::Table::try_from(fleet).map_err(|e| e.to_string())?;
    for field in ["name", "hall", "state_dir", "clock_ahead_ms", "joins"] {
        part.remove(field);
    }
    let table = |fields: &[(&str, toml::Value)]| {
        fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect::<toml::Table>()
    };
    let span = |time: Duration| toml::Value::from(humantime::format_duration(time).to_string());
    let file = File {
        name: &sidecar.name,
        listen: at(REAL_PORTS[0]),
        operator: at(REAL_PORTS[1]),
        state_dir: &fleet.state_dir,
        seed: format!("{:x}", spec.seed.wrapping_mul(1_000_003).wrapping_add(number as u64)),
        zones: layout.zones.iter().map(|zone| zone.name).collect(),
        zone: layout.zones[sidecar.zone].name,
        tier: REAL_TIER,
        tiers: REAL_TIER + 1,
        balancers: spec.real,
        number,
        log: table(&[
            ("level", "info".into()),
            ("format", "json".into()),
            ("per_second", LOG_LINES.into()),
        ]),
        discovery: table(&[("address", layout.served().0.to_string().into())]),
        classes: vec![table(&[
            ("name", CLASS.into()),
            ("repeat", "safe".into()),
            ("objective", span(OBJECTIVE)),
            ("deadline", span(DEADLINE)),
            ("worth", 1.0.into()),
        ])],
        fleet: part,
    };
    text(&file)
}

/// The stand-ins that real sidecars call, and their list.
///
/// # Errors
/// It makes no sense, by field.
pub fn served_file(spec: &ScaleSpec, layout: &Layout) -> Result<String, String> {
    let mut endpoints = Vec::new();
    for (zone, named) in layout.zones.iter().enumerate() {
        for n in 0..ENDPOINTS_OF_A_ZONE {
            let id = format!("endpoint-{}-{n}", named.name);
            endpoints.push(endpoint(id, layout.endpoint(zone, n), named.name, false));
        }
    }
    let (discovery, control) = layout.served();
    standins(spec, discovery, control, endpoints)
}

/// The list of a service whose endpoints are hollow.
///
/// # Errors
/// It makes no sense, by field.
pub fn listed_file(spec: &ScaleSpec, layout: &Layout, service: usize) -> Result<String, String> {
    let of = layout.sidecars.iter().filter(|sidecar| sidecar.service == service);
    let one = |sidecar: &Sidecar| {
        let zone = layout.zones[sidecar.zone].name;
        endpoint(sidecar.name.clone(), layout.hollow_endpoint(sidecar), zone, true)
    };
    let endpoints = of.map(one).collect();
    standins(spec, layout.discovery(service), layout.discovery_control(service), endpoints)
}

fn endpoint(id: String, at: SocketAddr, zone: &str, listed: bool) -> EndpointSpec {
    let machine =
        MachineSpec { cores: CORES, slots: 1024, queue: 1024, cold_share: 1.0, ..MachineSpec::default() };
    EndpointSpec {
        id,
        address: at,
        zone: zone.to_owned(),
        kind: String::new(),
        served_at: listed.then_some(at),
        machine,
    }
}

fn standins(
    spec: &ScaleSpec,
    discovery: SocketAddr,
    control: SocketAddr,
    endpoints: Vec<EndpointSpec>,
) -> Result<String, String> {
    let directory = DirectorySpec {
        calls_per_s: DISCOVERY_CALLS_PER_S,
        notice: Span(NOTICE),
        ..DirectorySpec::default()
    };
    let work = Work { name: CLASS.to_owned(), work: Span(WORK), cv: 0.0, window: Span::default() };
    let fleet = FleetSpec {
        seed: spec.seed,
        discovery,
        control,
        directory,
        classes: vec![work],
        endpoints,
        faults: Vec::new(),
        clock_ahead_ms: 0.0,
        cold: false,
    };
    let problems = fleet.problems();
    if problems.is_empty() { text(&fleet) } else { Err(problems.join("\n")) }
}

/// The load's mix.
///
/// # Errors
/// It can't be written as TOML.
pub fn mix_file(rate: f64) -> Result<String, String> {
    let class = ClassSpec {
        name: CLASS.to_owned(),
        share: 1.0,
        repeat: RepeatPolicy::Safe,
        window: Span::default(),
        objective: Span(OBJECTIVE),
        deadline: Span(DEADLINE),
        worth: 1.0,
        work: Span(WORK),
        cv: 0.0,
        body: Size(0),
    };
    texts::mix(&[class], &LoadSpec { rate, open_most: 4000, retry: RetrySpec::default() })
}

/// As a table first, which puts values before tables, as TOML wants it.
///
/// # Errors
/// It can't be written as TOML.
pub fn text(value: &impl Serialize) -> Result<String, String> {
    let table = toml::Table::try_from(value).map_err(|e| e.to_string())?;
    toml::to_string(&table).map_err(|e| e.to_string())
}
