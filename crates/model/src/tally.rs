//! What a run brought.

use crate::clients::Call;
use crate::retry::End;
use curlewhub_zone_failover::state_machine::Transition;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Latencies are told apart to three figures, up to an hour, in microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are sound")
}

/// Counts over a run or a second of it. Requests count in the second in which they were born.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Totals {
    /// Requests.
    pub offered: u64,
    /// Served within their objective.
    pub in_time: u64,
    /// Served after it.
    pub late: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Never answered.
    pub unanswered: u64,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts at endpoints.
    pub attempts: u64,
    /// Of these, to another zone than the sidecar's.
    pub crossings: u64,
    /// Attempts that endpoints turned away unseen.
    pub turned_away: u64,
    /// Jobs that endpoints began.
    pub runs: u64,
    /// Jobs that ran twice within their window: never, by the rules.
    pub ran_twice: u64,
    /// Answers to what had been answered: never.
    pub answered_twice: u64,
    /// Starts of endpoints after which a cold one got more than it bears; in the second of that fall.
    pub falls: u64,
    /// Of these, falls that break the rule: over two thirds came from sidecars that had been told of the start.
    pub told_falls: u64,
    /// Worth of all that was offered.
    pub worth_offered: f64,
    /// Worth of what was served.
    pub worth_served: f64,
}

/// One second.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Second {
    /// Its counts.
    pub totals: Totals,
    /// Latency of what was served, in milliseconds, median and 99th percentile; 0 where nothing was.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// Requests held at endpoints per core, at its end.
    pub held_per_core: f64,
    /// Endpoints in their slow state at its end.
    pub choked: u32,
}

/// One tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TenantOutcome {
    /// Its name.
    pub name: String,
    /// Its requests.
    pub offered: u64,
    /// Of these, above its allowance.
    pub over: u64,
    /// Served within it, in time or late.
    pub served: u64,
    /// Served above it.
    pub served_over: u64,
}

impl TenantOutcome {
    /// Part of what it asked within its allowance that was served, 0 to 1.
    pub fn within(&self) -> f64 {
        share(self.served as f64, (self.offered - self.over) as f64)
    }

    /// Part of what it asked above it that was served, 0 to 1.
    pub fn above(&self) -> f64 {
        share(self.served_over as f64, self.over as f64)
    }
}

/// What a run brought.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Over the whole run.
    pub totals: Totals,
    /// Median latency of what was served, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// By second.
    pub seconds: Vec<Second>,
    /// By tenant, where there are some.
    pub tenants: Vec<TenantOutcome>,
    /// Events played.
    pub events: u64,
    /// Moves of zones by consensus servers, where there are any.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub moves: Vec<Move>,
    /// Attempts by zone in each tenth of a second, where there is a fleet.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sent: Vec<Vec<u32>>,
}

/// A move of a zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Move {
    /// When, in seconds.
    pub at_s: f64,
    /// Which zone, by its number.
    pub zone: String,
    /// How it stood, and is to stand.
    pub from: String,
    /// The same.
    pub to: String,
    /// Why.
    pub why: String,
}

impl Outcome {
    /// Part of the offered worth that was served, 0 to 1.
    pub fn worth(&self) -> f64 {
        share(self.totals.worth_served, self.totals.worth_offered)
    }

    /// Part of the jobs begun that were nobody's answer, 0 to 1.
    pub fn waste(&self) -> f64 {
        let served = self.totals.in_time + self.totals.late;
        1.0 - share(served as f64, self.totals.runs as f64).min(1.0)
    }

    /// The same over the seconds from and up to.
    pub fn worth_between(&self, from: usize, to: usize) -> f64 {
        let seconds = self.seconds.iter().take(to).skip(from);
        let (served, offered) = seconds.fold((0.0, 0.0), |(served, offered), second| {
            (served + second.totals.worth_served, offered + second.totals.worth_offered)
        });
        share(served, offered)
    }

    /// All of it as text: equal for equal runs.
    pub fn digest(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // numbers alone: never fails
    }
}

fn share(part: f64, of: f64) -> f64 {
    if of > 0.0 { part / of } else { 1.0 }
}

struct Bucket {
    totals: Totals,
    latency: Histogram<u64>,
    held_per_core: f64,
    choked: u32,
}

/// Counts while a run goes on.
pub(crate) struct Tally {
    seconds: Vec<Bucket>,
    latency: Histogram<u64>,
    tenants: Vec<TenantOutcome>,
    over_share_worth: f64,
    /// By tenth of a second and zone; none without a fleet.
    sent: Vec<Vec<u32>>,
}

