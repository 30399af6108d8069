//! Answers to operators and files on disk: the same as commit d7660a1 wrote, read and written.

#[path = "../../fleet/tests/support/fixture.rs"]
mod fixture;

use curlewhub_fleet::keeper::{Kept, Persist};
use curlewhub_fleet::members::{Member, Role, Standing};
use curlewhub_fleet::record::{Hash, Kind, Proposal, Record, Version};
use curlewhub_fleet::view::View;
use curlewhub_fleet_node::call::{Described, HallStands, Halls, Known, Line, Listed};
use curlewhub_fleet_node::{Flow, Lost, MessageKind, Store, ViewFile};
use curlewhub_locality::places::State;
use fixture::{assert_same, hex, unhex, values};
use redb::{ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition, TableHandle};
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const INCARNATION: u64 = 1_700_000_000_456;

fn record(version: u64, before: Hash) -> Record {
    let proposal = Proposal {
        id: 9,
        key: format!("key/{version}"),
        kind: Kind::PLACE,
        body: b"{\"a\":1}".to_vec(),
        by: "operator-a".to_owned(),
        why: "a reason".to_owned(),
        only_after: Some(Version(4)),
    };
    Record { version: Version(version), term: 7, before, at_ms: 1_700_000_000_123, proposal }
}

fn view() -> View {
    let mut view = View::default();
    for version in 1..=3 {
        view.apply(record(version, view.hash())).unwrap();
    }
    view
}

fn counts(name: &str, n: u64) -> BTreeMap<String, u64> {
    [(name.to_owned(), n)].into()
}

fn described() -> Described {
    let lost = [
        Lost::PeerQueueFull,
        Lost::InboxFull,
        Lost::DialLimit,
        Lost::NotConnected,
        Lost::DatagramRefused,
        Lost::ConnectionLimit,
    ];
    let kinds = [
        MessageKind::View,
        MessageKind::Evidence,
        MessageKind::Membership,
        MessageKind::Consensus,
        MessageKind::Places,
        MessageKind::Other,
    ];
    let flow = |n: u64| Flow { messages_out: n, bytes_out: n + 1, messages_in: n + 2, bytes_in: n + 3 };
    Described {
        name: "server-1".to_owned(),
        incarnation: INCARNATION,
        leads: true,
        leader: Some("server-2".to_owned()),
        term: 11,
        keepers: vec![1, 2, 300],
        version: 12,
        hash: "abcdef".to_owned(),
        records: vec![Line::of(&record(12, Hash::default()))],
        sidecars: 13,
        members: 14,
        said_bytes: 15,
        heard_bytes: 16,
        fenced: 17,
        not_heard: counts("a", 18),
        put_off: 19,
        unread: 20,
        not_taken: counts("b", 21),
        dropped: counts("c", 22),
        lost: lost.into_iter().zip(23..).collect(),
        traffic: kinds.into_iter().zip((30..).step_by(10).map(flow)).collect(),
    }
}

fn listed() -> Listed {
    let member = |role, standing| Known {
        member: Member {
            name: "sidecar-1".to_owned(),
            role,
            hall: "zone-a".to_owned(),
            at: SocketAddr::from(([127, 0, 0, 1], 7001)),
            build: "1.2.3".to_owned(),
            format: 2,
            incarnation: INCARNATION,
            renewed: 3,
        },
        standing,
    };
    let members = vec![
        member(Role::Keeper, Standing::There),
        member(Role::Sidecar, Standing::Suspected),
        member(Role::Sidecar, Standing::Gone),
    ];
    Listed { by: "server-1".to_owned(), members }
}

