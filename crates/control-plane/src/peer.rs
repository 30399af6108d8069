//! The identity of a process in the fleet, as it is stated in each message.

use serde::{Deserialize, Serialize};

/// A process: its name and which start of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct PeerId {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Rises with each start of the process. Of two processes with one name the greater incarnation is valid.
    pub incarnation: u64,
}
