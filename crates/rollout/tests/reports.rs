//! Which reports are stored, how many, and what follows from them; and the outcomes of calls by zone.

use curlewhub_control_plane::configuration::{Canary, ConfigNumber, ConfigReport, Refusal};
use curlewhub_control_plane::evidence::{CallOutcome, CallRecorder, Evidence, MAX_SIDECARS};
use curlewhub_control_plane::protocol::PeerId;
use curlewhub_rollout::coordinator::{CallOutcomes, Outcomes};
use curlewhub_rollout::reports::{MAX_REPORT_AGE, ReportRejection, Reports, Standing};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn peer(name: &str, incarnation: u64) -> PeerId {
    PeerId { name: name.to_owned(), incarnation }
}

fn report(in_force: u64, refused: Option<u64>) -> ConfigReport {
    let refusal = |number| Refusal { number: ConfigNumber(number), why: "unknown".to_owned() };
    ConfigReport { in_force: ConfigNumber(in_force), refused: refused.map(refusal) }
}

#[test]
fn overtaken_reports_are_dropped_unless_the_sidecar_was_silent() {
    let mut reports = Reports::default();
    // Incarnation, in force, refused; whether the report is stored, and the sidecar's standing towards 7 then.
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
    for (n, (incarnation, in_force, refused, is_stored, standing)) in cases.into_iter().enumerate() {
        let recorded = reports.record(NOW, &peer("s", incarnation), report(in_force, refused));
        assert_eq!(recorded.is_ok(), is_stored, "{n}");
        assert_eq!(reports.standing(NOW, "s", ConfigNumber(7)), standing, "{n}");
    }
    let later = NOW + MAX_REPORT_AGE + Duration::from_millis(1);
    assert_eq!(reports.standing(later, "s", ConfigNumber(7)), Standing::Silent);
    assert_eq!(reports.record(later, &peer("s", 1), report(7, None)), Ok(()), "its clock went back");
    let why = Refusal { number: ConfigNumber(8), why: "z".repeat(201) };
    let long = ConfigReport { refused: Some(why), ..report(1, None) };
    assert_eq!(reports.record(NOW, &peer("t", 1), long), Err(ReportRejection::TooLong));
}

#[test]
fn stored_reports_are_bounded_and_stale_ones_are_evicted() {
    let mut reports = Reports::default();
    for n in 0..MAX_SIDECARS {
        reports.record(NOW, &peer(&n.to_string(), 1), report(1, None)).unwrap();
    }
    assert_eq!(
        reports.record(NOW, &peer("more", 1), report(1, None)),
        Err(ReportRejection::TooManySidecars)
    );
    assert_eq!(reports.record(NOW, &peer("0", 1), report(2, None)), Ok(()), "one that is known");
    assert_eq!(reports.record(NOW + MAX_REPORT_AGE * 2, &peer("more", 1), report(1, None)), Ok(()));
}

#[test]
fn calls_are_counted_by_their_zone_of_origin() {
    let mut evidence = Evidence::default();
    for (zone, outcome) in
        [("a", CallOutcome::Served), ("b", CallOutcome::Failed), ("c", CallOutcome::Unreachable)]
    {
        let mut recorder = CallRecorder::new(zone, vec!["a".to_owned()]);
        for call in 0..10 {
            recorder.call_started(NOW, (call, 0), 0, 0);
            recorder.call_finished((call, 0), outcome, Duration::from_millis(5));
        }
        let digest = recorder.take_digest(NOW + Duration::from_secs(1), None).unwrap();
        evidence.record(NOW, &peer(zone, 1), &digest).unwrap();
    }
    let canary = Canary { zones: vec!["b".to_owned()], per_mille: 0 };
    let outcomes = Outcomes::of(&evidence, &canary, NOW);
    assert_eq!(outcomes.canary, CallOutcomes { total: 10, failed: 10 });
    assert_eq!(outcomes.others, CallOutcomes { total: 20, failed: 10 });
}
