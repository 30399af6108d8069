//! Which sidecars receive a configuration first.
//!
//! Membership depends on the decided record and the sidecar's name and zone alone, so that each process comes to the same
//! answer without asking another one.

use crate::digest::leading_u64;
use curlewhub_control_plane::configuration::{Canary, ConfigNumber};

/// What a sidecar's membership of a canary depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sidecar<'a> {
    /// Its name, unique in the fleet.
    pub name: &'a str,
    /// Its zone; empty if it has none.
    pub zone: &'a str,
}

/// Whether a canary can include no sidecar.
pub fn is_empty(canary: &Canary) -> bool {
    canary.zones.is_empty() && canary.per_mille == 0
}

/// Whether a sidecar is in the canary of the configuration with this number. The sampled part differs from number to
/// number, so that the same sidecars do not bear the risk of every change.
pub fn includes(canary: &Canary, number: ConfigNumber, sidecar: Sidecar<'_>) -> bool {
    let in_named_zone = canary.zones.iter().any(|zone| zone == sidecar.zone);
    in_named_zone || sample_per_mille(number, sidecar.name) < canary.per_mille
}

/// A number from 0 to 999, uniformly distributed over names.
fn sample_per_mille(number: ConfigNumber, name: &str) -> u16 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.0.to_le_bytes());
    hasher.update(name.as_bytes());
    (leading_u64(&hasher) % 1000) as u16
}
