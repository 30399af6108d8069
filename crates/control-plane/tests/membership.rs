//! Membership as it is lied to: two processes with one name, names without end, packets that are none.

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

/// Members that reach one another at once, by their addresses.
struct Group {
    now: Duration,
    members: Vec<Membership>,
    seen: Vec<(usize, Action)>,
}

impl Group {
    /// All know where the first is.
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
fn of_two_processes_with_one_name_the_later_start_is_the_one_for_all_and_for_good() {
    // Whichever of the two joins first.
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
        assert_eq!(group.members[older].next_wakeup(), None, "it says nothing more");
        for by in [0, 1, 3] {
            assert_eq!(group.incarnation(by, "twin"), Some(9), "{order:?}: at {by}");
        }
        let told = |(n, action): &(usize, Action)| *n == older && matches!(action, Action::Displaced(_));
        assert_eq!(group.seen.iter().filter(|seen| told(seen)).count(), 1);
        // No fight: the later one was not taken for gone again and again.
        let renewed = group.seen.iter().filter(|seen| seen.1 == Action::Rejoined).count();
        assert!(renewed <= 2, "{order:?}: renewed {renewed} times");
    }
}

#[test]
fn who_leaves_is_gone_at_once_and_a_restarted_name_is_there_again() {
    let mut group = Group::new(&[member("a", 1, 1), member("b", 1, 2), member("c", 1, 3)]);
    group.run(Duration::from_secs(5));
    assert_eq!(group.incarnation(0, "c"), Some(1));
    let mut sent = Vec::new();
    let actions = group.members[2].leave();
    group.take(2, actions, &mut sent);
    assert!(!sent.is_empty(), "it says so");
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
fn one_whose_disk_forgot_and_whose_clock_went_back_is_not_kept_out_by_its_own_ghost() {
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
fn one_that_counts_by_a_clock_that_went_back_is_a_member_at_a_new_address() {
    let seeds = [("a".to_owned(), member("a", 1, 1).address)];
    // Its earlier start is gone since long, was killed just now, or runs on beside it.
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
fn of_two_that_count_by_their_clocks_one_stays() {
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
        let outlived =
            group.seen.iter().filter(|seen| matches!(seen.1, Action::IncarnationRaised(_))).count();
        assert!((1..=2).contains(&outlived), "{outlived}: each once at the most");
        assert_eq!(group.incarnation(0, "c"), group.incarnation(1, "c"));
    }
}

#[test]
fn names_that_cannot_be_are_not_taken() {
    let mut own = Membership::new(member("own", 5, 1), &[], 1, Duration::ZERO);
    let now = Duration::from_secs(1);
    let announce = |by: Member| {
        let seeds = [("own".to_owned(), own.local_member().address)];
        let told = Membership::new(by, &seeds, 1, Duration::ZERO).tick(now);
        told.into_iter().find_map(|action| match action {
            Action::Send(_, bytes) => Some(bytes),
            _ => None,
        })
    };
    // Who announces itself, and what comes of it; nobody is there afterwards that may not be.
    let cases = [
        (member("", 1, 2), Err(PacketRejection::Invalid)),
        (member(&"n".repeat(201), 1, 2), Err(PacketRejection::Invalid)),
        (Member { zone: "h".repeat(201), ..member("b", 1, 2) }, Err(PacketRejection::Invalid)),
        (Member { build: "h".repeat(201), ..member("b", 1, 2) }, Err(PacketRejection::Invalid)),
        (member("own", 4, 2), Err(PacketRejection::FromSelf)),
        (member("b", 1, 2), Ok(1)),
    ];
    let packets: Vec<_> = cases.iter().map(|(by, _)| announce(by.clone())).collect();
    for ((by, wanted), packet) in cases.into_iter().zip(packets) {
        // One with a name like that can't be made to announce itself where it is not to be told of.
        let Some(packet) = packet else { continue };
        let heard = own.handle_packet(now, &packet).map(|_| own.alive_count());
        assert_eq!(heard, wanted, "{by:?}");
    }
    assert_eq!(own.handle_packet(now, b"noise"), Err(PacketRejection::Malformed));
}

proptest! {
    #[test]
    fn no_packet_brings_it_down(bytes in prop::collection::vec(any::<u8>(), 0..300), flip in 0..2000_usize) {
        let mut own = Membership::new(member("own", 5, 1), &[], 1, Duration::ZERO);
        let _ = own.handle_packet(Duration::from_secs(1), &bytes);
        // One bit off a sound one.
        let seeds = [("own".to_owned(), own.local_member().address)];
        let told = Membership::new(member("b", 1, 2), &seeds, 1, Duration::ZERO).tick(Duration::from_secs(1));
        for action in told {
            if let Action::Send(_, mut packet) = action {
                let at = flip % (packet.len() * 8);
                packet[at / 8] ^= 1 << (at % 8);
                let _ = own.handle_packet(Duration::from_secs(1), &packet);
            }
        }
        own.tick(Duration::from_secs(60));
    }
}
