//! Stand-ins that the cases share: the platform (starts the sidecar by the deploy file's command), discovery,
//! and small helpers for HTTP/1.1 over plain sockets. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The case's record: one line for each thing that was sent, answered or run, with its time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    /// The file that the first argument names.
    pub fn open() -> Record {
        let path = std::env::args().nth(1).unwrap_or_else(|| could_not_run("no name of a record"));
        let file = File::create(path).unwrap_or_else(|e| could_not_run(&format!("record: {e}")));
        Record(Arc::new((Mutex::new(file), Instant::now())))
    }

    pub fn at(&self) -> Duration {
        self.0.1.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.at();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", at.as_secs_f64());
    }

    /// A line in the record and on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Whether the disruption is made; not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn could_not_run(why: &str) -> ! {
    println!("could not run: {why}");
    std::process::exit(2)
}

/// A loopback address of its own for each party, so that ports never collide.
pub fn loopback() -> IpAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let (process, number) = (std::process::id() as usize, NEXT.fetch_add(1, Ordering::SeqCst));
    let part = |n: usize| 1 + (n % 250) as u8;
    Ipv4Addr::new(127, 1 + part(process / 250) % 200, part(process), part(number)).into()
}

/// A free port at a loopback address, for a process that binds it itself.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((loopback(), 0)).unwrap_or_else(|e| could_not_run(&e.to_string()));
    listener.local_addr().unwrap()
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((loopback(), 0)).unwrap_or_else(|e| could_not_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The command that `run` names in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| could_not_run(&format!("deploy/balancer.toml: {e}")));
    let line = text.lines().find(|l| l.starts_with("run ")).unwrap_or_else(|| could_not_run("no run"));
    line.split('"').nth(1).unwrap_or_else(|| could_not_run("no command in run")).to_owned()
}

/// One folder for a case's temporary files; removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("curlewhub-review-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap_or_else(|e| could_not_run(&e.to_string()));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What the platform tells a sidecar.
pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub operator: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The list as last known.
    pub known: String,
    /// The settings, as JSON.
    pub settings: String,
}

impl Told {
    fn json(&self) -> String {
        let seed = format!(
            "{:016x}",
            (unix_ms() << 16) ^ u64::from(std::process::id()) ^ SEEDS.fetch_add(7919, Ordering::SeqCst)
        );
        let operator = self.operator.map_or(String::new(), |at| format!("\"operator\":\"{at}\","));
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",{operator}\"seed\":\"{seed}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.discovery, self.memory_mb, self.sockets, self.known, self.settings
        )
    }
}

static SEEDS: AtomicU64 = AtomicU64::new(1);

/// A sidecar that the platform has started; killed when dropped.
pub struct Sidecar {
    pub child: Child,
    pub listen: SocketAddr,
    folder: PathBuf,
}

impl Sidecar {
    /// Starts it as the deploy file says. `folder` becomes its `$TMPDIR`.
    pub fn start(told: &Told, folder: &Path) -> Sidecar {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let config = folder.join(format!("config-{number}.json"));
        std::fs::write(&config, told.json()).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let state = folder.join("tmp");
        std::fs::create_dir_all(&state).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let log = File::create(folder.join(format!("log-{number}")))
            .unwrap_or_else(|e| could_not_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command());
        command.env("ROUTER_NAME", &told.name).env("ROUTER_LISTEN", told.listen.to_string());
        command.env("ROUTER_DISCOVERY", told.discovery.to_string()).env("ROUTER_CONFIG", &config);
        match told.operator {
            Some(at) => command.env("ROUTER_OPERATOR", at.to_string()),
            None => command.env_remove("ROUTER_OPERATOR"),
        };
        command.env("TMPDIR", &state).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().unwrap_or_else(|e| could_not_run(&format!("run: {e}")));
        Sidecar { child, listen: told.listen, folder: folder.to_owned() }
    }

