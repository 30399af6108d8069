//! What a process of the fleet keeps on disk, in one file of a store that syncs each commit.

use crate::transient::retry_interrupted;
use curlewhub_control_plane::consensus::{PersistedState, WriteBatch};
use redb::backends::FileBackend;
use redb::{Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::{File, TryLockError};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The agreement's entries, by index.
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
/// Everything else, by name.
const STATE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("rest");
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
    Corrupt(&'static str),
    /// It is another keeper's.
    #[error("it is the folder of keeper {0}, or a copy of it, and this is keeper {1}")]
    WrongOwner(u64, u64),
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

impl From<std::io::Error> for StoreError {
    fn from(error: std::io::Error) -> Self {
        StoreError::Store(error.into())
    }
}

impl StoreError {
    /// Whether the same may succeed later with nobody's help: a full disk, a device error, a limit on open files. What the
    /// file holds, whose it is, and whether it may be written at all do not change by waiting.
    pub fn is_transient(&self) -> bool {
        use ErrorKind::{AlreadyExists, InvalidData, InvalidInput, IsADirectory, NotADirectory, NotFound};
        use ErrorKind::{PermissionDenied, UnexpectedEof, Unsupported};
        match self {
            StoreError::Store(redb::Error::PreviousIo) => true,
            StoreError::Store(redb::Error::Io(error)) => !matches!(
                error.kind(),
                AlreadyExists
                    | InvalidData
                    | InvalidInput
                    | IsADirectory
                    | NotADirectory
                    | NotFound
                    | PermissionDenied
                    | UnexpectedEof
                    | Unsupported
            ),
            _ => false,
        }
    }
}

/// Opens a database in a file; a test opens one whose writes fail.
pub type OpenDatabase = Rc<dyn Fn(File) -> Result<Database, DatabaseError>>;

/// Opens a database in a file of this machine.
pub fn open_database() -> OpenDatabase {
    Rc::new(|file| Builder::new().create_with_backend(FileBackend::new(file)?))
}

/// The file of a store, which is this process's alone for as long as this is held, also while the store is closed.
pub struct StoreFile {
    path: PathBuf,
    open: OpenDatabase,
    _lock: File,
}

impl StoreFile {
    /// Takes the file for this process.
    ///
    /// # Errors
    /// Another process has it.
    pub fn claim(path: &Path, open: OpenDatabase) -> Result<Rc<StoreFile>, StoreError> {
        let lock = File::options().create(true).append(true).open(path.with_extension("lock"))?;
        match retry_interrupted(|| {
            lock.try_lock().map_err(|e| match e {
                TryLockError::WouldBlock => ErrorKind::WouldBlock.into(),
                TryLockError::Error(e) => e,
            })
        }) {
            Ok(()) => Ok(Rc::new(StoreFile { path: path.to_owned(), open, _lock: lock })),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                Err(redb::DatabaseError::DatabaseAlreadyOpen.into())
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Opens the store, or makes an empty one where there is no file.
    ///
    /// # Errors
    /// It can't be opened or written.
    pub fn open_or_create(self: &Rc<Self>) -> Result<Store, StoreError> {
        self.opened(File::options().read(true).write(true).create(true).truncate(false))
    }

    /// Opens the store that is there.
    ///
    /// # Errors
    /// There is none, or it can't be opened or written.
    pub fn reopen(self: &Rc<Self>) -> Result<Store, StoreError> {
        self.opened(File::options().read(true).write(true))
    }

    /// Opens the file, writes all that it holds to a new one, syncs that, and puts it in its place. After a sync that failed,
    /// here or in an earlier process, what is read may be in the kernel's memory alone, and no later sync of the same pages
    /// would write it: only what is written anew is known to be durable.
    fn opened(self: &Rc<Self>, how: &std::fs::OpenOptions) -> Result<Store, StoreError> {
        let old = (self.open)(how.open(&self.path)?)?;
        let copy = self.path.with_extension("new");
        match std::fs::remove_file(&copy) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
        let file = File::options().read(true).write(true).create_new(true).open(&copy)?;
        let new = (self.open)(file)?;
        copy_tables(&old, &new)?;
        std::fs::rename(&copy, &self.path)?;
        let folder = self.path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()?;
        Ok(Store { database: new, file: self.clone() })
    }
}

fn copy_tables(old: &Database, new: &Database) -> Result<(), StoreError> {
    let (read, write) = (old.begin_read()?, new.begin_write()?);
    {
        let mut entries = write.open_table(ENTRIES)?;
        if let Some(table) = present(read.open_table(ENTRIES))? {
            for row in table.iter()? {
                let (index, bytes) = row?;
                entries.insert(index.value(), bytes.value())?;
            }
        }
        let mut rest = write.open_table(STATE)?;
        if let Some(table) = present(read.open_table(STATE))? {
            for row in table.iter()? {
                let (name, bytes) = row?;
                rest.insert(name.value(), bytes.value())?;
            }
        }
    }
    write.commit()?;
    Ok(())
}

/// A new file has no tables yet.
fn present<T>(table: Result<T, redb::TableError>) -> Result<Option<T>, StoreError> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// A store.
pub struct Store {
    database: Database,
    file: Rc<StoreFile>,
}

impl Store {
    /// Opens it, or makes an empty one; the file of a process that was killed is mended by the store itself.
    ///
    /// # Errors
    /// It can't be opened, or another process has it open.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        StoreFile::claim(path, open_database())?.open_or_create()
    }

    /// Its file, which outlives it.
    pub fn file(&self) -> Rc<StoreFile> {
        self.file.clone()
    }

    /// Whose it is: that of the first keeper that has used it. What one has promised is not another's to know.
    ///
    /// # Errors
    /// It is another keeper's, or can't be written.
    pub fn claim(&self, id: u64) -> Result<(), StoreError> {
        let write = self.database.begin_write()?;
        {
            let mut rest = write.open_table(STATE)?;
            let known = rest.get(KEEPER)?.map(|bytes| bytes.value().try_into().map(u64::from_le_bytes));
            match known.transpose().map_err(|_| StoreError::Corrupt(KEEPER))? {
                Some(known) if known != id => return Err(StoreError::WrongOwner(known, id)),
                Some(_) => {}
                None => drop(rest.insert(KEEPER, &id.to_le_bytes()[..])?),
            }
        }
        write.commit()?;
        Ok(())
    }

    /// Whether it knows of an earlier start of this process.
    ///
    /// # Errors
    /// It can't be read.
    pub fn has_started(&self) -> Result<bool, StoreError> {
        Ok(self.database.begin_read()?.open_table(STATE)?.get(INCARNATION)?.is_some())
    }

    /// One more start of this process: its incarnation, which rises with each. A disk that forgot begins from the clock,
    /// so that it does not begin below what others have heard.
    ///
    /// # Errors
    /// It can't be written.
    pub fn incarnation(&self, unix_ms: u64) -> Result<u64, StoreError> {
        let write = self.database.begin_write()?;
        let incarnation = {
            let mut rest = write.open_table(STATE)?;
            let before =
                rest.get(INCARNATION)?.map(|bytes| bytes.value().try_into().map(u64::from_le_bytes));
            let before = before.transpose().map_err(|_| StoreError::Corrupt(INCARNATION))?;
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
    pub fn load(&self) -> Result<Option<PersistedState>, StoreError> {
        let read = self.database.begin_read()?;
        let rest = read.open_table(STATE)?;
        let value = |name| Ok::<_, StoreError>(rest.get(name)?.map(|bytes| bytes.value().to_vec()));
        let mut kept = PersistedState {
            snapshot: value(SNAPSHOT)?,
            hard_state: value(HARD_STATE)?,
            ..PersistedState::default()
        };
        for entry in read.open_table(ENTRIES)?.iter()? {
            let (index, bytes) = entry?;
            kept.entries.insert(index.value(), bytes.value().to_vec());
        }
        Ok((kept != PersistedState::default()).then_some(kept))
    }

    /// Keeps what a keeper wants kept; synced once this returns.
    ///
    /// # Errors
    /// It is not kept: nothing of the same output may be said.
    pub fn write(&self, persist: &WriteBatch) -> Result<(), StoreError> {
        let write = self.database.begin_write()?;
        {
            let mut entries = write.open_table(ENTRIES)?;
            let mut rest = write.open_table(STATE)?;
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
    pub fn initialize(&self, kept: &PersistedState) -> Result<(), StoreError> {
        let entries = kept.entries.iter().map(|(index, bytes)| (*index, bytes.clone())).collect();
        let (snapshot, hard_state) = (kept.snapshot.clone(), kept.hard_state.clone());
        self.write(&WriteBatch { snapshot, entries, hard_state, compact: None })
    }
}
