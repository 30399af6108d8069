//! Starts the built sidecar as a process, with scripted clients and endpoints for it on loopback.
#![allow(dead_code)]

pub mod crowded_discovery;
pub mod discovery;
pub mod memory;
pub mod processes;
pub mod queued_discovery;
pub mod script;
pub mod slow_endpoint;
pub mod wire;

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit of every wait, also on a slow machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until the condition holds; `what` names it in the failure.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP request or response read from a socket.
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

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Reads a message; `None` if the connection ends or fails before it is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        let line = |from: &mut dyn BufRead| {
            let mut line = String::new();
            (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
        };
        message.first_line = line(from)?;
        loop {
            let text = line(from)?;
            let Some((name, value)) = text.split_once(':') else { break };
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = message.headers.get("content-length").map_or(0, |l| l.parse().unwrap_or(0));
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// What a peer does when it receives a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answers 200 with this body.
    Serve(&'static str),
    /// Writes these bytes and keeps the connection.
    Write(String),
    /// Writes these bytes and closes.
    WriteAndClose(String),
    /// Serves, then shuts down sending and waits for the sidecar to close the connection.
    ServeAndHalfClose(&'static str),
    /// Sends nothing until the sidecar closes the connection.
    NeverAnswer,
    /// Serves after this delay.
    ServeAfter(Duration),
    /// Serves, and after this delay also writes these bytes.
    ServeThenWrite(&'static str, Duration, String),
    /// Serves a connection's first request, and closes without an answer at its second.
    ServeOnlyFirst(&'static str),
    /// Writes these bytes, and serves after this delay.
    WriteThenServe(String, Duration),
    /// Writes the first text once and the second one repeatedly until the sidecar closes the connection.
    Flood(String, String),
}

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// An endpoint that handles each request as its script says.
pub struct Peer {
    pub address: SocketAddr,
    /// Requests received so far.
    pub requests: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicUsize>,
    /// The number of connections that the sidecar has closed.
    pub closed_by_sidecar: Arc<AtomicUsize>,
    /// The number of answers after which `ServeThenWrite` wrote its further bytes.
    pub written: Arc<AtomicUsize>,
}

impl Peer {
    /// A peer that serves every request with this body.
    pub fn serving(body: &'static str) -> Peer {
        Peer::new(move |_| Action::Serve(body))
    }

    pub fn new(script: impl Fn(&Message) -> Action + Send + Sync + 'static) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, connections, closed_by_sidecar, written) = Default::default();
        let peer = Peer { address, requests, connections, closed_by_sidecar, written };
        let (requests, connections, closed_by_sidecar, written) = (
            peer.requests.clone(),
            peer.connections.clone(),
            peer.closed_by_sidecar.clone(),
            peer.written.clone(),
        );
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, closed_by_sidecar, written, script) =
                    (requests.clone(), closed_by_sidecar.clone(), written.clone(), script.clone());
                thread::spawn(move || {
                    if let Some(by_sidecar) = serve_connection(stream, &requests, &written, &*script) {
                        closed_by_sidecar.fetch_add(usize::from(by_sidecar), Ordering::SeqCst);
                    }
                });
            }
        });
        peer
    }

    /// The number of requests received.
    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    pub fn closed_by_sidecar(&self) -> usize {
        self.closed_by_sidecar.load(Ordering::SeqCst)
    }
}

/// Serves one connection; whether the sidecar closed it first. `None` if a write or read failed.
fn serve_connection(
    stream: TcpStream,
    requests: &Mutex<Vec<Message>>,
    written: &AtomicUsize,
    script: &dyn Fn(&Message) -> Action,
) -> Option<bool> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    let read_to_end = |reader: &mut BufReader<TcpStream>| {
        let _ = reader.read_to_end(&mut Vec::new());
    };
    while let Some(message) = Message::read(&mut reader) {
        let action = script(&message);
        requests.lock().unwrap().push(message);
        match action {
            Action::Serve(body) => writer.write_all(answer("200 OK", "", body).as_bytes()).ok()?,
            Action::Write(text) => writer.write_all(text.as_bytes()).ok()?,
            Action::WriteAndClose(text) => {
                writer.write_all(text.as_bytes()).ok()?;
                return Some(false);
            }
            Action::ServeAndHalfClose(body) => {
                writer.write_all(answer("200 OK", "", body).as_bytes()).ok()?;
                writer.shutdown(Shutdown::Write).ok()?;
                read_to_end(&mut reader);
                return Some(true);
            }
            Action::NeverAnswer => {
                read_to_end(&mut reader);
                return Some(true);
            }
            Action::ServeThenWrite(body, wait, more) => {
                let full_answer = answer("200 OK", "", body);
                if wait.is_zero() {
                    writer.write_all((full_answer + &more).as_bytes()).ok()?;
                } else {
                    writer.write_all(full_answer.as_bytes()).ok()?;
                    thread::sleep(wait);
                    writer.write_all(more.as_bytes()).ok()?;
                }
                written.fetch_add(1, Ordering::SeqCst);
            }
            Action::ServeOnlyFirst(body) => {
                writer.write_all(answer("200 OK", "", body).as_bytes()).ok()?;
                Message::read(&mut reader)?;
                return Some(false);
            }
            Action::WriteThenServe(text, wait) => {
                writer.write_all(text.as_bytes()).ok()?;
                thread::sleep(wait);
                writer.write_all(answer("200 OK", "", "late").as_bytes()).ok()?;
            }
            Action::Flood(first, more) => {
                writer.write_all(first.as_bytes()).ok()?;
                while writer.write_all(more.as_bytes()).is_ok() {}
                return Some(true);
            }
            Action::ServeAfter(wait) => {
                thread::sleep(wait);
                writer.write_all(answer("200 OK", "", "late").as_bytes()).ok()?;
            }
        }
    }
    Some(true)
}

