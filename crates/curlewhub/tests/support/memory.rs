//! Load with long messages, and the memory that the sidecar's processes hold meanwhile.

use super::{Sidecar, config_for_addresses, request};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval at which the memory of the processes is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes that a peer reads or writes at once.
const PIECE: usize = 64 * 1024;
/// A client gives up an answer that it has not read to its end by then.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(25);
/// Endpoints of a load.
const ENDPOINTS: usize = 9;

/// How fast a peer reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Pause after each piece that is read.
    pub pause: Duration,
}

/// What clients send and endpoints answer.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    pub clients: usize,
    /// Length of a further header of each request, in bytes.
    pub header: usize,
    /// Length of each request's body, in bytes.
    pub body: usize,
    /// Length of each answer, in bytes.
    pub answer: usize,
    /// How fast endpoints read requests.
    pub endpoint: Pace,
    /// How fast clients read answers.
    pub client: Pace,
    /// Time that endpoints work on a request.
    pub work: Duration,
    /// One in this many answers of an endpoint is invalid, in one way after the other; none if zero.
    pub invalid_every: usize,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            clients: 1,
            header: 0,
            body: 4,
            answer: 2_000,
            endpoint: Pace::default(),
            client: Pace::default(),
            work: Duration::from_millis(100),
            invalid_every: 0,
        }
    }
}

/// Reads `length` bytes at this pace; false if the connection ends before.
fn read_bytes(from: &mut impl Read, length: usize, pace: Pace) -> bool {
    let mut piece = vec![0; PIECE];
    let mut left = length;
    while left > 0 {
        let wanted = left.min(PIECE);
        match from.read(&mut piece[..wanted]) {
            Ok(count) if count > 0 => left -= count,
            _ => return false,
        }
        thread::sleep(pace.pause);
    }
    true
}

/// A message head: its first line, the body's length, and whether the connection ends after it.
struct Head {
    first_line: String,
    length: usize,
    closes: bool,
}

fn read_head(from: &mut impl BufRead) -> Option<Head> {
    let mut head = Head { first_line: String::new(), length: 0, closes: false };
    from.read_line(&mut head.first_line).ok().filter(|count| *count > 0)?;
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Some(head);
        }
        if let Some(length) = line.strip_prefix("content-length: ") {
            head.length = length.parse().ok()?;
        }
        head.closes |= line == "connection: close";
    }
}

/// Ways in which an answer is invalid.
#[derive(Clone, Copy)]
enum InvalidAnswer {
    /// It ends early.
    CutOff,
    /// Its head does not end.
    EndlessHead,
    /// It is a rejection with a long body.
    LongRejection,
    /// It states a length of 3 GB, and far more of it arrives than may be buffered.
    Endless,
}

const WAYS: [InvalidAnswer; 4] = [
    InvalidAnswer::CutOff,
    InvalidAnswer::EndlessHead,
    InvalidAnswer::LongRejection,
    InvalidAnswer::Endless,
];

/// Writes an invalid answer; the connection is of no use afterwards.
fn write_invalid(to: &mut TcpStream, way: InvalidAnswer, body: &[u8]) -> std::io::Result<()> {
    let head = |status: &str, length: usize| format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n");
    match way {
        InvalidAnswer::CutOff => {
            to.write_all(format!("{}\r\n", head("200 OK", body.len() + 1)).as_bytes())?;
            to.write_all(body)
        }
        InvalidAnswer::EndlessHead => {
            to.write_all(b"HTTP/1.1 200 OK\r\nX-Pad: ")?;
            (0..32).try_for_each(|_| to.write_all(&[b'h'; 4096]))
        }
        InvalidAnswer::LongRejection => {
            let head = head("503 Full", 60_000) + "X-Not-Processed: 1\r\n\r\n";
            to.write_all(head.as_bytes())?;
            to.write_all(&[b'r'; 60_000])
        }
        InvalidAnswer::Endless => {
            to.write_all(format!("{}\r\n", head("200 OK", 3_000_000_000)).as_bytes())?;
            (0..64).try_for_each(|_| to.write_all(&[b'e'; PIECE]))
        }
    }
}

/// What the connections of an endpoint share.
struct Endpoint {
    traffic: Traffic,
    body: Vec<u8>,
    answers: AtomicUsize,
}

impl Endpoint {
    /// How the next answer is invalid, if it is.
    fn next_invalid(&self) -> Option<InvalidAnswer> {
        let every = self.traffic.invalid_every;
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        (every > 0 && number.is_multiple_of(every)).then(|| WAYS[number / every % WAYS.len()])
    }

    /// Answers requests one after another until the connection ends.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::with_capacity(PIECE, stream);
        loop {
            let head = read_head(&mut reader)?;
            if !read_bytes(&mut reader, head.length, self.traffic.endpoint) {
                return None;
            }
            thread::sleep(self.traffic.work);
            if let Some(way) = self.next_invalid() {
                let _ = write_invalid(reader.get_mut(), way, &self.body);
                return None;
            }
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", self.body.len());
            reader.get_mut().write_all(answer.as_bytes()).ok()?;
            reader.get_mut().write_all(&self.body).ok()?;
        }
    }
}