    /// As the front does before it takes a sidecar in.
    pub fn wait_ready(&mut self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if let Ok(Some(status)) = self.child.try_wait() {
                let mut log = String::new();
                for n in 0..4 {
                    log +=
                        &std::fs::read_to_string(self.folder.join(format!("log-{n}"))).unwrap_or_default();
                }
                could_not_run(&format!("the sidecar ended at its start: {status}\n{log}"));
            }
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(ms(500)));
                let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n");
                if let Some(message) = Message::read(&mut BufReader::new(stream))
                    && message.status() == 200
                {
                    return;
                }
            }
            thread::sleep(ms(50));
        }
        could_not_run("the sidecar was not ready within 30 s");
    }

    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Peak resident memory in KiB.
    pub fn peak_kib(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    pub fn log(&self) -> String {
        (0..4)
            .map(|n| std::fs::read_to_string(self.folder.join(format!("log-{n}"))).unwrap_or_default())
            .collect()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

/// A whole HTTP/1.1 message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        let mut line = || {
            let mut line = String::new();
            (from.read_line(&mut line).ok()? > 0 && line.ends_with('\n'))
                .then(|| line.trim_end().to_owned())
        };
        message.first_line = line()?;
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { return Some(message) };
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }

    /// Reads a whole message; none if the connection ends before.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let mut line = String::new();
                if from.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
                let start = message.body.len();
                message.body.resize(start + length, 0);
                from.read_exact(&mut message.body[start..]).ok()?;
                let mut end = String::new();
                from.read_line(&mut end).ok()?;
                if length == 0 {
                    return Some(message);
                }
            }
        }
        let length = message.headers.get("content-length").map_or(0, |l| l.parse().unwrap_or(0));
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{:08x}", unix_ms() as u32, n.wrapping_mul(2_654_435_761) as u32 ^ std::process::id())
}

/// The head of a client's request.
pub struct Head<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub tenant: &'a str,
    pub timeout_ms: u64,
    pub key: Option<&'a str>,
    pub length: Option<usize>,
}

impl Head<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {}\r\nX-Tenant-Id: {}\r\nX-Timeout: {}m\r\n",
            self.method, self.target, self.id, self.tenant, self.timeout_ms
        );
        if let Some(key) = self.key {
            let _ = write!(text, "Idempotency-Key: {key}\r\n");
        }
        if let Some(length) = self.length {
            let _ = write!(text, "Content-Length: {length}\r\n");
        }
        text += "\r\n";
        text.into_bytes()
    }
}

/// One endpoint in discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\"state\":\"{}\",\
             \"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.address, self.zone, self.kind, self.cell, self.state, self.boot_ms
        )
    }
}

pub fn list_json(rev: u64, all: bool, targets: &[Target]) -> String {
    let entries: Vec<String> = targets.iter().map(Target::json).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", entries.join(","))
}

/// Discovery: the whole list, and watches.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Record,
}

struct DiscoveryState {
    rev: u64,
    targets: Vec<Target>,
    /// By version, what changed.
    changes: Vec<(u64, Target)>,
    /// Whether calls and watches end, and new ones are refused.
    down: bool,
    /// Too many callers: each call waits in the queue for so long, and then fails with 503.
    crowded: Option<Duration>,
    /// Watches that began before this number was raised are reset.
    resets: u64,
}

