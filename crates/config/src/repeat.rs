//! Whether a request may be repeated, as configuration files state it.

use serde::{Deserialize, Serialize};

/// Whether requests of a class may run more than once. This default applies to the lab's files; in a
/// sidecar's configuration a class without the key is `Never`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RepeatPolicy {
    /// Repeats are harmless, as for GET.
    #[default]
    Safe,
    /// The endpoints of a group drop repeats of a key for a time window, as for POST with an idempotency
    /// key.
    Keyed,
    /// A request must not be repeated, as for POST.
    Never,
}
