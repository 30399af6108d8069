//! Who is where: a spec's groups and halls written out, and what each fault strikes.

use crate::fault::{FaultSpec, Kind, Strikes};
use crate::spec::RigSpec;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg32;
use std::time::Duration;

/// Processes and endpoints at the most.
pub const MEMBERS_MOST: usize = 5000;

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A sidecar.
    Sidecar,
    /// An endpoint: served by its hall's stand-ins.
    Endpoint,
    /// A hall's stand-ins: one process for all its endpoints.
    Standins,
    /// Discovery.
    Discovery,
    /// A process of `[[processes]]`.
    Other,
}

/// A name by which a member can be called, and where it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Side {
    /// Its own name; empty for a site that several share.
    pub name: String,
    /// Its group.
    pub group: String,
    /// Its hall, if it is in one.
    pub hall: Option<String>,
    /// That hall's region.
    pub region: Option<String>,
}

impl Side {
    /// Whether a name of the schedule calls it.
    pub fn is(&self, name: &str) -> bool {
        match name.split_once('@') {
            Some((group, hall)) => self.group == group && self.hall.as_deref() == Some(hall),
            None => {
                name == self.name
                    || name == self.group
                    || self.hall.as_deref() == Some(name)
                    || self.region.as_deref() == Some(name)
            }
        }
    }

    /// Whether one of these names calls it.
    pub fn is_one_of(&self, names: &[String]) -> bool {
        names.iter().any(|name| self.is(name))
    }
}

/// A process or an endpoint.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name: the group's, the hall's and a number.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Where it is.
    pub side: Side,
    /// Which of its kind it is: the sidecars', the endpoints' or the others' number, from 0.
    pub number: usize,
    /// Its group's place in the file.
    pub group: usize,
    /// Its place in its hall: the fourth octet of its address.
    pub place: u8,
}

impl Member {
    /// Whether a name of the schedule calls it.
    pub fn is(&self, name: &str) -> bool {
        self.side.is(name)
    }

    /// Who shares its links: the others of its group in its hall, or nobody.
    pub fn site(&self, spec: &RigSpec) -> Side {
        let own = self.role == Role::Sidecar && spec.sidecars[self.group].own_links;
        let shared = self.role == Role::Sidecar && !own;
        Side { name: if shared { String::new() } else { self.name.clone() }, ..self.side.clone() }
    }
}

/// All members of a spec, hall by hall.
pub fn members(spec: &RigSpec) -> Vec<Member> {
    let mut all = Vec::new();
    let mut numbers = [0_usize; 3];
    let mut add = |all: &mut Vec<Member>,
                   role,
                   group: (&str, usize),
                   hall: Option<&(String, String)>,
                   name,
                   place: &mut u8| {
        let side = Side {
            name,
            group: group.0.to_owned(),
            hall: hall.map(|hall| hall.0.clone()),
            region: hall.map(|hall| hall.1.clone()),
        };
        let counted = match role {
            Role::Sidecar => Some(0),
            Role::Endpoint => Some(1),
            Role::Other => Some(2),
            Role::Standins | Role::Discovery => None,
        };
        let number = counted.map_or(0, |kind| {
            numbers[kind] += 1;
            numbers[kind] - 1
        });
        *place = place.saturating_add(1);
        if all.len() < MEMBERS_MOST {
            all.push(Member { name: side.name.clone(), role, side, number, group: group.1, place: *place });
        }
    };
    for hall in &spec.halls() {
        let mut place = 0;
        let here = |halls: &[String]| halls.is_empty() || halls.contains(&hall.0);
        let groups = spec.sidecars.iter().map(|g| (Role::Sidecar, &g.name, &g.halls, g.count)).enumerate();
        let endpoints =
            spec.endpoints.iter().map(|g| (Role::Endpoint, &g.name, &g.halls, g.count)).enumerate();
        let others = spec.processes.iter().map(|g| (Role::Other, &g.name, &g.halls, g.count)).enumerate();
        let mut serves = false;
        for (g, (role, name, _, count)) in
            groups.chain(endpoints).chain(others).filter(|(_, group)| here(group.2))
        {
            serves |= role == Role::Endpoint;
            for n in 1..=count.min(MEMBERS_MOST) {
                add(&mut all, role, (name, g), Some(hall), format!("{name}-{}-{n}", hall.0), &mut place);
            }
        }
        if serves {
            add(
                &mut all,
                Role::Standins,
                ("standins", 0),
                Some(hall),
                format!("standins-{}", hall.0),
                &mut place,
            );
        }
    }
    let halls = spec.halls();
    let hall = spec.discovery.hall.as_ref().and_then(|name| halls.iter().find(|(hall, _)| hall == name));
    // Discovery has addresses of its own.
    add(&mut all, Role::Discovery, ("discovery", 0), hall, "discovery".to_owned(), &mut 0);
    all
}

