//! Entries of endpoint lists.

use curlewhub_config::list::{Target, TargetState};

/// An entry with this state; entries with another start differ.
pub fn target_started(uid: &str, state: TargetState, boot_ms: f64) -> Target {
    Target {
        uid: uid.to_owned(),
        endpoint: "127.0.0.1:7070".parse().unwrap(),
        az: String::new(),
        model: String::new(),
        pod_group: 0,
        state,
        capacity_hint: 1.0,
        boot_ms,
    }
}

/// An entry with this state that started long ago.
#[allow(dead_code)]
pub fn target(uid: &str, state: TargetState) -> Target {
    target_started(uid, state, 0.0)
}
