//! A scenario: what the fleet is, what is asked of it, and what goes wrong when.

use crate::baselines::Decisions;
use crate::retry::RetrySpec;
use curlewhub_balance::{Class, DeduplicationScope, Limits, Rules, Semantics, Settings, Tenant, ZoneId};
use curlewhub_config::RepeatPolicy;
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_config::units::Span;
use curlewhub_standins::spec::MachineSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

mod problems;

pub use problems::ScenarioError;

fn ms(millis: u64) -> Span {
    Span(Duration::from_millis(millis))
}

/// A scenario file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it is called in reports.
    pub name: String,
    /// Requests arrive for so long.
    pub lasts: Span,
    /// Requests that are open then may still end for at most this long.
    #[serde(default = "drain", alias = "rest")]
    pub drain: Span,
    /// Zones; sidecars are placed in them in turn.
    #[serde(default = "one_zone", alias = "halls")]
    pub zones: Vec<String>,
    /// The network.
    #[serde(default)]
    pub network: NetworkSpec,
    /// Sidecars, each with a decision module of its own.
    pub sidecars: u32,
    /// Who decides in them; the real module where nothing is said.
    #[serde(default)]
    pub decisions: Decisions,
    /// Endpoints, by kind.
    pub endpoints: Vec<EndpointsSpec>,
    /// What is asked.
    pub classes: Vec<ClassSpec>,
    /// Who asks; one that has no name and no allowance where there are none.
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
    /// Worth of a request above its tenant's allowance, as a part of its class's, 0 to 1.
    #[serde(default = "one")]
    pub over_share_worth: f64,
    /// How often.
    pub arrivals: ArrivalSpec,
    /// How clients behave.
    #[serde(default)]
    pub clients: RetrySpec,
    /// Whether a second attempt may go out beside a slow one.
    #[serde(default)]
    pub second_copies: bool,
    /// Attempts for one request.
    #[serde(default = "attempts")]
    pub max_attempts: u32,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// Replacements of sidecars' processes.
    #[serde(default)]
    pub replacements: Vec<ReplacementSpec>,
    /// What fells a cold endpoint.
    #[serde(default)]
    pub slow_start: SlowStartSpec,
    /// Consensus servers, and sidecars that go by what they decide of zones.
    #[serde(default)]
    pub fleet: Option<FleetSpec>,
}

/// A cold endpoint falls by more than this multiple of its capacity within this time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlowStartSpec {
    /// The multiple.
    pub fall_multiple: f64,
    /// The time.
    pub fall_after: Span,
}

impl Default for SlowStartSpec {
    fn default() -> Self {
        let rules = Rules::default();
        SlowStartSpec { fall_multiple: rules.fall_multiple, fall_after: Span(rules.fall_after) }
    }
}

/// A fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// The zones of the consensus servers.
    #[serde(alias = "keepers")]
    pub consensus_servers: Vec<String>,
    /// Each region's zones.
    #[serde(default)]
    pub regions: BTreeMap<String, Vec<String>>,
    /// How zones are left, and returned to.
    #[serde(default)]
    pub places: ZoneFailoverConfig,
    /// Sidecars know one another; without, which saves memory in the largest fleets, they are not known to be there either, and
    /// witnesses are not asked for more than have told.
    #[serde(default = "yes")]
    pub members: bool,
}

fn drain() -> Span {
    ms(10_000)
}

fn one_zone() -> Vec<String> {
    vec!["a".to_owned()]
}

fn attempts() -> u32 {
    3
}

/// Delays, one way.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkSpec {
    /// Within a zone.
    pub within: Span,
    /// Between zones.
    pub between: Span,
    /// Each delay is stretched by up to this part of itself, evenly drawn.
    pub jitter: f64,
    /// An idle connection is closed after this long; a new one costs a round trip more.
    pub idle_close: Span,
}

impl Default for NetworkSpec {
    fn default() -> Self {
        let (within, between) = (Span(Duration::from_micros(200)), ms(2));
        NetworkSpec { within, between, jitter: 0.2, idle_close: ms(30_000) }
    }
}

/// Endpoints of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointsSpec {
    /// How many.
    pub count: u32,
    /// In which zone; in all in turn where nothing is said.
    #[serde(default, alias = "hall")]
    pub zone: Option<String>,
    /// Their machine.
    #[serde(default)]
    pub machine: MachineSpec,
}

/// A class.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Share of the requests, as a weight.
    #[serde(default = "one")]
    pub share: f64,
    /// Mean work on one core of the yardstick speed.
    pub work: Span,
    /// Its coefficient of variation.
    #[serde(default)]
    pub cv: f64,
    /// How it is spread.
    #[serde(default)]
    pub spread: Spread,
    /// Whether a request may run again.
    #[serde(default)]
    pub repeat: RepeatPolicy,
    /// For so long endpoints of a zone drop repeats.
    #[serde(default = "window")]
    pub window: Span,
    /// An answer within this is worth all.
    #[serde(default = "objective")]
    pub objective: Span,
    /// And after this nothing.
    #[serde(default = "deadline")]
    pub deadline: Span,
    /// Worth of an answer in time.
    #[serde(default = "one")]
    pub worth: f64,
    /// What a late one is worth, as a part of that.
    #[serde(default)]
    pub late_value: f64,
}

/// How work is spread around its mean, with the same coefficient of variation.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Log-normal.
    #[default]
    LogNormal,
    /// Pareto: few take very long, and none less than a stated part of the mean.
    Pareto,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Share of the requests, as a weight.
    #[serde(default = "one")]
    pub share: f64,
    /// Requests a second that it may ask, over the whole fleet.
    pub allowance: f64,
}

