//! What a server has named on its watch while its whole list is missing.

use crate::Epoch;
use curlewhub_config::list::{EndpointList, Target, TargetState};
use std::collections::HashMap;

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
                list.targets.retain(|target| target.uid != change.uid);
                if change.state != TargetState::Removed {
                    list.targets.push(change);
                }
            }
        }
    }

    /// Sets the newest state of each endpoint that the server has named.
    pub fn states<'a>(&'a self, states: &mut HashMap<&'a str, TargetState>) {
        states.extend(self.changes.iter().map(|(_, target)| (target.uid.as_str(), target.state)));
    }
}
