//! The clients: paced requests whose times are set beforehand, and one connection that asks again at once.
//!
//! A request's time runs from when it was to begin, so that an answer which holds up the next request counts against
//! both. Only what a client's own thread slept too long is no part of it; that is reported beside it.

use super::peers::CLASS;
use super::summary::Latencies;
use super::wire::{Connection, Expected, Start};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Connections that share a path's paced requests. A request waits for the one so many before it, which at 740 a
/// second came 20 ms earlier.
const CONNECTIONS: usize = 16;
/// All threads have been started by then.
const START_MARGIN: Duration = Duration::from_millis(50);
/// What a request says of its time.
const TIMEOUT: &str = "2500m";

/// How requests are spread over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// At equal distances.
    Even,
    /// At random, as those of many independent callers: a Poisson process.
    Random,
}

/// The clients of one path, with connections that stay over several runs.
pub struct Clients(Vec<Client>);

impl Clients {
    /// Connects them: each request of a client goes to the next one of the targets.
    ///
    /// # Errors
    /// A connection does not come up.
    pub fn connect(targets: &[SocketAddr], size: usize) -> io::Result<Self> {
        let clients: io::Result<_> = (0..CONNECTIONS).map(|_| Client::connect(targets, size)).collect();
        Ok(Clients(clients?))
    }
}

/// Counts of failed requests by what came in the answer's stead.
pub type Failures = BTreeMap<String, u64>;

/// What came of the requests of one path.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Of the answered requests.
    pub latencies: Latencies,
    /// Requests without the answer that they were to have, by what came instead.
    pub failures: Failures,
    /// By how much the clients' threads woke late.
    pub lateness: Latencies,
    /// From the first request to the last answer.
    pub lasted: Duration,
}

impl Measured {
    fn note(&mut self, asked: Result<Duration, String>) {
        match asked {
            Ok(latency) => self.latencies.record(latency),
            Err(what) => *self.failures.entry(what).or_default() += 1,
        }
    }

    fn join(&mut self, other: Measured) {
        self.latencies.join(other.latencies);
        self.lateness.join(other.lateness);
        for (what, count) in other.failures {
            *self.failures.entry(what).or_default() += count;
        }
        self.lasted = self.lasted.max(other.lasted);
    }
}

/// When requests begin that come at this rate for so long; `part` of the distance between two is waited first.
pub fn schedule(arrivals: Arrivals, rate: f64, lasts: Duration, part: f64, seed: u64) -> Vec<Duration> {
    let mut draws = Pcg32::seed_from_u64(seed);
    let mut schedule = Vec::new();
    // In distances and not in seconds, which would add up to a little less or more than they should.
    let mut distances = part;
    while distances < lasts.as_secs_f64() * rate {
        schedule.push(Duration::from_secs_f64(distances / rate));
        distances += match arrivals {
            Arrivals::Even => 1.0,
            Arrivals::Random => -(1.0 - draws.random::<f64>()).ln(),
        };
    }
    schedule
}

/// Sends the requests of several paths, each by its schedule, and measures each path.
pub fn paced(paths: &mut [Clients], schedules: &[Vec<Duration>]) -> Vec<Measured> {
    let start = Instant::now() + START_MARGIN;
    thread::scope(|scope| {
        let mut running = Vec::new();
        for (clients, schedule) in paths.iter_mut().zip(schedules) {
            let threads: Vec<_> = (clients.0.iter_mut().enumerate())
                .map(|(number, client)| {
                    let schedule = schedule.iter().skip(number).step_by(CONNECTIONS);
                    scope.spawn(move || client.follow(start, schedule))
                })
                .collect();
            running.push(threads);
        }
        running.into_iter().map(joined).collect()
    })
}

fn joined(threads: Vec<thread::ScopedJoinHandle<'_, Measured>>) -> Measured {
    let mut measured = Measured::default();
    for thread in threads {
        // A client that panicked has measured nothing; its requests are missing in the count.
        measured.join(thread.join().unwrap_or_default());
    }
    measured
}

/// One connection that asks again as soon as it has its answer.
///
/// # Errors
/// The connection does not come up.
pub fn closed_loop(target: SocketAddr, size: usize, lasts: Duration) -> io::Result<Measured> {
    let mut client = Client::connect(&[target], size)?;
    let mut measured = Measured::default();
    let start = Instant::now();
    while start.elapsed() < lasts {
        measured.note(client.ask(Instant::now()));
    }
    measured.lasted = start.elapsed();
    Ok(measured)
}

/// One client: a connection to each target, and one request at a time.
struct Client {
    targets: Vec<SocketAddr>,
    connections: Vec<Connection>,
    next: usize,
    size: usize,
}

impl Client {
    fn connect(targets: &[SocketAddr], size: usize) -> io::Result<Self> {
        let connections =
            targets.iter().map(|target| Connection::connect(*target)).collect::<Result<_, _>>()?;
        Ok(Client { targets: targets.to_vec(), connections, next: 0, size })
    }

    fn follow<'a>(&mut self, start: Instant, schedule: impl Iterator<Item = &'a Duration>) -> Measured {
        let mut measured = Measured::default();
        for offset in schedule {
            let intended = start + *offset;
            let ready = Instant::now();
            thread::sleep(intended.saturating_duration_since(ready));
            let woken = Instant::now();
            // Who was free in time has only slept too long; who was not has been held up by the answer before.
            let began = if ready <= intended { woken } else { intended };
            measured.lateness.record(woken - intended.max(ready));
            measured.note(self.ask(began));
        }
        measured.lasted = start.elapsed();
        measured
    }

    /// Asks once; the time from when the request began, or what came in the answer's stead.
    fn ask(&mut self, began: Instant) -> Result<Duration, String> {
        let number = self.next % self.targets.len();
        self.next += 1;
        let asked = self.exchange(number);
        let latency = began.elapsed();
        if asked.is_err() {
            // What is left on the connection would answer the next request.
            if let Ok(connection) = Connection::connect(self.targets[number]) {
                self.connections[number] = connection;
            }
        }
        asked.map(|()| latency)
    }

    fn exchange(&mut self, number: usize) -> Result<(), String> {
        static IDS: AtomicU64 = AtomicU64::new(0);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let size = self.size;
        let request = format!(
            "GET /{CLASS}/{size} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {TIMEOUT}\r\n\r\n"
        );
        let connection = &mut self.connections[number];
        connection.write(request.as_bytes()).map_err(|e| e.to_string())?;
        match connection.read(Expected::Answer).map_err(|e| e.to_string())? {
            Some(answer) if answer.start == Start::Status(200) && answer.length > size => Ok(()),
            Some(answer) => Err(format!("{:?}", answer.start)),
            None => Err("closed".to_owned()),
        }
    }
}
