//! Many runs: schedules drawn from a space, what came of each, and failing ones made small.

use crate::checks::Check;
use crate::fault::{FaultSpec, Kind, StateIs, Strikes};
use crate::plan::{Member, Role, members};
use crate::spec::{DrawFleetSpec, DrawSpec, RigSpec};
use comfy_table::{Table, presets};
use curlewhub_config::RepeatPolicy;
use curlewhub_config::units::{Size, Span};
use curlewhub_fault_schedule::{Call, Errno};
use curlewhub_standins::spec::DirectoryManner;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Calls that any process must make again where a signal has interrupted them.
const INTERRUPTIBLE: [Call; 4] = [Call::Recv, Call::Send, Call::Accept, Call::EpollWait];

/// How often runs are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// What is played.
pub struct Campaign {
    /// The file; with `[draw]` its schedule is drawn, and behind what it holds already.
    pub spec: RigSpec,
    /// The seeds.
    pub seeds: Range<u64>,
    /// Runs at once.
    pub jobs: usize,
    /// No run is begun after this.
    pub most: Duration,
    /// Where all of it stays.
    pub out: PathBuf,
    /// Runs to shrink one failing schedule, at the most.
    pub shrink: usize,
    /// The lab's own program.
    pub own: PathBuf,
    /// Each is played a second time with sidecars that share nothing.
    pub paired: bool,
}

/// A run of a campaign.
#[derive(Clone, Debug, Serialize)]
pub struct Done {
    /// Its seed.
    pub seed: u64,
    /// All held.
    pub passed: bool,
    /// What did not hold, or why there was no run.
    pub broken: Vec<String>,
    /// The kinds of faults in it.
    pub kinds: Vec<Kind>,
    /// The failing schedule, made small, where it was.
    pub shrunk: Option<PathBuf>,
    /// The verdict's figures.
    #[serde(skip)]
    pub verdict: Value,
    /// Those of the same run with sidecars that share nothing, where it was played.
    #[serde(skip)]
    pub alone: Option<Value>,
}

/// A run that goes on.
struct Going {
    child: Child,
    seed: u64,
    /// With sidecars that share nothing.
    alone: bool,
    spec: RigSpec,
    json: PathBuf,
}

impl Drop for Going {
    fn drop(&mut self) {
        // By a signal that it can heed: its own processes go with it.
        let pid = rustix::process::Pid::from_child(&self.child);
        if matches!(self.child.try_wait(), Ok(None)) {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
            let _ = self.child.wait();
        }
    }
}

/// Plays a campaign; goes on after a failure.
///
/// # Errors
/// The folder or a file in it can't be written, or the program can't be started.
pub async fn campaign(campaign: &Campaign, mut say: impl FnMut(&str)) -> Result<Vec<Done>, String> {
    std::fs::create_dir_all(&campaign.out).map_err(|e| format!("{}: {e}", campaign.out.display()))?;
    let began = Instant::now();
    let ways: &[bool] = if campaign.paired { &[false, true] } else { &[false] };
    let mut waiting: VecDeque<(u64, bool)> =
        campaign.seeds.clone().flat_map(|seed| ways.iter().map(move |alone| (seed, *alone))).collect();
    let (mut going, mut done): (Vec<Going>, Vec<Done>) = Default::default();
    let mut alone: BTreeMap<u64, Done> = BTreeMap::new();
    while !waiting.is_empty() || !going.is_empty() {
        if began.elapsed() > campaign.most && !waiting.is_empty() {
            say(&format!("stopped after {:?}: {} runs were not made", campaign.most, waiting.len()));
            waiting.clear();
        }
        while going.len() < campaign.jobs {
            let Some((seed, alone)) = waiting.pop_front() else { break };
            let spec = drawn(&campaign.spec, seed);
            let (spec, name) = if alone {
                (spec.without_fleet(), format!("seed-{seed}-alone"))
            } else {
                (spec, format!("seed-{seed}"))
            };
            going.push(campaign.begin(seed, spec, &name, alone)?);
        }
        let mut still = Vec::new();
        for mut one in going {
            match one.child.try_wait() {
                Ok(Some(_)) => {
                    let ended = one.ended();
                    let held = if ended.passed { "held" } else { "NOT HELD" };
                    let alone_of = if one.alone { "alone" } else { "" };
                    say(&format!(
                        "seed {:>5}  {held}  {alone_of:5}  {:?}  {}",
                        ended.seed,
                        ended.kinds,
                        ended.broken.join("; ")
                    ));
                    if one.alone {
                        alone.insert(ended.seed, ended);
                    } else {
                        done.push(ended);
                    }
                }
                _ => still.push(one),
            }
        }
        going = still;
        sleep(LOOK).await;
    }
    for one in &mut done {
        one.alone = alone.get(&one.seed).filter(|alone| alone.passed).map(|alone| alone.verdict.clone());
    }
    for one in done.iter_mut().filter(|one| !one.passed) {
        if campaign.shrink > 0 && began.elapsed() < campaign.most {
            one.shrunk = campaign.shrunk(one.seed, &one.broken, &mut say).await?;
        }
    }
    done.sort_by_key(|one| one.seed);
    let text = serde_json::to_string_pretty(&done).map_err(|e| e.to_string())?;
    std::fs::write(campaign.out.join("campaign.json"), text).map_err(|e| format!("campaign.json: {e}"))?;
    Ok(done)
}