/// An endpoint's entry in discovery's list.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 1,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

pub fn list(rev: u64, all: bool, targets: &[Value]) -> Value {
    json!({"rev": rev, "all": all, "targets": targets})
}

/// An address where nothing listens. Each call returns another loopback IP, so that no other test's sidecar and no
/// client's local port is ever bound to the address. It is chosen by a socket that never listens: another test's process
/// that is just being started holds a copy of it for a moment, and would accept and reset connections.
pub fn unused_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::new(unique_loopback_ip(), 0).into()).unwrap();
    socket.local_addr().unwrap().as_socket().expect("an IP address")
}

/// A listener that stays bound from the choice of its port on, so that nothing else can take the port before its use.
fn listener_on_unique_ip() -> TcpListener {
    TcpListener::bind((unique_loopback_ip(), 0)).unwrap()
}

pub fn unique_loopback_ip() -> std::net::IpAddr {
    static ASSIGNED: AtomicUsize = AtomicUsize::new(0);
    let (process, number) = (std::process::id() as usize, ASSIGNED.fetch_add(1, Ordering::SeqCst));
    let part = |number: usize| 1 + (number % 250) as u8;
    [127, part(process / 250), part(process), part(number)].into()
}

/// A configuration for these endpoints, with an unreachable discovery service.
pub fn config(peers: &[&Peer]) -> Value {
    let addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
    config_for_addresses(&addresses)
}

pub fn config_for_addresses(addresses: &[SocketAddr]) -> Value {
    let targets: Vec<_> =
        addresses.iter().enumerate().map(|(i, at)| target(&format!("s-{i}"), *at, "up")).collect();
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "group": "all", "repeatWindowMs": 20000.0,
               "objectiveMs": 10000.0, "deadlineMs": 20000.0, "worth": 1.0, "lateValue": 0.5})
    };
    json!({
        "name": "n0", "listen": unused_address().to_string(), "discovery": unused_address().to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": list(7, true, &targets),
        "settings": {
            "areas": ["a", "b"], "kinds": ["m"], "tiers": ["t"], "stage": 0,
            "balancers": 1, "me": 0, "myZone": 0, "discovery": "subscribe",
            "classes": [class("quote", "safe"), class("book", "unsafe"), class("pay", "keyed")],
            "tenants": [{"name": "acme", "allowancePerS": 1000.0, "portion": 1.0}],
            "limits": {"cancelling": true, "secondCopies": true, "maxAttempts": 4,
                       "connectTimeoutMs": 1000.0, "idleCloseMs": 60000.0, "retryAfter": true,
                       "maxRetryAfterMs": 2000.0, "streamsPerConn": 1},
            "rules": {"askWithinMs": 800.0, "coldShare": 0.4, "warmWithinMs": 5000.0,
                      "drainGraceMs": 2000.0, "fallMs": 1500.0, "fallMultiple": 4.0,
                      "graceToAnswerMs": 20.0}
        }
    })
}

