//! The list with version 0, to which a server's changes after version 0 apply.

use crate::partial_list::apply_change;
use curlewhub_config::list::{EndpointList, Target};

/// The endpoints of version 0, if that is the version of the list that the process started with.
#[derive(Debug, Default)]
pub(crate) struct Origin {
    targets: Vec<Target>,
}

impl Origin {
    /// Takes the list that the process starts with, if it has version 0.
    pub fn new(initial: &EndpointList) -> Self {
        let has_version_0 = initial.rev == 0 && initial.is_complete;
        Origin { targets: if has_version_0 { initial.targets.clone() } else { Vec::new() } }
    }

    /// Returns the whole list of a server that has sent these changes after version 0. By sending changes and not the
    /// whole list the server confirms that it has version 0, and what it leaves out has not changed since. `None` if
    /// version 0 is not known, or if the changes contain an endpoint as it was then: the server has another version 0.
    pub fn with_changes(&self, changes: &EndpointList) -> Option<EndpointList> {
        let contradicts = changes.targets.iter().any(|change| self.targets.contains(change));
        if self.targets.is_empty() || changes.is_complete || contradicts {
            return None;
        }
        let mut targets = self.targets.clone();
        changes.targets.iter().for_each(|change| apply_change(&mut targets, change.clone()));
        Some(EndpointList { rev: changes.rev, is_complete: true, targets })
    }
}
