//! Storage that fails for a time: what a store does then, and what three consensus servers and a follower do on it.

use curlewhub_control_plane::consensus::{Replica, WriteBatch};
use curlewhub_control_plane::record::{Proposal, RecordKind};
use curlewhub_control_plane::view::View;
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_control_plane_node::{
    OpenDatabase, StoreError, StoreFile, ViewFile, admin_client, run_consensus_server_with,
};
use redb::backends::FileBackend;
use redb::{BackendError, Builder, StorageBackend};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Bound;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicI32, Ordering};
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

const ENOSPC: i32 = 28;
const EIO: i32 = 5;
/// Nothing that a test waits for may take longer, not even on a slow machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// A file whose writes and growth fail while `fault` is ENOSPC, and whose syncs fail while it is EIO.
#[derive(Debug)]
struct Failing {
    file: FileBackend,
    fault: Arc<AtomicI32>,
}

impl Failing {
    fn check(&self, errno: i32) -> io::Result<()> {
        match self.fault.load(Ordering::SeqCst) == errno {
            true => Err(io::Error::from_raw_os_error(errno)),
            false => Ok(()),
        }
    }
}

impl StorageBackend for Failing {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.check(ENOSPC)?;
        self.file.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.check(EIO)?;
        self.file.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check(ENOSPC)?;
        self.file.write(offset, data)
    }
    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
    fn try_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.file.try_lock_range(start, end)
    }
    fn unlock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.file.unlock_range(start, end)
    }
    fn query_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.file.query_lock_range(start, end)
    }
}

