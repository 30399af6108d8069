//! Membership under hostile or broken conditions: two processes with one name, oversized names, malformed packets.

use curlewhub_control_plane::membership::{
    Action, MAX_PACKET_BYTES, Member, Membership, PacketRejection, Role,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn member(name: &str, incarnation: u64, port: u16) -> Member {
    Member {
        name: name.to_owned(),
        role: Role::Sidecar,
        zone: "a".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        build: "1".to_owned(),
        format: 2,
        incarnation,
        rejoins: 0,
    }
}

/// Members whose datagrams are delivered at once, by address.
struct Group {
    now: Duration,
    members: Vec<Membership>,
    seen: Vec<(usize, Action)>,
}

impl Group {
    /// The first one is the seed of all.
    fn new(all: &[Member]) -> Group {
        let seeds = [(all[0].name.clone(), all[0].address)];
        let one =
            |(n, own): (usize, &Member)| Membership::new(own.clone(), &seeds, n as u64, Duration::ZERO);
        let members = all.iter().enumerate().map(one).collect();
        Group { now: Duration::ZERO, members, seen: Vec::new() }
    }

    fn run(&mut self, lasts: Duration) {
        let end = self.now + lasts;
        while self.now < end {
            self.now += Duration::from_millis(50);
            let mut sent = Vec::new();
            for n in 0..self.members.len() {
                let actions = self.members[n].tick(self.now);
                self.take(n, actions, &mut sent);
            }
            while let Some((to, bytes)) = sent.pop() {
                assert!(bytes.len() <= MAX_PACKET_BYTES, "{}", bytes.len());
                if let Some(n) = self.members.iter().position(|m| m.local_member().address == to) {
                    let actions = self.members[n].handle_packet(self.now, &bytes).unwrap_or_default();
                    self.take(n, actions, &mut sent);
                }
            }
        }
    }

    fn take(&mut self, n: usize, actions: Vec<Action>, sent: &mut Vec<(SocketAddr, Vec<u8>)>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => sent.push((to, bytes)),
                other => self.seen.push((n, other)),
            }
        }
    }

    fn incarnation(&self, by: usize, name: &str) -> Option<u64> {
        self.members[by].alive().find(|member| member.name == name).map(|member| member.incarnation)
    }
}

#[test]
fn of_two_processes_with_one_name_the_greater_incarnation_prevails() {
    // In both orders of joining.
    for order in [[5, 9], [9, 5]] {
        let mut group = Group::new(&[
            member("a", 1, 1),
            member("b", 1, 2),
            member("twin", order[0], 3),
            member("c", 1, 4),
            member("twin", order[1], 5),
        ]);
        group.run(Duration::from_secs(40));
        let (older, later) = if order[0] < order[1] { (2, 4) } else { (4, 2) };
        assert!(group.members[older].is_displaced() && !group.members[later].is_displaced(), "{order:?}");
        assert_eq!(group.members[older].next_wakeup(), None, "it sends nothing more");
        for by in [0, 1, 3] {
            assert_eq!(group.incarnation(by, "twin"), Some(9), "{order:?}: at {by}");
        }
        let is_displacement =
            |(n, action): &(usize, Action)| *n == older && matches!(action, Action::Displaced(_));
        assert_eq!(group.seen.iter().filter(|seen| is_displacement(seen)).count(), 1);
        // The later one was not declared down again and again.
        let rejoins = group.seen.iter().filter(|seen| seen.1 == Action::Rejoined).count();
        assert!(rejoins <= 2, "{order:?}: rejoined {rejoins} times");
    }
}

#[test]
fn a_member_that_leaves_is_down_at_once_and_alive_again_after_a_restart() {
    let mut group = Group::new(&[member("a", 1, 1), member("b", 1, 2), member("c", 1, 3)]);
    group.run(Duration::from_secs(5));
    assert_eq!(group.incarnation(0, "c"), Some(1));
    let mut sent = Vec::new();
    let actions = group.members[2].leave();
    group.take(2, actions, &mut sent);
    assert!(!sent.is_empty(), "it informs others");
    for (to, bytes) in sent {
        let n = group.members.iter().position(|m| m.local_member().address == to).unwrap();
        group.members[n].handle_packet(group.now, &bytes).unwrap();
    }
    group.run(Duration::from_secs(1));
    assert_eq!((group.incarnation(0, "c"), group.incarnation(1, "c")), (None, None));
    let seeds = [("a".to_owned(), member("a", 1, 1).address)];
    group.members[2] = Membership::new(member("c", 2, 3), &seeds, 3, group.now);
    group.run(Duration::from_secs(5));
    assert_eq!((group.incarnation(0, "c"), group.incarnation(1, "c")), (Some(2), Some(2)));
}

#[test]
fn a_restart_with_a_smaller_incarnation_at_the_same_address_raises_it() {
    let mut group = Group::new(&[member("a", 1, 1), member("b", 1, 2), member("c", 900, 3)]);
    group.run(Duration::from_secs(5));
    let seeds = [("a".to_owned(), member("a", 1, 1).address)];
    group.members[2] = Membership::new(member("c", 7, 3), &seeds, 3, group.now);
    group.run(Duration::from_secs(20));
    let at = group.incarnation(1, "c");
    assert!(at > Some(900), "{at:?}");
    assert_eq!((group.incarnation(0, "c"), group.members[2].local_member().incarnation), (at, at.unwrap()));
    assert!(group.seen.iter().any(|seen| seen.1 == Action::IncarnationRaised(at.unwrap())));
}

