//! The messages that pass between the parts of the sidecar: requests and their responses, socket events,
//! updates of the endpoint list, and operators' commands. They are plain values without logic of their own.

use crate::figures::EndpointSummary;
use crate::request_status::RequestStatus;
use crate::response_body::ResponseBody;
use crate::sent_jobs::JobIdentity;
use crate::socket::SocketMonitor;
use crate::streaming::RequestBody;
use curlewhub_balance::{
    AttemptNo, EndpointId, Membership, Outcome, RequestId, ShareTransfer, Snapshot, ZoneAdmissions, ZoneId,
};
use curlewhub_config::list::Target;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request head with more than this in its target, names and values is long, in bytes.
const LONG_HEAD_LEN: usize = 6 * 1024;

/// Queue of the inputs that the rest of the sidecar sends to the driver.
pub type Inbox = UnboundedSender<Input>;

/// An input of the driver: something that happened on a socket, or a change of the list.
pub enum Input {
    /// A request was received; its body may still be incomplete (`request.body_incomplete`).
    RequestReceived(Box<ReceivedRequest>),
    /// More of a long body has been sent to an endpoint than is buffered, so it can't be sent again.
    BodyNotReplayable(RequestId),
    /// The last byte of a long body has arrived on this machine, where most of it may lie unread, or none has arrived for
    /// longer than its client waits; the response must be on its way by this time.
    BodyArrived(RequestId, Instant),
    /// A long body was received completely; the response must be on its way by this time.
    BodyComplete(RequestId, Instant),
    /// The request's client has disconnected.
    ClientDisconnected(RequestId),
    /// The request of this id, as a hash, has its answer, and its client was there to get it: it is no repeat if the id
    /// comes again.
    AnswerDelivered(u64),
    /// Bytes of an attempt's answer have arrived, and more are to come.
    AnswerProgress(RequestId, AttemptNo),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptNo, AttemptResult),
    /// A probe ended after this duration.
    ProbeEnded(EndpointId, AttemptResult, Duration),
    /// An update of the endpoint list.
    ListUpdate(ListUpdate),
    /// Only these endpoints may be used until the list names others.
    ListRestriction(Vec<EndpointId>),
    /// The status of the current list, valid until the next one is sent.
    ListStatus(ListStatus),
    /// Restores the learned state of another process; replies with whether that succeeded.
    Restore(Box<Snapshot>, oneshot::Sender<bool>),
    /// The process is about to exit: fails all requests that are still open.
    FailOpenRequests,
}

/// Queue of commands to the driver.
pub type Commands = UnboundedSender<Command>;

/// A command to the driver, from operators, the control plane or another process of the sidecar. Commands
/// are handled ahead of inputs.
pub enum Command {
    /// Replies with how many endpoints are listed and how many of them are avoided.
    SummarizeEndpoints(oneshot::Sender<EndpointSummary>),
    /// Replies with the uids of the endpoints that the list allows to be used.
    ListUsableEndpoints(oneshot::Sender<Vec<String>>),
    /// Replies with a snapshot of the balancer's learned state.
    CaptureSnapshot(oneshot::Sender<Snapshot>),
    /// Bans the endpoint with this uid, or lifts its ban.
    Ban {
        /// The uid.
        uid: String,
        /// Whether it is banned from now on.
        banned: bool,
        /// Whether the other process of this sidecar knows the endpoint: it need not be listed here yet.
        known_to_peer: bool,
        /// Replied to once the change is in force and on disk, or with the reason why it is not.
        reply: oneshot::Sender<Result<(), &'static str>>,
    },
    /// Sets the traffic that this sidecar may send to zones from now on.
    SetZoneAdmissions(ZoneAdmissions),
    /// Probes endpoints of a zone; an endpoint that has not answered within the timeout counts as
    /// unreachable.
    ProbeZone {
        /// The zone.
        zone: ZoneId,
        /// The number of endpoints to probe.
        count: u32,
        /// The timeout.
        within: Duration,
    },
    /// Another process of this sidecar has connected.
    PeerConnected {
        /// The number of the connection.
        link: u64,
        /// Whether it is this process's predecessor, or else its successor.
        is_predecessor: bool,
        /// Sends a message to it.
        send: Box<dyn Fn(OverlapMessage)>,
    },
    /// The process behind this connection has sent a message.
    PeerMessage(u64, OverlapMessage),
    /// The process behind this connection has exited.
    PeerDisconnected(u64),
}

