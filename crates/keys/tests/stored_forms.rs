//! Journals are read and written with the same bytes and file names as at commit d7660a1.

#[path = "../../control-plane/tests/support/fixture.rs"]
mod fixture;

use curlewhub_keys::{Entry, Journal, SlotWrite, decode, hash, zones_hash};
use fixture::{assert_same, hex, unhex, values};
use std::time::Duration;

fn entry(n: u64) -> Entry {
    Entry {
        key: hash("submit", &n.to_le_bytes()),
        zone: 3 + n as u32,
        cell: (7 << 40) + n,
        sent: Duration::from_micros(1_700_000_000_123_456 + n),
        window: Duration::from_micros(6_000_001 + n),
    }
}

fn zones() -> u64 {
    zones_hash(&["zone-a".to_owned(), "zone-b".to_owned()])
}

fn journal(folder: &std::path::Path) -> Journal {
    let started = Duration::from_micros(1_700_000_000_000_789);
    let journal = Journal::create(folder, "sidecar-1", started, zones()).unwrap();
    for (slot, entry) in [(0, Some(entry(0))), (1, Some(entry(1))), (3, Some(entry(3))), (1, None)] {
        journal.write(&SlotWrite { slot, entry }).unwrap();
    }
    journal
}

#[test]
fn a_journal_has_the_file_name_and_bytes_of_the_earlier_build() {
    let folder = std::env::temp_dir().join(format!("curlewhub-keys-forms-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let journal = journal(&folder);
    let name = journal.path().file_name().unwrap().to_str().unwrap().to_owned();
    let bytes = std::fs::read(journal.path()).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_same(
        "journal.txt",
        &[
            ("bytes", hex(&bytes)),
            ("name", name),
            ("zones", format!("{:016x}", zones())),
            ("key", format!("{:016x}", hash("submit", b"abc"))),
        ],
    );
}

#[test]
fn a_journal_of_the_earlier_build_is_read() {
    let contents = decode(&unhex(&values("journal.txt")[0].1), zones()).unwrap();
    assert_eq!((contents.entries, contents.corrupt), (vec![entry(0), entry(3)], 0));
}
