//! Connection quota: how many connections one of many sidecars may hold and open to each endpoint.
//!
//! An endpoint accepts a limited number of connections. All sidecars share that number without talking to each other.
//! Where the operator states it, each sidecar keeps to its fraction. Where nobody does, refusals show it: a refused
//! connect while other connections of this sidecar to the endpoint are up means that the endpoint's connection table
//! is full, and not that the endpoint is down. The sidecar then works with what it holds. It tries one more connection
//! after an exponential backoff with full jitter, so that sidecars refused together do not come back together.
//!
//! [`ConnectionQuota`] performs no I/O: it is given events and the time, and decides whether to open a connection.

#![warn(clippy::too_many_lines)]

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::HashMap;
use std::time::Duration;

/// The maximum number of connects that all sidecars together may have pending at one endpoint, if each keeps to its
/// fraction. A handshake costs the endpoint up to about 8 ms of CPU time, so this many keep one core busy for half a
/// second.
pub const MAX_PENDING_CONNECTS: u32 = 64;
/// The maximum wait after the first refusal by a full endpoint; it doubles with each consecutive refusal, up to
/// [`MAX_BACKOFF`].
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The maximum wait after any refusal. With full jitter, an endpoint that stays full costs each sidecar one connect
/// in five seconds on average.
pub const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// The settings of a quota, fixed while a sidecar runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSettings {
    /// Sidecars that may use each endpoint, this one included; 0 counts as 1.
    pub sidecars: u32,
    /// The number of connections that an endpoint accepts from all sidecars together, if known.
    pub endpoint_limit: Option<u32>,
}

impl QuotaSettings {
    /// The connections that this sidecar may hold to one endpoint: its fraction, and at least one.
    pub fn max_established(&self) -> u32 {
        self.endpoint_limit.map_or(u32::MAX, |limit| (limit / self.sidecars.max(1)).max(1))
    }

    /// The connects that this sidecar may have pending at one endpoint.
    pub fn max_pending(&self) -> u32 {
        (MAX_PENDING_CONNECTS / self.sidecars.max(1)).max(1)
    }

    /// How long to keep an idle connection, at most `max_idle`. The timeout is shorter if the endpoint accepts fewer
    /// connections than there are sidecars, so that all of them get one in turn.
    pub fn idle_timeout(&self, max_idle: Duration) -> Duration {
        let Some(limit) = self.endpoint_limit else { return max_idle };
        let fraction = f64::from(limit) / f64::from(self.sidecars.max(1));
        max_idle.mul_f64(fraction.min(1.0))
    }
}

/// Whether a connection may be opened now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Yes. The connection is counted from now on, and the caller must report how the connect ends.
    Open,
    /// Not before a pending connect has succeeded or failed, or a connection has become idle.
    Wait,
    /// No: the sidecar has reached its limit, or the endpoint refused a connect as full and the backoff still runs.
    Full,
}

/// What a refused connect says about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The endpoint accepts no more connections; established ones go on.
    Full,
    /// This sidecar has no connection to it: the endpoint may be down.
    Unknown,
}

/// The connections to one endpoint.
#[derive(Debug, Default)]
struct Connections {
    /// Established, idle or in use.
    established: u32,
    /// Connects that have not succeeded or failed yet.
    pending: u32,
    /// How many were established when the endpoint last refused one as full, or more if it has accepted more since.
    learned_limit: Option<u32>,
    /// Consecutive refusals by a full endpoint.
    refusals: u32,
    /// No connect beyond the learned limit before this time.
    retry_at: Duration,
}

impl Connections {
    fn total(&self) -> u32 {
        self.established + self.pending
    }

    /// The limit learned from refusals; after the backoff it is one higher, to try whether there is capacity again.
    fn learned_limit_at(&self, now: Duration) -> u32 {
        match self.learned_limit {
            Some(limit) if now >= self.retry_at => limit.saturating_add(1),
            Some(limit) => limit,
            None => u32::MAX,
        }
    }
}

