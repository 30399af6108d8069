//! Clients: connections that are kept, one request at a time on each, and retries as the protocol has them.

use super::Plan;
use super::mix::{ClassMix, Mix};
use curlewhub_config::RepeatPolicy;
use curlewhub_model::{End, pick};
use curlewhub_standins::books::Books;
use curlewhub_standins::http::{Message, Reader, Side};
use rand::Rng;
use rand_pcg::Pcg32;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// An answer that comes up to this long after the time that its request gave is still waited for, to tell
/// one that is late from one that never comes.
const LATE_MOST: Duration = Duration::from_secs(5);
/// An answer this much after its request's time is late: what clocks and scheduling blur.
const LATE: Duration = Duration::from_millis(50);
/// Idle connections to one sidecar, at the most; beyond that a connection is closed after its answer.
const IDLE_MOST: usize = 256;
/// A client closes a connection that has been idle for this long itself.
const IDLE: Duration = Duration::from_secs(10);

/// A request's end and what its tries brought.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Its end, the last try's.
    pub end: End,
    /// Tries, retries among them.
    pub tries: u32,
    /// Tries that had no answer.
    pub unanswered: u32,
    /// Tries with bytes behind their answer that belong to no request.
    pub answered_twice: u32,
    /// Tries served with what was not made for them.
    pub wrong: u32,
    /// Tries answered after their time.
    pub late: u32,
}

/// One request.
pub struct Request {
    /// Its class, by number.
    pub class: usize,
    target: SocketAddr,
    tenant: Option<usize>,
    key: u64,
}

struct Kept {
    reader: Reader<TcpStream>,
    since: Instant,
}

/// All clients.
pub struct Client {
    targets: Vec<SocketAddr>,
    mix: Mix,
    /// Sets ids of this run apart from those of another one.
    run: u64,
    next: Cell<u64>,
    idle: RefCell<HashMap<SocketAddr, Vec<Kept>>>,
    books: Books,
}

/// One try's answer.
struct Answer {
    message: Message,
    twice: bool,
    late: bool,
}

impl Client {
    /// No connections yet.
    pub fn new(plan: &Plan, books: Books) -> Self {
        let (next, idle) = Default::default();
        let run = std::process::id().into();
        Client { targets: plan.targets.clone(), mix: plan.mix.clone(), run, next, idle, books }
    }

    /// Draws a request.
    pub fn request(&self, draws: &mut Pcg32) -> Request {
        let class = pick(self.mix.classes.iter().map(|class| class.share), draws).unwrap_or_default();
        let tenant = pick(self.mix.tenants.iter().map(|tenant| tenant.share), draws);
        let target = self.targets[draws.random_range(0..self.targets.len())];
        Request { class, target, tenant, key: draws.random() }
    }

    /// Asks, and asks again as clients do, until the end.
    pub async fn ask(&self, request: &Request, draws: &mut Pcg32) -> Outcome {
        let class = &self.mix.classes[request.class];
        let retry = &self.mix.retry;
        let start = Instant::now();
        let (unanswered, answered_twice, wrong, late) = Default::default();
        let mut outcome =
            Outcome { end: End::Unanswered, tries: 0, unanswered, answered_twice, wrong, late };
        loop {
            outcome.tries += 1;
            let left = class.deadline.0.saturating_sub(start.elapsed());
            let time = retry.time(class.deadline.0, left);
            let id = format!("{:x}-{:x}", self.run, self.next.replace(self.next.get() + 1));
            let text = self.text(request, class, &id, time, outcome.tries > 1);
            let mut told = None;
            let (asked, mut status) = (Instant::now(), None);
            outcome.end = match self.exchange(request.target, &text, time).await {
                None => {
                    outcome.unanswered += 1;
                    End::Unanswered
                }
                Some(answer) => {
                    outcome.answered_twice += u32::from(answer.twice);
                    outcome.late += u32::from(answer.late);
                    told = retry_after(&answer.message);
                    status = Some((answer.message.status, answer.twice, answer.late));
                    match answer.message.status {
                        200 if answer.message.body.windows(id.len()).any(|part| part == id.as_bytes()) => {
                            End::Served
                        }
                        200 => {
                            outcome.wrong += 1;
                            End::Failed
                        }
                        429 | 503 => End::Refused,
                        _ => End::Failed,
                    }
                }
            };
            // At its end, with how long ago it was asked: one line a try.
            self.books.note(|| {
                json!({"what": "try", "id": id, "request": request.key, "sidecar": request.target, "class": class.name,
                       "keyed": class.repeat == RepeatPolicy::Keyed, "time_us": time.as_micros() as u64,
                       "took_us": asked.elapsed().as_micros() as u64, "end": outcome.end, "status": status.map(|s| s.0),
                       "twice": status.is_some_and(|s| s.1), "late": status.is_some_and(|s| s.2),
                       "retry_after_ms": told.map(|told| told.as_millis() as u64)})
            });
            if !retry.again(outcome.end, class.repeat, outcome.tries) {
                return outcome;
            }
            let wait = retry.wait(outcome.tries, told, draws);
            if start.elapsed() + wait >= class.deadline.0 {
                return outcome;
            }
            sleep(wait).await;
        }
    }

