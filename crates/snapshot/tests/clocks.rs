//! Snapshots of the version before, with something behind them, and of a process with another clock.

use curlewhub_balance::Settings;
use curlewhub_snapshot::{
    SnapshotError, appendix, decode, decode_any, decode_moved, encode, encode_with, fingerprint,
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000_000);
const HOUR_MICROS: i64 = 3_600_000_000;
/// Written by the version before appendices, at [`NOW`], of three endpoints.
const BEFORE: &[u8] = include_bytes!("fixtures/snapshot-v1.bin");

#[test]
fn the_bytes_of_the_version_before_are_read_and_written_alike() {
    let settings = fingerprint(&Settings::default());
    let snapshot = decode(BEFORE, settings, NOW).unwrap();
    assert_eq!((snapshot.endpoints.len(), snapshot.taken), (3, NOW));
    assert!(appendix(BEFORE).is_empty());
    assert_eq!(encode(&snapshot, settings).unwrap(), BEFORE);
}

#[test]
fn what_follows_a_snapshot_changes_nothing_for_who_does_not_know_of_it() {
    let (snapshot, settings) = decode_any(BEFORE).unwrap();
    let bytes = encode_with(&snapshot, settings, b"appendix").unwrap();
    assert_eq!(appendix(&bytes), b"appendix");
    assert_eq!(decode_any(&bytes).unwrap(), (snapshot, settings));
    for length in 0..bytes.len() {
        assert!(matches!(decode_any(&bytes[..length]), Err(SnapshotError::Truncated { .. })), "{length}");
    }
}

#[test]
fn a_correction_takes_a_step_of_the_clock_out_of_the_age() {
    let settings = fingerprint(&Settings::default());
    for (step, correction) in [(HOUR_MICROS, HOUR_MICROS), (-HOUR_MICROS, -HOUR_MICROS)] {
        let now = (NOW.as_micros() as i64 + 5_000_000 + step) as u64;
        let now = Duration::from_micros(now);
        assert!(decode(BEFORE, settings, now).is_err(), "too old, or from the future");
        let snapshot = decode_moved(BEFORE, settings, now, correction).unwrap();
        assert_eq!(snapshot.age(now), Duration::from_secs(5));
        assert_eq!(snapshot.moved(-correction), decode_any(BEFORE).unwrap().0);
    }
}
