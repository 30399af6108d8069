//! Connections to endpoints: attempts and probes, and how they end.

use super::aged_connections::{AGED, AgedConnections};
use super::attempt_terms::{AttemptProgress, WriteConditions};
use super::budget::{Budget, Holder, Permit};
use super::connect::{ConnectError, RouteFaults, connect};
use super::events::{AttemptResult, set_timeout_header};
use super::figures::Metrics;
use super::guard::AbortOnDrop;
use super::load_report::LoadReportReader;
use super::slots::{Slot, Slots};
use super::socket::{BUFFER_MOST, Heard, Socket};
use super::spares::{REST, Spares};
use super::streaming::{BODY_MOST, FLOW_KIB, Flow, RequestBody, ResponseBody, Sending, WHOLE_MOST};
use super::time_left::MAX_WRITE_DELAY;
use super::write_gate::WriteGate;
use curlewhub_balance::{EndpointId, Outcome, Settings};
use curlewhub_connection_quota::{Admission, Refusal};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::debug;

/// Part of the endpoints' idle time after which we close a connection ourselves: what is written to
/// one that the endpoint is just closing ends as a reset, and an unsafe request is then lost for good.
const IDLE_PART: f64 = 0.7;
/// Idle connections kept where the settings say nothing of idle time.
const IDLE_UNSTATED: Duration = Duration::from_secs(5);
/// How often idle connections are looked over.
const SWEEP: Duration = Duration::from_millis(500);
/// A probe that takes longer has failed.
const PROBE: Duration = Duration::from_secs(1);
/// An answer that has begun must not pause for longer until it is whole or flows on: with a length that
/// doesn't fit it would never end, and cost a request all its time that could be sent again.
const ANSWER_PAUSE: Duration = Duration::from_millis(700);
/// Its head must be whole within this, however steadily it comes.
const HEAD_TIME: Duration = Duration::from_secs(2);
/// An answer of which the length says that it is long flows on after this at the latest; until then it may
/// still prove spoilt, and be had again.
const LONG_HOLD: Duration = Duration::from_millis(200);
/// Limit of an attempt's connection where the settings say nothing.
const CONNECT_UNSTATED: Duration = Duration::from_millis(500);

struct Link {
    sender: SendRequest<Sending>,
    heard: Rc<Heard>,
    address: SocketAddr,
    idle_since: Instant,
    /// It is not used again before this.
    rests_until: Instant,
    /// Dropping a link closes its connection, also with an answer still to come.
    _connection: AbortOnDrop,
    _slot: Slot,
    _permit: Permit,
}

/// A connection that somebody waits for. Where that one is gone before it has rested, nothing was written to it, and
/// it is kept for who comes next.
struct Resting<'a> {
    outbound: &'a Outbound,
    endpoint: EndpointId,
    link: Option<Link>,
}

impl Resting<'_> {
    async fn rested(mut self) -> Option<Link> {
        sleep_until(self.link.as_ref()?.rests_until).await;
        self.link.take()
    }
}

impl Drop for Resting<'_> {
    fn drop(&mut self) {
        // One that was left meanwhile, or has moved, is not kept.
        if let Some(link) = self.link.take()
            && self.outbound.gate.admits(self.endpoint, link.address)
        {
            self.outbound.keep(self.endpoint, link);
        }
    }
}

/// Why there is no new connection.
enum NoLink {
    /// Another one came up, failed or came free meanwhile: an idle one may be there now.
    LookAgain,
    /// None is to be had.
    Ends(Outcome),
}

/// What an answer has come to.
enum Read {
    Whole(Outcome, Bytes),
    /// A long one has begun.
    Long(Vec<Bytes>, Incoming),
}

/// The connections to all endpoints.
pub struct Outbound {
    budget: Rc<Budget>,
    slots: Rc<Slots>,
    metrics: Rc<Metrics>,
    gate: WriteGate,
    /// Idle ones, the most recently used last.
    idle: RefCell<HashMap<EndpointId, Vec<Link>>>,
    /// What waits for resting connections have added up to.
    spares: RefCell<Spares>,
    /// Endpoints that this machine had no way to.
    routes: RefCell<RouteFaults>,
    since: Instant,
    connect_timeout: Duration,
    idle_most: Duration,
    aged: AgedConnections,
    load_reports: LoadReportReader,
}

