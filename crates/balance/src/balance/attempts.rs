//! A request from its coming to its end: attempts, what is held, and the last word.

use super::*;

/// Retries that each new request earns; all tiers retry, so the product must stay near one.
const RETRY_EARN: f64 = 0.2;
/// An attempt's answer may never come once it is out for the mean and so many mean distances from it ...
const SILENT_SPREADS: f64 = 8.0;
/// ... or already after so many, while endpoints are known to be silent: few answers take as long.
const OVERDUE_SPREADS: f64 = 2.0;
/// What an answer on an old connection says against its kind being dropped unseen.
const STALE_REFUTED: f64 = 0.25;
/// A client's repeat has spent some of its objective: it counts as a late answer does, or at least so much.
const REPEAT_LEAST: f64 = 0.1;
/// Held requests are looked at again this often, besides whenever a call ends.
const HOLD_RECHECK: Duration = Duration::from_millis(20);
/// Part of the objective, less the way back, after which what is worth nothing late holds servers in vain.
const AIM_PART: f64 = 0.98;
/// A tenant is over its share beyond this multiple of what the median tenant uses of its own.
const SHARE_SLACK: f64 = 1.5;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Duration, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.arrivals.count(now, RATE_SECONDS);
        self.retry_tokens = (self.retry_tokens + RETRY_EARN).min(RETRY_SAVED * self.share);
        let class = request.class.0.min(self.settings.classes.len() - 1);
        let over_share = self.over_share(now, request.tenant.0);
        let mut part = if over_share { self.settings.over_share_worth } else { 1.0 };
        if request.client_retry {
            part *= self.settings.classes[class].late_value.max(REPEAT_LEAST);
        }
        let time_left = self.useful(class, request.time_left);
        let pending = Pending {
            class,
            arrived: now,
            deadline: now + time_left,
            part,
            attempts: Vec::new(),
            timers: Vec::new(),
            earlier: request.earlier_attempt,
            finished: false,
            streaming: false,
            coming: request.body_incomplete,
            once: false,
            not_before: None,
        };
        self.requests.insert(id, pending);
        self.set_timer(time_left, Timer::Deadline(id), out);
        self.advance(now, id, out);
    }

    /// The time in which an answer is worth something; below the first tier the caller has seen to it.
    fn useful(&self, class: usize, left: Duration) -> Duration {
        let class = &self.settings.classes[class];
        let only_in_time = class.late_value <= 0.0 && self.settings.tier == 0;
        if only_in_time { left.min(class.objective.mul_f64(AIM_PART)) } else { left }
    }

    /// A long body's last byte has come: what is timed begins only now.
    pub(super) fn on_body_whole(
        &mut self,
        now: Duration,
        id: RequestId,
        left: Duration,
        out: &mut Vec<Action>,
    ) {
        let left = self.useful(self.requests.get(&id).map_or(0, |p| p.class), left);
        let Some(pending) = self.requests.get_mut(&id).filter(|p| p.coming && !p.settled()) else { return };
        (pending.coming, pending.arrived, pending.deadline) = (false, now, now + left);
        if self.held.contains(id) {
            self.held.put(id, Kind::new(pending.class, pending.part), now);
        }
        let mut outs = Vec::new();
        for (n, attempt) in pending.attempts.iter_mut().enumerate().filter(|(_, a)| a.fate == Fate::Out) {
            attempt.sent = now;
            outs.push((AttemptNo(n as u32), attempt.endpoint));
        }
        self.set_timer(left, Timer::Deadline(id), out);
        for (number, endpoint) in outs {
            if let Some(&i) = self.index.get(&endpoint) {
                let side = self.side(i);
                self.windows[side].out += 1;
            }
            self.set_overdue(now, id, number, out);
        }
    }

    /// Sends a request that has no attempt out, or holds it, or gives it up.
    fn advance(&mut self, now: Duration, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|p| !p.settled()) else { return };
        let spent = pending.attempts.len() as u32 >= self.settings.limits.max_attempts;
        // A held repeat may have outlived the time in which its key is remembered: ask again here.
        let spent =
            spent || pending.deadline <= now || self.too_late(now, pending) || self.is_stuck(pending);
        if spent || !self.may_repeat(now, id) {
            return self.give_up(id, out);
        }
        let (kind, arrived) = (Kind::new(pending.class, pending.part), pending.arrived);
        let Some(i) = pending.may_begin(now).then(|| self.pick(now, id)).flatten() else {
            self.held.put(id, kind, arrived);
            return self.set_recheck(out);
        };
        self.send(now, id, i, out);
    }

    /// Whether it may go only where its job may have run, and nothing may go there.
    fn is_stuck(&self, pending: &Pending) -> bool {
        let (semantics, elsewhere) =
            (self.settings.classes[pending.class].semantics, (ZoneId(!0), CellId(!0)));
        let stays = |ran: &EarlierAttempt| !semantics.may_retry_at((ran.zone, ran.cell), elsewhere);
        pending.may_have_run().any(|ran| stays(&ran) && !self.zones.is_open(ran.zone))
    }

    /// Whether what has waited, untried or worth nothing late, would come after its objective or deadline.
    fn too_late(&self, now: Duration, pending: &Pending) -> bool {
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean);
        let objective = pending.arrived + self.settings.classes[pending.class].objective;
        (pending.attempts.is_empty() || pending.deadline <= objective)
            && now > pending.arrived
            && now + usual > objective.min(pending.deadline)
    }

    fn send(&mut self, now: Duration, id: RequestId, i: usize, out: &mut Vec<Action>) {
        let (cold_tokens, side) = (self.cold_tokens(now, i), self.side(i));
        let silent = self.silent(now);
        let endpoint = &mut self.endpoints[i];
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let mut idle = endpoint.heard.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        if silent && idle >= self.reaped_after {
            // Something on the way drops idle connections unseen; a handshake costs less than a lost call.
            out.push(Action::CloseIdle { endpoint: endpoint.info.id });
            endpoint.heard = None;
            idle = Duration::ZERO;
        }
        endpoint.in_flight += 1;
        self.zones.sent(now, endpoint.info.zone);
        // A body that still comes keeps no server busy: it is in flight there, but fills no window.
        self.windows[side].out += u32::from(!pending.coming);
        (endpoint.cold_tokens, endpoint.cold_at) = (cold_tokens - 1.0, now);
        pending.attempts.push(Attempt {
            endpoint: endpoint.info.id,
            cell: endpoint.info.cell,
            zone: endpoint.info.zone,
            sent: now,
            idle,
            fate: Fate::Out,
        });
        let timeout = pending.deadline.saturating_sub(now);
        out.push(Action::Send { request: id, endpoint: endpoint.info.id, timeout });
        let number = AttemptNo(pending.attempts.len() as u32 - 1);
        self.set_overdue(now, id, number, out);
    }

    /// Has an attempt looked at again once it is out for longer than answers take.
    fn set_overdue(&mut self, now: Duration, id: RequestId, number: AttemptNo, out: &mut Vec<Action>) {
        let silent = self.silent(now);
        let Some(pending) = self.requests.get(&id).filter(|p| !p.coming) else { return };
        let (class, timeout) = (pending.class, pending.deadline.saturating_sub(now));
        let overdue = self.latency[class].overdue(if silent { OVERDUE_SPREADS } else { SILENT_SPREADS });
        if self.latency[class].seen >= LATENCY_FIRST && overdue < timeout {
            self.set_timer(overdue, Timer::Overdue(id, number), out);
        }
    }

    /// Sends a second copy, or where none is allowed the request again, while endpoints are silent.
    pub(super) fn on_overdue(
        &mut self,
        now: Duration,
        id: RequestId,
        number: AttemptNo,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&id) else { return };
        let n = number.0 as usize;
        let (attempt, tries) = (pending.attempts[n], pending.attempts.len());
        if pending.settled() || attempt.fate != Fate::Out || tries > n + 1 {
            return;
        }
        let long = self.latency[pending.class].overdue(SILENT_SPREADS);
        // One alone, too: answers may be swallowed here and there. Retries' tokens bound the copies.
        let lone = now + self.settings.tick >= attempt.sent + long && self.late_share < LATE_SHARE;
        if lone {
            self.note_silence(now, attempt);
        }
        let (limits, copies) = (&self.settings.limits, self.settings.limits.second_copies);
        let more = tries < limits.max_attempts as usize && self.retry_tokens >= 1.0;
        if !more || !(lone && copies || self.silent(now)) || !self.may_repeat(now, id) {
            return;
        }
        if !copies && limits.cancelling {
            out.push(Action::Cancel { request: id, attempt: number });
        } else if copies && let Some(i) = self.pick(now, id) {
            self.retry_tokens -= 1.0;
            self.send(now, id, i, out);
        }
    }

    pub(super) fn on_attempt_ended(&mut self, now: Duration, ended: AttemptEnded, out: &mut Vec<Action>) {
        let id = ended.request;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let n = ended.attempt.0 as usize;
        let Some(attempt) = pending.attempts.get_mut(n).filter(|a| a.fate == Fate::Out) else { return };
        let idle = attempt.idle;
        attempt.fate = if ended.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (class, coming) = (pending.class, pending.coming);
        if ended.outcome == Outcome::LocalFault {
            pending.note_local_fault(now);
        }
        if ended.outcome == Outcome::Ok && idle >= self.reaped_after {
            self.stale -= STALE_REFUTED;
        }
        if self.stale < 1.0 {
            (self.reaped_after, self.stale) = (Duration::MAX, self.stale.max(0.0));
        }
        let overtaken = |p: &Pending| p.attempts[..n].iter().copied().find(|a| a.fate == Fate::Out);
        if ended.outcome == Outcome::Ok
            && let Some(silent) = self.requests.get(&id).and_then(overtaken)
        {
            self.note_silence(now, silent);
        }
        self.learn(now, class, coming, &ended);
        if ended.finished {
            self.finish(id, out);
        }
        let idle = self.requests.get(&id).is_some_and(|p| !p.settled() && p.none_out());
        // What was withdrawn before its first byte is chosen anew, and no retry; nor does a fault of this
        // machine put any load on an endpoint.
        let cost = if matches!(ended.outcome, Outcome::NotSent | Outcome::LocalFault) { 0.0 } else { 1.0 };
        if idle && self.retry_tokens >= cost && self.may_repeat(now, id) {
            self.retry_tokens -= cost;
            self.advance(now, id, out);
        } else if idle {
            self.give_up(id, out);
        }
        self.forget(id);
        self.release_held(now, out);
    }

    /// Rule 2: whether a further attempt is allowed at all.
    fn may_repeat(&self, now: Duration, id: RequestId) -> bool {
        let whole = |p: &&Pending| !p.once || p.attempts.is_empty();
        let Some(pending) = self.requests.get(&id).filter(whole) else { return false };
        let first = pending.may_have_run().next().map(|ran| ran.sent);
        self.settings.classes[pending.class].semantics.may_retry(now, first)
    }

    /// The last word on a request that can't be served: a refusal where that is true, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|p| !p.settled()) else { return };
        let may_have_run = pending.may_have_run().next().is_some();
        let harmless = self.settings.classes[pending.class].semantics.client_may_retry(may_have_run);
        // The time in which a place comes free.
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean).max(HOLD_RECHECK);
        let limits = &self.settings.limits;
        let retry_after = limits.retry_after.then(|| usual.min(limits.max_retry_after));
        let refusal = Action::Refuse { request: id, retry_after };
        out.push(if harmless { refusal } else { Action::Fail { request: id } });
        self.finish(id, out);
    }

    /// Marks a request finished, stops what is still out for it, and forgets it if nothing is.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut pending.finished, true) {
            for (number, attempt) in pending.attempts.iter().enumerate() {
                if attempt.fate == Fate::Out && !pending.streaming && self.settings.limits.cancelling {
                    out.push(Action::Cancel { request: id, attempt: AttemptNo(number as u32) });
                }
            }
        }
        for token in std::mem::take(&mut pending.timers) {
            if self.timers.remove(&token.0).is_some() {
                out.push(Action::CancelTimer { token });
            }
        }
        self.held.remove(id);
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|p| p.finished && p.none_out()) {
            self.requests.remove(&id);
        }
    }

    /// Sends what is held, as far as there is room; with hundreds held, looking further would cost too much.
    pub(super) fn release_held(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.held.is_empty() || !self.any_room(now) {
            return;
        }
        // The worthiest first, and of equals the last: in a jam the oldest, and all behind it, would be late.
        let mut walk = Walk::default();
        while let Some(id) = self.held.next(&mut walk, |kind| self.worth(kind.class(), kind.part())) {
            let untried = self.requests.get(&id).is_some_and(|p| p.attempts.is_empty());
            self.held.remove(id);
            self.advance(now, id, out);
            // What found no endpoint, though all are open to it, leaves none to the others either.
            if !self.any_room(now) || (untried && self.held.contains(id)) {
                return;
            }
        }
    }

    /// Refuses what is held too long.
    pub(super) fn drop_late(&mut self, now: Duration, out: &mut Vec<Action>) {
        let late = |id: RequestId| self.requests.get(&id).is_some_and(|p| self.too_late(now, p));
        for id in self.held.which(late) {
            let value = self.value(id);
            self.missed.set(now, value.max(self.missed.read(now, MISSED_SECONDS)));
            self.give_up(id, out);
        }
        if !self.held.is_empty() {
            self.set_recheck(out);
        }
    }

    /// What serving a request adds to the result for the time it keeps a server busy.
    pub(super) fn value(&self, id: RequestId) -> f64 {
        self.requests.get(&id).map_or(0.0, |pending| self.worth(pending.class, pending.part))
    }

    fn worth(&self, class: usize, part: f64) -> f64 {
        self.settings.classes[class].worth * part / self.latency[class].unhurried.max(0.001)
    }

    /// Counts a tenant's request; whether it lies above its share, judged by the median tenant.
    fn over_share(&mut self, now: Duration, tenant: usize) -> bool {
        if !self.tenants.count(now, tenant) {
            return false;
        }
        let fair = self.tenants.median(now) * SHARE_SLACK;
        let excess = 1.0 - fair / self.tenants.used(now, tenant).max(1e-9);
        self.draws.uniform() < excess
    }

    fn set_recheck(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.recheck_set, true) {
            self.set_timer(HOLD_RECHECK, Timer::Recheck, out);
        }
    }
}
