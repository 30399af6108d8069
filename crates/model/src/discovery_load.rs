//! Discovery's queue under the calls of a whole fleet, in simulated time.
//!
//! Discovery answers calls in turn and has a limit on how long a call may wait, and one on its queue. A call that comes
//! while the queue is longer than the latter is refused at once and costs nothing. One that is accepted costs its work, and is failed at the
//! limit if it was not answered by then: work that serves nobody. So a queue that is always full serves nobody at all.

use crate::queue::Queue;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// What discovery bears.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// Calls it answers in a second.
    pub calls_per_second: f64,
    /// A call has failed that waited so long.
    pub wait_limit: Duration,
    /// A call is refused at once that comes while the queue holds so much work; more than the limit above makes for
    /// calls that are accepted and can't be answered in time.
    pub queue_limit: Duration,
}

/// Who calls it.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// Callers that failed while it was down, and wait for its return.
    pub waiting: u32,
    /// Callers that start after its return.
    pub starting: u32,
    /// They start evenly within this.
    pub starting_within: Duration,
}

/// How the callers got through. Times count from discovery's return, or from the caller's start if that is later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recovery {
    /// Half of the callers were answered by then.
    pub half: Duration,
    /// 99 in 100.
    pub nearly_all: Duration,
    /// All; the end of the run where one was never answered.
    pub all: Duration,
    /// Callers over the rate that discovery bears: no scheme does better for the last one.
    pub least: Duration,
    /// Calls made since its return.
    pub calls: u64,
    /// Calls that were accepted, and failed all the same.
    pub worked_in_vain: u64,
    /// Callers that were never answered.
    pub unanswered: u32,
}

/// What a caller has behind it as a call fails.
#[derive(Clone, Copy, Debug)]
pub struct Failures {
    /// Failures in a row before this one.
    pub before: u32,
    /// How long this call took.
    pub took: Duration,
    /// It was answered, by a refusal; otherwise nothing came.
    pub refused: bool,
}

/// How an outage shows, and what callers do about calls that bring nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outage {
    /// A call is given up by its caller after this long where discovery is down; none where discovery refuses it at
    /// its limit.
    pub silent: Option<Duration>,
    /// A caller that has waited so long for a call makes a second one beside it, unless it was refused since its last
    /// answer; the first that is answered counts.
    pub second_call: Option<Duration>,
}

/// The wait behind a failed call, by a draw from 0 to 1.
pub type RetryWait = fn(failures: Failures, draw: f64) -> Duration;

/// Discovery was down for this long before the run, and took each call to its limit.
const DOWN_BEFORE: Duration = Duration::from_secs(10);
/// A run ends so long after discovery's return.
const RUN_END: Duration = Duration::from_secs(120);

/// How a call ends.
enum CallEnd {
    Answered(Duration),
    RefusedAtOnce,
    FailedAtLimit,
    /// Nothing comes from a discovery that is down.
    Lost,
}

/// The queue: until when it is busy with what it has accepted.
struct CallQueue {
    settings: Discovery,
    work: Duration,
    busy_until: Duration,
    up_from: Duration,
}

impl CallQueue {
    fn new(settings: Discovery, up_from: Duration) -> Self {
        let work = Duration::from_secs_f64(1.0 / settings.calls_per_second);
        CallQueue { settings, work, busy_until: Duration::ZERO, up_from }
    }

    fn call(&mut self, now: Duration) -> CallEnd {
        if now < self.up_from {
            return CallEnd::Lost;
        }
        if self.busy_until.saturating_sub(now) > self.settings.queue_limit {
            return CallEnd::RefusedAtOnce;
        }
        self.busy_until = self.busy_until.max(now) + self.work;
        if self.busy_until - now > self.settings.wait_limit {
            return CallEnd::FailedAtLimit;
        }
        CallEnd::Answered(self.busy_until)
    }
}

/// One caller.
#[derive(Default)]
struct Caller {
    starts: Duration,
    failures: u32,
    /// Calls that are out.
    out: u32,
    /// When the last call began.
    called: Duration,
    /// Refused since its last answer.
    refused: bool,
    answered: Option<Duration>,
}

/// What happens to a caller.
#[derive(Clone, Copy)]
enum Step {
    Call,
    /// A second call is due, if nothing has come of the one that began then.
    SecondCall(Duration),
    Failed {
        refused: bool,
    },
}

