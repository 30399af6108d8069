//! Whether a request may run again, as files word it.

use serde::{Deserialize, Serialize};

/// Whether a class's requests may run again. The default is that of the lab's files; a sidecar's configuration takes a
/// class that says nothing for one that never may.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RepeatPolicy {
    /// Any repeat is harmless: GET.
    #[default]
    Safe,
    /// Endpoints of a group drop repeats of a key for a while: POST with a key.
    Keyed,
    /// Never: POST.
    Never,
}
