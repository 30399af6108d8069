//! Journals on failing disks, after a kill in the middle of a write, and after steps of the wall clock.
//!
//! No test of this file starts a process: until a child has executed its program it keeps the locks of
//! journals that another test closes.

mod support;

use curlewhub_keys::{
    ClockAnchor, Entry, Journal, JournalFolder, JournalKind, KeyTable, MAX_KEYS, OtherJournals,
    RETRY_INTERVAL, RetryingJournal, decode, shift,
};
use proptest::prelude::*;
use std::path::Path;
use std::time::Duration;
use support::{Folder, NOW, SECOND, WINDOW, ZONES_HASH, anchor, entry, write};

const HEADER_BYTES: usize = 16;
const SLOT_BYTES: usize = 40;
/// Written by the last build without anchors: keys 0 to 3, of which key 1 was forgotten.
const JOURNAL_WITHOUT_ANCHOR: &[u8] = include_bytes!("fixtures/journal-v1.bin");

#[test]
fn a_journal_without_an_anchor_is_read() {
    let contents = decode(JOURNAL_WITHOUT_ANCHOR, ZONES_HASH).unwrap();
    assert_eq!(contents.entries, [0, 2, 3].map(|key| entry(key, NOW)));
    assert_eq!((contents.corrupt, contents.anchor), (0, None));
}

#[test]
fn builds_without_anchors_treat_an_anchor_as_an_expired_key() {
    let folder = Folder::new("anchor");
    let (mut own, problem) = RetryingJournal::open(folder.location(), NOW, Some(anchor(NOW, SECOND)));
    assert!(problem.is_none());
    write(&mut own, &mut KeyTable::default(), 1).unwrap();
    let bytes = std::fs::read(own.path()).unwrap();
    assert_eq!(bytes.len(), HEADER_BYTES + 2 * SLOT_BYTES);
    let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
    let as_key = Entry {
        key: word(HEADER_BYTES),
        zone: 0,
        cell: word(HEADER_BYTES + 24),
        sent: Duration::from_micros(word(HEADER_BYTES + 8)),
        window: Duration::from_micros(word(HEADER_BYTES + 16)),
    };
    assert_eq!((as_key.window, KeyTable::default().insert(NOW, as_key)), (Duration::ZERO, None));
    // A file with all keys and the anchor is no longer than those builds accept.
    assert!(decode(&vec![0; HEADER_BYTES + 65_536 * SLOT_BYTES + 1], ZONES_HASH).is_err());
    assert_eq!(MAX_KEYS + 1, 65_536);
}

#[test]
fn a_journal_that_can_not_be_created_is_created_later_with_all_entries() {
    let folder = Folder::new("late");
    std::fs::remove_dir(&folder.0).unwrap();
    let (mut own, problem) = RetryingJournal::open(folder.location(), NOW, None);
    assert!(problem.is_some() && own.needs_retry());
    let mut table = KeyTable::default();
    for key in 0..1000 {
        assert!(write(&mut own, &mut table, key).is_err());
    }
    own.write(NOW, &table.forget(500).unwrap()).unwrap_err();
    std::fs::create_dir(&folder.0).unwrap();
    assert!(own.retry(NOW).is_err(), "retried before the interval has passed");
    own.retry(NOW + RETRY_INTERVAL).unwrap();
    assert!(!own.needs_retry());
    assert_eq!(folder.keys(), (0..1000).filter(|key| *key != 500).collect());
}

#[test]
fn the_next_write_includes_some_dirty_slots_and_a_retry_the_others() {
    let folder = Folder::new("next");
    std::fs::remove_dir(&folder.0).unwrap();
    let (mut own, _) = RetryingJournal::open(folder.location(), NOW, None);
    let mut table = KeyTable::default();
    for key in 0..300 {
        assert!(write(&mut own, &mut table, key).is_err());
    }
    std::fs::create_dir(&folder.0).unwrap();
    let later = NOW + RETRY_INTERVAL;
    own.write(later, &table.insert(later, entry(300, later)).unwrap()).unwrap();
    assert!((1..300).contains(&own.dirty_slots()), "{} are dirty", own.dirty_slots());
    own.retry(later).unwrap();
    assert_eq!((own.dirty_slots(), folder.keys().len()), (0, 301));
}

