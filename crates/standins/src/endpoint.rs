//! One endpoint over sockets: its process, its entry in the list, and its faults.

mod connection;
mod jobs;

use crate::fault::Fault;
use crate::interrupted;
use crate::ledger::Ledger;
use crate::machine::{JobId, Machine};
use crate::spec::EndpointSpec;
use crate::world::World;
use curlewhub_config::list::{Target, TargetState};
use jobs::Job;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1024;

/// The faults that an endpoint has now.
#[derive(Clone, Copy, Debug, Default)]
struct ActiveFaults {
    hang: bool,
    stall: bool,
    vanish: bool,
    reset: f64,
    corrupt: f64,
}

pub(crate) struct Endpoint {
    world: Rc<World>,
    pub spec: EndpointSpec,
    address: SocketAddr,
    /// Holds the port while the endpoint is dead, so that nobody else is given it; none where it is only listed.
    _port: Option<TcpSocket>,
    /// Listens from the start, until the accept loop takes it.
    initial_listener: Cell<Option<TcpListener>>,
    machine: RefCell<Machine>,
    jobs: RefCell<HashMap<JobId, Job>>,
    next: Cell<JobId>,
    /// Wakes the task that runs the machine.
    work: Notify,
    faults: Cell<ActiveFaults>,
    alive: Cell<bool>,
    /// Faults that have it drain, and that take it from the list: each ends its own alone.
    drains: Cell<u32>,
    removals: Cell<u32>,
    /// Since when the published list has said that it drains.
    draining_since: Cell<Option<Instant>>,
    boot_ms: Cell<f64>,
    /// Raised with each change that connections must check.
    changed: watch::Sender<u64>,
    /// The number of the process: a connection ends with its process.
    process: Cell<u64>,
}

fn socket(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Connections in TIME_WAIT of a process that had the address before do not keep it.
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    Ok(socket)
}

