//! Orders whole lists and changes, also across the switch from one server to another.

use crate::Epoch;
use crate::origin::Origin;
use crate::partial_list::PartialList;
use curlewhub_config::list::{EndpointList, TargetState};
use std::collections::BTreeMap;

/// The maximum number of changes kept while a whole list is missing. If there are more, the watch is started again.
pub const PENDING_CHANGES_LIMIT: usize = 16_384;
/// The maximum number of servers whose changes are kept while no whole list has been received.
const MAX_PARTIAL_LISTS: usize = 8;

/// The version of the current list, and the server that it is from.
#[derive(Debug)]
pub struct Versions {
    epoch: Epoch,
    version: u64,
    /// While the whole list of this server is missing: the changes from its watch, last, and before them those from
    /// the watches on servers before it whose whole lists are missing too.
    partial_lists: Vec<PartialList>,
    origin: Origin,
}

impl Versions {
    /// Starts with the version of the list that is known at the start.
    pub fn new(version: u64) -> Self {
        Versions { epoch: Epoch::default(), version, partial_lists: Vec::new(), origin: Origin::default() }
    }

    /// Starts with the list that is known at the start.
    pub fn from_initial(list: &EndpointList) -> Self {
        Versions { origin: Origin::new(list), ..Versions::new(list.rev) }
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
        !self.partial_lists.is_empty()
    }

    /// Records that the whole list of the current server is missing, although changes may be known.
    pub fn whole_list_missing(&mut self) {
        self.partial_lists.push(PartialList::new(self.epoch));
        if self.partial_lists.len() > MAX_PARTIAL_LISTS {
            self.partial_lists.remove(0);
        }
    }

    /// Records that a watch on this server is now the open one; `first` is the list in its first line, `None` if that
    /// line was empty. Returns the list to apply: a whole one if the changes of a new server make the list of version 0
    /// the list of that server.
    pub fn watch_opened(&mut self, epoch: Epoch, first: Option<EndpointList>) -> Option<EndpointList> {
        let is_new = epoch > self.epoch;
        let first = first.map(|list| match is_new.then(|| self.origin.with_changes(&list)).flatten() {
            Some(whole) => whole,
            None => list,
        });
        if is_new {
            (self.epoch, self.version) = (epoch, 0);
            self.whole_list_missing();
        }
        if let Some(list) = &first {
            self.apply_watch_line(list);
        }
        first
    }

    /// Records a whole list or changes from the open watch.
    pub fn apply_watch_line(&mut self, list: &EndpointList) {
        self.version = list.rev;
        if list.is_complete {
            self.partial_lists.clear();
        } else if let Some(newest) = self.partial_lists.last_mut() {
            newest.record(list);
        }
    }

    /// Whether more changes than [`PENDING_CHANGES_LIMIT`] wait for the whole list.
    pub fn pending_limit_exceeded(&self) -> bool {
        self.partial_lists.iter().map(PartialList::len).sum::<usize>() > PENDING_CHANGES_LIMIT
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
            (self.epoch, self.version) = (epoch, list.rev);
            self.partial_lists.clear();
            return Some(list);
        }
        if let Some(partial_list) = self.partial_lists.pop() {
            self.partial_lists.clear();
            self.version = self.version.max(list.rev);
            partial_list.apply_newer(&mut list);
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

    /// Whether the server `epoch` or a later one has named an endpoint that is up.
    pub fn names_endpoint_up_since(&self, epoch: Epoch) -> bool {
        self.states_since(epoch).values().any(|state| *state == TargetState::Up)
    }

    /// Returns the uids of the endpoints that the server `epoch` and later ones have named, in order.
    pub fn named_since(&self, epoch: Epoch) -> Vec<String> {
        self.states_since(epoch).into_keys().map(str::to_owned).collect()
    }

    fn states_since(&self, epoch: Epoch) -> BTreeMap<&str, TargetState> {
        let since = self.partial_lists.iter().filter(|partial_list| partial_list.epoch >= epoch);
        since.flat_map(PartialList::states).collect()
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
