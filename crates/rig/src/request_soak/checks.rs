//! Checks of a run, from what clients and endpoints have seen.

use super::client::LATE_GRACE;
use super::record::{Arrival, AttemptRecord, ClientEnd, Incarnation, Record, RequestRecord, expected_body};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// An attempt whose last byte comes later than this after its request's end has begun after it.
const END_GRACE: Duration = Duration::from_millis(100);
/// Time limits of the rules grow by this.
const LIMIT_SLACK: Duration = Duration::from_millis(50);
/// A request that comes later than this after SIGTERM has its answer before SIGKILL.
const LATE_REQUEST: Duration = Duration::from_millis(700);

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// An accepted request whose connection was closed without an answer.
    Unanswered(String),
    /// No answer in the client's time and half a second.
    Overdue(String),
    /// An answer that no endpoint made for the request.
    Foreign(String),
    /// An answer that its endpoint gave whole was cut off.
    CutOff(String),
    /// An attempt began after its request had ended.
    AfterEnd(String),
    /// A request that must not be repeated ran twice.
    Duplicate(String),
    /// A process ended or failed to start.
    Crash(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (what, detail) = match self {
            Violation::Unanswered(detail) => ("read and closed unanswered", detail),
            Violation::Overdue(detail) => ("no answer in time", detail),
            Violation::Foreign(detail) => ("wrong answer", detail),
            Violation::CutOff(detail) => ("answer cut off", detail),
            Violation::AfterEnd(detail) => ("attempt after the end", detail),
            Violation::Duplicate(detail) => ("ran twice", detail),
            Violation::Crash(detail) => ("crash", detail),
        };
        write!(to, "{what}: {detail}")
    }
}

/// How the requests of a run went.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// All of them.
    pub requests: usize,
    /// Those that their clients waited for.
    pub awaited: usize,
    /// Those of them that got an answer with status 200.
    pub served: usize,
    /// With 429 or 503.
    pub refused: usize,
    /// With another status, or an answer that broke off.
    pub failed: usize,
    /// Whose clients left.
    pub left: usize,
    /// Whose connection closed as they came, unread.
    pub crossed: usize,
    /// Attempts that came whole to an endpoint.
    pub attempts: usize,
    /// Attempts of a request beyond its first.
    pub further_attempts: usize,
    /// Second answers written by endpoints.
    pub second_answers: u64,
}

/// Judges a run.
pub fn judge(record: &Record) -> (Tally, Vec<Violation>) {
    let by_id = record.attempts_by_id();
    let none = Vec::new();
    let mut tally = Tally {
        requests: record.requests.len(),
        attempts: record.attempts.iter().filter(|attempt| attempt.arrival != Arrival::Broken).count(),
        further_attempts: by_id.values().map(|attempts| attempts.len() - 1).sum(),
        second_answers: record.second_answers,
        ..Tally::default()
    };
    let mut violations: Vec<Violation> = record.crashes.iter().cloned().map(Violation::Crash).collect();
    for request in &record.requests {
        let attempts = by_id.get(request.id.as_str()).unwrap_or(&none);
        tally.count(request, attempts);
        violations.extend(judge_answer(record, request, attempts));
    }
    violations.extend(late_attempts(record, &by_id));
    violations.extend(duplicates(record, &by_id));
    (tally, violations)
}

impl Tally {
    fn count(&mut self, request: &RequestRecord, attempts: &[&AttemptRecord]) {
        self.awaited += usize::from(request.end != ClientEnd::Left);
        let count = match &request.end {
            ClientEnd::Answered { status: 200, .. } => &mut self.served,
            ClientEnd::Answered { status: 429 | 503, .. } => &mut self.refused,
            ClientEnd::Left => &mut self.left,
            ClientEnd::NotAccepted => &mut self.crossed,
            ClientEnd::Unanswered if attempts.is_empty() => &mut self.crossed,
            _ => &mut self.failed,
        };
        *count += 1;
    }
}

fn describe(record: &Record, request: &RequestRecord, attempts: &[&AttemptRecord]) -> String {
    let at = |time: Instant| {
        let behind = time.saturating_duration_since(request.sent).as_secs_f64();
        let before = request.sent.saturating_duration_since(time).as_secs_f64();
        format!("{:+.3}", behind - before)
    };
    let attempts: Vec<String> = attempts
        .iter()
        .map(|attempt| {
            let arrival = match attempt.arrival {
                Arrival::Whole { not_before, read } => {
                    let not_before = not_before.map(at).unwrap_or_default();
                    format!("whole {not_before}..{}", at(read))
                }
                Arrival::Broken => "broken".to_owned(),
            };
            format!(
                "endpoint {} connection {} use {} head {} {arrival} {}",
                attempt.endpoint,
                attempt.connection,
                attempt.use_number,
                at(attempt.head_at),
                attempt.answer
            )
        })
        .collect();
    let events: Vec<String> = record
        .events
        .iter()
        .filter(|event| event.sidecar == request.sidecar)
        .map(|event| format!("{} {}", event.what, at(event.at)))
        .collect();
    let end = match &request.end {
        ClientEnd::Answered { status, body } => {
            let text = String::from_utf8_lossy(&body[..body.len().min(60)]).replace('\n', " ");
            format!("{status} with {} bytes: {text:?}", body.len())
        }
        end => format!("{end:?}"),
    };
    format!(
        "{} {} at sidecar {}{}{}, timeout {:.3}, begun {}, ended {} as {end}; {}; sidecar: {}",
        request.class,
        request.id,
        request.sidecar,
        if request.is_first { ", first of its connection" } else { "" },
        if request.is_repeat { ", a repeat" } else { "" },
        request.timeout_s,
        at(request.begun),
        at(request.ended),
        attempts.join("; "),
        events.join(", ")
    )
}