/// `config` with an operator address.
pub fn config_with_operator(peers: &[&Peer]) -> Value {
    let mut config = config(peers);
    config["operator"] = json!(unused_address().to_string());
    config
}

/// A sidecar process; killed when dropped.
pub struct Sidecar {
    pub child: Child,
    pub address: SocketAddr,
    /// The operator address, if it has one.
    pub operator: Option<SocketAddr>,
    file: std::path::PathBuf,
    /// Where it keeps its state; a successor shares it.
    state_dir: std::path::PathBuf,
}

static STARTED: AtomicUsize = AtomicUsize::new(0);

/// A shell command that runs the built program with this configuration, after the shell text `prefix`.
fn command(config: &str, prefix: &str) -> (Command, std::path::PathBuf) {
    let number = STARTED.fetch_add(1, Ordering::SeqCst);
    let file = std::env::temp_dir().join(format!("curlewhub-test-{}-{number}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!(
        "{prefix} {} {}",
        if prefix.starts_with("timeout") { "" } else { "exec" },
        env!("CARGO_BIN_EXE_curlewhub")
    ));
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR"] {
        command.env_remove(name);
    }
    // Each sidecar has its own state directory, as in production.
    let state_dir = file.with_extension("tmp");
    std::fs::create_dir_all(&state_dir).unwrap();
    command.env("ROUTER_CONFIG", &file).env("TMPDIR", state_dir);
    (command, file)
}

/// Runs the program until it exits; its exit status and standard error. For configurations that it refuses.
pub fn run_to_exit(config: &str) -> (ExitStatus, String) {
    let (mut command, file) = command(config, "");
    let output = command.output().unwrap();
    let _ = std::fs::remove_dir_all(file.with_extension("tmp"));
    let _ = std::fs::remove_file(file);
    (output.status, String::from_utf8_lossy(&output.stderr).into_owned())
}

/// As `run_to_exit`, for a configuration that may be accepted: the program is then ended after 5 s.
pub fn run_for_5s(config: &str) -> (ExitStatus, String) {
    let (mut command, file) = command(config, "timeout 5");
    let output = command.output().unwrap();
    let _ = std::fs::remove_dir_all(file.with_extension("tmp"));
    let _ = std::fs::remove_file(file);
    (output.status, String::from_utf8_lossy(&output.stderr).into_owned())
}

impl Sidecar {
    pub fn start(config: &Value) -> Sidecar {
        Sidecar::start_with(config, "")
    }

    pub fn start_with(config: &Value, prefix: &str) -> Sidecar {
        let (mut command, file) = command(&config.to_string(), prefix);
        let log = std::fs::File::create(file.with_extension("log")).unwrap();
        let child = command.stderr(log).spawn().unwrap();
        let address = config["listen"].as_str().unwrap().parse().unwrap();
        let operator = config["operator"].as_str().map(|at| at.parse().unwrap());
        let state_dir = file.with_extension("tmp");
        let sidecar = Sidecar { child, address, operator, file, state_dir };
        wait_for("readiness", || sidecar.readiness_status() == Some(200));
        sidecar
    }

    /// Wraps a process that was started by other means from this file. It need not be ready yet.
    pub fn from_child(
        child: Child,
        address: SocketAddr,
        operator: SocketAddr,
        file: std::path::PathBuf,
    ) -> Sidecar {
        let state_dir = file.with_extension("tmp");
        Sidecar { child, address, operator: Some(operator), file, state_dir }
    }

    /// Starts a second process beside this one, with another operator address and otherwise the same configuration.
    /// It need not be ready yet.
    pub fn successor(&self, config: &Value) -> Sidecar {
        self.successor_with(config, "")
    }

    /// As `successor`, with shell text in front of the program.
    pub fn successor_with(&self, config: &Value, prefix: &str) -> Sidecar {
        let mut config = config.clone();
        config["operator"] = json!(unused_address().to_string());
        let (mut command, file) = command(&config.to_string(), prefix);
        let log = std::fs::File::create(file.with_extension("log")).unwrap();
        let child = command.env("TMPDIR", &self.state_dir).stderr(log).spawn().unwrap();
        let operator = config["operator"].as_str().map(|at| at.parse().unwrap());
        let next =
            Sidecar { child, address: self.address, operator, file, state_dir: self.state_dir.clone() };
        wait_for("the operator address", || TcpStream::connect(operator.unwrap()).is_ok());
        next
    }

