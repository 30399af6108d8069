//! Endpoints that read late, answer late, twice, in pieces or not at all, and break connections.

use super::record::{Arrival, AttemptRecord, SoakRecord, expected_body};
use super::wire::Connection;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Receive buffer of an endpoint, in bytes, and segments as over an Ethernet: what it has not read stays with the
/// sidecar's machine, but for a few KiB.
const RECEIVE_LEN: usize = 4 * 1024;
const SEGMENT_LEN: u32 = 1460;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 2;
/// Length of a short answer's body, and of a long one's, in bytes.
const SHORT_ANSWER: std::ops::Range<usize> = 64..2_000;
const LONG_ANSWER: std::ops::Range<usize> = 80_000..400_000;
/// Lateness of a second answer behind the first.
const SECOND_ANSWER_MS: std::ops::Range<f64> = 2.0..8.0;
/// A request that is never answered is given up after this.
const HANG: Duration = Duration::from_secs(8);

/// Interval of an endpoint's troubles.
const TROUBLE_INTERVAL_MS: std::ops::Range<u64> = 800..5000;
/// In this share of them its process dies: all its connections are reset.
const CRASH_SHARE: f64 = 0.3;
/// In the others its machine takes no new connections for so long. With a short backlog, most come up when the sidecar's
/// machine asks again after a second.
const NOT_ACCEPTING_MS: std::ops::Range<u64> = 100..1300;

/// What becomes of a connection.
#[derive(Clone, Copy, PartialEq)]
enum Next {
    Continue,
    Close,
    Reset,
}

/// What an endpoint does with a request that it has read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Serve,
    ServeTwice,
    ServeChunked,
    ServeLong,
    ServeUntilClose,
    /// An answer without a length whose connection is reset half way.
    ResetInAnswer,
    ResetBeforeAnswer,
    Error,
    /// Turned away unseen, before the body is read or behind it.
    TurnAway {
        before_body: bool,
    },
    Hang,
    Noise,
    Informational,
}

impl Behaviour {
    fn draw(random: &mut Pcg32, is_calm: bool) -> Behaviour {
        if is_calm {
            return Behaviour::Serve;
        }
        match random.random_range(0..100) {
            0..=8 => Behaviour::ServeTwice,
            9..=16 => Behaviour::ServeChunked,
            17..=19 => Behaviour::ServeLong,
            20..=23 => Behaviour::ServeUntilClose,
            24..=25 => Behaviour::ResetInAnswer,
            26..=28 => Behaviour::ResetBeforeAnswer,
            29..=30 => Behaviour::Error,
            31..=32 => Behaviour::TurnAway { before_body: true },
            33..=34 => Behaviour::TurnAway { before_body: false },
            35..=37 => Behaviour::Hang,
            38 => Behaviour::Noise,
            39..=40 => Behaviour::Informational,
            _ => Behaviour::Serve,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Behaviour::Serve => "served",
            Behaviour::ServeTwice => "served twice",
            Behaviour::ServeChunked => "served in chunks",
            Behaviour::ServeLong => "served long",
            Behaviour::ServeUntilClose => "served until the close",
            Behaviour::ResetInAnswer => "reset in the answer",
            Behaviour::ResetBeforeAnswer => "reset before the answer",
            Behaviour::Error => "error",
            Behaviour::TurnAway { before_body: true } => "turned away before the body",
            Behaviour::TurnAway { before_body: false } => "turned away",
            Behaviour::Hang => "never answered",
            Behaviour::Noise => "noise",
            Behaviour::Informational => "served behind a 1xx answer",
        }
    }

    fn has_run(self) -> bool {
        !matches!(self, Behaviour::TurnAway { .. })
    }
}

/// The endpoints of a run.
pub struct Endpoints {
    seed: u64,
    record: Arc<SoakRecord>,
    /// Ids that an endpoint has seen: another attempt of one is a second copy or a repeat.
    seen: Mutex<HashSet<String>>,
    next_connection: AtomicU64,
    /// Until then all answers come at once: the sidecars learn how long answers take.
    calm_until: Instant,
}

