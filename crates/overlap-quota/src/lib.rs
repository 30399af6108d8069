//! Overlap quota: how much each of two processes of one sidecar may use during a handover, sans I/O.
//!
//! What one sidecar may use (windows, endpoint limits, the slow-start budget, saved retries) is divided into
//! [`TOTAL_PARTS`] parts. A process that is alone holds all of them. A successor begins with none. From then on each
//! process reports its demand to the other at intervals, and a process that holds more than its proportion gives parts
//! away. A part is deducted from the giver before it is sent, so two processes never hold more than all parts together,
//! whatever is late or lost. When one process has ended, the other takes over what it held.
//!
//! In a chain of three processes (a successor has a successor) the one in the middle passes parts on. If it is
//! killed, the two others do not know of each other: a process that is ending then takes nothing back, see
//! [`OverlapQuota::remove_neighbour`].

#![warn(clippy::too_many_lines)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// The number of parts that the whole quota of a sidecar is divided into. Fine enough that a sixteenth of the calls
/// is not rounded away.
pub const TOTAL_PARTS: u32 = 64;
/// The minimum that a running process keeps, whatever its demand: a sixteenth, so that its first call is not rejected.
pub const MIN_PARTS: u32 = 4;
/// The minimum transfer, as demand changes with every call and a message for each change would be too many.
pub const MIN_TRANSFER: u32 = 4;

/// How often a process samples its demand while it has a neighbour: well within the 250 ms in which parts have to
/// follow the load, and a few messages a second.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that arrived within this many samples count as demand: half a second of them.
const DEMAND_SAMPLES: usize = 25;

/// Measures the demand of a process: its open requests, and those that arrived recently.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Arrivals by sample, oldest first; the last one is still being counted.
    arrivals: VecDeque<u32>,
}

impl Demand {
    /// Counts a request that has arrived. Arrivals before the first sample are not counted.
    pub fn record_arrival(&mut self) {
        if let Some(current) = self.arrivals.back_mut() {
            *current += 1;
        }
    }

    /// Takes a sample, once in [`SAMPLE_INTERVAL`], and returns the demand with this many open requests.
    pub fn sample(&mut self, open_requests: usize) -> u32 {
        let open_requests = u32::try_from(open_requests).unwrap_or(u32::MAX);
        let demand = open_requests.saturating_add(self.arrivals.iter().sum());
        self.arrivals.push_back(0);
        if self.arrivals.len() > DEMAND_SAMPLES {
            self.arrivals.pop_front();
        }
        demand
    }
}

/// The predecessor or the successor of this process.
#[derive(Clone, Copy, Debug)]
struct Neighbour {
    /// Parts that it holds, including those on their way to it.
    parts: u32,
    /// The demand that it has reported; none until it has reported one.
    demand: Option<u32>,
}

/// A message from a neighbour that contradicts what this process knows.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum QuotaError {
    /// It gave more than it held.
    #[error("{given} parts given of {held} held")]
    TooMany {
        /// Parts that it gave.
        given: u32,
        /// Parts that it held.
        held: u32,
    },
    /// There is no such neighbour.
    #[error("not a neighbour")]
    Unknown,
}

/// What this process holds, and what its neighbours hold: together [`TOTAL_PARTS`], or fewer once a process that is
/// ending has left a neighbour's parts where they were.
#[derive(Clone, Debug)]
pub struct OverlapQuota {
    own: u32,
    neighbours: BTreeMap<u64, Neighbour>,
}

impl Default for OverlapQuota {
    fn default() -> Self {
        OverlapQuota { own: TOTAL_PARTS, neighbours: BTreeMap::new() }
    }
}

impl OverlapQuota {
    /// Parts that this process holds, 0 to [`TOTAL_PARTS`].
    pub fn own_parts(&self) -> u32 {
        self.own
    }

