//! Replacing the process: a second one started beside the first takes over its listening socket.
//!
//! The first listens on a Unix socket in the state folder. The second connects there and is handed the
//! clients' listening socket itself, so that both accept from one queue and closing either end loses
//! nothing that waits in it. The connection then stays open for as long as both live: bans told to one
//! are told to the other before their caller hears yes, and the first says how many descriptors are
//! left to the second. Its end tells either one that the other has gone.
//!
//! After the socket, both sides write lines: `DETACH ID`, `ATTACH ID`, `DONE` for each of those that
//! holds and is kept, and from the first `SPARE N` (descriptors). The first one's bans come as `DETACH`
//! lines before its first `SPARE`. Once all else of the second is ready it writes `LEARN`, and the first
//! answers `LEARNT` and what its module has learnt, in base64. As long as both live, each writes `NEED N` and
//! `GIVE N PORTION`: see `sharing`.

use super::bans::Bans;
use super::budget::Budget;
use super::events::{Command, Commands, Said};
use super::interrupts::{Uninterrupted, uninterrupted, uninterrupted_async};
use super::learnt::Learnt;
use super::lifecycle::{Lifecycle, State};
use super::outbound::Outbound;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use curlewhub_balance::Portion;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{
    AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest, ReadHalf, WriteHalf, split,
};
use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};
use tracing::{info, warn};

/// A predecessor that has not handed everything over by then is taken for hung. The successor's yes is
/// due within 6 s, with a fresh list still to come.
const TAKE_TIME: Duration = Duration::from_secs(1);
/// The other process keeps a ban within this: the caller waits for 1 s.
const SHARE_TIME: Duration = Duration::from_millis(400);
/// What the process before has learnt comes within this: its successor's yes is due.
const LEARN_TIME: Duration = Duration::from_millis(700);
/// A folder that could not be written to is tried again after this.
const BIND_AGAIN: Duration = Duration::from_millis(200);
/// How often the first process looks at what it holds, once it has a successor.
const SPARE_CHECK: Duration = Duration::from_millis(100);
/// Descriptors that an ending process may hold beyond those it has: its open requests still need
/// connections to endpoints.
const ENDING_MORE: usize = 4;
/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1024;
/// No line is longer: the longest holds a snapshot in base64, four bytes for three.
const LINE_MOST: u64 = (curlewhub_snapshot::BYTES_MOST as u64 / 3 + 1) * 4 + 64;
/// Goes with the socket: a message can't be empty.
const MARK: &[u8; 1] = b"L";

/// What passes between two processes.
#[derive(Debug, PartialEq)]
enum Word {
    Ban { uid: String, on: bool },
    Done,
    Spare(usize),
    Learn,
    Learnt(Vec<u8>),
    Share(Said),
}

/// The other process, as long as it lives.
struct Link {
    out: UnboundedSender<Word>,
    /// Who waits for the other's `DONE`, in the order of asking.
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
    /// Who waits for what the other has learnt.
    learning: Cell<Option<oneshot::Sender<Vec<u8>>>>,
    /// Tells it from the others of this process.
    number: u64,
}

/// This process's dealings with the one before it and the one after it.
pub struct Handover {
    folder: PathBuf,
    listen: SocketAddr,
    sockets: usize,
    budget: Rc<Budget>,
    commands: Commands,
    /// The clients' listening socket, for a successor.
    clients: RefCell<Option<OwnedFd>>,
    links: RefCell<Vec<Rc<Link>>>,
    has_successor: Cell<bool>,
    has_predecessor: Cell<bool>,
    next_link: Cell<u64>,
    changed: Notify,
    /// What this process's module has learnt; there once it has a module.
    learnt: RefCell<Option<Rc<Learnt>>>,
}

/// What a predecessor has handed over.
pub struct Taken {
    /// The clients' listening socket.
    pub listener: TcpListener,
    /// Endpoints out of use.
    pub bans: Vec<String>,
    /// What goes on between the two, for `follow`.
    pub talk: Talk,
}

