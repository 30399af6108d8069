//! Stand-ins for the platform, discovery, endpoints, the network between halls and clients. Standard library alone.

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::os::fd::AsRawFd;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- record and random numbers

pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn open(path: &str) -> Arc<Record> {
        Arc::new(Record { file: Mutex::new(File::create(path).expect("record.txt")), start: Instant::now() })
    }

    pub fn at(&self, t: Instant) -> f64 {
        t.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let text = format!("{:10.2} {}\n", self.at(Instant::now()), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }

    /// A line of the record that is shown on the terminal too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Arc<Random> {
        Arc::new(Random(AtomicU64::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)))
    }

    pub fn next(&self) -> u64 {
        let mut z = self.0.fetch_add(0x9E37_79B9_7F4A_7C15, SeqCst);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    pub fn unit(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

// ---------------------------------------------------------------- HTTP messages

#[derive(Default, Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When the first and the last byte arrived.
    pub began: Option<Instant>,
    pub ended: Option<Instant>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A connection with what has been read from it and not been used yet.
pub struct Wire {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
    first: Option<Instant>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, rest: Vec::new(), first: None }
    }

    fn more(&mut self, until: Instant) -> Option<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        self.stream.set_read_timeout(Some(left.max(ms(1)))).ok()?;
        let mut bytes = [0; 65536];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => {
                    self.first.get_or_insert_with(Instant::now);
                    self.rest.extend_from_slice(&bytes[..n]);
                    return Some(());
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    /// Reads one message: with a length, chunked, or (answers alone) up to the end of the connection.
    pub fn read(&mut self, until: Instant) -> Option<Message> {
        let mut message = Message::default();
        let head = loop {
            if let Some(at) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            self.more(until)?;
        };
        let began = self.first.unwrap_or_else(Instant::now);
        message.began = Some(began);
        let text = String::from_utf8_lossy(&self.rest[..head]).into_owned();
        self.rest.drain(..head + 4);
        let mut lines = text.split("\r\n");
        message.first_line = lines.next()?.to_owned();
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let end = loop {
                    if let Some(at) = self.rest.windows(2).position(|w| w == b"\r\n") {
                        break at;
                    }
                    self.more(until)?;
                };
                let size = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                while self.rest.len() < end + 2 + size + 2 {
                    self.more(until)?;
                }
                message.body.extend_from_slice(&self.rest[end + 2..end + 2 + size]);
                self.rest.drain(..end + 2 + size + 2);
                if size == 0 {
                    break;
                }
            }
        } else {
            let length: usize = message.header("content-length").parse().unwrap_or(0);
            while self.rest.len() < length {
                self.more(until)?;
            }
            message.body = self.rest.drain(..length).collect();
        }
        message.ended = Some(Instant::now());
        self.first = (!self.rest.is_empty()).then(Instant::now);
        Some(message)
    }

    /// Whether something has arrived that was not used yet, the end of the connection too.
    pub fn has_input(&self) -> bool {
        if !self.rest.is_empty() {
            return true;
        }
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

pub fn far() -> Instant {
    Instant::now() + Duration::from_secs(3600)
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// ---------------------------------------------------------------- the network between halls

/// Carries connections to `to`, each byte `delay` late in each direction. Returns the address to connect to.
pub fn link(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            carry(near.try_clone().unwrap(), far.try_clone().unwrap(), delay);
            carry(far, near, delay);
        }
    });
    address
}

fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (queue, queued) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut bytes = [0; 65536];
        loop {
            let read = from.read(&mut bytes).unwrap_or(0);
            if queue.send((Instant::now() + delay, bytes[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in queued {
            wait_until(due);
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

pub fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        thread::sleep(left);
    }
}

// ---------------------------------------------------------------- endpoints

/// A request that arrived whole at an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub uid: String,
    pub id: String,
    pub key: String,
    pub began: Instant,
    pub ended: Instant,
    /// It was worked on; otherwise it was turned away.
    pub ran: bool,
}

/// What an endpoint adds behind a good answer.
#[derive(Clone, Copy)]
pub struct Seconds {
    /// Share of answers with a second copy.
    pub share: f64,
    /// How late the copy comes, in milliseconds.
    pub late_ms: (f64, f64),
}

pub struct Endpoint {
    pub uid: String,
    pub zone: String,
    /// Where sidecars reach it.
    pub address: SocketAddr,
    pub draining: AtomicBool,
    pub work_ms: (f64, f64),
    pub seconds: Mutex<Option<Seconds>>,
}

#[derive(Clone)]
pub struct Field {
    pub record: Arc<Record>,
    pub random: Arc<Random>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub copies: Arc<AtomicUsize>,
}

impl Field {
    pub fn new(record: &Arc<Record>, seed: u64) -> Field {
        Field { record: record.clone(), random: Random::new(seed), arrivals: Arc::default(), copies: Arc::default() }
    }

    /// Starts an endpoint that is reached over a link with this delay each way; none for the plain loopback.
    pub fn endpoint(&self, uid: &str, zone: &str, work_ms: (f64, f64), delay: Option<Duration>) -> Arc<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let own = listener.local_addr().unwrap();
        let address = delay.map_or(own, |delay| link(own, delay));
        let endpoint = Arc::new(Endpoint {
            uid: uid.to_owned(),
            zone: zone.to_owned(),
            address,
            draining: AtomicBool::new(false),
            work_ms,
            seconds: Mutex::default(),
        });
        let (this, field) = (endpoint.clone(), self.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, field) = (this.clone(), field.clone());
                thread::spawn(move || this.serve(Wire::new(stream), &field));
            }
        });
        endpoint
    }
}

impl Endpoint {
    fn serve(&self, mut wire: Wire, field: &Field) {
        while let Some(request) = wire.read(far()) {
            let id = request.header("x-request-id").to_owned();
            let ran = !self.draining.load(SeqCst);
            let arrival = Arrival {
                uid: self.uid.clone(),
                id: id.clone(),
                key: request.header("idempotency-key").to_owned(),
                began: request.began.unwrap(),
                ended: request.ended.unwrap(),
                ran,
            };
            let began = field.record.at(arrival.began);
            field.record.line(format!("endpoint {} got {id}, first byte at {began:.2}, ran {ran}", self.uid));
            field.arrivals.lock().unwrap().push(arrival);
            if !ran {
                let answer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                if wire.stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let work = field.random.between(self.work_ms.0, self.work_ms.1);
            thread::sleep(Duration::from_secs_f64(work / 1e3));
            let body = format!("answer to {id} from {}", self.uid);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if wire.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let answered = Instant::now();
            let seconds = *self.seconds.lock().unwrap();
            if let Some(seconds) = seconds.filter(|s| field.random.unit() < s.share) {
                let late = field.random.between(seconds.late_ms.0, seconds.late_ms.1);
                let due = answered + Duration::from_secs_f64(late / 1e3);
                while Instant::now() < due && !wire.has_input() {
                    thread::sleep(Duration::from_micros(100));
                }
                // Only while nothing else waits on the connection.
                if !wire.has_input() {
                    let _ = wire.stream.write_all(answer.as_bytes());
                    field.copies.fetch_add(1, SeqCst);
                    field.record.line(format!("endpoint {} answered {id} a second time, {late:.2} ms late", self.uid));
                }
            }
        }
    }
}

// ---------------------------------------------------------------- discovery

pub struct Discovery {
    pub address: SocketAddr,
    record: Arc<Record>,
    list: Mutex<(u64, Vec<(u64, String, String)>)>,
    down: AtomicBool,
    /// Too many callers: a call for the whole list waits for this many milliseconds and then fails with 503. 0 while
    /// there are few.
    pub crowded_ms: AtomicU64,
    /// The first object of a watch holds what changed after the version asked for, and not the whole list.
    pub begins_with_changes: AtomicBool,
    /// Watches that were told the list of this version.
    pub told: Mutex<Vec<(u64, Instant)>>,
    calls: AtomicUsize,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, endpoints: &[Arc<Endpoint>]) -> Arc<Discovery> {
        let entries = endpoints.iter().map(|e| (1, e.uid.clone(), entry(e, "up"))).collect();
        let address = free_address();
        let this = Arc::new(Discovery {
            address,
            record: record.clone(),
            list: Mutex::new((1, entries)),
            down: AtomicBool::new(false),
            crowded_ms: AtomicU64::default(),
            begins_with_changes: AtomicBool::default(),
            told: Mutex::default(),
            calls: AtomicUsize::default(),
        });
        let service = this.clone();
        thread::spawn(move || service.run());
        this
    }