/// Whether the process that had this request may leave it unanswered: it was killed too soon for it.
fn is_excused(record: &Record, request: &RequestRecord) -> bool {
    let is_excused_by = |life: &&Incarnation| {
        let Some(killed) = life.killed.filter(|killed| request.ended + LIMIT_SLACK >= *killed) else {
            return false;
        };
        let came_before_kill = request.begun <= killed;
        let in_time = life.terminated.is_none_or(|terminated| request.sent <= terminated + LATE_REQUEST);
        // A client notices a kill at once.
        came_before_kill && in_time && request.ended <= killed + END_GRACE
    };
    record
        .incarnations
        .iter()
        .filter(|life| life.sidecar == request.sidecar)
        .any(|life| is_excused_by(&life))
}

fn judge_answer(
    record: &Record,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<Violation> {
    let detail = || describe(record, request, attempts);
    match &request.end {
        ClientEnd::Answered { status: 200, body } => {
            let is_own = attempts.iter().any(|attempt| {
                attempt.has_run
                    && *body == expected_body(&request.id, attempt.endpoint, body.len())
                    && body.starts_with(stated(request, attempt, body.len()).as_bytes())
            });
            if !is_own {
                return Some(Violation::Foreign(detail()));
            }
            let latest = request.sent + Duration::from_secs_f64(request.timeout_s) + LATE_GRACE;
            (request.ended > latest + LIMIT_SLACK).then(|| Violation::Overdue(detail()))
        }
        ClientEnd::Answered { status: 0, .. } => Some(Violation::Foreign(detail())),
        ClientEnd::Answered { .. } | ClientEnd::Left | ClientEnd::NotAccepted => None,
        ClientEnd::Truncated => {
            let has_crashed = |attempt: &&&AttemptRecord| {
                let crashes =
                    record.endpoint_crashes.iter().filter(|(endpoint, _)| *endpoint == attempt.endpoint);
                crashes
                    .into_iter()
                    .any(|(_, at)| attempt.head_at <= *at && *at <= request.ended + LIMIT_SLACK)
            };
            let is_broken = attempts
                .iter()
                .any(|attempt| attempt.answer == "reset in the answer" || has_crashed(&attempt));
            (!is_broken && !is_excused(record, request)).then(|| Violation::CutOff(detail()))
        }
        ClientEnd::Unanswered => {
            // A close that crosses a request on a kept connection leaves it unread.
            let is_unread = attempts.is_empty() && (!request.is_first || record.is_crowded);
            (!is_unread && !is_excused(record, request)).then(|| Violation::Unanswered(detail()))
        }
        ClientEnd::Overdue => (!is_excused(record, request)).then(|| Violation::Overdue(detail())),
    }
}

fn stated(request: &RequestRecord, attempt: &AttemptRecord, length: usize) -> String {
    format!("answer to {} from {} of {length}\n", request.id, attempt.endpoint)
}

/// Attempts that began after the last request of their id had ended.
fn late_attempts(record: &Record, by_id: &HashMap<&str, Vec<&AttemptRecord>>) -> Vec<Violation> {
    let mut last_of: HashMap<&str, &RequestRecord> = HashMap::new();
    for request in &record.requests {
        let last = last_of.entry(&request.id).or_insert(request);
        if last.ended < request.ended {
            *last = request;
        }
    }
    let mut late = Vec::new();
    for (id, attempts) in by_id {
        let Some(request) = last_of.get(id) else { continue };
        let has_ended = !matches!(request.end, ClientEnd::Overdue | ClientEnd::NotAccepted);
        let limit = request.ended + END_GRACE + LIMIT_SLACK;
        let is_late = |attempt: &&&AttemptRecord| matches!(attempt.arrival, Arrival::Whole { not_before: Some(not_before), .. } if not_before > limit);
        if has_ended && attempts.iter().any(|attempt| is_late(&attempt)) {
            late.push(Violation::AfterEnd(describe(record, request, attempts)));
        }
    }
    late
}

/// Unsafe requests that ran more than once.
fn duplicates(record: &Record, by_id: &HashMap<&str, Vec<&AttemptRecord>>) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut is_seen = std::collections::HashSet::new();
    for request in record.requests.iter().filter(|request| request.class == "book") {
        let attempts = by_id.get(request.id.as_str()).cloned().unwrap_or_default();
        let runs = attempts.iter().filter(|attempt| attempt.has_run).count();
        if runs > 1 && is_seen.insert(&request.id) {
            found.push(Violation::Duplicate(describe(record, request, &attempts)));
        }
    }
    found
}
