//! Discovery over sockets: the whole list, and a watch on its changes; late, slow, short or down as ordered.

use crate::endpoint::Endpoint;
use crate::fault::Fault;
use crate::http::{Message, MessageKind, Reader};
use crate::interrupted::{self, write_whole};
use crate::spec::DirectorySpec;
use crate::world::World;
use curlewhub_config::list::{List, State, Target};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// So many changes are kept for watches that resume; who is further behind is given the whole list.
const MAX_HISTORY: usize = 4096;

/// The endpoints' addresses as one site is told them, where they are not their own.
type Addresses = BTreeMap<String, SocketAddr>;

pub(crate) struct Directory {
    world: Rc<World>,
    spec: DirectorySpec,
    listener: TcpListener,
    views: Vec<(TcpListener, Addresses)>,
    endpoints: Vec<Rc<Endpoint>>,
    rev: watch::Sender<u64>,
    listed: RefCell<Vec<Target>>,
    /// What changed, and at which version.
    history: RefCell<VecDeque<(u64, Target)>>,
    /// Calls are handled in turn: the last of them is done then.
    busy_until: Cell<Instant>,
    down: watch::Sender<bool>,
    short: Cell<f64>,
    cut: Cell<bool>,
    calls: Cell<u64>,
}

impl Directory {
    /// Takes its address; the list has all endpoints.
    pub async fn new(
        world: Rc<World>,
        spec: DirectorySpec,
        at: SocketAddr,
        endpoints: Vec<Rc<Endpoint>>,
    ) -> io::Result<Rc<Directory>> {
        let listed = endpoints.iter().filter_map(|endpoint| endpoint.target()).collect();
        let (history, short, cut, calls) = Default::default();
        let mut views = Vec::new();
        for view in &spec.views {
            views.push((TcpListener::bind(view.listen).await?, view.addresses.clone()));
        }
        Ok(Rc::new(Directory {
            world,
            spec,
            listener: TcpListener::bind(at).await?,
            views,
            endpoints,
            rev: watch::Sender::new(1),
            listed: RefCell::new(listed),
            history,
            busy_until: Cell::new(Instant::now()),
            down: watch::Sender::new(false),
            short,
            cut,
            calls,
        }))
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Calls that came so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Lets a fault of discovery's begin or end.
    pub fn set(&self, fault: Fault, on: bool) {
        match fault {
            Fault::DirectoryDown => drop(self.down.send_replace(on)),
            Fault::DirectoryShort { share } => self.short.set(if on { share } else { 0.0 }),
            Fault::DirectoryCut => self.cut.set(on),
            Fault::Heal => {
                self.down.send_replace(false);
                self.short.set(0.0);
                self.cut.set(false);
            }
            _ => {}
        }
    }

    /// Notices, after its time, what has become of the endpoints.
    pub fn notice(self: &Rc<Self>) {
        let this = self.clone();
        spawn_local(async move {
            sleep(this.spec.notice.0).await;
            this.publish();
        });
    }

    fn publish(&self) {
        let rev = *self.rev.borrow() + 1;
        let mut changes = Vec::new();
        let mut listed = self.listed.borrow_mut();
        for endpoint in &self.endpoints {
            let at = listed.iter().position(|target| target.uid == endpoint.spec.id);
            let new = endpoint.target();
            endpoint.published(new.as_ref().map(|target| target.state));
            match (at, new) {
                (Some(at), Some(new)) if listed[at] != new => {
                    listed[at] = new.clone();
                    changes.push(new);
                }
                (None, Some(new)) => {
                    listed.push(new.clone());
                    changes.push(new);
                }
                (Some(at), None) => changes.push(Target { state: State::Removed, ..listed.remove(at) }),
                _ => {}
            }
        }
        drop(listed);
        if changes.is_empty() {
            return;
        }
        let mut history = self.history.borrow_mut();
        history.extend(changes.into_iter().map(|target| (rev, target)));
        let over = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..over);
        drop(history);
        self.rev.send_replace(rev);
    }

    /// Serves until the fleet ends.
    pub async fn run(self: Rc<Self>) {
        for view in 0..self.views.len() {
            spawn_local(self.clone().accept(Some(view)));
        }
        self.accept(None).await;
    }

    /// Takes connections to a view, or to the list with the endpoints' own addresses.
    async fn accept(self: Rc<Self>, view: Option<usize>) {
        loop {
            let listener = view.map_or(&self.listener, |view| &self.views[view].0);
            let stream = interrupted::accept(listener).await;
            let this = self.clone();
            spawn_local(async move { this.connection(stream, view).await });
        }
    }