/// A time in which a place is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The fault's number.
    pub fault: usize,
    /// The endpoints that are lost, by their place among the members.
    pub endpoints: Vec<usize>,
    /// Only those on the other side of a border lose them.
    pub border: bool,
    /// From then on ...
    pub begin: Duration,
    /// ... until then.
    pub end: Duration,
}

/// A spec written out.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it was written out from.
    pub spec: RigSpec,
    /// All that is there.
    pub members: Vec<Member>,
    /// What each fault strikes, by places among the members, in the order of the members.
    pub struck: Vec<Vec<usize>>,
}

impl Plan {
    /// Writes a spec out; what is drawn follows from its seed.
    pub fn new(spec: RigSpec) -> Plan {
        let members = members(&spec);
        let struck =
            spec.faults.iter().enumerate().map(|(n, fault)| struck(&spec, n, fault, &members)).collect();
        Plan { spec, members, struck }
    }

    /// Members of a kind, with their places.
    pub fn of(&self, role: Role) -> impl Iterator<Item = (usize, &Member)> {
        self.members.iter().enumerate().filter(move |(_, member)| member.role == role)
    }

    /// When which places are lost; a flapping one each time by itself.
    pub fn losses(&self) -> Vec<Loss> {
        let mut all = Vec::new();
        for (fault, spec) in self.spec.faults.iter().enumerate().filter(|(_, fault)| fault.loses_a_place())
        {
            let endpoint = |n: &usize| self.members[*n].role == Role::Endpoint;
            let endpoints: Vec<usize> = self.struck[fault].iter().copied().filter(endpoint).collect();
            let border = spec.what == Kind::CutOff;
            for (begin, end) in spec.times(self.spec.lasts.0) {
                all.push(Loss { fault, endpoints: endpoints.clone(), border, begin, end });
            }
        }
        all
    }
}

impl FaultSpec {
    /// When it holds, until the run's end at the latest; a flapping one holds again and again, and what happens at once
    /// for no time.
    pub fn times(&self, lasts: Duration) -> Vec<(Duration, Duration)> {
        let begin = self.at.0;
        if matches!(self.what, Kind::Restart | Kind::Roll) {
            return vec![(begin, begin)];
        }
        let end = self.lasts.map_or(lasts, |lasts| begin + lasts.0);
        let Some(every) = self.every.filter(|_| self.what == Kind::Flap) else { return vec![(begin, end)] };
        let mut times = Vec::new();
        let mut at = begin;
        while at < end && times.len() < 10_000 {
            times.push((at, (at + every.0).min(end)));
            at += every.0 * 2;
        }
        times
    }
}

/// The members that a fault strikes.
fn struck(spec: &RigSpec, n: usize, fault: &FaultSpec, members: &[Member]) -> Vec<usize> {
    let fits = |role: Role| match fault.what.strikes() {
        Strikes::Links | Strikes::Discovery => false,
        Strikes::Endpoints | Strikes::Borders => role == Role::Endpoint,
        Strikes::Sidecars => role == Role::Sidecar,
        Strikes::Processes => role != Role::Endpoint,
    };
    let named = |member: &Member| fits(member.role) && member.side.is_one_of(&fault.on);
    let mut all: Vec<usize> = (0..members.len()).filter(|n| named(&members[*n])).collect();
    if let Some(part) = fault.part {
        let mut draws = Pcg32::seed_from_u64(spec.seed.wrapping_mul(0x9e37_79b9).wrapping_add(n as u64));
        all.shuffle(&mut draws);
        all.truncate(((all.len() as f64 * part).round() as usize).max(1));
        all.sort_unstable();
    }
    all
}