#[test]
fn a_restart_with_a_clock_stepped_back_is_a_member_at_a_new_address() {
    let seeds = [("a".to_owned(), member("a", 1, 1).address)];
    // Its earlier start ended long ago, was killed just now, or runs on.
    for (earlier_runs, gone_for) in [(false, 30), (false, 0), (true, 0)] {
        let mut group = Group::new(&[member("a", 1, 1), member("b", 1, 2), member("c", 900, 3)]);
        group.run(Duration::from_secs(5));
        let earlier = group.members.pop();
        group.run(Duration::from_secs(gone_for));
        let mut started = Membership::new(member("c", 7, 4), &seeds, 3, group.now);
        started.counts_by_clock();
        group.members.push(started);
        group.members.extend(earlier.filter(|_| earlier_runs));
        group.run(Duration::from_secs(20));
        let at = group.incarnation(0, "c");
        assert!(at > Some(900), "{at:?} after {gone_for} s");
        assert_eq!(
            (group.incarnation(1, "c"), group.members[2].local_member().incarnation),
            (at, at.unwrap())
        );
        assert!(!group.members[2].is_displaced());
        assert!(group.members.get(3).is_none_or(Membership::is_displaced), "one of the two");
    }
}

#[test]
fn of_two_processes_that_count_by_their_clocks_one_prevails() {
    for (first, second) in [(7, 900), (900, 7)] {
        let seeds = [("a".to_owned(), member("a", 1, 1).address)];
        let mut group = Group::new(&[member("a", 1, 1), member("b", 1, 2)]);
        for (incarnation, port) in [(first, 3), (second, 4)] {
            let mut one = Membership::new(member("c", incarnation, port), &seeds, 3, group.now);
            one.counts_by_clock();
            group.members.push(one);
            group.run(Duration::from_secs(2));
        }
        group.run(Duration::from_secs(40));
        let displaced: Vec<_> = group.members[2..].iter().filter(|c| c.is_displaced()).collect();
        assert_eq!(displaced.len(), 1);
        let raised =
            group.seen.iter().filter(|seen| matches!(seen.1, Action::IncarnationRaised(_))).count();
        assert!((1..=2).contains(&raised), "{raised}: each at most once");
        assert_eq!(group.incarnation(0, "c"), group.incarnation(1, "c"));
    }
}

#[test]
fn invalid_members_are_rejected() {
    let mut own = Membership::new(member("own", 5, 1), &[], 1, Duration::ZERO);
    let now = Duration::from_secs(1);
    let announce = |by: Member| {
        let seeds = [("own".to_owned(), own.local_member().address)];
        let actions = Membership::new(by, &seeds, 1, Duration::ZERO).tick(now);
        actions.into_iter().find_map(|action| match action {
            Action::Send(_, bytes) => Some(bytes),
            _ => None,
        })
    };
    // The member that announces itself, and the number of members alive afterwards or the rejection.
    let cases = [
        (member("", 1, 2), Err(PacketRejection::Invalid)),
        (member(&"n".repeat(201), 1, 2), Err(PacketRejection::Invalid)),
        (Member { zone: "h".repeat(201), ..member("b", 1, 2) }, Err(PacketRejection::Invalid)),
        (Member { build: "h".repeat(201), ..member("b", 1, 2) }, Err(PacketRejection::Invalid)),
        (member("own", 4, 2), Err(PacketRejection::FromSelf)),
        (member("b", 1, 2), Ok(1)),
    ];
    let packets: Vec<_> = cases.iter().map(|(by, _)| announce(by.clone())).collect();
    for ((by, expected), packet) in cases.into_iter().zip(packets) {
        // Some invalid members can't be made to announce themselves.
        let Some(packet) = packet else { continue };
        let alive = own.handle_packet(now, &packet).map(|_| own.alive_count());
        assert_eq!(alive, expected, "{by:?}");
    }
    assert_eq!(own.handle_packet(now, b"noise"), Err(PacketRejection::Malformed));
}

proptest! {
    #[test]
    fn arbitrary_packets_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), flip in 0..2000_usize) {
        let mut own = Membership::new(member("own", 5, 1), &[], 1, Duration::ZERO);
        let _ = own.handle_packet(Duration::from_secs(1), &bytes);
        // A valid packet with one bit flipped.
        let seeds = [("own".to_owned(), own.local_member().address)];
        let actions = Membership::new(member("b", 1, 2), &seeds, 1, Duration::ZERO).tick(Duration::from_secs(1));
        for action in actions {
            if let Action::Send(_, mut packet) = action {
                let at = flip % (packet.len() * 8);
                packet[at / 8] ^= 1 << (at % 8);
                let _ = own.handle_packet(Duration::from_secs(1), &packet);
            }
        }
        own.tick(Duration::from_secs(60));
    }
}
