//! Drives the balancer: turns what happens on the sockets into its events, and carries out its actions. The
//! driver takes no decisions, but enforces what must hold whatever the balancer decides: one final response
//! per request, no attempt beyond the limit or the deadline, and nothing sent for a finished request.

mod attempts;
mod list;
mod probes;
mod summary;

use super::budget::Budget;
use super::call_observer::CallObserver;
use super::clock::Clock;
use super::endpoint_bans::EndpointBans;
use super::events::{
    AttemptResult, Command, FinalResponse, ForwardedRequest, Inbox, Input, ListCommand, ListStatus,
    ReceivedRequest,
};
use super::figures::EndpointSummary;
use super::handover::overlap::{BalancerAccess, Overlap};
use super::lifecycle::{Lifecycle, State};
use super::listing::Listing;
use super::outbound::Outbound;
use super::repeat_window::RepeatWindow;
use super::request_log;
use super::request_status::{RequestEnd, RequestStatus};
use super::sent_jobs::{JobIdentity, SentJobs};
use super::socket::SocketMonitor;
use super::timers::Timers;
use attempts::Attempt;
use curlewhub_balance::{
    Action, Balancer, ClassId, EarlierAttempt, EndpointId, Event, Outcome, RequestId, TimerToken,
};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use summary::SUMMARY_INTERVAL;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info, warn};

/// A request until it has its final response and all its attempts have ended.
struct OpenRequest {
    forwarded: ForwardedRequest,
    /// Changes once the body is complete.
    deadline: watch::Sender<Instant>,
    /// How long the client waits for the response; none once the body is complete.
    timeout_after_body: Option<Duration>,
    /// None once the request is finished, so that there is never a second final response.
    reply: Option<oneshot::Sender<FinalResponse>>,
    /// Set with the final response, and as the client leaves.
    status: RequestStatus,
    connection: Rc<SocketMonitor>,
    attempts: Vec<Attempt>,
    /// Attempts that have not ended yet.
    in_flight: usize,
    class: ClassId,
    /// When its attempts may begin, by when others of them began.
    window: Rc<RepeatWindow>,
    /// By what its job is recognized when it comes again.
    job: JobIdentity,
    /// The first send of its job, as far as that is remembered and the balancer knows of it.
    first_send: Option<EarlierAttempt>,
    /// By what its job was recorded with its own first send, while no attempt has ended in a way that it may have been
    /// processed. If none does, that is forgotten.
    forgettable: JobIdentity,
}

/// The parts of the process that the driver uses.
pub struct Dependencies {
    /// Connections to endpoints.
    pub outbound: Rc<Outbound>,
    /// Sockets and memory in use.
    pub budget: Rc<Budget>,
    /// The ids and names of endpoints.
    pub listing: Rc<Listing>,
    /// Endpoints that operators have banned.
    pub bans: Rc<EndpointBans>,
    /// The state of the process.
    pub lifecycle: Rc<Lifecycle>,
    /// Jobs that may have run.
    pub sent_jobs: SentJobs,
    /// Observes attempts and zone probes.
    pub call_observer: Rc<dyn CallObserver>,
}

/// Owns the balancer, its timers, and the requests and attempts in flight.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    max_attempts: usize,
    requests: HashMap<RequestId, OpenRequest>,
    addresses: HashMap<EndpointId, SocketAddr>,
    /// The stated starts of listed endpoints.
    starts: HashMap<EndpointId, Duration>,
    timers: Timers,
    /// Events that arose while the driver carried out actions; the balancer has not handled them yet.
    pending_events: VecDeque<Event>,
    /// Counts of unusual outcomes since the last summary.
    unusual_outcomes: HashMap<&'static str, u64>,
    summary_at: Instant,
    outbound: Rc<Outbound>,
    budget: Rc<Budget>,
    listing: Rc<Listing>,
    bans: Rc<EndpointBans>,
    lifecycle: Rc<Lifecycle>,
    sent_jobs: SentJobs,
    /// When the records of another process were last read.
    journals_read_at: Option<Instant>,
    call_observer: Rc<dyn CallObserver>,
    /// Number of zone probes so far; selects the endpoint of the next one.
    zone_probes: usize,
    /// The ids of banned endpoints.
    banned: HashSet<EndpointId>,
    /// Endpoints that are listed as draining.
    draining: HashSet<EndpointId>,
    /// Endpoints that are listed, and out of use until discovery names them again.
    unconfirmed: HashSet<EndpointId>,
    /// The status of the list; none for a static list.
    list_status: Option<ListStatus>,
    /// Division of the overlap quota with another process.
    overlap: Overlap,
    list_commands: UnboundedSender<ListCommand>,
    inbox: Inbox,
}

