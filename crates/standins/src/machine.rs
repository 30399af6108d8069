//! What an endpoint does with its work, sans I/O: jobs and the time go in, outcomes come out.
//!
//! Jobs in work share the cores evenly, none faster than one core. Capacity is the product of speed, cold
//! start, slow state, efficiency and a fault's factor. Between two calls it is taken to change in steps of at
//! most [`STEP`], so that what a call finds does not hang on how often others came before it by more than that.

use crate::spec::MachineSpec;
use std::collections::VecDeque;
use std::time::Duration;

/// Within one step capacity is constant: short against a cold start of seconds, long against a call.
pub const STEP: Duration = Duration::from_millis(10);
/// Less work than this, in seconds, is done: below what a `Duration` tells apart.
const DONE: f64 = 1e-9;

/// A job's number, given by its host.
pub type JobId = u64;

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is in work or waits.
    Taken,
    /// The queue is full: the job was not looked at.
    Full,
}

/// What happened to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// Its work has begun.
    Began(JobId),
    /// Its work is done.
    Done(JobId),
    /// It was over before its work began: dropped unseen.
    Expired(JobId),
}

#[derive(Clone, Copy, Debug)]
struct Job {
    id: JobId,
    /// Seconds of work left on one core of the yardstick speed.
    left: f64,
    expires: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Choke {
    /// Over the mark since then, if it is.
    Free { over_since: Option<Duration> },
    /// Slow since, and under the lower mark since then, if it is.
    Slow { since: Duration, under_since: Option<Duration> },
}

/// One endpoint's machine. Times are on the caller's clock.
#[derive(Debug)]
pub struct Machine {
    spec: MachineSpec,
    /// None while it is as warm as it gets.
    started: Option<Duration>,
    now: Duration,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    choke: Choke,
    /// A fault's.
    factor: f64,
    happened: Vec<Happened>,
}

impl Machine {
    /// A warm machine.
    pub fn new(spec: MachineSpec, now: Duration) -> Machine {
        let (running, waiting, happened) = Default::default();
        let choke = Choke::Free { over_since: None };
        Machine { spec, started: None, now, running, waiting, choke, factor: 1.0, happened }
    }

    /// Its process ends and starts again: what it held is gone, and it is cold.
    pub fn restart(&mut self, now: Duration) {
        self.advance(now);
        self.running.clear();
        self.waiting.clear();
        self.happened.clear();
        self.choke = Choke::Free { over_since: None };
        self.started = Some(now);
    }

    /// Another program or a fault takes all but this part of it, over 0 and up to 1.
    pub fn set_factor(&mut self, now: Duration, factor: f64) {
        self.advance(now);
        self.factor = factor;
    }

    /// A job of so many seconds of work comes; it is over at `expires`.
    pub fn offer(&mut self, now: Duration, id: JobId, work: f64, expires: Duration) -> Offered {
        self.advance(now);
        let job = Job { id, left: work.max(0.0), expires };
        if self.running.len() < self.spec.slots as usize {
            self.running.push(job);
            self.happened.push(Happened::Began(id));
        } else if self.waiting.len() < self.spec.queue as usize {
            self.waiting.push_back(job);
        } else {
            return Offered::Full;
        }
        self.look_at_backlog();
        Offered::Taken
    }

    /// A job's caller has given it up. It stops if it waits, and if it runs where running work stops;
    /// whether it is gone.
    pub fn cancel(&mut self, now: Duration, id: JobId) -> bool {
        self.advance(now);
        let before = self.held();
        self.waiting.retain(|job| job.id != id);
        if self.spec.cancel_running {
            self.running.retain(|job| job.id != id);
            self.fill();
        }
        self.look_at_backlog();
        self.held() < before
    }

    /// Works until now, and gives what has happened since the last call.
    pub fn poll(&mut self, now: Duration) -> Vec<Happened> {
        self.advance(now);
        std::mem::take(&mut self.happened)
    }

    /// When something may happen next; none while it is idle.
    pub fn next(&self) -> Option<Duration> {
        if !self.happened.is_empty() {
            return Some(self.now);
        }
        let least = self.running.iter().map(|job| job.left).min_by(f64::total_cmp)?;
        let whole = Duration::try_from_secs_f64(least / self.rate()).unwrap_or(STEP);
        // Capacity may have changed by then.
        let steady = self.started.is_none() && self.waiting.is_empty() && self.spec.choke.is_none();
        Some(self.now + if steady { whole } else { whole.min(STEP) }.max(Duration::from_micros(50)))
    }

