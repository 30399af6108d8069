//! The window in which the attempts of one request may begin, counted from the first of them that may have run.

use curlewhub_balance::AttemptNo;
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

/// When the attempts of one request began, as far as they may have run. Whichever begins first opens the window for all
/// others, also for one that was started before it.
#[derive(Debug, Default)]
pub struct RepeatWindow {
    /// None if the request may be repeated at any time, or not at all.
    length: Option<Duration>,
    begun: RefCell<Vec<(AttemptNo, Instant)>>,
}

impl RepeatWindow {
    /// A window of this length, which no attempt has opened.
    pub fn new(length: Option<Duration>) -> Self {
        RepeatWindow { length, begun: RefCell::default() }
    }

    /// Until when this attempt may begin; none if nothing limits it.
    pub fn ends_at(&self, attempt: AttemptNo) -> Option<Instant> {
        let begun = self.begun.borrow();
        let others = begun.iter().filter(|(other, _)| *other != attempt);
        let opened_at = others.map(|(_, at)| *at).min()?;
        Some(opened_at + self.length?)
    }

    /// Records that an attempt begins now: its last byte is written.
    pub fn record_begin(&self, attempt: AttemptNo) {
        if self.length.is_some() {
            self.forget(attempt);
            self.begun.borrow_mut().push((attempt, Instant::now()));
        }
    }

    /// Forgets an attempt that has certainly not run.
    pub fn forget(&self, attempt: AttemptNo) {
        self.begun.borrow_mut().retain(|(other, _)| *other != attempt);
    }
}
