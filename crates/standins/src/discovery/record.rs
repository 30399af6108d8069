//! What discovery did for whom, in the request log: a judge reads from it what a caller counts as notified of.

use crate::world::World;
use serde_json::json;

/// Which of discovery's views a caller uses; none for the list with the endpoints' own addresses.
pub(super) type View = Option<usize>;

/// Something that discovery did.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A call has arrived.
    Called,
    /// A list or changes of this version were written whole.
    Written(u64),
    /// A watch was ended in place of being told a change.
    WatchEnded,
    /// A call was refused.
    Refused,
    /// The list changed to this version.
    Changed(u64),
}

impl Event {
    fn name(self) -> &'static str {
        match self {
            Event::Called => "called",
            Event::Written(_) => "written",
            Event::WatchEnded => "watch ended",
            Event::Refused => "refused",
            Event::Changed(_) => "changed",
        }
    }

    fn version(self) -> Option<u64> {
        match self {
            Event::Written(version) | Event::Changed(version) => Some(version),
            Event::Called | Event::WatchEnded | Event::Refused => None,
        }
    }
}

/// Writes an event to the request log.
pub(super) fn note(world: &World, view: View, event: Event) {
    world.request_log.note(
        || json!({"what": "directory", "view": view, "event": event.name(), "version": event.version()}),
    );
}