fn start_endpoint(traffic: Traffic) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint =
        Arc::new(Endpoint { traffic, body: vec![b'a'; traffic.answer], answers: AtomicUsize::new(0) });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let endpoint = endpoint.clone();
            thread::spawn(move || endpoint.serve(stream));
        }
    });
    address
}

/// A configuration with this memory and these descriptors, whose endpoints answer as `traffic` says.
pub fn config(memory_mb: usize, sockets: usize, traffic: Traffic) -> Value {
    let addresses: Vec<_> = (0..ENDPOINTS).map(|_| start_endpoint(traffic)).collect();
    let mut config = config_for_addresses(&addresses);
    config["limits"]["memory_mb"] = json!(memory_mb);
    config["limits"]["sockets"] = json!(sockets);
    config
}

fn long_request(id: &str, traffic: Traffic) -> Vec<u8> {
    let mut text = request("pay", id, "10000m")
        .replace("Idempotency-Key: k1", &format!("Idempotency-Key: {id}"))
        .replace("Content-Length: 4", &format!("Content-Length: {}", traffic.body))
        .replace("\r\n\r\nbody", "\r\n\r\n");
    if traffic.header > 0 {
        text =
            text.replace("X-Tenant-Id", &format!("X-Pad: {}\r\nX-Tenant-Id", "h".repeat(traffic.header)));
    }
    let mut bytes = text.into_bytes();
    bytes.resize(bytes.len() + traffic.body, b'b');
    bytes
}

/// How requests ended, by status or else by what was seen.
pub type Answers = BTreeMap<String, usize>;

/// The share of requests that were served.
pub fn served_share(answers: &Answers) -> f64 {
    let all: usize = answers.values().sum();
    answers.get("200").copied().unwrap_or(0) as f64 / all.max(1) as f64
}

/// Sends requests one after another until stopped.
fn run_client(to: SocketAddr, name: usize, traffic: Traffic, stop: &AtomicBool) -> Answers {
    let mut answers = Answers::new();
    let mut kept: Option<BufReader<TcpStream>> = None;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let Some(mut connection) = kept.take().or_else(|| {
            let stream = TcpStream::connect(to).ok()?;
            stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
            Some(BufReader::with_capacity(PIECE, stream))
        }) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let written = connection.get_mut().write_all(&long_request(&format!("c{name}-{number}"), traffic));
        let head = read_head(&mut connection);
        let end = match &head {
            None if written.is_ok() => "no answer".to_owned(),
            None => "closed while the request was written".to_owned(),
            Some(head) if !read_bytes(&mut connection, head.length, traffic.client) => "cut off".to_owned(),
            Some(head) => head.first_line.split(' ').nth(1).unwrap_or_default().to_owned(),
        };
        if end == "503" {
            thread::sleep(Duration::from_millis(200));
        }
        *answers.entry(end).or_default() += 1;
        if head.is_some_and(|head| !head.closes) {
            kept = Some(connection);
        }
    }
    answers
}

/// Clients of a running load.
pub struct LongLoad {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Answers>>,
}

impl LongLoad {
    pub fn start(to: SocketAddr, traffic: Traffic) -> LongLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..traffic.clients)
            .map(|name| {
                let stop = stop.clone();
                thread::spawn(move || run_client(to, name, traffic, &stop))
            })
            .collect();
        LongLoad { stop, threads }
    }

    /// Stops the clients after their current requests.
    pub fn stop(self) -> Answers {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = Answers::new();
        for answers in self.threads.into_iter().map(|thread| thread.join().unwrap()) {
            for (end, count) in answers {
                *all.entry(end).or_default() += count;
            }
        }
        all
    }
}

/// Memory of a process in KiB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Held {
    /// Its own pages.
    pub own: usize,
    /// Pages of the program's file, which processes of one program share.
    pub file: usize,
}

impl Held {
    /// What a process holds now; nothing once it has exited.
    pub fn by(process: u32) -> Held {
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let value = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
        };
        Held { own: value("RssAnon:"), file: value("RssFile:") }
    }
}

/// The memory of a sidecar's processes, read over and over.
#[derive(Default)]
pub struct Watch {
    most: usize,
}

impl Watch {
    /// Reads for some time what the processes hold together.
    pub fn watch(&mut self, processes: &[&Sidecar], time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.read(processes);
            thread::sleep(SAMPLE_INTERVAL);
        }
    }

    /// Reads what the processes hold together.
    pub fn read(&mut self, processes: &[&Sidecar]) {
        let held: Vec<Held> = processes.iter().map(|process| Held::by(process.child.id())).collect();
        let own: usize = held.iter().map(|held| held.own).sum();
        let file = held.iter().map(|held| held.file).max().unwrap_or(0);
        self.most = self.most.max(own + file);
    }

    /// Fails if the processes ever held more than their configured memory.
    pub fn assert_within(&self, memory_mb: usize, what: &str) {
        println!("{what}: at most {} KiB resident, {memory_mb} MB configured", self.most);
        assert!(
            self.most <= memory_mb * 1024,
            "{what}: {} KiB resident, {memory_mb} MB configured",
            self.most
        );
    }
}
