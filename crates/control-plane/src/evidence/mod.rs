//! Evidence on zones from the calls that sidecars make anyway. Each sidecar records how its calls end ([`CallRecorder`]) and
//! sends bounded [`Digest`]s; each consensus server keeps the newest of each sidecar and adds them up by pair of zones
//! ([`Evidence`]).

mod digest;
mod recorder;
mod store;

pub use digest::{CallCounts, Digest, LegacyDigest, MAX_ROWS};
pub use recorder::{CallOutcome, CallRecorder};
pub use store::{
    DigestRejection, Evidence, FRESHNESS, MAX_CALLS_PER_DIGEST, MAX_SIDECARS, MAX_TRANSIT_DELAY,
    ZonePairSummary,
};
