//! The endpoint list: asks discovery for it, and follows its changes.

use super::events::{Call, Inbox, Input, News};
use super::freshness::{Backoff, CALL, CONNECT, PAUSE, TORN, Watching};
use super::guard::Guard;
use super::interrupts::Uninterrupted;
use super::listing::Listing;
use curlewhub_balance::{Discovery as Mode, Membership};
use curlewhub_config::list::{List, State};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Bytes, Incoming};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{info, warn};

/// No list, and no line of a watch, is longer than this.
const LIST_MOST: usize = 4 << 20;

/// Why a call to discovery brought nothing.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// It was answered, and not by a list: discovery is there.
    #[error("answered {0}")]
    Refused(StatusCode),
    /// Anything else: nobody there, no answer in time, or what came was no list.
    #[error("{0}")]
    Failed(String),
}

impl From<String> for CallError {
    fn from(reason: String) -> Self {
        CallError::Failed(reason)
    }
}

/// What the node knows of discovery.
pub struct Discovery {
    address: Cell<SocketAddr>,
    mode: Mode,
    listing: Rc<Listing>,
    rev: Cell<u64>,
    /// The server is new: its versions don't compare with those of the list held, so that a whole list
    /// must come first, whatever its number.
    moved: Cell<bool>,
    /// It has told us of the list since the start of the process.
    heard: Cell<bool>,
    draws: RefCell<Pcg32>,
    inbox: Inbox,
}

impl Discovery {
    /// Discovery at this address.
    pub fn new(address: SocketAddr, mode: Mode, listing: Rc<Listing>, seed: u64, inbox: Inbox) -> Rc<Self> {
        let draws = RefCell::new(Pcg32::seed_from_u64(seed));
        let (rev, moved, heard) = Default::default();
        let address = Cell::new(address);
        Rc::new(Discovery { address, mode, listing, rev, moved, heard, draws, inbox })
    }

    /// Whether the list is as discovery has it, and not only as it was last held before the start.
    pub fn is_fresh(&self) -> bool {
        self.heard.get()
    }

    /// The list as last held, to start from.
    pub fn cached(&self, list: List) -> News {
        self.rev.set(list.rev);
        let mut news = self.listing.news(list);
        if let Membership::Full(entries) | Membership::Delta(entries) = news.membership {
            news.membership = Membership::Cached(entries);
        }
        news
    }

    /// Carries out the driver's calls. Each is answered by an event, whether it was made before or after it; a watch
    /// then goes on.
    pub async fn run(self: Rc<Self>, mut calls: UnboundedReceiver<Call>) {
        let mut watch = (self.mode == Mode::Push).then(|| self.watch());
        let mut fetches = JoinSet::new();
        loop {
            let call = tokio::select! {
                call = calls.recv() => call,
                Some(_) = fetches.join_next() => continue,
            };
            match call {
                None => return,
                Some(Call::Watch(true)) if self.mode == Mode::Push => self.tell(unchanged()), // it is up already
                Some(Call::Watch(true)) => drop(watch.replace(self.watch())),
                Some(Call::Watch(false)) => {
                    drop(watch.take());
                    self.tell(unchanged());
                }
                Some(Call::Replace(_)) => {} // the file's list was for the start alone
                // One call out at a time: what it brings answers whoever asks meanwhile.
                Some(Call::Fetch) if !fetches.is_empty() => {}
                Some(Call::Fetch) => drop(fetches.spawn_local(self.clone().fetch_once())),
                Some(Call::Move(address)) => {
                    self.address.set(address);
                    self.moved.set(true);
                    // Nothing of the old server may come in any more; what was asked of it is asked anew.
                    if !std::mem::take(&mut fetches).is_empty() {
                        fetches.spawn_local(self.clone().fetch_once());
                    }
                    // The old list goes on until the new server's whole list is there. Where the
                    // module has to ask, a failure here is told, and it asks again.
                    drop(watch.replace(self.watch()));
                }
            }
        }
    }

    fn watch(self: &Rc<Self>) -> Guard {
        let this = self.clone();
        let task = spawn_local(async move {
            match this.mode {
                Mode::Push => this.keep_watch().await,
                Mode::Ask => {
                    let error = this.follow(&mut Backoff::default()).await;
                    this.failed(&error);
                }
            }
        });
        Guard::new(task.abort_handle())
    }

