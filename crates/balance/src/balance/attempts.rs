//! The life of a request: its attempts, waiting in the queue, and its final answer.

use super::*;

/// Retry tokens earned by each new request; all tiers retry: the product over them must stay near one.
const RETRY_TOKENS_EARNED: f64 = 0.2;
/// How much an answer on a long idle connection refutes that such connections are dropped silently.
const STALE_EVIDENCE_REFUTED: f64 = 0.25;
/// A client's retry has used part of its objective: its value is that of a late answer, or at least this.
const MIN_CLIENT_RETRY_VALUE: f64 = 0.1;
/// Interval at which queued requests are checked, besides whenever an attempt ends.
const QUEUE_RECHECK: Duration = Duration::from_millis(20);
/// Fraction of the objective, less the way back, after which a request worth nothing late wastes servers.
const OBJECTIVE_FRACTION: f64 = 0.98;
/// A tenant is over its share beyond this multiple of the median tenant's usage.
const TENANT_SHARE_SLACK: f64 = 1.5;

impl Pending {
    /// Whether there is nothing left to decide for it.
    pub(super) fn settled(&self) -> bool {
        self.finished || self.streaming
    }

    /// Records that this machine could open no connection for it.
    pub(super) fn record_local_fault(&mut self, now: Duration) {
        self.not_before = Some(self.not_before.map_or(now, |_| now + LOCAL_FAULT_WAIT));
    }

    /// Records an attempt of its job that was made elsewhere; the first one counts.
    pub(super) fn record_earlier(&mut self, earlier: EarlierAttempt) {
        let known = self.earlier_attempt.filter(|known| known.sent <= earlier.sent);
        self.earlier_attempt = known.or(Some(earlier));
    }

    pub(super) fn may_start(&self, now: Duration) -> bool {
        self.not_before.is_none_or(|at| now >= at)
    }

    pub(super) fn none_in_flight(&self) -> bool {
        self.attempts.iter().all(|a| a.run != Run::InFlight)
    }

    /// The attempts that may have run, the first one first.
    pub(super) fn may_have_run(&self) -> impl Iterator<Item = EarlierAttempt> {
        let own = self.attempts.iter().filter(|a| a.run != Run::Never);
        self.earlier_attempt.into_iter().chain(own.map(|a| EarlierAttempt {
            zone: a.zone,
            cell: a.cell,
            sent: a.sent,
        }))
    }
}

