//! What is kept, over restarts, kills and files that are not what they were.

use curlewhub_control_plane::consensus::{Output, PersistedState, Replica, TICK_INTERVAL};
use curlewhub_control_plane::protocol::{Message, PeerId};
use curlewhub_control_plane::record::{Proposal, Record, RecordKind, Version};
use curlewhub_control_plane::view::View;
use curlewhub_control_plane_node::config::{FleetConfig, keys};
use curlewhub_control_plane_node::{Store, StoreError, ViewFile};
use std::path::{Path, PathBuf};
use std::time::Duration;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("curlewhub-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("keeper.redb")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

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

/// A keeper that is its own majority, with a store under it.
struct Alone {
    keeper: Replica,
    store: Store,
    /// What the store should hold.
    shadow: PersistedState,
    now: Duration,
}

impl Alone {
    fn open(file: &Path) -> Alone {
        let store = Store::open(file).unwrap();
        let kept = store.load().unwrap().unwrap_or_else(|| {
            let first = Replica::bootstrap_state(&[1]);
            store.initialize(&first).unwrap();
            first
        });
        let keeper = Replica::new(1, &kept, 5, Duration::ZERO).unwrap();
        let mut alone = Alone { keeper, store, shadow: kept, now: Duration::ZERO };
        while !alone.keeper.is_leader() {
            alone.tick();
        }
        alone
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        let output = self.keeper.tick(self.now, 0);
        self.keep(&output);
    }

    fn keep(&mut self, output: &Output) {
        self.store.write(&output.writes).unwrap();
        self.shadow.apply(&output.writes);
    }

    fn decide(&mut self, id: u64) {
        let output =
            self.keeper.handle_message(&PeerId { name: "test".to_owned(), incarnation: 1 }, proposal(id));
        self.keep(&output);
        assert!(
            output.messages.iter().any(|(_, message)| matches!(message, Message::Decided { .. })),
            "{id}"
        );
    }
}

#[test]
fn a_keeper_goes_on_where_it_was_over_restarts_and_its_disk_stays_bounded() {
    let folder = Folder::new("restarts");
    let mut decided = 0;
    let mut sizes = Vec::new();
    for _ in 0..3 {
        let mut alone = Alone::open(&folder.file());
        assert_eq!(alone.keeper.view().version(), Version(decided));
        for _ in 0..300 {
            decided += 1;
            alone.decide(decided);
        }
        let kept = alone.store.load().unwrap().unwrap();
        assert_eq!(kept, alone.shadow, "the store holds what it was told to");
        assert!(kept.entries.len() < 650, "{}", kept.entries.len());
        drop(alone);
        sizes.push(std::fs::metadata(folder.file()).unwrap().len());
    }
    assert!(sizes[2] < sizes[0] * 3, "{sizes:?}");
    // A proposal that was decided before the restarts is not decided again.
    let mut alone = Alone::open(&folder.file());
    alone.decide(decided);
    assert_eq!(alone.keeper.view().version(), Version(decided));
}

#[test]
fn incarnations_rise_over_restarts_and_a_clock_that_steps_back() {
    let folder = Folder::new("incarnations");
    let mut before = 0;
    for unix_ms in [1000, 2000, 500, 500, 2000] {
        let incarnation = Store::open(&folder.file()).unwrap().incarnation(unix_ms).unwrap();
        assert!(incarnation > before, "{incarnation} after {before}");
        before = incarnation;
    }
    let _open = Store::open(&folder.file()).unwrap();
    assert!(matches!(Store::open(&folder.file()), Err(StoreError::Store(_))), "two processes, one folder");
}

#[test]
fn spoilt_files_are_told_and_nothing_is_made_of_them() {
    let folder = Folder::new("spoilt");
    // Noise in place of the file, and a torn one.
    std::fs::write(folder.file(), vec![7; 10_000]).unwrap();
    assert!(Store::open(&folder.file()).is_err());
    std::fs::remove_file(folder.file()).unwrap();
    let mut alone = Alone::open(&folder.file());
    (1..50).for_each(|id| alone.decide(id));
    drop(alone);
    let length = std::fs::metadata(folder.file()).unwrap().len();
    std::fs::File::options().write(true).open(folder.file()).unwrap().set_len(length / 3).unwrap();
    let opened =
        std::panic::catch_unwind(|| Store::open(&folder.file()).and_then(|store| store.load()).is_ok());
    assert!(matches!(opened, Ok(false)), "{opened:?}");
    // What a keeper was promised to keep and is not there is told, not made up.
    let kept =
        PersistedState { hard_state: Some(vec![8, 9, 24, 200, 1]), ..Replica::bootstrap_state(&[1]) };
    let missing =
        Replica::new(1, &kept, 1, Duration::ZERO).err().map(|e| e.to_string()).unwrap_or_default();
    assert!(missing.contains("is decided") || missing.contains("can't be read"), "{missing}");
}

/// A view of so many versions.
fn view(versions: u64) -> View {
    let mut view = View::default();
    for version in 1..=versions {
        let (key, by, why) = (format!("k{}", version % 3), "test".to_owned(), String::new());
        let proposal = Proposal {
            id: version,
            key,
            kind: RecordKind::NOTE,
            body: vec![1],
            by,
            why,
            expected_version: None,
        };
        let (before, version) = (view.hash(), Version(version));
        view.apply(Record { version, term: 1, previous_hash: before, at_ms: 0, proposal }).unwrap();
    }
    view
}

#[test]
fn a_kept_view_is_read_beside_who_keeps_it_and_is_never_replaced_by_an_older_one() {
    let folder = Folder::new("view");
    let (old, new) = (ViewFile::new(&folder.0), ViewFile::new(&folder.0));
    assert_eq!(old.view().unwrap(), View::default());
    assert_eq!(old.incarnation(1000).unwrap(), 1000);
    old.store(&view(15)).unwrap();
    assert_eq!(new.incarnation(900).unwrap(), 1001, "above the one before, whatever the clock says");
    assert_eq!(new.view().unwrap(), view(15), "a successor begins where its predecessor is");
    new.store(&view(16)).unwrap();
    old.store(&view(15)).unwrap();
    assert_eq!(new.view().unwrap(), view(16));
    // Torn, noise, or of more than one piece: told, and the next view is kept all the same.
    let path = folder.0.join("fleet-view.bin");
    let whole = std::fs::read(&path).unwrap();
    for bytes in [&whole[..whole.len() / 2], &[7; 100][..], &[&whole[..], &[0]].concat()[..]] {
        std::fs::write(&path, bytes).unwrap();
        assert!(new.view().is_err(), "{} bytes", bytes.len());
    }
    new.store(&view(17)).unwrap();
    assert_eq!(new.view().unwrap(), view(17));
}

#[test]
fn the_examples_are_sound_and_what_is_wrong_is_named() {
    for text in [include_str!("../../../deploy/keeper.toml"), include_str!("../../../deploy/follower.toml")]
    {
        let config: FleetConfig = toml::from_str(text).unwrap();
        assert_eq!(config.problems(), []);
    }
    let folder = Folder::new("config");
    let path = folder.0.join("keeper.toml");
    let sound = include_str!("../../../deploy/keeper.toml");
    let cases = [
        ("name = \"keeper-a\"", "name = \"\"", "name: allowed"),
        ("listen = \"127.0.0.1:7401\"", "listen = \"10.0.0.1:7401\"", "listen: allowed: on loopback"),
        ("id = 2", "id = 1", "keepers[1].id"),
        ("id = 2", "id = 0", "keepers[1].id"),
        ("name = \"keeper-b\"", "name = \"keeper-a\"", "keepers[1].name"),
        ("state_dir", "state_dri", "state_dri"),
    ];
    for (from, to, wanted) in cases {
        std::fs::write(&path, sound.replace(from, to)).unwrap();
        let problem = FleetConfig::read(&path).unwrap_err();
        assert!(problem.contains(wanted), "{wanted}: {problem}");
    }
    std::fs::write(&path, sound).unwrap();
    let config = FleetConfig::read(&path).unwrap();
    for (text, wanted) in [("", "64 hexadecimal digits"), ("zz", "64 hexadecimal digits")] {
        let file = folder.0.join("key");
        std::fs::write(&file, text).unwrap();
        let mut config = config.clone();
        config.key.file = file;
        assert!(keys(&config).unwrap_err().to_string().contains(wanted));
    }
}
