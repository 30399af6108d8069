//! The settings of one run, drawn from its seed.

use rand::Rng;
use rand_pcg::Pcg32;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest deadlines of a run's classes, in milliseconds.
const DEADLINES_MS: [f64; 4] = [700.0, 1200.0, 2000.0, 3000.0];
/// Descriptors of a sidecar, where idle clients fill them.
const CROWDED_SOCKETS: u32 = 160;
const SOCKETS: u32 = 1024;
/// Version of the list that a sidecar starts with.
pub const LIST_VERSION: u64 = 7;
/// The protocol page's longest deadline, and the time behind it until SIGKILL.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const KILL_SLACK: Duration = Duration::from_millis(700);

/// What the sidecars of a run are told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether a request may have two attempts at once.
    pub second_copies: bool,
    /// The longest deadline of a class.
    pub deadline: Duration,
    /// Answers after the objective are worth something.
    pub late_value: f64,
    /// How long a keyed request may be repeated.
    pub window: Duration,
    /// Time in which a connection to an endpoint comes up.
    pub connect_timeout: Duration,
    /// Sidecars that share the endpoints.
    pub sidecars: usize,
    /// Idle clients fill the descriptors.
    pub is_crowded: bool,
}

impl Settings {
    /// Draws the settings of a run.
    pub fn draw(random: &mut Pcg32, sidecars: usize, is_crowded: bool) -> Settings {
        let deadline_ms = DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())];
        Settings {
            cancelling: random.random_bool(0.5),
            second_copies: random.random_bool(0.7),
            deadline: Duration::from_secs_f64(deadline_ms / 1000.0),
            late_value: if random.random_bool(0.5) { 0.0 } else { 0.5 },
            window: Duration::from_millis(random.random_range(500..4000)),
            connect_timeout: Duration::from_millis(random.random_range(120..1800)),
            sidecars,
            is_crowded,
        }
    }

    /// The earliest time behind SIGTERM at which SIGKILL may come.
    pub fn kill_after(&self) -> Duration {
        self.deadline.min(MAX_DEADLINE) + KILL_SLACK
    }

    /// The configuration file of a sidecar.
    pub fn config(
        &self,
        number: usize,
        listen: SocketAddr,
        operator: SocketAddr,
        discovery: SocketAddr,
        targets: &[Value],
    ) -> Value {
        let deadline_ms = self.deadline.as_secs_f64() * 1000.0;
        let class = |name: &str, semantics: &str| {
            json!({"name": name, "semantics": semantics, "group": "all",
                   "repeatWindowMs": self.window.as_millis() as f64, "objectiveMs": deadline_ms * 0.6,
                   "deadlineMs": deadline_ms, "worth": 1.0, "lateValue": self.late_value})
        };
        let sockets = if self.is_crowded { CROWDED_SOCKETS } else { SOCKETS };
        json!({
            "name": format!("n{number}"), "listen": listen.to_string(), "operator": operator.to_string(),
            "discovery": discovery.to_string(), "seed": format!("{:016x}", 0x5eed_0000 + number as u64),
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": sockets},
            "known": {"rev": LIST_VERSION, "all": true, "targets": targets},
            "settings": {
                "areas": ["a", "b"], "kinds": ["m"], "tiers": ["t"], "stage": 0,
                "balancers": self.sidecars, "me": number, "myZone": 0, "discovery": "subscribe",
                "classes": [class("quote", "safe"), class("book", "unsafe"), class("pay", "keyed")],
                "tenants": [{"name": "acme", "allowancePerS": 100_000.0, "portion": 1.0}],
                "limits": {"cancelling": self.cancelling, "secondCopies": self.second_copies, "maxAttempts": 4,
                           "connectTimeoutMs": self.connect_timeout.as_millis() as f64,
                           "idleCloseMs": 8000.0, "retryAfter": true, "maxRetryAfterMs": 2000.0,
                           "streamsPerConn": 1},
                "rules": {"askWithinMs": 4000.0, "coldShare": 0.4, "warmWithinMs": 5000.0,
                          "drainGraceMs": 2000.0, "fallMs": 1500.0, "fallMultiple": 4.0,
                          "graceToAnswerMs": 20.0}
            }
        })
    }
}

/// An endpoint's entry in the list.
pub fn target(number: usize, address: SocketAddr) -> Value {
    json!({"uid": format!("s-{number}"), "endpoint": address.to_string(), "az": "a", "model": "m",
           "pod_group": 1, "state": "up", "capacity_hint": 1.0, "boot_ms": 0})
}