/// What the other process says, line by line.
struct Lines(BufReader<ReadHalf<Uninterrupted<UnixStream>>>);

impl Lines {
    /// The next line without its end; none once the other has gone.
    async fn next(&mut self) -> io::Result<Option<String>> {
        let mut line = String::new();
        (&mut self.0).take(LINE_MOST).read_line(&mut line).await?;
        match line.strip_suffix('\n') {
            Some(whole) => Ok(Some(whole.to_owned())),
            None if line.len() as u64 == LINE_MOST => Err(io::Error::other("a line is too long")),
            None => Ok(None), // cut off by its end, if there was any
        }
    }
}

/// The two directions of the connection between two processes.
pub struct Talk {
    lines: Lines,
    writer: WriteHalf<Uninterrupted<UnixStream>>,
}

impl Talk {
    fn over(stream: UnixStream) -> Self {
        let (reader, writer) = split(Uninterrupted(stream));
        Talk { lines: Lines(BufReader::new(reader)), writer }
    }
}

impl Handover {
    /// For the sidecar that listens there, with its state in this folder and so many descriptors.
    pub fn new(
        folder: &Path,
        listen: SocketAddr,
        sockets: usize,
        budget: Rc<Budget>,
        commands: Commands,
    ) -> Rc<Self> {
        let (clients, links, has_successor, has_predecessor, next_link) = Default::default();
        let (changed, learnt) = Default::default();
        let folder = folder.to_owned();
        Rc::new(Handover {
            folder,
            listen,
            sockets,
            budget,
            commands,
            clients,
            links,
            has_successor,
            has_predecessor,
            next_link,
            changed,
            learnt,
        })
    }

    /// What a successor may ask for from now on.
    pub fn lets_learn(&self, learnt: Rc<Learnt>) {
        self.learnt.replace(Some(learnt));
    }

    /// What the process before has learnt until now; none where it does not say, or has gone.
    pub async fn learn(&self) -> Option<Vec<u8>> {
        let link = self.links.borrow().first().cloned().filter(|_| self.has_predecessor.get())?;
        let (told, learnt) = oneshot::channel();
        link.learning.set(Some(told));
        link.say(Word::Learn);
        drop(link);
        timeout(LEARN_TIME, learnt).await.ok()?.ok()
    }

    /// Whether another process accepts clients in this one's stead.
    pub fn has_successor(&self) -> bool {
        self.has_successor.get()
    }

    /// The socket that a successor is to be given.
    pub fn keep(&self, listener: &TcpListener) -> io::Result<()> {
        self.clients.replace(Some(listener.as_fd().try_clone_to_owned()?));
        Ok(())
    }

    /// Lets go of the socket: whoever still held it would keep the kernel accepting for nobody.
    pub fn withdraw(&self) {
        self.clients.replace(None);
    }

    /// Waits until no process before this one lives.
    pub async fn alone(&self) {
        while self.has_predecessor.get() {
            self.changed.notified().await;
        }
    }

