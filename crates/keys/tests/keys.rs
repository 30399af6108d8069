//! The table of keys (windows, limit, eviction), and journals that are read after their process has ended.

use curlewhub_keys::{
    Entry, Journal, JournalContents, JournalError, KeyTable, OtherJournals, SlotWrite, decode,
    encode_header, hash, zones_hash,
};
use proptest::prelude::*;
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000_000);

fn entry(key: u64, zone: u32, sent: Duration) -> Entry {
    Entry { key, zone, cell: u64::from(zone) << 40, sent, window: Duration::from_secs(6) }
}

/// A folder that is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("curlewhub-keys-test-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_key_is_remembered_for_its_window_after_its_first_send() {
    let mut table = KeyTable::default();
    let second = Duration::from_secs(1);
    assert!(table.insert(NOW, entry(1, 3, NOW)).is_some());
    assert_eq!(table.insert(NOW + second, entry(1, 4, NOW + second)), None, "the first send counts");
    assert_eq!(table.find(NOW + second * 5, 1).unwrap().zone, 3);
    assert_eq!(table.find(NOW + second * 6, 1), None);
    let again = table.insert(NOW + second * 6, entry(1, 4, NOW + second * 6)).unwrap();
    assert_eq!((again.slot, table.len()), (0, 1), "it keeps its slot");
    assert_eq!(table.find(NOW + second * 7, 1).unwrap().zone, 4);
}

#[test]
fn a_job_that_did_not_run_is_forgotten_and_its_slot_is_reused() {
    let mut table = KeyTable::default();
    table.insert(NOW, entry(1, 1, NOW));
    assert_eq!(table.forget(1), Some(SlotWrite { slot: 0, entry: None }));
    assert_eq!(table.find(NOW, 1), None);
    assert_eq!(table.forget(1), None);
    assert_eq!(table.insert(NOW, entry(2, 1, NOW)).unwrap().slot, 0);
}

#[test]
fn a_send_time_in_the_future_is_clamped_to_now() {
    let mut table = KeyTable::default();
    table.insert(NOW, entry(1, 1, NOW + Duration::from_secs(60)));
    assert!(table.find(NOW + Duration::from_secs(5), 1).is_some());
    assert!(table.find(NOW + Duration::from_secs(6), 1).is_none());
}

#[test]
fn beyond_the_limit_the_oldest_key_is_evicted_and_counted() {
    let mut table = KeyTable::with_max_keys(3);
    for key in 0..5 {
        table.insert(NOW, entry(key, 1, NOW));
    }
    assert_eq!((table.len(), table.evicted()), (3, 2));
    assert!(table.find(NOW, 1).is_none() && table.find(NOW, 2).is_some());
}

#[test]
fn a_journal_is_read_after_its_process_ended_and_removed_after_the_retention() {
    let folder = Folder::new("outlives");
    let zones = zones_hash(&["a".to_owned(), "b".to_owned()]);
    let mut table = KeyTable::default();
    let first = Journal::create(&folder.0, "s", NOW, zones).unwrap();
    for key in 0..3 {
        first.write(&table.insert(NOW, entry(key, key as u32, NOW)).unwrap()).unwrap();
    }
    first.write(&table.forget(1).unwrap()).unwrap();
    drop(first);
    let second = Journal::create(&folder.0, "s", NOW + Duration::from_secs(1), zones).unwrap();
    let others = OtherJournals::new(&folder.0, "s", Some(&second), zones);
    let (found, problems) = others.read();
    assert_eq!((found, problems), (vec![entry(0, 0, NOW), entry(2, 2, NOW)], vec![]));
    let other_sidecar = OtherJournals::new(&folder.0, "t", None, zones);
    assert!(other_sidecar.read().0.is_empty(), "journals of another sidecar are left out");
    let (found, problems) = OtherJournals::new(&folder.0, "s", Some(&second), 7).read();
    assert!(found.is_empty() && problems[0].contains("written for other zones"), "{problems:?}");
    assert_eq!(others.remove_expired(Duration::from_secs(3600)), 0);
    assert_eq!(others.remove_expired(Duration::ZERO), 1);
    assert!(second.path().exists() && others.read().0.is_empty());
    assert!(Journal::create(&folder.0.join("none"), "s", NOW, zones).is_err());
}

#[test]
fn invalid_bytes_are_rejected_with_a_specific_error() {
    let header = encode_header(9);
    assert_eq!(decode(b"CLHK", 9), Err(JournalError::NotAJournal));
    assert_eq!(decode(&[1; 64], 9), Err(JournalError::NotAJournal));
    assert_eq!(decode(&header, 8), Err(JournalError::OtherZones));
    let mut newer = header.clone();
    newer[4] = 2;
    assert_eq!(decode(&newer, 9), Err(JournalError::Version(2)));
    assert_eq!(decode(&header, 9), Ok(JournalContents::default()));
    let torn = [&header[..], &[7; 39]].concat();
    assert_eq!(
        decode(&torn, 9),
        Ok(JournalContents { corrupt: 1, ..JournalContents::default() }),
        "half a slot"
    );
    assert!(matches!(decode(&vec![0; 4_000_000], 9), Err(JournalError::TooLong(_))));
}

#[test]
fn equal_keys_of_two_classes_have_different_hashes() {
    assert_ne!(hash("ab", b"c"), hash("a", b"bc"));
    assert_eq!(hash("a", b"b"), hash("a", b"b"));
    assert_ne!(zones_hash(&["ab".into(), "c".into()]), zones_hash(&["a".into(), "bc".into()]));
}

proptest! {
    /// The slots always contain exactly the entries of the table, and both agree with a plain map.
    #[test]
    fn slots_and_table_agree_with_a_plain_map(
        steps in prop::collection::vec((0..40u64, 0..3u8, 0..900u64), 0..300),
        capacity in 1..30usize,
    ) {
        let mut table = KeyTable::with_max_keys(capacity);
        let mut slots: HashMap<u32, Option<Entry>> = HashMap::new();
        let mut plain: HashMap<u64, Entry> = HashMap::new();
        let mut now = NOW;
        for (key, action, wait) in steps {
            now += Duration::from_millis(wait);
            let written = if action == 0 {
                plain.remove(&key);
                table.forget(key)
            } else {
                let new = entry(key, u32::from(action), now);
                if plain.get(&key).is_none_or(|old| old.is_expired(now)) {
                    plain.insert(key, new);
                }
                table.insert(now, new)
            };
            if let Some(SlotWrite { slot, entry }) = written {
                prop_assert!((slot as usize) < capacity, "slot {slot} of {capacity}");
                slots.insert(slot, entry);
            }
            let mut stored: Vec<Entry> = slots.values().flatten().filter(|e| !e.is_expired(now)).copied().collect();
            stored.sort_by_key(|entry| entry.key);
            let mut known: Vec<Entry> = (0..40).filter_map(|key| table.find(now, key)).copied().collect();
            known.sort_by_key(|entry| entry.key);
            prop_assert_eq!(&stored, &known, "slots and table differ");
            prop_assert!(table.len() <= capacity);
            if table.evicted() == 0 {
                let mut plain: Vec<Entry> = plain.values().filter(|e| !e.is_expired(now)).copied().collect();
                plain.sort_by_key(|entry| entry.key);
                prop_assert_eq!(plain, known);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_decoder(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes, 9);
        let contents = decode(&[encode_header(9), bytes].concat(), 9).unwrap();
        prop_assert!(contents.entries.is_empty(), "a checksum matched by chance");
    }
}