impl Outbound {
    /// No connections yet.
    pub fn new(
        settings: &Settings,
        budget: Rc<Budget>,
        slots: Rc<Slots>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let (connect, idle) = (settings.limits.connect_timeout, settings.limits.idle_close);
        let or = |time: Duration, unstated| if time.is_zero() { unstated } else { time };
        let idle_most = slots.idle_timeout(or(idle.mul_f64(IDLE_PART), IDLE_UNSTATED));
        Rc::new(Outbound {
            budget,
            slots,
            metrics,
            gate: WriteGate::default(),
            idle: RefCell::default(),
            spares: RefCell::default(),
            routes: RefCell::default(),
            since: Instant::now(),
            aged: AgedConnections::default(),
            connect_timeout: or(connect, CONNECT_UNSTATED),
            idle_most,
            load_reports: LoadReportReader::new(settings.load_reports.fields.clone()),
        })
    }

    /// Sends one attempt and waits for its end. It is written at most once: only what provably was
    /// never written goes to another connection.
    pub async fn attempt(
        self: &Rc<Self>,
        endpoint: EndpointId,
        address: SocketAddr,
        mut request: Request<RequestBody>,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        // What comes ahead of an answer says nothing of when that will come.
        let ahead = Arc::new(AtomicBool::new(false));
        let seen = ahead.clone();
        hyper::ext::on_informational(&mut request, move |_| seen.store(true, Ordering::Relaxed));
        loop {
            let linked = tokio::select! {
                biased;
                () = self.withdrawn(endpoint, address, progress) => Err(NoLink::Ends(Outcome::NotSent)),
                linked = self.link(endpoint, address) => linked,
            };
            let (mut link, fresh) = match linked {
                Ok(linked) => linked,
                Err(NoLink::LookAgain) => continue,
                Err(NoLink::Ends(outcome)) => return AttemptResult::from_outcome(outcome),
            };
            // An idle connection may be found closed only now.
            if !matches!(timeout(self.connect_timeout, link.sender.ready()).await, Ok(Ok(()))) {
                if fresh {
                    return AttemptResult::from_outcome(Outcome::ConnectFailed);
                }
                continue;
            }
            if request.body().is_spent() {
                return AttemptResult::from_outcome(Outcome::ConnectFailed); // the rest alone is of no use
            }
            let (heard, whole) = (link.heard.clone(), progress.fully_sent.clone());
            whole.set(false);
            // Read only now: a wait for the connection has taken its part of the client's time.
            let read_at = Instant::now();
            if let Some(conditions) = &progress.conditions {
                let left = conditions.time_left.at(read_at);
                if left.is_zero() {
                    return AttemptResult::from_outcome(progress.timeout_outcome());
                }
                set_timeout_header(request.headers_mut(), left);
            }
            let metrics = progress.conditions.as_ref().map(|_| self.metrics.clone());
            let request = request.clone().map(|payload| Sending::new(&payload, whole, heard, metrics));
            let idle = link.idle_since.elapsed();
            link.heard.forget();
            // The last look is right before the first byte: whatever was waited for until then, a drain may have
            // been told, a client gone, a window for repeats passed, or the time that is told been held up.
            let (this, conditions) = (self.clone(), progress.conditions.clone());
            link.heard.begins(Box::new(move || {
                let holds =
                    |conditions: &WriteConditions| conditions.hold() && read_at.elapsed() < MAX_WRITE_DELAY;
                match &conditions {
                    Some(conditions) => holds(conditions) && this.gate.is_open(endpoint, address),
                    None => this.gate.admits(endpoint, address),
                }
            }));
            let headed = Cell::new(false);
            let exchange = async {
                match link.sender.try_send_request(request).await {
                    Ok(response) => {
                        headed.set(true);
                        let report = self.load_reports.in_headers(response.headers());
                        (self.read(response).await, report)
                    }
                    Err(error) => {
                        if error.message().is_some() {
                            progress.fully_sent.set(false); // handed back unsent
                        }
                        (None, None)
                    }
                }
            };
            let (read, report) = tokio::select! {
                biased;
                read = exchange => read,
                () = stalled(&link.heard, &ahead, &headed) => (None, None),
            };
            // What breaks on the way, or at this machine, says nothing of age.
            if !fresh && idle >= AGED && !link.heard.broke_elsewhere() {
                self.aged.record(read.is_none() && link.heard.began().is_none());
            }
            if link.heard.withheld() {
                progress.fully_sent.set(false);
                return AttemptResult::from_outcome(Outcome::NotSent);
            }
            match (read, progress.fully_sent.get(), fresh) {
                (Some(Read::Whole(outcome, body)), whole, _) => {
                    if whole && !link.sender.is_closed() {
                        self.park(endpoint, link);
                    }
                    return AttemptResult { outcome, body: ResponseBody::Buffered(body), report };
                }
                (Some(Read::Long(first, rest)), whole, _) => {
                    let memory = self.budget.stream_memory(FLOW_KIB).await;
                    let this = self.clone();
                    // Others may use the connection after the answer, unless its request was cut short.
                    let parking = Box::new(move || {
                        if whole && !link.sender.is_closed() {
                            this.park(endpoint, link);
                        }
                    });
                    let body = ResponseBody::Streaming(Box::new(Flow::new(first, rest, parking, memory)));
                    return AttemptResult { outcome: Outcome::Ok, body, report };
                }
                (None, true, _) => return AttemptResult::from_outcome(Outcome::Reset),
                (None, false, true) if link.heard.broke_locally() => {
                    return AttemptResult::from_outcome(Outcome::LocalFault);
                }
                (None, false, true) => return AttemptResult::from_outcome(Outcome::ConnectFailed),
                (None, false, false) => {} // a kept connection says nothing of its endpoint: another one
            }
        }
    }