    /// Takes over from a process that serves there, if there is one. Nobody listens any more behind the
    /// socket file that a killed one has left.
    pub async fn take(&self) -> Option<Taken> {
        match timeout(TAKE_TIME, self.take_from(&self.path())).await {
            Ok(Ok(taken)) => Some(taken),
            Ok(Err(e))
                if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) =>
            {
                None
            }
            Ok(Err(e)) => {
                warn!(error = %e, "handover failed; starting without");
                None
            }
            Err(_) => {
                warn!("handover: the process before does not answer; starting without");
                None
            }
        }
    }

    async fn take_from(&self, path: &Path) -> io::Result<Taken> {
        let stream = uninterrupted_async(async || UnixStream::connect(path).await).await?;
        let listener = receive(&stream).await?;
        let Talk { mut lines, writer } = Talk::over(stream);
        let mut bans = Vec::new();
        loop {
            match lines.next().await?.as_deref().and_then(Word::read) {
                Some(Word::Ban { uid, on: true }) => bans.push(uid),
                Some(Word::Spare(sockets)) => {
                    self.budget.share(sockets, true);
                    return Ok(Taken { listener, bans, talk: Talk { lines, writer } });
                }
                _ => return Err(io::Error::other("what the process before says is not understood")),
            }
        }
    }

    /// Goes on with the predecessor for as long as it lives.
    pub fn follow(self: &Rc<Self>, talk: Talk) {
        self.has_predecessor.set(true);
        let (link, words) = self.link();
        self.beside(&link, true);
        let this = self.clone();
        spawn_local(async move {
            this.converse(talk, link, words).await;
            info!("handover: the process before has gone");
            this.budget.share(this.sockets, false);
            this.has_predecessor.set(false);
            this.changed.notify_waiters();
        });
    }

    /// Hands over to whoever comes, until the process ends.
    pub async fn offer(self: Rc<Self>, bans: Rc<Bans>, lifecycle: Rc<Lifecycle>, outbound: Rc<Outbound>) {
        let Some(listener) = self.bound().await else { return };
        loop {
            let stream = match uninterrupted_async(async || listener.accept().await).await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!(error = %e, "handover: accept");
                    sleep(SPARE_CHECK).await;
                    continue;
                }
            };
            let Some(clients) = self.clients.borrow().as_ref().map(|clients| clients.try_clone()) else {
                continue; // this process accepts no more
            };
            let sent = match clients {
                Ok(clients) => send(&stream, &clients).await,
                Err(e) => Err(e),
            };
            if let Err(e) = sent {
                warn!(error = %e, "handover: the socket could not be given");
                continue;
            }
            info!("handover: a successor has come");
            let (link, words) = self.link();
            for uid in bans.all() {
                link.say(Word::Ban { uid, on: true });
            }
            // Little: until it is ready it only asks discovery.
            let spare = self.sockets / 4;
            link.say(Word::Spare(spare));
            self.budget.share(self.sockets - spare, true);
            let talk = Talk::over(stream);
            self.has_successor.set(true);
            self.beside(&link, false);
            tokio::select! {
                () = self.converse(talk, link.clone(), words) => {}
                () = self.give_way(&link, &lifecycle, &outbound) => {}
            }
            info!("handover: the successor has gone");
            self.forget(&link); // whichever of the two ended first
            self.has_successor.set(false);
            self.budget.share(self.sockets, false);
        }
    }

    /// Its socket, as soon as its folder lets it be: one that can't be written to now may be later. Never once another
    /// process has put its own there.
    async fn bound(&self) -> Option<UnixListener> {
        let mut told = false;
        loop {
            match self.bind() {
                Ok(listener) => return Some(listener),
                Err(e) => {
                    let path = self.path();
                    if !std::mem::replace(&mut told, true) {
                        warn!(path = %path.display(), error = %e, "no handover; a successor has to share the port");
                    }
                    sleep(BIND_AGAIN).await;
                    if path.exists() {
                        return None;
                    }
                }
            }
        }
    }

    /// Lets the successor have what this process no longer holds.
    async fn give_way(&self, link: &Link, lifecycle: &Lifecycle, outbound: &Outbound) {
        let mut told = 0;
        let mut check = interval(SPARE_CHECK);
        loop {
            check.tick().await;
            if lifecycle.state() == State::Terminating {
                self.budget.hold(ENDING_MORE);
                let spare = self.sockets.saturating_sub(self.budget.sockets());
                if spare != told {
                    told = spare;
                    link.say(Word::Spare(spare));
                }
            }
            while self.budget.over() && outbound.close_oldest_idle() {}
        }
    }

    /// Talks with the other process until it has gone.
    async fn converse(&self, talk: Talk, link: Rc<Link>, mut words: UnboundedReceiver<Word>) {
        let Talk { mut lines, mut writer } = talk;
        let say = async {
            while let Some(word) = words.recv().await {
                if writer.write_all(word.write().as_bytes()).await.is_err() {
                    return;
                }
            }
        };
        let hear = async {
            while let Ok(Some(line)) = lines.next().await {
                match Word::read(&line) {
                    Some(Word::Ban { uid, on }) => {
                        let (told, done) = oneshot::channel();
                        let _ = self.commands.send(Command::Ban { uid, on, known: true, told });
                        // Not answered where it is not kept: the caller is then owed a no.
                        if matches!(done.await, Ok(Ok(()))) {
                            link.say(Word::Done);
                        }
                    }
                    Some(Word::Done) => {
                        if let Some(waiting) = link.waiting.borrow_mut().pop_front() {
                            let _ = waiting.send(()); // who asked may have given up
                        }
                    }
                    Some(Word::Spare(sockets)) => self.budget.share(sockets, true),
                    Some(Word::Learn) => {
                        let learnt = self.learnt.borrow().clone();
                        // One that can't be told is not answered: the other then starts without.
                        if let Some(learnt) = learnt
                            && let Some(bytes) = learnt.take().await
                        {
                            link.say(Word::Learnt(bytes));
                        }
                    }
                    Some(Word::Learnt(bytes)) => {
                        if let Some(told) = link.learning.take() {
                            let _ = told.send(bytes); // who asked may have given up
                        }
                    }
                    Some(Word::Share(said)) => {
                        let _ = self.commands.send(Command::Said(link.number, said));
                    }
                    None => warn!(line, "handover: not understood"),
                }
            }
        };
        tokio::select! {
            () = say => {}
            () = hear => {}
        }
        self.forget(&link);
    }

    fn link(&self) -> (Rc<Link>, UnboundedReceiver<Word>) {
        let (out, words) = unbounded_channel();
        let number = self.next_link.replace(self.next_link.get() + 1);
        let (waiting, learning) = Default::default();
        (Rc::new(Link { out, waiting, learning, number }), words)
    }

    /// Another process is there, before this one or after it. Commands are lost only at the end.
    fn beside(&self, link: &Rc<Link>, before: bool) {
        self.links.borrow_mut().push(link.clone());
        let out = link.out.clone();
        let say = Box::new(move |said| drop(out.send(Word::Share(said))));
        let _ = self.commands.send(Command::Beside { link: link.number, before, say });
    }

    /// It has gone.
    fn forget(&self, link: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        let known = links.len();
        links.retain(|other| !Rc::ptr_eq(other, link));
        if links.len() < known {
            let _ = self.commands.send(Command::Left(link.number));
        }
    }

    /// Tells the other process, if there is one, of a ban or its end; whether that holds there too. One
    /// that has gone needs none.
    pub async fn share(&self, uid: &str, on: bool) -> bool {
        let links = self.links.borrow().clone();
        for link in links {
            let (told, done) = oneshot::channel();
            link.waiting.borrow_mut().push_back(told);
            link.say(Word::Ban { uid: uid.to_owned(), on });
            let kept = timeout(SHARE_TIME, done).await;
            let lives = self.links.borrow().iter().any(|other| Rc::ptr_eq(other, &link));
            if lives && !matches!(kept, Ok(Ok(()))) {
                return false;
            }
        }
        true
    }

    fn path(&self) -> PathBuf {
        let name = format!("curlewhub-handover-{}-{}.sock", self.listen.ip(), self.listen.port());
        self.folder.join(name)
    }

    /// Listens beside the path and renames: so the file of a process before, dead or alive, is replaced
    /// in one step.
    fn bind(&self) -> io::Result<UnixListener> {
        let beside = self.path().with_extension(format!("{}", std::process::id()));
        let _ = std::fs::remove_file(&beside); // there if an earlier process had this number
        let listener = UnixListener::bind(&beside)?;
        std::fs::rename(&beside, self.path())?;
        Ok(listener)
    }
}

