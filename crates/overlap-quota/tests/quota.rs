//! Two processes and what they hold, whatever is said when, and whatever gets lost.

use curlewhub_overlap_quota::{Demand, MIN_PARTS, OverlapQuota, QuotaError, TOTAL_PARTS};
use proptest::prelude::*;
use std::collections::VecDeque;

/// What goes from one to the other.
#[derive(Clone, Copy, Debug)]
enum Message {
    Need(u32),
    Give(u32),
}

/// Two processes and the messages in flight, from each.
struct Pair {
    quotas: [OverlapQuota; 2],
    in_flight: [VecDeque<Message>; 2],
}

impl Pair {
    fn new() -> Pair {
        let mut quotas = [OverlapQuota::default(), OverlapQuota::default()];
        quotas[0].successor(1);
        quotas[1].predecessor(0);
        Pair { quotas, in_flight: Default::default() }
    }

    /// Lets one look at what it needs, as it does from time to time.
    fn tick(&mut self, who: usize, need: u32) {
        self.in_flight[who].push_back(Message::Need(need));
        if let Some(parts) = self.quotas[who].gives(1 - who as u64, need) {
            self.in_flight[who].push_back(Message::Give(parts));
        }
    }

    /// Lets the oldest message of one arrive.
    fn arrive(&mut self, from: usize) {
        let (to, link) = (1 - from, from as u64);
        match self.in_flight[from].pop_front() {
            Some(Message::Need(need)) => self.quotas[to].needs(link, need).unwrap(),
            Some(Message::Give(parts)) => self.quotas[to].gets(link, parts).unwrap(),
            None => {}
        }
    }

    fn parts_in_flight(&self) -> u32 {
        let parts = |message: &Message| if let Message::Give(parts) = message { *parts } else { 0 };
        self.in_flight.iter().flatten().map(parts).sum()
    }

    fn own(&self) -> [u32; 2] {
        [self.quotas[0].own(), self.quotas[1].own()]
    }

    /// Both tick and all arrives, so many times.
    fn settle(&mut self, needs: [u32; 2], rounds: usize) {
        for _ in 0..rounds {
            (0..2).for_each(|who| self.tick(who, needs[who]));
            while !self.in_flight.iter().all(VecDeque::is_empty) {
                (0..2).for_each(|who| self.arrive(who));
            }
        }
    }
}

#[test]
fn parts_follow_the_need_from_the_old_one_to_the_new_one() {
    let mut pair = Pair::new();
    assert_eq!(pair.own(), [TOTAL_PARTS, 0]);
    pair.settle([100, 0], 2);
    assert_eq!(pair.own(), [TOTAL_PARTS - MIN_PARTS, MIN_PARTS], "it can send its first calls");
    pair.settle([50, 50], 2);
    assert_eq!(pair.own(), [TOTAL_PARTS / 2, TOTAL_PARTS / 2]);
    pair.settle([0, 100], 2);
    assert_eq!(pair.own(), [MIN_PARTS, TOTAL_PARTS - MIN_PARTS]);
    assert_eq!(pair.quotas[1].gone(0, false), MIN_PARTS);
    assert_eq!(pair.quotas[1].own(), TOTAL_PARTS);
    assert!(!pair.quotas[1].beside());
}

#[test]
fn a_need_is_what_is_open_and_what_came_within_half_a_second() {
    let mut demand = Demand::default();
    demand.came();
    assert_eq!(demand.look(3), 3, "nothing is counted before the first look");
    (0..5).for_each(|_| demand.came());
    assert_eq!(demand.look(2), 7);
    let later: Vec<u32> = (0..30).map(|_| demand.look(0)).collect();
    assert_eq!((later[0], later[23], later[24], later[29]), (5, 5, 0, 0));
}

#[test]
fn one_that_never_says_what_it_needs_is_given_nothing() {
    let mut old = OverlapQuota::default();
    old.successor(1);
    assert_eq!(old.gives(1, 0), None);
    assert_eq!(old.share(), 1.0);
}

#[test]
fn what_can_not_be_is_refused_and_changes_nothing() {
    let mut pair = Pair::new();
    pair.settle([1, 1], 1);
    let held = pair.own();
    let wrong = pair.quotas[0].gets(1, TOTAL_PARTS);
    assert_eq!(wrong, Err(QuotaError::TooMany { given: TOTAL_PARTS, held: held[1] }));
    assert_eq!(pair.quotas[0].gets(7, 1), Err(QuotaError::Unknown));
    assert_eq!(pair.quotas[0].needs(7, 1), Err(QuotaError::Unknown));
    assert_eq!(pair.own(), held);
}

#[test]
fn in_a_row_of_three_the_middle_one_passes_parts_on_and_an_ending_one_takes_none_back() {
    // Numbers of links: 0 between old and middle, 1 between middle and new.
    let (mut old, mut middle, mut new) =
        (OverlapQuota::default(), OverlapQuota::default(), OverlapQuota::default());
    old.successor(0);
    middle.predecessor(0);
    middle.needs(0, 10).unwrap();
    old.needs(0, 100).unwrap();
    let given = old.gives(0, 0).unwrap();
    middle.gets(0, given).unwrap();
    middle.successor(1);
    new.predecessor(1);
    middle.needs(1, 100).unwrap();
    let passed = middle.gives(1, 0).unwrap();
    new.gets(1, passed).unwrap();
    assert_eq!(old.own() + middle.own() + new.own(), TOTAL_PARTS);
    // The middle one is killed; the old one drains.
    old.gone(0, true);
    new.gone(1, false);
    assert_eq!(
        (old.own(), new.own()),
        (MIN_PARTS, TOTAL_PARTS),
        "at most what an ending one keeps is held twice"
    );
}

proptest! {
    #[test]
    fn never_is_more_held_than_there_is_and_the_survivor_gets_all(
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), 0..500u32), 0..200),
        survivor in 0..2usize,
        lost in any::<bool>(),
    ) {
        let mut pair = Pair::new();
        for (who, tick, need) in steps {
            if tick { pair.tick(who.into(), need) } else { pair.arrive(who.into()) }
            let own = pair.own();
            prop_assert_eq!(own[0] + own[1] + pair.parts_in_flight(), TOTAL_PARTS);
        }
        // The other is killed: what it had written may still come, or not.
        while !lost && !pair.in_flight[1 - survivor].is_empty() {
            pair.arrive(1 - survivor);
        }
        pair.quotas[survivor].gone(1 - survivor as u64, false);
        prop_assert_eq!(pair.quotas[survivor].own(), TOTAL_PARTS);
    }

    #[test]
    fn needs_that_stand_still_are_met_within_a_step(a in 0..1000u32, b in 0..1000u32) {
        let mut pair = Pair::new();
        pair.settle([a, b], 4);
        prop_assume!(a + b > 0);
        let own = pair.own();
        let fair = f64::from(TOTAL_PARTS) * f64::from(a) / f64::from(a + b);
        let fair = fair.clamp(f64::from(MIN_PARTS), f64::from(TOTAL_PARTS - MIN_PARTS));
        prop_assert!((f64::from(own[0]) - fair).abs() <= 4.5, "{own:?} for {a} and {b}");
        pair.settle([a, b], 4);
        prop_assert_eq!(pair.own(), own, "and nothing goes to and fro");
    }
}
