//! The run: takes what is to come in its order, and lets it happen.

use crate::clients::{Allowance, Arrivals, Call, draw, stream};
use crate::decider::Decider;
use crate::process::{Flight, Open, Process};
use crate::queue::Queue;
use crate::retry::End;
use crate::scenario::{Carry, FaultSpec, Scenario, Trouble};
use crate::tally::{Outcome as Brought, Tally};
use curlewhub_balance::{
    Action, AttemptEnded, AttemptNo, CellId, ClassId, Earlier, EndpointId, EndpointInfo, Event, Membership,
    Outcome, Request, RequestId, Snapshot, TenantId, TimerToken, ZoneId,
};
use curlewhub_config::Repeat;
use curlewhub_keys::{Entry, Memory};
use curlewhub_share::LOOK_EVERY;
use curlewhub_standins::machine::{Happened, Machine, Offered};
use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The modules' clock at the start: theirs is Unix time, and things lie before the start.
const EPOCH: Duration = Duration::from_secs(1_000_000);
/// Kept back from a client's time, as the sidecar does.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// The list says so long after that an endpoint has started again.
const LIST_LAG: Duration = Duration::from_millis(100);
/// A process that was told to end is killed after this: the longest deadline and a little.
const END_WITHIN: Duration = Duration::from_millis(3700);

enum Ev {
    Arrives(u64),
    Asks(u64),
    GivesUp { call: u64, tries: u32 },
    Timer { process: usize, token: u64 },
    Comes(u64),
    Look { endpoint: usize, look: u64 },
    Answers(u64, Outcome),
    TimesOut(u64),
    Cancelled(u64),
    FaultBegins(usize),
    FaultEnds(usize),
    Listed(usize),
    Successor { replacement: usize, sidecar: usize },
    Ready { replacement: usize, new: usize, old: usize },
    Ends(usize),
    Killed(usize),
    Shares { old: usize, new: usize },
    SecondEnds(usize),
}

struct Endpoint {
    machine: Machine,
    hall: u32,
    up: bool,
    hangs: bool,
    started: Option<Duration>,
    /// Attempts that are there.
    here: BTreeSet<u64>,
    /// The number of the look that is planned; others are void.
    look: u64,
}

impl Endpoint {
    /// Its true queue, for an oracle; none where it is down or hangs.
    fn queue(&self) -> Option<usize> {
        (self.up && !self.hangs).then(|| self.machine.held())
    }
}

pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    now: Duration,
    queue: Queue<Ev>,
    arrivals: Arrivals,
    /// By tenant.
    allowances: Vec<Allowance>,
    network: Pcg32,
    endpoints: Vec<Endpoint>,
    processes: Vec<Process>,
    /// By sidecar, its living processes, the oldest first.
    sidecars: Vec<Vec<usize>>,
    /// By sidecar, where keyed jobs may have run.
    keys: Vec<Memory>,
    calls: HashMap<u64, Call>,
    flights: HashMap<u64, Flight>,
    next_flight: u64,
    tally: Tally,
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut world = World {
            scenario,
            seed,
            now: EPOCH,
            queue: Queue::new(),
            arrivals: Arrivals::new(scenario, seed),
            allowances: scenario.tenants.iter().map(|tenant| Allowance::new(tenant.allowance)).collect(),
            network: stream(seed, "network", 0),
            endpoints: Vec::new(),
            processes: Vec::new(),
            sidecars: Vec::new(),
            keys: (0..scenario.sidecars).map(|_| Memory::default()).collect(),
            calls: HashMap::new(),
            flights: HashMap::new(),
            next_flight: 0,
            tally: Tally::new(scenario),
        };
        world.furnish();
        world
    }

    /// Endpoints, sidecars, and what is planned from the start.
    fn furnish(&mut self) {
        let scenario = self.scenario;
        for kind in &scenario.endpoints {
            for _ in 0..kind.count {
                let turn = self.endpoints.len() % scenario.halls.len();
                let named =
                    kind.hall.as_ref().and_then(|hall| scenario.halls.iter().position(|h| h == hall));
                self.endpoints.push(Endpoint {
                    machine: Machine::new(kind.machine.clone(), EPOCH),
                    hall: named.unwrap_or(turn) as u32,
                    up: true,
                    hangs: false,
                    started: None,
                    here: BTreeSet::new(),
                    look: 0,
                });
            }
        }
        for sidecar in 0..scenario.sidecars as usize {
            let process = self.start_process(sidecar, 0);
            self.processes[process].accepts = true;
            self.sidecars.push(vec![process]);
        }
        for (n, fault) in scenario.faults.iter().enumerate() {
            self.queue.plan(EPOCH + fault.at.0, Ev::FaultBegins(n));
            self.queue.plan(EPOCH + fault.at.0 + fault.lasts.0, Ev::FaultEnds(n));
        }
        for (replacement, spec) in scenario.replacements.iter().enumerate() {
            let count = spec.sidecars.unwrap_or(scenario.sidecars).min(scenario.sidecars);
            for sidecar in 0..count as usize {
                let at = EPOCH + spec.at.0 + spec.apart.0 * sidecar as u32;
                self.queue.plan(at, Ev::Successor { replacement, sidecar });
            }
        }
        for second in 0..scenario.lasts.0.as_secs() as usize {
            self.queue.plan(EPOCH + Duration::from_secs(second as u64 + 1), Ev::SecondEnds(second));
        }
        self.plan_arrival(0);
    }

    /// A process with the list as it is, and nothing learnt. `generation` counts a sidecar's processes.
    fn start_process(&mut self, sidecar: usize, generation: u64) -> usize {
        let number = self.processes.len();
        let settings = self.scenario.settings(sidecar as u32);
        let hall = settings.zone.0;
        let name = (sidecar as u64) << 16 | generation;
        let decider = Decider::new(self.scenario.decisions, settings, self.seed, name, self.now);
        self.processes.push(Process::new(decider, sidecar, hall));
        let list = (0..self.endpoints.len()).map(|endpoint| self.entry(endpoint)).collect();
        self.module(number, Event::Membership(Membership::Full(list)));
        number
    }

    fn entry(&self, endpoint: usize) -> EndpointInfo {
        let Endpoint { hall, started, .. } = &self.endpoints[endpoint];
        EndpointInfo { zone: ZoneId(*hall), started: *started, ..EndpointInfo::ready(endpoint as u64) }
    }

    pub(crate) fn run(mut self) -> Brought {
        let end = EPOCH + self.scenario.lasts.0 + self.scenario.rest.0;
        while let Some((at, event)) = self.queue.next() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        // An overload that never drains ends all the same.
        let mut open: Vec<u64> =
            self.calls.iter().filter(|(_, c)| c.tries > 0).map(|(id, _)| *id).collect();
        open.sort_unstable();
        for call in open {
            self.close(call, End::Unanswered);
        }
        self.tally.outcome(self.queue.planned())
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Arrives(number) => self.arrives(number),
            Ev::Asks(call) => self.ask(call),
            Ev::GivesUp { call, tries } => self.gives_up(call, tries),
            Ev::Timer { process, token } => {
                if self.processes[process].alive {
                    self.module(process, Event::Timer(TimerToken(token)));
                }
            }
            Ev::Comes(flight) => self.comes(flight),
            Ev::Look { endpoint, look } => {
                if self.endpoints[endpoint].look == look {
                    self.look(endpoint);
                }
            }
            Ev::Answers(flight, outcome) => self.attempt_ended(flight, outcome),
            Ev::TimesOut(flight) => self.attempt_ended(flight, Outcome::TimedOut),
            Ev::Cancelled(flight) => self.cancelled(flight),
            Ev::FaultBegins(n) => self.fault(n, true),
            Ev::FaultEnds(n) => self.fault(n, false),
            Ev::Listed(endpoint) => {
                let entry = self.entry(endpoint);
                for process in 0..self.processes.len() {
                    if self.processes[process].alive {
                        self.module(process, Event::Membership(Membership::Delta(vec![entry.clone()])));
                    }
                }
            }
            Ev::Successor { replacement, sidecar } => self.successor(replacement, sidecar),
            Ev::Ready { replacement, new, old } => self.ready(replacement, new, old),
            Ev::Ends(process) => self.ends(process),
            Ev::Killed(process) => self.kill(process),
            Ev::Shares { old, new } => self.share(old, new),
            Ev::SecondEnds(second) => self.gauge(second),
        }
    }

    // ---- clients ----

    fn plan_arrival(&mut self, number: u64) {
        if let Some(at) = self.arrivals.next() {
            self.queue.plan(EPOCH + at, Ev::Arrives(number));
        }
    }

    fn arrives(&mut self, number: u64) {
        let born = self.now - EPOCH;
        let mut call = draw(self.scenario, self.seed, number, born);
        call.over = self.allowances.get_mut(call.tenant).is_some_and(|allowance| allowance.over(born));
        self.calls.insert(number, call);
        self.tally.at(born).offered += 1;
        self.ask(number);
        self.plan_arrival(number + 1);
    }

    fn ask(&mut self, id: u64) {
        let since = self.now - EPOCH;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.tries += 1;
        let (tries, class, tenant, born) = (call.tries, call.class, call.tenant, call.born);
        self.tally.at(born).tries += 1;
        let deadline = self.scenario.classes[class].deadline.0;
        let time = self.scenario.clients.time(deadline, (born + deadline).saturating_sub(since));
        // Several that accept do so from one queue.
        let accepting: Vec<usize> = self.sidecars[call.home]
            .iter()
            .copied()
            .filter(|process| self.processes[*process].accepts)
            .collect();
        if accepting.is_empty() {
            return self.client_hears(id, End::Unanswered, None);
        }
        let process = accepting[call.draws.random_range(0..accepting.len())];
        let within = time - ANSWER_MARGIN.min(time / 10);
        let host = &mut self.processes[process];
        let request = host.next_request;
        host.next_request += 1;
        call.waits_at = Some((process, request));
        let (until, tries_out) = (self.now + within, Vec::new());
        host.open
            .insert(request, Open { call: id, answered: false, noted: false, until, tries: tries_out });
        host.need.came();
        self.queue.plan(self.now + time, Ev::GivesUp { call: id, tries });
        let now = self.now;
        let known = self.memory(process).find(now, id).copied();
        let earlier = known.map(|entry| Earlier {
            zone: ZoneId(entry.zone),
            cell: CellId(entry.cell),
            sent: entry.sent,
        });
        let request = Request {
            id: RequestId(request),
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left: within,
            work_hint: None,
            key: None,
            client_retry: false,
            body_coming: false,
            write: false,
            earlier,
        };
        self.module(process, Event::Request(request));
    }

    /// Its client has waited for all of its time.
    fn gives_up(&mut self, id: u64, tries: u32) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some((process, request)) = call.waits_at.filter(|_| call.tries == tries) else { return };
        if let Some(open) = self.processes[process].open.get_mut(&request) {
            open.answered = true;
        }
        self.module(process, Event::RequestGone(RequestId(request)));
        self.processes[process].tidy(request);
        self.client_hears(id, End::Unanswered, None);
    }

    /// A try has ended for its client.
    fn client_hears(&mut self, id: u64, end: End, retry_after: Option<Duration>) {
        let since = self.now - EPOCH;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.waits_at = None;
        let class = &self.scenario.classes[call.class];
        match call.again(end, since, retry_after, class, &self.scenario.clients) {
            Some(wait) => self.queue.plan(self.now + wait, Ev::Asks(id)),
            None => self.close(id, end),
        }
    }

    fn close(&mut self, id: u64, end: End) {
        let Some(call) = self.calls.remove(&id) else { return };
        let (took, class) = (self.now - EPOCH - call.born, &self.scenario.classes[call.class]);
        self.tally.ended(&call, took, end, class);
    }

    // ---- sidecars ----

    /// Gives a module an event and carries out what it wants done, and what comes of that.
    fn module(&mut self, process: usize, event: Event) {
        let mut due = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = due.pop_front() {
            let endpoints = &self.endpoints;
            let truth = |id: EndpointId| endpoints[id.0 as usize].queue();
            self.processes[process].decider.handle(self.now, event, &truth, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(process, action, &mut due);
            }
        }
    }

    fn settle(&mut self, process: usize, actions: Vec<Action>) {
        let mut due = VecDeque::new();
        for action in actions {
            self.carry_out(process, action, &mut due);
        }
        while let Some(event) = due.pop_front() {
            self.module(process, event);
        }
    }

    fn carry_out(&mut self, process: usize, action: Action, due: &mut VecDeque<Event>) {
        match action {
            Action::Send { request, endpoint, timeout } => {
                self.send(process, request, endpoint, timeout, due)
            }
            Action::Refuse { request, retry_after } => {
                self.answer(process, request, End::Refused, retry_after)
            }
            Action::Fail { request } => self.answer(process, request, End::Failed, None),
            Action::Cancel { request, attempt } => {
                let open = self.processes[process].open.get(&request.0);
                let flight = open.and_then(|open| open.tries.get(attempt.0 as usize).copied().flatten());
                if let Some(id) = flight {
                    // As in the sidecar, an attempt tells its end itself, a moment later.
                    self.queue.plan(self.now, Ev::Answers(id, Outcome::Cancelled));
                }
            }
            Action::SetTimer { token, after } => {
                self.queue.plan(self.now + after, Ev::Timer { process, token: token.0 });
            }
            Action::CloseIdle { endpoint } => self.processes[process].close_idle(endpoint.0 as usize),
            // A timer that comes all the same brings nothing about.
            Action::DropTimer { .. } => {}
            Action::Watch(_) | Action::FetchList | Action::Probe { .. } | Action::Log(_) => {}
        }
    }

    fn send(
        &mut self,
        process: usize,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        due: &mut VecDeque<Event>,
    ) {
        let (now, place) = (self.now, endpoint.0 as usize);
        let host = &mut self.processes[process];
        let Some(open) = host.open.get_mut(&request.0) else { return };
        let number = AttemptNo(open.tries.len() as u32);
        let until = open.until.min(now + timeout);
        if open.answered || open.tries.len() >= self.scenario.max_attempts as usize || until <= now {
            open.tries.push(None);
            return due.push_back(Event::AttemptEnded(AttemptEnded {
                request,
                attempt: number,
                endpoint,
                outcome: Outcome::Moot,
                elapsed: Duration::ZERO,
                finished: open.answered,
                report: None,
            }));
        }
        let id = self.next_flight;
        self.next_flight += 1;
        open.tries.push(Some(id));
        let call = open.call;
        let flight = Flight {
            process,
            request: request.0,
            number,
            endpoint: place,
            call,
            sent: now,
            until,
            over: false,
            left: false,
        };
        let kept = host.connect(place, now, self.scenario.network.idle_close.0);
        let crosses = host.hall != self.endpoints[place].hall;
        let hall = host.hall;
        self.flights.insert(id, flight);
        self.note(process, request.0, call, place);
        if let Some(call) = self.calls.get(&call) {
            let totals = self.tally.at(call.born);
            totals.attempts += 1;
            totals.crossings += u64::from(crosses);
        }
        let handshake =
            if kept { Duration::ZERO } else { self.delay(hall, place) + self.delay(hall, place) };
        let there = now + handshake + self.delay(hall, place);
        self.queue.plan(there, Ev::Comes(id));
        self.queue.plan(until, Ev::TimesOut(id));
    }

    /// Where the jobs of a process's clients may have run: the sidecar's, or lost with the process.
    fn memory(&mut self, process: usize) -> &mut Memory {
        let host = &mut self.processes[process];
        let lost = self.scenario.replacements.iter().any(|replacement| !replacement.keys);
        if lost { &mut host.keys } else { &mut self.keys[host.sidecar] }
    }

    /// A keyed job is about to be sent, as the sidecar's driver notes it.
    fn note(&mut self, process: usize, request: u64, call: u64, place: usize) {
        let Some(class) = self.calls.get(&call).map(|call| &self.scenario.classes[call.class]) else {
            return;
        };
        if class.repeat != Repeat::Keyed {
            return;
        }
        let (zone, now) = (self.endpoints[place].hall, self.now);
        let entry = Entry { key: call, zone, cell: 0, sent: now, window: class.window.0 };
        let noted = self.memory(process).note(now, entry).is_some();
        if let Some(open) = self.processes[process].open.get_mut(&request) {
            open.noted |= noted;
        }
    }

    /// An attempt has ended: a job that has surely not run is forgotten, as by the sidecar's driver.
    fn outcome_of_key(&mut self, process: usize, request: u64, call: u64, outcome: Outcome) {
        let Some(open) = self.processes[process].open.get_mut(&request) else { return };
        if !outcome.never_ran() {
            open.noted = false;
        } else if open.noted && open.tries.iter().all(Option::is_none) {
            open.noted = false;
            self.memory(process).forget(call);
        }
    }

    /// One way between a hall and an endpoint.
    fn delay(&mut self, hall: u32, endpoint: usize) -> Duration {
        let network = &self.scenario.network;
        let base = if hall == self.endpoints[endpoint].hall { network.within.0 } else { network.between.0 };
        base.mul_f64(1.0 + network.jitter * self.network.random::<f64>())
    }

    /// A process hears how an attempt ended.
    fn attempt_ended(&mut self, id: u64, outcome: Outcome) {
        let Some(flight) = self.flights.get_mut(&id).filter(|flight| !flight.over) else { return };
        flight.over = true;
        let Flight { process, request, number, endpoint, sent, left, call, .. } = *flight;
        if left {
            self.flights.remove(&id);
        } else {
            let hall = self.processes[process].hall;
            let there = self.now + self.delay(hall, endpoint);
            self.queue.plan(there, Ev::Cancelled(id));
        }
        if !self.processes[process].alive {
            return;
        }
        if let Some(open) = self.processes[process].open.get_mut(&request) {
            open.tries[number.0 as usize] = None;
        }
        self.outcome_of_key(process, request, call, outcome);
        if outcome == Outcome::Ok {
            let now = self.now;
            self.processes[process].leave(endpoint, now);
            self.answer(process, RequestId(request), End::Served, None);
        }
        let finished = self.processes[process].open.get(&request).is_none_or(|open| open.answered);
        let ended = AttemptEnded {
            request: RequestId(request),
            attempt: number,
            endpoint: EndpointId(endpoint as u64),
            outcome,
            elapsed: self.now - sent,
            finished,
            report: None,
        };
        self.module(process, Event::AttemptEnded(ended));
        self.processes[process].tidy(request);
        self.gone_if_done(process);
    }

    /// Gives a request its final answer.
    fn answer(&mut self, process: usize, request: RequestId, end: End, retry_after: Option<Duration>) {
        let Some(open) = self.processes[process].open.get_mut(&request.0) else { return };
        let (call, twice) = (open.call, std::mem::replace(&mut open.answered, true));
        if twice {
            // The second answer of two copies is nobody's; a refusal of what was answered breaks a rule.
            if end != End::Served
                && let Some(call) = self.calls.get(&call)
            {
                self.tally.at(call.born).answered_twice += 1;
            }
            return;
        }
        self.client_hears(call, end, retry_after);
        self.processes[process].tidy(request.0);
        self.gone_if_done(process);
    }

    // ---- endpoints ----

    fn comes(&mut self, id: u64) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if flight.over {
            self.flights.remove(&id); // cancelled on its way
            return;
        }
        let (place, call_id, until) = (flight.endpoint, flight.call, flight.until);
        if !self.endpoints[place].up {
            return self.reply(id, Outcome::ConnectFailed);
        }
        self.endpoints[place].here.insert(id);
        if self.endpoints[place].hangs {
            return;
        }
        let hall = self.endpoints[place].hall;
        let Some(call) = self.calls.get(&call_id) else {
            return self.reply(id, Outcome::Ok); // its client has gone; the work is left out
        };
        let class = &self.scenario.classes[call.class];
        let keyed = class.repeat == Repeat::Keyed;
        if keyed && call.runs.iter().any(|(at, began)| *at == hall && self.now < *began + class.window.0) {
            return self.reply(id, Outcome::Ok);
        }
        let work = call.work;
        if self.endpoints[place].machine.offer(self.now, id, work, until) == Offered::Full {
            let born = call.born;
            self.tally.at(born).turned_away += 1;
            return self.reply(id, Outcome::Full);
        }
        self.look(place);
    }

    /// Lets a machine tell what has happened, and plans the next look.
    fn look(&mut self, place: usize) {
        let endpoint = &mut self.endpoints[place];
        let happened = endpoint.machine.poll(self.now);
        endpoint.look += 1;
        let (look, hall) = (endpoint.look, endpoint.hall);
        if let Some(at) = endpoint.machine.next() {
            self.queue.plan(at.max(self.now), Ev::Look { endpoint: place, look });
        }
        for what in happened {
            match what {
                Happened::Began(id) => self.began(id, hall),
                Happened::Done(id) => self.reply(id, Outcome::Ok),
                Happened::Expired(id) => self.leaves(id),
            }
        }
    }

    /// A job's work begins: into the books.
    fn began(&mut self, id: u64, hall: u32) {
        let Some(call) = self.flights.get(&id).and_then(|flight| self.calls.get_mut(&flight.call)) else {
            return;
        };
        let class = &self.scenario.classes[call.class];
        let again = match class.repeat {
            Repeat::Safe => false,
            Repeat::Keyed => call.runs.iter().any(|(_, began)| self.now < *began + class.window.0),
            Repeat::Never => !call.runs.is_empty(),
        };
        call.runs.push((hall, self.now));
        self.tally.at(call.born).runs += 1;
        if again && !std::mem::replace(&mut call.ran_twice, true) {
            let born = call.born;
            self.tally.at(born).ran_twice += 1;
        }
    }

    /// An endpoint is done with an attempt and says so.
    fn reply(&mut self, id: u64, outcome: Outcome) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let (process, endpoint, over) = (flight.process, flight.endpoint, flight.over);
        flight.left = true;
        self.endpoints[endpoint].here.remove(&id);
        if over {
            self.flights.remove(&id);
            return;
        }
        let hall = self.processes[process].hall;
        let back = self.now + self.delay(hall, endpoint);
        self.queue.plan(back, Ev::Answers(id, outcome));
    }

    /// An endpoint has dropped an attempt without a word.
    fn leaves(&mut self, id: u64) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.left = true;
        let (endpoint, over) = (flight.endpoint, flight.over);
        self.endpoints[endpoint].here.remove(&id);
        if over {
            self.flights.remove(&id);
        }
    }

    /// An endpoint hears that an attempt is not wanted any more.
    fn cancelled(&mut self, id: u64) {
        let Some(flight) = self.flights.get(&id) else { return };
        let place = flight.endpoint;
        let endpoint = &mut self.endpoints[place];
        if !endpoint.here.contains(&id) {
            return; // on its way still: it is dropped when it comes
        }
        if endpoint.hangs || endpoint.machine.cancel(self.now, id) {
            endpoint.here.remove(&id);
            self.flights.remove(&id);
        }
        self.look(place);
    }

    // ---- what goes wrong ----

    fn fault(&mut self, n: usize, begins: bool) {
        let FaultSpec { what, endpoints, hall, .. } = &self.scenario.faults[n];
        let halls = &self.scenario.halls;
        let hall = hall.as_ref().and_then(|hall| halls.iter().position(|h| h == hall));
        let there =
            |endpoint: &&usize| hall.is_none_or(|hall| self.endpoints[**endpoint].hall as usize == hall);
        let all: Vec<usize> = (0..self.endpoints.len()).collect();
        let struck: Vec<usize> =
            all.iter().filter(there).take(endpoints.unwrap_or(u32::MAX) as usize).copied().collect();
        for place in struck {
            let endpoint = &mut self.endpoints[place];
            match what {
                Trouble::Slow(part) => {
                    endpoint.machine.set_factor(self.now, if begins { *part } else { 1.0 })
                }
                Trouble::Hang => {
                    endpoint.hangs = begins;
                    if !begins {
                        self.drop_all(place); // its process is replaced by a sound one
                    }
                }
                Trouble::Crash => {
                    endpoint.up = !begins;
                    if begins {
                        self.drop_all(place);
                    } else {
                        endpoint.machine.restart(self.now);
                        endpoint.started = Some(self.now);
                        self.queue.plan(self.now + LIST_LAG, Ev::Listed(place));
                    }
                }
            }
            self.look(place);
        }
    }

    /// Connections to an endpoint break.
    fn drop_all(&mut self, place: usize) {
        let now = self.now;
        self.endpoints[place].machine.restart(now);
        for id in std::mem::take(&mut self.endpoints[place].here) {
            self.reply(id, Outcome::Reset);
        }
        self.processes.iter_mut().for_each(|process| process.close_idle(place));
    }

    // ---- replacements ----

    fn successor(&mut self, replacement: usize, sidecar: usize) {
        let spec = &self.scenario.replacements[replacement];
        let Some(&old) = self.sidecars[sidecar].last() else { return };
        if spec.killed {
            self.kill(old);
        }
        let generation =
            1 + self.processes.iter().filter(|process| process.sidecar == sidecar).count() as u64;
        let new = self.start_process(sidecar, generation);
        self.sidecars[sidecar].push(new);
        if spec.carry.shares && !spec.killed && self.processes[new].decider.shares() {
            self.processes[old].shares.successor(new as u64);
            self.processes[new].shares.predecessor(old as u64);
            self.processes[new].decider.holds_nothing(self.now);
            self.queue.plan(self.now, Ev::Shares { old, new });
        }
        self.queue.plan(self.now + spec.starts.0, Ev::Ready { replacement, new, old });
    }

    fn ready(&mut self, replacement: usize, new: usize, old: usize) {
        let spec = &self.scenario.replacements[replacement];
        let [learnt, fresh] = [old, new].map(|process| self.processes[process].decider.snapshot(self.now));
        if let (true, Some(learnt), Some(fresh)) = (self.processes[old].alive, learnt, fresh) {
            let carried = parts(&learnt, &fresh, spec.carry);
            self.processes[new].decider.restore(self.now, &carried);
        }
        self.processes[new].accepts = true;
        self.queue.plan(self.now + spec.overlap.0, Ev::Ends(old));
    }

    fn ends(&mut self, process: usize) {
        self.processes[process].accepts = false;
        self.queue.plan(self.now + END_WITHIN, Ev::Killed(process));
        self.gone_if_done(process);
    }

    /// One that is to end and has nothing open goes.
    fn gone_if_done(&mut self, process: usize) {
        let host = &self.processes[process];
        let newest = self.sidecars.get(host.sidecar).and_then(|living| living.last());
        if host.alive
            && !host.accepts
            && host.open.is_empty()
            && newest.is_some_and(|newest| *newest != process)
        {
            self.kill(process);
        }
    }

    fn kill(&mut self, process: usize) {
        let host = &mut self.processes[process];
        if !std::mem::replace(&mut host.alive, false) {
            return;
        }
        host.accepts = false;
        let (sidecar, open) = (host.sidecar, std::mem::take(&mut host.open));
        self.sidecars[sidecar].retain(|living| *living != process);
        for request in open.into_values() {
            for flight in request.tries.iter().flatten() {
                // Its endpoint sees the connection break.
                self.attempt_ended(*flight, Outcome::Reset);
            }
            if !request.answered {
                self.client_hears(request.call, End::Unanswered, None);
            }
        }
        for other in self.sidecars[sidecar].clone() {
            let ending = !self.processes[other].accepts;
            if self.processes[other].shares.gone(process as u64, ending) > 0 {
                let share = self.processes[other].shares.share();
                let actions = self.processes[other].decider.gains(self.now, share, None);
                self.settle(other, actions);
            }
        }
    }

    /// Two that share look at what they need.
    fn share(&mut self, old: usize, new: usize) {
        if !self.processes[old].alive || !self.processes[new].alive {
            return;
        }
        let needs = [old, new].map(|process| {
            let host = &mut self.processes[process];
            host.need.look(host.open.len())
        });
        for (from, to, need) in [(old, new, needs[0]), (new, old, needs[1])] {
            if self.processes[to].shares.needs(from as u64, need).is_err() {
                return;
            }
        }
        for (from, to, need) in [(old, new, needs[0]), (new, old, needs[1])] {
            let Some(parts) = self.processes[from].shares.gives(to as u64, need) else { continue };
            let share = self.processes[from].shares.share();
            let portion = self.processes[from].decider.gives(self.now, share);
            if self.processes[to].shares.gets(from as u64, parts).is_ok() {
                let share = self.processes[to].shares.share();
                let actions = self.processes[to].decider.gains(self.now, share, portion.as_ref());
                self.settle(to, actions);
            }
        }
        self.queue.plan(self.now + LOOK_EVERY, Ev::Shares { old, new });
    }

    fn gauge(&mut self, second: usize) {
        let held: usize = self.endpoints.iter().map(|endpoint| endpoint.machine.held()).sum();
        let choked = self.endpoints.iter().filter(|endpoint| endpoint.machine.is_choked()).count();
        let cores: u32 = self.cores();
        self.tally.gauge(second, held as f64 / f64::from(cores.max(1)), choked as u32);
    }

    fn cores(&self) -> u32 {
        self.scenario.endpoints.iter().map(|kind| kind.count * kind.machine.cores).sum()
    }
}

/// A snapshot with only these parts of what was learnt, and the rest as fresh.
fn parts(learnt: &Snapshot, fresh: &Snapshot, carry: Carry) -> Snapshot {
    let (learnt, mut mixed) = (to_json(learnt), to_json(fresh));
    let groups: [(bool, &[&str]); 4] = [
        (carry.windows, &["windows"]),
        (carry.endpoints, &["endpoints"]),
        (carry.latency, &["latency", "late_share"]),
        (
            carry.rates,
            &["born", "missed", "retry_tokens", "tenants", "arrivals", "served", "proven", "silence"],
        ),
    ];
    for field in groups.iter().filter(|(carried, _)| *carried).flat_map(|(_, fields)| *fields) {
        mixed[*field] = learnt[*field].clone();
    }
    serde_json::from_value(mixed).expect("fields of two snapshots make a snapshot")
}

fn to_json(snapshot: &Snapshot) -> serde_json::Value {
    serde_json::to_value(snapshot).expect("a snapshot is plain data")
}