impl Discovery {
    pub fn start(record: &Record, targets: Vec<Target>) -> Discovery {
        let (listener, address) = listen();
        let state =
            DiscoveryState { rev: 41, targets, changes: Vec::new(), down: false, crowded: None, resets: 0 };
        let discovery = Discovery {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        discovery
    }

    /// The list as it is now.
    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.rev, true, &state.targets)
    }

    /// A change of one entry.
    pub fn change(&self, target: Target) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.targets.retain(|t| t.uid != target.uid);
        if target.state != "removed" {
            state.targets.push(target.clone());
        }
        state.changes.push((rev, target));
        self.state.1.notify_all();
    }

    /// Discovery goes down: watches end, and calls end with a reset. Or it comes back.
    pub fn set_down(&self, down: bool) {
        self.state.0.lock().unwrap().down = down;
        self.state.1.notify_all();
    }

    /// All open watches are reset.
    pub fn reset_watches(&self) {
        self.state.0.lock().unwrap().resets += 1;
        self.state.1.notify_all();
    }

    /// From now on each call waits for so long and then fails; none: calls are answered again.
    pub fn set_crowded(&self, crowded: Option<Duration>) {
        self.state.0.lock().unwrap().crowded = crowded;
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        while let Some(request) = Message::read(&mut reader) {
            if self.state.0.lock().unwrap().down {
                reset(&writer);
                return None;
            }
            let crowded = self.state.0.lock().unwrap().crowded;
            if let Some(wait) = crowded {
                self.record.line(&format!("discovery: {} waits in the queue", request.target()));
                thread::sleep(wait);
                self.record.line(&format!("discovery: {} has waited too long: 503", request.target()));
                writer.write_all(&answer("503 Service Unavailable", "Connection: close\r\n", "")).ok()?;
                return None;
            }
            if !request.target().contains("watch=1") {
                let body = self.known();
                writer.write_all(&answer("200 OK", "Content-Type: application/json\r\n", &body)).ok()?;
                continue;
            }
            let after = request.target().split("after=").nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
            self.record.line(&format!("discovery: a watch after {after}"));
            return self.watch(writer, after);
        }
        None
    }

    fn watch(&self, mut writer: TcpStream, after: u64) -> Option<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let chunk = |text: String| {
            (&writer).write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).map_err(|_| ()).ok()
        };
        let mut state = self.state.0.lock().unwrap();
        let (mut seen, resets) = (state.rev, state.resets);
        let first = if after < 41 || after > state.rev {
            list_json(state.rev, true, &state.targets)
        } else {
            let changed: Vec<Target> =
                state.changes.iter().filter(|(rev, _)| *rev > after).map(|(_, t)| t.clone()).collect();
            list_json(state.rev, false, &changed)
        };
        chunk(first + "\n")?;
        loop {
            let (next, timed_out) = self.state.1.wait_timeout(state, ms(1900)).unwrap();
            state = next;
            if state.down || state.resets > resets {
                drop(state);
                reset(&writer);
                return None;
            }
            if state.rev > seen {
                let changed: Vec<Target> =
                    state.changes.iter().filter(|(rev, _)| *rev > seen).map(|(_, t)| t.clone()).collect();
                seen = state.rev;
                chunk(list_json(seen, false, &changed) + "\n")?;
            } else if timed_out.timed_out() {
                chunk("\n".to_owned())?;
            }
        }
    }
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const std::ffi::c_void, length: u32) -> i32;
    fn ioctl(fd: i32, request: u64, value: *mut i32) -> i32;
}

use std::os::fd::AsRawFd;

fn set_option(fd: i32, name: i32, value: i32) {
    const SOL_SOCKET: i32 = 1;
    let at = (&raw const value).cast();
    unsafe { setsockopt(fd, SOL_SOCKET, name, at, 4) };
}

/// Makes the close of this connection a reset, and shuts it down.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let at = (&raw const linger).cast();
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, at, 8) };
    let _ = stream;
}

/// A small receive buffer, as a machine with little memory for its sockets has.
pub fn set_receive_buffer(fd: i32, bytes: i32) {
    set_option(fd, 8, bytes);
}

/// A listener whose connections have segments of this length, as over an Ethernet: on loopback they are long, and the
/// sending side then takes megabytes of what the other side has not read.
pub fn set_segment_length(fd: i32, bytes: i32) {
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    unsafe { setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, (&raw const bytes).cast(), 4) };
}

/// Bytes that were written to a connection and that the other side's machine has not acknowledged yet.
pub fn unacknowledged(stream: &TcpStream) -> i32 {
    const SIOCOUTQ: u64 = 0x5411;
    let mut count = -1;
    unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, &raw mut count) };
    count
}

pub fn half_close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}

pub fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    stream.read(buffer)
}

/// The settings of a small deployment like `med-log-dbn`.
pub fn med_log(balancers: u32) -> String {
    format!(
        r#"{{"areas":["dbn-1"],"balancers":{balancers},
"blend":{{"whole":0.55,"worstClass":0.05,"worstTenant":0.25,"worstWindow":0.15}},
"classes":[
{{"name":"schedule-read","semantics":"safe","group":"all","repeatWindowMs":3000.0,"objectiveMs":1200.0,"deadlineMs":3000.0,"worth":5.0,"lateValue":0.25,"streamed":false}},
{{"name":"dose-record","semantics":"keyed","group":"all","repeatWindowMs":3000.0,"objectiveMs":500.0,"deadlineMs":2000.0,"worth":3.0,"lateValue":0.5,"streamed":false}}],
"clients":{{"marksRetry":false}},
"costs":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.03,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.02}},
"countedBy":"request","discovery":"subscribe","family":"chain","familyInfo":{{"passesDeadline":true}},
"kinds":["front-fast","front-mid","front-slow"],
"limits":{{"cancelling":true,"connectTimeoutMs":200.0,"cpuUsPerRequest":0.0,"cpuUsPerS":800000,"idleCloseMs":30000.0,"maxAttempts":6,"maxRetryAfterMs":1500.0,"openCap":20000,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1}},
"me":0,"myZone":0,"overShareWorth":0.05,"resolutionMs":4.0,
"rules":{{"askWithinMs":10000.0,"coldShare":0.15,"drainGraceMs":1000.0,"fallMs":1500.0,"fallMultiple":3.0,"graceToAnswerMs":20.0,"warmWithinMs":24000.0}},
"stage":0,"telemetry":{{"fields":[],"via":"off"}},
"tenants":[{{"allowancePerS":60.0,"name":"umhlanga-care","portion":0.39}},{{"allowancePerS":40.0,"name":"berea-homecare","portion":0.25}},{{"allowancePerS":35.0,"name":"pinetown-carers","portion":0.22}},{{"allowancePerS":22.0,"name":"amanzimtoti-care","portion":0.14}}],
"tiers":["round-front","dose-store"],"weightKind":"rough"}}"#
    )
}

