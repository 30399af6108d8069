//! Quota parts held by the processes of one sidecar during a handover, for any order and any loss of messages.

use curlewhub_overlap_quota::{Demand, MIN_PARTS, OverlapQuota, QuotaError, TOTAL_PARTS};
use proptest::prelude::*;
use std::collections::VecDeque;

/// A message between the two processes.
#[derive(Clone, Copy, Debug)]
enum Message {
    Demand(u32),
    Give(u32),
}

/// The predecessor (0) and the successor (1), and the messages in flight from each.
struct Pair {
    quotas: [OverlapQuota; 2],
    in_flight: [VecDeque<Message>; 2],
}

impl Pair {
    fn new() -> Pair {
        let mut quotas = [OverlapQuota::default(), OverlapQuota::default()];
        quotas[0].add_successor(1);
        quotas[1].add_predecessor(0);
        Pair { quotas, in_flight: Default::default() }
    }

    /// Has a process report its demand and give parts away, as it does at intervals.
    fn tick(&mut self, from: usize, demand: u32) {
        self.in_flight[from].push_back(Message::Demand(demand));
        if let Some(parts) = self.quotas[from].give(1 - from as u64, demand) {
            self.in_flight[from].push_back(Message::Give(parts));
        }
    }

    /// Delivers the oldest message of a process.
    fn deliver(&mut self, from: usize) {
        let (to, link) = (1 - from, from as u64);
        match self.in_flight[from].pop_front() {
            Some(Message::Demand(demand)) => self.quotas[to].set_demand(link, demand).unwrap(),
            Some(Message::Give(parts)) => self.quotas[to].receive(link, parts).unwrap(),
            None => {}
        }
    }

    fn parts_in_flight(&self) -> u32 {
        let parts = |message: &Message| if let Message::Give(parts) = message { *parts } else { 0 };
        self.in_flight.iter().flatten().map(parts).sum()
    }

    fn own(&self) -> [u32; 2] {
        [self.quotas[0].own_parts(), self.quotas[1].own_parts()]
    }

    /// Has both processes tick and delivers all messages, for so many rounds.
    fn run(&mut self, demands: [u32; 2], rounds: usize) {
        for _ in 0..rounds {
            (0..2).for_each(|n| self.tick(n, demands[n]));
            while !self.in_flight.iter().all(VecDeque::is_empty) {
                (0..2).for_each(|n| self.deliver(n));
            }
        }
    }
}

#[test]
fn parts_follow_the_demand_from_the_predecessor_to_the_successor() {
    let mut pair = Pair::new();
    assert_eq!(pair.own(), [TOTAL_PARTS, 0]);
    pair.run([100, 0], 2);
    assert_eq!(pair.own(), [TOTAL_PARTS - MIN_PARTS, MIN_PARTS], "enough for the successor's first calls");
    pair.run([50, 50], 2);
    assert_eq!(pair.own(), [TOTAL_PARTS / 2, TOTAL_PARTS / 2]);
    pair.run([0, 100], 2);
    assert_eq!(pair.own(), [MIN_PARTS, TOTAL_PARTS - MIN_PARTS]);
    assert_eq!(pair.quotas[1].remove_neighbour(0, false), MIN_PARTS);
    assert_eq!(pair.quotas[1].own_parts(), TOTAL_PARTS);
    assert!(!pair.quotas[1].has_neighbours());
}

#[test]
fn demand_is_open_requests_and_arrivals_within_half_a_second() {
    let mut demand = Demand::default();
    demand.record_arrival();
    assert_eq!(demand.sample(3), 3, "nothing is counted before the first sample");
    (0..5).for_each(|_| demand.record_arrival());
    assert_eq!(demand.sample(2), 7);
    let later: Vec<u32> = (0..30).map(|_| demand.sample(0)).collect();
    assert_eq!((later[0], later[23], later[24], later[29]), (5, 5, 0, 0));
}

#[test]
fn a_neighbour_that_never_reports_its_demand_is_given_nothing() {
    let mut predecessor = OverlapQuota::default();
    predecessor.add_successor(1);
    assert_eq!(predecessor.give(1, 0), None);
    assert_eq!(predecessor.fraction(), 1.0);
}

#[test]
fn impossible_messages_are_rejected_and_change_nothing() {
    let mut pair = Pair::new();
    pair.run([1, 1], 1);
    let held = pair.own();
    let rejected = pair.quotas[0].receive(1, TOTAL_PARTS);
    assert_eq!(rejected, Err(QuotaError::TooMany { given: TOTAL_PARTS, held: held[1] }));
    assert_eq!(pair.quotas[0].receive(7, 1), Err(QuotaError::Unknown));
    assert_eq!(pair.quotas[0].set_demand(7, 1), Err(QuotaError::Unknown));
    assert_eq!(pair.own(), held);
}

#[test]
fn in_a_chain_of_three_the_middle_process_passes_parts_on_and_an_ending_one_takes_none_back() {
    // Link 0 is between the old and the middle process, link 1 between the middle and the new one.
    let (mut old, mut middle, mut new) =
        (OverlapQuota::default(), OverlapQuota::default(), OverlapQuota::default());
    old.add_successor(0);
    middle.add_predecessor(0);
    middle.set_demand(0, 10).unwrap();
    old.set_demand(0, 100).unwrap();
    let given = old.give(0, 0).unwrap();
    middle.receive(0, given).unwrap();
    middle.add_successor(1);
    new.add_predecessor(1);
    middle.set_demand(1, 100).unwrap();
    let passed = middle.give(1, 0).unwrap();
    new.receive(1, passed).unwrap();
    assert_eq!(old.own_parts() + middle.own_parts() + new.own_parts(), TOTAL_PARTS);
    // The middle process is killed while the old one drains.
    old.remove_neighbour(0, true);
    new.remove_neighbour(1, false);
    assert_eq!(
        (old.own_parts(), new.own_parts()),
        (MIN_PARTS, TOTAL_PARTS),
        "at most the minimum that an ending process keeps is held twice"
    );
}

proptest! {
    #[test]
    fn no_part_is_held_twice_and_the_survivor_gets_all(
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), 0..500u32), 0..200),
        survivor in 0..2usize,
        lost in any::<bool>(),
    ) {
        let mut pair = Pair::new();
        for (second, tick, demand) in steps {
            if tick { pair.tick(second.into(), demand) } else { pair.deliver(second.into()) }
            let own = pair.own();
            prop_assert_eq!(own[0] + own[1] + pair.parts_in_flight(), TOTAL_PARTS);
        }
        // The other process is killed; its messages in flight are delivered or lost.
        while !lost && !pair.in_flight[1 - survivor].is_empty() {
            pair.deliver(1 - survivor);
        }
        pair.quotas[survivor].remove_neighbour(1 - survivor as u64, false);
        prop_assert_eq!(pair.quotas[survivor].own_parts(), TOTAL_PARTS);
    }

    #[test]
    fn constant_demands_are_met_to_within_a_transfer(a in 0..1000u32, b in 0..1000u32) {
        let mut pair = Pair::new();
        pair.run([a, b], 4);
        prop_assume!(a + b > 0);
        let own = pair.own();
        let fair = f64::from(TOTAL_PARTS) * f64::from(a) / f64::from(a + b);
        let fair = fair.clamp(f64::from(MIN_PARTS), f64::from(TOTAL_PARTS - MIN_PARTS));
        prop_assert!((f64::from(own[0]) - fair).abs() <= 4.5, "{own:?} for {a} and {b}");
        pair.run([a, b], 4);
        prop_assert_eq!(pair.own(), own, "parts do not oscillate");
    }
}
