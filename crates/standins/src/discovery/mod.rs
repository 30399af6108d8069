//! Discovery over sockets: the whole list, and a watch on its changes; late, slow, short or down as ordered.

mod record;
mod writer;

use crate::endpoint::Endpoint;
use crate::fault::Fault;
use crate::http::{Message, MessageKind, Reader};
use crate::interrupted::{self, write_whole};
use crate::spec::{DirectoryManner, DirectorySpec};
use crate::world::World;
use curlewhub_config::list::{EndpointList, Target, TargetState};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use record::{Event, View, note};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// So many changes are kept for watches that resume; who is further behind is given the whole list.
const MAX_HISTORY: usize = 4096;

/// Connections to an address that nobody is to use any more are closed so long behind the move.
const CLOSES_BEHIND_MOVE: Duration = Duration::from_millis(1500);

/// The endpoints' addresses as one site is told them, where they are not their own.
type Addresses = BTreeMap<String, SocketAddr>;

pub(crate) struct Directory {
    world: Rc<World>,
    spec: DirectorySpec,
    address: SocketAddr,
    /// Until they are listened on: each with its view.
    listeners: RefCell<Vec<(TcpListener, View)>>,
    views: Vec<Addresses>,
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
    silent: Cell<bool>,
    refuses: Cell<bool>,
    /// Addresses that nobody is to use any more.
    moved: watch::Sender<Vec<SocketAddr>>,
    draws: RefCell<Pcg32>,
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
        let (history, short, cut, calls, silent, refuses) = Default::default();
        let own = TcpListener::bind(at).await?;
        let address = own.local_addr()?;
        let mut listeners = vec![(own, None)];
        for (number, view) in spec.views.iter().enumerate() {
            for listen in [view.listen].iter().chain(&view.also) {
                listeners.push((TcpListener::bind(listen).await?, Some(number)));
            }
        }
        let views = spec.views.iter().map(|view| view.addresses.clone()).collect();
        let draws = RefCell::new(Pcg32::seed_from_u64(world.seed));
        Ok(Rc::new(Directory {
            world,
            spec,
            address,
            listeners: RefCell::new(listeners),
            views,
            endpoints,
            rev: watch::Sender::new(1),
            listed: RefCell::new(listed),
            history,
            busy_until: Cell::new(Instant::now()),
            down: watch::Sender::new(false),
            short,
            cut,
            silent,
            refuses,
            moved: watch::Sender::new(Vec::new()),
            draws,
            calls,
        }))
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn manner(&self) -> &DirectoryManner {
        &self.spec.manner
    }

    /// Whether a part of what happens, 0 to 1, is struck this time.
    fn strikes(&self, share: f64) -> bool {
        share > 0.0 && f64::from(self.draws.borrow_mut().next_u32()) / f64::from(u32::MAX) < share
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
            Fault::DirectorySilent => self.silent.set(on),
            Fault::DirectoryRefuses => self.refuses.set(on),
            Fault::DirectoryMoved { from } => self.moved.send_modify(|moved| moved.push(from)),
            Fault::Heal => {
                self.down.send_replace(false);
                self.short.set(0.0);
                self.cut.set(false);
                self.silent.set(false);
                self.refuses.set(false);
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
                (Some(at), None) => {
                    changes.push(Target { state: TargetState::Removed, ..listed.remove(at) })
                }
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
        note(&self.world, None, Event::Changed(rev));
        self.rev.send_replace(rev);
    }

    /// Serves until the fleet ends.
    pub async fn run(self: Rc<Self>) {
        let listeners = std::mem::take(&mut *self.listeners.borrow_mut());
        let mut accepting = JoinSet::new();
        for (listener, view) in listeners {
            accepting.spawn_local(self.clone().accept(listener, view));
        }
        while accepting.join_next().await.is_some() {}
    }

    /// Takes connections to an address until nobody is to use it any more.
    async fn accept(self: Rc<Self>, listener: TcpListener, view: View) {
        let address = listener.local_addr().unwrap_or(self.address);
        let mut moved = self.moved.subscribe();
        loop {
            let stream = tokio::select! {
                stream = interrupted::accept(&listener) => stream,
                _ = moved.wait_for(|moved| moved.contains(&address)) => return,
            };
            let this = self.clone();
            spawn_local(async move { this.connection(stream, view, address).await });
        }
    }

    async fn connection(&self, stream: TcpStream, view: View, address: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream, MessageKind::Requests);
        let (mut down, mut moved) = (self.down.subscribe(), self.moved.subscribe());
        let closed_behind_move = async {
            let _ = moved.wait_for(|moved| moved.contains(&address)).await;
            sleep(CLOSES_BEHIND_MOVE).await;
        };
        let is_down = tokio::select! {
            biased;
            _ = down.wait_for(|down| *down) => true,
            () = closed_behind_move => false,
            _ = self.follow(&mut reader, view) => false,
        };
        if is_down {
            let _ = SockRef::from(&*reader.inner()).set_linger(Some(Duration::ZERO));
        }
    }

