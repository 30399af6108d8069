//! What a server has named on its watch while its whole list is missing.

use crate::Epoch;
use curlewhub_config::list::{EndpointList, Target, TargetState};

/// The changes from the watch on one server, in the order in which they were received.
#[derive(Debug)]
pub(crate) struct PartialList {
    pub epoch: Epoch,
    changes: Vec<(u64, Target)>,
}

impl PartialList {
    pub fn new(epoch: Epoch) -> Self {
        PartialList { epoch, changes: Vec::new() }
    }

    /// Adds the changes of a line.
    pub fn record(&mut self, line: &EndpointList) {
        self.changes.extend(line.targets.iter().map(|target| (line.rev, target.clone())));
    }

    /// The number of changes.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Applies the changes that are newer than a whole list of the same server to it.
    pub fn apply_newer(self, list: &mut EndpointList) {
        for (version, change) in self.changes {
            if version > list.rev {
                apply_change(&mut list.targets, change);
            }
        }
    }

    /// The state in each change, in order: the last one of an endpoint is its newest.
    pub fn states(&self) -> impl Iterator<Item = (&str, TargetState)> {
        self.changes.iter().map(|(_, target)| (target.uid.as_str(), target.state))
    }
}

/// Replaces the entry of an endpoint by its change.
pub(crate) fn apply_change(targets: &mut Vec<Target>, change: Target) {
    targets.retain(|target| target.uid != change.uid);
    if change.state != TargetState::Removed {
        targets.push(change);
    }
}
