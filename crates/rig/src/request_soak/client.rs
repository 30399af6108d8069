//! Clients that wait for their answers, leave, come again, write slowly, and keep their connections.

use super::record::{ClientEnd, RequestRecord, SoakRecord};
use super::run::Front;
use super::wire::{Connection, ReadError};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// An answer that comes this long after the client's time is only worth nothing; a later one is lost.
pub const LATE_GRACE: Duration = Duration::from_millis(500);
/// Time in which a connection to a sidecar comes up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pieces of a request that is written slowly.
const SLOW_PIECES: usize = 4;
/// A client that has closed its sending side reads on for so long.
const HALF_CLOSED_READ: Duration = Duration::from_millis(400);

/// How a client leaves before its answer.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    Reset,
    HalfClose,
}

/// What one request is.
struct RequestPlan {
    id: String,
    class: &'static str,
    timeout: Duration,
    text: Vec<u8>,
    /// When the client leaves, counted from the last byte.
    leave: Option<(Leave, Duration)>,
    is_slow: bool,
    is_repeat: bool,
}

/// One client.
pub struct Client {
    random: Pcg32,
    front: Arc<Front>,
    record: Arc<SoakRecord>,
    next_id: Arc<AtomicU64>,
    longest_timeout: Duration,
    until: Instant,
    connection: Option<OpenConnection>,
    /// The sidecar and its address that the last request went to.
    last: Option<(usize, SocketAddr)>,
}

struct OpenConnection {
    connection: Connection,
    sidecar: usize,
    requests: u32,
}

impl Client {
    pub fn new(
        seed: u64,
        front: Arc<Front>,
        record: Arc<SoakRecord>,
        next_id: Arc<AtomicU64>,
        longest_timeout: Duration,
        until: Instant,
    ) -> Client {
        let random = Pcg32::seed_from_u64(seed);
        Client { random, front, record, next_id, longest_timeout, until, connection: None, last: None }
    }

    /// Sends requests until the run ends, and waits for the last one's answer.
    pub async fn run(mut self) {
        while Instant::now() < self.until {
            let mut plan = self.draw_request();
            let end = self.request(&plan).await;
            if end == Some(ClientEnd::Left) && plan.class != "quote" && self.random.random_bool(0.3) {
                sleep(Duration::from_millis(self.random.random_range(5..300))).await;
                self.connection = None;
                (plan.leave, plan.is_repeat) = (None, true);
                self.request(&plan).await;
            }
            let rest_ms = match self.random.random_range(0..20) {
                0 => self.random.random_range(800..2500),
                _ => self.random.random_range(0..120),
            };
            sleep(Duration::from_millis(rest_ms)).await;
        }
    }