    async fn fetch_once(self: Rc<Self>) {
        let before = self.rev.get();
        match self.fetch().await {
            // The watch has brought something since it was asked for, and that is newer. Where nothing has, a lower
            // version is that of a server that began anew.
            Ok(list) if list.rev < self.rev.get() && before != self.rev.get() && !self.moved.get() => {
                self.heard.set(true);
                self.tell(unchanged());
            }
            Ok(list) => self.take(list),
            Err(error) => self.failed(&error),
        }
    }

    /// Where lists are pushed, a watch must always be up: the module never asks for one.
    async fn keep_watch(&self) {
        let mut backoff = Backoff::default();
        loop {
            let begun = Instant::now();
            let error = self.follow(&mut backoff).await;
            self.failed(&error);
            let draw = f64::from(self.draws.borrow_mut().next_u32()) / f64::from(u32::MAX);
            let wait = match error {
                CallError::Refused(_) => backoff.refused(begun.elapsed(), draw),
                CallError::Failed(_) => backoff.wait(begun.elapsed(), draw),
            };
            sleep(wait).await;
        }
    }

    /// Follows changes until the watch ends; gives the reason.
    async fn follow(&self, backoff: &mut Backoff) -> CallError {
        if self.moved.get() {
            match self.fetch().await {
                Ok(list) if list.all => self.take(list),
                Ok(_) => return CallError::Failed("the list is not whole".to_owned()),
                Err(error) => return error,
            }
        }
        let path = format!("/api/targets?watch=1&after={}", self.rev.get());
        let due = Instant::now() + CALL;
        let (response, _connection) = match self.call(&path, due).await {
            Ok(answered) => answered,
            Err(error) => return error,
        };
        let mut body = response.into_body();
        let (mut text, mut looked) = (Vec::new(), None);
        let mut watching = Watching::Opening { due };
        loop {
            match self.more(&mut body, &mut text, &mut looked, watching.due()).await {
                Ok(true) => {}
                Ok(false) => {
                    self.take_torn(&text);
                    return CallError::Failed("the watch ended".to_owned());
                }
                Err(reason) => return CallError::Failed(format!("the watch {reason}")),
            }
            let first = matches!(watching, Watching::Opening { .. });
            let ended = match self.take_lines(&mut text, first) {
                Ok(ended) => ended,
                Err(reason) => return CallError::Failed(reason),
            };
            if ended {
                backoff.came();
                looked = None;
            }
            watching = watching.came(Instant::now(), ended, !text.is_empty());
        }
    }

    /// Takes what is whole of the lines that a watch has brought, and leaves the rest; whether there was one. A list
    /// may come indented, over several lines; an empty one says that nothing has changed.
    fn take_lines(&self, text: &mut Vec<u8>, first: bool) -> Result<bool, String> {
        let (mut ended, mut told) = (false, false);
        loop {
            let white = text.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            ended |= text.drain(..white).any(|byte| byte == b'\n');
            // A piece without a list's end is not read again and again.
            if !text.contains(&b'}') {
                break;
            }
            let mut lists = serde_json::Deserializer::from_slice(text).into_iter::<List>();
            match lists.next() {
                Some(Ok(list)) => {
                    let end = lists.byte_offset();
                    text.drain(..end);
                    self.take(list);
                    (ended, told) = (true, true);
                }
                Some(Err(e)) if e.is_eof() => break,
                // To skip a change would leave the list wrong for good: the watch begins again instead.
                Some(Err(e)) => {
                    self.take_torn(text);
                    return Err(format!("the watch brought what is no list: {e}"));
                }
                None => break,
            }
        }
        if text.len() > LIST_MOST {
            return Err("the watch brought too long a line".to_owned());
        }
        if ended {
            self.heard.set(true);
        }
        if ended && first && !told {
            self.tell(unchanged()); // it works again: the next failure is a first one
        }
        Ok(ended)
    }

