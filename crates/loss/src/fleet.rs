//! The model with N servers, played.

use crate::service::Service;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// What is played.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Servers.
    pub servers: usize,
    /// Jobs that each holds at most.
    pub capacity: usize,
    /// Arrivals a server in a mean job length.
    pub lambda: f64,
    /// Servers sampled for a job.
    pub choices: usize,
    /// Who chooses: one that sees true occupancies, or so many that each see only their own jobs.
    pub sight: Sight,
    /// Job lengths.
    pub service: Service,
    /// Mean job lengths before anything is counted ...
    pub warm_up: f64,
    /// ... and for which it is counted then.
    pub lasts: f64,
}

/// What those who choose can see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sight {
    /// True occupancies.
    True,
    /// So many dispatchers, arrivals evenly among them, each with its own jobs in sight alone.
    Own(usize),
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Counts {
    /// Jobs that arrived.
    pub arrived: u64,
    /// Jobs lost.
    pub lost: u64,
}

impl Counts {
    /// The part that was lost, 0 to 1.
    pub fn blocking(&self) -> f64 {
        self.lost as f64 / (self.arrived as f64).max(1.0)
    }
}

/// A job's end.
struct End {
    at: f64,
    server: u32,
    by: u32,
}

impl Ord for End {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at) // the heap gives the greatest first
    }
}

impl PartialOrd for End {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for End {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for End {}

/// Plays it; equal plans and seeds give equal counts.
pub fn play(plan: &Plan, seed: u64) -> Counts {
    let mut draws = Pcg32::seed_from_u64(seed);
    let dispatchers = match plan.sight {
        Sight::True => 1,
        Sight::Own(dispatchers) => dispatchers.max(1),
    };
    let mut held = vec![0u16; plan.servers];
    let mut own = vec![0u16; plan.servers * dispatchers];
    let mut ends = BinaryHeap::new();
    let (mut now, mut counts) = (0.0, Counts { arrived: 0, lost: 0 });
    let rate = plan.lambda * plan.servers as f64;
    while now < plan.warm_up + plan.lasts {
        let wait: f64 = Exp1.sample(&mut draws);
        now += wait / rate;
        while ends.peek().is_some_and(|end: &End| end.at <= now) {
            let Some(End { server, by, .. }) = ends.pop() else { break };
            held[server as usize] -= 1;
            own[by as usize * plan.servers + server as usize] -= 1;
        }
        let by = draws.random_range(0..dispatchers);
        let seen = &own[by * plan.servers..(by + 1) * plan.servers];
        let server = choose(seen, plan.choices, &mut draws);
        let counted = now >= plan.warm_up;
        counts.arrived += u64::from(counted);
        if usize::from(held[server]) >= plan.capacity {
            counts.lost += u64::from(counted);
            continue;
        }
        held[server] += 1;
        own[by * plan.servers + server] += 1;
        let at = now + plan.service.draw(&mut draws);
        ends.push(End { at, server: server as u32, by: by as u32 });
    }
    counts
}

/// Of so many sampled without replacement, in random order, the first of those that hold the fewest.
fn choose(held: &[u16], choices: usize, draws: &mut Pcg32) -> usize {
    let sampled = index::sample(draws, held.len(), choices.min(held.len()));
    sampled.into_iter().min_by_key(|server| held[*server]).unwrap_or_default()
}