/// A run: the queue, the callers, and what is to come.
struct Run {
    queue: CallQueue,
    discovery: Discovery,
    outage: Outage,
    wait: RetryWait,
    draws: Pcg64Mcg,
    steps: Queue<(usize, Step)>,
    all: Vec<Caller>,
    calls: u64,
    worked_in_vain: u64,
}

impl Run {
    fn call(&mut self, now: Duration, index: usize) {
        let is_up = now >= DOWN_BEFORE;
        self.calls += u64::from(is_up);
        let caller = &mut self.all[index];
        (caller.out, caller.called) = (caller.out + 1, now);
        if let Some(after) = self.outage.second_call {
            self.steps.plan(now + after, (index, Step::SecondCall(now)));
        }
        let (took, refused) = match self.queue.call(now) {
            CallEnd::Answered(at) => {
                // A second call that was answered as well was worked for in vain.
                self.worked_in_vain += u64::from(caller.answered.is_some());
                caller.answered = Some(caller.answered.map_or(at, |other| other.min(at)));
                return;
            }
            CallEnd::RefusedAtOnce => (Duration::ZERO, true),
            CallEnd::FailedAtLimit => {
                self.worked_in_vain += 1;
                (self.discovery.wait_limit, true)
            }
            CallEnd::Lost => match self.outage.silent {
                Some(given_up) => (given_up, false),
                None => (self.discovery.wait_limit, true),
            },
        };
        self.steps.plan(now + took, (index, Step::Failed { refused }));
    }

    fn step(&mut self, now: Duration, index: usize, step: Step) {
        let caller = &mut self.all[index];
        if caller.answered.is_some_and(|at| at <= now) {
            return;
        }
        match step {
            Step::Call => self.call(now, index),
            Step::SecondCall(called) => {
                if caller.called == called && caller.out == 1 && !caller.refused {
                    self.call(now, index);
                }
            }
            Step::Failed { refused } => {
                caller.out -= 1;
                caller.refused |= refused;
                if caller.out > 0 || caller.answered.is_some() {
                    return; // the other one is still out
                }
                let took = now - caller.called;
                let failures = Failures { before: caller.failures, took, refused: caller.refused };
                caller.failures = caller.failures.saturating_add(1);
                let wait = (self.wait)(failures, self.draws.random());
                self.steps.plan(now + wait, (index, Step::Call));
            }
        }
    }
}

/// Plays discovery's return, with callers that wait so long behind each failure.
pub fn recover(discovery: Discovery, callers: Callers, wait: RetryWait, seed: u64) -> Recovery {
    recover_from(discovery, callers, Outage::default(), wait, seed)
}

/// The same after such an outage.
pub fn recover_from(
    discovery: Discovery,
    callers: Callers,
    outage: Outage,
    wait: RetryWait,
    seed: u64,
) -> Recovery {
    let mut draws = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = Queue::new();
    let mut all: Vec<Caller> = Vec::new();
    let spread = outage.silent.unwrap_or(discovery.wait_limit);
    for index in 0..callers.waiting + callers.starting {
        let starts = match index < callers.waiting {
            true => spread.mul_f64(draws.random()),
            false => DOWN_BEFORE + callers.starting_within.mul_f64(draws.random()),
        };
        steps.plan(starts, (all.len(), Step::Call));
        all.push(Caller { starts, ..Caller::default() });
    }
    let queue = CallQueue::new(discovery, DOWN_BEFORE);
    let (calls, worked_in_vain) = (0, 0);
    let mut run = Run { queue, discovery, outage, wait, draws, steps, all, calls, worked_in_vain };
    while let Some((now, (index, step))) = run.steps.next() {
        if now > DOWN_BEFORE + RUN_END {
            break;
        }
        run.step(now, index, step);
    }
    let least = Duration::from_secs_f64(run.all.len() as f64 / discovery.calls_per_second);
    summary(&run.all, least, run.calls, run.worked_in_vain)
}

fn summary(all: &[Caller], least: Duration, calls: u64, worked_in_vain: u64) -> Recovery {
    let end = DOWN_BEFORE + RUN_END;
    let waited = |caller: &Caller| caller.answered.unwrap_or(end) - caller.starts.max(DOWN_BEFORE);
    let mut times: Vec<Duration> = all.iter().map(waited).collect();
    times.sort_unstable();
    let at = |share: f64| {
        let index = (times.len() as f64 * share) as usize;
        times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
    };
    Recovery {
        half: at(0.5),
        nearly_all: at(0.99),
        all: at(1.0),
        least,
        calls,
        worked_in_vain,
        unanswered: all.iter().filter(|caller| caller.answered.is_none()).count() as u32,
    }
}
