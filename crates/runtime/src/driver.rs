//! Drives the module: turns what happens on the sockets into its events, and carries out its
//! actions. It decides nothing, but keeps what must hold whatever is decided: one final answer a
//! request, no attempt beyond the limit or the deadline, nothing sent for what is finished.

mod list;
mod probes;

use super::attempt_terms::{AttemptProgress, WriteConditions};
use super::call_observer::CallObserver;
use super::clock::Clock;
use super::endpoint_bans::EndpointBans;
use super::events::{
    AttemptResult, ClientStatus, Command, FinalResponse, ForwardedRequest, Inbox, Input, ListCommand,
    ListStatus, ReceivedRequest,
};
use super::figures::EndpointSummary;
use super::handover::overlap::{BalancerAccess, Overlap};
use super::idempotency_keys::IdempotencyKeys;
use super::lifecycle::{Lifecycle, State};
use super::listing::Listing;
use super::outbound::Outbound;
use super::time_left::TimeLeft;
use super::timers::Timers;
use curlewhub_balance::{
    Action, AttemptEnded, AttemptNo, Balancer, ClassId, EndpointId, Event, Outcome, RequestId, TimerToken,
};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info, warn};

/// Unusual outcomes are summed up in the log this often.
const SUMMARY: Duration = Duration::from_secs(10);

struct Try {
    endpoint: EndpointId,
    sent: Instant,
    /// Dropped to cancel; gone once the attempt has ended.
    cancel: Option<oneshot::Sender<()>>,
}

/// A request until it has its final answer and all its attempts have ended.
struct Open {
    forward: ForwardedRequest,
    /// Moves where a body still comes.
    deadline: watch::Sender<Instant>,
    /// How long its client waits, while its body still comes.
    coming: Option<Duration>,
    /// Gone once the request is finished: so there is never a second final answer.
    answer: Option<oneshot::Sender<FinalResponse>>,
    client: ClientStatus,
    tries: Vec<Try>,
    out: usize,
    class: ClassId,
    /// The hash of its key, where repeats must keep to a group of endpoints.
    key: Option<u64>,
    /// Its own first send is the one that is remembered of the key, and nothing says yet that it may have run.
    noted: bool,
}

/// The parts that the driver works with.
pub struct Dependencies {
    /// Connections to endpoints.
    pub outbound: Rc<Outbound>,
    /// The list.
    pub listing: Rc<Listing>,
    /// Endpoints that operators have banned.
    pub bans: Rc<EndpointBans>,
    /// Whether the process is to end.
    pub lifecycle: Rc<Lifecycle>,
    /// Idempotency keys of jobs that may have run.
    pub idempotency_keys: IdempotencyKeys,
    /// Observes attempts and zone probes.
    pub call_observer: Rc<dyn CallObserver>,
}

/// Owns the module, its timers, and the requests and attempts in flight.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    max_attempts: usize,
    requests: HashMap<RequestId, Open>,
    addresses: HashMap<EndpointId, SocketAddr>,
    timers: Timers,
    /// Events that the driver's own doings brought about.
    due: VecDeque<Event>,
    unusual: HashMap<&'static str, u64>,
    summary_at: Instant,
    outbound: Rc<Outbound>,
    listing: Rc<Listing>,
    bans: Rc<EndpointBans>,
    lifecycle: Rc<Lifecycle>,
    idempotency_keys: IdempotencyKeys,
    call_observer: Rc<dyn CallObserver>,
    /// Probes of zones so far.
    probes: usize,
    /// Their ids.
    banned: HashSet<EndpointId>,
    /// Endpoints that are listed and drain.
    draining: HashSet<EndpointId>,
    /// How the list stands, where discovery brings it.
    list_status: Option<ListStatus>,
    /// Division of the overlap quota with another process.
    overlap: Overlap,
    calls: UnboundedSender<ListCommand>,
    inbox: Inbox,
}