    fn draw_request(&mut self) -> RequestPlan {
        let random = &mut self.random;
        let id = format!("r{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let class = ["quote", "quote", "book", "pay"][random.random_range(0..4)];
        let length = match random.random_range(0..100) {
            0..=64 => random.random_range(1..3_000),
            65..=84 => random.random_range(3_000..60_000),
            85..=96 => random.random_range(60_000..300_000),
            _ => random.random_range(1_100_000..2_000_000),
        };
        let least = self.longest_timeout.mul_f64(0.2);
        let timeout = random.random_range(least..self.longest_timeout);
        let leave = random.random_bool(0.15).then(|| {
            let leave = [Leave::Close, Leave::Reset, Leave::HalfClose][random.random_range(0..3)];
            (leave, Duration::from_millis(random.random_range(0..400)))
        });
        let is_slow = random.random_bool(0.08);
        let text = request_text(&id, class, timeout, length, random);
        RequestPlan { id, class, timeout, text, leave, is_slow, is_repeat: false }
    }

    /// Sends one request and records how it ended; none if no sidecar can be reached.
    async fn request(&mut self, plan: &RequestPlan) -> Option<ClientEnd> {
        let begun = Instant::now();
        if self.connection.is_none() {
            self.connection = self.connect(plan.is_repeat).await;
        }
        let mut open = self.connection.take()?;
        let is_first = open.requests == 0;
        open.requests += 1;
        let written = timeout(CONNECT_TIMEOUT, self.write(&mut open.connection, plan)).await;
        let sent = Instant::now();
        let (end, is_kept) = match written {
            Ok(Ok(())) => self.await_answer(&mut open.connection, plan, sent).await,
            _ => (ClientEnd::NotAccepted, false),
        };
        let ended = match &end {
            ClientEnd::Left => left_at(plan, sent).min(Instant::now()),
            _ => Instant::now(),
        };
        let request = RequestRecord {
            id: plan.id.clone(),
            class: plan.class,
            sidecar: open.sidecar,
            begun,
            sent,
            timeout_s: plan.timeout.as_secs_f64(),
            ended,
            end: end.clone(),
            is_first,
            is_repeat: plan.is_repeat,
        };
        self.record.update(|record| record.requests.push(request));
        if is_kept {
            self.connection = Some(open);
        }
        Some(end)
    }

    /// Connects to a sidecar; with a repeat, to the one that had the request.
    async fn connect(&mut self, is_repeat: bool) -> Option<OpenConnection> {
        let last = self.last.filter(|_| is_repeat);
        let (sidecar, address) = last.or_else(|| self.front.choose(&mut self.random))?;
        self.last = Some((sidecar, address));
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        Some(OpenConnection { connection: Connection::new(stream), sidecar, requests: 0 })
    }

    async fn write(&mut self, connection: &mut Connection, plan: &RequestPlan) -> io::Result<()> {
        if !plan.is_slow {
            return connection.stream.write_all(&plan.text).await;
        }
        let piece_len = plan.text.len() / SLOW_PIECES + 1;
        for (number, piece) in plan.text.chunks(piece_len).enumerate() {
            if number > 0 {
                sleep(Duration::from_millis(self.random.random_range(1..120))).await;
            }
            connection.stream.write_all(piece).await?;
        }
        Ok(())
    }

    /// Waits for the answer, or leaves. Returns also whether the connection may be used again.
    async fn await_answer(
        &self,
        connection: &mut Connection,
        plan: &RequestPlan,
        sent: Instant,
    ) -> (ClientEnd, bool) {
        connection.start_message();
        let latest = sent + plan.timeout + LATE_GRACE;
        let answer = read_answer(connection);
        let until = plan.leave.map_or(latest, |(_, after)| sent + after.min(latest - sent));
        match timeout_at(until, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => (without_answer(connection, &error), false),
            Err(_) if plan.leave.is_none() => (ClientEnd::Overdue, false),
            Err(_) => {
                self.leave(connection, plan).await;
                (ClientEnd::Left, false)
            }
        }
    }

    async fn leave(&self, connection: &mut Connection, plan: &RequestPlan) {
        match plan.leave {
            Some((Leave::Reset, _)) => {
                let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
            }
            Some((Leave::HalfClose, _)) => {
                let _ = connection.stream.shutdown().await;
                let _ = timeout(HALF_CLOSED_READ, read_answer(connection)).await;
            }
            Some((Leave::Close, _)) | None => {}
        }
    }
}

/// When a client that leaves has left at the latest; the connection is closed right behind.
fn left_at(plan: &RequestPlan, sent: Instant) -> Instant {
    let slack = Duration::from_millis(5);
    sent + plan.leave.map_or(Duration::ZERO, |(_, after)| after) + slack
}

async fn read_answer(connection: &mut Connection) -> Result<(ClientEnd, bool), ReadError> {
    let head = connection.read_head().await?;
    let body = connection.read_body(&head).await?;
    let is_kept = head.header("connection") != Some("close");
    Ok((ClientEnd::Answered { status: head.status(), body }, is_kept))
}

fn without_answer(connection: &Connection, error: &ReadError) -> ClientEnd {
    match error {
        ReadError::Invalid => ClientEnd::Answered { status: 0, body: Vec::new() },
        ReadError::Ended | ReadError::Failed if connection.read_since_start > 0 => ClientEnd::Truncated,
        ReadError::Ended | ReadError::Failed => ClientEnd::Unanswered,
    }
}

fn request_text(id: &str, class: &str, timeout: Duration, length: usize, random: &mut Pcg32) -> Vec<u8> {
    let head = |method: &str, more: &str| {
        format!(
            "{method} /{class}/x?n=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\n\
             X-Timeout: {}m\r\n{more}\r\n",
            timeout.as_millis()
        )
    };
    if class == "quote" {
        let is_long = random.random_bool(0.1);
        let note =
            if is_long { format!("X-Note: {}\r\n", "n".repeat(length.min(20_000))) } else { String::new() };
        return head("GET", &note).into_bytes();
    }
    let key = if class == "pay" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    if random.random_bool(0.2) {
        let mut text = head("POST", &format!("{key}Transfer-Encoding: chunked\r\n")).into_bytes();
        text.extend_from_slice(format!("{length:x}\r\n").as_bytes());
        text.resize(text.len() + length, b'b');
        text.extend_from_slice(b"\r\n0\r\n\r\n");
        return text;
    }
    let mut text = head("POST", &format!("{key}Content-Length: {length}\r\n")).into_bytes();
    text.resize(text.len() + length, b'b');
    text
}