/// Messages by which two processes of a sidecar divide the overlap quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OverlapMessage {
    /// The sender's demand.
    Demand(u32),
    /// Parts that the sender gives away, and the balancer state that belongs to them.
    Parts(u32, ShareTransfer),
}

/// A request received from a client.
pub struct ReceivedRequest {
    /// The request for the balancer; the driver sets its time left.
    pub request: curlewhub_balance::Request,
    /// By what its job is recognized when it comes again.
    pub job: JobIdentity,
    /// When the response must be on its way. While the body is incomplete: the longest time that receiving
    /// it may take.
    pub deadline: Instant,
    /// How long the client waits for the response, from its last byte on.
    pub response_timeout: Duration,
    /// The request as it is forwarded to endpoints.
    pub forwarded: ForwardedRequest,
    /// Receives the final response.
    pub reply: oneshot::Sender<FinalResponse>,
    /// Whether it still waits for its answer.
    pub status: RequestStatus,
    /// The connection of its client.
    pub connection: Rc<SocketMonitor>,
}

/// A request as it is forwarded to endpoints.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
}

/// The final response to a request.
pub enum FinalResponse {
    /// Served, with the body of an endpoint's response.
    Served(ResponseBody),
    /// Refused: retrying is harmless, after this time if it is given.
    Refused(Option<Duration>),
    /// Failed.
    Failed,
}

/// How an attempt or a probe ended.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The body of a response with status 200; empty otherwise.
    pub body: ResponseBody,
    /// The endpoint's load report, if it sent one.
    pub report: Option<Vec<f64>>,
}

impl AttemptResult {
    /// A result with neither a body nor a load report.
    pub fn from_outcome(outcome: Outcome) -> Self {
        AttemptResult { outcome, body: ResponseBody::empty(), report: None }
    }
}

/// An update of the endpoint list: the membership for the balancer, and the addresses of the endpoints.
pub struct ListUpdate {
    /// The membership for the balancer.
    pub membership: Membership,
    /// The addresses of the endpoints named in it.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

/// The status of the current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListStatus {
    /// From this time on the list must not be used for anything new; none while its use is not limited.
    pub expires_at: Option<Instant>,
    /// The version that its discovery server gave it.
    pub version: u64,
    /// When discovery last confirmed the list; none while a watch is up.
    pub unwatched_since: Option<Instant>,
}

impl ListStatus {
    /// Time since discovery last confirmed the list; zero while a watch is up, and for a static list.
    pub fn age(&self) -> Duration {
        self.unwatched_since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}

/// A command to the source of the endpoint list: discovery or the static list.
pub enum ListCommand {
    /// Starts following changes, or stops.
    Watch(bool),
    /// Fetches the whole list once.
    Fetch,
    /// Uses only the endpoints with these uids of the list of the start, unless discovery has confirmed it.
    RestrictInitialList(Vec<String>),
    /// Sets the address of the discovery server.
    SetAddress(SocketAddr),
    /// Replaces the static list.
    ReplaceTargets(Vec<Target>),
}

impl ForwardedRequest {
    /// The request for the endpoint at this address, without the header that [`set_timeout_header`] sets.
    pub fn for_endpoint(&self, address: SocketAddr) -> Request<RequestBody> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, header_value(address.to_string()));
        request
    }
}

/// Whether the head of a request is so long that the write buffer of its connection grows for it.
pub fn is_long_head(request: &Request<RequestBody>) -> bool {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let header_len = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    target + request.headers().iter().map(header_len).sum::<usize>() > LONG_HEAD_LEN
}

/// Sets the header that tells an endpoint how much of the client's time is left; called right before the
/// request is written.
pub fn set_timeout_header(headers: &mut HeaderMap, left: Duration) {
    headers.insert(HeaderName::from_static("x-timeout"), header_value(format!("{}u", left.as_micros())));
}

fn header_value(text: String) -> HeaderValue {
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""))
}
