//! `curlewhub-lab resource-growth`: what one real sidecar needs in a fleet of the usual size and in one sixteen times as
//! large, with the same traffic, beside the bounds of the standing test's section "Beyond this bench".

mod report;
mod sample;

pub use report::{Figures, Report, Row, rows};

use crate::delay::sidecar::{Program, Sidecar};
use crate::load::{self, Arrivals, Mix, Plan};
use curlewhub_config::RepeatPolicy;
use curlewhub_config::units::Span;
use curlewhub_standins::books::Books;
use curlewhub_standins::spec::{ClassSpec, EndpointSpec, FleetSpec, MachineSpec};
use curlewhub_standins::{Fault, FaultAt, Fleet};
use sample::Sampled;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

/// One endpoint in so many restarts, by the operators' trial.
const ONE_RESTART_IN: u32 = 40;
/// A restarted endpoint is away for this long, or for a tenth of a shorter run.
const AWAY: Duration = Duration::from_secs(1);
/// Restarts are spread evenly over this part of the run, so that their returns fall into it.
const RESTARTS: (f64, f64) = (0.1, 0.85);
/// Mean work of a request, in milliseconds, on the yardstick's core.
const WORK_MS: u64 = 20;
/// The mix's keyed class is one whose repeats the endpoints drop for this long.
const WINDOW: Duration = Duration::from_secs(6);
/// More endpoints than this are no fleet that the bounds speak of, and more than one machine opens ports for.
const ENDPOINTS_MOST: u32 = 5_000;

/// A fleet's size: `3200:900` is 3,200 endpoints and 900 sidecars.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Size {
    /// Endpoints listed.
    pub endpoints: u32,
    /// Sidecars that send to them.
    pub sidecars: u32,
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wanted = || "wanted: endpoints and sidecars, such as 200:56".to_owned();
        let (endpoints, sidecars) = text.split_once(':').ok_or_else(wanted)?;
        let size = Size {
            endpoints: endpoints.parse().map_err(|_| wanted())?,
            sidecars: sidecars.parse().map_err(|_| wanted())?,
        };
        let fits = (1..=ENDPOINTS_MOST).contains(&size.endpoints) && size.sidecars > 0;
        if fits {
            Ok(size)
        } else {
            Err(format!("allowed: 1 to {ENDPOINTS_MOST} endpoints, 1 sidecar or more"))
        }
    }
}

/// What is measured.
#[derive(clap::Args, Clone, Debug)]
pub struct ResourceGrowth {
    /// Endpoints and sidecars of the usual fleet.
    #[arg(long, default_value = "200:56")]
    pub usual: Size,
    /// Endpoints and sidecars of the large one.
    #[arg(long, default_value = "3200:900")]
    pub large: Size,
    /// Requests a second at the one sidecar, at random.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// For how long requests come.
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// All that is drawn follows from it.
    #[arg(long, default_value_t = 7)]
    pub seed: u64,
    /// The sidecar's program; this file's own by default.
    #[arg(long, value_name = "PROGRAM")]
    pub sidecar: Option<PathBuf>,
}

