//! A simulation of the model with N servers.

use crate::service::Service;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Servers.
    pub servers: usize,
    /// The most jobs that each holds.
    pub capacity: usize,
    /// Arrivals per server and mean job length.
    pub lambda: f64,
    /// Servers sampled for a job.
    pub choices: usize,
    /// What the dispatchers see of the servers.
    pub sight: Sight,
    /// The distribution of job lengths.
    pub service: Service,
    /// The warm-up before anything is counted, in mean job lengths.
    pub warm_up: f64,
    /// How long is counted after the warm-up, in mean job lengths.
    pub lasts: f64,
}

/// What dispatchers see of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sight {
    /// One dispatcher sees true occupancies.
    True,
    /// So many dispatchers share the arrivals evenly, and each sees only its own jobs.
    Own(usize),
}

/// The result of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Counts {
    /// Jobs that arrived.
    pub arrived: u64,
    /// Jobs lost.
    pub lost: u64,
}

impl Counts {
    /// The fraction of jobs that was lost, 0 to 1.
    pub fn blocking(&self) -> f64 {
        self.lost as f64 / (self.arrived as f64).max(1.0)
    }
}

/// The end of a job, as an event.
struct End {
    at: f64,
    server: u32,
    dispatcher: u32,
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

/// Runs a simulation; equal plans and seeds give equal counts.
pub fn play(plan: &Plan, seed: u64) -> Counts {
    let mut rng = Pcg32::seed_from_u64(seed);
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
        let wait: f64 = Exp1.sample(&mut rng);
        now += wait / rate;
        while ends.peek().is_some_and(|end: &End| end.at <= now) {
            let Some(End { server, dispatcher, .. }) = ends.pop() else { break };
            held[server as usize] -= 1;
            own[dispatcher as usize * plan.servers + server as usize] -= 1;
        }
        let dispatcher = rng.random_range(0..dispatchers);
        let seen = &own[dispatcher * plan.servers..(dispatcher + 1) * plan.servers];
        let server = choose(seen, plan.choices, &mut rng);
        let counted = now >= plan.warm_up;
        counts.arrived += u64::from(counted);
        if usize::from(held[server]) >= plan.capacity {
            counts.lost += u64::from(counted);
            continue;
        }
        held[server] += 1;
        own[dispatcher * plan.servers + server] += 1;
        let at = now + plan.service.draw(&mut rng);
        ends.push(End { at, server: server as u32, dispatcher: dispatcher as u32 });
    }
    counts
}

/// Samples servers without replacement, in random order, and returns the first of those that hold the fewest jobs.
fn choose(held: &[u16], choices: usize, rng: &mut Pcg32) -> usize {
    let sampled = index::sample(rng, held.len(), choices.min(held.len()));
    sampled.into_iter().min_by_key(|server| held[*server]).unwrap_or_default()
}
