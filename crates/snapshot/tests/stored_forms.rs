//! Snapshots are read and written with the same bytes, file name and settings fingerprint as at commit
//! d7660a1.

#[path = "../../control-plane/tests/support/fixture.rs"]
mod fixture;

use curlewhub_balance::{Class, DeduplicationScope, Semantics, Settings, Snapshot, Tenant};
use curlewhub_snapshot::{Store, decode, encode, fingerprint};
use fixture::{assert_same, hex, unhex, values};
use std::time::Duration;

const FINGERPRINT: u64 = 0x0123_4567_89ab_cdef;
const NOW: Duration = Duration::from_micros(1_700_000_000_123_456);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The payload's fields in their order, each with a different value. Most fields of [`Snapshot`] are
/// private, so a tuple is encoded.
fn payload() -> Vec<u8> {
    let value = |n: u64| (n as f64 + 0.5, ms(n));
    let endpoint = |id: u64, started: Option<Duration>, back: Option<Duration>| {
        (id, started, value(1), value(2), 3.25, true, ms(4), -5.25, ms(6), back)
    };
    let endpoints = vec![endpoint(u64::MAX, Some(ms(7)), None), endpoint(8, None, Some(ms(9)))];
    let windows = [(10.5, true), (11.5, false)];
    let latency = vec![(12.5, 13.5, 14.5, 15u32, ms(16)), (17.5, 18.5, 19.5, 20, ms(21))];
    let tenants = vec![value(23), value(24)];
    let first = (NOW, ms(25), endpoints, windows, value(26), latency, 27.5, tenants);
    let rest = (value(28), value(29), value(30), value(31), 0.375);
    postcard::to_stdvec(&(first, rest)).unwrap()
}

fn snapshot() -> Snapshot {
    postcard::from_bytes(&payload()).unwrap()
}

/// Settings that differ from the default in each part that a configuration file sets.
fn settings() -> Settings {
    let semantics = Semantics::Keyed { group: DeduplicationScope::Zone, window: ms(6001) };
    let classes = vec![Class { semantics, ..Class::default() }, Class::default()];
    let tenants = vec![Tenant { allowance_per_s: 40.5, portion: 0.25 }];
    Settings { balancers: 7, me: 3, tiers: 2, tier: 1, classes, tenants, ..Settings::default() }
}

fn store(folder: &str) -> String {
    let store = Store::new(folder.as_ref(), "127.0.0.1:7070".parse().unwrap());
    store.path().display().to_string()
}

#[test]
fn a_snapshot_has_the_file_name_and_bytes_of_the_earlier_build() {
    let written = [
        ("snapshot", hex(&encode(&snapshot(), FINGERPRINT).unwrap())),
        ("payload", hex(&payload())),
        ("file", store("folder")),
    ];
    assert_same("snapshot.txt", &written);
}

#[test]
fn a_snapshot_of_the_earlier_build_is_read() {
    let bytes = unhex(&values("snapshot.txt")[0].1);
    assert_eq!(decode(&bytes, FINGERPRINT, NOW), Ok(snapshot()));
}

/// A successor of another build accepts a snapshot only if both builds compute the same fingerprint of
/// their settings.
#[test]
fn settings_have_the_fingerprint_of_the_earlier_build() {
    let written = [
        ("default", format!("{:016x}", fingerprint(&Settings::default()))),
        ("other", format!("{:016x}", fingerprint(&settings()))),
    ];
    assert_same("fingerprints.txt", &written);
}
