//! The keys that a process remembers, for how long, and in which slot of the journal each is stored.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The maximum number of remembered keys: enough for ten thousand a second with windows of six seconds.
/// Beyond that the oldest keys are evicted, and counted. A journal has one more slot, for the anchor of its
/// process's clock.
pub const MAX_KEYS: usize = 65_535;

/// Where and when a job with an idempotency key was first sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The key's [`crate::hash`].
    pub key: u64,
    /// The number of the zone that it was sent to.
    pub zone: u32,
    /// The number of the cell that it was sent to.
    pub cell: u64,
    /// When it was first sent, in Unix time by the process's clock.
    pub sent: Duration,
    /// For how long after the first send endpoints drop a repeated key.
    pub window: Duration,
}

impl Entry {
    /// Whether the window has passed, so that endpoints no longer know the key.
    pub fn is_expired(&self, now: Duration) -> bool {
        now >= self.sent + self.window
    }
}

/// A change of one slot of the journal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotWrite {
    /// The number of the slot, from 0.
    pub slot: u32,
    /// The new entry; none if the slot is to be empty.
    pub entry: Option<Entry>,
}

/// An entry, and the slot of the journal that holds it.
#[derive(Clone, Copy, Debug)]
struct StoredEntry {
    slot: u32,
    entry: Entry,
}

/// A past write: the entry with this key and time was stored in this slot.
#[derive(Clone, Copy, Debug)]
struct PastWrite {
    slot: u32,
    key: u64,
    sent: Duration,
}

/// The remembered keys and their slots. If the time passed to its methods steps back, entries stay longer.
#[derive(Debug, Default)]
pub struct KeyTable {
    keys: HashMap<u64, StoredEntry>,
    /// Past writes, oldest first. Writes whose slot was cleared or overwritten since stay in the queue and
    /// are skipped.
    writes: VecDeque<PastWrite>,
    free_slots: Vec<u32>,
    slots: u32,
    max_keys: Option<usize>,
    evicted: u64,
}

impl KeyTable {
    /// An empty table for up to `max_keys` keys, but for at least one and at most [`MAX_KEYS`].
    pub fn with_max_keys(max_keys: usize) -> Self {
        KeyTable { max_keys: Some(max_keys.clamp(1, MAX_KEYS)), ..KeyTable::default() }
    }

    /// The number of keys, including expired ones that were not removed yet.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The number of keys that were evicted before they expired, because the table was full.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// The entry of this key, unless it has expired.
    pub fn find(&self, now: Duration, key: u64) -> Option<&Entry> {
        self.keys.get(&key).map(|stored| &stored.entry).filter(|entry| !entry.is_expired(now))
    }

    /// Records a job that is about to be sent, and returns the change that has to be written to the journal
    /// first. None if the key is known already, because its window starts with the first send, or if the
    /// entry has expired.
    pub fn insert(&mut self, now: Duration, mut entry: Entry) -> Option<SlotWrite> {
        entry.sent = entry.sent.min(now); // the clock of another process may have been ahead
        if entry.is_expired(now) || self.find(now, entry.key).is_some() {
            return None;
        }
        // An expired key keeps its slot.
        let known = self.keys.get(&entry.key).map(|stored| stored.slot);
        let slot = known.unwrap_or_else(|| self.take_slot(now));
        if self.writes.len() >= 2 * self.max_keys() {
            // Bounds the queue. This takes linear time, but happens at most once in `max_keys` writes.
            self.writes.retain(|write| is_current(&self.keys, write));
        }
        self.writes.push_back(PastWrite { slot, key: entry.key, sent: entry.sent });
        self.keys.insert(entry.key, StoredEntry { slot, entry });
        Some(SlotWrite { slot, entry: Some(entry) })
    }

    /// Forgets a key whose job has certainly not run and will not run. None if the key is unknown.
    pub fn forget(&mut self, key: u64) -> Option<SlotWrite> {
        let slot = self.keys.remove(&key)?.slot;
        self.free_slots.push(slot);
        Some(SlotWrite { slot, entry: None })
    }

    /// Takes a slot for one more key: that of the oldest key if it has expired, else a free or new slot. If
    /// the table is full, the oldest key is evicted and its slot taken.
    fn take_slot(&mut self, now: Duration) -> u32 {
        while let Some(&write) = self.writes.front() {
            let stored = self.keys.get(&write.key).filter(|_| is_current(&self.keys, &write));
            let Some(stored) = stored else {
                self.writes.pop_front();
                continue;
            };
            let is_expired = stored.entry.is_expired(now);
            let has_capacity = !self.free_slots.is_empty() || self.keys.len() < self.max_keys();
            if !is_expired && has_capacity {
                break;
            }
            self.writes.pop_front();
            self.keys.remove(&write.key);
            self.evicted += u64::from(!is_expired);
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

/// Whether the slot still holds the entry of this write.
fn is_current(keys: &HashMap<u64, StoredEntry>, write: &PastWrite) -> bool {
    keys.get(&write.key).is_some_and(|stored| stored.slot == write.slot && stored.entry.sent == write.sent)
}
