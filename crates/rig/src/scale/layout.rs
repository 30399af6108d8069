//! Who is where: zones, services, addresses and ports of a scale run.

use crate::scale::spec::{REGIONS, ScaleSpec};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The zones that have a consensus server each, in the order of the servers' numbers: no zone's or region's loss takes the
/// majority.
const SERVER_ZONES: [usize; 5] = [0, 3, 5, 1, 4];
/// The zone that is lost and comes back.
pub const LOST_ZONE: usize = 4;
/// The region that is cut off.
pub const CUT_REGION: &str = "south";
/// Fourth octets of a zone's addresses: its server, hollow processes, real sidecars, and its gateway.
const SERVER_OCTET: u8 = 2;
const HOLLOW_OCTET: u8 = 10;
const REAL_OCTET: u8 = 100;
const GATEWAY_OCTET: u8 = 250;
/// The third octet of discovery, the stand-ins and the operator.
const COMMON_OCTET: u8 = 250;
/// First ports, all below those that the system gives out by itself.
const SERVER_PORT: u16 = 7400;
const PLANE_PORT: u16 = 20_000;
const DOOR_PORT: u16 = 10_000;
const DISCOVERY_PORT: u16 = 7100;
const SERVE_PORT: u16 = 8100;
/// Where a real sidecar listens, for clients, operators and its fleet.
pub const REAL_PORTS: [u16; 3] = [7070, 7071, 7072];

/// A zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub name: &'static str,
    /// Its region's.
    pub region: &'static str,
}

/// A consensus server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its number, from 1.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// Its zone, by number.
    pub zone: usize,
    /// Where it listens ...
    pub listen: SocketAddr,
    /// ... and where others reach it.
    pub door: SocketAddr,
}

/// A sidecar, real or hollow.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Its name.
    pub name: String,
    /// Its zone, by number.
    pub zone: usize,
    /// The service that it stands before.
    pub service: usize,
    /// It is a process of its own.
    pub real: bool,
    /// Where its part of the fleet listens ...
    pub listen: SocketAddr,
    /// ... and where others reach it.
    pub door: SocketAddr,
}

/// A hollow process.
#[derive(Clone, Debug)]
pub struct Hollow {
    /// Its name.
    pub name: String,
    /// Its zone, by number.
    pub zone: usize,
    /// Its sidecars, by number in the layout.
    pub sidecars: Vec<usize>,
}

/// All that is there.
#[derive(Clone, Debug)]
pub struct Layout {
    octet: u8,
    /// The zones.
    pub zones: Vec<Zone>,
    /// The consensus servers.
    pub servers: Vec<Server>,
    /// The sidecars, zone by zone.
    pub sidecars: Vec<Sidecar>,
    /// The hollow processes.
    pub hollow: Vec<Hollow>,
    /// Services.
    pub services: usize,
}

impl Layout {
    /// Writes a spec out, on addresses with this second octet.
    pub fn new(spec: &ScaleSpec, octet: u8) -> Layout {
        let zones = zones();
        let services = spec.services();
        let mut layout = Layout {
            octet,
            zones,
            servers: Vec::new(),
            sidecars: Vec::new(),
            hollow: Vec::new(),
            services,
        };
        layout.servers = (0..spec.servers).map(|n| layout.server(n)).collect();
        for zone in 0..layout.zones.len() {
            layout.add_zone(spec, zone);
        }
        layout
    }

    fn server(&self, n: usize) -> Server {
        let zone = SERVER_ZONES[n];
        Server {
            id: n as u64 + 1,
            name: format!("server-{}", self.zones[zone].name),
            zone,
            listen: self.at(zone, SERVER_OCTET, SERVER_PORT),
            door: self.at(zone, GATEWAY_OCTET, SERVER_PORT),
        }
    }

