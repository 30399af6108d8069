//! Storage that fails for a time: the store alone, and three consensus servers on it.

mod support;

use curlewhub_control_plane::consensus::{Replica, WriteBatch};
use curlewhub_control_plane::record::{Proposal, RecordKind};
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_control_plane_node::{
    OpenDatabase, StoreError, StoreFile, admin_client, run_consensus_server_with,
};
use redb::backends::FileBackend;
use redb::{BackendError, Builder, StorageBackend};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Bound;
use std::os::unix::fs::MetadataExt;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicI32, Ordering};
use std::time::{Duration, Instant};
use support::TestDirectory;
use tokio::task::{LocalSet, spawn_local};

const ENOSPC: i32 = 28;
const EIO: i32 = 5;
/// Limit of each wait, also on a slow machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A file whose writes and growth fail while `fault` is ENOSPC, and whose syncs fail while it is EIO.
#[derive(Debug)]
struct FailingBackend {
    file: FileBackend,
    fault: Arc<AtomicI32>,
}

impl FailingBackend {
    fn check(&self, errno: i32) -> io::Result<()> {
        match self.fault.load(Ordering::SeqCst) == errno {
            true => Err(io::Error::from_raw_os_error(errno)),
            false => Ok(()),
        }
    }
}

impl StorageBackend for FailingBackend {
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

fn failing_database(fault: &Arc<AtomicI32>) -> OpenDatabase {
    let fault = fault.clone();
    Rc::new(move |file| {
        let file = FileBackend::new(file)?;
        Builder::new().create_with_backend(FailingBackend { file, fault: fault.clone() })
    })
}

fn entry(index: u64) -> WriteBatch {
    WriteBatch { entries: vec![(index, vec![index as u8; 3000])], ..WriteBatch::default() }
}

#[test]
fn a_store_rejects_work_after_a_failed_write_until_it_is_reopened_and_then_has_all_that_was_durable() {
    for (errno, name) in [(ENOSPC, "full"), (EIO, "sync")] {
        let directory = TestDirectory::new(name);
        let fault = Arc::new(AtomicI32::new(0));
        let path = directory.join("keeper.redb");
        let file = StoreFile::claim(&path, failing_database(&fault)).unwrap();
        let store = file.open_or_create().unwrap();
        store.initialize(&Replica::bootstrap_state(&[1])).unwrap();
        (2..20).for_each(|index| store.write(&entry(index)).unwrap());
        let durable = store.load().unwrap().unwrap();
        fault.store(errno, Ordering::SeqCst);
        let problem = store.write(&entry(20)).unwrap_err();
        assert!(problem.is_transient(), "{problem}");
        assert!(file.reopen().is_err_and(|e| !matches!(e, StoreError::Corrupt(_))), "still failing");
        fault.store(0, Ordering::SeqCst);
        // Storage works again, but the open store must not be trusted.
        let rejection = store.write(&entry(20)).unwrap_err();
        assert!(matches!(rejection, StoreError::Store(redb::Error::PreviousIo)), "{rejection}");
        drop(store);
        let before = std::fs::metadata(&path).unwrap().ino();
        let store = file.reopen().unwrap();
        assert_ne!(
            std::fs::metadata(&path).unwrap().ino(),
            before,
            "copied to a new file, not only synced again"
        );
        let mut reopened = store.load().unwrap().unwrap();
        // A write that was not acknowledged is complete or absent.
        reopened
            .entries
            .remove(&20)
            .into_iter()
            .for_each(|bytes| assert_eq!(bytes, entry(20).entries[0].1));
        assert_eq!(reopened, durable);
        store.write(&entry(20)).unwrap();
        // The file is locked while the store is closed, and a file that was deleted is not created by a reopen.
        drop(store);
        assert!(StoreFile::claim(&path, failing_database(&fault)).is_err());
        std::fs::remove_file(&path).unwrap();
        assert!(file.reopen().is_err() && !path.exists());
    }
}

/// Which server has ended, and its result.
type Ended = (usize, Result<(), String>);

/// Three consensus servers in one process, each with storage of its own.
struct Servers {
    directory: TestDirectory,
    configs: Vec<FleetConfig>,
    /// The settings of the operator who calls them.
    caller: FleetConfig,
    faults: Vec<Arc<AtomicI32>>,
    ended: Rc<RefCell<Vec<Ended>>>,
}

impl Servers {
    /// Each server and the operator has a loopback address of its own, so that no outgoing connection takes a port that a
    /// server is to bind.
    fn new(name: &str, first_address: u8) -> Servers {
        let directory = TestDirectory::new(name);
        let part = 1 + (std::process::id() % 250) as u8;
        std::fs::write(directory.join("key"), "5a".repeat(32)).unwrap();
        let address = |n: u8| Ipv4Addr::new(127, 82, part, first_address + n);
        let bind = |n| TcpListener::bind((address(n), 0)).unwrap();
        let listeners: Vec<TcpListener> = (0..3).map(bind).collect();
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let config = |n: usize| {
            let (key, state) = (directory.join("key"), directory.join(format!("k{n}")));
            let mut text = format!(
                "name = \"k{n}\"\nlisten = \"{}\"\nstate_dir = {state:?}\nkey = {{ number = 1, file = {key:?} }}\n",
                addresses[n]
            );
            for (n, address) in addresses.iter().enumerate() {
                text += &format!("[[keepers]]\nid = {}\nname = \"k{n}\"\naddress = \"{address}\"\n", n + 1);
            }
            toml::from_str(&text).unwrap()
        };
        let configs: Vec<FleetConfig> = (0..3).map(config).collect();
        let caller = FleetConfig { listen: (address(3), 0).into(), ..configs[0].clone() };
        let faults = (0..3).map(|_| Arc::default()).collect();
        Servers { directory, configs, caller, faults, ended: Rc::default() }
    }

