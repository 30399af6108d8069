//! Who decides for a process: the real decision module, or a baseline beside it.

use crate::baselines::{Decisions, Plain, Truth};
use crate::clients::stream;
use curlewhub_balance::{Action, Balancer, Event, Settings, ShareTransfer, Snapshot};
use rand::RngCore;
use std::time::Duration;

pub(crate) enum Decider {
    Module(Box<Balancer>),
    Plain(Box<Plain>),
}

impl Decider {
    /// Of this kind, for the process that this number names. The settings have been checked.
    pub(crate) fn new(rule: Decisions, settings: Settings, seed: u64, process: u64, now: Duration) -> Self {
        let mut draws = stream(seed, "module", process);
        match rule {
            Decisions::Module => {
                let module = Balancer::new(settings, draws.next_u64(), now);
                Decider::Module(Box::new(module.expect("the scenario has been checked")))
            }
            rule => Decider::Plain(Box::new(Plain::new(rule, settings, draws))),
        }
    }

    pub(crate) fn handle(&mut self, now: Duration, event: Event, truth: Truth<'_>, out: &mut Vec<Action>) {
        match self {
            Decider::Module(module) => module.handle(now, event, out),
            Decider::Plain(plain) => plain.handle(now, event, truth, out),
        }
    }

    /// What it has learnt; a baseline learns nothing that it would hand on.
    pub(crate) fn snapshot(&self, now: Duration) -> Option<Snapshot> {
        match self {
            Decider::Module(module) => Some(module.snapshot(now)),
            Decider::Plain(_) => None,
        }
    }

    pub(crate) fn restore(&mut self, now: Duration, snapshot: &Snapshot) {
        if let Decider::Module(module) = self {
            module.restore(now, snapshot);
        }
    }

    /// Whether it parts what it may use with a process beside it.
    pub(crate) fn shares(&self) -> bool {
        matches!(self, Decider::Module(_))
    }

    pub(crate) fn holds_nothing(&mut self, now: Duration) {
        if let Decider::Module(module) = self {
            module.begin_without_share(now);
        }
    }

    pub(crate) fn gives(&mut self, now: Duration, share: f64) -> Option<ShareTransfer> {
        match self {
            Decider::Module(module) => Some(module.release_share(now, share)),
            Decider::Plain(_) => None,
        }
    }

    pub(crate) fn gains(
        &mut self,
        now: Duration,
        share: f64,
        portion: Option<&ShareTransfer>,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        if let Decider::Module(module) = self {
            module.acquire_share(now, share, portion, &mut out);
        }
        out
    }
}