impl Endpoints {
    pub fn new(seed: u64, record: Arc<SoakRecord>, calm_until: Instant) -> Arc<Endpoints> {
        let (seen, next_connection) = Default::default();
        Arc::new(Endpoints { seed, record, seen, next_connection, calm_until })
    }

    /// Binds an endpoint's address.
    pub fn bind(ip: Ipv4Addr) -> io::Result<(TcpListener, SocketAddr)> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_LEN)?;
        socket.set_tcp_mss(SEGMENT_LEN)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::from((ip, 0)).into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from_std(socket.into())?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    }

    /// Serves one endpoint until dropped. Behind the calm its machine takes no new connections for a while now and then, and
    /// its process dies now and then.
    pub async fn serve(self: Arc<Self>, number: usize, listener: TcpListener) {
        let mut random = Pcg32::seed_from_u64(self.seed ^ (number as u64) << 40);
        let mut connections = JoinSet::new();
        let mut next_trouble = self.calm_until + trouble_interval(&mut random);
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    let this = self.clone();
                    let connection = self.next_connection.fetch_add(1, Ordering::Relaxed);
                    connections.spawn(async move { this.serve_connection(number, connection, stream).await });
                }
                () = sleep_until(next_trouble) => {
                    if random.random_bool(CRASH_SHARE) {
                        let crash = (number, Instant::now());
                        self.record.update(|record| record.endpoint_crashes.push(crash));
                        connections.shutdown().await;
                    } else {
                        sleep(Duration::from_millis(random.random_range(NOT_ACCEPTING_MS))).await;
                    }
                    next_trouble = Instant::now() + trouble_interval(&mut random);
                }
            }
        }
    }

    async fn serve_connection(&self, endpoint: usize, number: u64, stream: TcpStream) {
        // A task that is ended from outside resets its connection, as a process that dies does.
        reset_on_close(&stream, true);
        let mut connection = Connection::new(stream);
        let end = self.serve_requests(endpoint, number, &mut connection).await;
        reset_on_close(&connection.stream, end == Next::Reset);
    }

    /// Serves requests until the connection is to end.
    async fn serve_requests(&self, endpoint: usize, number: u64, connection: &mut Connection) -> Next {
        let mut random = Pcg32::seed_from_u64(self.seed ^ (number << 20) ^ endpoint as u64);
        for use_number in 0.. {
            let idle = if random.random_bool(0.1) { random.random_range(10..400) } else { 60_000 };
            let Ok(Ok(head)) = timeout(Duration::from_millis(idle), connection.read_head()).await else {
                return Next::Close;
            };
            let id = head.header("x-request-id").unwrap_or_default().to_owned();
            let head_at = Instant::now();
            let is_calm = head_at < self.calm_until;
            let behaviour = Behaviour::draw(&mut random, is_calm);
            let is_again = !self.seen.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
            if behaviour == (Behaviour::TurnAway { before_body: true }) {
                let _ = turn_away(connection).await; // fails only if the sidecar has ended the connection
            } else if !is_calm && random.random_bool(if is_again { 0.6 } else { 0.05 }) {
                sleep(Duration::from_millis(random.random_range(100..1500))).await;
            }
            let arrival = match connection.read_body(&head).await {
                Ok(_) => Arrival::Whole { not_before: connection.waited_until, read: Instant::now() },
                Err(_) => Arrival::Broken,
            };
            let is_whole = arrival != Arrival::Broken;
            let has_run = is_whole && behaviour.has_run();
            let answer = behaviour.name();
            let attempt = AttemptRecord {
                id: id.clone(),
                endpoint,
                connection: number,
                use_number,
                head_at,
                arrival,
                answer,
                has_run,
            };
            self.record.update(|record| record.attempts.push(attempt));
            if !is_whole {
                return Next::Close;
            }
            match self.answer(connection, &id, endpoint, behaviour, &mut random).await {
                Next::Continue => {}
                end => return end,
            }
        }
        Next::Close
    }

    /// Works on a request and answers it. Returns what becomes of the connection.
    async fn answer(
        &self,
        connection: &mut Connection,
        id: &str,
        endpoint: usize,
        behaviour: Behaviour,
        random: &mut Pcg32,
    ) -> Next {
        let is_long_work = random.random_bool(0.06);
        let work_ms = if is_long_work { random.random_range(150..900) } else { random.random_range(2..30) };
        sleep(Duration::from_millis(work_ms)).await;
        let length =
            random.random_range(if behaviour == Behaviour::ServeLong { LONG_ANSWER } else { SHORT_ANSWER });
        let body = expected_body(id, endpoint, length);
        let whole = [head_with_length(body.len()).into_bytes(), body.clone()].concat();
        let stream = &mut connection.stream;
        let written = match behaviour {
            Behaviour::Serve => stream.write_all(&whole).await,
            Behaviour::ServeTwice => {
                let written = stream.write_all(&whole).await;
                sleep(Duration::from_secs_f64(random.random_range(SECOND_ANSWER_MS) / 1000.0)).await;
                // Nothing else waits on the connection.
                if !connection.has_unread() {
                    self.record.update(|record| record.second_answers += 1);
                    let _ = connection.stream.write_all(&whole).await;
                }
                written
            }
            Behaviour::ServeChunked => write_chunks(stream, &body, random).await,
            Behaviour::ServeLong => write_slowly(stream, &whole, random).await,
            Behaviour::ServeUntilClose => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                let _ = write_slowly(stream, &body, random).await;
                return Next::Close;
            }
            Behaviour::ResetInAnswer => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                let _ = stream.write_all(&body[..body.len() / 2]).await;
                sleep(Duration::from_millis(random.random_range(1..60))).await;
                return Next::Reset;
            }
            Behaviour::ResetBeforeAnswer => {
                return Next::Reset;
            }
            Behaviour::Error => {
                stream.write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n").await
            }
            Behaviour::TurnAway { before_body: true } => Ok(()),
            Behaviour::TurnAway { before_body: false } => turn_away(connection).await,
            Behaviour::Hang => {
                // Until the sidecar ends the connection.
                let _ = timeout(HANG, connection.read_head()).await;
                return Next::Close;
            }
            Behaviour::Noise => stream.write_all(b"\x01\x02 no answer at all\r\n\r\n").await,
            Behaviour::Informational => {
                let _ = stream.write_all(b"HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n").await;
                sleep(Duration::from_millis(random.random_range(1..40))).await;
                stream.write_all(&whole).await
            }
        };
        if written.is_ok() { Next::Continue } else { Next::Close }
    }
}

fn head_with_length(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

async fn turn_away(connection: &mut Connection) -> io::Result<()> {
    let text = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    connection.stream.write_all(text).await
}

async fn write_chunks(stream: &mut TcpStream, body: &[u8], random: &mut Pcg32) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    for piece in body.chunks(random.random_range(20..600)) {
        stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await?;
        stream.write_all(&[piece, b"\r\n"].concat()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}

async fn write_slowly(stream: &mut TcpStream, bytes: &[u8], random: &mut Pcg32) -> io::Result<()> {
    for piece in bytes.chunks(30_000) {
        stream.write_all(piece).await?;
        sleep(Duration::from_millis(random.random_range(0..20))).await;
    }
    Ok(())
}

fn reset_on_close(stream: &TcpStream, is_reset: bool) {
    // Fails only on a connection that has ended.
    let _ = SockRef::from(stream).set_linger(is_reset.then_some(Duration::ZERO));
}

fn trouble_interval(random: &mut Pcg32) -> Duration {
    Duration::from_millis(random.random_range(TROUBLE_INTERVAL_MS))
}
