//! Random histories of server changes: no endpoint is used once it counts as notified that it is gone, and those that the
//! newest server has named on its open watch are used all the time. The test keeps its own record of what each server
//! has and of when that counts as notified.

mod support;

use curlewhub_config::list::{EndpointList, Target, TargetState};
use curlewhub_discovery_client::timing::{CONNECT_TIMEOUT, MAX_BACKOFF};
use curlewhub_discovery_client::{Action, CallId, CallKind, Client, EndReason, LeaseSettings, Mode};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::target_started;

const GRACE: Duration = Duration::from_millis(250);
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_WATCH_END: Duration = Duration::from_secs(2);
const NOTIFIED_AFTER_SERVER_CHANGE: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);
const RUN_END: Duration = Duration::from_secs(60);
const HISTORIES: u64 = 400;
const ENDPOINTS: u32 = 8;

type Uid = String;

/// How a server begins a watch that asks for changes after version 0.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstLine {
    Whole,
    /// Some of its entries, among them all that changed since it was named.
    SomeEntries,
    /// All that differs from the list of version 0.
    Differences,
}

/// What a server has.
#[derive(Clone, Debug)]
struct Server {
    version: u64,
    up: BTreeSet<Uid>,
    /// The endpoints that have joined or left since it was named.
    changed: BTreeSet<Uid>,
    named_at: Duration,
    /// No connection to it is established before this.
    reachable_from: Duration,
    first_line: FirstLine,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    server: usize,
    kind: CallKind,
    ends_at: Duration,
    failure: Option<EndReason>,
    is_open: bool,
}

struct History {
    mode: Mode,
    client: Client,
    rng: Pcg32,
    servers: Vec<Server>,
    calls: Vec<Call>,
    initial: BTreeSet<Uid>,
    /// The endpoints that the client uses while its lease lasts.
    used: BTreeSet<Uid>,
    /// When it counts as notified that an endpoint is gone, by what which server has.
    gone: BTreeMap<(Uid, usize), Duration>,
    /// What the newest server has named as up on its open watch.
    named: BTreeSet<Uid>,
    /// The newest server that has written something; what servers before it write after that is out of date.
    heard: usize,
    /// The time of the last server change.
    moved_at: Duration,
    /// Calls fail as in a crowd until then.
    crowded_until: Duration,
}

fn list(rev: u64, is_complete: bool, targets: Vec<Target>) -> EndpointList {
    EndpointList { rev, is_complete, targets }
}

fn up_targets(uids: &BTreeSet<Uid>) -> Vec<Target> {
    uids.iter().map(|uid| target_started(uid, TargetState::Up, 0.0)).collect()
}

impl History {
    fn new(seed: u64) -> Self {
        let mode = if seed.is_multiple_of(2) { Mode::Ask } else { Mode::Push };
        let settings = LeaseSettings { ask_within: Duration::from_secs(10), drain_grace: GRACE };
        let mut history = History {
            mode,
            client: Client::new(mode, settings, seed, Duration::ZERO),
            rng: Pcg32::seed_from_u64(seed),
            servers: Vec::new(),
            calls: Vec::new(),
            initial: BTreeSet::new(),
            used: BTreeSet::new(),
            gone: BTreeMap::new(),
            named: BTreeSet::new(),
            heard: 0,
            moved_at: Duration::ZERO,
            crowded_until: Duration::ZERO,
        };
        history.initial = history.random_endpoints();
        history.used = history.initial.clone();
        // Version 0 is the same everywhere in some histories, and versions say nothing across servers in the others.
        let shares_version_0 = history.one_chance_in(3);
        let version = if shares_version_0 { 0 } else { 1 };
        history.client.set_initial_list(&list(version, true, up_targets(&history.initial)));
        let first_line = if shares_version_0 { FirstLine::Differences } else { FirstLine::Whole };
        history.servers.push(Server {
            version: 1,
            up: history.initial.clone(),
            changed: BTreeSet::new(),
            named_at: Duration::ZERO,
            reachable_from: Duration::ZERO,
            first_line,
        });
        history.client.follow(Duration::ZERO);
        history
    }

    fn random(&mut self, below: u32) -> u32 {
        self.rng.next_u32() % below
    }

    fn one_chance_in(&mut self, count: u32) -> bool {
        self.random(count) == 0
    }

    fn random_endpoints(&mut self) -> BTreeSet<Uid> {
        let chosen: Vec<u32> = (0..ENDPOINTS).filter(|_| self.rng.next_u32() % 4 < 3).collect();
        chosen.into_iter().chain([0]).map(|number| format!("s-{number}")).collect()
    }

    fn newest(&self) -> usize {
        self.servers.len() - 1
    }

    fn notified_gone(&mut self, uid: Uid, by: usize, at: Duration) {
        let notified_at = self.gone.entry((uid, by)).or_insert(at);
        *notified_at = at.min(*notified_at);
    }

    /// A server has named an endpoint as up, which is newer than what servers before it had.
    fn notified_up(&mut self, uid: &str, server: usize) {
        self.gone.retain(|(gone, by), _| gone != uid || *by > server);
    }

