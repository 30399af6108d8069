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
/// Delay of late answers: long enough for a second attempt, and far shorter than a request's timeout.
const LATE_BY: Duration = Duration::from_secs(4);
/// Endpoints of a load.
const ENDPOINTS: usize = 9;

/// How fast a peer reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Pause after each piece that is read.
    pub pause: Duration,
}

/// How a body is framed.
#[derive(Clone, Copy, Debug)]
pub enum BodyFraming {
    /// Its length is stated.
    Length,
    /// Chunks of this length, in bytes.
    Chunked(usize),
    /// The length of a request's body is stated; an answer's body ends with its connection.
    UntilClose,
}

impl BodyFraming {
    /// The header that states the framing of a request's body.
    fn request_header(self, length: usize) -> String {
        match self {
            BodyFraming::Chunked(_) => "Transfer-Encoding: chunked".to_owned(),
            BodyFraming::Length | BodyFraming::UntilClose => format!("Content-Length: {length}"),
        }
    }

    /// The header that states the framing of an answer's body.
    fn answer_header(self, length: usize) -> String {
        match self {
            BodyFraming::UntilClose => "Connection: close".to_owned(),
            BodyFraming::Length | BodyFraming::Chunked(_) => self.request_header(length),
        }
    }

    /// A body of this many of these bytes, as it is sent.
    fn encode(self, byte: u8, length: usize) -> Vec<u8> {
        let body = vec![byte; length];
        let BodyFraming::Chunked(chunk_len) = self else { return body };
        let mut encoded = Vec::new();
        for chunk in body.chunks(chunk_len) {
            encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            encoded.extend_from_slice(chunk);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(b"0\r\n\r\n");
        encoded
    }
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
    /// How the bodies of requests and answers are framed.
    pub framing: BodyFraming,
    /// How fast endpoints read requests.
    pub endpoint: Pace,
    /// How fast clients read answers.
    pub client: Pace,
    /// Time that endpoints work on a request.
    pub work: Duration,
    /// One in this many answers of an endpoint is invalid, in one way after the other; none if zero.
    pub invalid_every: usize,
    /// One in this many answers of an endpoint is late by [`LATE_BY`]; none if zero.
    pub late_every: usize,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            clients: 1,
            header: 0,
            body: 4,
            answer: 2_000,
            framing: BodyFraming::Length,
            endpoint: Pace::default(),
            client: Pace::default(),
            work: Duration::from_millis(100),
            invalid_every: 0,
            late_every: 0,
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

/// Reads a chunked body at this pace; its length, or none if the connection ends before.
fn read_chunks(from: &mut impl BufRead, pace: Pace) -> Option<usize> {
    let mut total = 0;
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let line_end = "\r\n".len();
        let is_read = read_bytes(from, length, pace) && read_bytes(from, line_end, Pace::default());
        if !is_read {
            return None;
        }
        total += length;
        if length == 0 {
            return Some(total);
        }
    }
}

/// A message head: its first line, the body's length, and whether the connection ends after it.
struct Head {
    first_line: String,
    length: usize,
    is_chunked: bool,
    closes: bool,
}

impl Head {
    /// Reads the body that follows at this pace; its length, or none if the connection ends before.
    fn read_body(&self, from: &mut impl BufRead, pace: Pace) -> Option<usize> {
        if self.is_chunked {
            return read_chunks(from, pace);
        }
        read_bytes(from, self.length, pace).then_some(self.length)
    }
}

fn read_head(from: &mut impl BufRead) -> Option<Head> {
    let mut head = Head { first_line: String::new(), length: 0, is_chunked: false, closes: false };
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
        head.is_chunked |= line == "transfer-encoding: chunked";
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

/// Whether this number is one in `every`, beginning with zero; never if `every` is zero.
fn is_one_in(number: usize, every: usize) -> bool {
    every > 0 && number.is_multiple_of(every)
}

/// What the connections of an endpoint share.
struct Endpoint {
    traffic: Traffic,
    /// The body of each answer, as it is sent.
    body: Vec<u8>,
    answers: AtomicUsize,
    /// Requests that all endpoints have received.
    received: Arc<AtomicUsize>,
}

impl Endpoint {
    /// How the answer of this number is invalid, if it is.
    fn invalid(&self, number: usize) -> Option<InvalidAnswer> {
        let every = self.traffic.invalid_every;
        is_one_in(number, every).then(|| WAYS[number / every % WAYS.len()])
    }

    /// Answers requests one after another until the connection ends.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::with_capacity(PIECE, stream);
        loop {
            let head = read_head(&mut reader)?;
            self.received.fetch_add(1, Ordering::SeqCst);
            head.read_body(&mut reader, self.traffic.endpoint)
                .filter(|length| *length == self.traffic.body)?;
            thread::sleep(self.traffic.work);
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            if is_one_in(number, self.traffic.late_every) {
                thread::sleep(LATE_BY);
            }
            if let Some(way) = self.invalid(number) {
                let _ = write_invalid(reader.get_mut(), way, &self.body);
                return None;
            }
            let framing = self.traffic.framing;
            let header = framing.answer_header(self.traffic.answer);
            reader.get_mut().write_all(format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n").as_bytes()).ok()?;
            reader.get_mut().write_all(&self.body).ok()?;
            if matches!(framing, BodyFraming::UntilClose) {
                return None;
            }
        }
    }
}

fn start_endpoint(traffic: Traffic, received: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let body = traffic.framing.encode(b'a', traffic.answer);
    let endpoint = Arc::new(Endpoint { traffic, body, answers: AtomicUsize::new(0), received });
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
    config_with_counter(memory_mb, sockets, traffic, &Arc::default())
}

/// As [`config`]; the endpoints count the requests that they receive.
pub fn config_with_counter(
    memory_mb: usize,
    sockets: usize,
    traffic: Traffic,
    received: &Arc<AtomicUsize>,
) -> Value {
    let addresses: Vec<_> = (0..ENDPOINTS).map(|_| start_endpoint(traffic, received.clone())).collect();
    let mut config = config_for_addresses(&addresses);
    config["limits"]["memory_mb"] = json!(memory_mb);
    config["limits"]["sockets"] = json!(sockets);
    config
}

/// The head of a request with a body.
fn request_head(id: &str, traffic: Traffic) -> String {
    let mut head = request("pay", id, "10000m")
        .replace("Idempotency-Key: k1", &format!("Idempotency-Key: {id}"))
        .replace("Content-Length: 4", &traffic.framing.request_header(traffic.body))
        .replace("\r\n\r\nbody", "\r\n\r\n");
    if traffic.header > 0 {
        head =
            head.replace("X-Tenant-Id", &format!("X-Pad: {}\r\nX-Tenant-Id", "h".repeat(traffic.header)));
    }
    head
}

/// How requests ended, by status or else by what was seen.
pub type Answers = BTreeMap<String, usize>;

/// The share of requests that were served.
pub fn served_share(answers: &Answers) -> f64 {
    let all: usize = answers.values().sum();
    answers.get("200").copied().unwrap_or(0) as f64 / all.max(1) as f64
}

/// Sends requests with this body one after another until stopped.
fn run_client(to: SocketAddr, name: usize, traffic: Traffic, body: &[u8], stop: &AtomicBool) -> Answers {
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
        let request = [request_head(&format!("c{name}-{number}"), traffic).as_bytes(), body].concat();
        let written = connection.get_mut().write_all(&request);
        let head = read_head(&mut connection);
        let length = head.as_ref().and_then(|head| head.read_body(&mut connection, traffic.client));
        let status = head.as_ref().and_then(|head| head.first_line.split(' ').nth(1)).unwrap_or_default();
        let end = match &head {
            None if written.is_ok() => "no answer",
            None => "closed while the request was written",
            Some(_) if length.is_none() => "cut off",
            Some(_) if status == "200" && length != Some(traffic.answer) => "of another length",
            Some(_) => status,
        }
        .to_owned();
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
        let body: Arc<[u8]> = traffic.framing.encode(b'b', traffic.body).into();
        let threads = (0..traffic.clients)
            .map(|name| {
                let (stop, body) = (stop.clone(), body.clone());
                thread::spawn(move || run_client(to, name, traffic, &body, &stop))
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

    /// The most that the processes ever held, in KiB.
    pub fn most_kib(&self) -> usize {
        self.most
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