    /// A request has ended, so long after it was due, as its client took it.
    pub fn ended(&self, request: &Request, outcome: &Outcome, took: Duration) {
        let class = &self.mix.classes[request.class];
        self.books.note(|| {
            json!({"what": "request", "request": request.key, "sidecar": request.target, "class": class.name,
                   "end": outcome.end, "tries": outcome.tries, "took_us": took.as_micros() as u64,
                   "in_time": outcome.end == End::Served && took <= class.objective.0})
        });
    }

    fn text(&self, request: &Request, class: &ClassMix, id: &str, time: Duration, again: bool) -> Vec<u8> {
        let method = if class.repeat == RepeatPolicy::Safe { "GET" } else { "POST" };
        let mut text = format!(
            "{method} /{}/x?user={:x} HTTP/1.1\r\nHost: load\r\nX-Request-ID: {id}\r\nX-Timeout: {}u\r\n",
            class.name,
            request.key,
            time.as_micros()
        );
        if let Some(tenant) = request.tenant {
            text += &format!("X-Tenant-Id: {}\r\n", self.mix.tenants[tenant].name);
        }
        if class.repeat == RepeatPolicy::Keyed {
            text += &format!("Idempotency-Key: {:016x}{:x}\r\n", request.key, self.run);
        }
        if again {
            text += "X-Retried: 1\r\n";
        }
        let length = if class.repeat == RepeatPolicy::Safe { 0 } else { class.body.0 as usize };
        if class.repeat != RepeatPolicy::Safe {
            text += &format!("Content-Length: {length}\r\n");
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.resize(bytes.len() + length, b'x');
        bytes
    }

    /// One try: none where it had no answer.
    async fn exchange(&self, target: SocketAddr, text: &[u8], time: Duration) -> Option<Answer> {
        let due = Instant::now() + time;
        loop {
            let kept = self.take(target);
            let (used, connected) = match kept {
                Some(reader) => (true, Some(reader)),
                None => (false, timeout(time, connect(target)).await.ok()?.ok()),
            };
            let mut reader = connected?;
            let read = async {
                reader.inner().write_all(text).await?;
                reader.message().await
            };
            let left = due.saturating_duration_since(Instant::now()) + LATE_MOST;
            match timeout(left, read).await.ok()? {
                Ok(Some(message)) => {
                    let late = Instant::now() > due + LATE;
                    let twice = reader.surplus() > 0;
                    if !twice && !message.closes() {
                        self.keep(target, reader);
                    }
                    return Some(Answer { message, twice, late });
                }
                // Its close crossed a request that the sidecar has not read: once more on a new one.
                Ok(None) | Err(_) if used => {}
                Ok(None) | Err(_) => return None,
            }
        }
    }

    /// An idle connection that is still open, the most recently used first.
    fn take(&self, target: SocketAddr) -> Option<Reader<TcpStream>> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(target).or_default();
        while let Some(mut one) = kept.pop() {
            if one.since.elapsed() >= IDLE {
                kept.clear(); // the others are older
                return None;
            }
            // Anything but "nothing yet" is its end, or what nobody asked for.
            let quiet = one.reader.inner().try_read(&mut [0]);
            if quiet.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
                return Some(one.reader);
            }
        }
        None
    }

    fn keep(&self, target: SocketAddr, reader: Reader<TcpStream>) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(target).or_default();
        if kept.len() < IDLE_MOST {
            kept.push(Kept { reader, since: Instant::now() });
        }
    }
}

async fn connect(target: SocketAddr) -> io::Result<Reader<TcpStream>> {
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    Ok(Reader::new(stream, Side::Answers))
}

fn retry_after(message: &Message) -> Option<Duration> {
    let seconds = message.header("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