impl Tally {
    pub(crate) fn new(scenario: &crate::Scenario) -> Self {
        let seconds = scenario.lasts.0.as_secs_f64().ceil() as usize;
        let tenant = |spec: &crate::TenantSpec| TenantOutcome {
            name: spec.name.clone(),
            ..TenantOutcome::default()
        };
        let bucket =
            || Bucket { totals: Totals::default(), latency: histogram(), held_per_core: 0.0, choked: 0 };
        Tally {
            seconds: (0..seconds.max(1)).map(|_| bucket()).collect(),
            latency: histogram(),
            tenants: scenario.tenants.iter().map(tenant).collect(),
            over_share_worth: scenario.over_share_worth,
            sent: match scenario.fleet {
                Some(_) => vec![vec![0; scenario.zones.len()]; seconds.max(1) * 10],
                None => Vec::new(),
            },
        }
    }

    /// An attempt is sent into a zone.
    pub(crate) fn sent(&mut self, at: Duration, zone: usize) {
        if let Some(sent) = self.sent.get_mut((at.as_millis() / 100) as usize) {
            sent[zone] += 1;
        }
    }

    /// The counts of the second in which a request was born.
    pub(crate) fn at(&mut self, born: Duration) -> &mut Totals {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(born.as_secs() as usize).min(last)].totals
    }

    /// A request has ended for good.
    pub(crate) fn ended(&mut self, call: &Call, took: Duration, end: End, class: &crate::ClassSpec) {
        let born = call.born;
        if let Some(tenant) = self.tenants.get_mut(call.tenant) {
            tenant.offered += 1;
            tenant.over += u64::from(call.over);
            tenant.served += u64::from(end == End::Served && !call.over);
            tenant.served_over += u64::from(end == End::Served && call.over);
        }
        let worth = class.worth * if call.over { self.over_share_worth } else { 1.0 };
        let last = self.seconds.len() - 1;
        let bucket = &mut self.seconds[(born.as_secs() as usize).min(last)];
        let totals = &mut bucket.totals;
        totals.worth_offered += worth;
        match end {
            End::Served if took <= class.objective.0 => {
                totals.in_time += 1;
                totals.worth_served += worth;
            }
            End::Served => {
                totals.late += 1;
                totals.worth_served += worth * class.late_value;
            }
            End::Refused => totals.refused += 1,
            End::Failed => totals.failed += 1,
            End::Unanswered => totals.unanswered += 1,
        }
        if end == End::Served {
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            bucket.latency.saturating_record(micros);
            self.latency.saturating_record(micros);
        }
    }

    /// How full endpoints are at the end of a second.
    pub(crate) fn gauge(&mut self, second: usize, held_per_core: f64, choked: u32) {
        if let Some(bucket) = self.seconds.get_mut(second) {
            (bucket.held_per_core, bucket.choked) = (held_per_core, choked);
        }
    }

    pub(crate) fn outcome(self, events: u64, moves: Vec<(Duration, Transition)>) -> Outcome {
        let ms = |latency: &Histogram<u64>, quantile| match latency.len() {
            0 => 0.0,
            _ => latency.value_at_quantile(quantile) as f64 / 1000.0,
        };
        let second = |bucket: &Bucket| Second {
            totals: bucket.totals.clone(),
            p50_ms: ms(&bucket.latency, 0.5),
            p99_ms: ms(&bucket.latency, 0.99),
            held_per_core: bucket.held_per_core,
            choked: bucket.choked,
        };
        let seconds: Vec<Second> = self.seconds.iter().map(second).collect();
        let totals = seconds.iter().fold(Totals::default(), |sum, second| sum.plus(&second.totals));
        let (p50_ms, p99_ms) = (ms(&self.latency, 0.5), ms(&self.latency, 0.99));
        let moved = |(at, moved): (Duration, Transition)| Move {
            at_s: at.as_secs_f64(),
            zone: moved.zone,
            from: format!("{:?}", moved.from),
            to: format!("{:?}", moved.to),
            why: moved.why,
        };
        let moves = moves.into_iter().map(moved).collect();
        Outcome { totals, p50_ms, p99_ms, seconds, tenants: self.tenants, events, moves, sent: self.sent }
    }
}

impl Totals {
    fn plus(&self, more: &Totals) -> Totals {
        Totals {
            offered: self.offered + more.offered,
            in_time: self.in_time + more.in_time,
            late: self.late + more.late,
            refused: self.refused + more.refused,
            failed: self.failed + more.failed,
            unanswered: self.unanswered + more.unanswered,
            tries: self.tries + more.tries,
            attempts: self.attempts + more.attempts,
            crossings: self.crossings + more.crossings,
            turned_away: self.turned_away + more.turned_away,
            runs: self.runs + more.runs,
            ran_twice: self.ran_twice + more.ran_twice,
            answered_twice: self.answered_twice + more.answered_twice,
            falls: self.falls + more.falls,
            told_falls: self.told_falls + more.told_falls,
            worth_offered: self.worth_offered + more.worth_offered,
            worth_served: self.worth_served + more.worth_served,
        }
    }
}
