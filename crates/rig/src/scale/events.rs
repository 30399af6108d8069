//! The events of a scale run: what is killed, cut off and brought back, and when.

use crate::history::unix_us;
use crate::process::call as call_lines;
use crate::scale::judge::Outage;
use crate::scale::layout::{CUT_REGION, Hollow, LOST_ZONE};
use crate::scale::protocol::{GatewayCommand, HollowCommand};
use crate::scale::run::Run;
use crate::scale::spec::{RACK, ScaleSpec};
use curlewhub_control_plane_node::admin_client::{ServerStatus, describe_servers};
use rand::seq::{IndexedRandom, SliceRandom};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A sidecar that is restarted is back after this.
const RESTART_TAKES: Duration = Duration::from_millis(500);
/// When each event begins and ends, as parts of a run's time: apart from each other, each with room to come back in.
const RACK_LOST: (f64, f64) = (0.08, 0.16);
const LEADER_KILLED: (f64, f64) = (0.25, 0.35);
const ZONE_LOST: (f64, f64) = (0.45, 0.60);
const REGION_CUT: (f64, f64) = (0.75, 0.90);

/// What happens at a time of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Restart,
    Restarted(usize),
    RackLost,
    RackBack,
    LeaderKilled,
    LeaderBack,
    ZoneLost,
    ZoneBack,
    RegionCut,
    RegionBack,
}

