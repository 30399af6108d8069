//! One run of the soak: everything is started, clients send, sidecars get signals, and the record is taken.

use super::client::Client;
use super::discovery;
use super::endpoint::Endpoints;
use super::record::{Record, SoakRecord};
use super::settings::{Settings, target};
use super::sidecar::{Event, Sidecar, free_address};
use crate::ports::octet;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Requests at the beginning that find no trouble: the sidecars learn how long answers take.
const CALM: Duration = Duration::from_millis(1500);
/// Sidecars that start at once, so that a large run does not time out its own starts.
const START_INTERVAL: Duration = Duration::from_millis(15);
/// Time beyond that until clients begin, and behind the last request's time until the run ends.
const START_MARGIN: Duration = Duration::from_millis(500);
const END_MARGIN: Duration = Duration::from_secs(1);
/// Third octets of the addresses of endpoints and discovery; sidecars have the first ones.
const ENDPOINTS_OCTET: u8 = 200;
const DISCOVERY_OCTET: u8 = 201;
/// Spreads the seeds of clients.
const CLIENT_SEED_FACTOR: u64 = 1_000_003;
/// Interval at which the lateness of timers is measured.
const LAG_CHECK: Duration = Duration::from_millis(10);
/// Idle connections of a crowd, for each sidecar.
const CROWD: usize = 200;
/// Sidecars that get a crowd.
const CROWDED_SIDECARS: usize = 4;

/// How a run is made.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The sidecar's program and its first words.
    pub program: Vec<PathBuf>,
    /// All that is drawn follows from it.
    pub seed: u64,
    /// Sidecars.
    pub sidecars: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Clients of each sidecar, on average.
    pub clients: usize,
    /// For how long clients begin requests.
    pub length: Duration,
    /// Idle clients fill the descriptors of some sidecars.
    pub is_crowded: bool,
    /// Fixes whether attempts may be cancelled and doubled; drawn otherwise.
    pub cancelling: Option<bool>,
    /// See `cancelling`.
    pub second_copies: Option<bool>,
    /// Where files and logs stay.
    pub folder: PathBuf,
    /// The log level of the sidecars.
    pub log_level: Option<String>,
}

/// The sidecars that take new connections.
#[derive(Debug, Default)]
pub struct Front(Mutex<BTreeMap<usize, SocketAddr>>);

impl Front {
    /// Takes a sidecar in, or out.
    pub fn set(&self, sidecar: usize, address: SocketAddr, is_in: bool) {
        let mut sidecars = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if is_in {
            sidecars.insert(sidecar, address);
        } else {
            sidecars.remove(&sidecar);
        }
    }

    /// One of them.
    pub fn choose(&self, random: &mut Pcg32) -> Option<(usize, SocketAddr)> {
        let sidecars = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sidecars.iter().map(|(number, address)| (*number, *address)).choose(random)
    }

    fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// When what happens in a run.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// Clients begin.
    begin: Instant,
    /// Troubles begin.
    calm_until: Instant,
    /// Clients begin no further requests.
    until: Instant,
    /// All requests are over.
    end: Instant,
}

impl Schedule {
    fn new(options: &SoakOptions, settings: &Settings) -> Schedule {
        let begin = Instant::now() + START_INTERVAL * options.sidecars as u32 + START_MARGIN;
        let calm_until = begin + CALM;
        let until = calm_until + options.length;
        Schedule { begin, calm_until, until, end: until + settings.deadline + END_MARGIN }
    }
}

/// What all parts of a run share.
struct Shared<'a> {
    options: &'a SoakOptions,
    settings: Settings,
    schedule: Schedule,
    octet: u8,
    record: Arc<SoakRecord>,
    front: Arc<Front>,
}

/// Makes one run. Dropped before its end, it leaves no process behind. Returns also its settings, as text.
///
/// # Errors
/// What could not be started.
pub async fn run(options: &SoakOptions) -> Result<(Record, String), String> {
    let (octet, _held) = octet().ok_or("no second octet of 127.x is free for a run")?;
    std::fs::create_dir_all(&options.folder).map_err(text)?;
    let mut random = Pcg32::seed_from_u64(options.seed);
    let mut settings = Settings::draw(&mut random, options.sidecars, options.is_crowded);
    settings.cancelling = options.cancelling.unwrap_or(settings.cancelling);
    settings.second_copies = options.second_copies.unwrap_or(settings.second_copies);
    let schedule = Schedule::new(options, &settings);
    let (record, front) = (Arc::new(SoakRecord::default()), Arc::new(Front::default()));
    record.update(|record| record.is_crowded = options.is_crowded);
    let shared = Shared { options, settings, schedule, octet, record, front };

    let mut tasks = JoinSet::new();
    tasks.spawn(measure_lag(shared.record.clone()));
    let targets = shared.start_endpoints(&mut tasks)?;
    let discovery = shared.start_discovery(&targets, &mut tasks).await?;
    let mut sidecars = shared.start_sidecars(discovery, &targets, &mut random).await?;
    shared.sidecars_ready().await;
    let mut clients = shared.start_clients();
    if options.is_crowded {
        shared.start_crowd(&mut tasks);
    }
    while clients.join_next().await.is_some() {}
    while sidecars.join_next().await.is_some() {}
    tasks.shutdown().await;
    Ok((shared.record.take(), format!("{:?}", shared.settings)))
}