    /// The status that `/-/ready` answers with; `None` if there is no answer.
    pub fn readiness_status(&self) -> Option<u16> {
        let mut client = Client::connect(self.address)?;
        client.send("GET /-/ready HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
        client.receive().map(|message| message.status())
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("the sidecar accepts")
    }

    /// Sends a request on a new connection and waits for the answer.
    pub fn send_request(&self, class: &str, id: &str) -> Message {
        self.client().send_request(class, id)
    }

    /// Sends a call to the operator address; returns the whole answer.
    pub fn call(&self, line: &str) -> String {
        self.call_raw(&format!("{line}\n"))
    }

    /// Sends these bytes on a new connection to the operator address; returns the whole answer.
    pub fn call_raw(&self, bytes: &str) -> String {
        self.try_call(bytes).unwrap()
    }

    /// As `call_raw`, for a sidecar that may have been stopped: it closes connections that waited longer than allowed.
    pub fn try_call(&self, bytes: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.operator.expect("an operator address"))?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        stream.write_all(bytes.as_bytes())?;
        stream.shutdown(Shutdown::Write)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// The value of a metric, read from the answer to `INFO`.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.call("INFO");
        let value =
            |line: &str| line.strip_prefix(&format!("router.{name}:"))?.split('|').next()?.parse().ok();
        text.lines().find_map(value).unwrap_or_else(|| panic!("no metric {name} in {text}"))
    }

    /// The directory that it keeps its state in.
    pub fn state_dir(&self) -> std::path::PathBuf {
        self.state_dir.clone()
    }

    /// Its log output so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).unwrap_or_default()
    }

    /// Waits for a log line with this text and returns the first one. A separate thread writes the log, so a line may
    /// appear late.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut found = None;
        wait_for(text, || {
            found = self.log().lines().find(|line| line.contains(text)).map(str::to_owned);
            found.is_some()
        });
        found.unwrap()
    }

    /// Replaces its configuration file and sends it SIGHUP.
    pub fn reload(&self, config: &str) {
        let new = self.file.with_extension("new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(new, &self.file).unwrap();
        self.signal("-HUP");
    }

    pub fn signal(&self, signal: &str) {
        let kill = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    }

    /// Waits for the process to exit; its status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the sidecar's exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// CPU time used so far, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(self.file.with_extension("tmp"));
        let _ = std::fs::remove_file(self.file.with_extension("log"));
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Clients that each send requests one after another, on a connection that they keep until it is to be closed.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<usize>>,
}

impl Load {
    pub fn start(sidecar: &Sidecar, clients: usize) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |c: usize| {
            let (stop, address) = (stop.clone(), sidecar.address);
            thread::spawn(move || {
                let mut client = Client::connect(address).expect("the sidecar accepts");
                let mut served = 0;
                while !stop.load(Ordering::SeqCst) {
                    let answer = client.send_request("quote", &format!("l{c}-{served}"));
                    assert_eq!(answer.status(), 200);
                    served += 1;
                    if answer.header("connection") == "close" {
                        client = Client::connect(address).expect("the sidecar still accepts");
                    }
                }
                served
            })
        };
        Load { threads: (0..clients).map(client).collect(), stop }
    }

    /// Stops the clients; the number of requests served.
    pub fn stop(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().map(|t| t.join().expect("every request is served")).sum()
    }
}

/// A client's connection to the sidecar.
pub struct Client {
    reader: BufReader<TcpStream>,
}

/// A request of this class with this `X-Timeout`.
pub fn request(class: &str, id: &str, timeout: &str) -> String {
    let (method, extra) = match class {
        "quote" => ("GET", ""),
        "pay" => ("POST", "Idempotency-Key: k1\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "POST" { "body" } else { "" };
    format!(
        "{method} /{class}/x?user=7f3a9c21e0b4d655&n=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n\
         X-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\n{extra}\r\n{body}"
    )
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        Some(Client { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, text: &str) {
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    pub fn receive(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Sends a request of this class and waits for the answer.
    pub fn send_request(&mut self, class: &str, id: &str) -> Message {
        self.send(&request(class, id, "10000m"));
        self.receive().expect("an answer")
    }
}
