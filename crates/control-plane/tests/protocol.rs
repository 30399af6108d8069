//! Decoding of messages (truncated, too long, under another key, of another format, noise), and which records and views
//! are accepted.

use curlewhub_control_plane::configuration::{
    ConfigAction, ConfigCommand, ConfigNumber, ConfigReport, RolloutPlan, Settings,
};
use curlewhub_control_plane::protocol::{
    DecodeError, Envelope, FORMAT, MAX_MESSAGE_BYTES, MIN_FORMAT, MacKeys, Message, PeerId,
};
use curlewhub_control_plane::record::{Hash, MAX_BODY_BYTES, Proposal, Record, RecordKind, Version};
use curlewhub_control_plane::view::{ApplyError, MAX_KEYS, SMALL_RECORD_BYTES, View};
use proptest::prelude::*;

const KEY: [u8; 32] = [7; 32];
const OTHER: [u8; 32] = [9; 32];

fn envelope() -> Envelope {
    let from = PeerId { name: "s1".to_owned(), incarnation: 3 };
    Envelope { from, message: Message::ViewVersion { version: Version(41), hash: Hash([5; 32]) } }
}

fn named(name: String) -> Envelope {
    Envelope { from: PeerId { name, incarnation: 1 }, ..envelope() }
}

fn record(version: u64, before: Hash, key: &str, body: Vec<u8>) -> Record {
    let (key, kind, by, why) = (key.to_owned(), RecordKind::NOTE, "test".to_owned(), String::new());
    let proposal = Proposal { id: version, key, kind, body, by, why, expected_version: None };
    Record { version: Version(version), term: 1, previous_hash: before, at_ms: 0, proposal }
}

fn view(versions: u64) -> View {
    let mut view = View::default();
    for version in 1..=versions {
        view.apply(record(version, view.hash(), &format!("k{}", version % 3), vec![version as u8]))
            .unwrap();
    }
    view
}

#[test]
fn each_invalid_message_is_rejected_with_its_reason() {
    let keys = MacKeys::single(1, KEY);
    let valid = keys.encode(&envelope(), FORMAT);
    assert_eq!(keys.decode(&valid), Ok(envelope()));
    let with = |at: usize, byte: u8| {
        let mut bytes = valid.clone();
        bytes[at] = byte;
        bytes
    };
    // Valid MACs over undecodable envelopes.
    let mut unread = valid[..5].to_vec();
    unread.extend([255; 40]);
    unread.extend(blake3_of(&unread));
    let mut longer = valid[..valid.len() - 32].to_vec();
    longer.push(0);
    longer.extend(blake3_of(&longer));
    let cases: &[(&str, Vec<u8>, DecodeError)] = &[
        ("nothing", Vec::new(), DecodeError::NotAMessage),
        ("short", valid[..20].to_vec(), DecodeError::NotAMessage),
        (
            "another protocol",
            b"GET / HTTP/1.1\r\nHost: here\r\nAccept: all\r\n\r\n".to_vec(),
            DecodeError::NotAMessage,
        ),
        ("cut off", valid[..valid.len() - 1].to_vec(), DecodeError::WrongMac),
        ("one bit off", with(9, valid[9] ^ 1), DecodeError::WrongMac),
        ("a format to come", with(3, FORMAT + 1), DecodeError::UnsupportedFormat),
        ("a format long gone", with(3, MIN_FORMAT - 1), DecodeError::UnsupportedFormat),
        ("an unknown key", with(4, 2), DecodeError::UnknownKey),
        ("a wrong key", MacKeys::single(1, OTHER).encode(&envelope(), FORMAT), DecodeError::WrongMac),
        ("words that are none", unread, DecodeError::Malformed),
        ("more behind the words", longer, DecodeError::Malformed),
        ("a name without end", keys.encode(&named("n".repeat(201)), FORMAT), DecodeError::Malformed),
        ("no name", keys.encode(&named(String::new()), FORMAT), DecodeError::Malformed),
        ("too long", vec![0; MAX_MESSAGE_BYTES + 1], DecodeError::TooLong),
    ];
    for (case, bytes, why) in cases {
        assert_eq!(keys.decode(bytes), Err(*why), "{case}");
    }
}

#[test]
fn configuration_messages_have_the_last_variant_numbers_and_older_readers_skip_them() {
    let keys = MacKeys::single(1, KEY);
    // The variant's number is the first byte after the sender; builds of the same format rely on it.
    let number = |message: &Message| {
        let envelope = Envelope { message: message.clone(), ..envelope() };
        keys.encode(&envelope, FORMAT)[5 + 1 + envelope.from.name.len() + 1]
    };
    let everywhere = [("log.level".to_owned(), "debug".to_owned())].into();
    let settings = Settings { everywhere, ..Settings::default() };
    let (base, plan) = (ConfigNumber(1), RolloutPlan::default());
    let action = ConfigAction::Propose { base, settings, plan };
    let command = ConfigCommand { id: 1, action, by: "anna".to_owned(), why: String::new() };
    let new = [
        Message::ReportConfig(ConfigReport::default()),
        Message::CommandConfig(command),
        Message::DescribeConfig,
    ];
    assert_eq!(
        [number(&envelope().message), number(&Message::ListMembers), number(&Message::ListZones)],
        [0, 16, 21]
    );
    for (n, message) in (22..).zip(new) {
        assert_eq!((number(&message), message.min_format()), (n, 2));
        let envelope = Envelope { message, ..envelope() };
        assert_eq!(keys.decode(&keys.encode(&envelope, FORMAT)), Ok(envelope));
    }
    // An unknown variant under a valid MAC is malformed, and not a wrong MAC: its reader goes on with the next message.
    let mut bytes = keys.encode(&Envelope { message: Message::DescribeConfig, ..envelope() }, FORMAT);
    bytes.truncate(bytes.len() - 32);
    *bytes.last_mut().unwrap() = 25;
    bytes.extend(blake3_of(&bytes));
    assert_eq!(keys.decode(&bytes), Err(DecodeError::Malformed));
}

