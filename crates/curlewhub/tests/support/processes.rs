//! Which of two processes that share an address serves a connection, as the kernel tells it.

use super::script::RawConnection;
use super::{Sidecar, WAIT_TIMEOUT};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

/// An address as /proc/net/tcp writes it.
fn kernel_form(address: SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else { panic!("an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port())
}

/// The inode of the sidecar's end of this connection; none until it is accepted.
fn inode_of(client: &RawConnection) -> Option<String> {
    let (from, to) = (client.stream().local_addr().ok()?, client.stream().peer_addr().ok()?);
    let (local, remote) = (kernel_form(to), kernel_form(from));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut matching = fields.filter(|f| f.len() > 9 && f[1] == local && f[2] == remote);
    matching.next().map(|f| f[9].to_owned()).filter(|inode| inode != "0")
}

fn holds(sidecar: &Sidecar, inode: &str) -> bool {
    let files =
        std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id())).into_iter().flatten().flatten();
    let socket = format!("socket:[{inode}]");
    files
        .filter_map(|file| std::fs::read_link(file.path()).ok())
        .any(|link| link.as_os_str() == &socket[..])
}

/// A connection that this process serves, whatever others share its address.
pub fn connect_to(sidecar: &Sidecar) -> RawConnection {
    let start = Instant::now();
    loop {
        let client = RawConnection::connect(sidecar.address);
        let accepted_by = Instant::now() + Duration::from_millis(500);
        while Instant::now() < accepted_by {
            if let Some(inode) = inode_of(&client) {
                if holds(sidecar, &inode) {
                    return client;
                }
                break;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "the process accepts a connection");
    }
}
