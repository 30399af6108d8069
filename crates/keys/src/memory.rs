//! The keys that are remembered, for how long, and in which slot of the journal.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The most keys that are remembered: 65,535, enough for ten thousand a second with windows of six seconds. Beyond that
/// the oldest are forgotten, and counted. A journal has one slot more, for the clock of its process.
pub const MAX_KEYS: usize = 65_535;

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

/// A change of one slot of the journal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotWrite {
    /// The number of the slot, from 0.
    pub slot: u32,
    /// What it holds from now on; none if it is to be empty.
    pub entry: Option<Entry>,
}

/// An entry, and the slot of the journal that holds it.
#[derive(Clone, Copy, Debug)]
struct Remembered {
    slot: u32,
    entry: Entry,
}

/// A write of the past: an entry of this key and time went into this slot.
#[derive(Clone, Copy, Debug)]
struct PastWrite {
    slot: u32,
    key: u64,
    sent: Duration,
}

/// The keys that are remembered. The time passed in may step back; an entry then stays longer.
#[derive(Debug, Default)]
pub struct Memory {
    keys: HashMap<u64, Remembered>,
    /// Past writes, oldest first. Those that were forgotten or overwritten since stay in and are skipped.
    writes: VecDeque<PastWrite>,
    free_slots: Vec<u32>,
    slots: u32,
    max_keys: Option<usize>,
    evicted: u64,
}

impl Memory {
    /// A memory of at most so many keys, up to [`MAX_KEYS`].
    pub fn holding(max_keys: usize) -> Self {
        Memory { max_keys: Some(max_keys.clamp(1, MAX_KEYS)), ..Memory::default() }
    }

    /// The number of keys, including those that are over and not removed yet.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The number of keys that were evicted before they were over, because the memory was full.
    pub fn lost(&self) -> u64 {
        self.evicted
    }

    /// Where the job of this key may have run, as long as endpoints remember it.
    pub fn find(&self, now: Duration, key: u64) -> Option<&Entry> {
        self.keys.get(&key).map(|remembered| &remembered.entry).filter(|entry| !entry.is_over(now))
    }

    /// Remembers a job that is about to be sent, and returns what has to be written first. None if the key is known
    /// already: its window runs from the first send, whatever follows.
    pub fn note(&mut self, now: Duration, mut entry: Entry) -> Option<SlotWrite> {
        entry.sent = entry.sent.min(now); // of a process whose clock was ahead
        if entry.is_over(now) || self.find(now, entry.key).is_some() {
            return None;
        }
        // A key that is over keeps its slot.
        let known = self.keys.get(&entry.key).map(|remembered| remembered.slot);
        let slot = known.unwrap_or_else(|| self.take_slot(now));
        if self.writes.len() >= 2 * self.max_keys() {
            // Keeps the queue bounded, at a small cost per key.
            self.writes.retain(|write| is_current(&self.keys, write));
        }
        self.writes.push_back(PastWrite { slot, key: entry.key, sent: entry.sent });
        self.keys.insert(entry.key, Remembered { slot, entry });
        Some(SlotWrite { slot, entry: Some(entry) })
    }

    /// Forgets a key whose job has certainly not run, and will not.
    pub fn forget(&mut self, key: u64) -> Option<SlotWrite> {
        let slot = self.keys.remove(&key)?.slot;
        self.free_slots.push(slot);
        Some(SlotWrite { slot, entry: None })
    }

    /// A slot for one more key: the oldest whose key is over, a free one, a new one, or at last the oldest.
    fn take_slot(&mut self, now: Duration) -> u32 {
        while let Some(&write) = self.writes.front() {
            let remembered = self.keys.get(&write.key).filter(|_| is_current(&self.keys, &write));
            let Some(remembered) = remembered else {
                self.writes.pop_front();
                continue;
            };
            let over = remembered.entry.is_over(now);
            let has_capacity = !self.free_slots.is_empty() || self.keys.len() < self.max_keys();
            if !over && has_capacity {
                break;
            }
            self.writes.pop_front();
            self.keys.remove(&write.key);
            self.evicted += u64::from(!over);
            return write.slot;
        }
        self.free_slots.pop().unwrap_or_else(|| {
            self.slots += 1;
            self.slots - 1
        })
    }

    fn max_keys(&self) -> usize {
        self.max_keys.unwrap_or(MAX_KEYS)
    }
}

/// Whether a slot still holds what this write put there.
fn is_current(keys: &HashMap<u64, Remembered>, write: &PastWrite) -> bool {
    keys.get(&write.key)
        .is_some_and(|remembered| remembered.slot == write.slot && remembered.entry.sent == write.sent)
}