fn failing(fault: &Arc<AtomicI32>) -> OpenDatabase {
    let fault = fault.clone();
    Rc::new(move |file| {
        let file = FileBackend::new(file)?;
        Builder::new().create_with_backend(Failing { file, fault: fault.clone() })
    })
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("curlewhub-storage-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64) -> WriteBatch {
    WriteBatch { entries: vec![(index, vec![index as u8; 3000])], ..WriteBatch::default() }
}

#[test]
fn a_store_refuses_all_work_after_a_failed_write_until_it_is_opened_again_and_then_holds_what_it_kept() {
    for (errno, name) in [(ENOSPC, "full"), (EIO, "sync")] {
        let folder = Folder::new(name);
        let fault = Arc::new(AtomicI32::new(0));
        let path = folder.0.join("keeper.redb");
        let file = StoreFile::claim(&path, failing(&fault)).unwrap();
        let store = file.open_or_create().unwrap();
        store.initialize(&Replica::bootstrap_state(&[1])).unwrap();
        (2..20).for_each(|index| store.write(&entry(index)).unwrap());
        let kept = store.load().unwrap().unwrap();
        fault.store(errno, Ordering::SeqCst);
        let problem = store.write(&entry(20)).unwrap_err();
        assert!(problem.is_transient(), "{problem}");
        assert!(file.reopen().is_err_and(|e| !matches!(e, StoreError::Corrupt(_))), "it still fails");
        fault.store(0, Ordering::SeqCst);
        // There is room again, and the same store goes on refusing.
        let refused = store.write(&entry(20)).unwrap_err();
        assert!(matches!(refused, StoreError::Store(redb::Error::PreviousIo)), "{refused}");
        drop(store);
        let before = std::fs::metadata(&path).unwrap().ino();
        let store = file.reopen().unwrap();
        assert_ne!(std::fs::metadata(&path).unwrap().ino(), before, "written anew, not only synced again");
        let mut held = store.load().unwrap().unwrap();
        // What was not acknowledged may be there whole, or not at all.
        held.entries.remove(&20).into_iter().for_each(|bytes| assert_eq!(bytes, entry(20).entries[0].1));
        assert_eq!(held, kept);
        store.write(&entry(20)).unwrap();
        // No other process has it, open or closed, and a file that is gone is not made anew.
        drop(store);
        assert!(StoreFile::claim(&path, failing(&fault)).is_err());
        std::fs::remove_file(&path).unwrap();
        assert!(file.reopen().is_err() && !path.exists());
    }
}

/// Which of them has ended, and how.
type Ended = (usize, Result<(), String>);

/// Three consensus servers in one process, each on storage of its own.
struct Servers {
    folder: Folder,
    configs: Vec<FleetConfig>,
    /// Of who calls them.
    caller: FleetConfig,
    faults: Vec<Arc<AtomicI32>>,
    ended: Rc<RefCell<Vec<Ended>>>,
}

impl Servers {
    /// Each has an address of its own, and so has who calls them: no connection takes a port that is to be listened at.
    fn new(name: &str, addresses: u8) -> Servers {
        let folder = Folder::new(name);
        let part = 1 + (std::process::id() % 250) as u8;
        std::fs::write(folder.0.join("key"), "5a".repeat(32)).unwrap();
        let address = |n: u8| Ipv4Addr::new(127, 82, part, addresses + n);
        let free = |n| TcpListener::bind((address(n), 0)).unwrap();
        let doors: Vec<TcpListener> = (0..3).map(free).collect();
        let at: Vec<SocketAddr> = doors.iter().map(|door| door.local_addr().unwrap()).collect();
        let config = |n: usize| {
            let (key, state) = (folder.0.join("key"), folder.0.join(format!("k{n}")));
            let mut text = format!(
                "name = \"k{n}\"\nlisten = \"{}\"\nstate_dir = {state:?}\nkey = {{ number = 1, file = {key:?} }}\n",
                at[n]
            );
            for (n, at) in at.iter().enumerate() {
                text += &format!("[[keepers]]\nid = {}\nname = \"k{n}\"\naddress = \"{at}\"\n", n + 1);
            }
            toml::from_str(&text).unwrap()
        };
        let configs: Vec<FleetConfig> = (0..3).map(config).collect();
        let caller = FleetConfig { listen: (address(3), 0).into(), ..configs[0].clone() };
        let faults = (0..3).map(|_| Arc::default()).collect();
        Servers { folder, configs, caller, faults, ended: Rc::default() }
    }

    fn start(&self) {
        for n in 0..3 {
            let (config, ended) = (self.configs[n].clone(), self.ended.clone());
            let open = failing(&self.faults[n]);
            spawn_local(async move {
                let end = run_consensus_server_with(&config, true, open, std::future::pending()).await;
                ended.borrow_mut().push((n, end));
            });
        }
    }

    fn fail(&self, which: &[usize], errno: i32) {
        which.iter().for_each(|n| self.faults[*n].store(errno, Ordering::SeqCst));
    }

    async fn until(&self, what: &str, holds: impl Fn(&[Option<admin_client::ServerStatus>]) -> bool) {
        let began = Instant::now();
        loop {
            let described = admin_client::describe_servers(&self.caller).await;
            let described: Vec<_> = described.into_iter().map(|(_, one)| one.ok()).collect();
            if holds(&described) {
                return;
            }
            assert_eq!(self.ended.borrow().len(), 0, "{:?}", self.ended);
            assert!(began.elapsed() < PATIENCE, "never: {what}: {described:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// So many of these have stepped down: one that has knows of nothing that is decided.
    async fn until_stepped_down(&self, count: usize, which: &[usize]) {
        self.until("stepped down", |all| {
            let down = |one: &admin_client::ServerStatus| {
                !one.is_leader && one.leader.is_none() && one.version == 0
            };
            which.iter().filter(|n| all[**n].as_ref().is_some_and(down)).count() >= count
        })
        .await;
    }
}

fn note(id: u64) -> Proposal {
    let (key, body) = (format!("k{id}"), id.to_string().into_bytes());
    Proposal {
        id,
        key,
        kind: RecordKind::NOTE,
        body,
        by: "test".to_owned(),
        why: String::new(),
        expected_version: None,
    }
}

/// What a client was told, by the proposal's id: as which version it was decided, and whether it was asked and told so while all
/// storage failed.
type Told = Rc<RefCell<BTreeMap<u64, (u64, bool)>>>;

async fn propose(servers: Rc<Servers>, told: Told, ids: std::ops::Range<u64>) {
    for id in ids {
        let all_fail = || servers.faults.iter().all(|fault| fault.load(Ordering::SeqCst) != 0);
        loop {
            let failed = all_fail();
            if let Ok(version) = admin_client::propose(&servers.caller, &note(id)).await {
                told.borrow_mut().insert(id, (version, failed && all_fail()));
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn checked(servers: &Servers, told: &Told) {
    let last = told.borrow().values().map(|(version, _)| *version).max().unwrap();
    servers
        .until("all hold all", |all| all.iter().flatten().filter(|one| one.version >= last).count() == 3)
        .await;
    for (name, described) in admin_client::describe_servers(&servers.caller).await {
        let described = described.unwrap();
        let records: BTreeMap<&str, u64> =
            described.records.iter().map(|record| (&record.key[..], record.version)).collect();
        for (id, (version, while_failed)) in told.borrow().iter() {
            assert_eq!(records.get(&format!("k{id}")[..]), Some(version), "{id} at {name}");
            assert!(!while_failed, "{id} was acknowledged while all storage failed");
        }
    }
}

fn run(body: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, body);
}

#[test]
fn three_servers_whose_storage_fails_for_a_time_come_back_and_lose_nothing_that_was_acknowledged() {
    run(async {
        let (servers, told) = (Rc::new(Servers::new("three", 10)), Told::default());
        servers.start();
        propose(servers.clone(), told.clone(), 1..10).await;
        for (round, errno) in [ENOSPC, EIO, ENOSPC].into_iter().enumerate() {
            let from = 10 + 30 * round as u64;
            let client = spawn_local(propose(servers.clone(), told.clone(), from..from + 30));
            servers.until("some under way", |all| all.iter().flatten().any(|one| one.version > from)).await;
            servers.fail(&[0, 1, 2], errno);
            // The third may have nothing to write any more: it leads nobody.
            servers.until_stepped_down(2, &[0, 1, 2]).await;
            // They are members of one another all the same.
            assert!(admin_client::list_members(&servers.caller).await.unwrap().members.len() == 3);
            servers.fail(&[0, 1, 2], 0);
            client.await.unwrap();
        }
        checked(&servers, &told).await;
    });
}

#[test]
fn a_leader_whose_storage_fails_hands_over_and_follows_once_it_is_back() {
    run(async {
        let (servers, told) = (Rc::new(Servers::new("leader", 20)), Told::default());
        servers.start();
        propose(servers.clone(), told.clone(), 1..5).await;
        let leads = |all: &[Option<admin_client::ServerStatus>]| {
            all.iter().position(|one| one.as_ref().is_some_and(|one| one.is_leader))
        };
        let leader = Rc::new(RefCell::new(0));
        let found = leader.clone();
        servers.until("one leads", |all| leads(all).is_some_and(|n| found.replace(n) == n)).await;
        let leader = *leader.borrow();
        servers.fail(&[leader], ENOSPC);
        propose(servers.clone(), told.clone(), 5..20).await;
        servers.until_stepped_down(1, &[leader]).await;
        servers.until("another leads", |all| leads(all).is_some_and(|n| n != leader)).await;
        servers.fail(&[leader], 0);
        checked(&servers, &told).await;
    });
}

#[test]
fn servers_that_are_started_on_a_full_disk_begin_once_there_is_room() {
    run(async {
        let (servers, told) = (Rc::new(Servers::new("start", 30)), Told::default());
        servers.fail(&[0, 1, 2], ENOSPC);
        servers.start();
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert!(servers.folder.0.join("k0").exists() && servers.ended.borrow().is_empty());
        servers.fail(&[0, 1, 2], 0);
        propose(servers.clone(), told.clone(), 1..5).await;
        checked(&servers, &told).await;
    });
}

#[test]
fn a_view_that_could_not_be_written_is_written_anew_and_its_incarnation_with_it() {
    let folder = Folder::new("view");
    let state = folder.0.join("s");
    // No folder can be made where a file stands.
    std::fs::write(&state, "").unwrap();
    let file = ViewFile::new(&state);
    assert!(file.incarnation(1000).is_err());
    assert!(file.store(&View::default()).is_err());
    std::fs::remove_file(&state).unwrap();
    // The view is as new as what is there, and all the same it is not durable yet.
    file.store(&View::default()).unwrap();
    let written = std::fs::metadata(state.join("fleet-view.bin")).unwrap().ino();
    assert!(ViewFile::new(&state).has_started().unwrap());
    file.store(&View::default()).unwrap();
    assert_eq!(std::fs::metadata(state.join("fleet-view.bin")).unwrap().ino(), written, "once is enough");
    assert!(ViewFile::new(&state).incarnation(500).unwrap() > 1000, "above the start that could not write");
    // What can't be read just now is not taken for nothing and written over.
    let path = state.join("fleet-view.bin");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
    std::fs::rename(&path, state.join("aside")).unwrap();
    std::fs::create_dir(&path).unwrap();
    assert!(file.store(&View::default()).is_err() && file.incarnation(1).is_err());
    std::fs::remove_dir(&path).unwrap();
    std::fs::rename(state.join("aside"), &path).unwrap();
    assert!(ViewFile::new(&state).incarnation(1).unwrap() > 1001);
}
