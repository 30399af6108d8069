//! A fleet of stand-ins on a thread of its own.

use crate::control;
use crate::discovery::Directory;
use crate::endpoint::Endpoint;
use crate::error::{OrderError, StartError};
use crate::fault::{Fault, FaultAt};
use crate::ledger::{Ledger, Totals};
use crate::request_log::RequestLog;
use crate::site::Site;
use crate::spec::FleetSpec;
use crate::world::World;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc as std_mpsc};
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

/// An order, and who waits for what came of it.
type Order = (FaultAt, std_mpsc::Sender<Result<(), OrderError>>);

/// Where a fleet's parts listen.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The control address.
    pub control: SocketAddr,
    /// Each endpoint's id and address, in the file's order.
    pub endpoints: Vec<(String, SocketAddr)>,
}

/// A running fleet; it ends when this is dropped.
pub struct Fleet {
    addresses: Addresses,
    ledger: Arc<Mutex<Ledger>>,
    orders: Option<mpsc::UnboundedSender<Order>>,
    thread: Option<JoinHandle<()>>,
}

/// Opens all addresses, and lets the parts run.
async fn start(
    spec: &FleetSpec,
    ledger: Arc<Mutex<Ledger>>,
    request_log: RequestLog,
) -> io::Result<(Rc<Site>, Addresses)> {
    let (seed, start, classes) = (spec.seed, Instant::now(), spec.classes.clone());
    let clock_ahead_ms = spec.clock_ahead_ms;
    let world = Rc::new(World { seed, start, classes, ledger, request_log, clock_ahead_ms });
    let endpoints = spec.endpoints.iter().map(|spec| Endpoint::new(world.clone(), spec.clone()));
    let endpoints: Vec<_> = endpoints.collect::<io::Result<_>>()?;
    if spec.cold {
        endpoints.iter().for_each(|endpoint| endpoint.start_cold());
    }
    let directory =
        Directory::new(world.clone(), spec.directory.clone(), spec.discovery, endpoints.clone()).await?;
    let control = TcpListener::bind(spec.control).await?;
    let addresses = Addresses {
        discovery: directory.address(),
        control: control.local_addr()?,
        endpoints: endpoints.iter().map(|e| (e.spec.id.clone(), e.address())).collect(),
    };
    for endpoint in &endpoints {
        spawn_local(endpoint.clone().run());
    }
    spawn_local(directory.clone().run());
    let site = Rc::new(Site { world, endpoints, directory });
    spawn_local(control::run(site.clone(), control));
    for fault in spec.faults.clone() {
        let site = site.clone();
        spawn_local(async move {
            sleep_until(start + fault.at.0).await;
            site.order(&fault)
        });
    }
    Ok((site, addresses))
}

impl Fleet {
    /// Starts a fleet; once this returns, all of it listens.
    ///
    /// # Errors
    /// What is wrong with the fleet's description, or an address that can't be listened on.
    pub fn start(spec: FleetSpec) -> Result<Fleet, StartError> {
        Fleet::with_request_log(spec, RequestLog::default())
    }

    /// Starts a fleet with a request log.
    ///
    /// # Errors
    /// As [`Fleet::start`].
    pub fn with_request_log(spec: FleetSpec, request_log: RequestLog) -> Result<Fleet, StartError> {
        spec.check()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let ledger = Arc::<Mutex<Ledger>>::default();
        let shared_ledger = ledger.clone();
        let (orders, mut ordered) = mpsc::unbounded_channel::<Order>();
        let (told, started) = std_mpsc::channel();
        let thread = std::thread::Builder::new().name("standins".to_owned()).spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                let site = match start(&spec, shared_ledger, request_log).await {
                    Ok((site, addresses)) => {
                        let _ = told.send(Ok(addresses));
                        site
                    }
                    Err(e) => return drop(told.send(Err(e))),
                };
                // Ends, and the fleet with it, once nobody can order anything any more.
                while let Some((order, told)) = ordered.recv().await {
                    let _ = told.send(site.order(&order));
                }
            });
        });
        let thread = thread?;
        let addresses = started.recv().map_err(|_| StartError::Ended)??;
        Ok(Fleet { addresses, ledger, orders: Some(orders), thread: Some(thread) })
    }

    /// Where its parts listen.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// An endpoint's address.
    pub fn endpoint(&self, id: &str) -> Option<SocketAddr> {
        self.addresses.endpoints.iter().find(|(known, _)| known == id).map(|(_, at)| *at)
    }

    /// Lets something go wrong, now; it has when this returns.
    ///
    /// # Errors
    /// There is no such endpoint, or the fault does not fit.
    pub fn order(&self, endpoint: Option<&str>, fault: Fault) -> Result<(), OrderError> {
        let (told, done) = std_mpsc::channel();
        let endpoint = endpoint.map(str::to_owned);
        let order = FaultAt { at: Default::default(), endpoint, fault, lasts: None };
        let orders = self.orders.as_ref().ok_or(OrderError::Ended)?;
        orders.send((order, told)).map_err(|_| OrderError::Ended)?;
        done.recv().map_err(|_| OrderError::Ended)?
    }

    /// The run ledger.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The counts so far.
    pub fn totals(&self) -> Totals {
        self.ledger().totals()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join(); // it has said what went wrong
        }
    }
}
