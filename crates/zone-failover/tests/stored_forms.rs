//! Bodies of the records on zones: the same JSON as commit d7660a1 wrote, read and written.

#[path = "../../control-plane/tests/support/fixture.rs"]
mod fixture;

use curlewhub_control_plane::record::{Hash, Proposal, Record, RecordKind, Version};
use curlewhub_zone_failover::capacity::{EvacuationPlan, LoadAfter};
use curlewhub_zone_failover::zone_states::{
    self, Baseline, FREEZE_KEY, Freeze, OVERRIDE_KEY_PREFIX, OperatorOverride, OverrideAction,
    ZONE_STATES_KEY, ZoneRecord, ZoneState, ZoneStates,
};
use fixture::{assert_same, values};
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;

fn zone(state: ZoneState) -> ZoneRecord {
    let before = Baseline { calls_per_s: 1200.5, latency_ratio: 1.25 };
    ZoneRecord {
        state, why: "no answer, größer".to_owned(), baseline: before, flaps: 3, overridden: true
    }
}

fn zones() -> ZoneStates {
    let states =
        [ZoneState::Serving, ZoneState::Leaving(0.375), ZoneState::Left, ZoneState::Returning(80.5)];
    let name = |n: usize| if n == 3 { zone_states::tier_zone("zone-0", 2) } else { format!("zone-{n}") };
    let zones = states.into_iter().enumerate().map(|(n, state)| (name(n), zone(state))).collect();
    let way = [("zone-2".to_owned(), "calls are lost".to_owned())].into();
    ZoneStates { zones, cut_pairs: [("zone-1".to_owned(), way)].into() }
}

fn by_hand(what: OverrideAction) -> OperatorOverride {
    OperatorOverride { action: what, expires_unix_ms: 1_700_000_000_123 }
}

fn plan() -> EvacuationPlan {
    let after =
        LoadAfter { name: "zone-2".to_owned(), calls_per_s: 10.5, then_per_s: 20.25, peak_per_s: 15.0 };
    let left = vec!["zone-1".to_owned(), "zone-1/1".to_owned()];
    EvacuationPlan { left, moves_per_s: 30.5, refused_per_s: 1.5, stays: 0.75, after: vec![after] }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

#[test]
fn bodies_are_written_as_the_earlier_build_wrote_them() {
    let written = [
        (ZONE_STATES_KEY.to_owned(), String::from_utf8(zones().encode()).unwrap()),
        (FREEZE_KEY.to_owned(), json(&Freeze { on: true })),
        (format!("{OVERRIDE_KEY_PREFIX}leave"), json(&by_hand(OverrideAction::Leave))),
        (format!("{OVERRIDE_KEY_PREFIX}return"), json(&by_hand(OverrideAction::Return))),
        (format!("{OVERRIDE_KEY_PREFIX}hold"), json(&by_hand(OverrideAction::Hold))),
        (format!("{OVERRIDE_KEY_PREFIX}release"), json(&by_hand(OverrideAction::Release))),
        ("plan".to_owned(), json(&plan())),
    ];
    assert_same("bodies.txt", &written);
}

/// The value that a line holds, as JSON of this build; the same line where nothing is lost.
fn again<T: DeserializeOwned + Serialize>(text: &str) -> String {
    json(&serde_json::from_str::<T>(text).unwrap())
}

#[test]
fn bodies_of_the_earlier_build_are_read_whole_and_are_sensible() {
    let kept: BTreeMap<String, String> = values("bodies.txt").into_iter().collect();
    assert_eq!(kept.len(), 7);
    assert_eq!(ZoneStates::decode(kept["places"].as_bytes()), Ok(zones()));
    for (key, text) in &kept {
        let read = match key.as_str() {
            "places" => again::<ZoneStates>(text),
            "freeze" => again::<Freeze>(text),
            "plan" => again::<EvacuationPlan>(text),
            _ => again::<OperatorOverride>(text),
        };
        assert_eq!(&read, text, "{key}");
        if key != "plan" {
            assert_eq!(zone_states::check(&record(key, text)), Ok(()), "{key}");
        }
    }
}

fn record(key: &str, body: &str) -> Record {
    let (key, body, by, why) = (key.to_owned(), body.as_bytes().to_vec(), "test".to_owned(), String::new());
    let proposal =
        Proposal { id: 1, key, kind: RecordKind::ZONE_STATES, body, by, why, expected_version: None };
    Record { version: Version(1), term: 1, previous_hash: Hash::default(), at_ms: 0, proposal }
}

#[test]
fn a_body_without_the_fields_of_later_builds_is_read() {
    let old = r#"{"halls":{"zone-1":{"state":"left","why":"dark"}}}"#;
    let read = ZoneStates::decode(old.as_bytes()).unwrap();
    let wanted = ZoneRecord {
        flaps: 0,
        overridden: false,
        baseline: Baseline::default(),
        why: "dark".to_owned(),
        ..zone(ZoneState::Left)
    };
    assert_eq!(read.zones["zone-1"], wanted);
    assert!(read.cut_pairs.is_empty());
}
