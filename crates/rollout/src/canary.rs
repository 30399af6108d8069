//! Which sidecars get a change first: the same answer in each process, from the record and the sidecar's name alone.

use curlewhub_control_plane::configuration::{Canary, ConfigNumber};

/// What a canary's membership depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sidecar<'a> {
    /// Its name in the fleet.
    pub name: &'a str,
    /// Its zone; empty where it has none.
    pub zone: &'a str,
}

/// Whether a canary names no sidecar at all.
pub fn is_empty(canary: &Canary) -> bool {
    canary.zones.is_empty() && canary.per_mille == 0
}

/// Whether a sidecar is in the canary of a change; the drawn part is another one for each number.
pub fn includes(canary: &Canary, number: ConfigNumber, sidecar: Sidecar<'_>) -> bool {
    let by_zone = canary.zones.iter().any(|zone| zone == sidecar.zone);
    by_zone || draw(number, sidecar.name) < canary.per_mille
}

/// A number from 0 to 999, evenly spread over names.
fn draw(number: ConfigNumber, name: &str) -> u16 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.0.to_le_bytes());
    hasher.update(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    (u64::from_le_bytes(first) % 1000) as u16
}
