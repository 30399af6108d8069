//! Reports one by one: which are taken, how many, and what they say of the sidecars; and calls by zone.

use curlewhub_control_plane::configuration::{Canary, ConfigNumber, ConfigReport, Refusal};
use curlewhub_control_plane::evidence::{CallOutcome, CallRecorder, Evidence, MAX_SIDECARS};
use curlewhub_control_plane::protocol::PeerId;
use curlewhub_rollout::coordinator::{CallOutcomes, Outcomes};
use curlewhub_rollout::reports::{FRESH, NotTaken, Reports, Standing};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn who(name: &str, incarnation: u64) -> PeerId {
    PeerId { name: name.to_owned(), incarnation }
}

fn report(in_force: u64, refused: Option<u64>) -> ConfigReport {
    let refusal = |number| Refusal { number: ConfigNumber(number), why: "unknown".to_owned() };
    ConfigReport { in_force: ConfigNumber(in_force), refused: refused.map(refusal) }
}

#[test]
fn a_report_that_was_overtaken_is_not_taken_and_one_of_a_process_that_forgot_is() {
    let mut reports = Reports::default();
    // Start, in force, refused; whether it is taken, and how the sidecar stands towards 7 then.
    let behind = |number| Standing::Behind(ConfigNumber(number));
    let refused = Standing::Refused("unknown".to_owned());
    let cases = [
        (1, 5, None, true, behind(5)),
        (1, 5, Some(7), true, refused.clone()),
        (1, 6, None, false, refused.clone()),
        (1, 5, Some(7), true, refused),
        (1, 8, None, true, behind(8)),
        (1, 7, None, false, behind(8)),
        (2, 7, None, true, Standing::InForce),
        (1, 9, None, false, Standing::InForce),
    ];
    for (n, (incarnation, in_force, refused, taken, stands)) in cases.into_iter().enumerate() {
        let heard = reports.heard(NOW, &who("s", incarnation), report(in_force, refused));
        assert_eq!(heard.is_ok(), taken, "{n}");
        assert_eq!(reports.standing(NOW, "s", ConfigNumber(7)), stands, "{n}");
    }
    let later = NOW + FRESH + Duration::from_millis(1);
    assert_eq!(reports.standing(later, "s", ConfigNumber(7)), Standing::Silent);
    assert_eq!(reports.heard(later, &who("s", 1), report(7, None)), Ok(()), "its clock went back");
    let why = Refusal { number: ConfigNumber(8), why: "z".repeat(201) };
    let long = ConfigReport { refused: Some(why), ..report(1, None) };
    assert_eq!(reports.heard(NOW, &who("t", 1), long), Err(NotTaken::TooLong));
}

#[test]
fn reports_are_bounded_and_make_room_by_those_that_say_nothing_any_more() {
    let mut reports = Reports::default();
    for n in 0..MAX_SIDECARS {
        reports.heard(NOW, &who(&n.to_string(), 1), report(1, None)).unwrap();
    }
    assert_eq!(reports.heard(NOW, &who("more", 1), report(1, None)), Err(NotTaken::NoRoom));
    assert_eq!(reports.heard(NOW, &who("0", 1), report(2, None)), Ok(()), "one that is known");
    assert_eq!(reports.heard(NOW + FRESH * 2, &who("more", 1), report(1, None)), Ok(()));
}

#[test]
fn calls_count_by_the_zone_that_they_came_from() {
    let mut evidence = Evidence::default();
    for (zone, ended) in
        [("a", CallOutcome::Served), ("b", CallOutcome::Failed), ("c", CallOutcome::Unreachable)]
    {
        let mut witness = CallRecorder::new(zone, vec!["a".to_owned()]);
        for call in 0..10 {
            witness.call_started(NOW, (call, 0), 0, 0);
            witness.call_finished((call, 0), ended, Duration::from_millis(5));
        }
        let digest = witness.take_digest(NOW + Duration::from_secs(1), None).unwrap();
        evidence.record(NOW, &who(zone, 1), &digest).unwrap();
    }
    let canary = Canary { zones: vec!["b".to_owned()], per_mille: 0 };
    let outcomes = Outcomes::of(&evidence, &canary, NOW);
    assert_eq!(outcomes.canary, CallOutcomes { known: 10, failed: 10 });
    assert_eq!(outcomes.rest, CallOutcomes { known: 20, failed: 10 });
}