    fn change_server(&mut self, now: Duration) {
        let first_line = match (self.servers[0].first_line, self.random(3)) {
            (FirstLine::Differences, _) => FirstLine::Differences,
            (_, 0) => FirstLine::Whole,
            _ => FirstLine::SomeEntries,
        };
        let up = self.random_endpoints();
        let version = 1 + u64::from(self.random(5));
        let unreachable = if self.one_chance_in(3) { self.random(15_000) } else { 0 };
        let reachable_from = now + Duration::from_millis(unreachable.into());
        // A server that was unreachable, and replaced before the next call to it had to show that it is back, has
        // notified nothing as far as the sidecar can know.
        let previous = self.newest();
        let replaced = &self.servers[previous];
        if replaced.reachable_from > replaced.named_at
            && replaced.reachable_from + MAX_BACKOFF + CONNECT_TIMEOUT > now
        {
            self.gone.retain(|(_, by), _| *by != previous);
        }
        let (named_at, changed) = (now, BTreeSet::new());
        self.servers.push(Server { version, up, changed, named_at, reachable_from, first_line });
        for number in 0..ENDPOINTS {
            let uid = format!("s-{number}");
            if !self.servers[self.newest()].up.contains(&uid) {
                let by_outage = if unreachable > 0 { reachable_from + NOTIFIED_WITHIN } else { now };
                self.notified_gone(uid, self.newest(), by_outage.max(now + NOTIFIED_AFTER_SERVER_CHANGE));
            }
        }
        self.named.clear();
        self.moved_at = now;
        self.client.server_changed(now);
        if self.one_chance_in(2) {
            self.crowded_until = now + Duration::from_millis(u64::from(self.random(20_000)));
        }
    }

    /// Changes one endpoint at the newest server: the change is written on the open watch, ends it, or finds none open.
    fn change_endpoint(&mut self, now: Duration) {
        let newest = self.newest();
        let uid = format!("s-{}", 1 + self.random(ENDPOINTS - 1));
        let server = &mut self.servers[newest];
        server.version += 1;
        server.changed.insert(uid.clone());
        let (version, leaves) = (server.version, server.up.remove(&uid));
        if !leaves {
            server.up.insert(uid.clone());
        }
        let watch = self.calls.iter().find(|call| call.is_open && call.server == newest).copied();
        let Some(watch) = watch else {
            if leaves {
                let reachable_from = self.servers[newest].reachable_from;
                let at = match self.mode {
                    Mode::Push if reachable_from <= self.moved_at => {
                        now.max(self.moved_at + NOTIFIED_AFTER_SERVER_CHANGE)
                    }
                    Mode::Push | Mode::Ask => now.max(reachable_from) + NOTIFIED_WITHIN,
                };
                self.notified_gone(uid, newest, at);
            }
            return;
        };
        if leaves && self.one_chance_in(3) {
            self.calls.retain(|call| call.id != watch.id);
            self.named.clear();
            let at = if self.mode == Mode::Push { now } else { now + NOTIFIED_AFTER_WATCH_END };
            self.notified_gone(uid, newest, at);
            return self.client.call_ended(now, watch.id, EndReason::Failed);
        }
        let states = [TargetState::Draining, TargetState::Removed];
        let state = if leaves { states[self.random(2) as usize] } else { TargetState::Up };
        self.write_changes(now, watch, version, vec![target_started(&uid, state, version as f64)]);
    }

    fn write_changes(&mut self, now: Duration, watch: Call, version: u64, targets: Vec<Target>) {
        self.record_written(now, watch, &targets);
        self.client.watch_line(now, watch.id, Some(list(version, false, targets)));
    }

    fn record_written(&mut self, now: Duration, call: Call, targets: &[Target]) {
        if call.server < self.heard {
            return;
        }
        self.heard = call.server;
        for target in targets {
            if target.state == TargetState::Up {
                self.notified_up(&target.uid, call.server);
            } else {
                self.notified_gone(target.uid.clone(), call.server, now);
            }
            if call.server == self.newest() && target.state == TargetState::Up {
                self.named.insert(target.uid.clone());
            } else {
                self.named.remove(&target.uid);
            }
        }
    }

    fn record_whole_list(&mut self, now: Duration, server: usize) {
        if server < self.heard {
            return;
        }
        self.heard = server;
        let up = self.servers[server].up.clone();
        up.iter().for_each(|uid| self.notified_up(uid, server));
        for number in 0..ENDPOINTS {
            let uid = format!("s-{number}");
            if !up.contains(&uid) {
                self.notified_gone(uid, server, now);
            }
        }
    }