    /// The fraction of all parts that this process holds, 0 to 1.
    pub fn fraction(&self) -> f64 {
        f64::from(self.own) / f64::from(TOTAL_PARTS)
    }

    /// Whether this process has a neighbour.
    pub fn has_neighbours(&self) -> bool {
        !self.neighbours.is_empty()
    }

    /// The neighbours, in the order of their numbers.
    pub fn neighbours(&self) -> impl Iterator<Item = u64> {
        self.neighbours.keys().copied()
    }

    /// Adds a successor. It holds nothing yet.
    pub fn add_successor(&mut self, link: u64) {
        self.neighbours.insert(link, Neighbour { parts: 0, demand: None });
    }

    /// Adds a predecessor, which still serves: it holds all that this process holds now.
    pub fn add_predecessor(&mut self, link: u64) {
        let parts = std::mem::take(&mut self.own);
        self.neighbours.insert(link, Neighbour { parts, demand: None });
    }

    /// Records the demand that a neighbour has reported: open requests and recent arrivals, in any unit that both use.
    ///
    /// # Errors
    /// It is no neighbour.
    pub fn set_demand(&mut self, link: u64, demand: u32) -> Result<(), QuotaError> {
        self.neighbours.get_mut(&link).ok_or(QuotaError::Unknown)?.demand = Some(demand);
        Ok(())
    }

    /// Takes parts that a neighbour has given to this process.
    ///
    /// # Errors
    /// It is no neighbour, or does not hold so many; then nothing changes.
    pub fn receive(&mut self, link: u64, given: u32) -> Result<(), QuotaError> {
        let neighbour = self.neighbours.get_mut(&link).ok_or(QuotaError::Unknown)?;
        let held = neighbour.parts;
        neighbour.parts = held.checked_sub(given).ok_or(QuotaError::TooMany { given, held })?;
        self.own += given;
        Ok(())
    }

    /// Gives parts to a neighbour in proportion to the demands of both, and returns how many. Returns `None` if there
    /// is less to give than [`MIN_TRANSFER`], or if the neighbour has never reported a demand, as its version may not
    /// know of parts.
    pub fn give(&mut self, link: u64, own_demand: u32) -> Option<u32> {
        let neighbour = self.neighbours.get_mut(&link)?;
        let other_demand = f64::from(neighbour.demand?);
        let total = self.own + neighbour.parts;
        let min_parts = MIN_PARTS.min(total / 2);
        let proportion = match f64::from(own_demand) + other_demand {
            0.0 => f64::from(self.own) / f64::from(total.max(1)), // no demand at all: no part moves
            sum => f64::from(own_demand) / sum,
        };
        let fair = (f64::from(total) * proportion).round() as u32;
        let keep = fair.clamp(min_parts, total - min_parts);
        let surplus = self.own.saturating_sub(keep);
        // The first parts are given at once, however few: a process without any can't send.
        if surplus == 0 || (surplus < MIN_TRANSFER && neighbour.parts >= min_parts) {
            return None;
        }
        self.own -= surplus;
        neighbour.parts += surplus;
        Some(surplus)
    }

    /// Removes a neighbour that has ended and takes its parts over. Returns how many came back.
    ///
    /// None come back if this process is `ending` and holds at least [`MIN_PARTS`] itself: it sends next to nothing any
    /// more, while the neighbour may have passed parts on to a process that now takes over those of this process.
    pub fn remove_neighbour(&mut self, link: u64, ending: bool) -> u32 {
        let Some(neighbour) = self.neighbours.remove(&link) else { return 0 };
        let returned = if ending && self.own >= MIN_PARTS { 0 } else { neighbour.parts };
        self.own += returned;
        returned
    }
}

/// The old name of [`Demand`], for one release.
pub use Demand as Need;

/// The old name of [`OverlapQuota`], for one release.
pub use OverlapQuota as Shares;

/// The old name of [`SAMPLE_INTERVAL`], for one release.
pub use SAMPLE_INTERVAL as LOOK_EVERY;
