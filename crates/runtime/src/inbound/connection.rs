//! One client's connection: where it stands, and when it is closed.

use super::Inbound;
use crate::budget::Permit;
use crate::socket::{BUFFER_MOST, Heard, Socket};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// A request's head must have come whole within this, counted from the connection's start or, later, from
/// its first byte: a good client may take 2 s for it, and bad ones are owed an error or a close within 3 s.
const HEAD_TIME: Duration = Duration::from_millis(2500);
/// A client that reads nothing of its answer for so long is given up: good ones take seconds.
const UNREAD_MOST: Duration = Duration::from_secs(20);
/// A connection is closed once it has been between requests for this long.
const IDLE_MOST: Duration = Duration::from_secs(20);
/// How often a connection looks whether its time is up.
const TICK: Duration = Duration::from_millis(500);
/// While draining, a connection on which nothing has come yet is closed after this.
const FRESH_WAIT: Duration = Duration::from_millis(200);
/// A connection that ends by our will is read on for this long, so that its client comes to read the last answer
/// and to see the end: longer than any way there and back, and over well before an operator's drain is due (4 s
/// after the call, of which `DRAIN_IDLE` has gone) or SIGKILL.
const LINGER: Duration = Duration::from_secs(1);
/// And no further than this, in bytes: several times what a client has on its way before it looks at its answer.
const LINGER_MOST: usize = 4 * BUFFER_MOST;

/// Where a client's connection stands, in the order in which it passes from one to the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// No request has come whole yet.
    Fresh,
    /// A request is being served.
    Serving {
        /// When it began to come.
        began: Instant,
    },
    /// Its answer is on its way to the client.
    Answering,
    /// Between requests since then; the next one may have begun to come.
    Between {
        /// Since when.
        since: Instant,
    },
    /// It is closed between requests: what is left of the last answer goes out, and nothing more is taken.
    Closing,
    /// It has ended by our will or the client's: nothing that still comes is a request.
    Lingering,
}

/// How a connection came to its end. A request that is read after it could have no answer any more.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// It never brought a whole request: nothing is on its way to its client.
    Unused,
    /// It rested, and may have been answered just before.
    Resting,
    /// Its client was told, or has ended it: whatever it still sends is read away, so that it comes to read that.
    Answered,
}

/// What moves a connection on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// A request's head has come.
    Taken,
    /// Its answer is decided.
    Decided,
    /// Its answer has been given, or can't be.
    Answered,
    /// It is to close, with nothing of a request here.
    Closes,
    /// The connection ends.
    Ended,
}

/// A client's connection.
pub(super) struct Turn {
    pub(super) heard: Rc<Heard>,
    accepted: Instant,
    stage: Cell<Stage>,
    /// The next answer is the connection's last, and says so.
    pub(super) last: Cell<bool>,
    /// Something came behind the request before its answer was over: hyper holds it, and it begins nothing new.
    ahead: Cell<bool>,
    /// It was told to close to make room.
    pub(super) closing: Cell<bool>,
    /// Wakes the connection to close itself.
    pub(super) close: Notify,
    /// Wakes it where it only lingers and its place is wanted.
    pub(super) room: Notify,
}

impl Turn {
    fn new(heard: Rc<Heard>) -> Rc<Self> {
        let (last, ahead, closing, close, room) = Default::default();
        let (accepted, stage) = (Instant::now(), Cell::new(Stage::Fresh));
        Rc::new(Turn { heard, accepted, stage, last, ahead, closing, close, room })
    }

    /// The only way from one stage to the next. What ended never begins again.
    pub(super) fn step(&self, step: Step) {
        let next = match (self.stage.get(), step) {
            (Stage::Lingering, _) | (_, Step::Ended) => Stage::Lingering,
            (_, Step::Closes) | (Stage::Closing, Step::Answered) => Stage::Closing,
            (_, Step::Taken) => Stage::Serving { began: self.request_start() },
            (_, Step::Decided) => Stage::Answering,
            (_, Step::Answered) => Stage::Between { since: Instant::now() },
        };
        self.stage.set(next);
    }

    /// Begins to close it where it is between requests: its last answer may still be going out. Elsewhere nothing is.
    fn closes(&self) -> bool {
        let between = matches!(self.stage.get(), Stage::Between { .. } | Stage::Closing);
        if between {
            self.step(Step::Closes);
        }
        between
    }

    /// Its answer is over, or can't be given. What came meanwhile lies in hyper's buffer.
    pub(super) fn answered(&self) {
        self.ahead.set(self.heard.more());
        self.step(Step::Answered);
        self.heard.forget();
    }

    /// Whether the request that was just taken began to come before the answer ahead of it was over.
    pub(super) fn came_ahead(&self) -> bool {
        self.ahead.get()
    }

    /// When the next request began to come, as far as that is known; none while nothing of it is here.
    fn began(&self) -> Option<Instant> {
        match self.stage.get() {
            Stage::Between { since } if self.ahead.get() => Some(since),
            _ => self.heard.began(),
        }
    }

    pub(super) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// A request is being served or answered.
    fn is_busy(&self) -> bool {
        matches!(self.stage.get(), Stage::Serving { .. } | Stage::Answering)
    }

    /// How long it has been between requests, with nothing of the next one here; none before the first.
    pub(super) fn idle(&self) -> Option<Duration> {
        match self.stage.get() {
            Stage::Between { since } if self.began().is_none() => Some(since.elapsed()),
            _ => None,
        }
    }

