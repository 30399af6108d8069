//! What passes between two processes: how late it comes, and what of it is lost.

use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long it takes, one way.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Within a hall.
    pub hall: Duration,
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
        Delays { hall: us(200), region: us(1000), regions: us(8000), jitter: 0.5 }
    }
}

/// A place that is cut off, or one that is not reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// One process, by its number.
    Node(usize),
    /// All of a hall, by its number.
    Hall(usize),
}

/// A process, and where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its number.
    pub node: usize,
    /// Its hall.
    pub hall: usize,
    /// That hall's region.
    pub region: usize,
}

impl Place {
    fn is(&self, side: Side) -> bool {
        match side {
            Side::Node(node) => node == self.node,
            Side::Hall(hall) => hall == self.hall,
        }
    }
}

/// The network.
#[derive(Clone, Debug, Default)]
pub struct Net {
    /// Delays.
    pub delays: Delays,
    /// This part of datagrams is lost, and of what is said on streams with a connection that breaks, 0 to 1.
    pub loss: f64,
    /// This part comes twice, where it is not lost.
    pub twice: f64,
    /// It takes up to this much longer, evenly drawn, so that one overtakes another.
    pub late: Duration,
    /// Nothing passes from the one to the other.
    pub cuts: BTreeSet<(Side, Side)>,
    /// Nothing passes the border of these halls: out of them, and into them.
    pub borders: BTreeSet<(usize, bool)>,
}

impl Net {
    /// Whether nothing passes.
    pub fn is_cut(&self, from: &Place, to: &Place) -> bool {
        let crosses = |(hall, out): &(usize, bool)| {
            let (inside, there) = (from.hall == *hall, to.hall == *hall);
            inside != there && inside == *out
        };
        self.borders.iter().any(crosses) || self.cuts.iter().any(|(a, b)| from.is(*a) && to.is(*b))
    }

    /// When each copy of something comes; none where it is lost.
    pub fn copies(&self, from: &Place, to: &Place, draws: &mut Pcg32) -> Vec<Duration> {
        if self.is_cut(from, to) || (self.loss > 0.0 && draws.random::<f64>() < self.loss) {
            return Vec::new();
        }
        let count = 1 + usize::from(self.twice > 0.0 && draws.random::<f64>() < self.twice);
        (0..count).map(|_| self.delay(from, to, draws)).collect()
    }

    fn delay(&self, from: &Place, to: &Place, draws: &mut Pcg32) -> Duration {
        let Delays { hall, region, regions, jitter } = self.delays;
        let base = match (from.hall == to.hall, from.region == to.region) {
            (true, _) => hall,
            (_, true) => region,
            _ => regions,
        };
        let late = if self.late.is_zero() { Duration::ZERO } else { self.late.mul_f64(draws.random()) };
        base.mul_f64(1.0 + jitter * draws.random::<f64>()) + late
    }
}