impl ResourceGrowth {
    /// All that makes no sense, field by field.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut wants = |ok: bool, problem: &str| {
            if !ok {
                problems.push(problem.to_owned());
            }
        };
        wants(self.rate > 0.0 && self.rate <= 1e4, "--rate: allowed: over 0, up to 10000");
        wants((0.1..=3600.0).contains(&self.seconds), "--seconds: allowed: 0.1 to 3600");
        wants(
            self.large.endpoints >= self.usual.endpoints,
            "--large: allowed: no fewer endpoints than --usual",
        );
        problems
    }

    /// Plays both sizes, one after the other; `lab` is the lab's own file.
    ///
    /// # Errors
    /// Something does not start, or the kernel does not say what the sidecar used.
    pub async fn measure(&self, lab: &Path) -> Result<Report, String> {
        let program = match &self.sidecar {
            Some(path) => Program::Sidecar(path.clone()),
            None => Program::Lab(lab.to_owned()),
        };
        let load_average = sample::load_average();
        let usual = self.play(&program, self.usual).await?;
        let large = self.play(&program, self.large).await?;
        Ok(Report::new(self, load_average, usual, large))
    }

    async fn play(&self, program: &Program, size: Size) -> Result<Figures, String> {
        let mix = Mix::default();
        let fleet = Fleet::start(self.fleet(size, &mix)).map_err(|e| format!("the stand-ins: {e}"))?;
        let folder = tempfile::tempdir().map_err(|e| format!("no temporary folder: {e}"))?;
        let discovery = fleet.addresses().discovery;
        let sidecar = Sidecar::start_with(program, folder.path(), 0, |listen, state| {
            configuration(listen, state, discovery, size, &mix)
        })?;
        let plan = Plan {
            targets: vec![sidecar.address],
            arrivals: Arrivals::Random(self.rate),
            lasts: self.lasts(),
            mix: mix.clone(),
            seed: self.seed,
            phases: Vec::new(),
            open_most: 10_000,
        };
        let mut sampled = Sampled::default();
        let report = tokio::select! {
            report = load::run(plan, Books::default(), |_| {}) => report,
            () = sampled.follow(sidecar.id()) => unreachable!("it never ends"),
        };
        sampled.take(sidecar.id()).ok_or("the kernel does not say what the sidecar used")?;
        let all = report.classes.last().ok_or("no requests")?;
        let totals = fleet.totals();
        Ok(Figures {
            size,
            processor_seconds: sampled.processor.as_secs_f64(),
            peak_memory_bytes: sampled.peak_memory,
            descriptors: sampled.descriptors,
            connections: totals.connections,
            list_bytes: totals.list_bytes,
            asked: all.asked,
            served: all.served,
            unanswered_tries: report.unanswered_tries,
        })
    }

    fn lasts(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// The stand-ins, with their restarts.
    fn fleet(&self, size: Size, mix: &Mix) -> FleetSpec {
        let endpoint = |number| EndpointSpec {
            id: format!("e-{number}"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            zone: "a".to_owned(),
            kind: String::new(),
            served_at: None,
            machine: MachineSpec::default(),
        };
        let restarts = size.endpoints.div_ceil(ONE_RESTART_IN);
        let (from, to) = RESTARTS;
        let restart = |number: u32| {
            let part = from + (to - from) * f64::from(number) / f64::from(restarts);
            FaultAt {
                at: Span(self.lasts().mul_f64(part)),
                endpoint: Some(format!("e-{}", number * ONE_RESTART_IN)),
                fault: Fault::Die,
                lasts: Some(Span(AWAY.min(self.lasts() / 10))),
            }
        };
        let class = |class: &load::ClassMix| ClassSpec {
            name: class.name.clone(),
            work: Span(Duration::from_millis(WORK_MS)),
            cv: 0.4,
            window: Span(if class.repeat == RepeatPolicy::Keyed { WINDOW } else { Duration::ZERO }),
        };
        FleetSpec {
            seed: self.seed,
            discovery: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            directory: Default::default(),
            classes: mix.classes.iter().map(class).collect(),
            endpoints: (0..size.endpoints).map(endpoint).collect(),
            faults: (0..restarts).map(restart).collect(),
            clock_ahead_ms: 0.0,
            cold: false,
        }
    }
}

/// The sidecar's own file: one of so many, with a list that discovery tells.
fn configuration(listen: SocketAddr, state: &Path, discovery: SocketAddr, size: Size, mix: &Mix) -> String {
    let mut text = format!(
        "name = \"growth\"\nlisten = \"{listen}\"\nstate_dir = {state:?}\nzones = [\"a\"]\nzone = \"a\"\n\
         balancers = {}\nnumber = 0\n[log]\nlevel = \"warn\"\n[discovery]\naddress = \"{discovery}\"\n",
        size.sidecars
    );
    for class in &mix.classes {
        let repeat = match class.repeat {
            RepeatPolicy::Safe => "repeat = \"safe\"".to_owned(),
            RepeatPolicy::Keyed => {
                format!("repeat = \"keyed\"\ngroup = \"zone\"\nwindow = \"{}s\"", WINDOW.as_secs())
            }
            RepeatPolicy::Never => "repeat = \"never\"".to_owned(),
        };
        // Text into a string: it never fails.
        let _ = write!(
            text,
            "[[classes]]\nname = \"{}\"\n{repeat}\nobjective = \"{}ms\"\ndeadline = \"{}ms\"\nworth = 1.0\n",
            class.name,
            class.objective.0.as_millis(),
            class.deadline.0.as_millis()
        );
    }
    text
}
