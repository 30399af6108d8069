//! What passes between two processes: how late it comes, and what of it is lost.

use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long it takes, one way.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Within a hall.
    pub zone: Duration,
    /// Between halls of one region.
    pub region: Duration,
    /// Between regions.
    pub regions: Duration,
    /// Each is stretched by up to this part of itself, evenly drawn.
    pub jitter: f64,
}

impl Default for Delays {
    fn default() -> Self {
        let us = Duration::from_micros;
        Delays { zone: us(200), region: us(1000), regions: us(8000), jitter: 0.5 }
    }
}

/// A place that is cut off, or one that is not reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// One process, by its number.
    Node(usize),
    /// All of a hall, by its number.
    Zone(usize),
}

/// A process, and where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its number.
    pub node: usize,
    /// Its hall.
    pub zone: usize,
    /// That hall's region.
    pub region: usize,
}

impl Location {
    fn is(&self, agent: Scope) -> bool {
        match agent {
            Scope::Node(node) => node == self.node,
            Scope::Zone(zone) => zone == self.zone,
        }
    }
}

/// The network.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Delays.
    pub delays: Delays,
    /// This part of datagrams is lost, and of what is said on streams with a connection that breaks, 0 to 1.
    pub loss: f64,
    /// This part comes twice, where it is not lost.
    pub duplication: f64,
    /// It takes up to this much longer, evenly drawn, so that one overtakes another.
    pub extra_delay: Duration,
    /// Nothing passes from the one to the other.
    pub cuts: BTreeSet<(Scope, Scope)>,
    /// Nothing passes the border of these halls: out of them, and into them.
    pub isolated_zones: BTreeSet<(usize, bool)>,
}

impl Network {
    /// Whether nothing passes.
    pub fn is_cut(&self, from: &Location, to: &Location) -> bool {
        let crosses = |(zone, out): &(usize, bool)| {
            let (inside, there) = (from.zone == *zone, to.zone == *zone);
            inside != there && inside == *out
        };
        self.isolated_zones.iter().any(crosses) || self.cuts.iter().any(|(a, b)| from.is(*a) && to.is(*b))
    }

    /// When each copy of something comes; none where it is lost.
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
        let late = if self.extra_delay.is_zero() {
            Duration::ZERO
        } else {
            self.extra_delay.mul_f64(draws.random())
        };
        base.mul_f64(1.0 + jitter * draws.random::<f64>()) + late
    }
}
