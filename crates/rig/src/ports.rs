//! The loopback addresses and ports of a run's processes.

use crate::moves::view_port;
use crate::plan::{Member, Plan, Role, Side};
use crate::spec::Transport;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Runs that can go on at once on one machine: each has a second octet of 127.x of its own.
const OCTETS: std::ops::Range<u32> = 20..220;
/// Held while a run uses its octet.
const OCTET_PORT: u16 = 39_999;
/// The first port that a process may have; those in use are passed over.
const FIRST_PORT: u16 = 7070;
const PORTS_TRIED: u16 = 200;
/// Third octet of discovery; zones come below it.
pub(crate) const DISCOVERY_OCTET: u8 = 250;

/// Where the ports of a member are.
pub(crate) type Ports = BTreeMap<String, (Transport, SocketAddr)>;

/// A second octet that no other run uses, and what holds it.
pub(crate) fn octet() -> Option<(u8, TcpListener)> {
    let (first, count) = (std::process::id() % OCTETS.len() as u32, OCTETS.len() as u32);
    (0..count).find_map(|n| {
        let octet = (OCTETS.start + (first + n) % count) as u8;
        let held = TcpListener::bind((Ipv4Addr::new(127, octet, 255, 254), OCTET_PORT)).ok()?;
        Some((octet, held))
    })
}

/// A port that is free at this address, from this one on.
fn free(ip: Ipv4Addr, first: &mut u16, transport: Transport) -> Result<SocketAddr, String> {
    let from = *first;
    for _ in 0..PORTS_TRIED {
        let at = SocketAddr::from((ip, *first));
        *first += 1;
        let bound = match transport {
            Transport::Tcp => TcpListener::bind(at).is_ok(),
            Transport::Udp => UdpSocket::bind(at).is_ok(),
            Transport::Both => TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok(),
        };
        if bound {
            return Ok(at);
        }
    }
    Err(format!("no free port at {ip} from {from} on"))
}

/// The ports that a member listens on.
pub(crate) fn member_ports(
    plan: &Plan,
    member: &Member,
    ip: Ipv4Addr,
    views: &[Side],
) -> Result<Ports, String> {
    let mut first = FIRST_PORT;
    let mut ports = Ports::new();
    let mut take = |name: String, transport: Transport| {
        let at = free(ip, &mut first, transport)?;
        ports.insert(name, (transport, at));
        Ok::<(), String>(())
    };
    let tcp = Transport::Tcp;
    match member.role {
        Role::Sidecar => {
            // The third is for a successor beside it, whose operators' address must be another one.
            for name in ["listen", "operator", "operator-2"] {
                take(name.to_owned(), tcp)?;
            }
            for (name, transport) in &plan.spec.sidecars[member.group].ports {
                take(name.clone(), *transport)?;
            }
        }
        Role::Endpoint => take("serve".to_owned(), tcp)?,
        Role::Standins => {
            take("discovery".to_owned(), tcp)?;
            take("control".to_owned(), tcp)?;
        }
        Role::Discovery => {
            take("discovery".to_owned(), tcp)?;
            take("control".to_owned(), tcp)?;
            // It is the last of the members: all sites are known by now.
            for v in 0..views.len() {
                (0..=plan.spec.discovery.moves).try_for_each(|n| take(view_port(v, n), tcp))?;
            }
        }
        Role::Other => {
            for (name, transport) in &plan.spec.processes[member.group].ports {
                take(name.clone(), *transport)?;
            }
        }
    }
    Ok(ports)
}
