//! One endpoint over sockets: its connections, its machine, and what is wrong with it.

use crate::books::Books;
use crate::fault::Fault;
use crate::http::{Message, Reader, Side};
use crate::ledger::Ledger;
use crate::machine::{Happened, JobId, Machine, Offered};
use crate::spec::{ClassSpec, EndpointSpec};
use curlewhub_config::list::{State, Target};
use fnv::FnvHasher;
use rand_core::SeedableRng;
use rand_distr::{Distribution, LogNormal, Uniform};
use rand_pcg::Pcg32;
use serde_json::json;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::pending;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// What a sidecar may still send to an endpoint after the list has said that it drains.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// A caller that does not say how long it waits is taken to wait for this long.
const TIMEOUT_UNSTATED: Duration = Duration::from_secs(60);
/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1024;

/// What all endpoints of a fleet share.
pub(crate) struct World {
    pub seed: u64,
    pub start: Instant,
    pub classes: Vec<ClassSpec>,
    pub ledger: Arc<Mutex<Ledger>>,
    pub books: Books,
    /// The wall clock is off by so many milliseconds.
    pub clock_ahead_ms: f64,
}

impl World {
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn ledger<T>(&self, with: impl FnOnce(&mut Ledger) -> T) -> T {
        with(&mut self.ledger.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Random numbers that follow from the seed, a request's id and what they are for.
    fn draws(&self, id: &str, purpose: &str) -> Pcg32 {
        let mut hash = FnvHasher::default();
        hash.write_u64(self.seed);
        hash.write(purpose.as_bytes());
        hash.write(id.as_bytes());
        Pcg32::seed_from_u64(hash.finish())
    }

    /// Whether something of this probability befalls a request.
    fn befalls(&self, share: f64, id: &str, purpose: &str) -> bool {
        share > 0.0 && Uniform::new(0.0, 1.0).is_ok_and(|d| d.sample(&mut self.draws(id, purpose)) < share)
    }

    /// The work of a request, in seconds.
    fn work(&self, class: &ClassSpec, id: &str) -> f64 {
        let mean = class.work.0.as_secs_f64();
        let drawn = LogNormal::from_mean_cv(mean, class.cv).ok().filter(|_| class.cv > 0.0);
        drawn.map_or(mean, |drawn| drawn.sample(&mut self.draws(id, "work")))
    }
}

/// What is wrong with an endpoint now.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    hang: bool,
    stall: bool,
    vanish: bool,
    reset: f64,
    spoil: f64,
}

/// A request whose work is out.
struct Job {
    ended: oneshot::Sender<Happened>,
    key: Option<(String, Duration)>,
    /// The request's.
    id: String,
}

pub(crate) struct Endpoint {
    world: Rc<World>,
    pub spec: EndpointSpec,
    address: SocketAddr,
    /// Holds the port while the endpoint is dead, so that nobody else is given it; none where it is only listed.
    _port: Option<TcpSocket>,
    /// Listens from the start; taken by who accepts.
    first: Cell<Option<TcpListener>>,
    machine: RefCell<Machine>,
    jobs: RefCell<HashMap<JobId, Job>>,
    next: Cell<JobId>,
    /// Wakes who works the machine.
    work: Notify,
    trouble: Cell<Trouble>,
    alive: Cell<bool>,
    state: Cell<Option<State>>,
    /// Since when the published list says that it drains.
    told_draining: Cell<Option<Instant>>,
    boot_ms: Cell<f64>,
    /// Raised with each change that connections must look at.
    changed: watch::Sender<u64>,
    /// The process's number: a connection ends with its process.
    process: Cell<u64>,
}

/// What a connection does once a request has been dealt with.
enum Reply {
    Write(String),
    /// Writes this and nothing more.
    Stall(String),
    /// Resets the connection.
    Reset,
    /// Answers nothing.
    Silence,
    /// The caller has gone.
    Gone,
}

fn answer(status: &str, extra: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn socket(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    Ok(socket)
}

impl Endpoint {
    /// Takes its port.
    pub fn new(world: Rc<World>, spec: EndpointSpec) -> io::Result<Rc<Endpoint>> {
        let (port, address, first) = match spec.served_at {
            Some(address) => (None, address, None),
            None => {
                let port = socket(spec.address)?;
                let address = port.local_addr()?;
                (Some(port), address, Some(socket(address)?.listen(BACKLOG)?))
            }
        };
        let machine = RefCell::new(Machine::new(spec.machine.clone(), world.now()));
        let (jobs, next, trouble, told_draining, boot_ms, process) = Default::default();
        Ok(Rc::new(Endpoint {
            address,
            _port: port,
            first: Cell::new(first),
            machine,
            jobs,
            next,
            work: Notify::new(),
            trouble,
            alive: Cell::new(true),
            state: Cell::new(Some(State::Up)),
            told_draining,
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

    /// As discovery words it; none where it is not listed.
    pub fn target(&self) -> Option<Target> {
        let state = self.state.get().filter(|_| self.alive.get())?;
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

    /// The list now says this of it.
    pub fn published(&self, state: Option<State>) {
        let drains = state != Some(State::Up);
        let since = self.told_draining.get().filter(|_| drains);
        self.told_draining.set(since.or_else(|| drains.then(Instant::now)));
    }

    /// One line for a person.
    pub fn describe(&self) -> serde_json::Value {
        serde_json::json!({
            "id": self.spec.id, "address": self.address, "zone": self.spec.zone, "alive": self.alive.get(),
            "held": self.machine.borrow().held(), "capacity": self.machine.borrow().capacity(),
            "choked": self.machine.borrow().is_choked(), "trouble": format!("{:?}", self.trouble.get()),
            "ran": self.world.ledger(|ledger| ledger.ran_at(&self.spec.id)),
        })
    }

    /// Lets a fault begin or end.
    pub fn set(&self, fault: Fault, on: bool) {
        let mut trouble = self.trouble.get();
        let now = self.world.now();
        match fault {
            Fault::Die if on => self.die(),
            Fault::Die => self.come_back(),
            Fault::Hang => trouble.hang = on,
            Fault::Stall => trouble.stall = on,
            Fault::Vanish => trouble.vanish = on,
            Fault::Reset { share } => trouble.reset = if on { share } else { 0.0 },
            Fault::Spoil { share } => trouble.spoil = if on { share } else { 0.0 },
            Fault::Slow { factor } => {
                self.machine.borrow_mut().set_factor(now, if on { 1.0 / factor.max(1.0) } else { 1.0 });
            }
            Fault::Drain => self.state.set(Some(if on { State::Draining } else { State::Up })),
            Fault::Remove => self.state.set((!on).then_some(State::Up)),
            Fault::Heal => {
                trouble = Trouble::default();
                self.machine.borrow_mut().set_factor(now, 1.0);
                self.state.set(Some(State::Up));
                self.come_back();
            }
            Fault::DirectoryDown | Fault::DirectoryShort { .. } | Fault::DirectoryCut => {}
        }
        self.trouble.set(trouble);
        self.work.notify_one();
        self.changed.send_modify(|n| *n += 1);
    }

    fn die(&self) {
        self.alive.set(false);
        self.process.set(self.process.get() + 1);
        self.machine.borrow_mut().restart(self.world.now());
        self.jobs.borrow_mut().clear();
    }

    /// Its process has just started.
    pub fn start_cold(&self) {
        self.alive.set(false);
        self.come_back();
    }

    fn come_back(&self) {
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
        spawn_local(async move { this.work_off().await });
        loop {
            let process = self.process.get();
            if self.alive.get() {
                let listener = match self.first.take() {
                    Some(listener) => listener,
                    None => socket(self.address)?.listen(BACKLOG)?,
                };
                tokio::select! {
                    () = self.accept(&listener) => {}
                    () = self.ends(process) => {}
                }
            }
            let mut changed = self.changed.subscribe();
            let _ = changed.wait_for(|_| self.alive.get()).await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            self.present().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let this = self.clone();
                    spawn_local(async move { this.connection(stream).await });
                }
                Err(_) => sleep(Duration::from_millis(10)).await, // out of descriptors, most likely
            }
        }
    }

    /// Ends with the process of this number.
    async fn ends(&self, process: u64) {
        let mut changed = self.changed.subscribe();
        let _ = changed.wait_for(|_| self.process.get() != process).await;
    }

    /// Waits while the machine is cut off.
    async fn present(&self) {
        let mut changed = self.changed.subscribe();
        let _ = changed.wait_for(|_| !self.trouble.get().vanish).await;
    }

    /// Works the machine, and tells what ends.
    async fn work_off(&self) {
        loop {
            let now = self.world.now();
            let happened = self.machine.borrow_mut().poll(now);
            for what in happened {
                self.happened(what, now);
            }
            let next = self.machine.borrow().next();
            tokio::select! {
                () = self.work.notified() => {}
                () = sleep_until(self.world.start + next.unwrap_or_default()), if next.is_some() => {}
            }
        }
    }

    fn happened(&self, what: Happened, now: Duration) {
        let mut jobs = self.jobs.borrow_mut();
        let (Happened::Began(id) | Happened::Done(id) | Happened::Expired(id)) = what;
        if let Happened::Began(id) = what {
            let Some(job) = jobs.get(&id) else { return };
            let key = job.key.as_ref().map(|(key, window)| (&key[..], &self.spec.zone[..], *window));
            let repeat = key.is_some_and(|(key, group, window)| {
                self.world.ledger(|ledger| ledger.is_repeat(key, group, now, window))
            });
            if !repeat {
                self.note("ran", &job.id, key.map(|(key, ..)| key));
                return self.world.ledger(|ledger| ledger.ran(&self.spec.id, key, now));
            }
            self.note("repeat", &job.id, key.map(|(key, ..)| key));
            self.machine.borrow_mut().cancel(now, id); // goes on where running work does not stop
        }
        if matches!(what, Happened::Done(_)) {
            self.world.ledger(Ledger::finished);
            if let Some(job) = jobs.get(&id) {
                self.note("done", &job.id, job.key.as_ref().map(|(key, _)| &key[..]));
            }
        }
        if let Some(job) = jobs.remove(&id) {
            let _ = job.ended.send(what); // its connection may have gone
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let process = self.process.get();
        let mut reader = Reader::new(stream, Side::Requests);
        let ended = tokio::select! {
            () = self.follow(&mut reader) => false,
            () = self.ends(process) => true,
        };
        if ended {
            let _ = SockRef::from(&*reader.inner()).set_linger(Some(Duration::ZERO)); // a reset, and no end
        }
    }

    async fn follow(&self, reader: &mut Reader<TcpStream>) {
        loop {
            self.present().await;
            let message = match reader.message().await {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(_) => {
                    let _ = reader.inner().write_all(answer("400 Bad Request", "", "").as_bytes()).await;
                    return;
                }
            };
            self.present().await;
            let reply = self.reply(&message, reader).await;
            self.present().await;
            let written = match reply {
                Reply::Write(text) => reader.inner().write_all(text.as_bytes()).await,
                Reply::Stall(text) => {
                    let _ = reader.inner().write_all(text.as_bytes()).await;
                    return self.until_gone(reader).await;
                }
                Reply::Silence => return self.until_gone(reader).await,
                Reply::Reset => {
                    let _ = SockRef::from(&*reader.inner()).set_linger(Some(Duration::ZERO));
                    return;
                }
                Reply::Gone => return,
            };
            if written.is_err() || message.closes() {
                return;
            }
        }
    }

    /// Ends once the caller has closed its side.
    async fn until_gone(&self, reader: &mut Reader<TcpStream>) {
        // What else comes says nothing; only the end does.
        if !matches!(reader.inner().peek(&mut [0]).await, Ok(0) | Err(_)) {
            pending::<()>().await;
        }
    }

    async fn reply(&self, message: &Message, reader: &mut Reader<TcpStream>) -> Reply {
        let path = message.target.split('?').next().unwrap_or_default();
        if path == "/-/healthy" || path == "/-/load" {
            return if self.trouble.get().hang {
                Reply::Silence
            } else {
                Reply::Write(answer("200 OK", "", ""))
            };
        }
        let Some(id) = message.header("x-request-id").map(str::to_owned) else {
            return Reply::Write(answer("404 Not Found", "", "no id"));
        };
        let name = path.split('/').nth(1).unwrap_or_default();
        let Some(class) = self.world.classes.iter().find(|class| class.name == name) else {
            return Reply::Write(answer("404 Not Found", "", "no such class"));
        };
        let now = self.world.now();
        let late = self.told_draining.get().is_some_and(|at| at.elapsed() > DRAIN_GRACE);
        self.world.ledger(|ledger| ledger.came(late));
        let key = message.header("idempotency-key").filter(|_| !class.window.0.is_zero());
        let key = key.map(|key| (key.to_owned(), class.window.0));
        let served = |what: &str| answer("200 OK", "", &format!("{what} {id} at {}", self.spec.id));
        if let Some((key, window)) = &key
            && self.world.ledger(|ledger| ledger.is_repeat(key, &self.spec.zone, now, *window))
        {
            self.note("repeat", &id, Some(key));
            return Reply::Write(served("repeat"));
        }
        let timeout = message.header("x-timeout").and_then(parse_timeout).unwrap_or(TIMEOUT_UNSTATED);
        let work = self.world.work(class, &id);
        self.world.books.note(|| {
            let machine = self.machine.borrow();
            let (cold, capacity, slow) = (machine.is_cold(), machine.capacity(), machine.is_choked());
            json!({"what": "came", "endpoint": self.spec.id, "id": id, "class": name, "draining": late,
                   "work_us": work * 1e6, "cold": cold, "capacity": capacity, "slow": slow})
        });
        let Some((number, ended)) = self.offer(&id, key, now, work, timeout) else {
            self.note("full", &id, None);
            self.world.ledger(Ledger::turned_away);
            return Reply::Write(answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "full"));
        };
        let trouble = self.trouble.get();
        if trouble.hang {
            return Reply::Silence;
        }
        if self.world.befalls(trouble.reset, &id, "reset") {
            return Reply::Reset;
        }
        let ended = tokio::select! {
            ended = ended => ended,
            () = self.until_gone(reader) => {
                let now = self.world.now();
                if self.machine.borrow_mut().cancel(now, number) {
                    self.jobs.borrow_mut().remove(&number);
                }
                self.work.notify_one();
                return Reply::Gone;
            }
        };
        let trouble = self.trouble.get();
        match ended {
            _ if trouble.hang => Reply::Silence,
            Err(_) => Reply::Reset, // its process has ended
            Ok(Happened::Expired(_)) => {
                Reply::Write(answer("504 Gateway Timeout", "X-Not-Processed: 1\r\n", "over"))
            }
            Ok(Happened::Began(_)) => Reply::Write(served("repeat")),
            Ok(Happened::Done(_)) if trouble.stall => {
                Reply::Stall("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf of".to_owned())
            }
            Ok(Happened::Done(_)) if self.world.befalls(trouble.spoil, &id, "spoil") => {
                Reply::Write("HTTP/1.1 \u{1}~ what is no answer\r\n\r\n".to_owned())
            }
            Ok(Happened::Done(_)) if self.world.befalls(self.spec.machine.error_rate, &id, "error") => {
                Reply::Write(answer("500 Internal Server Error", "", "error"))
            }
            Ok(Happened::Done(_)) => Reply::Write(served("served")),
        }
    }

    /// Into the books: what became of a request.
    fn note(&self, what: &str, id: &str, key: Option<&str>) {
        self.world.books.note(|| json!({"what": what, "endpoint": self.spec.id, "id": id, "key": key}));
    }

    fn offer(
        &self,
        id: &str,
        key: Option<(String, Duration)>,
        now: Duration,
        work: f64,
        timeout: Duration,
    ) -> Option<(JobId, oneshot::Receiver<Happened>)> {
        let number = self.next.get();
        self.next.set(number + 1);
        if self.machine.borrow_mut().offer(now, number, work, now + timeout) == Offered::Full {
            return None;
        }
        let (ended, end) = oneshot::channel();
        self.jobs.borrow_mut().insert(number, Job { ended, key, id: id.to_owned() });
        self.work.notify_one();
        Some((number, end))
    }
}

/// A number and its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix('m') {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('u')?, 1e-6),
    };
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? * unit).ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewhub_config::units::Span;

    #[test]
    fn draws_follow_from_the_seed_and_the_request_alone() {
        let world = |seed| {
            let (classes, ledger, books, clock_ahead_ms) = Default::default();
            World { seed, start: Instant::now(), classes, ledger, books, clock_ahead_ms }
        };
        let class = ClassSpec {
            name: "quote".to_owned(),
            work: Span(Duration::from_millis(20)),
            cv: 0.5,
            window: Span::default(),
        };
        let (one, again, other) = (world(3), world(3), world(4));
        let drawn =
            |world: &World| (0..1000).map(|n| world.work(&class, &n.to_string())).collect::<Vec<_>>();
        assert_eq!(drawn(&one), drawn(&again));
        assert_ne!(drawn(&one), drawn(&other));
        let mean = drawn(&one).iter().sum::<f64>() / 1000.0;
        assert!((0.018..0.022).contains(&mean), "{mean}");
        let hit = (0..1000).filter(|n| one.befalls(0.3, &n.to_string(), "reset")).count();
        assert!((250..350).contains(&hit), "{hit}");
    }

    #[test]
    fn timeouts_have_a_unit() {
        assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
        assert_eq!(parse_timeout("1500u"), Some(Duration::from_micros(1500)));
        for bad in ["", "480", "m", "-1m", "NaNm", "1e400m"] {
            assert_eq!(parse_timeout(bad), None, "{bad}");
        }
    }
}