/// The entries that are decoded from these bytes; none if the decoder rejects them.
fn read_entries(bytes: &[u8]) -> Vec<Entry> {
    decode(bytes, ZONES_HASH).map(|contents| contents.entries).unwrap_or_default()
}

#[test]
fn a_kill_at_any_byte_affects_only_the_slot_that_was_being_written() {
    let folder = Folder::new("cut");
    let (mut own, _) = RetryingJournal::open(folder.location(), NOW, Some(anchor(NOW, SECOND)));
    let mut table = KeyTable::default();
    (0..4).for_each(|key| write(&mut own, &mut table, key).unwrap());
    let intact = std::fs::read(own.path()).unwrap();
    let all = read_entries(&intact);
    assert_eq!(all.len(), 4);
    for length in 0..=intact.len() {
        let slots = length.saturating_sub(HEADER_BYTES + SLOT_BYTES) / SLOT_BYTES;
        assert_eq!(read_entries(&intact[..length]), all[..slots], "cut at {length}");
    }
    // The third slot is overwritten with another key or cleared, and the process is killed during that
    // write.
    let at = HEADER_BYTES + 3 * SLOT_BYTES;
    for forget in [true, false] {
        own.write(NOW, &table.forget(2).unwrap()).unwrap();
        if !forget {
            write(&mut own, &mut table, 7).unwrap();
        }
        let overwritten = std::fs::read(own.path()).unwrap();
        for done in 0..=SLOT_BYTES {
            let mut torn = intact.clone();
            torn[at..at + done].copy_from_slice(&overwritten[at..at + done]);
            let left = read_entries(&torn);
            let kept: Vec<u64> = left.iter().map(|entry| entry.key).filter(|key| key % 7 != 2).collect();
            let expected: &[u64] = if left.contains(&entry(7, NOW)) { &[0, 1, 7, 3] } else { &[0, 1, 3] };
            assert_eq!(kept, expected, "{done} bytes");
            assert!(
                left.iter().all(|entry| all.contains(entry) || read_entries(&overwritten).contains(entry))
            );
        }
        table = KeyTable::default();
        (0..4).for_each(|key| assert!(table.insert(NOW, entry(key, NOW)).is_some()));
    }
}

#[test]
fn a_half_written_header_does_not_affect_other_files() {
    let folder = Folder::new("header");
    let path = |name: u32| folder.0.join(format!("curlewhub-keys-s-{name}.bin"));
    std::fs::write(path(1), JOURNAL_WITHOUT_ANCHOR).unwrap();
    for length in 0..HEADER_BYTES + SLOT_BYTES {
        std::fs::write(path(2), &JOURNAL_WITHOUT_ANCHOR[..length]).unwrap();
        let (entries, problems) = folder.others().read();
        assert_eq!(entries, read_entries(JOURNAL_WITHOUT_ANCHOR), "{length}");
        assert!(problems.len() <= 1);
    }
}

/// The table of a process that starts `age` after another one sent a key, and the time of its start. The
/// wall clock is stepped in between.
fn successor(folder: &Path, age: Duration, step_micros: i64, same_boot: bool) -> (KeyTable, Duration) {
    let location = JournalFolder {
        kind: JournalKind::Keys,
        folder: folder.to_owned(),
        sidecar: "s".to_owned(),
        zones_hash: ZONES_HASH,
    };
    let up = Duration::from_secs(5000);
    let (mut own, _) = RetryingJournal::open(location, NOW, Some(anchor(NOW, up)));
    let sent = NOW + SECOND;
    own.write(sent, &KeyTable::default().insert(sent, entry(1, sent)).unwrap()).unwrap();
    drop(own);
    let now = shift(sent + age, step_micros);
    let boot_id: &[u8] = if same_boot { b"a boot" } else { b"another" };
    let clock = ClockAnchor::new(boot_id, now, up + SECOND + age, up + SECOND + age);
    let mut table = KeyTable::default();
    for found in OtherJournals::new(folder, "s", None, ZONES_HASH).read_with_clock(Some(&clock)).0 {
        table.insert(now, found);
    }
    (table, now)
}

