//! Snapshots of earlier builds, snapshots with an appendix, and the correction of times after a clock step.

use curlewhub_balance::Settings;
use curlewhub_snapshot::{
    SnapshotError, appendix, decode, decode_any, decode_corrected, encode, encode_with_appendix,
    fingerprint,
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000_000);
const HOUR_MICROS: i64 = 3_600_000_000;
/// A snapshot of three endpoints, written at [`NOW`] by the last build without appendices.
const SNAPSHOT_WITHOUT_APPENDIX: &[u8] = include_bytes!("fixtures/snapshot-v1.bin");

#[test]
fn a_snapshot_without_an_appendix_is_decoded_and_encoded_unchanged() {
    let settings = fingerprint(&Settings::default());
    let snapshot = decode(SNAPSHOT_WITHOUT_APPENDIX, settings, NOW).unwrap();
    assert_eq!((snapshot.endpoints.len(), snapshot.taken), (3, NOW));
    assert!(appendix(SNAPSHOT_WITHOUT_APPENDIX).is_empty());
    assert_eq!(encode(&snapshot, settings).unwrap(), SNAPSHOT_WITHOUT_APPENDIX);
}

#[test]
fn an_appendix_does_not_change_what_is_decoded() {
    let (snapshot, settings) = decode_any(SNAPSHOT_WITHOUT_APPENDIX).unwrap();
    let bytes = encode_with_appendix(&snapshot, settings, b"appendix").unwrap();
    assert_eq!(appendix(&bytes), b"appendix");
    assert_eq!(decode_any(&bytes).unwrap(), (snapshot, settings));
    for length in 0..bytes.len() {
        assert!(matches!(decode_any(&bytes[..length]), Err(SnapshotError::Truncated { .. })), "{length}");
    }
}

#[test]
fn a_correction_removes_a_clock_step_from_the_age() {
    let settings = fingerprint(&Settings::default());
    for (step, correction) in [(HOUR_MICROS, HOUR_MICROS), (-HOUR_MICROS, -HOUR_MICROS)] {
        let now = (NOW.as_micros() as i64 + 5_000_000 + step) as u64;
        let now = Duration::from_micros(now);
        assert!(decode(SNAPSHOT_WITHOUT_APPENDIX, settings, now).is_err(), "accepted without a correction");
        let snapshot = decode_corrected(SNAPSHOT_WITHOUT_APPENDIX, settings, now, correction).unwrap();
        assert_eq!(snapshot.age(now), Duration::from_secs(5));
        assert_eq!(snapshot.shifted(-correction), decode_any(SNAPSHOT_WITHOUT_APPENDIX).unwrap().0);
    }
}