    fn run(self: Arc<Self>) {
        loop {
            if self.down.load(SeqCst) {
                thread::sleep(ms(2));
                continue;
            }
            // Bound anew after each outage: while it is down, connections are refused.
            let Ok(listener) = TcpListener::bind(self.address) else {
                thread::sleep(ms(2));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            while !self.down.load(SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let this = self.clone();
                        let _ = stream.set_nonblocking(false);
                        thread::spawn(move || this.serve(Wire::new(stream)));
                    }
                    Err(_) => thread::sleep(ms(1)),
                }
            }
        }
    }

    fn serve(&self, mut wire: Wire) {
        while let Some(call) = wire.read(far()) {
            let number = self.calls.fetch_add(1, SeqCst);
            self.record.line(format!("discovery call {number}: {}", call.first_line));
            if self.down.load(SeqCst) {
                return;
            }
            let held = self.crowded_ms.load(SeqCst);
            if held > 0 && !call.first_line.contains("watch=1") {
                thread::sleep(ms(held));
                let refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                if wire.stream.write_all(refusal.as_bytes()).is_err() {
                    return;
                }
                self.record.line(format!("discovery call {number} failed: it waited for {held} ms"));
                continue;
            }
            if call.first_line.contains("watch=1") {
                return self.watch(wire, &call, number);
            }
            let text = self.whole();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            if wire.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn watch(&self, mut wire: Wire, call: &Message, number: usize) {
        // All of this list has changed after version 0; a later version is answered with the whole list.
        let since_start = call.first_line.contains("after=0 ") && self.begins_with_changes.load(SeqCst);
        let first = self.text(!since_start);
        let mut version = self.list.lock().unwrap().0;
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if wire.stream.write_all(head.as_bytes()).is_err() || !chunk(&mut wire.stream, &first) {
            return;
        }
        self.tell(version, number);
        let mut quiet = Instant::now();
        while !self.down.load(SeqCst) {
            thread::sleep(ms(2));
            let (now, changes) = {
                let list = self.list.lock().unwrap();
                let changed = list.1.iter().filter(|(at, ..)| *at > version);
                (list.0, changed.map(|(.., text)| text.clone()).collect::<Vec<_>>())
            };
            let line = if now > version {
                format!("{{\"rev\":{now},\"all\":false,\"targets\":[{}]}}", changes.join(","))
            } else if quiet.elapsed() >= ms(2000) {
                String::new()
            } else {
                continue;
            };
            quiet = Instant::now();
            if !chunk(&mut wire.stream, &line) {
                return;
            }
            if now > version {
                version = now;
                self.tell(version, number);
            }
        }
        // A process that dies, or a host on the path, resets its connections.
        reset(&wire.stream);
    }

    fn tell(&self, version: u64, call: usize) {
        self.told.lock().unwrap().push((version, Instant::now()));
        self.record.line(format!("discovery has told version {version} on watch {call}"));
    }

    /// The whole list in discovery's form.
    pub fn whole(&self) -> String {
        self.text(true)
    }

    /// All entries, as the whole list or as changes.
    fn text(&self, all: bool) -> String {
        let list = self.list.lock().unwrap();
        let entries: Vec<&str> = list.1.iter().map(|(.., text)| text.as_str()).collect();
        format!("{{\"rev\":{},\"all\":{all},\"targets\":[{}]}}", list.0, entries.join(","))
    }

    /// Lists an endpoint as `up` or `draining`.
    pub fn set(&self, endpoint: &Endpoint, state: &str) {
        let mut list = self.list.lock().unwrap();
        list.0 += 1;
        let version = list.0;
        for entry in list.1.iter_mut().filter(|(_, uid, _)| *uid == endpoint.uid) {
            (entry.0, entry.2) = (version, self::entry(endpoint, state));
        }
        self.record.line(format!("discovery: {} is {state}, version {version}", endpoint.uid));
    }

    /// Takes discovery down: watches end, and new connections are refused. Or brings it back.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, SeqCst);
        self.record.line(format!("discovery is {}", if down { "down" } else { "back" }));
    }
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

/// Makes the close of this connection a reset (`SO_LINGER` of zero).
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // SAFETY: the descriptor is open and the value lives through the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
}

