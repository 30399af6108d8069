//! The parts of a running fleet, and the orders that faults come as.

use crate::discovery::Directory;
use crate::endpoint::Endpoint;
use crate::error::OrderError;
use crate::fault::{Fault, FaultAt};
use crate::world::World;
use serde_json::{Value, json};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What the fleet's own thread works with.
pub(crate) struct Site {
    pub world: Rc<World>,
    pub endpoints: Vec<Rc<Endpoint>>,
    pub directory: Rc<Directory>,
}

impl Site {
    /// Carries out an order now.
    pub fn order(self: &Rc<Self>, order: &FaultAt) -> Result<(), OrderError> {
        match &order.endpoint {
            Some(id) => {
                let found = self.endpoints.iter().find(|endpoint| endpoint.spec.id == *id);
                let endpoint = found.ok_or_else(|| OrderError::UnknownEndpoint(id.clone()))?.clone();
                if !order.fault.is_an_endpoints() {
                    return Err(OrderError::NotOfEndpoints);
                }
                self.set(Some(&endpoint), order.fault, true);
                self.end_later(Some(endpoint), order);
            }
            None if order.fault.needs_endpoint() => return Err(OrderError::MissingEndpoint),
            None => {
                self.set(None, order.fault, true);
                self.end_later(None, order);
            }
        }
        Ok(())
    }

    fn set(&self, endpoint: Option<&Rc<Endpoint>>, fault: Fault, on: bool) {
        match endpoint {
            Some(endpoint) => endpoint.set(fault, on),
            None => self.directory.set(fault, on),
        }
        self.directory.notice();
    }

    fn end_later(self: &Rc<Self>, endpoint: Option<Rc<Endpoint>>, order: &FaultAt) {
        let (Some(lasts), fault) = (order.lasts, order.fault) else { return };
        let this = self.clone();
        spawn_local(async move {
            sleep(lasts.0).await;
            this.set(endpoint.as_ref(), fault, false);
        });
    }

    /// What ran.
    pub fn ledger(&self) -> Value {
        self.world.ledger(|ledger| {
            json!({"ok": true, "at_ms": self.directory.now().as_millis() as u64, "totals": ledger.totals(),
                   "ran_twice": ledger.twice(), "discovery_calls": self.directory.calls()})
        })
    }

    /// How the endpoints stand.
    pub fn describe(&self) -> Value {
        json!({"ok": true, "endpoints": self.endpoints.iter().map(|e| e.describe()).collect::<Vec<_>>()})
    }
}