    /// Requests in work and waiting.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether it is in its slow state.
    pub fn is_choked(&self) -> bool {
        matches!(self.choke, Choke::Slow { .. })
    }

    /// Whether it warms up still.
    pub fn is_cold(&self) -> bool {
        self.started.is_some()
    }

    /// Its capacity now, in cores of the yardstick speed.
    pub fn capacity(&self) -> f64 {
        let spec = &self.spec;
        let cold = match self.started {
            Some(at) if !spec.warm_after.0.is_zero() => {
                let part = (self.now - at).as_secs_f64() / spec.warm_after.0.as_secs_f64();
                spec.cold_share + (1.0 - spec.cold_share) * part.min(1.0)
            }
            _ => 1.0,
        };
        let slow = match (&spec.choke, self.choke) {
            (Some(choke), Choke::Slow { .. }) => choke.slower,
            _ => 1.0,
        };
        let crowd = self.per_core() / spec.thrash_at.max(f64::MIN_POSITIVE) - 1.0;
        let lost = if spec.thrash_at > 0.0 { spec.thrash * crowd.clamp(0.0, 1.0) } else { 0.0 };
        f64::from(spec.cores) * spec.speed * cold / slow * (1.0 - lost) * self.factor
    }

    fn per_core(&self) -> f64 {
        self.held() as f64 / f64::from(self.spec.cores)
    }

    /// Seconds of work that one running job gets done in a second.
    fn rate(&self) -> f64 {
        let sharers = (self.running.len() as f64).max(f64::from(self.spec.cores));
        (self.capacity() / sharers).max(1e-6)
    }

    /// Works until now, in steps; a clock that has stepped back is waited for.
    fn advance(&mut self, now: Duration) {
        while self.now < now {
            if self.held() == 0
                && self.started.is_none()
                && self.choke == (Choke::Free { over_since: None })
            {
                self.now = now;
                return;
            }
            let rate = self.rate();
            let least = self.running.iter().map(|job| job.left).min_by(f64::total_cmp);
            let done = least.and_then(|left| Duration::try_from_secs_f64(left / rate).ok());
            let step = (now - self.now).min(STEP).min(done.unwrap_or(STEP).max(Duration::from_nanos(100)));
            self.now += step;
            let worked = rate * step.as_secs_f64();
            self.running.iter_mut().for_each(|job| job.left -= worked);
            for job in self.running.extract_if(.., |job| job.left <= DONE) {
                self.happened.push(Happened::Done(job.id));
            }
            self.fill();
            self.look_at_backlog();
            let warm = self.spec.warm_after.0;
            self.started = self.started.filter(|at| self.now - *at < warm);
        }
    }

    /// Begins what waits, once there are slots; what is over by then is dropped.
    fn fill(&mut self) {
        while self.running.len() < self.spec.slots as usize {
            match self.waiting.pop_front() {
                None => return,
                Some(job) if job.expires <= self.now => self.happened.push(Happened::Expired(job.id)),
                Some(job) => {
                    self.happened.push(Happened::Began(job.id));
                    self.running.push(job);
                }
            }
        }
    }