fn chunk(stream: &mut TcpStream, line: &str) -> bool {
    let line = format!("{line}\n");
    stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok()
}

fn entry(endpoint: &Endpoint, state: &str) -> String {
    format!(
        "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"front-mid\",\"pod_group\":1,\
         \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
        endpoint.uid, endpoint.address, endpoint.zone
    )
}

// ---------------------------------------------------------------- the end of a case

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that were started, removes their folder and exits: 1 if the rule was broken, 0 if it held, 2 if
/// the case could not run.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        if std::env::var("KEEP").is_ok() {
            println!("kept {}", folder.display());
        } else {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
    std::process::exit(code)
}

/// Ends a case that has not ended in time, or whose thread panicked.
pub fn watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("the case did not end in time");
        finish(2)
    });
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        usual(info);
        finish(2)
    }));
}

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Where `run.sh` wants the record.
pub fn record() -> Arc<Record> {
    Record::open(&std::env::var("RECORD").expect("RECORD"))
}

/// What was answered, by kind.
pub fn summary(sent: &[Sent]) -> String {
    let mut count = std::collections::BTreeMap::new();
    for s in sent {
        let kind = match &s.answer {
            Answer::Served(_) => "served".to_owned(),
            other => format!("{other:?}").to_lowercase(),
        };
        *count.entry(kind).or_insert(0) += 1;
    }
    format!("{} requests: {count:?}", sent.len())
}

// ---------------------------------------------------------------- the platform

/// The settings of the print hub, as the first message of the simulator's wire gives them.
pub const SETTINGS: &str = r#"{"areas":["hall-nasr","hall-maadi","hall-giza"],"balancers":3,
"blend":{"whole":0.5,"worstClass":0.35,"worstTenant":0.1,"worstWindow":0.05},
"classes":[
{"deadlineMs":3000.0,"group":"all","lateValue":0.0,"name":"proof-view","objectiveMs":1200.0,"repeatWindowMs":5000.0,"semantics":"safe","streamed":false,"worth":3.0},
{"deadlineMs":4000.0,"group":"zone","lateValue":0.0,"name":"job-submit","objectiveMs":1500.0,"repeatWindowMs":6000.0,"semantics":"keyed","streamed":false,"worth":5.0}],
"clients":{"marksRetry":true},
"costs":{"connection":0.0,"crossZone":0.09,"discovery":0.0,"handshake":0.0,"lateFail":0.054,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.05},
"countedBy":"request","discovery":"subscribe","family":"chain","familyInfo":{"passesDeadline":true},
"kinds":["front-fast","front-mid","front-slow"],
"limits":{"cancelling":true,"connectTimeoutMs":120.0,"cpuUsPerRequest":0.0,"cpuUsPerS":15000,"idleCloseMs":30000.0,"maxAttempts":3,"maxRetryAfterMs":2000.0,"openCap":20000,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1},
"me":0,"myZone":0,"overShareWorth":0.1,"resolutionMs":5.0,
"rules":{"askWithinMs":10000.0,"coldShare":0.3,"drainGraceMs":250.0,"fallMs":3000.0,"fallMultiple":4.0,"graceToAnswerMs":20.0,"warmWithinMs":9000.0},
"stage":0,"telemetry":{"fields":[],"via":"off"},
"tenants":[{"allowancePerS":24.0,"name":"delta-press","portion":0.26},{"allowancePerS":21.0,"name":"alex-cards","portion":0.23}],
"tiers":["order-front","render-back"],"weightKind":"rough"}"#;

