//! `curlewhub-lab delay`: what sidecars add to a request's time, beside the same requests sent straight to the endpoints
//! and through relays that decide nothing, all in one run.

mod client;
mod peers;
mod report;
pub(crate) mod sidecar;
mod summary;
mod wire;

pub use client::Arrivals;
pub use report::Report;

use client::{Clients, closed_loop, paced, schedule};
use peers::Peer;
use report::{ClosedLoop, PacedCell, PacedRound, PathFigures, SidecarTime};
use sidecar::{Program, Scheduled, Sidecar};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Each path is used for so long before it is measured: connections come up, and a sidecar learns its first.
const WARM_UP: Duration = Duration::from_millis(500);
/// Direct, through relays, and through sidecars.
const PATHS: usize = 3;
/// Sidecars in a row, at the most.
const DEPTH_MAX: usize = 32;
/// Bytes of an answer, at the most: what a sidecar keeps whole.
const SIZE_MAX: usize = 64 * 1024;

/// What is measured.
#[derive(clap::Args, Clone, Debug)]
pub struct Delay {
    /// Sidecars in a row.
    #[arg(long, value_delimiter = ',', default_value = "1,3,6,12")]
    pub depths: Vec<usize>,
    /// Paced requests a second over each path.
    #[arg(long, value_delimiter = ',', default_value = "74,740")]
    pub rates: Vec<f64>,
    /// Bytes of an answer's body.
    #[arg(long, value_delimiter = ',', default_value = "64,16384")]
    pub sizes: Vec<usize>,
    /// How paced requests are spread over time.
    #[arg(long, value_enum, default_value = "even")]
    pub arrivals: Arrivals,
    /// Seconds of each round.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Rounds; medians over them are printed.
    #[arg(long, default_value_t = 1)]
    pub rounds: usize,
    /// Endpoints that a chain's last sidecar chooses from.
    #[arg(long, default_value_t = 8)]
    pub endpoints: usize,
    /// All that is drawn follows from it.
    #[arg(long, default_value_t = 7)]
    pub seed: u64,
    /// The sidecar's program; this file's own by default.
    #[arg(long, value_name = "PROGRAM")]
    pub sidecar: Option<PathBuf>,
}

impl Delay {
    /// All that is wrong with it, by field.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |holds: bool, problem: &str| {
            if !holds {
                problems.push(problem.to_owned());
            }
        };
        let depths = self.depths.iter().all(|depth| (1..=DEPTH_MAX).contains(depth));
        check(depths, &format!("--depths: allowed: 1 to {DEPTH_MAX}"));
        check(self.rates.iter().all(|rate| (1.0..=5000.0).contains(rate)), "--rates: allowed: 1 to 5000");
        let sizes = self.sizes.iter().all(|size| (1..=SIZE_MAX).contains(size));
        check(sizes, &format!("--sizes: allowed: 1 to {SIZE_MAX}"));
        check((0.1..=3600.0).contains(&self.seconds), "--seconds: allowed: 0.1 to 3600");
        check((1..=100).contains(&self.rounds), "--rounds: allowed: 1 to 100");
        check((1..=64).contains(&self.endpoints), "--endpoints: allowed: 1 to 64");
        problems
    }

    /// Measures everything, one after the other. `lab` is this program's own file.
    ///
    /// # Errors
    /// Something can't be started.
    pub fn measure(&self, lab: &Path) -> Result<Report, String> {
        let program = match &self.sidecar {
            Some(path) => Program::Sidecar(path.clone()),
            None => Program::Lab(lab.to_owned()),
        };
        let mut paced = Vec::new();
        for &depth in &self.depths {
            let stage = Stage::new(self, &program, depth)?;
            for &size in &self.sizes {
                for &rate in &self.rates {
                    eprintln!("{depth} deep, {size} bytes, {rate} a second");
                    let rounds = (0..self.rounds).map(|round| self.paced_round(&stage, size, rate, round));
                    paced.push(PacedCell::new(depth, size, rate, rounds.collect::<Result<_, _>>()?));
                }
            }
        }
        Ok(Report {
            arrivals: self.arrivals,
            endpoints: self.endpoints,
            seconds: self.seconds,
            seed: self.seed,
            paced,
            closed_loop: self.closed_loops(&program)?,
        })
    }

    fn paced_round(
        &self,
        stage: &Stage,
        size: usize,
        rate: f64,
        round: usize,
    ) -> Result<PacedRound, String> {
        let unconnected = |e| format!("a connection does not come up: {e}");
        let clients = stage.paths().into_iter().map(|path| Clients::connect(&path.targets, size));
        let mut clients: Vec<Clients> = clients.collect::<Result<_, _>>().map_err(unconnected)?;
        paced(&mut clients, &self.schedules(rate, WARM_UP, round));
        let opened_before = stage.paths().map(StagePath::accepted);
        let before = stage.scheduled();
        let measured =
            paced(&mut clients, &self.schedules(rate, Duration::from_secs_f64(self.seconds), round));
        let after = stage.scheduled();
        let opened = stage.paths().map(StagePath::accepted);
        let mut figures = measured
            .into_iter()
            .zip(opened.into_iter().zip(opened_before))
            .map(|(measured, (after, before))| PathFigures::new(measured, after - before));
        let mut next = || figures.next().ok_or("a path was not measured".to_owned());
        let (direct, relay, sidecar) = (next()?, next()?, next()?);
        let sidecar_time =
            before.zip(after).map(|(before, after)| SidecarTime::new(&before, &after, sidecar.answered));
        Ok(PacedRound { direct, relay, sidecar, sidecar_time })
    }

    /// When the requests of each path begin: the paths take turns where arrivals are even.
    fn schedules(&self, rate: f64, lasts: Duration, round: usize) -> [Vec<Duration>; PATHS] {
        std::array::from_fn(|path| {
            let seed = self.seed.wrapping_add((round * PATHS + path) as u64);
            schedule(self.arrivals, rate, lasts, path as f64 / PATHS as f64, seed)
        })
    }

    fn closed_loops(&self, program: &Program) -> Result<Vec<ClosedLoop>, String> {
        let stage = Stage::new(self, program, 1)?;
        let size = self.sizes.first().copied().unwrap_or(1);
        let mut loops = ["direct", "relay", "sidecar"].map(|path| ClosedLoop { path, rounds: Vec::new() });
        for _ in 0..self.rounds {
            for (of_path, path) in loops.iter_mut().zip(stage.paths()) {
                let run = |lasts| {
                    let measured = closed_loop(path.targets[0], size, lasts);
                    measured.map_err(|e| format!("a connection does not come up: {e}"))
                };
                run(WARM_UP)?;
                let before = path.accepted();
                let measured = run(Duration::from_secs_f64(self.seconds))?;
                of_path.rounds.push(PathFigures::new(measured, path.accepted() - before));
            }
        }
        Ok(loops.into())
    }
}