impl Link {
    fn say(&self, word: Word) {
        let _ = self.out.send(word); // fails only once the other has gone
    }
}

impl Word {
    fn read(line: &str) -> Option<Word> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "DETACH" | "ATTACH" if !rest.is_empty() => {
                Some(Word::Ban { uid: rest.to_owned(), on: word == "DETACH" })
            }
            "DONE" if rest.is_empty() => Some(Word::Done),
            "SPARE" => rest.parse().ok().map(Word::Spare),
            "LEARN" if rest.is_empty() => Some(Word::Learn),
            "LEARNT" => STANDARD.decode(rest).ok().map(Word::Learnt),
            "NEED" => rest.parse().ok().map(|need| Word::Share(Said::Need(need))),
            "GIVE" => {
                let (parts, portion) = rest.split_once(' ')?;
                let portion: Portion = serde_json::from_str(portion).ok().filter(Portion::is_sound)?;
                Some(Word::Share(Said::Give(parts.parse().ok()?, portion)))
            }
            _ => None,
        }
    }

    fn write(&self) -> String {
        match self {
            Word::Ban { uid, on: true } => format!("DETACH {uid}\n"),
            Word::Ban { uid, on: false } => format!("ATTACH {uid}\n"),
            Word::Done => "DONE\n".to_owned(),
            Word::Spare(sockets) => format!("SPARE {sockets}\n"),
            Word::Learn => "LEARN\n".to_owned(),
            Word::Learnt(bytes) => format!("LEARNT {}\n", STANDARD.encode(bytes)),
            Word::Share(Said::Need(need)) => format!("NEED {need}\n"),
            Word::Share(Said::Give(parts, portion)) => {
                let portion = serde_json::to_string(portion).unwrap_or_default(); // numbers alone: never fails
                format!("GIVE {parts} {portion}\n")
            }
        }
    }
}

