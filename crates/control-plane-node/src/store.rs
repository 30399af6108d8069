//! The durable state of a consensus server: raft log entries, snapshot, hard state, id and incarnation, in one database file
//! that is synced at each commit.

use crate::transient::retry_interrupted;
use curlewhub_control_plane::consensus::{PersistedState, WriteBatch};
use redb::backends::FileBackend;
use redb::{Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::{File, TryLockError};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Raft log entries, by index.
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
/// Everything else, by name. Table and key names are part of the stored form.
const STATE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("rest");
const SNAPSHOT: &str = "snapshot";
const HARD_STATE: &str = "hard state";
const INCARNATION: &str = "incarnation";
/// The id of the server that owns the store.
const OWNER: &str = "keeper";

/// Why a store can't be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database reports it: a full disk, missing permission, a torn file that can't be repaired.
    #[error("store: {0}")]
    Store(#[from] redb::Error),
    /// The database is sound, but a value is missing or malformed.
    #[error("store: {0} can't be read")]
    Corrupt(&'static str),
    /// It belongs to the consensus server with the first id; this one has the second.
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
    /// Whether a retry may succeed without an operator's help: after a full disk, a device error, a limit of open files. The
    /// file's content, owner and permissions do not change by waiting.
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

/// Opens a database in a file; tests substitute one whose writes fail.
pub type OpenDatabase = Rc<dyn Fn(File) -> Result<Database, DatabaseError>>;

/// Opens a database that reads and writes the file itself.
pub fn open_database() -> OpenDatabase {
    Rc::new(|file| Builder::new().create_with_backend(FileBackend::new(file)?))
}

/// A store's file, locked for this process until this value is dropped, also while the store is closed.
pub struct StoreFile {
    path: PathBuf,
    open: OpenDatabase,
    _lock: File,
}

impl StoreFile {
    /// Locks the file for this process.
    ///
    /// # Errors
    /// Another process has locked it, or the lock file can't be made.
    pub fn claim(path: &Path, open: OpenDatabase) -> Result<Rc<StoreFile>, StoreError> {
        let lock = File::options().create(true).append(true).open(path.with_extension("lock"))?;
        let locked = retry_interrupted(|| {
            lock.try_lock().map_err(|e| match e {
                TryLockError::WouldBlock => ErrorKind::WouldBlock.into(),
                TryLockError::Error(e) => e,
            })
        });
        match locked {
            Ok(()) => Ok(Rc::new(StoreFile { path: path.to_owned(), open, _lock: lock })),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                Err(redb::DatabaseError::DatabaseAlreadyOpen.into())
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Opens the store, or creates an empty one if there is no file.
    ///
    /// # Errors
    /// It can't be opened or written.
    pub fn open_or_create(self: &Rc<Self>) -> Result<Store, StoreError> {
        self.rewrite(File::options().read(true).write(true).create(true).truncate(false))
    }

    /// Opens the store, which must exist.
    ///
    /// # Errors
    /// There is no file, or it can't be opened or written.
    pub fn reopen(self: &Rc<Self>) -> Result<Store, StoreError> {
        self.rewrite(File::options().read(true).write(true))
    }

    /// Opens the file, copies its content to a new file, syncs that, and renames it over the old one. After a failed sync, in
    /// this process or an earlier one, content that is read may exist in the page cache alone, and a later sync does not
    /// write pages that the kernel has already marked as clean. Only content that is written again is known to be durable.
    fn rewrite(self: &Rc<Self>, options: &std::fs::OpenOptions) -> Result<Store, StoreError> {
        let old = (self.open)(options.open(&self.path)?)?;
        let copy = self.path.with_extension("new");
        match std::fs::remove_file(&copy) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
        let file = File::options().read(true).write(true).create_new(true).open(&copy)?;
        let new = (self.open)(file)?;
        copy_tables(&old, &new)?;
        std::fs::rename(&copy, &self.path)?;
        let directory = self.path.parent().filter(|parent| !parent.as_os_str().is_empty());
        File::open(directory.unwrap_or(Path::new(".")))?.sync_all()?;
        Ok(Store { database: new, file: self.clone() })
    }
}

fn copy_tables(old: &Database, new: &Database) -> Result<(), StoreError> {
    let (read, write) = (old.begin_read()?, new.begin_write()?);
    {
        let mut entries = write.open_table(ENTRIES)?;
        if let Some(table) = existing(read.open_table(ENTRIES))? {
            for row in table.iter()? {
                let (index, bytes) = row?;
                entries.insert(index.value(), bytes.value())?;
            }
        }
        let mut state = write.open_table(STATE)?;
        if let Some(table) = existing(read.open_table(STATE))? {
            for row in table.iter()? {
                let (name, bytes) = row?;
                state.insert(name.value(), bytes.value())?;
            }
        }
    }
    write.commit()?;
    Ok(())
}

/// The table if it exists: a new file has none.
fn existing<T>(table: Result<T, redb::TableError>) -> Result<Option<T>, StoreError> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// An open store of one consensus server.
pub struct Store {
    database: Database,
    file: Rc<StoreFile>,
}

impl Store {
    /// Locks and opens the store, or creates an empty one. The database repairs the file of a process that was killed.
    ///
    /// # Errors
    /// It can't be opened, or another process has locked it.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        StoreFile::claim(path, open_database())?.open_or_create()
    }

    /// The store's file, which remains locked while the store is closed.
    pub fn file(&self) -> Rc<StoreFile> {
        self.file.clone()
    }

    /// Makes server `id` the owner if the store has none. A server must not act on the votes and the log of another.
    ///
    /// # Errors
    /// It belongs to another server, or can't be written.
    pub fn claim(&self, id: u64) -> Result<(), StoreError> {
        let write = self.database.begin_write()?;
        {
            let mut state = write.open_table(STATE)?;
            match read_u64(&state, OWNER)? {
                Some(owner) if owner != id => return Err(StoreError::WrongOwner(owner, id)),
                Some(_) => {}
                None => drop(state.insert(OWNER, &id.to_le_bytes()[..])?),
            }
        }
        write.commit()?;
        Ok(())
    }

    /// Whether an earlier start of the server is recorded.
    ///
    /// # Errors
    /// It can't be read.
    pub fn has_started(&self) -> Result<bool, StoreError> {
        Ok(self.database.begin_read()?.open_table(STATE)?.get(INCARNATION)?.is_some())
    }

    /// Records a start and returns its incarnation: the wall clock in milliseconds, or one above the previous incarnation if
    /// that is greater. An empty store so starts above the incarnations that other members remember.
    ///
    /// # Errors
    /// It can't be read or written.
    pub fn incarnation(&self, unix_ms: u64) -> Result<u64, StoreError> {
        let write = self.database.begin_write()?;
        let incarnation = {
            let mut state = write.open_table(STATE)?;
            let previous = read_u64(&state, INCARNATION)?;
            let incarnation = previous.map_or(unix_ms, |previous| unix_ms.max(previous + 1));
            state.insert(INCARNATION, &incarnation.to_le_bytes()[..])?;
            incarnation
        };
        write.commit()?;
        Ok(incarnation)
    }

    /// The state of the replica; `None` if none was ever written.
    ///
    /// # Errors
    /// It can't be read.
    pub fn load(&self) -> Result<Option<PersistedState>, StoreError> {
        let read = self.database.begin_read()?;
        let state = read.open_table(STATE)?;
        let value = |name| Ok::<_, StoreError>(state.get(name)?.map(|bytes| bytes.value().to_vec()));
        let mut persisted = PersistedState {
            snapshot: value(SNAPSHOT)?,
            hard_state: value(HARD_STATE)?,
            ..PersistedState::default()
        };
        for entry in read.open_table(ENTRIES)?.iter()? {
            let (index, bytes) = entry?;
            persisted.entries.insert(index.value(), bytes.value().to_vec());
        }
        Ok((persisted != PersistedState::default()).then_some(persisted))
    }

    /// Writes a batch in one commit, which is synced when this returns.
    ///
    /// # Errors
    /// It is not durable: no message of the same output may be sent.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), StoreError> {
        let write = self.database.begin_write()?;
        {
            let mut entries = write.open_table(ENTRIES)?;
            let mut state = write.open_table(STATE)?;
            if let Some(snapshot) = &batch.snapshot {
                state.insert(SNAPSHOT, &snapshot[..])?;
                if batch.compact.is_none() {
                    entries.retain(|_, _| false)?;
                }
            }
            if let Some((first, _)) = batch.entries.first() {
                entries.retain_in(*first.., |_, _| false)?;
            }
            for (index, bytes) in &batch.entries {
                entries.insert(*index, &bytes[..])?;
            }
            if let Some(hard_state) = &batch.hard_state {
                state.insert(HARD_STATE, &hard_state[..])?;
            }
            if let Some(compact) = batch.compact {
                entries.retain_in(..compact, |_, _| false)?;
            }
        }
        write.commit()?;
        Ok(())
    }

    /// Writes the whole state that a replica starts from.
    ///
    /// # Errors
    /// It is not durable.
    pub fn initialize(&self, persisted: &PersistedState) -> Result<(), StoreError> {
        let entries = persisted.entries.iter().map(|(index, bytes)| (*index, bytes.clone())).collect();
        let (snapshot, hard_state) = (persisted.snapshot.clone(), persisted.hard_state.clone());
        self.write(&WriteBatch { snapshot, entries, hard_state, compact: None })
    }
}

fn read_u64(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &'static str,
) -> Result<Option<u64>, StoreError> {
    let value = table.get(name)?.map(|bytes| bytes.value().try_into().map(u64::from_le_bytes));
    value.transpose().map_err(|_| StoreError::Corrupt(name))
}