/// One way to endpoints of its own.
struct StagePath {
    targets: Vec<SocketAddr>,
    endpoints: Vec<Peer>,
}

impl StagePath {
    /// Connections that its endpoints have accepted.
    fn accepted(&self) -> usize {
        self.endpoints.iter().map(Peer::accepted).sum()
    }
}

/// All that runs for chains of one depth.
struct Stage {
    direct: StagePath,
    relay: StagePath,
    sidecar: StagePath,
    sidecars: Vec<Sidecar>,
    /// What they have written, until they have ended.
    _folder: tempfile::TempDir,
}

impl Stage {
    fn new(delay: &Delay, program: &Program, depth: usize) -> Result<Self, String> {
        let folder = tempfile::tempdir().map_err(|e| format!("no temporary folder: {e}"))?;
        let listening = |e: std::io::Error| format!("a peer can't listen: {e}");
        let endpoints = || {
            let peers = (0..delay.endpoints).map(|_| Peer::endpoint()).collect::<Result<Vec<_>, _>>();
            let peers = peers.map_err(listening)?;
            let addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
            Ok::<_, String>((peers, addresses))
        };
        let (direct_peers, direct_targets) = endpoints()?;
        let (relay_peers, relay_endpoints) = endpoints()?;
        let mut relay_targets = relay_endpoints;
        for _ in 0..depth {
            relay_targets = vec![Peer::relay(relay_targets).map_err(listening)?.address];
        }
        let (sidecar_peers, sidecar_endpoints) = endpoints()?;
        let (sidecars, sidecar_target) = chain(program, depth, folder.path(), sidecar_endpoints)?;
        Ok(Stage {
            direct: StagePath { targets: direct_targets, endpoints: direct_peers },
            relay: StagePath { targets: relay_targets, endpoints: relay_peers },
            sidecar: StagePath { targets: sidecar_target, endpoints: sidecar_peers },
            sidecars,
            _folder: folder,
        })
    }

    fn paths(&self) -> [&StagePath; PATHS] {
        [&self.direct, &self.relay, &self.sidecar]
    }

    fn scheduled(&self) -> Option<Vec<Scheduled>> {
        self.sidecars.iter().map(Sidecar::scheduled).collect()
    }
}

/// Sidecars in a row: the last one chooses from the endpoints, each other one has the next sidecar as its only endpoint.
fn chain(
    program: &Program,
    depth: usize,
    folder: &Path,
    endpoints: Vec<SocketAddr>,
) -> Result<(Vec<Sidecar>, Vec<SocketAddr>), String> {
    let mut targets = endpoints;
    let mut sidecars = Vec::new();
    for number in 0..depth {
        let sidecar = Sidecar::start(program, folder, number, &targets)?;
        targets = vec![sidecar.address];
        sidecars.push(sidecar);
    }
    Ok((sidecars, targets))
}