    fn add_zone(&mut self, spec: &ScaleSpec, zone: usize) {
        let zones = self.zones.len();
        let part = |all: usize, n: usize, of: usize| all * (n + 1) / of - all * n / of;
        // No real sidecar is where the zone is lost: its requests would be lost with it, and excused.
        let spared = if zone < LOST_ZONE { Some(zone) } else { zone.checked_sub(1) };
        let real = spared.filter(|_| zone != LOST_ZONE).map_or(0, |n| part(spec.real, n, zones - 1));
        let hollow = part(spec.size - spec.real, zone, zones);
        for n in 0..real {
            let listen = self.at(zone, REAL_OCTET + n as u8, REAL_PORTS[2]);
            self.add_sidecar(zone, n, listen, true);
        }
        let processes = hollow.div_ceil(spec.per_process);
        for process in 0..processes {
            let count = hollow * (process + 1) / processes - hollow * process / processes;
            let first = self.sidecars.len();
            for n in 0..count {
                let listen = self.at(zone, HOLLOW_OCTET + process as u8, PLANE_PORT + n as u16);
                let in_zone = real + hollow * process / processes + n;
                self.add_sidecar(zone, in_zone, listen, false);
            }
            self.hollow.push(Hollow {
                name: format!("hollow-{}-{}", self.zones[zone].name, process + 1),
                zone,
                sidecars: (first..first + count).collect(),
            });
        }
    }

    fn add_sidecar(&mut self, zone: usize, in_zone: usize, listen: SocketAddr, real: bool) {
        let kind = if real { "real" } else { "hollow" };
        self.sidecars.push(Sidecar {
            name: format!("{kind}-{}-{in_zone}", self.zones[zone].name),
            zone,
            service: self.sidecars.len() % self.services,
            real,
            listen,
            door: self.at(zone, GATEWAY_OCTET, DOOR_PORT + in_zone as u16),
        });
    }

    fn at(&self, zone: usize, fourth: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.octet, zone as u8 + 1, fourth), port))
    }

    fn common(&self, fourth: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.octet, COMMON_OCTET, fourth), port))
    }

    /// Where a service's list is told.
    pub fn discovery(&self, service: usize) -> SocketAddr {
        self.common(1, DISCOVERY_PORT + service as u16)
    }

    /// Where faults of that are ordered.
    pub fn discovery_control(&self, service: usize) -> SocketAddr {
        self.common(2, DISCOVERY_PORT + service as u16)
    }

    /// Where the list of the real sidecars' called service is told, and ordered.
    pub fn served(&self) -> (SocketAddr, SocketAddr) {
        (self.common(3, DISCOVERY_PORT), self.common(4, DISCOVERY_PORT))
    }

    /// Where an endpoint of that service listens.
    pub fn endpoint(&self, zone: usize, n: usize) -> SocketAddr {
        self.common(zone as u8 + 10, SERVE_PORT + n as u16)
    }

    /// Where the operator calls from.
    pub fn operator(&self) -> SocketAddr {
        self.common(5, SERVER_PORT)
    }

    /// Where a hollow sidecar's endpoint would serve; nobody is there.
    pub fn hollow_endpoint(&self, sidecar: &Sidecar) -> SocketAddr {
        SocketAddr::new(sidecar.listen.ip(), 1)
    }

    /// The service that a service's endpoints call.
    pub fn called(&self, service: usize) -> usize {
        (service + 1) % self.services
    }

    /// The zone that each address is in.
    pub fn addresses(&self) -> Vec<(IpAddr, String)> {
        let name = |zone: usize| self.zones[zone].name.to_owned();
        let servers = self.servers.iter().map(|server| (server.listen.ip(), name(server.zone)));
        let sidecars = self.sidecars.iter().map(|sidecar| (sidecar.listen.ip(), name(sidecar.zone)));
        let mut all: Vec<_> = servers.chain(sidecars).collect();
        all.sort();
        all.dedup();
        all
    }

    /// The doors of a zone's gateway.
    pub fn doors(&self, zone: usize) -> Vec<(SocketAddr, SocketAddr)> {
        let servers = self.servers.iter().filter(|server| server.zone == zone);
        let sidecars = self.sidecars.iter().filter(|sidecar| sidecar.zone == zone);
        let servers = servers.map(|server| (server.door, server.listen));
        servers.chain(sidecars.map(|sidecar| (sidecar.door, sidecar.listen))).collect()
    }

    /// The zones of a region.
    pub fn zones_of(&self, region: &str) -> Vec<usize> {
        (0..self.zones.len()).filter(|zone| self.zones[*zone].region == region).collect()
    }
}

fn zones() -> Vec<Zone> {
    let of = |(region, names): &(&'static str, &'static [&'static str])| {
        let region = *region;
        names.iter().map(move |name| Zone { name, region }).collect::<Vec<_>>()
    };
    REGIONS.iter().flat_map(of).collect()
}
