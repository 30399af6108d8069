//! Schedules: what makes no sense is named, and what is struck follows from the seed and the count alone.

use curlewhub_fault_schedule::{Call, Effect, Entry, Errno, Schedule, Strikes, Target};
use strum::IntoEnumIterator;

#[test]
fn what_makes_no_sense_is_named_by_entry_and_field() {
    let fails = |call| Entry::fails(&[call], Errno::Eintr);
    let cases = [
        (Entry::fails(&[Call::Accept], Errno::Enospc), "effect: allowed: an error of `accept`, and ENOSPC"),
        (Entry::fails(&[], Errno::Eio), "calls: allowed: at least one"),
        (
            Entry::new(&[Call::Recv], Effect::ClockStep { offset_ms: 1 }),
            "calls: allowed: at least one, and none",
        ),
        (
            Entry::new(&[Call::Connect], Effect::Short { bytes: 1 }),
            "effect: allowed: a call that carries bytes",
        ),
        (Entry::new(&[Call::Recv], Effect::Short { bytes: 0 }), "effect: allowed: 1 byte"),
        (Entry::new(&[Call::Send], Effect::Torn { bytes: 0 }), "effect: allowed: a torn write of files"),
        (fails(Call::Write).on(Target::Accepted), "target"),
        (fails(Call::Recv).on(Target::Below("/tmp".into())), "target"),
        (fails(Call::Write).on(Target::Below("tmp".into())), "target"),
        (fails(Call::Recv).striking(Strikes::EveryNth(0)), "strikes"),
        (fails(Call::Recv).striking(Strikes::Share(1.1)), "strikes"),
        (fails(Call::Recv).between(5, Some(5)), "to_ms"),
    ];
    for (entry, wanted) in cases {
        let schedule = Schedule { entries: vec![entry], ..Schedule::default() };
        let problems: Vec<String> = schedule.problems().iter().map(ToString::to_string).collect();
        assert!(
            problems.iter().any(|p| p.contains(&format!("entries[0].{wanted}"))),
            "{wanted}: {problems:?}"
        );
    }
}

#[test]
fn every_call_has_errors_and_all_of_them_make_sense() {
    for call in Call::iter() {
        assert!(!call.errors().is_empty());
        let entries = call.errors().iter().map(|errno| Entry::fails(&[call], *errno)).collect();
        assert_eq!(Schedule { entries, ..Schedule::default() }.problems(), []);
    }
}

#[test]
fn the_same_calls_are_struck_for_a_seed() {
    let entry = Entry::fails(&[Call::Recv], Errno::Eintr);
    let struck =
        |entry: &Entry, seed| (0..1000).filter(|n| entry.strikes_call(seed, 0, *n)).collect::<Vec<u64>>();
    let share = entry.clone().striking(Strikes::Share(0.1));
    assert_eq!(struck(&share, 7), struck(&share, 7));
    assert_ne!(struck(&share, 7), struck(&share, 8));
    assert!((60..140).contains(&struck(&share, 7).len()), "{}", struck(&share, 7).len());
    let third = Entry { skip: 2, ..entry.striking(Strikes::EveryNth(3)) };
    assert_eq!(struck(&third, 7)[..3], [4, 7, 10]);
}

#[test]
fn a_schedule_is_the_same_after_it_was_written() {
    let text = r#"{"seed":3,"entries":[{"calls":["recv","send"],"target":{"connected":["127.0.0.1:9"]},
        "strikes":{"every_nth":3},"effect":{"fails":"EINTR"}},{"from_ms":5,"effect":{"clock_step":{"offset_ms":-1}}}]}"#;
    let schedule: Schedule = serde_json::from_str(text).unwrap();
    assert_eq!(schedule.problems(), []);
    assert_eq!(schedule, serde_json::from_str(&serde_json::to_string(&schedule).unwrap()).unwrap());
    assert!(serde_json::from_str::<Schedule>(r#"{"entries":[{"effect":{"fails":"EAGAIN"}}]}"#).is_err());
}
