//! What is remembered, for how long, and in which slot of the file.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Keys remembered at the most: 65,536, ten thousand a second with windows of six seconds. Beyond that the oldest are
/// forgotten, and counted.
pub const MOST: usize = 65_536;

/// Where a job may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The key's hash.
    pub key: u64,
    /// The zone's number.
    pub zone: u32,
    /// The cell's number.
    pub cell: u64,
    /// When it was first sent, on the clock of the callers: Unix time.
    pub sent: Duration,
    /// For how long from then on endpoints drop a repeat.
    pub window: Duration,
}

impl Entry {
    /// Whether endpoints have forgotten the key by now.
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.sent + self.window
    }
}

/// A slot of the file is to hold this from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Written {
    /// Which, from 0.
    pub slot: u32,
    /// What; none where it is to be blank.
    pub entry: Option<Entry>,
}

/// What is remembered. The time passed in may step back; an entry then stays longer.
#[derive(Debug, Default)]
pub struct Memory {
    keys: HashMap<u64, (u32, Entry)>,
    /// Slots in use with key and time, the one written first in front. What was forgotten or written anew since stays
    /// behind and is skipped.
    used: VecDeque<(u32, u64, Duration)>,
    blank: Vec<u32>,
    slots: u32,
    most: Option<usize>,
    lost: u64,
}

impl Memory {
    /// One that remembers at most so many keys, up to [`MOST`].
    pub fn holding(most: usize) -> Self {
        Memory { most: Some(most.clamp(1, MOST)), ..Memory::default() }
    }

    /// Keys remembered, those that are over and not yet cleared away among them.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Keys forgotten before they were over, for want of room.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Where the job of this key may have run, as far as endpoints still remember it.
    pub fn find(&self, now: Duration, key: u64) -> Option<&Entry> {
        self.keys.get(&key).map(|(_, entry)| entry).filter(|entry| !entry.is_over(now))
    }

    /// A job is about to be sent: gives what is to be written first. None where the key is known already: its window
    /// runs from the first send on, whatever follows.
    pub fn note(&mut self, now: Duration, mut entry: Entry) -> Option<Written> {
        entry.sent = entry.sent.min(now); // of a process whose clock was ahead
        if entry.is_over(now) || self.find(now, entry.key).is_some() {
            return None;
        }
        // A key that is over keeps its slot.
        let known = self.keys.get(&entry.key).map(|(slot, _)| *slot);
        let slot = known.unwrap_or_else(|| self.slot(now));
        if self.used.len() >= 2 * self.most() {
            self.used.retain(|used| is_current(&self.keys, used)); // so it stays bounded, at little cost a key
        }
        self.used.push_back((slot, entry.key, entry.sent));
        self.keys.insert(entry.key, (slot, entry));
        Some(Written { slot, entry: Some(entry) })
    }

    /// The job of this key has surely not run, nor will it.
    pub fn forget(&mut self, key: u64) -> Option<Written> {
        let (slot, _) = self.keys.remove(&key)?;
        self.blank.push(slot);
        Some(Written { slot, entry: None })
    }

    /// A slot for one more: a blank one, the oldest whose key is over, a new one, or at last the oldest.
    fn slot(&mut self, now: Duration) -> u32 {
        while let Some(&used) = self.used.front() {
            let (slot, key, _) = used;
            let Some((_, entry)) = self.keys.get(&key).filter(|_| is_current(&self.keys, &used)) else {
                self.used.pop_front();
                continue;
            };
            let over = entry.is_over(now);
            if !over && (!self.blank.is_empty() || self.keys.len() < self.most()) {
                break;
            }
            self.used.pop_front();
            self.keys.remove(&key);
            self.lost += u64::from(!over);
            return slot;
        }
        self.blank.pop().unwrap_or_else(|| {
            self.slots += 1;
            self.slots - 1
        })
    }

    fn most(&self) -> usize {
        self.most.unwrap_or(MOST)
    }
}

/// Whether a slot still holds what was written to it then.
fn is_current(keys: &HashMap<u64, (u32, Entry)>, (slot, key, sent): &(u32, u64, Duration)) -> bool {
    keys.get(key).is_some_and(|(at, entry)| at == slot && entry.sent == *sent)
}