impl Campaign {
    fn begin(&self, seed: u64, spec: RigSpec, name: &str, alone: bool) -> Result<Going, String> {
        let (file, json) = (self.out.join(format!("{name}.toml")), self.out.join(format!("{name}.json")));
        let text = text(&spec)?;
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        let _ = std::fs::remove_file(&json); // of an earlier campaign
        let mut command = Command::new(&self.own);
        command.args(["rig", "run"]).arg(&file).arg("--json").arg(&json);
        command.arg("--html").arg(self.out.join(format!("{name}.html")));
        let log = std::fs::File::create(self.out.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.own.display()))?;
        Ok(Going { child, seed, alone, spec, json })
    }

    /// A failing schedule with as little in it as still fails in the same way.
    async fn shrunk(
        &self,
        seed: u64,
        broken: &[String],
        say: &mut impl FnMut(&str),
    ) -> Result<Option<PathBuf>, String> {
        let mut spec = drawn(&self.spec, seed);
        // By the checks' names: the worst of them differs from run to run.
        let names: BTreeSet<&str> = broken.iter().filter_map(|one| one.split(": ").next()).collect();
        let mut runs = 0;
        let mut again = true;
        while again && runs < self.shrink {
            again = false;
            for smaller in smaller(&spec) {
                if runs >= self.shrink {
                    break;
                }
                runs += 1;
                let mut going =
                    self.begin(seed, smaller.clone(), &format!("seed-{seed}-smaller"), false)?;
                while matches!(going.child.try_wait(), Ok(None)) {
                    sleep(LOOK).await;
                }
                let ended = going.ended();
                if ended
                    .broken
                    .iter()
                    .any(|one| one.split(": ").next().is_some_and(|name| names.contains(name)))
                {
                    (spec, again) = (smaller, true);
                    break;
                }
            }
        }
        say(&format!("seed {seed}: {} faults are left after {runs} runs", spec.faults.len()));
        let path = self.out.join(format!("found-{seed}.toml"));
        std::fs::write(&path, text(&spec)?).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Some(path))
    }
}

fn text(spec: &RigSpec) -> Result<String, String> {
    let table = toml::Table::try_from(spec).map_err(|e| e.to_string())?;
    toml::to_string(&table).map_err(|e| e.to_string())
}

impl Going {
    fn ended(&mut self) -> Done {
        let verdict: Option<Value> =
            std::fs::read(&self.json).ok().and_then(|text| serde_json::from_slice(&text).ok());
        let mut kinds: Vec<Kind> = self.spec.faults.iter().map(|fault| fault.what).collect();
        kinds.sort();
        let (passed, broken) = match &verdict {
            None => {
                let log = std::fs::read_to_string(self.json.with_extension("log")).unwrap_or_default();
                (false, vec![format!("no verdict: {}", log.trim())])
            }
            Some(verdict) => {
                let checks = verdict["checks"].as_array().into_iter().flatten();
                let checks = checks.filter_map(|check| Check::deserialize(check).ok());
                let broken = checks
                    .filter(|check| !check.held)
                    .map(|check| format!("{}: {}", check.name, check.worst));
                (verdict["passed"] == Value::Bool(true), broken.collect())
            }
        };
        let verdict = verdict.unwrap_or_default();
        Done { seed: self.seed, passed, broken, kinds, shrunk: None, verdict, alone: None }
    }
}

