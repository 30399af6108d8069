//! The attempts of open requests: how they start and how they end.

use super::{Driver, outcome_name};
use crate::attempt_terms::{AttemptProgress, WriteConditions};
use crate::events::{AttemptResult, FinalResponse, Input};
use crate::request_log::{self, AttemptId};
use crate::request_status::RequestEnd;
use crate::sent_jobs::JobIdentity;
use crate::time_left::{TimeLeft, attempt_time_passed};
use curlewhub_balance::{AttemptEnded, AttemptNo, EarlierAttempt, EndpointId, Event, Outcome, RequestId};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::debug;

/// Before a send, the records of another process are read again if they were last read longer ago than this: a request that
/// is sent as it comes does not read them twice.
const MAX_JOURNAL_AGE: Duration = Duration::from_millis(5);

/// An attempt of an open request.
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    /// Where it was sent to; none if it was not sent, or has certainly not run.
    pub(super) address: Option<SocketAddr>,
    pub(super) sent_at: Instant,
    /// Dropped to cancel the attempt; none once it has ended.
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

impl Driver {
    pub(super) fn attempt_ended(&mut self, id: RequestId, attempt: AttemptNo, result: AttemptResult) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(state) = open.attempts.get_mut(attempt.0 as usize) else { return };
        if state.cancel.take().is_none() {
            return; // its outcome was already handled
        }
        open.in_flight -= 1;
        let (endpoint, sent_at) = (state.endpoint, state.sent_at);
        // Time before the body is complete is not counted as the endpoint's.
        let elapsed = if open.timeout_after_body.is_some() { Duration::ZERO } else { sent_at.elapsed() };
        let AttemptResult { outcome, body, report } = result;
        if !outcome.never_ran() {
            open.forgettable = JobIdentity::default(); // it may have been processed: the job stays remembered
        } else {
            state.address = None;
            open.window.forget(attempt);
            let forgettable = std::mem::take(&mut open.forgettable);
            if open.in_flight > 0 {
                open.forgettable = forgettable;
            } else if forgettable != JobIdentity::default() {
                open.first_send = None;
                self.sent_jobs.forget_send(forgettable);
            }
        }
        debug!(
            request = id.0,
            attempt = attempt.0,
            endpoint = self.listing.uid(endpoint),
            outcome = outcome_name(outcome),
            micros = elapsed.as_micros() as u64,
            "attempt ended"
        );
        request_log::attempt_ended(AttemptId { request: id, attempt }, outcome, elapsed);
        self.call_observer.attempt_ended((id, attempt), outcome, elapsed);
        if outcome == Outcome::TimedOut {
            self.outbound.close_idle_since(endpoint, sent_at);
        }
        if outcome == Outcome::Ok {
            self.respond(id, RequestEnd::Served(attempt), FinalResponse::Served(body));
        } else {
            self.count_outcome(outcome_name(outcome));
        }
        let finished = self.requests.get(&id).is_none_or(|open| open.reply.is_none());
        self.handle_event(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished,
            report,
        }));
        self.remove_if_done(id);
    }

    /// The first send of a request's job, if that is news: another request of the same job, or another process, was first
    /// since this request came.
    fn sent_elsewhere(&mut self, id: RequestId) -> Option<EarlierAttempt> {
        let open = self.requests.get(&id)?;
        let (job, known) = (open.job, open.first_send);
        let found = self.first_send(job, MAX_JOURNAL_AGE)?;
        known.is_none_or(|known| found.sent < known.sent).then_some(found)
    }

    /// Starts an attempt. One that must not be sent gets a number too, and ends as [`Outcome::NotSent`].
    pub(super) fn send(&mut self, id: RequestId, endpoint: EndpointId, timeout: Duration) {
        let retry_deadline = self.balancer.retry_deadline(id);
        let sent_elsewhere = self.sent_elsewhere(id);
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.status.is_abandoned() {
            open.reply = None; // its `ClientDisconnected` is still queued
        }
        let (now, attempt) = (Instant::now(), AttemptNo(open.attempts.len() as u32));
        let address = self.addresses.get(&endpoint).copied().filter(|_| !self.banned.contains(&endpoint));
        let until = (*open.deadline.borrow()).min(now + timeout);
        let must_not_send = open.reply.is_none()
            || open.attempts.len() >= self.max_attempts
            || until <= now
            || sent_elsewhere.is_some();
        let attempt_id = AttemptId { request: id, attempt };
        let Some(address) = address.filter(|_| !must_not_send) else {
            let reason =
                if sent_elsewhere.is_some() { "sent elsewhere" } else { "ended, spent, late or banned" };
            request_log::attempt_forbidden(attempt_id, reason);
            open.attempts.push(Attempt { endpoint, address: None, sent_at: now, cancel: None });
            if let Some(earlier) = sent_elsewhere {
                open.first_send = Some(earlier);
                self.pending_events.push_back(Event::EarlierAttempt { request: id, earlier });
            }
            self.pending_events.push_back(Event::AttemptEnded(AttemptEnded {
                request: id,
                attempt,
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                finished: open.reply.is_none(),
                report: None,
            }));
            return self.count_outcome(outcome_name(Outcome::NotSent));
        };
        if let Some((zone, cell)) = self.balancer.location(endpoint) {
            let sent = self.clock.now();
            let recorded = self.sent_jobs.record_send(sent, open.job, open.class, zone, cell);
            if recorded != JobIdentity::default() {
                open.forgettable = recorded;
                open.first_send.get_or_insert(EarlierAttempt { zone, cell, sent });
            }
        }
        debug!(
            request = id.0,
            attempt = attempt.0,
            endpoint = self.listing.uid(endpoint),
            list_version = self.list_status.map(|list| list.version),
            list_age_ms = self.list_status.map(|list| list.age().as_millis() as u64),
            "attempt"
        );
        request_log::attempt_started(attempt_id, &self.listing.uid(endpoint), until - now);
        let (cancel, mut cancelled) = oneshot::channel();
        open.attempts.push(Attempt {
            endpoint,
            address: Some(address),
            sent_at: now,
            cancel: Some(cancel),
        });
        open.in_flight += 1;
        // Time before the body is complete is not counted as the endpoint's.
        if open.timeout_after_body.is_none() {
            let zone = || self.balancer.location(endpoint).map(|(zone, _)| zone);
            self.call_observer.attempt_started((id, attempt), open.class, &zone);
        }
        let request = open.forwarded.for_endpoint(address);
        let time_left = match open.timeout_after_body {
            Some(response_timeout) => {
                let client = open.connection.clone();
                TimeLeft::after_body(open.deadline.subscribe(), response_timeout, client)
            }
            None => TimeLeft::until(open.deadline.subscribe(), until),
        };
        let mut deadline = open.deadline.subscribe();
        let (outbound, inbox) = (self.outbound.clone(), self.inbox.clone());
        let begin_by = retry_deadline.map(|until| now + until.saturating_sub(self.clock.now()));
        let (status, connection) = (open.status.clone(), open.connection.clone());
        let window = open.window.clone();
        let conditions =
            WriteConditions { id: attempt_id, status, connection, begin_by, window, time_left };
        spawn_local(async move {
            let progress_inbox = inbox.clone();
            let on_answer_progress = move || drop(progress_inbox.send(Input::AnswerProgress(id, attempt)));
            let progress = AttemptProgress::for_request(conditions, Box::new(on_answer_progress));
            let result = tokio::select! {
                biased;
                _ = &mut cancelled => AttemptResult::from_outcome(Outcome::Cancelled),
                result = outbound.attempt(endpoint, address, request, &progress) => result,
                () = attempt_time_passed(&mut deadline, until, &progress) => {
                    AttemptResult::from_outcome(progress.timeout_outcome())
                }
            };
            let _ = inbox.send(Input::AttemptEnded(id, attempt, result));
        });
    }
}
