//! A rate limit on the log lines of each call site, so that a repeating line cannot flood the log.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use tracing::Metadata;
use tracing::callsite::Identifier;

/// Counts and limits log lines by call site. Its size is bounded by the number of call sites in the
/// program.
pub struct CallSiteLimit {
    per_second: AtomicU32,
    call_sites: Mutex<HashMap<Identifier, CallSite>>,
}

/// The log lines of one call site: admitted in the current second, and dropped since the last report.
#[derive(Default)]
struct CallSite {
    second: u64,
    admitted: u32,
    dropped: u64,
    location: String,
}

/// Log lines of one call site that were dropped.
#[derive(Clone, Debug, PartialEq)]
pub struct DroppedLines {
    /// The call site, as `target:line`.
    pub call_site: String,
    /// How many lines.
    pub count: u64,
}

impl CallSiteLimit {
    /// Creates a limit of `per_second` lines per second for each call site.
    pub fn new(per_second: u32) -> Self {
        CallSiteLimit { per_second: per_second.into(), call_sites: Mutex::default() }
    }

    /// Changes the limit, starting with the next line.
    pub fn set(&self, per_second: u32) {
        self.per_second.store(per_second, Ordering::Relaxed);
    }

    /// Counts a line that is logged in this second of a monotonic clock, and returns whether it may be
    /// written.
    pub fn admit(&self, line: &Metadata<'_>, second: u64) -> bool {
        let mut call_sites = self.call_sites.lock().unwrap_or_else(PoisonError::into_inner);
        let call_site = call_sites.entry(line.callsite()).or_default();
        if call_site.second != second {
            call_site.second = second;
            call_site.admitted = 0;
        }
        if call_site.admitted < self.per_second.load(Ordering::Relaxed) {
            call_site.admitted += 1;
            return true;
        }
        if call_site.dropped == 0 {
            call_site.location = format!("{}:{}", line.target(), line.line().unwrap_or_default());
        }
        call_site.dropped += 1;
        false
    }

    /// Returns the lines dropped since the last call, by call site, in no particular order.
    pub fn take_dropped(&self) -> Vec<DroppedLines> {
        let mut call_sites = self.call_sites.lock().unwrap_or_else(PoisonError::into_inner);
        let limited = call_sites.values_mut().filter(|call_site| call_site.dropped > 0);
        let taken = limited.map(|call_site| DroppedLines {
            call_site: call_site.location.clone(),
            count: std::mem::take(&mut call_site.dropped),
        });
        taken.collect()
    }
}
