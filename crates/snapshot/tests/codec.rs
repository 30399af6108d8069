//! Encoding and decoding of snapshots, the errors for invalid bytes, and the snapshot file.

use curlewhub_balance::{Balancer, EndpointInfo, Event, Membership, Settings, Snapshot};
use curlewhub_snapshot::{MAX_BYTES, SnapshotError, Store, decode, decode_any, encode, fingerprint};
use proptest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000_000);

fn snapshot(endpoints: u64) -> Snapshot {
    let mut balancer = Balancer::new(Settings::default(), 7, NOW).unwrap();
    let list = (0..endpoints).map(EndpointInfo::ready).collect();
    balancer.handle(NOW, Event::Membership(Membership::Full(list)), &mut Vec::new());
    balancer.snapshot(NOW)
}

fn default_fingerprint() -> u64 {
    fingerprint(&Settings::default())
}

#[test]
fn a_snapshot_decodes_to_what_was_encoded() {
    let snapshot = snapshot(9);
    let bytes = encode(&snapshot, default_fingerprint()).unwrap();
    assert_eq!(decode(&bytes, default_fingerprint(), NOW).unwrap(), snapshot);
    assert_eq!(decode_any(&bytes).unwrap(), (snapshot, default_fingerprint()));
}

#[test]
fn invalid_bytes_are_rejected_with_a_specific_error() {
    let bytes = encode(&snapshot(9), default_fingerprint()).unwrap();
    let error_of = |bytes: &[u8]| decode(bytes, default_fingerprint(), NOW).unwrap_err();
    assert!(matches!(error_of(&[]), SnapshotError::Truncated { have: 0, .. }));
    for cut in [3, 10, 21, 22, bytes.len() - 1] {
        assert!(matches!(error_of(&bytes[..cut]), SnapshotError::Truncated { .. }), "{cut}");
    }
    assert!(matches!(error_of(&[&bytes[..], b"x"].concat()), SnapshotError::TooLong { .. }));
    assert_eq!(error_of(b"something else altogether"), SnapshotError::NotASnapshot);
    let changed = |at: usize| {
        let mut changed = bytes.clone();
        changed[at] ^= 0x40;
        changed
    };
    assert!(matches!(error_of(&changed(4)), SnapshotError::Version(_)));
    assert_eq!(error_of(&changed(40)), SnapshotError::Corrupt);
    assert_eq!(error_of(&changed(8)), SnapshotError::Corrupt, "a changed fingerprint");
    let other = Settings { tier: 1, tiers: 2, ..Settings::default() };
    assert_eq!(decode(&bytes, fingerprint(&other), NOW).unwrap_err(), SnapshotError::Configuration);
    let at = |now| decode(&bytes, default_fingerprint(), now);
    assert!(matches!(at(NOW + Duration::from_secs(61)), Err(SnapshotError::TooOld(_))));
    assert!(matches!(at(NOW - Duration::from_secs(61)), Err(SnapshotError::FromTheFuture(_))));
    assert!(at(NOW - Duration::from_secs(5)).is_ok(), "a small step back of the clock");
    let huge = [&bytes[..14], &u32::MAX.to_le_bytes()[..], &bytes[18..]].concat();
    assert!(matches!(error_of(&huge), SnapshotError::TooLong { .. }));
}

#[test]
fn a_snapshot_of_a_hundred_thousand_endpoints_is_within_the_size_limit() {
    let bytes = encode(&snapshot(100_000), default_fingerprint()).unwrap();
    assert!(bytes.len() < MAX_BYTES * 3 / 4, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes, default_fingerprint(), NOW).unwrap().endpoints.len(), 100_000);
}

#[test]
fn a_file_is_replaced_without_leaving_temporary_files() {
    let folder = std::env::temp_dir().join(format!("curlewhub-snapshot-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let store = Store::new(&folder, "127.0.0.1:7070".parse().unwrap());
    assert_eq!(store.read().unwrap(), None);
    store.write(b"one").unwrap();
    store.write(b"two").unwrap();
    assert_eq!(store.read().unwrap().unwrap(), b"two");
    assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 1, "no temporary file is left");
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(store.write(b"three").is_err());
}

proptest! {
    #[test]
    fn a_changed_byte_is_rejected(at in any::<prop::sample::Index>(), bits in 1..=255u8) {
        let bytes = encode(&snapshot(5), default_fingerprint()).unwrap();
        let mut changed = bytes.clone();
        let at = at.index(bytes.len());
        changed[at] ^= bits;
        prop_assert!(decode(&changed, default_fingerprint(), NOW).is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_decoder(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode(&bytes, default_fingerprint(), NOW);
        // With a valid header the payload is decoded as well.
        let mut with_header = encode(&snapshot(1), default_fingerprint()).unwrap()[..14].to_vec();
        with_header.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
        let mut checksum = crc32(&with_header, &bytes);
        with_header.append(&mut checksum);
        with_header.extend_from_slice(&bytes);
        let _ = decode(&with_header, default_fingerprint(), NOW);
    }
}

fn crc32(header: &[u8], payload: &[u8]) -> Vec<u8> {
    let mut hash = crc32fast::Hasher::new();
    hash.update(header);
    hash.update(payload);
    hash.finalize().to_le_bytes().to_vec()
}