    async fn follow(&self, reader: &mut Reader<TcpStream>, view: View) -> io::Result<()> {
        while let Some(message) = reader.message().await? {
            self.calls.set(self.calls.get() + 1);
            note(&self.world, view, Event::Called);
            if self.silent.get() {
                return lost(reader).await;
            }
            let stream = reader.inner();
            if !message.target.starts_with("/api/targets") {
                write_whole(stream, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            } else if self.refuses.get() || !self.turn().await {
                note(&self.world, view, Event::Refused);
                write_whole(stream, b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    .await?;
            } else if self.silent.get() {
                return lost(reader).await;
            } else if has_gone(stream) {
                return Ok(());
            } else if message.target.contains("watch=1") {
                self.watch(&message, stream, view).await?;
                return if self.silent.get() { lost(reader).await } else { Ok(()) };
            } else {
                let list = self.whole();
                let version = list.rev;
                let text = self.json(list, view);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                if self.cut.get() {
                    write_whole(stream, format!("{head}{}", &text[..text.len() / 2]).as_bytes()).await?;
                    return Ok(());
                }
                note(&self.world, view, Event::Written(version));
                let in_pieces = self.strikes(self.manner().pieces);
                writer::write(stream, (head + &text).as_bytes(), in_pieces).await?;
                self.world.ledger(|ledger| ledger.listed(text.len()));
            }
        }
        Ok(())
    }

    /// Waits for this call's turn; whether it came in time.
    async fn turn(&self) -> bool {
        let latest = Instant::now() + self.spec.timeout.0;
        let done = self.next_turn();
        if done > latest {
            sleep_until(latest).await;
            return false;
        }
        self.busy_until.set(done);
        sleep_until(done).await;
        true
    }

    /// Takes a turn; when it is done.
    fn take_turn(&self) -> Instant {
        let done = self.next_turn();
        self.busy_until.set(done);
        done
    }

    /// When what begins its turn now is done.
    fn next_turn(&self) -> Instant {
        let each = Duration::try_from_secs_f64(1.0 / self.spec.calls_per_s).unwrap_or_default();
        self.busy_until.get().max(Instant::now()) + each
    }

    fn whole(&self) -> EndpointList {
        let mut targets = self.listed.borrow().clone();
        targets.retain(|target| !self.manner().omits_draining || target.state != TargetState::Draining);
        let left = targets.len() as f64 * (1.0 - self.short.get());
        targets.truncate(left.round() as usize);
        EndpointList { rev: *self.rev.borrow(), is_complete: true, targets }
    }

    /// What changed after this version; the whole list where that is not known any more.
    fn after(&self, rev: u64) -> EndpointList {
        let history = self.history.borrow();
        let now = *self.rev.borrow();
        let complete = rev == now || history.front().is_some_and(|(first, _)| *first <= rev + 1);
        if rev > now || !complete {
            return self.whole();
        }
        let changes = history.iter().filter(|(at, _)| *at > rev);
        EndpointList {
            rev: now,
            is_complete: false,
            targets: changes.map(|(_, target)| target.clone()).collect(),
        }
    }

    /// Serves a watch until it ends, or until discovery falls silent.
    async fn watch(&self, message: &Message, stream: &mut TcpStream, view: View) -> io::Result<()> {
        let query = message.target.split_once('?').map_or("", |(_, query)| query);
        let after = query.split('&').find_map(|pair| pair.strip_prefix("after=")?.parse().ok());
        write_whole(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut rev = self.rev.subscribe();
        let after = after.filter(|_| !self.strikes(self.manner().whole_first));
        let first = after.map_or_else(|| self.whole(), |after| self.after(after));
        rev.mark_unchanged();
        let mut told = first.rev;
        self.write_list(stream, first, view).await?;
        // When the change that is known has its turn.
        let mut turn: Option<Instant> = None;
        let mut idle_line = Instant::now() + self.spec.idle_line.0;
        let mut peeked = [0];
        loop {
            let due = tokio::select! {
                biased;
                () = sleep_until(turn.unwrap_or(idle_line)), if turn.is_some() => true,
                Ok(()) = rev.changed(), if turn.is_none() => {
                    turn = Some(if self.manner().notify_in_turn { self.take_turn() } else { Instant::now() });
                    continue;
                }
                () = sleep_until(idle_line) => false,
                // Nothing is written to a caller that has gone.
                _ = stream.peek(&mut peeked) => return Ok(()),
            };
            if self.silent.get() {
                return Ok(());
            }
            idle_line = Instant::now() + self.spec.idle_line.0;
            if !due {
                write_whole(stream, writer::chunk("").as_bytes()).await?;
                continue;
            }
            turn = None;
            rev.mark_unchanged();
            if self.strikes(self.manner().ends_watches) {
                note(&self.world, view, Event::WatchEnded);
                return Ok(());
            }
            let changes = self.after(told);
            told = changes.rev;
            self.write_list(stream, changes, view).await?;
        }
    }

    async fn write_list(&self, stream: &mut TcpStream, list: EndpointList, view: View) -> io::Result<()> {
        note(&self.world, view, Event::Written(list.rev));
        let text = self.json(list, view);
        let in_pieces = self.strikes(self.manner().pieces);
        writer::write(stream, writer::chunk(&text).as_bytes(), in_pieces).await?;
        self.world.ledger(|ledger| ledger.listed(text.len()));
        Ok(())
    }

    /// A list as a view words it.
    fn json(&self, mut list: EndpointList, view: View) -> String {
        if let Some(addresses) = view.map(|view| &self.views[view]) {
            for target in &mut list.targets {
                target.endpoint = addresses.get(&target.uid).copied().unwrap_or(target.endpoint);
            }
        }
        // Numbers and text: it never fails.
        match self.manner().indented {
            true => serde_json::to_string_pretty(&list).unwrap_or_default(),
            false => serde_json::to_string(&list).unwrap_or_default(),
        }
    }

    /// The fleet's clock, for whoever reports.
    pub fn now(&self) -> Duration {
        self.world.now()
    }
}

/// Whether a caller has ended its connection.
fn has_gone(stream: &TcpStream) -> bool {
    matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(0))
}

/// What discovery took and says nothing to: the connection stays until its caller ends it.
async fn lost(reader: &mut Reader<TcpStream>) -> io::Result<()> {
    while reader.message().await?.is_some() {}
    Ok(())
}