    async fn fetch(&self) -> Result<List, CallError> {
        let due = Instant::now() + CALL;
        let (response, _connection) = self.call("/api/targets", due).await?;
        let mut body = response.into_body();
        let (mut text, mut looked) = (Vec::new(), None);
        while self
            .more(&mut body, &mut text, &mut looked, due)
            .await
            .map_err(|reason| format!("the list {reason}"))?
        {
            if text.len() > LIST_MOST {
                return Err("the list is too long".to_owned().into());
            }
        }
        let list = serde_json::from_slice(&text).map_err(|e| format!("no list: {e}"));
        list.inspect_err(|_| self.take_torn(&text)).map_err(CallError::Failed)
    }

    /// Reads on, false at the end; no longer than until then, however steadily something comes. Where it
    /// pauses, trickles or breaks, what came of endpoints that leave is taken.
    async fn more<B>(
        &self,
        body: &mut B,
        text: &mut Vec<u8>,
        looked: &mut Option<Instant>,
        due: Instant,
    ) -> Result<bool, String>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let begun = !text.trim_ascii().is_empty();
        let look = *looked.get_or_insert_with(Instant::now) + TORN;
        let mut next = timeout_at(if begun { look.min(due) } else { due }, body.frame()).await;
        if begun && matches!(next, Err(_) | Ok(Some(Err(_)))) {
            self.take_torn(text);
            *looked = Some(Instant::now());
        }
        if begun && next.is_err() {
            next = timeout_at((Instant::now() + PAUSE).min(due), body.frame()).await;
        }
        match next {
            Ok(None) => Ok(false),
            Ok(Some(Ok(frame))) => {
                text.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                if !begun {
                    *looked = None;
                }
                Ok(true)
            }
            Ok(Some(Err(e))) => Err(format!("broke: {e}")),
            Err(_) => Err(if begun { "broke off" } else { "fell silent" }.to_owned()),
        }
    }

    /// Takes from a list that broke off what it told of endpoints that leave: a drain told is told, whatever
    /// came of the rest. What is up or missing may be told otherwise behind the break, and waits for a list.
    fn take_torn(&self, text: &[u8]) {
        let mut list = List::torn(text);
        list.targets.retain(|target| target.state != State::Up);
        let old = list.rev < self.rev.get() && !self.moved.get();
        if !old && !list.targets.is_empty() {
            info!(rev = list.rev, entries = list.targets.len(), "list that broke off");
            let news = self.listing.news(list);
            self.tell(news);
        }
    }

    async fn call(&self, path: &str, due: Instant) -> Result<(Response<Incoming>, Guard), CallError> {
        let up = due.min(Instant::now() + CONNECT);
        let connect = timeout_at(up, TcpStream::connect(self.address.get())).await;
        let stream = connect.map_err(|_| "no connection in time".to_owned())?.map_err(|e| e.to_string())?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(Uninterrupted(stream))).await;
        let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
        let task = spawn_local(connection);
        let guard = Guard::new(task.abort_handle());
        let request = Request::get(path)
            .header(header::HOST, self.address.get().to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|e| e.to_string())?;
        let answer = timeout_at(due, sender.send_request(request)).await;
        let response = answer.map_err(|_| "no answer in time".to_owned())?.map_err(|e| e.to_string())?;
        match response.status() {
            StatusCode::OK => Ok((response, guard)),
            status => Err(CallError::Refused(status)),
        }
    }

    fn take(&self, list: List) {
        self.rev.set(list.rev);
        self.heard.set(true);
        if list.all {
            self.moved.set(false);
        }
        if !list.targets.is_empty() {
            info!(rev = list.rev, whole = list.all, entries = list.targets.len(), "list");
        }
        let news = self.listing.news(list);
        self.tell(news);
    }

    fn failed(&self, error: &CallError) {
        warn!(reason = %error, "discovery");
        let membership = match error {
            CallError::Refused(_) => Membership::Refused,
            CallError::Failed(_) => Membership::Failed,
        };
        self.tell(News { membership, addresses: Vec::new() });
    }

    fn tell(&self, news: News) {
        let _ = self.inbox.send(Input::List(news)); // fails only while the process ends
    }
}

fn unchanged() -> News {
    News { membership: Membership::Delta(Vec::new()), addresses: Vec::new() }
}
