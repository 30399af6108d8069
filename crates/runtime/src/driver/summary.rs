//! What the driver logs from time to time: unusual outcomes, counts that show leaks, and memory.

use super::Driver;
use crate::process_memory::ProcessMemory;
use std::time::Duration;
use tracing::info;

/// Interval between two summaries.
pub(super) const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// The log target of these lines; log filters and readers of the log name it.
const LOG_TARGET: &str = "curlewhub_runtime::driver";

impl Driver {
    /// Logs the unusual outcomes since the last summary, and counts that show leaks: what is kept must stay in
    /// proportion to what is open and listed.
    pub(super) fn log_summary(&mut self) {
        let mut counts: Vec<_> = self.unusual_outcomes.drain().collect();
        counts.sort();
        let (open, timers, module) =
            (self.requests.len(), self.timers.len(), self.balancer.tracked_items());
        let (listed, names, links) =
            (self.addresses.len(), self.listing.endpoint_count(), self.outbound.idle_count());
        info!(
            target: LOG_TARGET,
            seconds = SUMMARY_INTERVAL.as_secs(),
            outcomes = ?counts,
            open,
            timers,
            module,
            listed,
            names,
            idle = links,
            full = self.outbound.full_refusals(),
            "summary"
        );
    }

    /// Logs the memory that is counted, by holder, beside what the process really holds, in KiB.
    pub(super) fn log_memory(&self) {
        let counted = self.budget.memory_usage();
        let held = ProcessMemory::read().unwrap_or_default();
        info!(
            target: LOG_TARGET,
            clients = counted.clients,
            endpoints = counted.endpoints,
            messages = counted.messages,
            message_limit = counted.message_limit,
            own = held.own_kib,
            file = held.file_kib,
            "memory"
        );
    }

    /// Counts an unusual outcome for the next summary.
    pub(super) fn count_outcome(&mut self, outcome: &'static str) {
        *self.unusual_outcomes.entry(outcome).or_default() += 1;
    }
}