fn one() -> f64 {
    1.0
}

fn window() -> Span {
    ms(6000)
}

fn objective() -> Span {
    ms(1200)
}

fn deadline() -> Span {
    ms(3000)
}

/// How requests arrive: a Poisson process whose rate follows a line through the points.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ArrivalSpec {
    /// Requests a second, over the whole fleet.
    pub rate: f64,
    /// Multiples of it over time; constant where there are none.
    #[serde(default)]
    pub shape: Vec<Point>,
}

/// A point of the arrivals' line.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// When.
    pub at: Span,
    /// The multiple then.
    pub factor: f64,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Trouble {
    /// The process is gone; it comes back cold.
    Crash,
    /// It takes everything and answers nothing.
    Hang,
    /// All but this part of its capacity is lost, over 0 and up to 1.
    Slow(f64),
    /// The zone is cut off from all others: what crosses its border is lost silently.
    Cut(CutDirection),
}

/// The direction in which a cut loses what crosses the border of a zone.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CutDirection {
    /// Both directions.
    Both,
    /// Into the zone.
    In,
    /// Out of it.
    Out,
}

/// A fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// When it begins.
    pub at: Span,
    /// How long it lasts.
    pub lasts: Span,
    /// What.
    pub what: Trouble,
    /// So many endpoints, the first ones of the zone or of all.
    #[serde(default)]
    pub endpoints: Option<u32>,
    /// Those of this zone alone.
    #[serde(default, alias = "hall")]
    pub zone: Option<String>,
}

/// What a successor starts with; all of it, unless something else is said.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Carry {
    /// Windows.
    pub windows: bool,
    /// What is known of endpoints: limits, heat, drag, cold budget.
    pub endpoints: bool,
    /// Latency by class, and the share of late answers.
    pub latency: bool,
    /// Rates of customers and arrivals, retry tokens, silence.
    pub rates: bool,
    /// The two share while both serve.
    pub shares: bool,
}

impl Default for Carry {
    fn default() -> Self {
        Carry { windows: true, endpoints: true, latency: true, rates: true, shares: true }
    }
}

/// A replacement of processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplacementSpec {
    /// When the first successor is started.
    pub at: Span,
    /// So many sidecars; all where nothing is said.
    #[serde(default)]
    pub sidecars: Option<u32>,
    /// From one sidecar's to the next one's.
    #[serde(default)]
    pub apart: Span,
    /// From a successor's start to its yes.
    #[serde(default = "starts")]
    pub starts: Span,
    /// From its yes to the old process's order to end.
    #[serde(default = "overlap")]
    pub overlap: Span,
    /// The old process is killed instead, and nothing before that is handed over.
    #[serde(default)]
    pub killed: bool,
    /// Where keyed jobs may have run is known to the next process.
    #[serde(default = "yes")]
    pub keys: bool,
    /// What is carried.
    #[serde(default)]
    pub carry: Carry,
}

fn starts() -> Span {
    ms(100)
}

fn yes() -> bool {
    true
}

fn overlap() -> Span {
    ms(500)
}

impl Scenario {
    /// A scenario from its text.
    ///
    /// # Errors
    /// The text can't be parsed, or fields make no sense; all of them are named.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        let problems = scenario.problems();
        if problems.is_empty() { Ok(scenario) } else { Err(ScenarioError::Invalid(problems)) }
    }

    /// Seconds of work that a request takes in the mean, over all classes.
    pub(crate) fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work = self.classes.iter().map(|class| class.share * class.work.0.as_secs_f64());
        work.sum::<f64>() / shares.max(f64::MIN_POSITIVE)
    }

    /// The settings of one sidecar's module.
    pub(crate) fn settings(&self, me: u32) -> Settings {
        let class = |class: &ClassSpec| Class {
            objective: class.objective.0,
            deadline: class.deadline.0,
            semantics: match class.repeat {
                RepeatPolicy::Safe => Semantics::Safe,
                RepeatPolicy::Keyed => {
                    Semantics::Keyed { group: DeduplicationScope::Zone, window: class.window.0 }
                }
                RepeatPolicy::Never => Semantics::Unsafe,
            },
            late_value: class.late_value,
            worth: class.worth,
            ..Class::default()
        };
        let allowed: f64 = self.tenants.iter().map(|tenant| tenant.allowance).sum();
        let tenant = |tenant: &TenantSpec| Tenant {
            allowance_per_s: tenant.allowance,
            portion: tenant.allowance / allowed,
        };
        let machines = || self.endpoints.iter().map(|kind| &kind.machine);
        Settings {
            balancers: self.sidecars,
            me,
            zone: ZoneId(me % self.zones.len() as u32),
            zones: self.zones.len() as u32,
            classes: self.classes.iter().map(class).collect(),
            tenants: self.tenants.iter().map(tenant).collect(),
            over_share_worth: self.over_share_worth,
            limits: Limits {
                second_copies: self.second_copies,
                max_attempts: self.max_attempts,
                idle_close: self.network.idle_close.0,
                ..Limits::default()
            },
            rules: Rules {
                cold_share: machines().map(|m| m.cold_share).fold(1.0, f64::min),
                warm_within: machines().map(|m| m.warm_after.0).max().unwrap_or_default(),
                fall_multiple: self.slow_start.fall_multiple,
                fall_after: self.slow_start.fall_after.0,
                ..Rules::default()
            },
            ..Settings::default()
        }
    }
}