    fn start(&self) {
        for n in 0..3 {
            let (config, ended) = (self.configs[n].clone(), self.ended.clone());
            let open = failing_database(&self.faults[n]);
            spawn_local(async move {
                let result = run_consensus_server_with(&config, true, open, std::future::pending()).await;
                ended.borrow_mut().push((n, result));
            });
        }
    }

    fn fail(&self, which: &[usize], errno: i32) {
        which.iter().for_each(|n| self.faults[*n].store(errno, Ordering::SeqCst));
    }

    async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&[Option<admin_client::ServerStatus>]) -> bool,
    ) {
        let began = Instant::now();
        loop {
            let statuses = admin_client::describe_servers(&self.caller).await;
            let statuses: Vec<_> = statuses.into_iter().map(|(_, status)| status.ok()).collect();
            if condition(&statuses) {
                return;
            }
            assert_eq!(self.ended.borrow().len(), 0, "{:?}", self.ended);
            assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}: {statuses:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until `count` of these have stepped down: such a server has an empty view.
    async fn wait_until_stepped_down(&self, count: usize, which: &[usize]) {
        self.wait_until("stepped down", |all| {
            let has_stepped_down = |status: &admin_client::ServerStatus| {
                !status.is_leader && status.leader.is_none() && status.version == 0
            };
            which.iter().filter(|n| all[**n].as_ref().is_some_and(has_stepped_down)).count() >= count
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

/// The acknowledgements of a client's proposals, by id: the version, and whether the proposal was sent and acknowledged while
/// all storage failed.
type Acknowledged = Rc<RefCell<BTreeMap<u64, (u64, bool)>>>;

async fn propose(servers: Rc<Servers>, acknowledged: Acknowledged, ids: std::ops::Range<u64>) {
    for id in ids {
        let all_failing = || servers.faults.iter().all(|fault| fault.load(Ordering::SeqCst) != 0);
        loop {
            let was_failing = all_failing();
            if let Ok(version) = admin_client::propose(&servers.caller, &note(id)).await {
                acknowledged.borrow_mut().insert(id, (version, was_failing && all_failing()));
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn assert_nothing_lost(servers: &Servers, acknowledged: &Acknowledged) {
    let last = acknowledged.borrow().values().map(|(version, _)| *version).max().unwrap();
    servers
        .wait_until("all servers have all records", |all| {
            all.iter().flatten().filter(|one| one.version >= last).count() == 3
        })
        .await;
    for (name, status) in admin_client::describe_servers(&servers.caller).await {
        let status = status.unwrap();
        let records: BTreeMap<&str, u64> =
            status.records.iter().map(|record| (&record.key[..], record.version)).collect();
        for (id, (version, while_failed)) in acknowledged.borrow().iter() {
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
fn three_servers_recover_from_failed_storage_and_lose_nothing_that_was_acknowledged() {
    run(async {
        let (servers, acknowledged) = (Rc::new(Servers::new("three", 10)), Acknowledged::default());
        servers.start();
        propose(servers.clone(), acknowledged.clone(), 1..10).await;
        for (round, errno) in [ENOSPC, EIO, ENOSPC].into_iter().enumerate() {
            let from = 10 + 30 * round as u64;
            let client = spawn_local(propose(servers.clone(), acknowledged.clone(), from..from + 30));
            servers
                .wait_until("some records are committed", |all| {
                    all.iter().flatten().any(|one| one.version > from)
                })
                .await;
            servers.fail(&[0, 1, 2], errno);
            // The third may have nothing left to write, as a follower without a leader.
            servers.wait_until_stepped_down(2, &[0, 1, 2]).await;
            // They remain members.
            assert!(admin_client::list_members(&servers.caller).await.unwrap().members.len() == 3);
            servers.fail(&[0, 1, 2], 0);
            client.await.unwrap();
        }
        assert_nothing_lost(&servers, &acknowledged).await;
    });
}

#[test]
fn a_leader_whose_storage_fails_is_replaced_and_follows_once_its_storage_works_again() {
    run(async {
        let (servers, acknowledged) = (Rc::new(Servers::new("leader", 20)), Acknowledged::default());
        servers.start();
        propose(servers.clone(), acknowledged.clone(), 1..5).await;
        let leads = |all: &[Option<admin_client::ServerStatus>]| {
            all.iter().position(|one| one.as_ref().is_some_and(|one| one.is_leader))
        };
        let leader = Rc::new(RefCell::new(0));
        let found = leader.clone();
        servers
            .wait_until("a leader is elected", |all| leads(all).is_some_and(|n| found.replace(n) == n))
            .await;
        let leader = *leader.borrow();
        servers.fail(&[leader], ENOSPC);
        propose(servers.clone(), acknowledged.clone(), 5..20).await;
        servers.wait_until_stepped_down(1, &[leader]).await;
        servers
            .wait_until("another leader is elected", |all| leads(all).is_some_and(|n| n != leader))
            .await;
        servers.fail(&[leader], 0);
        assert_nothing_lost(&servers, &acknowledged).await;
    });
}

#[test]
fn servers_started_on_a_full_disk_begin_to_serve_once_there_is_space() {
    run(async {
        let (servers, acknowledged) = (Rc::new(Servers::new("start", 30)), Acknowledged::default());
        servers.fail(&[0, 1, 2], ENOSPC);
        servers.start();
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert!(servers.directory.join("k0").exists() && servers.ended.borrow().is_empty());
        servers.fail(&[0, 1, 2], 0);
        propose(servers.clone(), acknowledged.clone(), 1..5).await;
        assert_nothing_lost(&servers, &acknowledged).await;
    });
}