#[test]
fn a_clock_step_between_two_processes_does_not_change_a_window() {
    for step in [-3_600, -10, -1, 0, 1, 5, 10, 3_600] {
        for age in [0, 1, 5, 6, 7] {
            let folder = Folder::new("step");
            let age = Duration::from_secs(age);
            let (table, now) = successor(&folder.0, age, step * 1_000_000, true);
            assert_eq!(table.find(now, 1).is_some(), age < WINDOW, "step {step} s, sent {age:?} ago");
            assert!(table.find(now + WINDOW.saturating_sub(age), 1).is_none(), "step {step} s, {age:?}");
        }
    }
}

#[test]
fn clocks_of_another_boot_or_over_a_suspension_are_not_compared() {
    let folder = Folder::new("boot");
    let (table, now) = successor(&folder.0, SECOND, 0, false);
    assert!(table.find(now, 1).is_some());
    let suspended = |since_boot: u64, ran: u64| {
        ClockAnchor::new(b"a boot", NOW, Duration::from_secs(since_boot), Duration::from_secs(ran))
    };
    assert_eq!(suspended(100, 90).correction_micros(&suspended(50, 50)), None);
    assert_eq!(suspended(100, 90).correction_micros(&suspended(60, 50)), Some(-40_000_000));
    let bytes = suspended(100, 90).to_bytes();
    assert_eq!(ClockAnchor::from_bytes(&bytes), Some(suspended(100, 90)));
    assert_eq!(ClockAnchor::from_bytes(&bytes[1..]), None);
    assert_eq!(ClockAnchor::from_bytes(&vec![0; bytes.len()]), None);
}

#[test]
fn files_are_removed_by_elapsed_time_and_never_while_their_process_runs() {
    let folder = Folder::new("clear");
    let up = Duration::from_secs(5000);
    let (mut own, _) = RetryingJournal::open(folder.location(), NOW, Some(anchor(NOW, up)));
    write(&mut own, &mut KeyTable::default(), 1).unwrap();
    let remove = |elapsed: Duration, step: i64| {
        let now = shift(NOW + elapsed, step * 1_000_000);
        let clock = anchor(now, up + elapsed);
        folder.others().remove_expired_with_clock(Duration::from_secs(66), Some((&clock, now)))
    };
    assert_eq!(remove(Duration::from_secs(7200), 0), 0, "its process is alive, but idle");
    assert_eq!(folder.others().remove_expired(Duration::ZERO), 0, "the same by modification time");
    drop(own);
    assert_eq!(remove(SECOND, 3600) + remove(SECOND, -3600) + remove(Duration::from_secs(60), 0), 0);
    assert_eq!(remove(Duration::from_secs(70), -3600), 1);
    // The age of a file without an anchor is that of its modification time.
    Journal::create(&folder.0, "s", NOW, ZONES_HASH).unwrap();
    assert_eq!(remove(Duration::from_secs(7200), 0), 0);
}

proptest! {
    /// Wherever a write is interrupted, the slot holds the old entry, the new one or none.
    #[test]
    fn a_torn_slot_never_yields_a_wrong_entry(old in any::<(u64, u32, u64, u64)>(), new in any::<(u64, u32, u64, u64)>(), cut in 0..=SLOT_BYTES) {
        let make = |(key, zone, cell, micros): (u64, u32, u64, u64)| {
            Entry { key, zone, cell, sent: Duration::from_micros(micros), window: WINDOW }
        };
        let folder = Folder::new("torn");
        let bytes = [old, new].map(|fields| {
            let journal = Journal::create(&folder.0, "s", NOW, ZONES_HASH).unwrap();
            journal.write(&curlewhub_keys::SlotWrite { slot: 0, entry: Some(make(fields)) }).unwrap();
            let bytes = std::fs::read(journal.path()).unwrap();
            std::fs::remove_file(journal.path()).unwrap();
            bytes
        });
        let at = HEADER_BYTES + cut;
        let torn = [&bytes[1][..at], &bytes[0][at..]].concat();
        for entry in read_entries(&torn) {
            prop_assert!(entry == make(old) || entry == make(new));
        }
    }
}
