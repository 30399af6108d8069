//! Bodies of the records on zones: the same JSON as commit d7660a1 wrote, read and written.

#[path = "../../fleet/tests/support/fixture.rs"]
mod fixture;

use curlewhub_fleet::record::{Hash, Kind, Proposal, Record, Version};
use curlewhub_locality::places::{
    self, Before, ByHand, FREEZE, Freeze, HAND, Hall, Hand, PLACES, Places, State,
};
use curlewhub_locality::room::{After, Plan};
use fixture::{assert_same, values};
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;

fn zone(state: State) -> Hall {
    let before = Before { calls_per_s: 1200.5, stretch: 1.25 };
    Hall { state, why: "no answer, größer".to_owned(), before, flaps: 3, by_hand: true }
}

fn zones() -> Places {
    let states = [State::Serving, State::Leaving(0.375), State::Left, State::Returning(80.5)];
    let name = |n: usize| if n == 3 { places::place("zone-0", 2) } else { format!("zone-{n}") };
    let halls = states.into_iter().enumerate().map(|(n, state)| (name(n), zone(state))).collect();
    let way = [("zone-2".to_owned(), "calls are lost".to_owned())].into();
    Places { halls, cut: [("zone-1".to_owned(), way)].into() }
}

fn by_hand(what: Hand) -> ByHand {
    ByHand { what, until_ms: 1_700_000_000_123 }
}

fn plan() -> Plan {
    let after = After { name: "zone-2".to_owned(), calls_per_s: 10.5, then_per_s: 20.25, most_per_s: 15.0 };
    let left = vec!["zone-1".to_owned(), "zone-1/1".to_owned()];
    Plan { left, moves_per_s: 30.5, refused_per_s: 1.5, stays: 0.75, after: vec![after] }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

#[test]
fn bodies_are_written_as_the_earlier_build_wrote_them() {
    let written = [
        (PLACES.to_owned(), String::from_utf8(zones().write()).unwrap()),
        (FREEZE.to_owned(), json(&Freeze { on: true })),
        (format!("{HAND}leave"), json(&by_hand(Hand::Leave))),
        (format!("{HAND}return"), json(&by_hand(Hand::Return))),
        (format!("{HAND}hold"), json(&by_hand(Hand::Hold))),
        (format!("{HAND}release"), json(&by_hand(Hand::Release))),
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
    assert_eq!(Places::read(kept["places"].as_bytes()), Ok(zones()));
    for (key, text) in &kept {
        let read = match key.as_str() {
            "places" => again::<Places>(text),
            "freeze" => again::<Freeze>(text),
            "plan" => again::<Plan>(text),
            _ => again::<ByHand>(text),
        };
        assert_eq!(&read, text, "{key}");
        if key != "plan" {
            assert_eq!(places::check(&record(key, text)), Ok(()), "{key}");
        }
    }
}

fn record(key: &str, body: &str) -> Record {
    let (key, body, by, why) = (key.to_owned(), body.as_bytes().to_vec(), "test".to_owned(), String::new());
    let proposal = Proposal { id: 1, key, kind: Kind::PLACE, body, by, why, only_after: None };
    Record { version: Version(1), term: 1, before: Hash::default(), at_ms: 0, proposal }
}

#[test]
fn a_body_without_the_fields_of_later_builds_is_read() {
    let old = r#"{"halls":{"zone-1":{"state":"left","why":"dark"}}}"#;
    let read = Places::read(old.as_bytes()).unwrap();
    let wanted = Hall {
        flaps: 0,
        by_hand: false,
        before: Before::default(),
        why: "dark".to_owned(),
        ..zone(State::Left)
    };
    assert_eq!(read.halls["zone-1"], wanted);
    assert!(read.cut.is_empty());
}
