//! Evidence: which digests a consensus server accepts, how it adds them up, and what a sidecar's recorder puts into them.

use curlewhub_control_plane::evidence::{
    CallCounts, CallOutcome, CallRecorder, Digest, DigestRejection, Evidence, FRESHNESS,
    MAX_CALLS_PER_DIGEST,
};
use curlewhub_control_plane::peer::PeerId;
use std::time::Duration;

fn digest(sequence: u64, calls: u32, timed_out: u32) -> Digest {
    let served = calls.saturating_sub(timed_out);
    let counts = CallCounts { served, timed_out, ..CallCounts::default() };
    Digest {
        sequence,
        sent_at_ms: 1000 + sequence * 500,
        zone: "a".to_owned(),
        interval_ms: 500,
        calls_by_zone: [("b".to_owned(), counts)].into(),
    }
}

fn peer(name: &str, incarnation: u64) -> PeerId {
    PeerId { name: name.to_owned(), incarnation }
}

#[test]
fn outdated_and_invalid_digests_are_rejected() {
    let (mut evidence, now) = (Evidence::default(), Duration::from_secs(9));
    let cases = [
        (1, 5, Ok(())),
        (1, 5, Err(DigestRejection::Outdated)),
        (1, 4, Err(DigestRejection::Outdated)),
        (2, 1, Ok(())),
        (1, 6, Err(DigestRejection::Outdated)),
        (2, 2, Ok(())),
    ];
    for (incarnation, sequence, expected) in cases {
        let result = evidence.record(now, &peer("s", incarnation), &digest(sequence, 4, 0));
        assert_eq!(result, expected, "{incarnation} {sequence}");
    }
    for calls in [
        CallCounts { served: 20_000_000, ..CallCounts::default() },
        CallCounts { served: 1, slow: 2, ..CallCounts::default() },
        CallCounts { served: 1, recovered: 2, ..CallCounts::default() },
    ] {
        let rows = [("b".to_owned(), calls)].into();
        let result =
            evidence.record(now, &peer("s", 3), &Digest { calls_by_zone: rows, ..digest(1, 1, 0) });
        assert_eq!(result, Err(DigestRejection::Invalid), "{calls:?}");
    }
    // A digest that is no longer fresh does not keep an older incarnation from reporting.
    assert_eq!(evidence.record(now + FRESHNESS * 2, &peer("s", 1), &digest(1, 4, 0)), Ok(()));
}

#[test]
fn digests_delayed_in_transit_are_detected_by_the_senders_clock() {
    let (mut evidence, ms) = (Evidence::default(), Duration::from_millis);
    // Time of arrival, sequence (sent every 500 ms of a clock that is seconds off), and the result.
    let cases = [
        (9000, 1, Ok(())),
        (9520, 2, Ok(())),
        (10_900, 4, Ok(())),
        // A partition ends and delivers four at once, of which the last is 1.2 s late.
        (14_100, 6, Err(DigestRejection::Delayed)),
        (14_100, 7, Err(DigestRejection::Delayed)),
        (14_100, 8, Err(DigestRejection::Delayed)),
        (14_100, 9, Ok(())),
        (14_050, 10, Ok(())),
    ];
    for (at, sequence, expected) in cases {
        let result = evidence.record(ms(at), &peer("s", 1), &digest(sequence, 4, 0));
        assert_eq!(result, expected, "{sequence} at {at}");
    }
    // Each incarnation has its own clock.
    assert_eq!(evidence.record(ms(20_000), &peer("s", 2), &digest(1, 4, 0)), Ok(()));
    assert_eq!(evidence.record(ms(24_000), &peer("s", 2), &digest(2, 4, 0)), Err(DigestRejection::Delayed));
    assert_eq!(evidence.sidecar_count(), 1);
}