/// A listening socket for clients where no process serves yet. A successor that finds no way to be
/// handed it may still share the port, where that is wanted; else a second program there is an error.
pub fn bind(listen: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

/// Sends the listening socket.
async fn send(stream: &UnixStream, clients: &OwnedFd) -> io::Result<()> {
    stream
        .async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut message = SendAncillaryBuffer::new(&mut space);
            let sockets = [clients.as_fd()];
            if !message.push(SendAncillaryMessage::ScmRights(&sockets)) {
                return Err(io::Error::other("no space for the socket"));
            }
            uninterrupted(|| {
                Ok(sendmsg(stream, &[IoSlice::new(MARK)], &mut message, SendFlags::empty())?)
            })?;
            Ok(())
        })
        .await
}

/// Receives it.
async fn receive(stream: &UnixStream) -> io::Result<TcpListener> {
    let socket = stream
        .async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut message = RecvAncillaryBuffer::new(&mut space);
            let mut mark = [0; MARK.len()];
            uninterrupted(|| {
                let mark = &mut [IoSliceMut::new(&mut mark)];
                Ok(recvmsg(stream, mark, &mut message, RecvFlags::CMSG_CLOEXEC)?)
            })?;
            let sockets = message.drain().find_map(|part| match part {
                RecvAncillaryMessage::ScmRights(mut sockets) => sockets.next(),
                _ => None,
            });
            sockets.ok_or_else(|| io::Error::other("the process before sent no socket"))
        })
        .await?;
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_read_as_they_are_written() {
        let ban = |on| Word::Ban { uid: "s-1".to_owned(), on };
        let learnt = Word::Learnt(vec![0, 10, 255]);
        let portion: Portion =
            serde_json::from_str(r#"{"windows":[[3.25,true],[1.0,false]],"retries":0.1}"#).unwrap();
        let (need, give) = (Word::Share(Said::Need(9)), Word::Share(Said::Give(7, portion)));
        for word in [ban(true), ban(false), Word::Done, Word::Spare(96), Word::Learn, learnt, need, give] {
            assert_eq!(Word::read(word.write().trim_end()), Some(word));
        }
        let wrong = r#"GIVE 3 {"windows":[[1e999,true],[1.0,false]],"retries":0.1}"#;
        for bad in
            ["", "DETACH", "SPARE", "SPARE -1", "DONE x", "HELLO", "LEARN x", "LEARNT ~", "NEED", wrong]
        {
            assert_eq!(Word::read(bad), None, "{bad}");
        }
    }
}
