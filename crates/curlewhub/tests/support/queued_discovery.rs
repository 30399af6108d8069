//! A discovery service with one worker and a queue: each call and each notification takes the worker the same time.
//! A changed list is not sent on open watches: each watch is closed instead. Whole lists hold no draining targets, as
//! the tests leave these out.

use super::{Message, answer, list};
use serde_json::Value;
use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Identifies a client of the service; each client calls at its own addresses.
pub type ClientId = usize;

/// What happened between the service and a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A call has arrived.
    Called(String),
    /// A list of this version was about to be written.
    Written(u64),
    /// The client's watches were closed because the list changed.
    WatchEnded,
}

/// An event with its time and client.
#[derive(Clone, Debug)]
pub struct Record {
    pub at: Instant,
    pub client: ClientId,
    pub event: Event,
}

enum Job {
    Answer { client: ClientId, target: String, stream: TcpStream },
    Notify { client: ClientId },
}

#[derive(Default)]
struct State {
    jobs: VecDeque<Job>,
    version: u64,
    targets: Vec<Value>,
    watches: HashMap<ClientId, Vec<TcpStream>>,
    records: Vec<Record>,
}

/// The running service.
pub struct QueuedDiscovery {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl QueuedDiscovery {
    /// Starts with these targets as version 1; the worker takes `job_duration` per job.
    pub fn start(targets: Vec<Value>, job_duration: Duration) -> QueuedDiscovery {
        let state = State { version: 1, targets, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let worker = shared.clone();
        thread::spawn(move || run_worker(&worker, job_duration));
        QueuedDiscovery { shared }
    }

    /// Opens another address at which this client may call.
    pub fn address_for(&self, client: ClientId) -> SocketAddr {
        let listener = super::listener_on_unique_ip();
        let address = listener.local_addr().unwrap();
        let shared = self.shared.clone();
        thread::spawn(move || accept(&listener, client, &shared));
        address
    }

    /// Replaces the list and returns the time of the change. Its notifications queue behind all calls already waiting.
    pub fn replace_targets(&self, targets: Vec<Value>) -> Instant {
        let (state, wake) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.targets = targets;
        state.version += 1;
        let mut clients: Vec<ClientId> = state.watches.keys().copied().collect();
        clients.sort_unstable();
        state.jobs.extend(clients.into_iter().map(|client| Job::Notify { client }));
        wake.notify_all();
        Instant::now()
    }

    /// The number of clients with an open watch.
    pub fn watching_clients(&self) -> usize {
        let state = self.shared.0.lock().unwrap();
        state.watches.values().filter(|watches| !watches.is_empty()).count()
    }

    pub fn records(&self) -> Vec<Record> {
        self.shared.0.lock().unwrap().records.clone()
    }
}

fn accept(listener: &TcpListener, client: ClientId, shared: &Arc<(Mutex<State>, Condvar)>) {
    for mut stream in listener.incoming().flatten() {
        let shared = shared.clone();
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Some(message) = Message::read(&mut BufReader::new(&mut stream)) else { return };
            let target = message.target().to_owned();
            let (state, wake) = &*shared;
            let mut state = state.lock().unwrap();
            state.record(client, Event::Called(target.clone()));
            state.jobs.push_back(Job::Answer { client, target, stream });
            wake.notify_all();
        });
    }
}

fn run_worker(shared: &(Mutex<State>, Condvar), job_duration: Duration) {
    let (state, wake) = shared;
    loop {
        let job = {
            let mut waiting =
                wake.wait_while(state.lock().unwrap(), |state| state.jobs.is_empty()).unwrap();
            waiting.jobs.pop_front().expect("a job")
        };
        thread::sleep(job_duration);
        state.lock().unwrap().run_job(job);
    }
}

impl State {
    fn record(&mut self, client: ClientId, event: Event) {
        self.records.push(Record { at: Instant::now(), client, event });
    }

    fn run_job(&mut self, job: Job) {
        match job {
            Job::Answer { client, target, mut stream } => {
                let whole = list(self.version, true, &self.targets).to_string();
                self.record(client, Event::Written(self.version));
                if !target.contains("watch") {
                    let _ = stream.write_all(answer("200 OK", "", &whole).as_bytes());
                    return;
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let line = format!("{whole}\n");
                let first = format!("{head}{:x}\r\n{line}\r\n", line.len());
                if stream.write_all(first.as_bytes()).is_ok() {
                    keep_alive(&stream);
                    self.watches.entry(client).or_default().push(stream);
                }
            }
            Job::Notify { client } => {
                let watches = self.watches.remove(&client).unwrap_or_default();
                if !watches.is_empty() {
                    self.record(client, Event::WatchEnded);
                }
                for watch in watches {
                    let _ = watch.shutdown(std::net::Shutdown::Both);
                }
            }
        }
    }
}

/// Writes an empty line every two seconds until the connection ends.
fn keep_alive(stream: &TcpStream) {
    let mut stream = stream.try_clone().unwrap();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_secs(2));
            if stream.write_all(b"1\r\n\n\r\n").is_err() {
                return;
            }
        }
    });
}