/// Schedules with a little less in them: without each fault, and then with each half as long.
pub fn smaller(spec: &RigSpec) -> Vec<RigSpec> {
    let mut all = Vec::new();
    // A check of the file's own names faults by number.
    let named = spec.checks.iter().any(|check| check.fault.is_some());
    for n in (0..spec.faults.len()).filter(|_| spec.faults.len() > 1 && !named) {
        let mut one = spec.clone();
        one.faults.remove(n);
        all.push(one);
    }
    for n in 0..spec.faults.len() {
        let Some(lasts) = spec.faults[n].lasts.filter(|lasts| lasts.0 > Duration::from_secs(1)) else {
            continue;
        };
        let mut one = spec.clone();
        one.faults[n].lasts = Some(Span(Duration::from_millis(lasts.0.as_millis() as u64 / 2)));
        all.push(one);
    }
    all
}

/// A spec with this seed and, where it has a space, faults drawn from that behind its own.
pub fn drawn(spec: &RigSpec, seed: u64) -> RigSpec {
    let mut spec = RigSpec { seed, ..spec.clone() };
    if let Some(draw) = spec.draw.take() {
        let mut draws = Pcg32::seed_from_u64(seed);
        if let Some(fleet) = &draw.fleet {
            draw_fleet(&mut spec, fleet, &mut draws);
        }
        let members = members(&spec);
        for _ in 0..draws.random_range(draw.faults.0..=draw.faults.1) {
            let fault = one(&spec, &draw, &members, &mut draws);
            spec.faults.push(fault);
        }
    }
    spec
}

fn between((least, most): (Span, Span), draws: &mut Pcg32) -> Span {
    let (least, most) = (least.0.as_millis() as u64, most.0.as_millis() as u64);
    Span(Duration::from_millis(draws.random_range(least..=most)))
}

/// What the fleet is made of: how many, how slow and how unkind discovery is, and what requests are owed.
fn draw_fleet(spec: &mut RigSpec, fleet: &DrawFleetSpec, draws: &mut Pcg32) {
    let halls = spec.halls().len().max(1);
    let count = draws.random_range(fleet.sidecars.0..=fleet.sidecars.1.max(fleet.sidecars.0));
    spec.sidecars.iter_mut().take(1).for_each(|group| group.count = count);
    let sidecars: usize = spec.sidecars.iter().map(|group| group.count * halls).sum();
    let longest = fleet.all_within.0.div_f64(sidecars.max(1) as f64);
    let turn = between(fleet.turn, draws).0.min(longest).max(fleet.turn.0.0);
    spec.discovery.calls_per_s = 1.0 / turn.as_secs_f64().max(1e-6);
    let mut share = |shares: &[f64]| shares.choose(draws).copied().unwrap_or_default();
    spec.discovery.manner = DirectoryManner {
        notify_in_turn: share(&[0.0, 1.0]) > 0.5,
        ends_watches: share(&[0.0, 0.5, 1.0]),
        whole_first: share(&[0.0, 0.5, 1.0]),
        omits_draining: share(&[0.0, 1.0]) > 0.5,
        indented: share(&[0.0, 1.0]) > 0.5,
        pieces: share(&[0.0, 0.3]),
    };
    for class in &mut spec.classes {
        class.deadline = between(fleet.deadlines, draws);
        class.objective = Span(class.deadline.0 / 2);
        class.repeat = [RepeatPolicy::Safe, RepeatPolicy::Keyed, RepeatPolicy::Never]
            .choose(draws)
            .copied()
            .unwrap_or_default();
        class.window = between(fleet.windows, draws);
    }
}