fn text(error: std::io::Error) -> String {
    error.to_string()
}

impl Shared<'_> {
    /// Starts the endpoints. Returns their entries in the list.
    fn start_endpoints(&self, tasks: &mut JoinSet<()>) -> Result<Vec<Value>, String> {
        let seed = self.options.seed;
        let endpoints = Endpoints::new(seed, self.record.clone(), self.schedule.calm_until);
        let ip = Ipv4Addr::new(127, self.octet, ENDPOINTS_OCTET, 1);
        let mut targets = Vec::new();
        for number in 0..self.options.endpoints {
            let (listener, address) = Endpoints::bind(ip).map_err(text)?;
            targets.push(target(number, address));
            tasks.spawn(endpoints.clone().serve(number, listener));
        }
        Ok(targets)
    }

    async fn start_discovery(
        &self,
        targets: &[Value],
        tasks: &mut JoinSet<()>,
    ) -> Result<SocketAddr, String> {
        let ip = Ipv4Addr::new(127, self.octet, DISCOVERY_OCTET, 1);
        let listener = TcpListener::bind((ip, 0)).await.map_err(text)?;
        let address = listener.local_addr().map_err(text)?;
        let targets = targets.to_vec();
        tasks.spawn(async move { drop(discovery::serve(listener, targets).await) });
        Ok(address)
    }

    /// Starts the sidecars one after the other, and what happens to them.
    async fn start_sidecars(
        &self,
        discovery: SocketAddr,
        targets: &[Value],
        random: &mut Pcg32,
    ) -> Result<JoinSet<()>, String> {
        let (options, schedule) = (self.options, self.schedule);
        let mut sidecars = JoinSet::new();
        for number in 0..options.sidecars {
            let ip = Ipv4Addr::new(127, self.octet, (number / 250) as u8, 1 + (number % 250) as u8);
            let sidecar = Sidecar {
                number,
                program: options.program.clone(),
                folder: options.folder.clone(),
                address: free_address(ip).map_err(text)?,
                ip,
                discovery,
                targets: targets.to_vec(),
                settings: self.settings.clone(),
                front: self.front.clone(),
                record: self.record.clone(),
                log_level: options.log_level.clone(),
            };
            let event = Event::draw(random);
            let at = schedule.calm_until + options.length.mul_f64(random.random_range(0.0..0.6));
            let random = Pcg32::seed_from_u64(options.seed ^ (number as u64) << 32);
            sidecars.spawn(sidecar.run(event, at, schedule.end, random));
            sleep(START_INTERVAL).await;
        }
        Ok(sidecars)
    }

    /// Waits until clients may begin.
    async fn sidecars_ready(&self) {
        sleep_until(self.schedule.begin).await;
        while self.front.len() < self.options.sidecars && Instant::now() < self.schedule.calm_until {
            sleep(LAG_CHECK).await;
        }
    }

    fn start_clients(&self) -> JoinSet<()> {
        let next_id = Arc::new(AtomicU64::new(0));
        let mut clients = JoinSet::new();
        for number in 0..self.options.sidecars * self.options.clients {
            let seed = self.options.seed.wrapping_mul(CLIENT_SEED_FACTOR) ^ number as u64;
            let (front, record) = (self.front.clone(), self.record.clone());
            let (timeout, until) = (self.settings.deadline, self.schedule.until);
            clients.spawn(Client::new(seed, front, record, next_id.clone(), timeout, until).run());
        }
        clients
    }

    fn start_crowd(&self, tasks: &mut JoinSet<()>) {
        for number in 0..CROWDED_SIDECARS * CROWD {
            let seed = self.options.seed ^ number as u64;
            let Schedule { calm_until, until, .. } = self.schedule;
            tasks.spawn(idle_client(self.front.clone(), seed, calm_until, until));
        }
    }
}

/// Connects, says nothing or half a line, and stays.
async fn idle_client(front: Arc<Front>, seed: u64, from: Instant, until: Instant) {
    let mut random = Pcg32::seed_from_u64(seed);
    sleep_until(from + Duration::from_millis(random.random_range(0..500))).await;
    while Instant::now() < until {
        let crowded = front.choose(&mut random).filter(|(number, _)| *number < CROWDED_SIDECARS);
        let Some((_, address)) = crowded else {
            sleep(LAG_CHECK).await;
            continue;
        };
        if let Ok(mut stream) = TcpStream::connect(address).await {
            if random.random_bool(0.3) {
                let _ = stream.write_all(b"GET /quote/x HTT").await;
            }
            let _ = stream.readable().await;
        }
        sleep(Duration::from_millis(random.random_range(1000..3000))).await;
    }
}

/// Records by how much timers of the soak are late.
async fn measure_lag(record: Arc<SoakRecord>) {
    loop {
        let due = Instant::now() + LAG_CHECK;
        sleep_until(due).await;
        let lag = due.elapsed().as_secs_f64();
        record.update(|record| record.timer_lag_s = record.timer_lag_s.max(lag));
    }
}
