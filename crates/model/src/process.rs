//! One process of a modelled sidecar: the decision module, and what the driver keeps beside it.

use crate::decider::Decider;
use curlewhub_balance::AttemptNo;
use curlewhub_keys::KeyTable;
use curlewhub_overlap_quota::{Demand, OverlapQuota};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A request until it is answered and all its attempts have ended.
pub(crate) struct Open {
    pub(crate) call: u64,
    pub(crate) answered: bool,
    /// Its own first send is the one that is remembered of its key, and nothing says yet that it may have run.
    pub(crate) noted: bool,
    pub(crate) until: Duration,
    /// Attempts by number: the flight, while it is out.
    pub(crate) tries: Vec<Option<u64>>,
}

/// An attempt on its way, at its endpoint, or on its way back.
pub(crate) struct Flight {
    pub(crate) process: usize,
    pub(crate) request: u64,
    pub(crate) number: AttemptNo,
    pub(crate) endpoint: usize,
    pub(crate) call: u64,
    pub(crate) sent: Duration,
    pub(crate) until: Duration,
    /// Its process has heard of its end, or is gone.
    pub(crate) over: bool,
    /// Its endpoint is done with it, or will never see it.
    pub(crate) left: bool,
}

/// A process.
pub(crate) struct Process {
    pub(crate) decider: Decider,
    pub(crate) sidecar: usize,
    pub(crate) zone: u32,
    pub(crate) alive: bool,
    pub(crate) accepts: bool,
    pub(crate) next_request: u64,
    /// In order, so that a run does not hang on how a table is laid out.
    pub(crate) open: BTreeMap<u64, Open>,
    /// Idle connections by endpoint, and when one was last used.
    idle: HashMap<usize, (u32, Duration)>,
    pub(crate) shares: OverlapQuota,
    pub(crate) need: Demand,
    /// Where keyed jobs may have run; used where that is lost with the process.
    pub(crate) keys: KeyTable,
}

impl Process {
    pub(crate) fn new(decider: Decider, sidecar: usize, zone: u32) -> Self {
        let (open, idle, shares, need, keys) = Default::default();
        let (alive, accepts, next_request) = (true, false, 0);
        Process { decider, sidecar, zone, alive, accepts, next_request, open, idle, shares, need, keys }
    }

    /// Takes a connection to an endpoint; whether it is an idle one.
    pub(crate) fn connect(&mut self, endpoint: usize, now: Duration, idle_close: Duration) -> bool {
        match self.idle.get_mut(&endpoint) {
            Some((count, used)) if *count > 0 && now.saturating_sub(*used) < idle_close => {
                *count -= 1;
                true
            }
            Some(idle) => {
                idle.0 = 0;
                false
            }
            None => false,
        }
    }

    /// Leaves a connection idle.
    pub(crate) fn leave(&mut self, endpoint: usize, now: Duration) {
        let idle = self.idle.entry(endpoint).or_default();
        *idle = (idle.0 + 1, now);
    }

    /// Closes the idle ones.
    pub(crate) fn close_idle(&mut self, endpoint: usize) {
        self.idle.remove(&endpoint);
    }

    /// Forgets a request of which nothing more can be heard.
    pub(crate) fn tidy(&mut self, request: u64) {
        if self
            .open
            .get(&request)
            .is_some_and(|open| open.answered && open.tries.iter().all(Option::is_none))
        {
            self.open.remove(&request);
        }
    }
}
