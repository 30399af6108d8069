//! Puts lists and changes into one order, over the move from one server to another.

use crate::Epoch;
use curlewhub_config::list::{EndpointList, Target, TargetState};

/// Changes that are kept beside a whole list that is still to come; with more of them the watch begins anew.
pub const PENDING_CHANGES_LIMIT: usize = 16_384;

/// The version held, and whose it is.
#[derive(Debug)]
pub struct Versions {
    epoch: Epoch,
    version: u64,
    /// A whole list of this server is still to come: what its watch has brought since, with the versions.
    pending: Option<Vec<(u64, Target)>>,
}

impl Versions {
    /// Starts from the version known at the start.
    pub fn new(version: u64) -> Self {
        Versions { epoch: Epoch::default(), version, pending: None }
    }

    /// Whose list is held.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The version held of that server's.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version after which changes of this server are to be asked for.
    pub fn request_after(&self, epoch: Epoch) -> u64 {
        if epoch == self.epoch { self.version } else { 0 }
    }

    /// Whether a whole list of the server is still owed.
    pub fn needs_whole_list(&self) -> bool {
        self.pending.is_some()
    }

    /// A watch of this server is the one that counts from now on; its first line brought this, or nothing new.
    pub fn watch_opened(&mut self, epoch: Epoch, first: Option<&EndpointList>) {
        if epoch > self.epoch {
            (self.epoch, self.version) = (epoch, 0);
            self.pending = Some(Vec::new());
        }
        if let Some(list) = first {
            self.apply_watch_line(list);
        }
    }

    /// The watch that counts has brought this.
    pub fn apply_watch_line(&mut self, list: &EndpointList) {
        self.version = list.rev;
        if list.is_complete {
            self.pending = None;
        } else if let Some(pending) = &mut self.pending {
            pending.extend(list.targets.iter().map(|target| (list.rev, target.clone())));
        }
    }

    /// Whether more changes wait for a whole list than are kept.
    pub fn overflows(&self) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.len() > PENDING_CHANGES_LIMIT)
    }

    /// A whole list that was requested while `held` was the version held: the list to apply, unless the watch has
    /// brought something newer.
    pub fn merge_whole_list(
        &mut self,
        epoch: Epoch,
        held: u64,
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
                    overlay(&mut list.targets, change);
                }
            }
            self.version = self.version.max(list.rev);
            return Some(list);
        }
        // The watch has brought something since it was asked for, and that is newer. Where nothing has, a lower version
        // is that of a server that began anew.
        if list.rev < self.version && held != self.version {
            return None;
        }
        self.version = list.rev;
        Some(list)
    }

    /// Of a list that does not count as a whole: the entries that leave, unless it is older than what is held.
    pub fn departures(&self, epoch: Epoch, mut list: EndpointList) -> Option<EndpointList> {
        list.is_complete = false;
        list.targets.retain(|target| target.state != TargetState::Up);
        let old = epoch < self.epoch || (epoch == self.epoch && list.rev < self.version);
        (!old && !list.targets.is_empty()).then_some(list)
    }
}

/// Lets a change hold over an entry of a list.
fn overlay(targets: &mut Vec<Target>, change: Target) {
    targets.retain(|target| target.uid != change.uid);
    if change.state != TargetState::Removed {
        targets.push(change);
    }
}
