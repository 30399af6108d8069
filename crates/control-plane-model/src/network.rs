//! The modelled network: delays, losses, duplicates, and cut paths.

use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use std::time::Duration;

/// One-way delays.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Within a zone.
    pub zone: Duration,
    /// Between zones of one region.
    pub region: Duration,
    /// Between regions.
    pub regions: Duration,
    /// Each delay grows by up to this fraction of itself, drawn uniformly.
    pub jitter: f64,
}

impl Default for Delays {
    fn default() -> Self {
        let us = Duration::from_micros;
        Delays { zone: us(200), region: us(1000), regions: us(8000), jitter: 0.5 }
    }
}

/// One end of a cut path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// One process, by number.
    Node(usize),
    /// All processes of a zone, by number.
    Zone(usize),
}

/// A process, its zone and its region, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The process.
    pub node: usize,
    /// Its zone.
    pub zone: usize,
    /// The zone's region.
    pub region: usize,
}

impl Location {
    fn is_in(&self, scope: Scope) -> bool {
        match scope {
            Scope::Node(node) => node == self.node,
            Scope::Zone(zone) => zone == self.zone,
        }
    }
}

/// The network between the processes of a fleet. [`Default`] is one without faults.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// One-way delays by distance.
    pub delays: Delays,
    /// The fraction of messages that is lost, 0 to 1: datagrams, and those of streams whose connection breaks.
    pub loss: f64,
    /// The fraction of delivered messages that arrives twice, 0 to 1.
    pub duplication: f64,
    /// Messages take up to this much longer, drawn uniformly, so that they overtake one another, on streams too.
    pub extra_delay: Duration,
    /// Paths that are cut, in the direction from the first scope to the second.
    pub cuts: BTreeSet<(Scope, Scope)>,
    /// Zones whose border is closed in one direction: outwards with `true`, inwards with `false`.
    pub isolated_zones: BTreeSet<(usize, bool)>,
}

impl Network {
    /// Whether the path between two processes is cut in this direction.
    pub fn is_cut(&self, from: &Location, to: &Location) -> bool {
        let crosses = |(zone, outwards): &(usize, bool)| {
            let (starts_inside, ends_inside) = (from.zone == *zone, to.zone == *zone);
            starts_inside != ends_inside && starts_inside == *outwards
        };
        self.isolated_zones.iter().any(crosses)
            || self.cuts.iter().any(|(a, b)| from.is_in(*a) && to.is_in(*b))
    }

    /// The delay of each copy of a message; empty if it is lost.
    pub fn copies(&self, from: &Location, to: &Location, draws: &mut Pcg32) -> Vec<Duration> {
        if self.is_cut(from, to) || (self.loss > 0.0 && draws.random::<f64>() < self.loss) {
            return Vec::new();
        }
        let count = 1 + usize::from(self.duplication > 0.0 && draws.random::<f64>() < self.duplication);
        (0..count).map(|_| self.delay(from, to, draws)).collect()
    }

    fn delay(&self, from: &Location, to: &Location, draws: &mut Pcg32) -> Duration {
        let Delays { zone, region, regions, jitter } = self.delays;
        let base = match (from.zone == to.zone, from.region == to.region) {
            (true, _) => zone,
            (_, true) => region,
            _ => regions,
        };
        let extra = if self.extra_delay.is_zero() {
            Duration::ZERO
        } else {
            self.extra_delay.mul_f64(draws.random())
        };
        base.mul_f64(1.0 + jitter * draws.random::<f64>()) + extra
    }
}