fn zones() -> Halls {
    let zone = |state| HallStands {
        name: "zone-a".to_owned(),
        region: "north".to_owned(),
        state,
        why: "dark".to_owned(),
        by_hand: true,
        calls_per_s: 1.5,
        stretch: 2.5,
        lost: 0.5,
        bore_per_s: 3.5,
        most_per_s: 4.5,
        granted_per_s: 5.5,
        witnesses: 6,
        losing: 7,
    };
    let states = [State::Serving, State::Leaving(0.25), State::Left, State::Returning(8.5)];
    let way: BTreeMap<String, String> = [("zone-b".to_owned(), "cut".to_owned())].into();
    Halls {
        by: "server-1".to_owned(),
        leads: true,
        version: 12,
        halls: states.map(zone).to_vec(),
        cut: [("zone-a".to_owned(), way)].into(),
        floor: 0.375,
    }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

#[test]
fn answers_to_operators_are_written_as_the_earlier_build_wrote_them() {
    let written = [("status", json(&described())), ("members", json(&listed())), ("zones", json(&zones()))];
    assert_same("answers.txt", &written);
}

fn read<T: DeserializeOwned>(name: &str) -> T {
    let kept = values("answers.txt");
    serde_json::from_str(&kept.iter().find(|(known, _)| known == name).unwrap().1).unwrap()
}

#[test]
fn answers_of_the_earlier_build_are_read() {
    assert_eq!(read::<Described>("status"), described());
    assert_eq!(read::<Listed>("members"), listed());
    assert_eq!(read::<Halls>("zones"), zones());
}

#[test]
fn the_kept_view_is_the_same_file_under_the_same_name() {
    let folder = tempfile::tempdir().unwrap();
    let file = ViewFile::new(folder.path());
    assert_eq!(file.incarnation(INCARNATION).unwrap(), INCARNATION);
    file.keep(&view()).unwrap();
    let mut written = vec![("view", hex(&std::fs::read(folder.path().join("fleet-view.bin")).unwrap()))];
    let mut names: Vec<_> =
        std::fs::read_dir(folder.path()).unwrap().map(|e| e.unwrap().file_name()).collect();
    names.sort();
    let names: Vec<_> = names.iter().map(|name| name.to_str().unwrap()).collect();
    written.push(("files", names.join(" ")));
    assert_same("kept_view.txt", &written);
}

#[test]
fn a_kept_view_of_the_earlier_build_is_read_and_its_incarnation_rises() {
    let folder = tempfile::tempdir().unwrap();
    let kept = values("kept_view.txt");
    std::fs::write(folder.path().join("fleet-view.bin"), unhex(&kept[0].1)).unwrap();
    let file = ViewFile::new(folder.path());
    assert_eq!(file.view().unwrap(), view());
    assert_eq!(file.incarnation(5).unwrap(), INCARNATION + 1);
}

fn kept() -> Kept {
    let entries = [(5, vec![1, 2, 3]), (6, vec![4]), (300, vec![255; 9])].into();
    Kept { snapshot: Some(vec![7, 8]), entries, hard_state: Some(vec![9, 10, 11]) }
}

/// All tables of a store, by the store's own library.
fn tables(path: &std::path::Path) -> Vec<(String, String)> {
    let database = redb::Database::open(path).unwrap();
    let read = database.begin_read().unwrap();
    let mut names: Vec<String> = read.list_tables().unwrap().map(|table| table.name().to_owned()).collect();
    names.sort();
    let mut found = vec![("tables".to_owned(), names.join(" "))];
    let entries = read.open_table(TableDefinition::<u64, &[u8]>::new("entries")).unwrap();
    for entry in entries.iter().unwrap() {
        let (index, bytes) = entry.unwrap();
        found.push((format!("entries/{}", index.value()), hex(bytes.value())));
    }
    let rest = read.open_table(TableDefinition::<&str, &[u8]>::new("rest")).unwrap();
    for entry in rest.iter().unwrap() {
        let (name, bytes) = entry.unwrap();
        found.push((format!("rest/{}", name.value().replace(' ', "_")), hex(bytes.value())));
    }
    assert!(entries.len().unwrap() > 0);
    found
}

fn write_store(path: &std::path::Path) {
    let store = Store::open(path).unwrap();
    store.is_of(4).unwrap();
    assert_eq!(store.incarnation(INCARNATION).unwrap(), INCARNATION);
    let Kept { snapshot, entries, hard_state } = kept();
    let persist = Persist { snapshot, entries: entries.into_iter().collect(), hard_state, compact: None };
    store.keep(&persist).unwrap();
}

#[test]
fn a_store_has_the_same_tables_keys_and_values() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("store.redb");
    write_store(&file);
    assert_same("store.txt", &tables(&file));
}

/// A whole file of the earlier build: its length, and those blocks that are not all zero by where they begin.
fn store_file() -> Vec<u8> {
    let mut bytes = Vec::new();
    for (at, value) in values("store_file.txt") {
        if at == "length" {
            bytes.resize(value.parse().unwrap(), 0);
        } else {
            let (at, block) = (at.parse::<usize>().unwrap(), unhex(&value));
            bytes[at..at + block.len()].copy_from_slice(&block);
        }
    }
    bytes
}

#[test]
fn a_store_of_the_earlier_build_is_gone_on_with() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("store.redb");
    std::fs::write(&file, store_file()).unwrap();
    let store = Store::open(&file).unwrap();
    assert_eq!(store.kept().unwrap(), Some(kept()));
    store.is_of(4).unwrap();
    assert!(store.is_of(5).is_err());
    assert_eq!(store.incarnation(5).unwrap(), INCARNATION + 1);
}
