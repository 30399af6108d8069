//! Translates the endpoint list into the balancer's types, and maps endpoint uids to the balancer's ids.
//! All sources of the list use the same format.

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

/// The ids of the known endpoints, and the configured names of zones and machine kinds.
pub struct Listing {
    names: Names,
    ids: RefCell<EndpointNames>,
}

impl Listing {
    /// Without endpoints, for the configured names of zones and machine kinds.
    pub fn new(names: Names) -> Rc<Self> {
        Rc::new(Listing { names, ids: RefCell::default() })
    }

    /// The id of the endpoint with this uid, listed or not; assigned if it has none.
    pub fn id(&self, uid: &str) -> EndpointId {
        self.ids.borrow_mut().intern(uid)
    }

    /// The id of the endpoint with this uid, if it has one.
    pub fn find(&self, uid: &str) -> Option<EndpointId> {
        self.ids.borrow().find(uid)
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.ids.borrow().name(id).to_owned()
    }

    /// Forgets all endpoints except these.
    pub fn retain(&self, listed: impl Fn(EndpointId) -> bool) {
        self.ids.borrow_mut().retain(listed);
    }

    /// The number of endpoints that have an id.
    pub fn endpoint_count(&self) -> usize {
        self.ids.borrow().len()
    }

    /// Translates a list, complete or of changes only.
    pub fn update(&self, list: EndpointList) -> ListUpdate {
        let mut ids = self.ids.borrow_mut();
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        let (mut entries, mut addresses, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
        // If an endpoint is listed twice, its last entry counts.
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
                zone: ZoneId(index(&self.names.zones, &target.az)),
                machine_kind: MachineKindId(index(&self.names.kinds, &target.model)),
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