impl Balancer {
    pub(super) fn on_request(&mut self, now: Duration, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.arrival_rate.count(now, RATE_DECAY_SECONDS);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_EARNED).min(MAX_RETRY_TOKENS * self.share);
        let class = request.class.0.min(self.settings.classes.len() - 1);
        let over_share = self.exceeds_tenant_share(now, request.tenant.0);
        let mut value_fraction = if over_share { self.settings.over_share_worth } else { 1.0 };
        if request.client_retry {
            value_fraction *= self.settings.classes[class].late_value.max(MIN_CLIENT_RETRY_VALUE);
        }
        let time_started = !request.body_incomplete;
        let time_left =
            if time_started { self.useful_time(class, request.time_left) } else { request.time_left };
        let pending = Pending {
            class,
            arrived: now,
            deadline: now + time_left,
            client_deadline: now + request.time_left,
            value_fraction,
            attempts: Vec::new(),
            timers: Vec::new(),
            earlier_attempt: request.earlier_attempt,
            group_unknown: false,
            finished: false,
            streaming: false,
            upload: request.body_incomplete,
            time_started,
            body_not_replayable: false,
            not_before: None,
        };
        self.requests.insert(id, pending);
        self.set_timer(time_left, Timer::Deadline(id), out);
        self.dispatch_or_queue(now, id, out);
    }

    /// The time in which an answer has value; below the first tier the caller has limited it already.
    pub(super) fn useful_time(&self, class: usize, left: Duration) -> Duration {
        let class = &self.settings.classes[class];
        let only_in_time = class.late_value <= 0.0 && self.settings.tier == 0;
        if only_in_time { left.min(class.objective.mul_f64(OBJECTIVE_FRACTION)) } else { left }
    }

    /// Sends a request that has no attempt in flight, or queues it, or ends it.
    fn dispatch_or_queue(&mut self, now: Duration, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|p| !p.settled()) else { return };
        let spent = pending.attempts.len() as u32 >= self.settings.limits.max_attempts;
        // A queued retry may have outlasted the time in which its key is remembered, so this is checked
        // again.
        let spent =
            spent || pending.deadline <= now || self.too_late(now, pending) || self.is_unroutable(pending);
        if spent || !self.may_retry(now, id) {
            return self.reject_or_fail(id, out);
        }
        let (key, arrived) = (ValueKey::new(pending.class, pending.value_fraction), pending.arrived);
        let Some(i) = pending.may_start(now).then(|| self.choose_endpoint(now, id)).flatten() else {
            self.queue.insert(id, key, arrived);
            return self.schedule_recheck(out);
        };
        self.send(now, id, i, out);
    }

    /// Whether it may be sent only where its job may have run, and nothing may be sent there.
    fn is_unroutable(&self, pending: &Pending) -> bool {
        let (semantics, elsewhere) =
            (self.settings.classes[pending.class].semantics, (ZoneId(!0), CellId(!0)));
        let stays = |ran: &EarlierAttempt| !semantics.may_retry_at((ran.zone, ran.cell), elsewhere);
        pending.may_have_run().any(|ran| stays(&ran) && !self.zones.is_open(ran.zone))
    }

    /// Whether a waiting request, if untried or worth nothing late, would miss its objective or deadline.
    fn too_late(&self, now: Duration, pending: &Pending) -> bool {
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean);
        let objective = pending.arrived + self.settings.classes[pending.class].objective;
        pending.time_started
            && (pending.attempts.is_empty() || pending.deadline <= objective)
            && now > pending.arrived
            && now + usual > objective.min(pending.deadline)
    }

    pub(super) fn send(&mut self, now: Duration, id: RequestId, i: usize, out: &mut Vec<Action>) {
        let (cold_tokens, zone_group) = (self.cold_tokens(now, i), self.zone_group(i));
        let missing = self.answers_missing(now);
        let endpoint = &mut self.endpoints[i];
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let mut idle = endpoint.last_answer_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        if missing && idle >= self.idle_drop_after {
            // The path may drop idle connections silently; a handshake costs less than a lost call.
            out.push(Action::CloseIdle { endpoint: endpoint.info.id });
            endpoint.last_answer_at = None;
            idle = Duration::ZERO;
        }
        endpoint.in_flight += 1;
        self.zones.record_send(now, endpoint.info.zone);
        // While its body is received a request keeps no server busy: it is not counted in the window.
        self.windows[zone_group].used += u32::from(!pending.upload);
        (endpoint.cold_tokens, endpoint.cold_tokens_at) = (cold_tokens - 1.0, now);
        pending.attempts.push(Attempt {
            endpoint: endpoint.info.id,
            cell: endpoint.info.cell,
            zone: endpoint.info.zone,
            sent: now,
            idle,
            run: Run::InFlight,
            answer_progress: None,
        });
        let timeout = pending.deadline.saturating_sub(now);
        out.push(Action::Send { request: id, endpoint: endpoint.info.id, timeout });
        let number = AttemptNo(pending.attempts.len() as u32 - 1);
        self.arm_overdue(now, id, number, out);
    }

    pub(super) fn on_attempt_ended(&mut self, now: Duration, ended: AttemptEnded, out: &mut Vec<Action>) {
        let id = ended.request;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let n = ended.attempt.0 as usize;
        let Some(attempt) = pending.attempts.get_mut(n).filter(|a| a.run == Run::InFlight) else { return };
        let idle = attempt.idle;
        attempt.run = if ended.outcome.never_ran() { Run::Never } else { Run::Possible };
        let (class, upload) = (pending.class, pending.upload);
        if ended.outcome == Outcome::LocalFault {
            pending.record_local_fault(now);
        }
        if ended.outcome == Outcome::Ok && idle >= self.idle_drop_after {
            self.stale_evidence -= STALE_EVIDENCE_REFUTED;
        }
        if self.stale_evidence < 1.0 {
            (self.idle_drop_after, self.stale_evidence) = (Duration::MAX, self.stale_evidence.max(0.0));
        }
        let overtaken = |p: &Pending| p.attempts[..n].iter().copied().find(|a| a.run == Run::InFlight);
        if ended.outcome == Outcome::Ok
            && let Some(missing) = self.requests.get(&id).and_then(overtaken)
        {
            self.record_missing_answer(now, missing);
        }
        self.learn_from_outcome(now, class, upload, &ended);
        if ended.finished {
            self.finish(id, out);
        }
        let undecided = self.requests.get(&id).is_some_and(|p| !p.settled() && p.none_in_flight());
        // An attempt withdrawn before its first byte is no retry, and a local fault loads no endpoint.
        let cost = if matches!(ended.outcome, Outcome::NotSent | Outcome::LocalFault) { 0.0 } else { 1.0 };
        if undecided && self.retry_tokens >= cost && self.may_retry(now, id) {
            self.retry_tokens -= cost;
            self.dispatch_or_queue(now, id, out);
        } else if undecided {
            self.reject_or_fail(id, out);
        }
        self.remove_if_done(id);
        self.dispatch_queued(now, out);
    }

    /// Rule 2: whether a further attempt is allowed at all.
    pub(super) fn may_retry(&self, now: Duration, id: RequestId) -> bool {
        let whole = |p: &&Pending| !p.body_not_replayable || p.attempts.is_empty();
        let Some(pending) = self.requests.get(&id).filter(whole) else { return false };
        let first = pending.may_have_run().next().map(|ran| ran.sent);
        let semantics = self.settings.classes[pending.class].semantics;
        semantics.may_retry(now, first) && !(pending.group_unknown && semantics.has_group())
    }

    /// The final answer if it can't be served: a refusal where the client may safely retry, else a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|p| !p.settled()) else { return };
        let may_have_run = pending.may_have_run().next().is_some();
        let harmless = self.settings.classes[pending.class].semantics.client_may_retry(may_have_run);
        // The time in which capacity becomes free.
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean).max(QUEUE_RECHECK);
        let limits = &self.settings.limits;
        let retry_after = limits.retry_after.then(|| usual.min(limits.max_retry_after));
        let refusal = Action::Refuse { request: id, retry_after };
        out.push(if harmless { refusal } else { Action::Fail { request: id } });
        self.finish(id, out);
    }

    /// Marks a request finished, cancels its attempts in flight, and removes it if there are none.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut pending.finished, true) {
            for (number, attempt) in pending.attempts.iter().enumerate() {
                if attempt.run == Run::InFlight && !pending.streaming && self.settings.limits.cancelling {
                    out.push(Action::Cancel { request: id, attempt: AttemptNo(number as u32) });
                }
            }
        }
        for token in std::mem::take(&mut pending.timers) {
            if self.timers.remove(&token.0).is_some() {
                out.push(Action::CancelTimer { token });
            }
        }
        self.queue.remove(id);
        self.remove_if_done(id);
    }

    fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|p| p.finished && p.none_in_flight()) {
            self.requests.remove(&id);
        }
    }

    /// Sends queued requests while there is capacity; with hundreds queued, a full search costs too much.
    pub(super) fn dispatch_queued(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.queue.is_empty() || !self.any_capacity(now) {
            return;
        }
        // Highest value first, then the latest: in an overload the oldest, and all after it, would be late.
        let mut iter = Cursor::default();
        while let Some(id) = self.queue.next(&mut iter, |key| self.value_of(key.class(), key.fraction())) {
            let untried = self.requests.get(&id).is_some_and(|p| p.attempts.is_empty());
            self.queue.remove(id);
            self.dispatch_or_queue(now, id, out);
            // If a request that may go anywhere found no endpoint, the others won't find one either.
            if !self.any_capacity(now) || (untried && self.queue.contains(id)) {
                return;
            }
        }
    }

    /// Refuses queued requests that are too late.
    pub(super) fn shed_late(&mut self, now: Duration, out: &mut Vec<Action>) {
        let late = |id: RequestId| self.requests.get(&id).is_some_and(|p| self.too_late(now, p));
        for id in self.queue.matching(late) {
            let value = self.value(id);
            self.refused_value.set(now, value.max(self.refused_value.value_at(now, REFUSED_DECAY_SECONDS)));
            self.reject_or_fail(id, out);
        }
        if !self.queue.is_empty() {
            self.schedule_recheck(out);
        }
    }

    /// The value gained by serving a request, per time for which it keeps a server busy.
    pub(super) fn value(&self, id: RequestId) -> f64 {
        self.requests.get(&id).map_or(0.0, |pending| self.value_of(pending.class, pending.value_fraction))
    }

    fn value_of(&self, class: usize, fraction: f64) -> f64 {
        self.settings.classes[class].worth * fraction / self.latency[class].baseline.max(0.001)
    }

    /// Counts a tenant's request. Returns whether it is over its share, judged by the median tenant.
    fn exceeds_tenant_share(&mut self, now: Duration, tenant: usize) -> bool {
        if !self.tenants.count(now, tenant) {
            return false;
        }
        let fair = self.tenants.median(now) * TENANT_SHARE_SLACK;
        let excess = 1.0 - fair / self.tenants.usage(now, tenant).max(1e-9);
        self.rng.uniform() < excess
    }

    fn schedule_recheck(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.recheck_scheduled, true) {
            self.set_timer(QUEUE_RECHECK, Timer::Recheck, out);
        }
    }
}