/// One fault of the space: its kind, then what it strikes, then how badly.
fn one(spec: &RigSpec, draw: &DrawSpec, members: &[Member], draws: &mut Pcg32) -> FaultSpec {
    let what = draw.kinds.choose(draws).copied().unwrap_or(Kind::Pause);
    let (at, lasts) = (between(draw.begin, draws), between(draw.lasts, draws));
    let mut fault = FaultSpec::new(what, at, Some(lasts));
    let halls: Vec<String> = spec.halls().into_iter().map(|(hall, _)| hall).collect();
    let hall = |draws: &mut Pcg32| halls.choose(draws).cloned().unwrap_or_default();
    let some = |role: Role, draws: &mut Pcg32| {
        let all: Vec<&Member> = members.iter().filter(|member| member.role == role).collect();
        all.choose(draws).map(|member| member.name.clone()).unwrap_or_default()
    };
    let mut forgets = true;
    match what.strikes() {
        Strikes::Links => {
            fault.from = vec![hall(draws)];
            // Another hall, or discovery: what passes within a hall passes no network of halls.
            let mut others = halls.clone();
            others.retain(|other| *other != fault.from[0]);
            others.push("discovery".to_owned());
            fault.to = others.choose(draws).cloned().into_iter().collect();
        }
        Strikes::Borders => fault.on = vec![hall(draws)],
        Strikes::Endpoints => {
            fault.on = if draws.random() { vec![hall(draws)] } else { vec![some(Role::Endpoint, draws)] };
        }
        Strikes::Discovery => {}
        Strikes::Sidecars => fault.on = vec![some(Role::Sidecar, draws)],
        Strikes::Processes => {
            // Whoever serves something: sidecars, and other programs that say when they are ready.
            let groups = spec.sidecars.iter().map(|group| (&group.name, Role::Sidecar));
            let others = spec.processes.iter().filter(|group| group.ready.is_some());
            // Another program may rightly end where its disk fails it: only what a sidecar must bear is drawn for all.
            let bears = !matches!(what, Kind::StateFull | Kind::StateUnwritable | Kind::Disk);
            let others = others.filter(|_| bears).map(|group| (&group.name, Role::Other));
            let groups: Vec<_> = groups.chain(others).collect();
            let Some((group, role)) = groups.choose(draws) else { return fault };
            forgets = *role == Role::Sidecar;
            if draws.random() {
                (fault.on, fault.part) = (vec![(*group).clone()], Some(draws.random_range(0.1..0.5)));
            } else {
                let of: Vec<&Member> =
                    members.iter().filter(|member| member.side.group == **group).collect();
                fault.on = of.choose(draws).map(|member| member.name.clone()).into_iter().collect();
            }
        }
    }
    let part = |draws: &mut Pcg32| Some((draws.random_range(0.05_f64..0.5) * 100.0).round() / 100.0);
    let coin = |draws: &mut Pcg32| draws.random::<bool>().then_some(true);
    match what {
        Kind::Cut | Kind::CutOff => (fault.one_way, fault.reset) = (coin(draws), coin(draws)),
        Kind::Stall => fault.one_way = coin(draws),
        Kind::CutAfter => fault.bytes = Some(draws.random_range(1..5000)),
        Kind::Degrade => {
            fault.delay = Some(Span(Duration::from_millis(draws.random_range(1..60))));
            fault.jitter = Some(Span(Duration::from_millis(draws.random_range(1..20))));
            fault.loss = part(draws);
            fault.rate = coin(draws).map(|_| Size(64 * 1024));
        }
        Kind::Slow => fault.factor = Some(f64::from(draws.random_range(2_u8..12))),
        Kind::Reset | Kind::Spoil | Kind::DiscoveryShort => fault.share = part(draws),
        Kind::SystemCall => {
            let drawn = INTERRUPTIBLE.choose(draws).map_or(Call::Recv, |call| *call);
            (fault.calls, fault.errno) = (vec![drawn], Some(Errno::Eintr));
            let nth = draws.random_range(2..30);
            // Clients keep their connections: few calls of `accept` are made in a fault's time.
            fault.nth = Some(if drawn == Call::Accept { 2 } else { nth });
        }
        Kind::ShortIo => fault.bytes = Some(draws.random_range(1..200)),
        Kind::Disk => fault.errno = [Errno::Enospc, Errno::Eio].choose(draws).copied(),
        Kind::ClockStep => {
            let by = Some(Span(Duration::from_secs(draws.random_range(1..4000))));
            (fault.ahead, fault.behind) = if draws.random() { (by, None) } else { (None, by) };
        }
        Kind::Flap => fault.every = Some(Span(Duration::from_millis(draws.random_range(500..3000)))),
        Kind::Restart | Kind::Kill if forgets => {
            fault.state =
                [StateIs::Keep, StateIs::Lost, StateIs::Torn, StateIs::Old].choose(draws).copied();
        }
        _ => {}
    }
    if what == Kind::Reload {
        fault.rounds = Some(draws.random_range(1..=5));
        fault.apart = Some(Span(Duration::from_millis(draws.random_range(0..=600))));
    }
    if matches!(what, Kind::Restart | Kind::Roll | Kind::Reload) {
        fault.lasts = None;
    }
    fault
}

