//! The endpoint list in the module's terms, and the names behind its numbers. Every source of the list
//! words it the same way; this is where that wording is turned into the module's.

use crate::events::ListUpdate;
use curlewhub_balance::{
    CellId, EndpointId, EndpointInfo, EndpointNames, EndpointState, MachineKindId, Membership, ZoneId,
};
use curlewhub_config::Names;
use curlewhub_config::list::{EndpointList, TargetState};
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// The names of the endpoints, and of the zones and kinds that they may be of.
pub struct Listing {
    names: Names,
    ids: RefCell<EndpointNames>,
}

impl Listing {
    /// No endpoint yet.
    pub fn new(names: Names) -> Rc<Self> {
        Rc::new(Listing { names, ids: RefCell::default() })
    }

    /// The id of an endpoint of this uid, listed or not.
    pub fn id(&self, uid: &str) -> EndpointId {
        self.ids.borrow_mut().intern(uid)
    }

    /// The id of the endpoint of this uid, if it is known.
    pub fn find(&self, uid: &str) -> Option<EndpointId> {
        self.ids.borrow().find(uid)
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.ids.borrow().name(id).to_owned()
    }

    /// Forgets the names of all endpoints but these.
    pub fn keep(&self, listed: impl Fn(EndpointId) -> bool) {
        self.ids.borrow_mut().retain(listed);
    }

    /// How many names are kept.
    pub fn names(&self) -> usize {
        self.ids.borrow().len()
    }

    /// A list, whole or of changes, in the module's terms.
    pub fn update(&self, list: EndpointList) -> ListUpdate {
        let mut ids = self.ids.borrow_mut();
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        let (mut entries, mut addresses, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
        // Of an endpoint named twice the last word counts.
        for target in list.targets.into_iter().rev() {
            let id = ids.intern(&target.uid);
            if !seen.insert(id) {
                warn!(
                    endpoint = target.uid,
                    field = "uid",
                    "it is there twice in one list: its last entry counts"
                );
                continue;
            }
            addresses.push((id, target.endpoint));
            entries.push(EndpointInfo {
                id,
                zone: ZoneId(place(&self.names.zones, &target.az)),
                machine_kind: MachineKindId(place(&self.names.kinds, &target.model)),
                cell: CellId(target.pod_group),
                state: match target.state {
                    TargetState::Up => EndpointState::Ready,
                    TargetState::Draining => EndpointState::Draining,
                    TargetState::Removed => EndpointState::Gone,
                },
                weight: target.capacity_hint,
                started: (target.boot_ms > 0.0)
                    .then(|| Duration::from_micros((target.boot_ms * 1e3) as u64)),
            });
        }
        entries.reverse();
        let membership =
            if list.is_complete { Membership::Full(entries) } else { Membership::Delta(entries) };
        ListUpdate { membership, addresses }
    }
}
