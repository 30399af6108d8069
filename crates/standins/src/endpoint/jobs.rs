//! The jobs of an endpoint: what it submits to its machine, and what happens to that.

use super::Endpoint;
use crate::ledger::{KeyedJob, Ledger};
use crate::machine::{Happened, JobId, Offered};
use serde_json::json;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// The key of a job, and for how long its repeats are dropped.
pub(super) struct JobKey {
    pub(super) key: String,
    pub(super) window: Duration,
}

/// A request that the machine works on.
pub(super) struct Job {
    ended: oneshot::Sender<Happened>,
    key: Option<JobKey>,
    request_id: String,
}

/// A job that was submitted, and how its end is told.
pub(super) struct Submitted {
    pub(super) job: JobId,
    pub(super) ended: oneshot::Receiver<Happened>,
}

impl Job {
    fn key(&self) -> Option<&str> {
        self.key.as_ref().map(|key| &key.key[..])
    }
}

impl Endpoint {
    /// Runs the machine, and handles what happens to its jobs.
    pub(super) async fn run_jobs(&self) {
        loop {
            let now = self.world.now();
            let events = self.machine.borrow_mut().poll(now);
            for event in events {
                self.handle(event, now);
            }
            let next = self.machine.borrow().next();
            tokio::select! {
                () = self.work.notified() => {}
                () = sleep_until(self.world.start + next.unwrap_or_default()), if next.is_some() => {}
            }
        }
    }

    fn handle(&self, event: Happened, now: Duration) {
        let mut jobs = self.jobs.borrow_mut();
        let (Happened::Began(id) | Happened::Done(id) | Happened::Expired(id)) = event;
        if let Happened::Began(id) = event {
            let Some(job) = jobs.get(&id) else { return };
            let keyed = job.key.as_ref().map(|key| self.keyed_job(key));
            let is_repeat =
                keyed.is_some_and(|keyed| self.world.ledger(|ledger| ledger.is_repeat(keyed, now)));
            if !is_repeat {
                self.log("ran", &job.request_id, job.key());
                return self.world.ledger(|ledger| ledger.ran(&self.spec.id, keyed, now));
            }
            self.log("repeat", &job.request_id, job.key());
            self.machine.borrow_mut().cancel(now, id); // it goes on if running work can't be stopped
        }
        if matches!(event, Happened::Done(_)) {
            self.world.ledger(Ledger::finished);
            if let Some(job) = jobs.get(&id) {
                self.log("done", &job.request_id, job.key());
            }
        }
        if let Some(job) = jobs.remove(&id) {
            let _ = job.ended.send(event); // its connection may be closed
        }
    }

    /// A job of this key, as the endpoints of this one's zone see it.
    pub(super) fn keyed_job<'a>(&'a self, key: &'a JobKey) -> KeyedJob<'a> {
        KeyedJob { key: &key.key, group: &self.spec.zone, window: key.window }
    }

    /// Writes an event of a request into the request log.
    pub(super) fn log(&self, what: &str, request_id: &str, key: Option<&str>) {
        let event = || json!({"what": what, "endpoint": self.spec.id, "id": request_id, "key": key});
        self.world.request_log.note(event);
    }

    /// Submits a request's work, in seconds, to the machine; none if its queue is full.
    pub(super) fn submit(
        &self,
        request_id: &str,
        key: Option<JobKey>,
        now: Duration,
        work: f64,
        timeout: Duration,
    ) -> Option<Submitted> {
        let job = self.next.get();
        self.next.set(job + 1);
        if self.machine.borrow_mut().offer(now, job, work, now + timeout) == Offered::Full {
            return None;
        }
        let (sender, ended) = oneshot::channel();
        let request_id = request_id.to_owned();
        self.jobs.borrow_mut().insert(job, Job { ended: sender, key, request_id });
        self.work.notify_one();
        Some(Submitted { job, ended })
    }
}