    async fn connection(&self, stream: TcpStream, view: Option<usize>) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream, MessageKind::Requests);
        let mut down = self.down.subscribe();
        let is_down = tokio::select! {
            biased;
            _ = down.wait_for(|down| *down) => true,
            _ = self.follow(&mut reader, view) => false,
        };
        if is_down {
            let _ = SockRef::from(&*reader.inner()).set_linger(Some(Duration::ZERO));
        }
    }

    async fn follow(&self, reader: &mut Reader<TcpStream>, view: Option<usize>) -> io::Result<()> {
        while let Some(message) = reader.message().await? {
            self.calls.set(self.calls.get() + 1);
            let stream = reader.inner();
            if !message.target.starts_with("/api/targets") {
                write_whole(stream, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            } else if !self.turn().await {
                write_whole(stream, b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    .await?;
            } else if message.target.contains("watch=1") {
                return self.watch(&message, stream, view).await;
            } else {
                let text = self.json(self.whole(), view);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                if self.cut.get() {
                    write_whole(stream, format!("{head}{}", &text[..text.len() / 2]).as_bytes()).await?;
                    return Ok(());
                }
                write_whole(stream, (head + &text).as_bytes()).await?;
                self.world.ledger(|ledger| ledger.listed(text.len()));
            }
        }
        Ok(())
    }

    /// Waits for this call's turn; whether it came in time.
    async fn turn(&self) -> bool {
        let now = Instant::now();
        let each = Duration::try_from_secs_f64(1.0 / self.spec.calls_per_s).unwrap_or_default();
        let done = self.busy_until.get().max(now) + each;
        let latest = now + self.spec.timeout.0;
        if done > latest {
            sleep_until(latest).await;
            return false;
        }
        self.busy_until.set(done);
        sleep_until(done).await;
        true
    }

    fn whole(&self) -> List {
        let mut targets = self.listed.borrow().clone();
        let left = targets.len() as f64 * (1.0 - self.short.get());
        targets.truncate(left.round() as usize);
        List { rev: *self.rev.borrow(), all: true, targets }
    }

    /// What changed after this version; the whole list where that is not known any more.
    fn after(&self, rev: u64) -> List {
        let history = self.history.borrow();
        let now = *self.rev.borrow();
        let complete = rev == now || history.front().is_some_and(|(first, _)| *first <= rev + 1);
        if rev > now || !complete {
            return self.whole();
        }
        let changes = history.iter().filter(|(at, _)| *at > rev);
        List { rev: now, all: false, targets: changes.map(|(_, target)| target.clone()).collect() }
    }

    async fn watch(
        &self,
        message: &Message,
        stream: &mut TcpStream,
        view: Option<usize>,
    ) -> io::Result<()> {
        let query = message.target.split_once('?').map_or("", |(_, query)| query);
        let after = query.split('&').find_map(|pair| pair.strip_prefix("after=")?.parse().ok());
        write_whole(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut rev = self.rev.subscribe();
        let first = after.map_or_else(|| self.whole(), |after| self.after(after));
        rev.mark_unchanged();
        let mut told = first.rev;
        self.write_list(stream, &self.json(first, view)).await?;
        loop {
            let changed = timeout(self.spec.idle_line.0, rev.changed()).await;
            if changed.is_err() {
                write_line(stream, "").await?;
                continue;
            }
            let changes = self.after(told);
            told = changes.rev;
            self.write_list(stream, &self.json(changes, view)).await?;
        }
    }

    async fn write_list(&self, stream: &mut TcpStream, list: &str) -> io::Result<()> {
        write_line(stream, list).await?;
        self.world.ledger(|ledger| ledger.listed(list.len()));
        Ok(())
    }

    /// A list as a view words it.
    fn json(&self, mut list: List, view: Option<usize>) -> String {
        if let Some((_, addresses)) = view.map(|view| &self.views[view]) {
            for target in &mut list.targets {
                target.endpoint = addresses.get(&target.uid).copied().unwrap_or(target.endpoint);
            }
        }
        serde_json::to_string(&list).unwrap_or_default() // numbers and text: it never fails
    }

    /// The fleet's clock, for whoever reports.
    pub fn now(&self) -> Duration {
        self.world.now()
    }
}

async fn write_line(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    write_whole(stream, format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}
