//! The state of a rollout as operators see it.

use crate::reports::Census;
use crate::rollout::Rollout;
use serde::{Deserialize, Serialize};

/// The configuration's state as one consensus server knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigStatus {
    /// The name of the consensus server.
    pub by: String,
    /// Whether that server is the leader. Others may lag behind.
    pub leads: bool,
    /// The version of the fleet view that decided `rollout`; 0 before the first decision.
    pub version: u64,
    /// The decided state.
    pub rollout: Rollout,
    /// How far sidecars have applied it, by their reports to this server.
    pub census: Census,
}
