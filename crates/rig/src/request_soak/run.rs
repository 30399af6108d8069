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

/// Makes one run. Dropped before its end, it leaves no process behind.
///
/// # Errors
/// What could not be started.
pub async fn run(options: &SoakOptions) -> Result<(Record, String), String> {
    let (octet, _held) = octet().ok_or("no second octet of 127.x is free for a run")?;
    let text = |e: std::io::Error| e.to_string();
    std::fs::create_dir_all(&options.folder).map_err(text)?;
    let mut random = Pcg32::seed_from_u64(options.seed);
    let mut settings = Settings::draw(&mut random, options.sidecars, options.is_crowded);
    settings.cancelling = options.cancelling.unwrap_or(settings.cancelling);
    settings.second_copies = options.second_copies.unwrap_or(settings.second_copies);
    let record = Arc::new(SoakRecord::default());
    record.update(|record| record.is_crowded = options.is_crowded);
    let mut tasks = JoinSet::new();

    let mut listeners = Vec::new();
    let mut targets = Vec::new();
    for number in 0..options.endpoints {
        let (listener, address) = Endpoints::bind(Ipv4Addr::new(127, octet, 200, 1)).map_err(text)?;
        targets.push(target(number, address));
        listeners.push(listener);
    }
    let listener = TcpListener::bind((Ipv4Addr::new(127, octet, 201, 1), 0)).await.map_err(text)?;
    let discovery = listener.local_addr().map_err(text)?;
    let discovered = targets.clone();
    tasks.spawn(async move { drop(discovery::serve(listener, discovered).await) });
    tasks.spawn(measure_lag(record.clone()));

    let front = Arc::new(Front::default());
    let start_time = START_INTERVAL * options.sidecars as u32 + Duration::from_millis(500);
    let begin = Instant::now() + start_time;
    let until = begin + CALM + options.length;
    let end = until + settings.deadline + Duration::from_secs(1);
    let endpoints = Endpoints::new(options.seed, record.clone(), begin + CALM);
    for (number, listener) in listeners.into_iter().enumerate() {
        tasks.spawn(endpoints.clone().serve(number, listener));
    }
    let mut sidecars = JoinSet::new();
    for number in 0..options.sidecars {
        let ip = Ipv4Addr::new(127, octet, (number / 250) as u8, 1 + (number % 250) as u8);
        let sidecar = Sidecar {
            number,
            program: options.program.clone(),
            folder: options.folder.clone(),
            address: free_address(ip).map_err(text)?,
            ip,
            discovery,
            targets: targets.clone(),
            settings: settings.clone(),
            front: front.clone(),
            record: record.clone(),
            log_level: options.log_level.clone(),
        };
        let event = Event::draw(&mut random);
        let at = begin + CALM + options.length.mul_f64(random.random_range(0.0..0.6));
        let random = Pcg32::seed_from_u64(options.seed ^ (number as u64) << 32);
        sidecars.spawn(sidecar.run(event, at, end, random));
        sleep(START_INTERVAL).await;
    }
    sleep_until(begin).await;
    while front.len() < options.sidecars && Instant::now() < begin + CALM {
        sleep(LAG_CHECK).await;
    }
    let next_id = Arc::new(AtomicU64::new(0));
    let mut clients = JoinSet::new();
    for number in 0..options.sidecars * options.clients {
        let seed = options.seed.wrapping_mul(1_000_003) ^ number as u64;
        let client =
            Client::new(seed, front.clone(), record.clone(), next_id.clone(), settings.deadline, until);
        clients.spawn(client.run());
    }
    if options.is_crowded {
        for number in 0..CROWDED_SIDECARS * CROWD {
            tasks.spawn(idle_client(front.clone(), options.seed ^ number as u64, begin + CALM, until));
        }
    }
    while clients.join_next().await.is_some() {}
    while sidecars.join_next().await.is_some() {}
    tasks.shutdown().await;
    Ok((record.take(), format!("{settings:?}")))
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