/// A campaign as a table: each run with how its losses were left, and how many pairs of kinds were met.
pub fn table(done: &[Done]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "seed",
        "held",
        "in time",
        "refused",
        "failed",
        "never left",
        "last left s",
        "spread s",
        "last back s",
        "flips",
    ]);
    for one in done {
        let figures = &one.verdict["figures"];
        let percent = |name: &str| {
            figures["all"][name].as_f64().map_or("-".to_owned(), |part| format!("{:.1}%", part * 100.0))
        };
        let losses = figures["losses"].as_array().cloned().unwrap_or_default();
        let each = |name: &str| {
            let of = |loss: &Value| match &loss[name] {
                Value::Number(n) if n.is_u64() => n.to_string(),
                value => value.as_f64().map_or("-".to_owned(), |s| format!("{s:.2}")),
            };
            losses.iter().map(of).collect::<Vec<_>>().join(" ")
        };
        let never = losses.iter().map(|loss| format!("{}/{}", loss["never_left"], loss["sidecars"]));
        let never = never.collect::<Vec<_>>().join(" ");
        let held = if one.passed { "yes" } else { "NO" };
        let [in_time, refused, failed] = ["in_time", "refused", "failed"].map(percent);
        let [left, spread, back, flips] =
            ["last_left_s", "spread_s", "last_back_s", "flips_most"].map(each);
        table.add_row([
            one.seed.to_string(),
            held.to_owned(),
            in_time,
            refused,
            failed,
            never,
            left,
            spread,
            back,
            flips,
        ]);
    }
    let (met, all) = pairs(done);
    let mut text = format!(
        "{table}\n{} of {} runs held; {met} of {all} pairs of the kinds met were met in one run\n",
        done.iter().filter(|one| one.passed).count(),
        done.len()
    );
    for (name, title) in [("in_time", "in time"), ("served", "served"), ("refused", "refused")] {
        if let Some((mean, half, n)) = difference(done, name) {
            // To a String: it never fails.
            let _ = writeln!(
                text,
                "{title}, with the fleet less without, of {n} pairs: {:+.2} points, 95% interval {:+.2} to {:+.2}",
                mean * 100.0,
                (mean - half) * 100.0,
                (mean + half) * 100.0
            );
        }
    }
    text
}

/// The mean difference of a figure within the pairs, half of its 95% interval, and how many pairs there are.
pub fn difference(done: &[Done], name: &str) -> Option<(f64, f64, usize)> {
    let of = |verdict: &Value| verdict["figures"]["all"][name].as_f64();
    let pairs: Vec<f64> =
        done.iter().filter_map(|one| Some(of(&one.verdict)? - of(one.alone.as_ref()?)?)).collect();
    if pairs.len() < 2 {
        return None;
    }
    let n = pairs.len() as f64;
    let t = StudentsT::new(0.0, 1.0, n - 1.0).ok()?.inverse_cdf(0.975);
    Some((pairs.iter().mean(), t * pairs.iter().std_dev() / n.sqrt(), pairs.len()))
}

/// Pairs of kinds that were met in one run, of all pairs of the kinds that were met at all.
pub fn pairs(done: &[Done]) -> (usize, usize) {
    let mut pairs: BTreeMap<(Kind, Kind), usize> = BTreeMap::new();
    let mut kinds = BTreeSet::new();
    for one in done {
        for (n, first) in one.kinds.iter().enumerate() {
            kinds.insert(*first);
            for second in &one.kinds[n + 1..] {
                *pairs.entry((*first, *second)).or_default() += 1;
            }
        }
    }
    (pairs.len(), kinds.len() * (kinds.len() + 1) / 2)
}