fn blake3_of(bytes: &[u8]) -> [u8; 32] {
    // As `MacKeys` appends it.
    *blake3::keyed_hash(&KEY, bytes).as_bytes()
}

#[test]
fn a_key_is_rotated_while_both_are_accepted() {
    let (old, new) = (MacKeys::single(1, KEY), MacKeys::single(2, OTHER));
    let (both_old, both_new) = (old.clone().with(2, OTHER), new.clone().with(1, KEY));
    // First all accept both keys, then all write with the new one, then the old one is removed.
    for (from, to, reads) in [
        (&old, &both_old, true),
        (&both_old, &old, true),
        (&both_new, &both_old, true),
        (&both_old, &both_new, true),
        (&new, &both_new, true),
        (&new, &old, false),
        (&old, &new, false),
    ] {
        assert_eq!(to.decode(&from.encode(&envelope(), FORMAT)).is_ok(), reads, "{from:?} to {to:?}");
    }
}

#[test]
fn a_view_accepts_only_the_next_record() {
    let current = view(7);
    let next = record(8, current.hash(), "k0", vec![1]);
    let last = record(7, view(6).hash(), "k1", vec![7]);
    let cases: Vec<(&str, Record, Result<(), ApplyError>)> = vec![
        ("the next", next.clone(), Ok(())),
        ("the last again", last.clone(), Err(ApplyError::AlreadyKnown(Version(7)))),
        ("another last", Record { term: 2, ..last }, Err(ApplyError::Conflict(Version(7)))),
        (
            "an old one that is superseded",
            record(1, Hash::default(), "k1", vec![9]),
            Err(ApplyError::AlreadyKnown(Version(1))),
        ),
        (
            "over a gap",
            record(9, current.hash(), "k0", vec![1]),
            Err(ApplyError::Gap(Version(9), Version(7))),
        ),
        (
            "of another chain",
            record(8, Hash([1; 32]), "k0", vec![1]),
            Err(ApplyError::HashMismatch(Version(8))),
        ),
    ];
    for (case, record, expected) in cases {
        let mut view = current.clone();
        assert_eq!(view.apply(record), expected, "{case}");
        assert_eq!(view != current, expected.is_ok(), "{case}: a rejected record changes nothing");
    }
    let large = record(8, current.hash(), "k0", vec![0; MAX_BODY_BYTES + 1]);
    assert!(matches!(current.validate_next(&large), Err(ApplyError::InvalidProposal(_))));
}

#[test]
fn a_view_is_bounded_by_keys_and_bytes() {
    let mut view = View::default();
    for n in 0..MAX_KEYS as u64 {
        view.apply(record(n + 1, view.hash(), &format!("k{n}"), Vec::new())).unwrap();
    }
    let version = MAX_KEYS as u64 + 1;
    assert_eq!(
        view.apply(record(version, view.hash(), "one-more", Vec::new())),
        Err(ApplyError::CapacityExceeded)
    );
    view.apply(record(version, view.hash(), "k5", vec![1])).unwrap();
    let mut view = View::default();
    for n in 0..16 {
        view.apply(record(n + 1, view.hash(), &format!("k{n}"), vec![0; MAX_BODY_BYTES])).unwrap();
    }
    assert_eq!(
        view.apply(record(17, view.hash(), "more", vec![0; SMALL_RECORD_BYTES + 1])),
        Err(ApplyError::CapacityExceeded)
    );
    // The reserve for small records is still free.
    view.apply(record(17, view.hash(), "hall/a", vec![0; SMALL_RECORD_BYTES])).unwrap();
    assert!(view.is_consistent());
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = b"CHF\x01\x01".to_vec();
        framed.extend(&bytes);
        prop_assert!(MacKeys::single(1, KEY).decode(&bytes).is_err());
        prop_assert!(MacKeys::single(1, KEY).decode(&framed).is_err());
    }

    #[test]
    fn a_snapshot_with_one_bit_flipped_is_rejected(versions in 0..20_u64, at in 0..400_usize, bit in 0..8_u8) {
        let valid = view(versions);
        prop_assert!(valid.is_consistent());
        let envelope = Envelope { from: PeerId { name: "k".to_owned(), incarnation: 1 }, message: Message::Snapshot(valid.clone()) };
        let keys = MacKeys::single(1, KEY);
        prop_assert_eq!(keys.decode(&keys.encode(&envelope, FORMAT)), Ok(envelope.clone()));
        let mut bytes = keys.encode(&envelope, FORMAT);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(keys.decode(&bytes).is_err());
    }
}
