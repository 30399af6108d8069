//! The size that the operators expect, and what they allow a process at that size.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What a quantity may grow with.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// Sidecars of the fleet.
    Sidecars,
    /// Endpoints of the largest called service.
    EndpointsPerService,
    /// Services that one endpoint calls.
    ServicesCalled,
    /// Zones.
    Zones,
    /// Consensus servers.
    ConsensusServers,
    /// Pairs of a service and a zone that evidence may tell of.
    Places,
    /// Calls a second of one sidecar.
    CallsPerSecond,
    /// Levels of a chain of calls.
    Depth,
    /// Changes of configuration a day.
    ChangesPerDay,
    /// Restarts a day.
    RestartsPerDay,
    /// Part of the sidecars that fails at once, in percent.
    PercentFailing,
    /// Keys that the view holds.
    ViewKeys,
}

/// Sidecars, each beside one endpoint.
pub const SIDECARS: f64 = 1_900.0;
/// Services.
pub const SERVICES: f64 = 84.0;
/// Zones.
pub const ZONES: f64 = 7.0;
/// Regions.
pub const REGIONS: f64 = 3.0;
/// Calls a second of the whole fleet.
pub const CALLS_PER_SECOND: f64 = 140_000.0;
/// Levels of the deepest chain of calls.
pub const DEPTH: f64 = 12.0;
/// Changes of configuration a day.
pub const CHANGES_PER_DAY: f64 = 840.0;
/// Restarts and replacements a day.
pub const RESTARTS_PER_DAY: f64 = 360.0;
/// Machines set aside for control.
pub const CONTROL_MACHINES: f64 = 21.0;
/// Sidecars that a rack or a switch takes with it.
pub const RACK: f64 = 30.0;
/// Sidecars of a zone.
pub const ZONE: f64 = 271.0;
/// Endpoints of the largest service; the hard case.
pub const ENDPOINTS_OF_LARGEST_SERVICE: f64 = 400.0;
/// Consensus servers, one in each zone.
pub const CONSENSUS_SERVERS: f64 = ZONES;
/// Bytes a second that control may take of a sidecar: "3 KB a second".
pub const ALLOWED_BYTES_PER_SECOND: f64 = 3_000.0;
/// Memory that control may take of a sidecar, in bytes: "128 MB".
pub const ALLOWED_MEMORY: f64 = 128e6;
/// Part of a core that control may take of a sidecar: "1.5% of a core".
pub const ALLOWED_CORE: f64 = 0.015;
/// Time within which a change is in force everywhere.
pub const ALLOWED_SPREAD_SECONDS: f64 = 15.0;
/// Microseconds that a sidecar may add to a call for 99 in 100: "0.76 ms".
pub const ALLOWED_ADDED_MICROSECONDS: f64 = 760.0;

impl Dimension {
    /// All dimensions.
    pub const ALL: [Dimension; 12] = [
        Dimension::Sidecars,
        Dimension::EndpointsPerService,
        Dimension::ServicesCalled,
        Dimension::Zones,
        Dimension::ConsensusServers,
        Dimension::Places,
        Dimension::CallsPerSecond,
        Dimension::Depth,
        Dimension::ChangesPerDay,
        Dimension::RestartsPerDay,
        Dimension::PercentFailing,
        Dimension::ViewKeys,
    ];

    /// Its size at the target.
    pub fn target(self) -> f64 {
        match self {
            Dimension::Sidecars => SIDECARS,
            Dimension::EndpointsPerService => ENDPOINTS_OF_LARGEST_SERVICE,
            Dimension::ServicesCalled => SERVICES,
            Dimension::Zones => ZONES,
            Dimension::ConsensusServers => CONSENSUS_SERVERS,
            Dimension::Places => SERVICES * ZONES,
            Dimension::CallsPerSecond => CALLS_PER_SECOND / SIDECARS,
            Dimension::Depth => DEPTH,
            Dimension::ChangesPerDay => CHANGES_PER_DAY,
            Dimension::RestartsPerDay => RESTARTS_PER_DAY,
            Dimension::PercentFailing => 100.0 * ZONE / SIDECARS,
            // A record of the view for each service, zone by zone, as moves and freezes take them.
            Dimension::ViewKeys => SERVICES * ZONES,
        }
    }
}

impl fmt::Display for Dimension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Dimension::Sidecars => "sidecars",
            Dimension::EndpointsPerService => "endpoints per service",
            Dimension::ServicesCalled => "services called",
            Dimension::Zones => "zones",
            Dimension::ConsensusServers => "consensus servers",
            Dimension::Places => "service-zone pairs",
            Dimension::CallsPerSecond => "calls a second",
            Dimension::Depth => "depth",
            Dimension::ChangesPerDay => "changes a day",
            Dimension::RestartsPerDay => "restarts a day",
            Dimension::PercentFailing => "percent failing at once",
            Dimension::ViewKeys => "keys of the view",
        })
    }
}