/// Counts of established and pending connections by endpoint. It has an entry for each endpoint with a connection
/// established or pending, and for no other.
#[derive(Debug)]
pub struct ConnectionQuota {
    settings: QuotaSettings,
    rng: Pcg32,
    endpoints: HashMap<u64, Connections>,
    full_refusals: u64,
}

impl ConnectionQuota {
    /// A quota with no connections yet. The seed is for the jitter of backoffs.
    pub fn new(settings: QuotaSettings, seed: u64) -> Self {
        let (endpoints, rng) = (HashMap::new(), Pcg32::seed_from_u64(seed));
        ConnectionQuota { settings, rng, endpoints, full_refusals: 0 }
    }

    /// Returns the settings that the quota was created with.
    pub fn settings(&self) -> QuotaSettings {
        self.settings
    }

    /// Decides whether a connection may be opened, and counts it as pending if the result is [`Admission::Open`].
    pub fn admit(&mut self, now: Duration, endpoint: u64) -> Admission {
        let settings = self.settings;
        let connections = self.endpoints.entry(endpoint).or_default();
        let limit = settings.max_established().min(connections.learned_limit_at(now).max(1));
        if connections.total() >= limit {
            // A pending connect may still fail, which leaves its place to this one.
            return if connections.pending > 0 { Admission::Wait } else { Admission::Full };
        }
        if connections.pending >= settings.max_pending() {
            return Admission::Wait;
        }
        connections.pending += 1;
        Admission::Open
    }

    /// A connect succeeded.
    pub fn connect_succeeded(&mut self, endpoint: u64) {
        let Some(connections) = self.endpoints.get_mut(&endpoint) else { return };
        connections.pending = connections.pending.saturating_sub(1);
        connections.established += 1;
        if connections.learned_limit.is_some_and(|limit| connections.established > limit) {
            connections.learned_limit = Some(connections.established);
            connections.refusals = 0;
        }
    }

    /// A connect was refused; returns what that says about the endpoint.
    pub fn connect_refused(&mut self, now: Duration, endpoint: u64) -> Refusal {
        let Some(connections) = self.endpoints.get_mut(&endpoint) else { return Refusal::Unknown };
        connections.pending = connections.pending.saturating_sub(1);
        if connections.established == 0 {
            self.remove_if_unused(endpoint);
            return Refusal::Unknown;
        }
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << connections.refusals.min(16)).min(MAX_BACKOFF);
        connections.refusals = connections.refusals.saturating_add(1);
        connections.learned_limit = Some(connections.established);
        connections.retry_at = now + backoff.mul_f64(self.rng.random::<f64>());
        self.full_refusals += 1;
        Refusal::Full
    }

    /// A connect failed in another way, or was abandoned: that says nothing about the endpoint's limit.
    pub fn connect_failed(&mut self, endpoint: u64) {
        if let Some(connections) = self.endpoints.get_mut(&endpoint) {
            connections.pending = connections.pending.saturating_sub(1);
        }
        self.remove_if_unused(endpoint);
    }

    /// An established connection has ended.
    pub fn connection_closed(&mut self, endpoint: u64) {
        if let Some(connections) = self.endpoints.get_mut(&endpoint) {
            connections.established = connections.established.saturating_sub(1);
        }
        self.remove_if_unused(endpoint);
    }

    /// Established and pending connections to an endpoint.
    pub fn count(&self, endpoint: u64) -> u32 {
        self.endpoints.get(&endpoint).map_or(0, Connections::total)
    }

    /// The number of endpoints with connections.
    pub fn endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// The number of connects that full endpoints have refused.
    pub fn full_refusals(&self) -> u64 {
        self.full_refusals
    }

    /// Forgets an endpoint without connections, and its learned limit: it may have restarted with no connections.
    fn remove_if_unused(&mut self, endpoint: u64) {
        if self.count(endpoint) == 0 {
            self.endpoints.remove(&endpoint);
        }
    }
}

/// The old name of [`ConnectionQuota`], for one release.
pub use ConnectionQuota as Links;

/// The old name of [`QuotaSettings`], for one release.
pub use QuotaSettings as Terms;

/// The old name of [`Admission`], for one release.
pub use Admission as Leave;
