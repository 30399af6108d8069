//! The store of a consensus server over restarts, with clocks that step back, and with corrupt files.

mod support;

use curlewhub_control_plane::consensus::{Output, PersistedState, Replica, TICK_INTERVAL};
use curlewhub_control_plane::protocol::{Message, PeerId};
use curlewhub_control_plane::record::{Proposal, RecordKind, Version};
use curlewhub_control_plane_node::{Store, StoreError};
use std::path::Path;
use std::time::Duration;
use support::TestDirectory;

fn proposal(id: u64) -> Message {
    let (key, by, why) = (format!("k{}", id % 7), "test".to_owned(), String::new());
    Message::Propose(Proposal {
        id,
        key,
        kind: RecordKind::NOTE,
        body: vec![1; 50],
        by,
        why,
        expected_version: None,
    })
}

/// A replica that is the only voter, with its store.
struct SingleServer {
    replica: Replica,
    store: Store,
    /// What the store must contain.
    expected: PersistedState,
    now: Duration,
}

impl SingleServer {
    fn open(file: &Path) -> SingleServer {
        let store = Store::open(file).unwrap();
        let persisted = store.load().unwrap().unwrap_or_else(|| {
            let initial = Replica::bootstrap_state(&[1]);
            store.initialize(&initial).unwrap();
            initial
        });
        let replica = Replica::new(1, &persisted, 5, Duration::ZERO).unwrap();
        let mut server = SingleServer { replica, store, expected: persisted, now: Duration::ZERO };
        while !server.replica.is_leader() {
            server.tick();
        }
        server
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        let output = self.replica.tick(self.now, 0);
        self.write(&output);
    }

    fn write(&mut self, output: &Output) {
        self.store.write(&output.writes).unwrap();
        self.expected.apply(&output.writes);
    }

    fn decide(&mut self, id: u64) {
        let output =
            self.replica.handle_message(&PeerId { name: "test".to_owned(), incarnation: 1 }, proposal(id));
        self.write(&output);
        assert!(
            output.messages.iter().any(|(_, message)| matches!(message, Message::Decided { .. })),
            "{id}"
        );
    }
}

#[test]
fn a_server_resumes_after_restarts_and_its_store_stays_bounded() {
    let directory = TestDirectory::new("restarts");
    let file = directory.join("keeper.redb");
    let mut decided = 0;
    let mut sizes = Vec::new();
    for _ in 0..3 {
        let mut server = SingleServer::open(&file);
        assert_eq!(server.replica.view().version(), Version(decided));
        for _ in 0..300 {
            decided += 1;
            server.decide(decided);
        }
        let persisted = server.store.load().unwrap().unwrap();
        assert_eq!(persisted, server.expected);
        assert!(persisted.entries.len() < 650, "{}", persisted.entries.len());
        drop(server);
        sizes.push(std::fs::metadata(&file).unwrap().len());
    }
    assert!(sizes[2] < sizes[0] * 3, "{sizes:?}");
    // A proposal that was committed before the restarts is not committed again.
    let mut server = SingleServer::open(&file);
    server.decide(decided);
    assert_eq!(server.replica.view().version(), Version(decided));
}

#[test]
fn incarnations_rise_over_restarts_while_the_clock_steps_back() {
    let directory = TestDirectory::new("incarnations");
    let file = directory.join("keeper.redb");
    let mut previous = 0;
    for unix_ms in [1000, 2000, 500, 500, 2000] {
        let incarnation = Store::open(&file).unwrap().incarnation(unix_ms).unwrap();
        assert!(incarnation > previous, "{incarnation} after {previous}");
        previous = incarnation;
    }
    let _open = Store::open(&file).unwrap();
    assert!(matches!(Store::open(&file), Err(StoreError::Store(_))), "locked by another store");
}

#[test]
fn corrupt_files_are_errors_and_yield_no_state() {
    let directory = TestDirectory::new("corrupt");
    let file = directory.join("keeper.redb");
    // Noise in place of the file, then a truncated file.
    std::fs::write(&file, vec![7; 10_000]).unwrap();
    assert!(Store::open(&file).is_err());
    std::fs::remove_file(&file).unwrap();
    let mut server = SingleServer::open(&file);
    (1..50).for_each(|id| server.decide(id));
    drop(server);
    let length = std::fs::metadata(&file).unwrap().len();
    std::fs::File::options().write(true).open(&file).unwrap().set_len(length / 3).unwrap();
    let opened = std::panic::catch_unwind(|| Store::open(&file).and_then(|store| store.load()).is_ok());
    assert!(matches!(opened, Ok(false)), "{opened:?}");
    // A committed index beyond the stored log is an error.
    let persisted =
        PersistedState { hard_state: Some(vec![8, 9, 24, 200, 1]), ..Replica::bootstrap_state(&[1]) };
    let missing =
        Replica::new(1, &persisted, 1, Duration::ZERO).err().map(|e| e.to_string()).unwrap_or_default();
    assert!(missing.contains("is decided") || missing.contains("can't be read"), "{missing}");
}