impl Endpoint {
    /// Takes its port.
    pub fn new(world: Rc<World>, spec: EndpointSpec) -> io::Result<Rc<Endpoint>> {
        let (port, address, initial_listener) = match spec.served_at {
            Some(address) => (None, address, None),
            None => {
                let port = socket(spec.address)?;
                let address = port.local_addr()?;
                (Some(port), address, Some(socket(address)?.listen(BACKLOG)?))
            }
        };
        let machine = RefCell::new(Machine::new(spec.machine.clone(), world.now()));
        let (jobs, next, faults, draining_since, boot_ms, process) = Default::default();
        Ok(Rc::new(Endpoint {
            address,
            _port: port,
            initial_listener: Cell::new(initial_listener),
            machine,
            jobs,
            next,
            work: Notify::new(),
            faults,
            alive: Cell::new(true),
            drains: Cell::default(),
            removals: Cell::default(),
            draining_since,
            boot_ms,
            changed: watch::Sender::new(0),
            process,
            world,
            spec,
        }))
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the list says of it while it is alive; none where it is removed.
    fn listed_state(&self) -> Option<TargetState> {
        match (self.removals.get(), self.drains.get()) {
            (0, 0) => Some(TargetState::Up),
            (0, _) => Some(TargetState::Draining),
            (_, _) => None,
        }
    }

    /// Its entry in the list; none if it is not listed.
    pub fn target(&self) -> Option<Target> {
        let state = self.listed_state().filter(|_| self.alive.get())?;
        Some(Target {
            uid: self.spec.id.clone(),
            endpoint: self.address,
            az: self.spec.zone.clone(),
            model: self.spec.kind.clone(),
            pod_group: 0,
            state,
            capacity_hint: f64::from(self.spec.machine.cores) * self.spec.machine.speed,
            boot_ms: self.boot_ms.get(),
        })
    }

    /// The published list now has this state for it.
    pub fn published(&self, state: Option<TargetState>) {
        let drains = state != Some(TargetState::Up);
        let since = self.draining_since.get().filter(|_| drains);
        self.draining_since.set(since.or_else(|| drains.then(Instant::now)));
    }

    /// Its state, for the control address.
    pub fn describe(&self) -> serde_json::Value {
        serde_json::json!({
            "id": self.spec.id, "address": self.address, "zone": self.spec.zone, "alive": self.alive.get(),
            "held": self.machine.borrow().held(), "capacity": self.machine.borrow().capacity(),
            "choked": self.machine.borrow().is_choked(), "trouble": format!("{:?}", self.faults.get()),
            "ran": self.world.ledger(|ledger| ledger.ran_at(&self.spec.id)),
        })
    }

    /// Begins or ends a fault.
    pub fn set(&self, fault: Fault, on: bool) {
        let mut faults = self.faults.get();
        let now = self.world.now();
        match fault {
            Fault::Die if on => self.kill(),
            Fault::Die => self.start_process(),
            Fault::Hang => faults.hang = on,
            Fault::Stall => faults.stall = on,
            Fault::Vanish => faults.vanish = on,
            Fault::Reset { share } => faults.reset = if on { share } else { 0.0 },
            Fault::Corrupt { share } => faults.corrupt = if on { share } else { 0.0 },
            Fault::Slow { factor } => {
                self.machine.borrow_mut().set_factor(now, if on { 1.0 / factor.max(1.0) } else { 1.0 });
            }
            Fault::Drain => count(&self.drains, on),
            Fault::Remove => count(&self.removals, on),
            Fault::Heal => {
                faults = ActiveFaults::default();
                self.machine.borrow_mut().set_factor(now, 1.0);
                self.drains.set(0);
                self.removals.set(0);
                self.start_process();
            }
            Fault::DirectoryDown | Fault::DirectoryShort { .. } | Fault::DirectoryCut => {}
            Fault::DirectorySilent | Fault::DirectoryRefuses | Fault::DirectoryMoved { .. } => {}
        }
        self.faults.set(faults);
        self.work.notify_one();
        self.changed.send_modify(|n| *n += 1);
    }

    fn kill(&self) {
        self.alive.set(false);
        self.process.set(self.process.get() + 1);
        self.machine.borrow_mut().restart(self.world.now());
        self.jobs.borrow_mut().clear();
    }

    /// Its process has just started.
    pub fn start_cold(&self) {
        self.alive.set(false);
        self.start_process();
    }

    fn start_process(&self) {
        if !self.alive.replace(true) {
            self.machine.borrow_mut().restart(self.world.now());
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            self.boot_ms.set(unix.as_millis() as f64 + self.world.clock_ahead_ms);
        }
    }

    /// Serves until the fleet ends.
    pub async fn run(self: Rc<Self>) -> io::Result<()> {
        if self.spec.served_at.is_some() {
            return Ok(());
        }
        let this = self.clone();
        spawn_local(async move { this.run_jobs().await });
        loop {
            let process = self.process.get();
            if self.alive.get() {
                let listener = match self.initial_listener.take() {
                    Some(listener) => listener,
                    None => socket(self.address)?.listen(BACKLOG)?,
                };
                tokio::select! {
                    () = self.accept(&listener) => {}
                    () = self.until_process_ends(process) => {}
                }
            }
            let mut changed = self.changed.subscribe();
            let _ = changed.wait_for(|_| self.alive.get()).await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            self.until_reachable().await;
            let stream = interrupted::accept(listener).await;
            self.world.ledger(Ledger::accepted);
            let this = self.clone();
            spawn_local(async move { this.connection(stream).await });
        }
    }

    /// Ends with the process of this number.
    async fn until_process_ends(&self, process: u64) {
        let mut changed = self.changed.subscribe();
        let _ = changed.wait_for(|_| self.process.get() != process).await;
    }

    /// Waits while a fault cuts the machine off.
    async fn until_reachable(&self) {
        let mut changed = self.changed.subscribe();
        let _ = changed.wait_for(|_| !self.faults.get().vanish).await;
    }
}
/// One more fault holds, or one fewer.
fn count(faults: &Cell<u32>, on: bool) {
    let now = faults.get();
    faults.set(if on { now.saturating_add(1) } else { now.saturating_sub(1) });
}
