//! Metrics of the process, as the operator address reports them. Each counter is incremented once, when the
//! event that it counts ends; a report recomputes no counter.
//!
//! A request is received once its last byte has arrived, and in flight from then until its response has
//! been handed over to its client's connection. It ends in exactly one counter: `success` if an endpoint's
//! response was forwarded to its end, `busy` if the request was refused, `failure` otherwise: failed,
//! malformed, cut off, or abandoned by its client before the response. A request of unknown class is
//! counted under the class `unknown`.

use crate::events::ListStatus;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// Prefix of all metric names.
const PREFIX: &str = "router";
/// Class under which requests are counted that name no known class.
const UNKNOWN: &str = "unknown";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// Served.
    Success,
    /// Refused.
    Busy,
    /// Anything else.
    Failure,
}

struct Class {
    name: String,
    success: Cell<u64>,
    busy: Cell<u64>,
    failure: Cell<u64>,
}

/// The current state of the endpoints, as the driver and the balancer see it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSummary {
    /// Number of listed endpoints.
    pub listed: usize,
    /// How many of them are avoided: banned by an operator, leaving, or failing.
    pub down: usize,
    /// Share of the sidecar's limits that this process holds, in 64ths: fewer than 64 while another process
    /// of the same sidecar runs.
    pub parts: u32,
    /// Status of the list, if it comes from discovery.
    pub list: Option<ListStatus>,
}

/// All metrics, counted since the start of the process.
pub struct Metrics {
    /// The configured classes, followed by the unknown class.
    classes: Vec<Class>,
    backend_calls: Cell<u64>,
    in_flight: Cell<u64>,
    reconfig_ok: Cell<u64>,
    reconfig_failed: Cell<u64>,
    snapshot_ok: Cell<u64>,
    snapshot_failed: Cell<u64>,
    keys: Cell<u64>,
    keys_failed: Cell<u64>,
    /// Metrics that other parts of the process supply: those of the fleet, if the sidecar is in one.
    external: RefCell<Vec<ExternalMetric>>,
}

/// A metric that another part of the process supplies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExternalMetric {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: u64,
    /// A counter, which never decreases; otherwise a gauge.
    pub is_counter: bool,
}

/// Metrics of one request; it is counted when this is dropped.
pub struct RequestMetrics {
    metrics: Rc<Metrics>,
    class: usize,
    received: bool,
    outcome: RequestOutcome,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Metrics {
    /// Metrics for these classes, all zero.
    pub fn new(classes: impl Iterator<Item = String>) -> Rc<Self> {
        let class = |name| {
            let (success, busy, failure) = Default::default();
            Class { name, success, busy, failure }
        };
        let classes = classes.chain([UNKNOWN.to_owned()]).map(class).collect();
        let (backend_calls, in_flight, reconfig_ok, reconfig_failed) = Default::default();
        let (snapshot_ok, snapshot_failed, keys, keys_failed) = Default::default();
        Rc::new(Metrics {
            classes,
            backend_calls,
            in_flight,
            reconfig_ok,
            reconfig_failed,
            snapshot_ok,
            snapshot_failed,
            keys,
            keys_failed,
            external: RefCell::default(),
        })
    }

    /// Starts to count a request of which the first bytes have arrived. `class` is none if it names no
    /// known class. It counts as a failure unless another outcome is set.
    pub fn start_request(self: &Rc<Self>, class: Option<usize>) -> RequestMetrics {
        let unknown = self.classes.len() - 1;
        let class = class.unwrap_or(unknown).min(unknown);
        RequestMetrics { metrics: self.clone(), class, received: false, outcome: RequestOutcome::Failure }
    }

    /// Records an attempt that was written completely to an endpoint.
    pub fn record_attempt(&self) {
        increment(&self.backend_calls);
    }

    /// Records whether a new configuration was applied.
    pub fn record_reconfiguration(&self, ok: bool) {
        increment(if ok { &self.reconfig_ok } else { &self.reconfig_failed });
    }

    /// Records whether a snapshot was written to its file.
    pub fn record_snapshot(&self, ok: bool) {
        increment(if ok { &self.snapshot_ok } else { &self.snapshot_failed });
    }

    /// Records the number of remembered keys, and how many more could not be written to the journal.
    pub fn record_keys(&self, remembered: usize, failed_writes: usize) {
        self.keys.set(remembered as u64);
        self.keys_failed.set(self.keys_failed.get() + failed_writes as u64);
    }

    /// Replaces the metrics that other parts of the process supply.
    pub fn set_external(&self, metrics: Vec<ExternalMetric>) {
        *self.external.borrow_mut() = metrics;
    }

    /// Reports all metrics, one per line.
    pub fn report(&self, hosts: EndpointSummary) -> String {
        let mut text = String::new();
        let mut line = |name: &str, class: &str, value: u64, kind: &str| {
            let dot = if class.is_empty() { "" } else { "." };
            let _ = writeln!(text, "{PREFIX}.{name}{dot}{class}:{value}|{kind}"); // to a String: never fails
        };
        for class in &self.classes {
            line("success", &class.name, class.success.get(), "c");
            line("busy", &class.name, class.busy.get(), "c");
            line("failure", &class.name, class.failure.get(), "c");
        }
        line("backend_calls", "", self.backend_calls.get(), "c");
        line("reconfig_ok", "", self.reconfig_ok.get(), "c");
        line("reconfig_failed", "", self.reconfig_failed.get(), "c");
        line("snapshot_ok", "", self.snapshot_ok.get(), "c");
        line("snapshot_failed", "", self.snapshot_failed.get(), "c");
        line("keys_failed", "", self.keys_failed.get(), "c");
        line("keys", "", self.keys.get(), "g");
        line("inflight", "", self.in_flight.get(), "g");
        line("hosts_listed", "", hosts.listed as u64, "g");
        line("hosts_down", "", hosts.down as u64, "g");
        line("share_parts", "", u64::from(hosts.parts), "g");
        if let Some(list) = hosts.list {
            line("list_version", "", list.version, "g");
            line("list_age_ms", "", list.age().as_millis() as u64, "g");
        }
        for &ExternalMetric { name, value, is_counter } in self.external.borrow().iter() {
            line(name, "", value, if is_counter { "c" } else { "g" });
        }
        text
    }
}

impl RequestMetrics {
    /// Records that the last byte of the request has arrived.
    pub fn record_received(&mut self) {
        if !std::mem::replace(&mut self.received, true) {
            increment(&self.metrics.in_flight);
        }
    }