pub struct Platform {
    pub record: Arc<Record>,
    root: PathBuf,
    folder: PathBuf,
    run: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
    pub memory_mb: u32,
    pub sockets: u32,
    started: AtomicUsize,
}

/// One process of the sidecar.
pub struct Process {
    pub child: Child,
    pub operator: SocketAddr,
    pub number: usize,
}

impl Platform {
    pub fn new(record: &Arc<Record>, discovery: SocketAddr, known: String) -> Platform {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT"));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run");
        let run = run.split('"').next().unwrap().to_owned();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        *FOLDER.lock().unwrap() = Some(folder.clone());
        Platform {
            record: record.clone(),
            root,
            folder,
            run,
            listen: free_address(),
            discovery,
            known,
            settings: SETTINGS.to_owned(),
            memory_mb: 192,
            sockets: 1024,
            started: AtomicUsize::default(),
        }
    }

    /// Starts `run` of the deploy file; a second time beside the first, all is the same but the second address.
    pub fn start(&self) -> Process {
        let number = self.started.fetch_add(1, SeqCst);
        let operator = free_address();
        let config = self.folder.join(format!("config-{number}.json"));
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"discovery\":\"{}\",\"operator\":\"{operator}\",\
             \"seed\":\"8c1f30d27a5be9{:02x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{},\"settings\":{}}}",
            self.listen, self.discovery, number + 16, self.memory_mb, self.sockets, self.known, self.settings
        );
        std::fs::write(&config, text).unwrap();
        let log = File::create(self.folder.join(format!("log-{number}.txt"))).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.to_string())
            .env("ROUTER_OPERATOR", operator.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("run");
        STARTED.lock().unwrap().push(child.id());
        self.record.line(format!("platform: started `{}` as process {number}", self.run));
        Process { child, operator, number }
    }

    /// Whether `GET /-/ready` answers 200 within this time.
    pub fn ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                let mut wire = Wire::new(stream);
                let ask = "GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
                let _ = wire.stream.write_all(ask.as_bytes());
                if wire.read(Instant::now() + ms(1000)).is_some_and(|m| m.status() == 200) {
                    return true;
                }
            }
            thread::sleep(ms(100));
        }
        false
    }

    /// Replaces the configuration of a process by one that names another discovery.
    pub fn move_discovery(&self, number: usize, to: SocketAddr) {
        let path = self.folder.join(format!("config-{number}.json"));
        let named = |at: SocketAddr| format!("\"discovery\":\"{at}\"");
        let text = std::fs::read_to_string(&path).unwrap().replace(&named(self.discovery), &named(to));
        let new = path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, path).unwrap();
        self.record.line("platform: a new configuration names another discovery");
    }

    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("log-{number}.txt"))).unwrap_or_default()
    }
}