    /// How long a new one has said nothing.
    pub(super) fn silent(&self) -> Option<Duration> {
        let fresh = self.stage.get() == Stage::Fresh && self.heard.began().is_none();
        fresh.then(|| self.accepted.elapsed())
    }

    /// How long it has been in the middle of a request's head.
    pub(super) fn partial(&self) -> Option<Duration> {
        let waits = matches!(self.stage.get(), Stage::Fresh | Stage::Between { .. });
        self.began().filter(|_| waits).map(|at| at.elapsed())
    }

    /// The process ends: a client must be able to tell that an answer still on its way is not whole, also where that has
    /// no length.
    pub(super) fn cut_off(&self) {
        if matches!(self.stage.get(), Stage::Answering | Stage::Closing) {
            self.heard.resets();
        }
    }

    /// When a request that has begun to come, or the first one, began.
    pub(super) fn request_start(&self) -> Instant {
        match (self.stage.get(), self.began()) {
            (Stage::Serving { began }, _) | (Stage::Between { .. }, Some(began)) => began,
            _ => self.accepted,
        }
    }

    /// When it is closed unless something comes; none while a request is open.
    pub(super) fn until(&self) -> Option<Instant> {
        match self.stage.get() {
            Stage::Serving { .. } | Stage::Answering | Stage::Closing | Stage::Lingering => None,
            Stage::Between { since } if self.began().is_none() => Some(since + IDLE_MOST),
            Stage::Fresh | Stage::Between { .. } => Some(self.request_start() + HEAD_TIME),
        }
    }
}

impl Inbound {
    pub(super) async fn connection(self: Rc<Self>, stream: TcpStream, shed: bool, _permit: Option<Permit>) {
        let _ = stream.set_nodelay(true);
        let (socket, heard) = Socket::new(stream);
        let turn = Turn::new(heard);
        let number = self.next.get();
        self.next.set(number + 1);
        self.connections.borrow_mut().insert(number, turn.clone());
        let end = self.follow(socket, shed, &turn).await;
        turn.step(Step::Ended);
        turn.closing.set(false);
        let lingers = async {
            match end {
                End::Unused => {}
                End::Resting => turn.heard.linger_unread().await,
                End::Answered => turn.heard.linger(LINGER_MOST).await,
            }
        };
        // Whoever wants room may end this early; it holds its place in the budget until then.
        tokio::select! {
            biased;
            () = lingers => {}
            () = turn.room.notified() => {}
            () = sleep(self.before_the_end(LINGER)) => {}
        }
        self.connections.borrow_mut().remove(&number);
    }

    /// How long something may take on a connection, less where the process is to end sooner.
    fn before_the_end(&self, wanted: Duration) -> Duration {
        self.lifecycle.shutdown().map_or(wanted, |end| end.limit(wanted, Instant::now()))
    }

    /// Whether a connection that is to be closed can be: not where a request, or a part of one, came in the meantime
    /// and lies unread. That one is served, as the connection's last.
    fn is_over(&self, turn: &Turn) -> bool {
        let unread = matches!(turn.stage(), Stage::Fresh | Stage::Between { .. })
            && turn.began().is_none()
            && turn.heard.pending();
        if unread {
            turn.last.set(true);
        }
        !unread
    }

    /// Serves a connection until its end.
    async fn follow(&self, socket: Socket, shed: bool, turn: &Rc<Turn>) -> End {
        let service = service_fn(|request| self.answer(request, shed, turn));
        let connection = http1::Builder::new()
            .keep_alive(!shed)
            .max_buf_size(BUFFER_MOST)
            .serve_connection(TokioIo::new(socket), service);
        let mut connection = pin!(connection);
        let mut fresh_until = None;
        loop {
            let until =
                fresh_until.into_iter().chain(turn.until()).fold(Instant::now() + TICK, Instant::min);
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    // Any other error is the client's leaving.
                    let rested = ended.is_ok() && turn.stage() == Stage::Closing;
                    if ended.is_err_and(|e| e.is_parse()) {
                        drop(self.metrics.start_request(None));
                    }
                    return if rested { End::Resting } else { End::Answered };
                }
                () = turn.close.notified() => {
                    let drains = self.lifecycle.draining_since().is_some();
                    if turn.is_busy() || (drains && turn.partial().is_some()) {
                        turn.last.set(true);
                    } else if drains && turn.stage() == Stage::Fresh {
                        // The first request is as good as taken: to close now would lose what the
                        // client is just writing.
                        fresh_until.get_or_insert_with(|| Instant::now() + self.before_the_end(FRESH_WAIT));
                    } else if self.is_over(turn) {
                        if turn.closes() {
                            connection.as_mut().graceful_shutdown();
                        } else {
                            return End::Unused;
                        }
                    } else {
                        yield_now().await;
                    }
                }
                () = sleep_until(until) => {
                    let now = Instant::now();
                    let writes = matches!(turn.stage(), Stage::Answering | Stage::Closing);
                    if writes && turn.heard.unwritten() >= UNREAD_MOST {
                        turn.heard.resets();
                        return End::Answered;
                    }
                    let unused = fresh_until.take_if(|at| *at <= now).is_some() && turn.heard.began().is_none();
                    if turn.until().is_some_and(|at| at <= now || unused) {
                        if !self.is_over(turn) {
                            yield_now().await; // what has come is still to be read: the sockets are looked at
                        } else if turn.closes() {
                            connection.as_mut().graceful_shutdown();
                        } else {
                            return End::Unused;
                        }
                    }
                }
            }
        }
    }
}