impl Driver {
    /// A driver of this balancer.
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        max_attempts: u32,
        dependencies: Dependencies,
        list_commands: UnboundedSender<ListCommand>,
        inbox: Inbox,
    ) -> Self {
        let Dependencies { outbound, budget, listing, bans, lifecycle, sent_jobs, call_observer } =
            dependencies;
        Driver {
            balancer,
            clock,
            max_attempts: max_attempts as usize,
            requests: HashMap::new(),
            addresses: HashMap::new(),
            starts: HashMap::new(),
            timers: Timers::default(),
            pending_events: VecDeque::new(),
            unusual_outcomes: HashMap::new(),
            summary_at: Instant::now() + SUMMARY_INTERVAL,
            outbound,
            budget,
            listing,
            bans,
            lifecycle,
            sent_jobs,
            journals_read_at: None,
            call_observer,
            zone_probes: 0,
            banned: HashSet::new(),
            draining: HashSet::new(),
            unconfirmed: HashSet::new(),
            list_status: None,
            overlap: Overlap::default(),
            list_commands,
            inbox,
        }
    }

    /// Runs until all senders of inputs are dropped.
    pub async fn run(
        mut self,
        mut inputs: UnboundedReceiver<Input>,
        mut commands: UnboundedReceiver<Command>,
    ) {
        for uid in self.bans.all() {
            self.apply_ban(&uid, true);
        }
        // The initial list is applied before the first command is handled.
        while let Ok(input) = inputs.try_recv() {
            self.handle_input(input);
        }
        loop {
            let next = self.timers.next().unwrap_or(self.summary_at);
            let next = self.overlap.sample_at().map_or(next, |at| at.min(next));
            let retry_at = self.sent_jobs.retry_at().into_iter().chain(self.bans.retry_at()).min();
            let next = retry_at.map_or(next, |at| at.min(next));
            tokio::select! {
                biased;
                // Commands take precedence: an operator waits for 1 s at most.
                Some(command) = commands.recv() => self.handle_command(command),
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                () = sleep_until(next.min(self.summary_at)) => {}
            }
            self.run_due_tasks();
        }
    }

    /// Handles timers, retries, quota samples and the summary that are due.
    fn run_due_tasks(&mut self) {
        let now = Instant::now();
        while let Some(token) = self.timers.take_due(now) {
            self.handle_event(Event::Timer(TimerToken(token)));
        }
        self.sent_jobs.retry();
        for uid in self.bans.retry() {
            self.apply_ban(&uid, true);
        }
        let open = self.requests.len();
        self.with_overlap(|overlap, access| overlap.sample_if_due(open, access));
        if now >= self.summary_at {
            self.summary_at = now + SUMMARY_INTERVAL;
            self.log_summary();
            self.log_memory();
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::RequestReceived(received) => self.request_received(*received),
            Input::BodyNotReplayable(id) => self.handle_event(Event::BodyNotReplayable(id)),
            Input::BodyArrived(id, deadline) => self.body_arrived(id, deadline),
            Input::BodyComplete(id, deadline) => self.body_complete(id, deadline),
            Input::ClientDisconnected(id) => self.client_disconnected(id),
            Input::AnswerDelivered(id) => self.sent_jobs.ids.forget_send(id),
            Input::AnswerProgress(request, attempt) => {
                self.handle_event(Event::AnswerProgress { request, attempt });
            }
            Input::AttemptEnded(id, attempt, result) => self.attempt_ended(id, attempt, result),
            Input::ProbeEnded(endpoint, AttemptResult { outcome, report, .. }, elapsed) => {
                self.handle_event(Event::ProbeEnded { endpoint, outcome, elapsed, report });
            }
            Input::ListUpdate(update) => self.apply_list_update(update),
            Input::ListRestriction(ids) => self.apply_list_restriction(ids),
            Input::ListStatus(status) => self.apply_list_status(status),
            Input::Restore(snapshot, reply) => {
                let restored = self.balancer.restore(self.clock.now(), &snapshot);
                let _ = reply.send(restored); // the receiver may have given up
            }
            Input::FailOpenRequests => {
                let open = self.requests.iter().filter(|(_, open)| open.reply.is_some());
                let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
                warn!(requests = open.len(), "giving up what is still open");
                for id in open {
                    self.respond(id, RequestEnd::Failed, FinalResponse::Failed);
                    self.handle_event(Event::RequestAbandoned(id));
                    self.remove_if_done(id);
                }
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        // A reply fails only if its receiver has given up waiting.
        match command {
            Command::SummarizeEndpoints(reply) => {
                let down = self.balancer.avoided_endpoints(self.clock.now());
                let (listed, parts) = (self.addresses.len(), self.overlap.parts());
                let list = self.list_status;
                let _ = reply.send(EndpointSummary { listed, down, parts, list });
            }
            Command::ListUsableEndpoints(reply) => drop(reply.send(self.usable_endpoints())),
            Command::SetZoneAdmissions(admissions) => self.handle_event(Event::Zones(admissions)),
            Command::ProbeZone { zone, count, within } => self.probe_zone(zone, count, within),
            Command::CaptureSnapshot(reply) => drop(reply.send(self.balancer.snapshot(self.clock.now()))),
            Command::PeerConnected { link, is_predecessor, send } => {
                self.with_overlap(|overlap, access| {
                    overlap.peer_connected(link, is_predecessor, send, access)
                });
            }
            Command::PeerMessage(link, message) => {
                self.with_overlap(|overlap, access| overlap.message_received(link, message, access));
            }
            Command::PeerDisconnected(link) => {
                self.sent_jobs.import_journals(self.clock.now());
                let ending = self.lifecycle.state() == State::Terminating;
                self.with_overlap(|overlap, access| overlap.peer_disconnected(link, ending, access));
            }
            Command::Ban { uid, banned, known_to_peer, reply } => {
                let _ = reply.send(self.ban(&uid, banned, known_to_peer));
            }
        }
    }

    fn ban(&mut self, uid: &str, banned: bool, known_to_peer: bool) -> Result<(), &'static str> {
        if !known_to_peer
            && !self.bans.contains(uid)
            && !self.listing.find(uid).is_some_and(|id| self.addresses.contains_key(&id))
        {
            return Err("no such endpoint");
        }
        self.bans.set(uid, banned).map_err(|e| {
            error!(endpoint = uid, error = %e, "the ban can't be kept on disk");
            "it can't be kept on disk"
        })?;
        info!(endpoint = uid, detached = banned, "ban");
        self.apply_ban(uid, banned);
        Ok(())
    }

    /// Puts a ban, or its end, in force.
    fn apply_ban(&mut self, uid: &str, banned: bool) {
        let id = self.listing.id(uid);
        if banned {
            self.banned.insert(id);
            self.outbound.close_idle(id);
        } else {
            self.banned.remove(&id);
        }
        self.update_admission(id);
        self.handle_event(Event::Ban { endpoint: id, banned });
    }

    /// Admits new requests to an endpoint if it is listed and confirmed, not draining and not banned;
    /// otherwise forbids them.
    fn update_admission(&self, id: EndpointId) {
        let out_of_use = [&self.banned, &self.draining, &self.unconfirmed];
        let admitted = !out_of_use.iter().any(|ids| ids.contains(&id));
        self.outbound.set_admitted(id, self.addresses.get(&id).copied().filter(|_| admitted));
    }

    fn request_received(&mut self, received: ReceivedRequest) {
        let ReceivedRequest {
            mut request,
            job,
            deadline,
            response_timeout,
            forwarded,
            reply,
            status,
            connection,
        } = received;
        if status.is_abandoned() {
            return self.count_outcome("client gone"); // while the request was queued
        }
        let first_send = self.first_send(job, Duration::ZERO);
        request.earlier_attempt = first_send;
        request.time_left = deadline.saturating_duration_since(Instant::now());
        debug!(request = request.id.0, class = request.class.0, tenant = request.tenant.0, "request");
        let timeout_after_body = request.body_incomplete.then_some(response_timeout);
        let deadline = watch::Sender::new(deadline);
        let class = request.class;
        let window = Rc::new(RepeatWindow::new(self.balancer.repeat_window(class)));
        let (reply, attempts, in_flight) = (Some(reply), Vec::new(), 0);
        let open = OpenRequest {
            forwarded,
            deadline,
            timeout_after_body,
            reply,
            status,
            connection,
            attempts,
            in_flight,
            class,
            window,
            job,
            first_send,
            forgettable: JobIdentity::default(),
        };
        self.requests.insert(request.id, open);
        self.overlap.request_arrived();
        self.handle_event(Event::Request(request));
    }

    /// Where a job may have run first, in this process or in another one of the sidecar. What the others have recorded is
    /// read again if it was last read `max_age` ago.
    fn first_send(&mut self, job: JobIdentity, max_age: Duration) -> Option<EarlierAttempt> {
        let now = self.clock.now();
        if job == JobIdentity::default() {
            return None;
        }
        let known = self.sent_jobs.earlier_send(now, job);
        let is_current = self.journals_read_at.is_some_and(|at| at.elapsed() < max_age);
        if known.is_some() || is_current || !self.overlap.has_connected_process() {
            return known;
        }
        // The other process may have sent it; if it was just killed, this may be the repeat of its request.
        self.sent_jobs.import_journals(now);
        self.journals_read_at = Some(Instant::now());
        self.sent_jobs.earlier_send(now, job)
    }

    /// Starts the time of a request whose body has arrived on this machine; its attempts end by this deadline.
    fn body_arrived(&mut self, id: RequestId, deadline: Instant) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.deadline.send_replace(deadline);
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.handle_event(Event::BodyArrived { request: id, time_left });
    }

    /// Starts the time of a request and of its attempts in flight, now that its body is complete.
    fn body_complete(&mut self, id: RequestId, deadline: Instant) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let now = Instant::now();
        open.timeout_after_body = None;
        open.deadline.send_replace(deadline);
        open.attempts
            .iter_mut()
            .filter(|attempt| attempt.cancel.is_some())
            .for_each(|attempt| attempt.sent_at = now);
        let time_left = deadline.saturating_duration_since(now);
        self.handle_event(Event::BodyComplete { request: id, time_left });
    }

    fn client_disconnected(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.reply.take().is_some() {
            request_log::request_ended(id, RequestEnd::Abandoned);
            self.count_outcome("client gone");
            self.handle_event(Event::RequestAbandoned(id));
        }
        self.remove_if_done(id);
    }

    /// Gives the overlap access to the balancer, and carries out the actions that result.
    fn with_overlap(&mut self, update: impl FnOnce(&mut Overlap, &mut BalancerAccess<'_>)) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        let mut access = BalancerAccess { now, balancer: &mut self.balancer, actions: &mut actions };
        update(&mut self.overlap, &mut access);
        self.run_actions(actions);
    }

    /// Passes an event to the balancer, carries out the actions that result, and handles the events they
    /// cause.
    fn handle_event(&mut self, event: Event) {
        self.pending_events.push_back(event);
        self.run_actions(Vec::new());
    }

    /// Carries out actions, and handles the events they cause.
    fn run_actions(&mut self, mut actions: Vec<Action>) {
        loop {
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            let Some(event) = self.pending_events.pop_front() else { return };
            let ended_request = match &event {
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            if let Some(id) = ended_request {
                self.remove_if_done(id);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout } => self.send(request, endpoint, timeout),
            Action::Refuse { request, retry_after } => {
                self.respond(request, RequestEnd::Refused, FinalResponse::Refused(retry_after));
                self.remove_if_done(request);
            }
            Action::Fail { request } => {
                self.respond(request, RequestEnd::Failed, FinalResponse::Failed);
                self.remove_if_done(request);
            }
            Action::Cancel { request, attempt } => {
                // The attempt itself reports its end, unless another outcome is already queued.
                if let Some(open) = self.requests.get_mut(&request)
                    && let Some(state) = open.attempts.get_mut(attempt.0 as usize)
                    && let Some(cancel) = &mut state.cancel
                {
                    let (closed, _) = oneshot::channel();
                    drop(std::mem::replace(cancel, closed));
                }
            }
            Action::SetTimer { token, after } => {
                self.timers.set(token.0, Instant::now() + after);
            }
            Action::CancelTimer { token } => self.timers.cancel(token.0),
            // Sending these fails only while the process ends.
            Action::Watch(on) => drop(self.list_commands.send(ListCommand::Watch(on))),
            Action::FetchList => drop(self.list_commands.send(ListCommand::Fetch)),
            Action::Probe { endpoint } => self.probe(endpoint),
            Action::CloseIdle { endpoint } => self.outbound.close_idle(endpoint),
            Action::Log(text) => info!(said = text, "module"),
        }
    }

    /// Ends a request with its final response, unless it already had one.
    fn respond(&mut self, id: RequestId, end: RequestEnd, response: FinalResponse) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(reply) = open.reply.take() else { return };
        open.status.record_end(end);
        request_log::request_ended(id, end);
        match &response {
            FinalResponse::Served(_) => {}
            FinalResponse::Refused(retry_after) => {
                debug!(request = id.0, reason = "refused", ?retry_after, "final answer");
                self.count_outcome("refused");
            }
            FinalResponse::Failed => {
                debug!(request = id.0, reason = "failed", "final answer");
                self.count_outcome("failed");
            }
        }
        let _ = reply.send(response); // fails if the client has just disconnected
    }

    /// Removes a request that has its final response and no attempts in flight.
    fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.reply.is_none() && open.in_flight == 0) {
            self.requests.remove(&id);
        }
    }
}

/// The name of an outcome in the log.
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
