//! Who may use how much while processes of one sidecar serve side by side, sans I/O.
//!
//! What one sidecar may use (windows, endpoints' limits, the cold budget, saved retries) counts as [`PARTS`]
//! parts. A process that is alone holds all of them. A successor begins with none; from then on each tells the
//! other its need from time to time, and whoever holds more than its need's proportion gives parts away. A part
//! leaves its giver before it is on its way, so that two processes never hold more than all parts together,
//! whatever is late or lost. When one has gone, the other takes what that one held.
//!
//! In a row of three (a successor has a successor) the middle one passes parts on. Killed, it leaves the two others
//! not knowing of each other: then a process that is ending takes nothing back, see [`Shares::gone`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// All that one sidecar may use. Fine enough that a sixteenth of the calls is not rounded away.
pub const PARTS: u32 = 64;
/// What a process keeps while it lives, whatever its need: a sixteenth, or a first call would find nothing.
pub const LEAST: u32 = 4;
/// Less than this is not worth a message: needs change with every call.
pub const STEP: u32 = 4;

/// How often a process looks at what it needs, while another is beside it: well within the 250 ms in which parts
/// are to follow, and a few lines a second.
pub const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Requests that came within so many looks count as needed: half a second of them.
const LOOKS: usize = 25;

/// What a process needs: its open requests, and those that came of late.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Requests that came, by look; the last one is still counted.
    came: VecDeque<u32>,
}

impl Need {
    /// A request has come. Counted from the first look on.
    pub fn came(&mut self) {
        if let Some(now) = self.came.back_mut() {
            *now += 1;
        }
    }

    /// Looks, once in [`LOOK_EVERY`]: what is needed with so many requests open.
    pub fn look(&mut self, open: usize) -> u32 {
        let need = u32::try_from(open).unwrap_or(u32::MAX).saturating_add(self.came.iter().sum());
        self.came.push_back(0);
        if self.came.len() > LOOKS {
            self.came.pop_front();
        }
        need
    }
}

/// One neighbour: the process before this one, or the one after it.
#[derive(Clone, Copy, Debug)]
struct Side {
    /// Parts on that side, those on their way there among them.
    theirs: u32,
    /// What it has said that it needs; none until it has said something.
    need: Option<u32>,
}

/// A neighbour said what can't be.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum Wrong {
    /// It gave more than it held.
    #[error("{given} parts given of {held} held")]
    TooMany {
        /// Parts that it gave.
        given: u32,
        /// Parts that it held.
        held: u32,
    },
    /// No such neighbour.
    #[error("not a neighbour")]
    Unknown,
}

/// What this process holds, and what its neighbours hold: together [`PARTS`], or less once an ending one has left
/// a neighbour's where they were.
#[derive(Clone, Debug)]
pub struct Shares {
    own: u32,
    sides: BTreeMap<u64, Side>,
}

impl Default for Shares {
    fn default() -> Self {
        Shares { own: PARTS, sides: BTreeMap::new() }
    }
}

impl Shares {
    /// Parts that this process holds, 0 to [`PARTS`].
    pub fn own(&self) -> u32 {
        self.own
    }

    /// The same as a part of one.
    pub fn share(&self) -> f64 {
        f64::from(self.own) / f64::from(PARTS)
    }

    /// Whether another process is beside this one.
    pub fn beside(&self) -> bool {
        !self.sides.is_empty()
    }

    /// The neighbours, in the order of their numbers.
    pub fn neighbours(&self) -> impl Iterator<Item = u64> {
        self.sides.keys().copied()
    }

    /// A successor is there. It holds nothing yet.
    pub fn successor(&mut self, link: u64) {
        self.sides.insert(link, Side { theirs: 0, need: None });
    }

    /// A process before this one serves: it holds all that this one holds now.
    pub fn predecessor(&mut self, link: u64) {
        self.sides.insert(link, Side { theirs: std::mem::take(&mut self.own), need: None });
    }

    /// A neighbour says what it needs: requests open and lately come, in any unit that both use.
    ///
    /// # Errors
    /// It is no neighbour.
    pub fn needs(&mut self, link: u64, need: u32) -> Result<(), Wrong> {
        self.sides.get_mut(&link).ok_or(Wrong::Unknown)?.need = Some(need);
        Ok(())
    }

    /// A neighbour has given parts.
    ///
    /// # Errors
    /// It is no neighbour, or does not hold so many; then nothing changes.
    pub fn gets(&mut self, link: u64, given: u32) -> Result<(), Wrong> {
        let side = self.sides.get_mut(&link).ok_or(Wrong::Unknown)?;
        let held = side.theirs;
        side.theirs = held.checked_sub(given).ok_or(Wrong::TooMany { given, held })?;
        self.own += given;
        Ok(())
    }

    /// What is to be given to a neighbour now, while this process needs so much; it is given with this call. None
    /// where that is not worth it, or the neighbour has never said what it needs: it may not know of parts.
    pub fn gives(&mut self, link: u64, need: u32) -> Option<u32> {
        let side = self.sides.get_mut(&link)?;
        let theirs = f64::from(side.need?);
        let pot = self.own + side.theirs;
        let least = LEAST.min(pot / 2);
        let proportion = match f64::from(need) + theirs {
            0.0 => f64::from(self.own) / f64::from(pot.max(1)), // nobody needs any: all stays as it is
            sum => f64::from(need) / sum,
        };
        let keep = ((f64::from(pot) * proportion).round() as u32).clamp(least, pot - least);
        let surplus = self.own.saturating_sub(keep);
        // The first parts go at once, however few: without any, a process stands still.
        if surplus == 0 || (surplus < STEP && side.theirs >= least) {
            return None;
        }
        self.own -= surplus;
        side.theirs += surplus;
        Some(surplus)
    }

    /// A neighbour has gone: its parts are this process's again. Gives how many came back.
    ///
    /// None do where this process is `ending` and holds some: it sends next to nothing any more, while the one that
    /// has gone may have passed parts on to a process that now takes back what lies on this side.
    pub fn gone(&mut self, link: u64, ending: bool) -> u32 {
        let Some(side) = self.sides.remove(&link) else { return 0 };
        let back = if ending && self.own >= LEAST { 0 } else { side.theirs };
        self.own += back;
        back
    }
}
