//! Answers that are overdue, and answers that arrive over some time: an attempt whose answer has begun is
//! not ended while its client waits, and a second copy of it is sent only once the answer has stopped.

use super::*;

/// An answer may never come once it takes this many mean deviations longer than the mean ...
const MISSING_SPREADS: f64 = 8.0;
/// ... or this many while other answers are known to be missing: few answers take that long.
const OVERDUE_SPREADS: f64 = 2.0;
/// An answer that has paused for less than this still arrives.
const MIN_PAUSE: Duration = Duration::from_millis(700);
/// One that has paused for this long may have stopped, whatever time its client has left.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// A second copy needs this many usual latencies to be answered in time ...
const COPY_LATENCIES: f64 = 2.0;
/// ... and at least this fraction of the objective.
const COPY_OBJECTIVE_FRACTION: f64 = 0.25;

impl Balancer {
    /// Sets a timer to check an attempt once it takes longer than answers usually do.
    pub(super) fn arm_overdue(
        &mut self,
        now: Duration,
        id: RequestId,
        number: AttemptNo,
        out: &mut Vec<Action>,
    ) {
        let missing = self.answers_missing(now);
        let Some(pending) = self.requests.get(&id).filter(|p| !p.upload) else { return };
        let (class, timeout) = (pending.class, pending.deadline.saturating_sub(now));
        let overdue = self.latency[class].overdue(if missing { OVERDUE_SPREADS } else { MISSING_SPREADS });
        if self.latency[class].count >= MIN_LATENCY_SAMPLES && overdue < timeout {
            self.set_timer(overdue, Timer::Overdue(id, number), out);
        }
    }

    /// While answers are missing, sends a second copy, or cancels the attempt where copies are not allowed.
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
        // An answer that has begun is not overdue.
        let is_waited_for = attempt.run == Run::InFlight && attempt.answer_progress.is_none();
        if pending.settled() || !is_waited_for || tries > n + 1 {
            return;
        }
        let long = self.latency[pending.class].overdue(MISSING_SPREADS);
        // Applies to one alone too, as answers may be lost here and there. Retry tokens bound the copies.
        let lone = now + self.settings.tick >= attempt.sent + long && self.late_share < OVERLOAD_LATE_SHARE;
        if lone {
            self.record_missing_answer(now, attempt);
        }
        let copies = self.settings.limits.second_copies;
        if !(lone && copies || self.answers_missing(now)) || !self.may_send_more(now, id) {
            return;
        }
        if !copies && self.settings.limits.cancelling {
            out.push(Action::Cancel { request: id, attempt: number });
        } else if copies && let Some(i) = self.choose_endpoint(now, id) {
            self.send_copy(now, id, i, out);
        }
    }

    /// Whether a request may get one more attempt although one is in flight.
    fn may_send_more(&self, now: Duration, id: RequestId) -> bool {
        let attempts = self.requests.get(&id).map_or(0, |pending| pending.attempts.len());
        attempts < self.settings.limits.max_attempts as usize
            && self.retry_tokens >= 1.0
            && self.may_retry(now, id)
    }

    fn send_copy(&mut self, now: Duration, id: RequestId, i: usize, out: &mut Vec<Action>) {
        self.retry_tokens -= 1.0;
        self.send(now, id, i, out);
    }

    /// Handles bytes of an answer that is not complete yet.
    pub(super) fn on_answer_progress(
        &mut self,
        now: Duration,
        id: RequestId,
        number: AttemptNo,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&id).filter(|p| !p.settled()) else { return };
        let Some(attempt) = pending.attempts.get_mut(number.0 as usize) else { return };
        if attempt.run == Run::InFlight && attempt.answer_progress.replace(now).is_none() {
            self.set_timer(MIN_PAUSE, Timer::AnswerPause(id, number), out);
        }
    }

    /// Sends a second copy of an attempt whose answer has paused for too long, where copies are allowed. The
    /// first one goes on: its answer may only be slow.
    pub(super) fn on_answer_pause(
        &mut self,
        now: Duration,
        id: RequestId,
        number: AttemptNo,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&id).filter(|p| !p.settled()) else { return };
        let attempt = pending.attempts.get(number.0 as usize);
        let Some(attempt) = attempt.filter(|a| a.run == Run::InFlight) else { return };
        let Some(progress) = attempt.answer_progress else { return };
        let in_flight = pending.attempts.iter().filter(|a| a.run == Run::InFlight).count();
        let due = progress + self.tolerated_pause(pending, progress);
        if now < due {
            return self.set_timer(due - now, Timer::AnswerPause(id, number), out);
        }
        let (stopped_at, is_useful) = (attempt.endpoint, in_flight == 1 && now < pending.deadline);
        let may_copy = self.settings.limits.second_copies && is_useful && self.may_send_more(now, id);
        match if may_copy { self.choose_for_copy(now, id, stopped_at) } else { None } {
            Some(i) => self.send_copy(now, id, i, out),
            None => self.set_timer(MIN_PAUSE, Timer::AnswerPause(id, number), out),
        }
    }

    /// Chooses the endpoint of a copy, which takes the place of the stopped attempt in the window.
    fn choose_for_copy(&mut self, now: Duration, id: RequestId, stopped_at: EndpointId) -> Option<usize> {
        let counted = self.requests.get(&id).filter(|p| !p.upload).and(self.index.get(&stopped_at));
        let zone_group = counted.map(|&i| self.zone_group(i));
        let Some(zone_group) = zone_group else { return self.choose_endpoint(now, id) };
        let used = self.windows[zone_group].used;
        self.windows[zone_group].used = used.saturating_sub(1);
        let chosen = self.choose_endpoint(now, id);
        self.windows[zone_group].used = used;
        chosen
    }

    /// How long an answer may pause before a second copy is sent: as long as that copy would still be in
    /// time, within limits.
    fn tolerated_pause(&self, pending: &Pending, progress: Duration) -> Duration {
        let objective = self.settings.classes[pending.class].objective;
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean * COPY_LATENCIES);
        let needed = usual.max(objective.mul_f64(COPY_OBJECTIVE_FRACTION));
        let start_by = (pending.arrived + objective).min(pending.deadline).saturating_sub(needed);
        start_by.saturating_sub(progress).clamp(MIN_PAUSE, MAX_PAUSE)
    }

    /// Handles the end of the time in which an answer has value. One that has begun may still be given until
    /// the client gives up.
    pub(super) fn on_deadline(&mut self, now: Duration, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|p| !p.settled()) else { return };
        let left = pending.client_deadline.saturating_sub(now);
        if pending.is_answered_in_part() && !left.is_zero() {
            return self.set_timer(left, Timer::Deadline(id), out);
        }
        self.reject_or_fail(id, out);
    }
}

impl Pending {
    /// Whether an attempt in flight has begun to answer.
    fn is_answered_in_part(&self) -> bool {
        let has_begun = |a: &Attempt| a.run == Run::InFlight && a.answer_progress.is_some();
        self.attempts.iter().any(has_begun)
    }
}