/// The settings of a small deployment like `cairo-print-hub`; `tier` 0 is the front.
pub fn cairo(balancers: u32, zone: u32, tier: u32) -> String {
    format!(
        r#"{{"areas":["hall-nasr","hall-maadi","hall-giza"],"balancers":{balancers},
"blend":{{"whole":0.5,"worstClass":0.35,"worstTenant":0.1,"worstWindow":0.05}},
"classes":[
{{"name":"proof-view","semantics":"safe","group":"all","repeatWindowMs":5000.0,"objectiveMs":1200.0,"deadlineMs":3000.0,"worth":3.0,"lateValue":0.0,"streamed":false}},
{{"name":"job-submit","semantics":"keyed","group":"zone","repeatWindowMs":6000.0,"objectiveMs":1500.0,"deadlineMs":4000.0,"worth":5.0,"lateValue":0.0,"streamed":false}}],
"clients":{{"marksRetry":true}},
"costs":{{"connection":0.0,"crossZone":0.09,"discovery":0.0,"handshake":0.0,"lateFail":0.054,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.05}},
"countedBy":"request","discovery":"subscribe","family":"chain","familyInfo":{{"passesDeadline":true}},
"kinds":["front-fast","front-mid","front-slow"],
"limits":{{"cancelling":true,"connectTimeoutMs":120.0,"cpuUsPerRequest":0.0,"cpuUsPerS":15000,"idleCloseMs":30000.0,"maxAttempts":3,"maxRetryAfterMs":2000.0,"openCap":20000,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1}},
"me":0,"myZone":{zone},"overShareWorth":0.1,"resolutionMs":5.0,
"rules":{{"askWithinMs":10000.0,"coldShare":0.3,"drainGraceMs":250.0,"fallMs":3000.0,"fallMultiple":4.0,"graceToAnswerMs":20.0,"warmWithinMs":9000.0}},
"stage":{tier},"telemetry":{{"fields":[],"via":"off"}},
"tenants":[{{"allowancePerS":24.0,"name":"delta-press","portion":0.26}},{{"allowancePerS":21.0,"name":"alex-cards","portion":0.23}},{{"allowancePerS":15.0,"name":"maadi-prints","portion":0.16}},{{"allowancePerS":8.0,"name":"tanta-signs","portion":0.09}},{{"allowancePerS":8.0,"name":"aswan-paper","portion":0.09}},{{"allowancePerS":6.0,"name":"suez-labels","portion":0.07}},{{"allowancePerS":5.0,"name":"fayoum-books","portion":0.06}},{{"allowancePerS":4.0,"name":"luxor-stamps","portion":0.04}}],
"tiers":["order-front","render-back"],"weightKind":"rough"}}"#
    )
}

/// A small send buffer: what a client has written is then at most this far from the other side's machine.
pub fn set_send_buffer(fd: i32, bytes: i32) {
    set_option(fd, 7, bytes);
}

/// Whether the other side has closed or reset a connection on which nothing else is read meanwhile.
pub fn has_gone(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let gone = match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    gone
}

/// The time that a request's `X-Timeout` gives.
pub fn told_time(request: &Message) -> Duration {
    let text = request.header("x-timeout");
    let number = |unit: char| text.strip_suffix(unit).and_then(|n| n.parse::<f64>().ok());
    match (number('m'), number('u')) {
        (Some(n), _) => Duration::from_secs_f64(n / 1e3),
        (_, Some(n)) => Duration::from_secs_f64(n / 1e6),
        _ => Duration::from_secs(3600),
    }
}
