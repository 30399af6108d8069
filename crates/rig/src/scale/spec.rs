//! What a scale run is told: its size, its time and the events in it.

use crate::spec::{Problems, SEED_MOST};
use serde::{Deserialize, Serialize};

/// Sidecars of the operators' target, in so many services.
pub const TARGET_SIDECARS: usize = 1900;
const TARGET_SERVICES: usize = 84;
/// Calls a second of a sidecar at the target: 140,000 over 1,900.
pub const TARGET_CALLS_PER_S: f64 = 74.0;
/// Sidecars of a rack.
pub const RACK: usize = 30;
/// Zones of each region.
pub const REGIONS: [(&str, &[&str]); 3] =
    [("north", &["n1", "n2", "n3"]), ("east", &["e1", "e2"]), ("south", &["s1", "s2"])];

/// The least fleet: fewer than three sidecars a zone say nothing of a zone's loss.
const SIZE_LEAST: usize = 20;
/// Real sidecars at the most: with what they need, a run stays under 300 processes.
const REAL_MOST: usize = 100;
/// Control planes of one hollow process at the most: each has two sockets, and a connection to each server.
const PER_PROCESS_MOST: usize = 300;
/// A run lasts this long at the least, that its events fit ...
const SECONDS_LEAST: f64 = 5.0;
/// ... and at the most.
const SECONDS_MOST: f64 = 3600.0;

/// A scale run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ScaleSpec {
    /// Sidecars, real and hollow.
    pub size: usize,
    /// Of these, real processes.
    pub real: usize,
    /// For how long versions are decided and events happen.
    pub seconds: f64,
    /// All that is drawn follows from it.
    pub seed: u64,
    /// Consensus servers.
    pub servers: usize,
    /// Services; as many as there are at the target, in proportion to the size, where nothing is said.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<usize>,
    /// Control planes of one hollow process, at the most.
    pub per_process: usize,
    /// Calls a second that each hollow sidecar is drawn results for.
    pub calls_per_s: f64,
    /// Calls a second that each real sidecar is sent.
    pub real_calls_per_s: f64,
    /// All are started within this many seconds.
    pub start_within_s: f64,
    /// At the end servers are waited for until they know all members, for so many seconds at the most.
    pub members_within_s: f64,
    /// What happens.
    pub events: EventsSpec,
}

/// What happens in a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EventsSpec {
    /// A version is decided every so many seconds.
    pub version_every_s: f64,
    /// Hollow sidecars that are restarted in a minute.
    pub restarts_per_minute: f64,
    /// A rack is lost and comes back.
    pub rack: bool,
    /// The leading consensus server is killed and comes back.
    pub leader: bool,
    /// A zone is lost and comes back.
    pub zone: bool,
    /// A region is cut off and comes back.
    pub region: bool,
}

impl Default for EventsSpec {
    fn default() -> Self {
        EventsSpec {
            version_every_s: 1.0,
            restarts_per_minute: 20.0,
            rack: true,
            leader: true,
            zone: true,
            region: true,
        }
    }
}

impl EventsSpec {
    /// Versions alone.
    pub fn quiet() -> EventsSpec {
        EventsSpec {
            restarts_per_minute: 0.0,
            rack: false,
            leader: false,
            zone: false,
            region: false,
            ..EventsSpec::default()
        }
    }
}

impl Default for ScaleSpec {
    fn default() -> Self {
        ScaleSpec {
            size: 240,
            real: 0,
            seconds: 40.0,
            seed: 1,
            servers: 5,
            services: None,
            per_process: 240,
            calls_per_s: TARGET_CALLS_PER_S,
            real_calls_per_s: TARGET_CALLS_PER_S,
            start_within_s: 10.0,
            members_within_s: 15.0,
            events: EventsSpec::default(),
        }
    }
}

impl ScaleSpec {
    /// Reads a scale file.
    ///
    /// # Errors
    /// All that is wrong with it, by field.
    pub fn parse(text: &str) -> Result<ScaleSpec, String> {
        toml::from_str(text).map_err(|e| e.to_string())
    }

    /// Services: as many sidecars each as at the target, where nothing else is said.
    pub fn services(&self) -> usize {
        if let Some(services) = self.services {
            return services;
        }
        let share = self.size as f64 / TARGET_SIDECARS as f64;
        ((TARGET_SERVICES as f64 * share).round() as usize).clamp(2, TARGET_SERVICES)
    }

    /// All that makes no sense, one line for each field.
    pub fn problems(&self) -> Vec<String> {
        let mut p = Problems::default();
        let size = format!("{SIZE_LEAST} to {TARGET_SIDECARS}");
        p.wants((SIZE_LEAST..=TARGET_SIDECARS).contains(&self.size), "size", &size);
        let real = format!("0 to {REAL_MOST}, and no more than `size`");
        p.wants(self.real <= REAL_MOST.min(self.size), "real", &real);
        let seconds = format!("{SECONDS_LEAST} to {SECONDS_MOST}");
        p.wants((SECONDS_LEAST..=SECONDS_MOST).contains(&self.seconds), "seconds", &seconds);
        p.wants(self.seed <= SEED_MOST, "seed", "0 to 9223372036854775807");
        p.wants(matches!(self.servers, 3 | 5), "servers", "3 or 5");
        let services = self.services.is_none_or(|n| (2..=TARGET_SERVICES).contains(&n) && n <= self.size);
        p.wants(services, "services", &format!("2 to {TARGET_SERVICES}, and no more than `size`"));
        let planes = format!("1 to {PER_PROCESS_MOST}");
        p.wants((1..=PER_PROCESS_MOST).contains(&self.per_process), "per_process", &planes);
        p.wants(rate(self.calls_per_s, 10_000.0), "calls_per_s", "over 0, up to 10000");
        p.wants(rate(self.real_calls_per_s, 10_000.0), "real_calls_per_s", "over 0, up to 10000");
        p.wants((0.0..=60.0).contains(&self.start_within_s), "start_within_s", "0 to 60");
        p.wants((0.0..=600.0).contains(&self.members_within_s), "members_within_s", "0 to 600");
        let events = &self.events;
        let every = (0.05..=60.0).contains(&events.version_every_s);
        p.wants(every, "events.version_every_s", "0.05 to 60");
        let restarts = (0.0..=6000.0).contains(&events.restarts_per_minute);
        p.wants(restarts, "events.restarts_per_minute", "0 to 6000");
        p.0
    }
}

fn rate(value: f64, most: f64) -> bool {
    value > 0.0 && value <= most
}