#[test]
fn a_recorder_reports_each_call_once() {
    let zones = ["a", "b", "c"].map(str::to_owned).to_vec();
    let (mut recorder, ms) = (CallRecorder::new("a", zones), Duration::from_millis);
    assert_eq!(recorder.take_digest(ms(2000), None), None, "nothing was recorded");
    // Zone, outcome, duration in milliseconds.
    let calls = [
        (1, CallOutcome::Served, 10),
        (1, CallOutcome::Served, 90),
        (1, CallOutcome::TimedOut, 500),
        (2, CallOutcome::Unreachable, 1),
        (2, CallOutcome::Cancelled, 1),
        (2, CallOutcome::Cancelled, 400),
        (9, CallOutcome::Served, 1),
    ];
    for (n, (zone, outcome, took)) in calls.iter().enumerate() {
        recorder.call_started(ms(0), (n as u64, 0), *zone, 0);
        recorder.call_finished((n as u64, 0), *outcome, ms(*took));
    }
    let digest = recorder.take_digest(ms(2500), None).unwrap();
    let b = CallCounts {
        served: 2,
        last_served_ms_ago: 2410,
        timed_out: 1,
        lost_streak: 1,
        slow: 1,
        took_ms: 100,
        expected_ms: 60,
        ..CallCounts::default()
    };
    let c = digest.calls_by_zone["c"];
    assert_eq!((digest.calls_by_zone["b"], c.unreachable, c.timed_out, digest.sequence), (b, 1, 1, 1));
    assert_eq!(recorder.take_digest(ms(5000), None), None, "each is reported once");
    // Without losses a digest is due only after a while.
    recorder.call_started(ms(5000), (9, 0), 1, 0);
    recorder.call_finished((9, 0), CallOutcome::Served, ms(10));
    assert_eq!(recorder.take_digest(ms(3400), None), None);
    assert_eq!(recorder.take_digest(ms(3500), None).unwrap().interval_ms, 1000);
}

#[test]
fn an_overdue_call_is_reported_before_it_ends_and_as_recovered_if_it_is_served() {
    for (outcome, recovered, timed_out) in [(CallOutcome::Served, 1, 0), (CallOutcome::TimedOut, 0, 0)] {
        let (mut recorder, ms) = (CallRecorder::new("a", vec!["b".to_owned()]), Duration::from_millis);
        recorder.call_started(ms(0), (1, 0), 0, 0);
        assert_eq!(recorder.take_digest(ms(140), None), None, "not yet");
        let counts = |digest: Option<Digest>| digest.map(|digest| digest.calls_by_zone["b"]);
        let first = counts(recorder.take_digest(ms(300), None)).unwrap();
        assert_eq!((first.overdue, first.lost(), first.total()), (1, 1, 1));
        assert_eq!(recorder.take_digest(ms(600), None), None, "once");
        recorder.call_finished((1, 0), outcome, ms(700));
        let then = counts(recorder.take_digest(ms(800), None)).unwrap_or_default();
        assert_eq!((then.recovered, then.timed_out, then.lost()), (recovered, timed_out, 0), "{outcome:?}");
    }
}

#[test]
fn the_weight_of_one_sidecar_is_bounded() {
    let (mut evidence, now) = (Evidence::default(), Duration::from_secs(9));
    for n in 0..9 {
        evidence.record(now, &peer(&format!("s{n}"), 1), &digest(1, 10, 0)).unwrap();
    }
    evidence.record(now, &peer("liar", 1), &digest(1, 9_000_000, 9_000_000)).unwrap();
    let pairs = evidence.zone_pairs(now);
    let pair = pairs[&("a", "b")];
    assert_eq!((pair.witnesses, pair.losing), (10, 1));
    assert!(pair.calls.timed_out <= MAX_CALLS_PER_DIGEST && pair.calls.served == 90, "{pair:?}");
    assert!(evidence.zone_pairs(now + FRESHNESS * 2).is_empty(), "digests that are not fresh don't count");
}
