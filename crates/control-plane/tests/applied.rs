//! Which records of a view a build acts on.

use curlewhub_control_plane::applied::{AppliedRecords, RecordOutcome, check};
use curlewhub_control_plane::record::{Proposal, Record, RecordKind};
use curlewhub_control_plane::view::View;

#[test]
fn a_rejected_record_leaves_the_applied_one_in_force() {
    // Key, kind, body; then the body in force for the key, and whether its newest record is rejected.
    type Case = (&'static str, u16, &'static [u8], Option<&'static [u8]>, bool);
    let cases: &[Case] = &[
        ("a", 1, b"one", Some(b"one"), false),
        ("a", 1, b"\xff", Some(b"one"), true),
        ("a", 99, b"two", Some(b"one"), true),
        ("b", 99, b"new", None, true),
        ("a", 1, b"three", Some(b"three"), false),
    ];
    let (mut view, mut applied) = (View::default(), AppliedRecords::default());
    for (n, (key, kind, body, expected, rejected)) in cases.iter().enumerate() {
        let proposal = Proposal {
            id: n as u64,
            key: (*key).to_owned(),
            kind: RecordKind(*kind),
            body: body.to_vec(),
            by: "test".to_owned(),
            why: String::new(),
            expected_version: None,
        };
        let (version, before) = (view.version().next(), view.hash());
        view.apply(Record { version, term: 1, previous_hash: before, at_ms: 0, proposal }).unwrap();
        let outcomes = applied.apply(&view, check);
        assert_eq!(outcomes.len(), 1, "{n}");
        assert_eq!(matches!(outcomes[0], RecordOutcome::RecordRejection(..)), *rejected, "{n}");
        assert_eq!(applied.get(key).map(|record| &record.proposal.body[..]), *expected, "{n}");
        assert_eq!(applied.rejected().any(|(rejected, ..)| rejected == *key), *rejected, "{n}");
        assert_eq!(applied.version(), view.version());
    }
    assert!(applied.apply(&view, check).is_empty(), "each record is checked once");
}