    fn end_call(&mut self, now: Duration, call: Call) {
        self.calls.retain(|active| active.id != call.id);
        if let Some(failure) = call.failure {
            return self.client.call_ended(now, call.id, failure);
        }
        let server = self.servers[call.server].clone();
        let whole = list(server.version, true, up_targets(&server.up));
        let CallKind::Watch { after } = call.kind else {
            self.record_whole_list(now, call.server);
            return self.client.whole_list(now, call.id, whole);
        };
        self.calls.push(Call { is_open: true, ..call });
        match server.first_line {
            _ if after > 0 => self.write_whole(now, call, whole),
            FirstLine::Whole => self.write_whole(now, call, whole),
            FirstLine::SomeEntries => {
                let mut named = server.changed.clone();
                named.extend(server.up.iter().filter(|_| self.rng.next_u32().is_multiple_of(2)).cloned());
                let state = |uid| match server.up.contains(uid) {
                    true => TargetState::Up,
                    false => TargetState::Removed,
                };
                let changes = named.iter().map(|uid| target_started(uid, state(uid), 0.0)).collect();
                self.write_changes(now, call, server.version, changes);
            }
            FirstLine::Differences => {
                let joined = server.up.difference(&self.initial);
                let joined = joined.map(|uid| target_started(uid, TargetState::Up, 1.0));
                let left = self.initial.difference(&server.up);
                let left = left.map(|uid| target_started(uid, TargetState::Removed, 1.0));
                let differences = joined.chain(left).collect();
                self.record_whole_list(now, call.server);
                self.write_changes(now, call, server.version, differences);
            }
        }
    }

    fn write_whole(&mut self, now: Duration, call: Call, whole: EndpointList) {
        self.record_whole_list(now, call.server);
        self.record_written(now, call, &whole.targets);
        self.client.watch_line(now, call.id, Some(whole));
    }

    fn draw_call(&mut self, now: Duration, id: CallId, server: usize, kind: CallKind) -> Call {
        let held = 1000 + u64::from(self.random(2000));
        let (takes, failure) = match (now < self.crowded_until, self.random(5)) {
            (false, _) | (true, 0) => (5 + u64::from(self.random(1000)), None),
            (true, 1) => (held, Some(EndReason::Refused)),
            (true, 2) => (3, Some(EndReason::Refused)),
            (true, 3) => (3200, Some(EndReason::NoResponse)),
            (true, _) => (3, Some(EndReason::NoResponse)),
        };
        let is_open = false;
        let is_reachable = self.servers[server].reachable_from <= now;
        let (takes, failure) =
            if is_reachable { (takes, failure) } else { (3, Some(EndReason::NotConnected)) };
        Call { id, server, kind, ends_at: now + Duration::from_millis(takes), failure, is_open }
    }

    fn perform_actions(&mut self, now: Duration) {
        for action in self.client.take_actions() {
            match action {
                Action::Call { id, epoch, kind } => {
                    let call = self.draw_call(now, id, epoch.0 as usize, kind);
                    self.calls.push(call);
                }
                Action::Cancel(id) => self.calls.retain(|call| call.id != id),
                Action::Apply(list) => {
                    if list.is_complete {
                        self.used.clear();
                    }
                    for target in list.targets {
                        match target.state {
                            TargetState::Up => self.used.insert(target.uid),
                            TargetState::Draining | TargetState::Removed => self.used.remove(&target.uid),
                        };
                    }
                }
                Action::Restrict(uids) => self.used.retain(|uid| uids.contains(uid)),
                Action::Unchanged | Action::Report(_) => {}
            }
        }
    }

    fn step(&mut self, now: Duration) {
        if self.one_chance_in(400) {
            self.change_server(now);
        }
        if self.one_chance_in(200) {
            self.change_endpoint(now);
        }
        for call in self.calls.clone() {
            if !call.is_open && call.ends_at <= now && self.calls.iter().any(|active| active.id == call.id)
            {
                self.end_call(now, call);
                self.perform_actions(now);
            }
        }
        if self.client.next_timer().is_some_and(|at| at <= now) {
            self.client.timer(now);
        }
        self.perform_actions(now);
    }

    fn is_used(&self, now: Duration, uid: &str) -> bool {
        self.used.contains(uid) && self.client.lease().expires_at().is_none_or(|expires| now < expires)
    }
}

/// Guards against every order of server changes and failed calls in which an endpoint is used that is gone, or one that
/// the newest server has named is not.
#[test]
fn endpoints_are_used_exactly_as_long_as_what_servers_have_named_covers_them() {
    let (mut used, mut named) = (0_u64, 0_u64);
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        let mut now = Duration::ZERO;
        while now < RUN_END {
            history.step(now);
            for ((uid, by), notified_at) in &history.gone {
                assert!(
                    now <= *notified_at + GRACE || !history.is_used(now, uid),
                    "seed {seed}, {now:?}: {uid} is gone since {notified_at:?} by server {by}, {:?}",
                    history.client.lease()
                );
            }
            let has_watch =
                history.calls.iter().any(|call| call.is_open && call.server == history.newest());
            for uid in history.named.iter().filter(|_| has_watch) {
                assert!(
                    history.is_used(now, uid),
                    "seed {seed}, {now:?}: the server has named {uid}, {:?}",
                    history.client.lease()
                );
                named += 1;
            }
            used += history.used.iter().filter(|uid| history.is_used(now, uid)).count() as u64;
            now += STEP;
        }
    }
    assert!(used > 0 && named > used / 4, "{named} of {used}");
}
