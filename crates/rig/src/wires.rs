//! The relays between a run's processes: one for each site and port, and what holds for its link.

use crate::door::{Door, Ways};
use crate::links::Link;
use crate::plan::{Role, Side};
use crate::relay::{AnyRelay, Datagrams, Passed, Relay};
use crate::run::Rig;
use crate::spec::Transport;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Third octet of the relays.
const RELAY_OCTET: u8 = 251;

/// The link from a site to one port.
pub(crate) struct Wire {
    from: Side,
    /// The member, by its place.
    to: usize,
    target: SocketAddr,
    at: SocketAddr,
    link: watch::Sender<Link>,
    pub(crate) passed: Rc<Passed>,
    /// Others come by the same address: the way is told by where they come from.
    door: bool,
}

impl Rig {
    /// The relay through which a site reaches a port; made where there is none yet.
    pub(crate) fn wire(&self, from: &Side, to: usize, port: &str) -> Result<SocketAddr, String> {
        let Some((transport, target)) = self.ports[to].get(port).copied() else {
            return Err(format!("{} has no port `{port}`", self.plan.members[to].name));
        };
        if transport == Transport::Both {
            return self.door(to, target);
        }
        let mut wires = self.wires.borrow_mut();
        let known = wires.iter().find(|wire| wire.to == to && wire.from == *from && wire.target == target);
        if let Some(wire) = known {
            return Ok(wire.at);
        }
        let link = watch::Sender::new(Link::default());
        let passed = Rc::<Passed>::default();
        let ip = SocketAddr::from((Ipv4Addr::new(127, self.octet, RELAY_OCTET, 1), 0));
        let seed = self.plan.spec.seed.wrapping_add(wires.len() as u64 * 7919);
        let failed = |e: io::Error| format!("a relay to {}: {e}", self.plan.members[to].name);
        let (heard, counts) = (link.subscribe(), passed.clone());
        let (at, relay) = match transport {
            Transport::Tcp => {
                let relay = Relay::new(ip, target, heard, counts, seed).map_err(failed)?;
                (relay.address(), AnyRelay::Streams(relay))
            }
            Transport::Udp | Transport::Both => {
                let relay = Datagrams::new(ip, target, heard, counts, seed).map_err(failed)?;
                (relay.address().map_err(failed)?, AnyRelay::Datagrams(relay))
            }
        };
        self.relays.borrow_mut().push(relay);
        wires.push(Wire { from: from.clone(), to, target, at, link, passed, door: false });
        Ok(at)
    }

    /// The door of a port; made where there is none yet.
    fn door(&self, to: usize, target: SocketAddr) -> Result<SocketAddr, String> {
        let mut wires = self.wires.borrow_mut();
        if let Some(known) = wires.iter().find(|wire| wire.door && wire.to == to && wire.target == target) {
            return Ok(known.at);
        }
        let first = wires.len();
        let nowhere = SocketAddr::from((Ipv4Addr::new(127, self.octet, RELAY_OCTET, 1), 0));
        let mut way = |from: Side| {
            let (link, passed) = (watch::Sender::new(Link::default()), Rc::<Passed>::default());
            let heard = (link.subscribe(), passed.clone());
            wires.push(Wire { from, to, target, at: nowhere, link, passed, door: true });
            heard
        };
        let none = Side { name: String::new(), group: String::new(), hall: None, region: None };
        let others = way(none);
        let mut sites: Vec<(Side, _)> = Vec::new();
        let mut known = HashMap::new();
        for (n, member) in self.plan.members.iter().enumerate().filter(|(_, m)| m.role != Role::Endpoint) {
            let Some((_, at)) = self.ports[n].values().next() else { continue };
            let site = member.site(&self.plan.spec);
            let heard = match sites.iter().find(|(known, _)| *known == site) {
                Some((_, heard)) => heard,
                None => {
                    sites.push((site.clone(), way(site)));
                    &sites[sites.len() - 1].1
                }
            };
            known.insert(at.ip(), heard.clone());
        }
        let seed = self.plan.spec.seed.wrapping_add(first as u64 * 7919);
        let failed = |e: io::Error| format!("a door of {}: {e}", self.plan.members[to].name);
        let door = Door::new(nowhere, target, Ways { known, others }, seed).map_err(failed)?;
        let at = door.address();
        wires[first..].iter_mut().for_each(|wire| wire.at = at);
        self.relays.borrow_mut().push(AnyRelay::Door(Box::new(door)));
        Ok(at)
    }

    /// Lets all relays that have been made run.
    pub(crate) fn start_relays(&self, tasks: &mut JoinSet<()>) {
        let relays = self.relays.borrow().len();
        for relay in self.relays.borrow_mut().drain(..) {
            tasks.spawn_local(async move {
                let _ = relay.run().await; // one that can't listen refuses, which the checks find
            });
        }
        self.cost.borrow_mut().relays = relays;
    }

    /// Works out anew what holds for each link.
    pub fn relink(&self) {
        let holding = self.holding.borrow();
        for wire in self.wires.borrow().iter() {
            let link = holding.link(&wire.from, &self.plan.members[wire.to].side);
            wire.link.send_if_modified(|held| {
                let changed = *held != link;
                *held = link;
                changed
            });
        }
    }
}
