//! What membership holds and computes by the members that it knows.

use super::gauge::{bytes_each, microseconds_each};
use super::{Effort, Measured, Point, Subject};
use crate::capacity::file::Role;
use crate::capacity::target::{Dimension, SIDECARS};
use curlewhub_control_plane::membership::{Member, Membership, Role as MemberRole};
use foca::{Codec, Header, Message, PostcardCodec};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Members that a packet of this run names; a full one of 1,250 bytes has room for about as many.
const NAMED: usize = 20;
const NOW: Duration = Duration::from_secs(100);

fn member(number: usize) -> Member {
    Member {
        name: format!("sidecar-{number}"),
        role: MemberRole::Sidecar,
        zone: format!("zone-{}", number % 7),
        address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number as u32), 7400)),
        build: String::new(),
        format: 2,
        incarnation: 1,
        rejoins: 0,
    }
}

/// A packet of gossip that names these.
fn packet(named: std::ops::Range<usize>) -> Vec<u8> {
    let (mut codec, mut bytes) = (PostcardCodec, Vec::new());
    let (src, dst) = (member(1), member(0));
    let header = Header { src, src_incarnation: 0, dst, message: Message::Gossip };
    // Plain data into a growing buffer: it never fails.
    let _ = codec.encode_header(&header, &mut bytes);
    bytes.extend((named.len() as u16).to_be_bytes());
    for number in named {
        let _ = codec.encode_member(&foca::Member::alive(member(number)), &mut bytes);
    }
    bytes
}

/// One that knows so many others.
fn membership(known: usize) -> Membership {
    let mut members = Membership::new(member(0), &[], 7, NOW);
    for first in (1..=known).step_by(NAMED) {
        let named = first..(first + NAMED).min(known + 1);
        // Sound, and within its bounds.
        let _ = members.handle_packet(NOW, &packet(named));
    }
    members
}

/// Reads the names of a packet and does nothing with them.
fn read(mut bytes: &[u8]) -> usize {
    let mut codec = PostcardCodec;
    let header: Result<Header<Member>, _> = codec.decode_header(&mut bytes);
    let named = header.ok().and_then(|_| bytes.split_first_chunk::<2>());
    let Some((count, mut rest)) = named else { return 0 };
    (0..u16::from_be_bytes(*count))
        .filter(|_| {
            let member: Result<foca::Member<Member>, _> = codec.decode_member(&mut rest);
            member.is_ok()
        })
        .count()
}

/// Measures memory and time of membership.
pub fn measure(effort: Effort, measured: &mut Measured) {
    let sizes = match effort {
        Effort::Whole => vec![120.0, 240.0, 480.0, 950.0, 1_425.0, SIDECARS],
        Effort::Small => vec![20.0, 40.0, 60.0, 80.0, 100.0, 120.0],
    };
    let copies = if effort == Effort::Whole { 20 } else { 2 };
    let points = |of: &dyn Fn(usize) -> f64| -> Vec<Point> {
        sizes.iter().map(|&size| Point { size, value: of(size as usize) }).collect()
    };
    let subject = Subject {
        id: "control.members_memory.by_sidecars",
        role: Role::SidecarControl,
        quantity: "resident memory of membership that knows all others",
        unit: "bytes",
        grows_with: Dimension::Sidecars,
        run: "the membership of one process, told of so many others by packets that name 20 each",
    };
    measured.slope(subject.through(points(&|known| bytes_each(copies, |_| membership(known)))));
    let subject = Subject {
        id: "control.packet_time.by_sidecars",
        quantity: "processor time of a packet that names 20 known members",
        unit: "microseconds",
        ..subject
    };
    let named = packet(1..NAMED + 1);
    let heard = |known: usize| {
        let mut members = membership(known);
        microseconds_each(effort, || members.handle_packet(NOW, &named).is_ok())
    };
    let baseline = points(&|_| microseconds_each(effort, || read(&named)));
    measured.slope(subject.beside(points(&heard), baseline, "reading the same packet's names"));
}
