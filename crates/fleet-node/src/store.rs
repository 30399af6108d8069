//! What a process of the fleet keeps on disk, in one file of a store that syncs each commit.

use curlewhub_fleet::keeper::{Kept, Persist};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;

/// The agreement's entries, by index.
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
/// Everything else, by name.
const REST: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("rest");
const SNAPSHOT: &str = "snapshot";
const HARD_STATE: &str = "hard state";
const INCARNATION: &str = "incarnation";
const KEEPER: &str = "keeper";

/// Why something could not be kept or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store says so: no room, no right, a torn file that can't be mended.
    #[error("store: {0}")]
    Store(#[from] redb::Error),
    /// What it holds is not what was kept.
    #[error("store: {0} can't be read")]
    Spoilt(&'static str),
    /// It is another keeper's.
    #[error("it is the folder of keeper {0}, or a copy of it, and this is keeper {1}")]
    Others(u64, u64),
}

macro_rules! from_parts {
    ($($part:ty),*) => {$(
        impl From<$part> for StoreError {
            fn from(error: $part) -> Self {
                StoreError::Store(error.into())
            }
        }
    )*};
}
from_parts!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError
);

/// A store.
pub struct Store(Database);

impl Store {
    /// Opens it, or makes an empty one; the file of a process that was killed is mended by the store itself.
    ///
    /// # Errors
    /// It can't be opened, or another process has it open.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let store = Store(Database::create(path)?);
        let write = store.0.begin_write()?;
        write.open_table(ENTRIES)?;
        write.open_table(REST)?;
        write.commit()?;
        Ok(store)
    }

    /// Whose it is: that of the first keeper that has used it. What one has promised is not another's to know.
    ///
    /// # Errors
    /// It is another keeper's, or can't be written.
    pub fn is_of(&self, id: u64) -> Result<(), StoreError> {
        let write = self.0.begin_write()?;
        {
            let mut rest = write.open_table(REST)?;
            let known = rest.get(KEEPER)?.map(|bytes| bytes.value().try_into().map(u64::from_le_bytes));
            match known.transpose().map_err(|_| StoreError::Spoilt(KEEPER))? {
                Some(known) if known != id => return Err(StoreError::Others(known, id)),
                Some(_) => {}
                None => drop(rest.insert(KEEPER, &id.to_le_bytes()[..])?),
            }
        }
        write.commit()?;
        Ok(())
    }

    /// One more start of this process: its incarnation, which rises with each. A disk that forgot begins from the clock,
    /// so that it does not begin below what others have heard.
    ///
    /// # Errors
    /// It can't be written.
    pub fn incarnation(&self, unix_ms: u64) -> Result<u64, StoreError> {
        let write = self.0.begin_write()?;
        let incarnation = {
            let mut rest = write.open_table(REST)?;
            let before =
                rest.get(INCARNATION)?.map(|bytes| bytes.value().try_into().map(u64::from_le_bytes));
            let before = before.transpose().map_err(|_| StoreError::Spoilt(INCARNATION))?;
            let incarnation = before.map_or(unix_ms, |before| unix_ms.max(before + 1));
            rest.insert(INCARNATION, &incarnation.to_le_bytes()[..])?;
            incarnation
        };
        write.commit()?;
        Ok(incarnation)
    }

    /// What a keeper has kept; none where it never kept anything.
    ///
    /// # Errors
    /// It can't be read.
    pub fn kept(&self) -> Result<Option<Kept>, StoreError> {
        let read = self.0.begin_read()?;
        let rest = read.open_table(REST)?;
        let value = |name| Ok::<_, StoreError>(rest.get(name)?.map(|bytes| bytes.value().to_vec()));
        let mut kept =
            Kept { snapshot: value(SNAPSHOT)?, hard_state: value(HARD_STATE)?, ..Kept::default() };
        for entry in read.open_table(ENTRIES)?.iter()? {
            let (index, bytes) = entry?;
            kept.entries.insert(index.value(), bytes.value().to_vec());
        }
        Ok((kept != Kept::default()).then_some(kept))
    }

    /// Keeps what a keeper wants kept; synced once this returns.
    ///
    /// # Errors
    /// It is not kept: nothing of the same output may be said.
    pub fn keep(&self, persist: &Persist) -> Result<(), StoreError> {
        let write = self.0.begin_write()?;
        {
            let mut entries = write.open_table(ENTRIES)?;
            let mut rest = write.open_table(REST)?;
            if let Some(snapshot) = &persist.snapshot {
                rest.insert(SNAPSHOT, &snapshot[..])?;
                if persist.compact.is_none() {
                    entries.retain(|_, _| false)?;
                }
            }
            if let Some((first, _)) = persist.entries.first() {
                entries.retain_in(*first.., |_, _| false)?;
            }
            for (index, bytes) in &persist.entries {
                entries.insert(*index, &bytes[..])?;
            }
            if let Some(hard_state) = &persist.hard_state {
                rest.insert(HARD_STATE, &hard_state[..])?;
            }
            if let Some(compact) = persist.compact {
                entries.retain_in(..compact, |_, _| false)?;
            }
        }
        write.commit()?;
        Ok(())
    }

    /// All of what a keeper begins with.
    ///
    /// # Errors
    /// It is not kept.
    pub fn begin(&self, kept: &Kept) -> Result<(), StoreError> {
        let entries = kept.entries.iter().map(|(index, bytes)| (*index, bytes.clone())).collect();
        let (snapshot, hard_state) = (kept.snapshot.clone(), kept.hard_state.clone());
        self.keep(&Persist { snapshot, entries, hard_state, compact: None })
    }
}
