//! What a history shows, as figures: how a lost place was left and come back to, and service by phase.

use crate::fault::Kind;
use crate::history::{Entry, Micros, What};
use crate::plan::{Loss, Plan, Role};
use crate::run::Cost;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A sidecar that calls into a lost place this shortly before the loss ends has not left it.
const LAST_CALLS: Micros = 1_000_000;
/// A sidecar that calls again after this long without a call into a lost place has come back into it.
const FLIP: Micros = 1_000_000;

/// One sidecar's course through a loss, in seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Course {
    /// Its name.
    pub sidecar: String,
    /// From the loss until its last new call into what is lost; none where it still calls at the end.
    pub left_s: Option<f64>,
    /// From the end of the loss until its first new call.
    pub back_s: Option<f64>,
    /// Its new calls into what is lost.
    pub calls: u64,
    /// How often it came back before the loss was over.
    pub flips: u64,
}

/// How a place was left and come back to.
#[derive(Clone, Debug, Serialize)]
pub struct LossFigures {
    /// The fault's number in the file.
    pub fault: usize,
    /// What it is.
    pub what: Kind,
    /// When it began.
    pub begin_s: f64,
    /// When it ended.
    pub end_s: f64,
    /// Sidecars that can call into it.
    pub sidecars: usize,
    /// Of these, that never left it.
    pub never_left: usize,
    /// The first to leave, and the last of those that did.
    pub first_left_s: Option<f64>,
    /// The last of those that left.
    pub last_left_s: Option<f64>,
    /// Time between the two.
    pub spread_s: Option<f64>,
    /// The first to come back after it.
    pub first_back_s: Option<f64>,
    /// The last to.
    pub last_back_s: Option<f64>,
    /// The most flips of one sidecar.
    pub flips_most: u64,
    /// New calls into it, all together.
    pub calls: u64,
    /// Each sidecar's course.
    pub courses: Vec<Course>,
}

/// Service in a phase: between two changes of what holds.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseFigures {
    /// From then on, in seconds ...
    pub from_s: f64,
    /// ... until then.
    pub to_s: f64,
    /// The faults that hold, by number.
    pub faults: Vec<usize>,
    /// What is left of the endpoints' capacity, over what the requests need; none where a border is cut.
    pub room: Option<f64>,
    /// Service of what was due in it.
    pub service: Service,
}

/// What became of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Requests.
    pub asked: u64,
    /// Part of them served within the objective.
    pub in_time: f64,
    /// Part of their worth that was served within it.
    pub worth: f64,
    /// Part served at all.
    pub served: f64,
    /// Part refused.
    pub refused: f64,
    /// Part failed, or without an answer.
    pub failed: f64,
    /// Latency of the served ones.
    pub p50_ms: f64,
    /// Latency of the served ones.
    pub p99_ms: f64,
    /// Tries for each request.
    pub tries: f64,
}

/// All figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Of each loss.
    pub losses: Vec<LossFigures>,
    /// Of each phase.
    pub phases: Vec<PhaseFigures>,
    /// Over all.
    pub all: Service,
    /// Requests that came to an endpoint that drained, before its sidecar could know.
    pub unknowing: u64,
    /// The most by which a request came to an endpoint, by the endpoint's stamp, before its client had begun to ask, by the
    /// client's: what two processes' stamps are out by, in milliseconds. 0 where none did.
    pub stamps_ms: f64,
    /// The least memory and the most of a sidecar, in KiB.
    pub kib: (u64, u64),
    /// How the fleet's versions spread, where there are any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread: Option<crate::versions::Spread>,
    /// Moves of halls, where there are any.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub moves: Vec<crate::versions::Move>,
    /// What it cost.
    pub cost: Cost,
}

