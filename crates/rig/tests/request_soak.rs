//! The checks of the soak of requests, on records with a planted defect each.

use curlewhub_rig::request_soak::{
    Arrival, AttemptRecord, ClientEnd, Incarnation, Record, RequestRecord, Violation, expected_body, judge,
};
use std::time::Duration;
use tokio::time::Instant;

const LENGTH: usize = 300;

/// Changes the record of a request that was sent then.
type Plant = fn(&mut Record, Instant);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request that was sent at `start`, attempted once, and served after 40 ms.
fn served(start: Instant) -> Record {
    let mut record = Record::default();
    record.requests.push(RequestRecord {
        id: "r1".to_owned(),
        class: "book",
        sidecar: 0,
        begun: start,
        sent: start,
        timeout_s: 0.5,
        ended: start + ms(40),
        end: ClientEnd::Answered { status: 200, body: expected_body("r1", 3, LENGTH) },
        is_first: false,
        is_repeat: false,
    });
    record.attempts.push(attempt(start + ms(1)));
    record
}

/// An attempt of which nothing had come right before it was read.
fn attempt(at: Instant) -> AttemptRecord {
    AttemptRecord {
        id: "r1".to_owned(),
        endpoint: 3,
        connection: 7,
        use_number: 0,
        head_at: at,
        arrival: Arrival::Whole { not_before: Some(at), read: at },
        answer: "served",
        has_run: true,
    }
}

fn violations(record: &Record) -> Vec<&'static str> {
    judge(record)
        .1
        .iter()
        .map(|violation| match violation {
            Violation::Unanswered(_) => "unanswered",
            Violation::Overdue(_) => "overdue",
            Violation::Foreign(_) => "foreign",
            Violation::CutOff(_) => "cut off",
            Violation::AfterEnd(_) => "after the end",
            Violation::Duplicate(_) => "duplicate",
            Violation::Crash(_) => "crash",
        })
        .collect()
}

/// Guards against checks that see a defect where there is none.
#[test]
fn a_request_that_is_served_as_it_should_breaks_no_rule() {
    assert!(violations(&served(Instant::now())).is_empty());
}

/// Guards against a check that misses what it is for.
#[test]
fn each_planted_defect_is_found() {
    let start = Instant::now();
    let cases: [(&str, Plant); 8] = [
        ("after the end", |record, start| {
            record.requests[0].class = "pay";
            record.attempts.push(attempt(start + ms(400)));
        }),
        ("foreign", |record, _| {
            let body = expected_body("r2", 3, LENGTH);
            record.requests[0].end = ClientEnd::Answered { status: 200, body };
        }),
        ("foreign", |record, _| {
            let body = expected_body("r1", 3, LENGTH)[..LENGTH / 2].to_vec();
            record.requests[0].end = ClientEnd::Answered { status: 200, body };
        }),
        ("unanswered", |record, _| record.requests[0].end = ClientEnd::Unanswered),
        ("unanswered", |record, _| {
            record.requests[0].end = ClientEnd::Unanswered;
            record.requests[0].is_first = true;
            record.attempts.clear();
        }),
        ("overdue", |record, _| record.requests[0].end = ClientEnd::Overdue),
        ("cut off", |record, _| record.requests[0].end = ClientEnd::Truncated),
        ("duplicate", |record, start| record.attempts.push(attempt(start + ms(20)))),
    ];
    for (number, (expected, plant)) in cases.into_iter().enumerate() {
        let mut record = served(start);
        plant(&mut record, start);
        assert_eq!(violations(&record), [expected], "case {number}");
    }
}

/// Guards against an answer that is lost with its process and excused although it was due before the kill.
#[test]
fn a_kill_excuses_a_request_only_if_it_came_too_early_to_be_answered() {
    let start = Instant::now();
    let verdict = |terminated_before: Option<u64>, killed_after: u64, ended_after: u64| {
        let mut record = served(start);
        record.requests[0].end = ClientEnd::Unanswered;
        record.requests[0].ended = start + ms(ended_after);
        let terminated = terminated_before.map(|before| start - ms(before));
        let killed = Some(start + ms(killed_after));
        record.incarnations.push(Incarnation { sidecar: 0, terminated, killed });
        violations(&record)
    };
    assert!(verdict(None, 30, 31).is_empty(), "killed outright");
    assert!(verdict(Some(200), 30, 31).is_empty(), "it came 0.2 s after SIGTERM");
    assert_eq!(verdict(Some(1500), 30, 31), ["unanswered"], "it came 1.5 s after SIGTERM");
    assert_eq!(verdict(None, 400, 31), ["unanswered"], "the process closed it long before it was killed");
}