impl Process {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// One operator's call; the answer's first line, empty if none came within 1 s.
    pub fn call(&self, line: &str) -> String {
        let Ok(stream) = TcpStream::connect(self.operator) else { return String::new() };
        let mut stream = stream;
        let _ = stream.set_read_timeout(Some(ms(1000)));
        if stream.write_all(format!("{line}\n").as_bytes()).is_err() {
            return String::new();
        }
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.lines().next().unwrap_or_default().to_owned()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed(u16),
    /// The connection ended without a whole answer.
    Broken,
    /// Nothing by the client's time and half a second and 50 ms.
    Never,
    /// The connection could not be opened.
    NotConnected,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub took: Duration,
    pub answer: Answer,
}

/// A client that sends one request at a time and keeps its connection.
pub struct Client {
    to: SocketAddr,
    field: Field,
    wire: Option<Wire>,
    name: String,
    count: usize,
}

impl Client {
    pub fn new(to: SocketAddr, field: &Field, name: String) -> Client {
        Client { to, field: field.clone(), wire: None, name, count: 0 }
    }

    /// Sends a proof-view, or a job-submit with a new key.
    pub fn ask(&mut self, job: bool) -> Sent {
        self.count += 1;
        let id = format!("{}-{:05}{}", self.name, self.count, if job { 'j' } else { 'v' });
        let (deadline, request) = if job {
            let body = "x".repeat(212);
            (
                4000,
                format!(
                    "POST /job-submit HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: delta-press\r\n\
                     X-Timeout: 4000m\r\nIdempotency-Key: {:016x}{:016x}\r\nContent-Length: 212\r\n\r\n{body}",
                    self.field.random.next(),
                    self.field.random.next()
                ),
            )
        } else {
            (
                3000,
                format!(
                    "GET /proof-view HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n\
                     X-Tenant-Id: delta-press\r\nX-Timeout: 3000m\r\n\r\n"
                ),
            )
        };
        let mut answer = Answer::NotConnected;
        let mut at = Instant::now();
        // Once more on a new connection if the sidecar closed the kept one before it read the request.
        for again in [false, true] {
            let kept = self.wire.is_some();
            let Some(mut wire) = self.wire.take().or_else(|| TcpStream::connect(self.to).ok().map(Wire::new)) else {
                break;
            };
            at = Instant::now();
            let written = wire.stream.write_all(request.as_bytes()).is_ok();
            let read = if written { wire.read(at + ms(deadline + 550)) } else { None };
            match read {
                Some(message) => {
                    answer = match message.status() {
                        200 => Answer::Served(String::from_utf8_lossy(&message.body).into_owned()),
                        429 | 503 => Answer::Refused,
                        status => Answer::Failed(status),
                    };
                    if !message.header("connection").eq_ignore_ascii_case("close") {
                        self.wire = Some(wire);
                    }
                    break;
                }
                None if at.elapsed() >= ms(deadline + 540) => {
                    answer = Answer::Never;
                    break;
                }
                None => answer = Answer::Broken,
            }
            if again || !kept {
                break;
            }
        }
        let sent = Sent { id, at, took: at.elapsed(), answer };
        self.field.record.line(format!(
            "client sent {} at {:.2}, after {:.2} ms: {:?}",
            sent.id,
            self.field.record.at(at),
            sent.took.as_secs_f64() * 1e3,
            sent.answer
        ));
        sent
    }
}

/// Clients that send until `stop` with `think_ms` between an answer and the next request. Joined, all that was sent.
pub fn clients(
    to: SocketAddr,
    field: &Field,
    name: &str,
    count: usize,
    think_ms: (f64, f64),
    jobs: f64,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<Vec<Sent>>> {
    let client = |n: usize| {
        let (field, stop, name) = (field.clone(), stop.clone(), format!("{name}{n}"));
        thread::spawn(move || {
            let mut client = Client::new(to, &field, name);
            let mut sent = Vec::new();
            while !stop.load(SeqCst) {
                sent.push(client.ask(field.random.unit() < jobs));
                let think = field.random.between(think_ms.0, think_ms.1);
                thread::sleep(Duration::from_secs_f64(think / 1e3));
            }
            sent
        })
    };
    (0..count).map(client).collect()
}