    /// Sets the outcome under which the request will be counted.
    pub fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        let class = &self.metrics.classes[self.class];
        increment(match self.outcome {
            RequestOutcome::Success => &class.success,
            RequestOutcome::Busy => &class.busy,
            RequestOutcome::Failure => &class.failure,
        });
        if self.received {
            self.metrics.in_flight.set(self.metrics.in_flight.get() - 1);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_request_is_counted_under_exactly_one_outcome() {
        let metrics = Metrics::new(["a", "b"].map(str::to_owned).into_iter());
        let ends = [
            (Some(0), Some(RequestOutcome::Success)),
            (Some(0), Some(RequestOutcome::Busy)),
            (Some(1), Some(RequestOutcome::Failure)),
            (Some(1), None), // its client left: no outcome was set
            (None, Some(RequestOutcome::Failure)),
            (Some(9), Some(RequestOutcome::Failure)),
        ];
        let mut open = Vec::new();
        for (class, outcome) in ends {
            let mut request = metrics.start_request(class);
            request.record_received();
            request.record_received();
            outcome.into_iter().for_each(|outcome| request.set_outcome(outcome));
            open.push(request);
        }
        let hosts = EndpointSummary { listed: 3, down: 1, parts: 64, list: None };
        assert!(metrics.report(hosts).contains("router.inflight:6|g\n"));
        drop(open);
        metrics.record_attempt();
        metrics.record_reconfiguration(true);
        let want = "router.success.a:1|c\nrouter.busy.a:1|c\nrouter.failure.a:0|c\n\
                    router.success.b:0|c\nrouter.busy.b:0|c\nrouter.failure.b:2|c\n\
                    router.success.unknown:0|c\nrouter.busy.unknown:0|c\nrouter.failure.unknown:2|c\n\
                    router.backend_calls:1|c\nrouter.reconfig_ok:1|c\nrouter.reconfig_failed:0|c\n\
                    router.snapshot_ok:0|c\nrouter.snapshot_failed:0|c\n\
                    router.keys_failed:0|c\nrouter.keys:0|g\n\
                    router.inflight:0|g\nrouter.hosts_listed:3|g\nrouter.hosts_down:1|g\nrouter.share_parts:64|g\n";
        assert_eq!(metrics.report(hosts), want);
    }
}