/// When what happens, in order.
fn schedule(spec: &ScaleSpec) -> Vec<(Duration, Step)> {
    let at = |part: f64| Duration::from_secs_f64(spec.seconds * part);
    let mut steps = Vec::new();
    let events = &spec.events;
    let pairs = [
        (events.rack, RACK_LOST, Step::RackLost, Step::RackBack),
        (events.leader, LEADER_KILLED, Step::LeaderKilled, Step::LeaderBack),
        (events.zone, ZONE_LOST, Step::ZoneLost, Step::ZoneBack),
        (events.region, REGION_CUT, Step::RegionCut, Step::RegionBack),
    ];
    for (_, (from, to), begins, ends) in pairs.into_iter().filter(|(happens, ..)| *happens) {
        steps.extend([(at(from), begins), (at(to), ends)]);
    }
    if events.restarts_per_minute > 0.0 {
        let every = 60.0 / events.restarts_per_minute;
        let count = (spec.seconds / every) as usize;
        steps.extend((1..=count).map(|n| (Duration::from_secs_f64(n as f64 * every), Step::Restart)));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

impl Run {
    /// Lets everything happen that is to.
    pub(super) async fn happen(self: &Rc<Self>, say: &mut impl FnMut(&str)) {
        let zero = Instant::now();
        let mut steps = schedule(&self.spec);
        while !steps.is_empty() {
            let (at, step) = steps.remove(0);
            sleep_until(zero + at).await;
            let next = self.take(step).await;
            if !matches!(step, Step::Restart | Step::Restarted(_)) {
                say(&format!("{:>6.1} s  {step:?}", zero.elapsed().as_secs_f64()));
            }
            if let Some(next) = next {
                let due = zero.elapsed() + RESTART_TAKES;
                let place = steps.partition_point(|(at, _)| *at <= due);
                steps.insert(place, (due, next));
            }
            self.read_events();
        }
        sleep_until(zero + Duration::from_secs_f64(self.spec.seconds)).await;
    }

    async fn take(self: &Rc<Self>, step: Step) -> Option<Step> {
        match step {
            Step::Restart => return self.crash_one().await.map(Step::Restarted),
            Step::Restarted(n) => self.bring_back("restart", &[n]).await,
            Step::RackLost => {
                let rack = self.rack();
                self.lose("rack", rack).await;
            }
            Step::RackBack => {
                let rack = self.struck("rack");
                self.bring_back("rack", &rack).await;
            }
            Step::LeaderKilled => self.kill_leader().await,
            Step::LeaderBack => self.leader_back(),
            Step::ZoneLost => self.lose_zone().await,
            Step::ZoneBack => self.zone_back().await,
            Step::RegionCut => self.cut_region(),
            Step::RegionBack => self.region_back(),
        }
        None
    }

    fn begin_outage(&self, name: &str, sidecars: Vec<usize>, cut: bool) {
        let from_us = unix_us() as u64;
        let outage = Outage { name: name.to_owned(), sidecars, cut, from_us, to_us: None, problem: None };
        self.outages.borrow_mut().push(outage);
    }

    fn end_outage(&self, name: &str, sidecars: Option<&[usize]>) {
        let mut outages = self.outages.borrow_mut();
        let open = outages.iter_mut().rev().find(|outage| {
            let same = sidecars.is_none_or(|sidecars| outage.sidecars == sidecars);
            outage.name == name && outage.to_us.is_none() && same
        });
        if let Some(outage) = open {
            outage.to_us = Some(unix_us() as u64);
        }
    }

    fn struck(&self, name: &str) -> Vec<usize> {
        let outages = self.outages.borrow();
        outages.iter().rev().find(|outage| outage.name == name).map_or(Vec::new(), |o| o.sidecars.clone())
    }

    /// The hollow process that hosts a sidecar, and its number there.
    fn hosted(&self, sidecar: usize) -> Option<(usize, usize)> {
        let found = |(n, hollow): (usize, &Hollow)| {
            hollow.sidecars.iter().position(|s| *s == sidecar).map(|place| (n, place))
        };
        self.layout.hollow.iter().enumerate().find_map(found)
    }

    async fn crash_one(&self) -> Option<usize> {
        let candidates: Vec<usize> = {
            let down = self.down.borrow();
            let up = |n: &usize| !self.layout.sidecars[*n].real && !down.contains(n);
            (0..self.layout.sidecars.len()).filter(up).collect()
        };
        let drawn = candidates.choose(&mut *self.draws.borrow_mut()).copied()?;
        self.lose("restart", vec![drawn]).await;
        Some(drawn)
    }

    /// A rack's worth of hollow sidecars of one process.
    fn rack(&self) -> Vec<usize> {
        let mut hosts: Vec<&Hollow> = self.layout.hollow.iter().collect();
        hosts.shuffle(&mut *self.draws.borrow_mut());
        let down = self.down.borrow();
        let up = |host: &Hollow| -> Vec<usize> {
            host.sidecars.iter().copied().filter(|n| !down.contains(n)).take(RACK).collect()
        };
        hosts.into_iter().map(up).max_by_key(Vec::len).unwrap_or_default()
    }

    /// Hollow sidecars end without a word, and discovery takes them off its lists.
    async fn lose(&self, name: &str, sidecars: Vec<usize>) {
        for (host, planes) in self.by_host(&sidecars) {
            self.tell_hollow(host, &HollowCommand::Crash { planes });
        }
        self.down.borrow_mut().extend(&sidecars);
        self.begin_outage(name, sidecars.clone(), false);
        self.list(&sidecars, "remove").await;
    }

    async fn bring_back(&self, name: &str, sidecars: &[usize]) {
        for (host, planes) in self.by_host(sidecars) {
            self.tell_hollow(host, &HollowCommand::Start { planes, within_ms: 0 });
        }
        self.end_outage(name, Some(sidecars));
        self.down.borrow_mut().retain(|n| !sidecars.contains(n));
        self.list(sidecars, "heal").await;
    }

    fn by_host(&self, sidecars: &[usize]) -> BTreeMap<usize, Vec<usize>> {
        let mut hosts: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (host, place) in sidecars.iter().filter_map(|n| self.hosted(*n)) {
            hosts.entry(host).or_default().push(place);
        }
        hosts
    }

    /// Discovery's lists name these endpoints no more, or again.
    async fn list(&self, sidecars: &[usize], order: &str) {
        let mut by_service: BTreeMap<usize, Vec<String>> = BTreeMap::new();
        for n in sidecars {
            let sidecar = &self.layout.sidecars[*n];
            let line = format!("{{\"do\":\"{order}\",\"endpoint\":\"{}\"}}", sidecar.name);
            by_service.entry(sidecar.service).or_default().push(line);
        }
        for (service, lines) in by_service {
            let answered = call_lines(self.layout.discovery_control(service), &lines).await;
            let refused = |answers: &Vec<String>| answers.iter().any(|answer| !answer.contains("true"));
            match answered {
                Ok(answers) if refused(&answers) => self.problems.borrow_mut().push(answers.join(" ")),
                Ok(_) => {}
                Err(problem) => self.problems.borrow_mut().push(problem),
            }
        }
    }

    async fn kill_leader(&self) {
        let all = describe_servers(&self.direct()).await;
        let leads = |(_, described): &&(String, Result<_, _>)| {
            matches!(described, Ok(ServerStatus { is_leader: true, .. }))
        };
        let name = all.iter().find(leads).map(|(name, _)| name.clone());
        self.begin_outage("leader", Vec::new(), false);
        let place = self.layout.servers.iter().position(|server| Some(&server.name) == name.as_ref());
        let killed = place.and_then(|n| self.processes.borrow_mut().servers[n].take());
        match killed {
            Some(mut server) => server.kill(),
            None => self.outage_failed("leader", "no server leads"),
        }
    }

    fn outage_failed(&self, name: &str, problem: &str) {
        let mut outages = self.outages.borrow_mut();
        if let Some(outage) = outages.iter_mut().rev().find(|outage| outage.name == name) {
            outage.problem = Some(problem.to_owned());
        }
    }

    fn leader_back(&self) {
        self.start_servers_again("leader");
        self.end_outage("leader", None);
    }

    fn start_servers_again(&self, event: &str) {
        for n in 0..self.layout.servers.len() {
            if self.processes.borrow().servers[n].is_none() {
                match self.start_server(n) {
                    Ok(server) => self.processes.borrow_mut().servers[n] = Some(server),
                    Err(problem) => self.outage_failed(event, &problem),
                }
            }
        }
    }

    /// All processes of a zone are killed: hollow ones, and a consensus server.
    async fn lose_zone(&self) {
        let lost: Vec<usize> = (0..self.layout.sidecars.len())
            .filter(|n| self.layout.sidecars[*n].zone == LOST_ZONE)
            .collect();
        {
            let mut processes = self.processes.borrow_mut();
            for (n, _) in self.layout.hollow.iter().enumerate().filter(|(_, h)| h.zone == LOST_ZONE) {
                processes.hollow[n].take().into_iter().for_each(|mut process| process.kill());
            }
            for (n, _) in self.layout.servers.iter().enumerate().filter(|(_, s)| s.zone == LOST_ZONE) {
                processes.servers[n].take().into_iter().for_each(|mut process| process.kill());
            }
        }
        self.down.borrow_mut().extend(&lost);
        self.begin_outage("zone", lost.clone(), false);
        let gone = vec![self.layout.zones[LOST_ZONE].name.to_owned()];
        self.lose_calls(|_| (gone.clone(), Vec::new()));
        self.list(&lost, "remove").await;
    }

    async fn zone_back(&self) {
        let lost = self.struck("zone");
        self.start_servers_again("zone");
        for n in (0..self.layout.hollow.len()).filter(|n| self.layout.hollow[*n].zone == LOST_ZONE) {
            match self.start_hollow(n) {
                Ok(process) => self.processes.borrow_mut().hollow[n] = Some(process),
                Err(problem) => self.outage_failed("zone", &problem),
            }
        }
        self.bring_back("zone", &lost).await;
        self.lose_calls(|_| (Vec::new(), Vec::new()));
    }

    /// Tells each hollow process which calls are lost: nobody there, and no answer, by its zone.
    fn lose_calls(&self, lost: impl Fn(usize) -> (Vec<String>, Vec<String>)) {
        for (n, hollow) in self.layout.hollow.iter().enumerate() {
            let (gone, silent) = lost(hollow.zone);
            self.tell_hollow(n, &HollowCommand::LoseCalls { gone, silent });
        }
    }

    fn cut_region(&self) {
        let inside = self.layout.zones_of(CUT_REGION);
        let name = |zone: &usize| self.layout.zones[*zone].name.to_owned();
        let cut: Vec<String> = inside.iter().map(name).collect();
        let all: Vec<String> = (0..self.layout.zones.len()).map(|zone| name(&zone)).collect();
        let others: Vec<String> = all.into_iter().filter(|zone| !cut.contains(zone)).collect();
        self.tell_gateways(&GatewayCommand::CutOff { zones: cut.clone() });
        let struck = (0..self.layout.sidecars.len())
            .filter(|n| inside.contains(&self.layout.sidecars[*n].zone))
            .collect();
        self.begin_outage("region", struck, true);
        self.lose_calls(|zone| {
            (Vec::new(), if inside.contains(&zone) { others.clone() } else { cut.clone() })
        });
    }

    fn region_back(&self) {
        self.tell_gateways(&GatewayCommand::CutOff { zones: Vec::new() });
        self.end_outage("region", None);
        self.lose_calls(|_| (Vec::new(), Vec::new()));
    }

    pub(super) fn tell_gateways(&self, command: &GatewayCommand) {
        for gateway in &mut self.processes.borrow_mut().gateways {
            if let Err(problem) = gateway.tell(command) {
                self.problems.borrow_mut().push(problem);
            }
        }
    }
}