impl Driver {
    /// A driver of this module.
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        max_attempts: u32,
        parts: Dependencies,
        calls: UnboundedSender<ListCommand>,
        inbox: Inbox,
    ) -> Self {
        let Dependencies { outbound, listing, bans, lifecycle, idempotency_keys, call_observer } = parts;
        Driver {
            balancer,
            clock,
            max_attempts: max_attempts as usize,
            requests: HashMap::new(),
            addresses: HashMap::new(),
            timers: Timers::default(),
            due: VecDeque::new(),
            unusual: HashMap::new(),
            summary_at: Instant::now() + SUMMARY,
            outbound,
            listing,
            bans,
            lifecycle,
            idempotency_keys,
            call_observer,
            probes: 0,
            banned: HashSet::new(),
            draining: HashSet::new(),
            list_status: None,
            overlap: Overlap::default(),
            calls,
            inbox,
        }
    }

    /// Runs until nothing can report any more.
    pub async fn run(
        mut self,
        mut inputs: UnboundedReceiver<Input>,
        mut commands: UnboundedReceiver<Command>,
    ) {
        for uid in self.bans.all() {
            self.hold_back(&uid, true);
        }
        // Whoever calls first is to find the known list.
        while let Ok(input) = inputs.try_recv() {
            self.take(input);
        }
        loop {
            let next = self.timers.next().unwrap_or(self.summary_at);
            let next = self.overlap.sample_at().map_or(next, |at| at.min(next));
            let retry_at = self.idempotency_keys.retry_at().into_iter().chain(self.bans.retry_at()).min();
            let next = retry_at.map_or(next, |at| at.min(next));
            tokio::select! {
                biased;
                // Operators wait for a second at most, whatever else does.
                Some(command) = commands.recv() => self.obey(command),
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                () = sleep_until(next.min(self.summary_at)) => {}
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(token) = self.timers.take_due(now) {
            self.handle(Event::Timer(TimerToken(token)));
        }
        self.idempotency_keys.retry();
        for uid in self.bans.retry() {
            self.hold_back(&uid, true);
        }
        let open = self.requests.len();
        self.share(|overlap, access| overlap.sample_if_due(open, access));
        if now >= self.summary_at {
            self.summary_at = now + SUMMARY;
            let mut counts: Vec<_> = self.unusual.drain().collect();
            counts.sort();
            // What is kept must stay in proportion to what is open and listed.
            let (open, timers, module) =
                (self.requests.len(), self.timers.len(), self.balancer.tracked_items());
            let (listed, names, links) =
                (self.addresses.len(), self.listing.names(), self.outbound.idle_count());
            info!(
                seconds = SUMMARY.as_secs(),
                outcomes = ?counts,
                open,
                timers,
                module,
                listed,
                names,
                idle = links,
                full = self.outbound.full_refusals(),
                "summary"
            );
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::RequestReceived(arrival) => self.arrived(*arrival),
            Input::BodyNotReplayable(id) => self.handle(Event::BodyNotReplayable(id)),
            Input::BodyComplete(id, deadline) => self.body_whole(id, deadline),
            Input::ClientDisconnected(id) => self.gone(id),
            Input::AttemptEnded(id, attempt, ended) => self.attempt_ended(id, attempt, ended),
            Input::ProbeEnded(endpoint, AttemptResult { outcome, report, .. }, elapsed) => {
                self.handle(Event::ProbeEnded { endpoint, outcome, elapsed, report });
            }
            Input::ListUpdate(news) => self.list(news),
            Input::ListStatus(status) => self.list_status(status),
            Input::Restore(snapshot, told) => {
                let restored = self.balancer.restore(self.clock.now(), &snapshot);
                let _ = told.send(restored); // who asked may have given up
            }
            Input::FailOpenRequests => {
                let open = self.requests.iter().filter(|(_, open)| open.answer.is_some());
                let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
                warn!(requests = open.len(), "giving up what is still open");
                for id in open {
                    self.finish(id, FinalResponse::Failed);
                    self.handle(Event::RequestAbandoned(id));
                    self.tidy(id);
                }
            }
        }
    }

    fn obey(&mut self, command: Command) {
        // An answer that nobody waits for any more is nobody's loss.
        match command {
            Command::SummarizeEndpoints(told) => {
                let down = self.balancer.avoided_endpoints(self.clock.now());
                let (listed, parts) = (self.addresses.len(), self.overlap.parts());
                let list = self.list_status;
                let _ = told.send(EndpointSummary { listed, down, parts, list });
            }
            Command::SetZoneAdmissions(rights) => self.handle(Event::Zones(rights)),
            Command::ProbeZone { zone, count, within } => self.probe_zone(zone, count, within),
            Command::CaptureSnapshot(reply) => drop(reply.send(self.balancer.snapshot(self.clock.now()))),
            Command::PeerConnected { link, is_predecessor, send } => {
                self.share(|overlap, access| overlap.peer_connected(link, is_predecessor, send, access));
            }
            Command::PeerMessage(link, message) => {
                self.share(|overlap, access| overlap.message_received(link, message, access));
            }
            Command::PeerDisconnected(link) => {
                self.idempotency_keys.import_journals(self.clock.now());
                let ending = self.lifecycle.state() == State::Terminating;
                self.share(|overlap, access| overlap.peer_disconnected(link, ending, access));
            }
            Command::Ban { uid, banned, known_to_peer, reply } => {
                let _ = reply.send(self.ban(&uid, banned, known_to_peer));
            }
        }
    }

    fn ban(&mut self, uid: &str, on: bool, known: bool) -> Result<(), &'static str> {
        if !known
            && !self.bans.contains(uid)
            && !self.listing.find(uid).is_some_and(|id| self.addresses.contains_key(&id))
        {
            return Err("no such endpoint");
        }
        self.bans.set(uid, on).map_err(|e| {
            error!(endpoint = uid, error = %e, "the ban can't be kept on disk");
            "it can't be kept on disk"
        })?;
        info!(endpoint = uid, detached = on, "ban");
        self.hold_back(uid, on);
        Ok(())
    }

    /// Lets a ban or its end hold from now on.
    fn hold_back(&mut self, uid: &str, on: bool) {
        let id = self.listing.id(uid);
        if on {
            self.banned.insert(id);
            self.outbound.close_idle(id);
        } else {
            self.banned.remove(&id);
        }
        self.admit(id);
        self.handle(Event::Ban { endpoint: id, banned: on });
    }

    /// Something new may be written to it from now on where it is listed, does not drain and is not banned.
    fn admit(&self, id: EndpointId) {
        let open = !self.banned.contains(&id) && !self.draining.contains(&id);
        self.outbound.set_admitted(id, self.addresses.get(&id).copied().filter(|_| open));
    }

    fn arrived(&mut self, arrival: ReceivedRequest) {
        let ReceivedRequest { mut request, key, deadline, response_timeout, forwarded, reply, client } =
            arrival;
        if client.is_disconnected() {
            return self.count("client gone"); // while it waited to be looked at
        }
        if let Some(key) = key {
            // The process beside this one may have been killed just now, and this be the repeat.
            if self.overlap.has_connected_process()
                && !self.idempotency_keys.contains(self.clock.now(), key)
            {
                self.idempotency_keys.import_journals(self.clock.now());
            }
            request.earlier_attempt = self.idempotency_keys.earlier_send(self.clock.now(), key);
        }
        request.time_left = deadline.saturating_duration_since(Instant::now());
        debug!(request = request.id.0, class = request.class.0, tenant = request.tenant.0, "request");
        let coming = request.body_incomplete.then_some(response_timeout);
        let deadline = watch::Sender::new(deadline);
        let class = request.class;
        let (answer, tries, out, noted) = (Some(reply), Vec::new(), 0, false);
        let open =
            Open { forward: forwarded, deadline, coming, answer, client, tries, out, class, key, noted };
        self.requests.insert(request.id, open);
        self.overlap.request_arrived();
        self.handle(Event::Request(request));
    }

    /// From now on its time runs, and that of the attempts that are out.
    fn body_whole(&mut self, id: RequestId, deadline: Instant) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let now = Instant::now();
        open.coming = None;
        open.deadline.send_replace(deadline);
        open.tries.iter_mut().filter(|tried| tried.cancel.is_some()).for_each(|tried| tried.sent = now);
        let time_left = deadline.saturating_duration_since(now);
        self.handle(Event::BodyComplete { request: id, time_left });
    }

    fn gone(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.answer.take().is_some() {
            self.count("client gone");
            self.handle(Event::RequestAbandoned(id));
        }
        self.tidy(id);
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: AttemptNo, ended: AttemptResult) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(tried) = open.tries.get_mut(attempt.0 as usize) else { return };
        if tried.cancel.take().is_none() {
            return; // its outcome has been told
        }
        open.out -= 1;
        let (endpoint, sent) = (tried.endpoint, tried.sent);
        // Until a body has come whole, no endpoint takes any time over it.
        let elapsed = if open.coming.is_some() { Duration::ZERO } else { sent.elapsed() };
        let AttemptResult { outcome, body, report } = ended;
        if !outcome.never_ran() {
            open.noted = false; // it stays remembered
        } else if let Some(key) = open.key.filter(|_| open.noted && open.out == 0) {
            open.noted = false;
            self.idempotency_keys.forget_send(key);
        }
        debug!(
            request = id.0,
            attempt = attempt.0,
            endpoint = self.listing.uid(endpoint),
            outcome = outcome_name(outcome),
            micros = elapsed.as_micros() as u64,
            "attempt ended"
        );
        self.call_observer.attempt_ended((id, attempt), outcome, elapsed);
        if outcome == Outcome::TimedOut {
            self.outbound.close_idle_since(endpoint, sent);
        }
        if outcome == Outcome::Ok {
            self.finish(id, FinalResponse::Served(body));
        } else {
            self.count(outcome_name(outcome));
        }
        let finished = self.requests.get(&id).is_none_or(|open| open.answer.is_none());
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished,
            report,
        }));
        self.tidy(id);
    }

    /// Lets the overlap use the balancer, and carries out the actions that it returns.
    fn share(&mut self, update: impl FnOnce(&mut Overlap, &mut BalancerAccess<'_>)) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        let mut access = BalancerAccess { now, balancer: &mut self.balancer, actions: &mut actions };
        update(&mut self.overlap, &mut access);
        self.settle(actions);
    }

    /// Gives the module an event and carries out what it wants done, and what comes of that.
    fn handle(&mut self, event: Event) {
        self.due.push_back(event);
        self.settle(Vec::new());
    }

    /// Carries out these actions, and what comes of them.
    fn settle(&mut self, mut actions: Vec<Action>) {
        loop {
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            let Some(event) = self.due.pop_front() else { return };
            let about = match &event {
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            if let Some(id) = about {
                self.tidy(id);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout } => self.send(request, endpoint, timeout),
            Action::Refuse { request, retry_after } => {
                self.finish(request, FinalResponse::Refused(retry_after));
                self.tidy(request);
            }
            Action::Fail { request } => {
                self.finish(request, FinalResponse::Failed);
                self.tidy(request);
            }
            Action::Cancel { request, attempt } => {
                // The attempt itself tells its end, unless another outcome is already on its way.
                if let Some(open) = self.requests.get_mut(&request)
                    && let Some(tried) = open.tries.get_mut(attempt.0 as usize)
                    && let Some(cancel) = &mut tried.cancel
                {
                    let (kept, _) = oneshot::channel();
                    drop(std::mem::replace(cancel, kept));
                }
            }
            Action::SetTimer { token, after } => {
                self.timers.set(token.0, Instant::now() + after);
            }
            Action::CancelTimer { token } => self.timers.drop(token.0),
            // These fail only while the process ends.
            Action::Watch(on) => drop(self.calls.send(ListCommand::Watch(on))),
            Action::FetchList => drop(self.calls.send(ListCommand::Fetch)),
            Action::Probe { endpoint } => self.probe(endpoint),
            Action::CloseIdle { endpoint } => self.outbound.close_idle(endpoint),
            Action::Log(text) => info!(said = text, "module"),
        }
    }

    /// Starts an attempt. What must not be sent is numbered all the same, and ends as moot.
    fn send(&mut self, id: RequestId, endpoint: EndpointId, timeout: Duration) {
        let repeats_until = self.balancer.retry_deadline(id);
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.client.is_disconnected() {
            open.answer = None; // its leaving is still on its way here, behind what came before it
        }
        let (now, attempt) = (Instant::now(), AttemptNo(open.tries.len() as u32));
        let address = self.addresses.get(&endpoint).copied().filter(|_| !self.banned.contains(&endpoint));
        let until = (*open.deadline.borrow()).min(now + timeout);
        let moot = open.answer.is_none() || open.tries.len() >= self.max_attempts || until <= now;
        let Some(address) = address.filter(|_| !moot) else {
            open.tries.push(Try { endpoint, sent: now, cancel: None });
            self.due.push_back(Event::AttemptEnded(AttemptEnded {
                request: id,
                attempt,
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                finished: open.answer.is_none(),
                report: None,
            }));
            return self.count(outcome_name(Outcome::NotSent));
        };
        if let (Some(key), Some((zone, cell))) = (open.key, self.balancer.location(endpoint)) {
            open.noted |= self.idempotency_keys.record_send(self.clock.now(), key, open.class, zone, cell);
        }
        debug!(
            request = id.0,
            attempt = attempt.0,
            endpoint = self.listing.uid(endpoint),
            list_version = self.list_status.map(|list| list.version),
            list_age_ms = self.list_status.map(|list| list.age().as_millis() as u64),
            "attempt"
        );
        let (cancel, mut cancelled) = oneshot::channel();
        open.tries.push(Try { endpoint, sent: now, cancel: Some(cancel) });
        open.out += 1;
        // While a body still comes no endpoint takes any time over it.
        if open.coming.is_none() {
            let zone = || self.balancer.location(endpoint).map(|(zone, _)| zone);
            self.call_observer.attempt_started((id, attempt), open.class, &zone);
        }
        let request = open.forward.for_endpoint(address);
        let time_left = match open.coming {
            Some(time) => TimeLeft::after_body(open.deadline.subscribe(), time),
            None => TimeLeft::until(open.deadline.subscribe(), until),
        };
        let mut deadline = open.deadline.subscribe();
        let (outbound, inbox) = (self.outbound.clone(), self.inbox.clone());
        let begin_by = repeats_until.map(|until| now + until.saturating_sub(self.clock.now()));
        let conditions = WriteConditions { client: open.client.clone(), begin_by, time_left };
        spawn_local(async move {
            let progress = AttemptProgress::for_request(conditions);
            let ended = tokio::select! {
                biased;
                _ = &mut cancelled => AttemptResult::from_outcome(Outcome::Cancelled),
                ended = outbound.attempt(endpoint, address, request, &progress) => ended,
                () = passed(&mut deadline, until) => AttemptResult::from_outcome(progress.timeout_outcome()),
            };
            let _ = inbox.send(Input::AttemptEnded(id, attempt, ended));
        });
    }

    /// Gives a request its final answer, unless it has had one.
    fn finish(&mut self, id: RequestId, answer: FinalResponse) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(to) = open.answer.take() else { return };
        match &answer {
            FinalResponse::Served(_) => {}
            FinalResponse::Refused(wait) => {
                debug!(request = id.0, reason = "refused", retry_after = ?wait, "final answer");
                self.count("refused");
            }
            FinalResponse::Failed => {
                debug!(request = id.0, reason = "failed", "final answer");
                self.count("failed");
            }
        }
        let _ = to.send(answer); // fails where the client has just gone
    }

    /// Forgets a request that nothing more can be heard of.
    fn tidy(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.answer.is_none() && open.out == 0) {
            self.requests.remove(&id);
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.unusual.entry(what).or_default() += 1;
    }
}

/// Ends at this time, or at the deadline where that has moved to before it.
async fn passed(deadline: &mut watch::Receiver<Instant>, until: Instant) {
    loop {
        let at = (*deadline.borrow_and_update()).min(until);
        tokio::select! {
            () = sleep_until(at) => return,
            Ok(()) = deadline.changed() => {}
        }
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "turned away",
        Outcome::TimedOut => "timed out",
        Outcome::ConnectFailed => "not connected",
        Outcome::LocalFault => "fault of this machine",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}
