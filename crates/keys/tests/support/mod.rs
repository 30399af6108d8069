//! What the tests of journals on disks share.
#![allow(dead_code)] // each test file uses a part of it

use curlewhub_keys::{
    ClockAnchor, Entry, JournalFolder, JournalKind, KeyTable, OtherJournals, RetryingJournal,
};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

pub const NOW: Duration = Duration::from_secs(1_000_000);
pub const WINDOW: Duration = Duration::from_secs(6);
pub const ZONES_HASH: u64 = 9;
pub const SECOND: Duration = Duration::from_secs(1);

pub fn entry(key: u64, sent: Duration) -> Entry {
    Entry { key, zone: key as u32, cell: key << 40, sent, window: WINDOW }
}

/// A folder that is removed at the end of the test.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("curlewhub-storage-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn location(&self) -> JournalFolder {
        JournalFolder {
            kind: JournalKind::Keys,
            folder: self.0.clone(),
            sidecar: "s".to_owned(),
            zones_hash: ZONES_HASH,
        }
    }

    pub fn others(&self) -> OtherJournals {
        OtherJournals::new(&self.0, "s", None, ZONES_HASH)
    }

    pub fn keys(&self) -> BTreeSet<u64> {
        self.others().read().0.into_iter().map(|entry| entry.key).collect()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn anchor(unix: Duration, since_boot: Duration) -> ClockAnchor {
    ClockAnchor::new(b"a boot", unix, since_boot, since_boot)
}

pub fn write(own: &mut RetryingJournal, table: &mut KeyTable, key: u64) -> std::io::Result<()> {
    own.write(NOW, &table.insert(NOW, entry(key, NOW)).unwrap())
}