    /// What an answer comes to; none where it is spoilt. It is kept until it is whole, so that a break is an
    /// outcome and never a torn answer, and one that is spoilt proves nothing, not even that it never ran.
    /// Only one that is served and long flows on.
    async fn read(&self, response: Response<Incoming>) -> Option<Read> {
        let (head, mut body) = response.into_parts();
        let never_ran = head.headers.get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let least = body.size_hint().lower();
        if least > BODY_MOST {
            return None;
        }
        let long = least > WHOLE_MOST as u64;
        let mut kept = Vec::new();
        let mut hold = pin!(sleep(LONG_HOLD));
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = hold.as_mut(), if long && outcome == Outcome::Ok && !kept.is_empty() => {
                    return Some(Read::Long(vec![Bytes::from(kept)], body));
                }
            };
            match frame {
                None => return Some(Read::Whole(outcome, Bytes::from(kept))),
                Some(Err(_)) => return None,
                // Trailers go no further.
                Some(Ok(frame)) => kept.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            }
            if kept.len() > WHOLE_MOST {
                return (outcome == Outcome::Ok).then(|| Read::Long(vec![Bytes::from(kept)], body));
            }
        }
    }

    /// Keeps a connection for who comes next, once it has rested.
    fn park(&self, endpoint: EndpointId, mut link: Link) {
        link.idle_since = Instant::now();
        link.rests_until = link.idle_since + REST;
        self.keep(endpoint, link);
    }

    fn keep(&self, endpoint: EndpointId, link: Link) {
        self.idle.borrow_mut().entry(endpoint).or_default().push(link);
        self.slots.freed();
    }

    /// Asks an endpoint for its load.
    pub async fn probe(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr) -> AttemptResult {
        let request = Request::get("/-/load").header(header::HOST, address.to_string());
        let Ok(request) = request.body(RequestBody::empty()) else {
            return AttemptResult::from_outcome(Outcome::Error);
        };
        let progress = AttemptProgress::for_probe();
        match timeout(PROBE, self.attempt(endpoint, address, request, &progress)).await {
            Ok(mut ended) => {
                let ResponseBody::Buffered(body) = &ended.body else {
                    return AttemptResult::from_outcome(Outcome::Error);
                };
                let in_body = std::str::from_utf8(body).ok().and_then(|text| self.load_reports.read(text));
                ended.report = in_body.or(ended.report);
                ended
            }
            Err(_) => AttemptResult::from_outcome(progress.timeout_outcome()),
        }
    }

    /// Connects that endpoints with full tables have refused.
    pub fn full_refusals(&self) -> u64 {
        self.slots.full_refusals()
    }

    /// How many connections are idle.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Lets something new be written to an endpoint at this address alone, or nothing at all.
    pub fn set_admitted(&self, endpoint: EndpointId, at: Option<SocketAddr>) {
        if at.is_none() {
            self.routes.borrow_mut().forget(endpoint);
        }
        self.gate.admit(endpoint, at);
    }

    /// From then on no request may begin by the list that is held; one that waits for a connection is withdrawn.
    pub fn set_list_lease(&self, expires: Option<Instant>) {
        self.gate.set_list_lease(expires);
    }

    /// Ends once nothing of an attempt may be written any more.
    async fn withdrawn(&self, endpoint: EndpointId, address: SocketAddr, progress: &AttemptProgress) {
        match &progress.conditions {
            Some(conditions) => tokio::select! {
                () = self.gate.closed(endpoint, address) => {}
                () = conditions.violated() => {}
            },
            None => self.gate.left(endpoint, address).await,
        }
    }

    /// A connection, kept or new; whether it is new.
    async fn link(
        self: &Rc<Self>,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> Result<(Link, bool), NoLink> {
        match self.take_idle(endpoint, address).await {
            Some(link) => Ok((link, false)),
            None => self.connect(endpoint, address).await.map(|link| (link, true)),
        }
    }

    /// Closes idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
        self.spares.borrow_mut().forget(endpoint);
    }

    /// Closes idle connections to an endpoint on which nothing was heard since then: a machine that is
    /// cut off leaves them open and silent, and each would cost one more request all its time, where a
    /// new connection fails at once and proves that nothing ran.
    pub fn close_idle_since(&self, endpoint: EndpointId, since: Instant) {
        if let Some(links) = self.idle.borrow_mut().get_mut(&endpoint) {
            links.retain(|link| link.idle_since > since);
        }
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(id, links)| Some((links.first()?.idle_since, *id))).min();
        let Some((_, id)) = oldest else { return false };
        idle.get_mut(&id).map(|links| links.remove(0)).is_some()
    }

    /// Closes, from time to time, what has been idle for too long or was closed by the endpoint.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            self.idle.borrow_mut().retain(|_, links| {
                links.retain(|link| self.usable(link));
                !links.is_empty()
            });
        }
    }

    fn usable(&self, link: &Link) -> bool {
        let most = self.aged.idle_limit(self.idle_most);
        !link.sender.is_closed() && link.idle_since.elapsed() < most
    }

    /// The most recently used idle connection that has rested, or else one once it has: the others may
    /// then age and be closed.
    async fn take_idle(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr) -> Option<Link> {
        loop {
            let now = Instant::now();
            let link = {
                let mut idle = self.idle.borrow_mut();
                let links = idle.get_mut(&endpoint)?;
                let rested = links.iter().rposition(|link| link.rests_until <= now);
                (!links.is_empty()).then(|| links.remove(rested.unwrap_or(0)))?
            };
            let link = if link.rests_until > now {
                self.note_wait(endpoint, address, link.rests_until - now);
                Resting { outbound: self, endpoint, link: Some(link) }.rested().await?
            } else {
                link
            };
            // At another address another machine may listen by now. What has come unasked, or the end, makes a
            // connection useless; hyper sees only what the runtime has seen, which may be long ago where the
            // processor is short.
            if link.address == address && self.usable(&link) && !link.heard.pending() {
                return Some(link);
            }
        }
    }

    /// A request waits for so long until a connection has rested. Where such waits have become worth one more
    /// connection, that is opened beside the wait: the request depends on nothing of it.
    fn note_wait(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr, wait: Duration) {
        if !self.spares.borrow_mut().waits(endpoint, wait) {
            return;
        }
        let this = self.clone();
        spawn_local(async move { this.open_spare(endpoint, address).await });
    }

    /// Opens one more connection and keeps it, where that takes no place of another one.
    async fn open_spare(&self, endpoint: EndpointId, address: SocketAddr) {
        let Ok(slot) = self.slots.try_take(endpoint) else { return };
        let Some(permit) = self.budget.try_acquire(Holder::Endpoint) else { return };
        let Ok(link) = self.open(endpoint, address, slot, permit).await else { return };
        // It may have been left, or have moved, in the meantime.
        if self.gate.admits(endpoint, address) {
            debug!(endpoint = endpoint.0, "one more connection, for requests that waited");
            self.keep(endpoint, link);
        }
    }

    async fn connect(&self, endpoint: EndpointId, address: SocketAddr) -> Result<Link, NoLink> {
        let slot = self.slots.take(endpoint).await.map_err(|admission| match admission {
            Admission::Full => NoLink::Ends(Outcome::Rejected),
            Admission::Open | Admission::Wait => NoLink::LookAgain,
        })?;
        let permit = loop {
            match self.budget.try_acquire(Holder::Endpoint) {
                Some(permit) => break permit,
                None if self.close_oldest_idle() => {}
                // No descriptor is left to this process.
                None => return Err(NoLink::Ends(Outcome::LocalFault)),
            }
        };
        self.open(endpoint, address, slot, permit).await
    }

    /// Opens a connection in a place that it has.
    async fn open(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        slot: Slot,
        permit: Permit,
    ) -> Result<Link, NoLink> {
        const FAILED: NoLink = NoLink::Ends(Outcome::ConnectFailed);
        let stream = match connect(address, self.connect_timeout).await {
            Ok(stream) => stream,
            Err(ConnectError::Refused) => {
                return Err(match slot.refused() {
                    Refusal::Full => NoLink::Ends(Outcome::Rejected),
                    Refusal::Unknown => FAILED,
                });
            }
            Err(error) => return Err(NoLink::Ends(self.outcome_of(endpoint, &error))),
        };
        self.routes.borrow_mut().connected(self.since.elapsed(), endpoint);
        let (socket, heard) = Socket::new(stream);
        let handshake = http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(TokioIo::new(socket));
        let (sender, connection) = handshake.await.map_err(|_| FAILED)?;
        let task = spawn_local(connection);
        slot.up();
        let up = Instant::now();
        Ok(Link {
            sender,
            heard,
            address,
            idle_since: up,
            rests_until: up,
            _connection: AbortOnDrop::new(task.abort_handle()),
            _slot: slot,
            _permit: permit,
        })
    }

    /// What becomes of an attempt for which no connection came up.
    fn outcome_of(&self, endpoint: EndpointId, error: &ConnectError) -> Outcome {
        let local = match error {
            ConnectError::Resources(_) => true,
            ConnectError::Route(_) => {
                let listed = self.gate.admitted();
                self.routes.borrow_mut().is_local(self.since.elapsed(), endpoint, listed)
            }
            ConnectError::Refused | ConnectError::TimedOut(_) | ConnectError::Failed(_) => false,
        };
        debug!(endpoint = endpoint.0, %error, local, "no connection");
        if local { Outcome::LocalFault } else { Outcome::ConnectFailed }
    }
}

/// Ends once an answer has begun and pauses for too long, or its head takes too long. What comes ahead of
/// an answer says nothing of when that will come.
async fn stalled(heard: &Heard, ahead: &AtomicBool, headed: &Cell<bool>) {
    loop {
        let began = heard.began().filter(|_| headed.get() || !ahead.load(Ordering::Relaxed));
        if let Some(began) = began {
            let slow = !headed.get() && began.elapsed() >= HEAD_TIME;
            if slow || heard.silence() >= ANSWER_PAUSE {
                return;
            }
        }
        sleep(ANSWER_PAUSE / 8).await;
    }
}
