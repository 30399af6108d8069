//! Orders whole lists and changes, also across the switch from one server to another.

use crate::Epoch;
use curlewhub_config::list::{EndpointList, Target, TargetState};

/// The maximum number of changes kept while a whole list is missing. If there are more, the watch is started again.
pub const PENDING_CHANGES_LIMIT: usize = 16_384;

/// The version of the current list, and the server that it is from.
#[derive(Debug)]
pub struct Versions {
    epoch: Epoch,
    version: u64,
    /// While the whole list of this server is missing: the changes from its watch, with their versions.
    pending: Option<Vec<(u64, Target)>>,
}

impl Versions {
    /// Starts with the version of the list that is known at the start.
    pub fn new(version: u64) -> Self {
        Versions { epoch: Epoch::default(), version, pending: None }
    }

    /// The server that the current list is from.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The version of the current list, as numbered by that server.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version after which to request changes from this server; 0 if none of its versions is known.
    pub fn request_after(&self, epoch: Epoch) -> u64 {
        if epoch == self.epoch { self.version } else { 0 }
    }

    /// Whether the whole list of the server is still missing.
    pub fn needs_whole_list(&self) -> bool {
        self.pending.is_some()
    }

    /// Records that a watch on this server is now the open one; `first` is the list in its first line, `None` if that
    /// line was empty.
    pub fn watch_opened(&mut self, epoch: Epoch, first: Option<&EndpointList>) {
        if epoch > self.epoch {
            (self.epoch, self.version) = (epoch, 0);
            self.pending = Some(Vec::new());
        }
        if let Some(list) = first {
            self.apply_watch_line(list);
        }
    }

    /// Records a whole list or changes from the open watch.
    pub fn apply_watch_line(&mut self, list: &EndpointList) {
        self.version = list.rev;
        if list.is_complete {
            self.pending = None;
        } else if let Some(pending) = &mut self.pending {
            pending.extend(list.targets.iter().map(|target| (list.rev, target.clone())));
        }
    }

    /// Whether more changes than [`PENDING_CHANGES_LIMIT`] wait for the whole list.
    pub fn pending_limit_exceeded(&self) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.len() > PENDING_CHANGES_LIMIT)
    }

    /// Merges a whole list, requested when the current version was `version_at_request`, with pending changes.
    /// Returns the list to apply; `None` if the current one is newer.
    pub fn merge_whole_list(
        &mut self,
        epoch: Epoch,
        version_at_request: u64,
        mut list: EndpointList,
    ) -> Option<EndpointList> {
        if epoch < self.epoch {
            return None;
        }
        if epoch > self.epoch {
            (self.epoch, self.version, self.pending) = (epoch, list.rev, None);
            return Some(list);
        }
        if let Some(pending) = self.pending.take() {
            for (version, change) in pending {
                if version > list.rev {
                    apply_change(&mut list.targets, change);
                }
            }
            self.version = self.version.max(list.rev);
            return Some(list);
        }
        // Changes received on the watch since the request are newer than the list. If there were none, a lower version
        // means that the server has restarted its numbering.
        if list.rev < self.version && version_at_request != self.version {
            return None;
        }
        self.version = list.rev;
        Some(list)
    }

    /// Returns the departures (draining or removed entries) of a partial list; `None` if there are none, or if the
    /// list is older than the current one.
    pub fn departures(&self, epoch: Epoch, mut list: EndpointList) -> Option<EndpointList> {
        list.is_complete = false;
        list.targets.retain(|target| target.state != TargetState::Up);
        let old = epoch < self.epoch || (epoch == self.epoch && list.rev < self.version);
        (!old && !list.targets.is_empty()).then_some(list)
    }
}

/// Replaces the entry of an endpoint by its change.
fn apply_change(targets: &mut Vec<Target>, change: Target) {
    targets.retain(|target| target.uid != change.uid);
    if change.state != TargetState::Removed {
        targets.push(change);
    }
}