fn s(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

pub(crate) fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// Works the figures out.
pub fn figures(plan: &Plan, entries: &[Entry], cost: Cost) -> Figures {
    let losses = plan.losses().iter().map(|loss| loss_figures(plan, loss, entries)).collect();
    let phases = phases(plan).into_iter().map(|(from, to)| phase(plan, entries, from, to)).collect();
    let lasts = micros(plan.spec.lasts.0);
    let mut kib = (u64::MAX, 0);
    let sidecars: BTreeSet<&str> = plan.of(Role::Sidecar).map(|(_, member)| &member.name[..]).collect();
    for entry in entries.iter().filter(|entry| sidecars.contains(&*entry.process)) {
        if let What::Usage { kib: held, .. } = entry.what {
            kib = (kib.0.min(held), kib.1.max(held));
        }
    }
    let kib = (kib.0.min(kib.1), kib.1);
    Figures {
        losses,
        phases,
        all: service(plan, entries, 0, lasts),
        unknowing: 0,
        stamps_ms: stamps(entries),
        kib,
        spread: crate::versions::spread(entries),
        moves: crate::versions::moves(entries),
        cost,
    }
}

/// How far an effect is stamped before its cause, at the most.
fn stamps(entries: &[Entry]) -> f64 {
    let asked: HashMap<&str, Micros> = entries
        .iter()
        .filter_map(|entry| match &entry.what {
            What::Try(one) => Some((&*one.id, entry.at - one.took_us)),
            _ => None,
        })
        .collect();
    let early = entries.iter().filter_map(|entry| match &entry.what {
        What::Came { id, .. } => Some(asked.get(&**id)? - entry.at),
        _ => None,
    });
    early.max().unwrap_or_default().max(0) as f64 / 1e3
}

fn loss_figures(plan: &Plan, loss: &Loss, entries: &[Entry]) -> LossFigures {
    let (begin, end) = (micros(loss.begin), micros(loss.end));
    let lost: BTreeSet<&str> = loss.endpoints.iter().map(|e| &plan.members[*e].name[..]).collect();
    let fault = &plan.spec.faults[loss.fault];
    // Over a border, only who is outside loses what is inside.
    let outside = |(_, m): &(usize, &crate::plan::Member)| !loss.border || !m.side.is_one_of(&fault.on);
    let mut calls: BTreeMap<&str, Vec<Micros>> =
        plan.of(Role::Sidecar).filter(outside).map(|(_, m)| (&m.name[..], Vec::new())).collect();
    for entry in entries {
        if let What::Attempt { endpoint, sent, .. } = &entry.what
            && lost.contains(&**endpoint)
            && let Some(calls) = calls.get_mut(&*entry.process)
        {
            calls.push(*sent);
        }
    }
    let courses: Vec<Course> = calls
        .into_iter()
        .map(|(sidecar, mut calls)| {
            calls.sort_unstable();
            course(sidecar, &calls, begin, end)
        })
        .collect();
    let bound = |of: fn(&Course) -> Option<f64>, most: bool| {
        let all = courses.iter().filter_map(of);
        if most { all.max_by(f64::total_cmp) } else { all.min_by(f64::total_cmp) }
    };
    let (first_left_s, last_left_s) = (bound(|c| c.left_s, false), bound(|c| c.left_s, true));
    LossFigures {
        fault: loss.fault,
        what: fault.what,
        begin_s: s(begin),
        end_s: s(end),
        sidecars: courses.len(),
        never_left: courses.iter().filter(|course| course.left_s.is_none()).count(),
        first_left_s,
        last_left_s,
        spread_s: first_left_s.zip(last_left_s).map(|(first, last)| last - first),
        first_back_s: bound(|c| c.back_s, false),
        last_back_s: bound(|c| c.back_s, true),
        flips_most: courses.iter().map(|course| course.flips).max().unwrap_or_default(),
        calls: courses.iter().map(|course| course.calls).sum(),
        courses,
    }
}

/// A sidecar's course by its calls into what is lost, in order.
fn course(sidecar: &str, calls: &[Micros], begin: Micros, end: Micros) -> Course {
    let within: Vec<Micros> = calls.iter().copied().filter(|at| (begin..end).contains(at)).collect();
    let still = within.last().is_some_and(|last| *last >= end - LAST_CALLS.min((end - begin) / 2));
    let flips = within.windows(2).filter(|pair| pair[1] - pair[0] >= FLIP).count() as u64;
    Course {
        sidecar: sidecar.to_owned(),
        left_s: (!still).then(|| within.last().map_or(0.0, |last| s(last - begin))),
        back_s: calls.iter().find(|at| **at >= end).map(|at| s(at - end)),
        calls: within.len() as u64,
        flips,
    }
}

/// The times between two changes of what holds.
fn phases(plan: &Plan) -> Vec<(Micros, Micros)> {
    let lasts = plan.spec.lasts.0;
    let times = plan.spec.faults.iter().flat_map(|fault| fault.times(lasts));
    let mut edges: Vec<Micros> = times.flat_map(|(begin, end)| [micros(begin), micros(end)]).collect();
    edges.extend([0, micros(lasts)]);
    edges.sort_unstable();
    edges.dedup();
    edges.windows(2).map(|pair| (pair[0], pair[1])).collect()
}

fn phase(plan: &Plan, entries: &[Entry], from: Micros, to: Micros) -> PhaseFigures {
    let holds = |fault: &crate::fault::FaultSpec| {
        let times = fault.times(plan.spec.lasts.0);
        times.into_iter().any(|(begin, end)| micros(begin) <= from && to <= micros(end))
    };
    let faults: Vec<usize> =
        plan.spec.faults.iter().enumerate().filter(|(_, f)| holds(f)).map(|(n, _)| n).collect();
    let cut = faults.iter().any(|n| matches!(plan.spec.faults[*n].what, Kind::CutOff | Kind::Cut));
    let room = (!cut).then(|| room(plan, &faults));
    PhaseFigures { from_s: s(from), to_s: s(to), faults, room, service: service(plan, entries, from, to) }
}

/// Capacity that is left while these faults hold, over what the requests need.
fn room(plan: &Plan, faults: &[usize]) -> f64 {
    let left = |n: usize| {
        let struck = faults.iter().filter(|fault| plan.struck[**fault].contains(&n));
        struck.fold(1.0, |left, fault| {
            let fault = &plan.spec.faults[*fault];
            match fault.what {
                Kind::Slow => left / fault.factor.unwrap_or(1.0),
                Kind::Die | Kind::Silent | Kind::Flap | Kind::Hang | Kind::Drain | Kind::Remove => 0.0,
                _ => left,
            }
        })
    };
    let capacity = |n: usize| {
        let machine = &plan.spec.endpoints[plan.members[n].group].machine;
        f64::from(machine.cores) * machine.speed
    };
    let all: f64 = plan.of(Role::Endpoint).map(|(n, _)| capacity(n) * left(n)).sum();
    let shares: f64 = plan.spec.classes.iter().map(|class| class.share).sum();
    let work: f64 = plan.spec.classes.iter().map(|class| class.share * class.work.0.as_secs_f64()).sum();
    all / (plan.spec.load.rate * work / shares).max(1e-9)
}

/// What became of the requests that were due in a time.
pub fn service(plan: &Plan, entries: &[Entry], from: Micros, to: Micros) -> Service {
    let mut service = Service::default();
    let worths: BTreeMap<&str, f64> = plan.spec.classes.iter().map(|c| (&c.name[..], c.worth)).collect();
    // Bounds in order; a latency beyond them counts as the most.
    let Ok(mut latency) = Histogram::<u64>::new_with_bounds(1, 120_000_000, 3) else { return service };
    let (mut counts, mut worth, mut tries) = ([0_u64; 4], (0.0, 0.0), 0_u64);
    for entry in entries {
        let What::Request(request) = &entry.what else { continue };
        if !(from..to).contains(&(entry.at - request.took_us)) {
            continue;
        }
        service.asked += 1;
        tries += u64::from(request.tries);
        let of = worths.get(&*request.class).copied().unwrap_or(1.0);
        worth.1 += of;
        if request.in_time {
            counts[0] += 1;
            worth.0 += of;
        }
        match &*request.end {
            "served" => {
                counts[1] += 1;
                latency.saturating_record(request.took_us.max(1) as u64);
            }
            "refused" => counts[2] += 1,
            _ => counts[3] += 1,
        }
    }
    let part = |n: u64| if service.asked == 0 { 0.0 } else { n as f64 / service.asked as f64 };
    let millis = |q: f64| if latency.is_empty() { 0.0 } else { latency.value_at_quantile(q) as f64 / 1e3 };
    let [in_time, served, refused, failed] = counts.map(part);
    let worth = if worth.1 > 0.0 { worth.0 / worth.1 } else { 0.0 };
    let (p50_ms, p99_ms, tries) = (millis(0.5), millis(0.99), part(tries));
    Service { in_time, served, refused, failed, worth, p50_ms, p99_ms, tries, ..service }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_course_tells_who_left_when_who_came_back_and_who_flipped() {
        let second = 1_000_000;
        // Calls, and what is told of a loss from 10 to 20 s: left, back, calls, flips.
        type Case = (&'static [i64], Option<f64>, Option<f64>, u64, u64);
        let cases: &[Case] = &[
            (&[], Some(0.0), None, 0, 0),
            (&[9, 21], Some(0.0), Some(1.0), 0, 0),
            (&[9, 10, 11, 23], Some(1.0), Some(3.0), 2, 1),
            (&[10, 15, 16, 20], Some(6.0), Some(0.0), 3, 2),
            (&[12, 19], None, None, 2, 1),
        ];
        for (calls, left, back, count, flips) in cases {
            let calls: Vec<Micros> = calls.iter().map(|at| at * second).collect();
            let course = course("s", &calls, 10 * second, 20 * second);
            assert_eq!((course.left_s, course.back_s), (*left, *back), "{calls:?}");
            assert_eq!((course.calls, course.flips), (*count, *flips), "{calls:?}");
        }
    }
}