    fn look_at_backlog(&mut self) {
        let Some(choke) = &self.spec.choke else { return };
        let (now, per_core) = (self.now, self.per_core());
        self.choke = match self.choke {
            Choke::Free { over_since } => {
                let over_since = (per_core > choke.at).then(|| over_since.unwrap_or(now));
                match over_since {
                    Some(at) if now - at >= choke.over.0 => Choke::Slow { since: now, under_since: None },
                    over_since => Choke::Free { over_since },
                }
            }
            Choke::Slow { since, under_since } => {
                let under_since = (per_core < choke.below).then(|| under_since.unwrap_or(now));
                let rested = under_since.is_some_and(|at| now - at >= choke.recover_after.0);
                if rested || now - since >= choke.most.0 {
                    Choke::Free { over_since: None }
                } else {
                    Choke::Slow { since, under_since }
                }
            }
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::spec::ChokeSpec;
    use curlewhub_config::units::Span;

    const FAR: Duration = Duration::from_secs(3600);

    /// What has ended by then.
    fn ended(machine: &mut Machine, now: Duration) -> Vec<Happened> {
        let mut happened = machine.poll(now);
        happened.retain(|what| !matches!(what, Happened::Began(_)));
        happened
    }

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn spec() -> MachineSpec {
        MachineSpec { slots: 4, queue: 2, ..MachineSpec::default() }
    }

    #[test]
    fn jobs_share_the_cores_and_none_is_faster_than_one() {
        let mut machine = Machine::new(spec(), ms(0));
        machine.offer(ms(0), 1, 0.1, FAR);
        assert_eq!(ended(&mut machine, ms(99)), []);
        assert_eq!(
            ended(&mut machine, ms(101)),
            [Happened::Done(1)],
            "two cores help one job no more than one"
        );
        for id in 2..6 {
            machine.offer(ms(200), id, 0.1, FAR);
        }
        assert_eq!(ended(&mut machine, ms(399)), [], "four on two cores take twice as long");
        assert_eq!(ended(&mut machine, ms(401)).len(), 4);
    }

    #[test]
    fn what_finds_a_full_queue_is_turned_away_and_what_is_over_is_dropped_unseen() {
        let mut machine = Machine::new(spec(), ms(0));
        for id in 0..6 {
            assert_eq!(machine.offer(ms(0), id, 1.0, ms(100)), Offered::Taken);
        }
        assert_eq!(machine.offer(ms(0), 9, 1.0, FAR), Offered::Full);
        let left = ended(&mut machine, ms(2100));
        assert_eq!(
            left.iter().filter(|left| matches!(left, Happened::Expired(4 | 5))).count(),
            2,
            "{left:?}"
        );
        assert_eq!(machine.held(), 0);
    }

    #[test]
    fn a_cancel_stops_what_waits_and_what_runs_only_where_it_may() {
        for stops in [true, false] {
            let mut machine = Machine::new(MachineSpec { cancel_running: stops, ..spec() }, ms(0));
            (0..6).for_each(|id| assert_eq!(machine.offer(ms(0), id, 1.0, FAR), Offered::Taken));
            assert!(machine.cancel(ms(1), 5), "it waits");
            assert_eq!(machine.cancel(ms(1), 0), stops, "it runs");
            assert_eq!(machine.held(), if stops { 4 } else { 5 });
        }
    }

    #[test]
    fn it_starts_cold_and_warms_evenly() {
        let mut machine = Machine::new(spec(), ms(0));
        machine.restart(ms(0));
        let at = |machine: &mut Machine, time| {
            machine.poll(ms(time));
            machine.capacity()
        };
        assert!((at(&mut machine, 0) - 0.8).abs() < 0.01);
        assert!((at(&mut machine, 2500) - 1.4).abs() < 0.01);
        assert!((at(&mut machine, 5001) - 2.0).abs() < 0.01);
    }

    #[test]
    fn a_backlog_makes_it_slow_and_only_a_pause_or_time_ends_that() {
        let span = |n| Span(ms(n));
        let choke = ChokeSpec {
            at: 1.5,
            over: span(500),
            slower: 3.0,
            below: 0.5,
            recover_after: span(300),
            most: span(60_000),
        };
        let mut machine = Machine::new(MachineSpec { choke: Some(choke), ..spec() }, ms(0));
        (0..4).for_each(|id| assert_eq!(machine.offer(ms(0), id, 2.0, FAR), Offered::Taken));
        machine.poll(ms(490));
        assert!(!machine.is_choked());
        machine.poll(ms(520));
        assert!(machine.is_choked());
        assert!((machine.capacity() - 2.0 / 3.0).abs() < 0.01);
        (0..4).for_each(|id| assert!(machine.cancel(ms(600), id)));
        machine.poll(ms(880));
        assert!(machine.is_choked(), "it has to recover first");
        machine.poll(ms(950));
        assert!(!machine.is_choked());
    }

    #[test]
    fn looking_more_often_changes_little() {
        let run = |every: u64| {
            let mut machine = Machine::new(spec(), ms(0));
            machine.restart(ms(0));
            (0..6).for_each(|id| assert_eq!(machine.offer(ms(3), id, 0.3, FAR), Offered::Taken));
            let mut done = Vec::new();
            for now in (0..4000).step_by(every as usize) {
                done.extend(ended(&mut machine, ms(now)).into_iter().map(|left| (left, now)));
            }
            done
        };
        let (often, seldom) = (run(1), run(20));
        assert_eq!(often.len(), 6);
        for ((one, early), (two, late)) in often.iter().zip(&seldom) {
            assert_eq!(one, two);
            assert!(late.abs_diff(*early) <= 30, "{early} {late}");
        }
    }
}
