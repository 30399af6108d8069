//! What the parts of the sidecar tell each other: requests and their answers, what happened on sockets,
//! news of the list, and operators' calls. Values alone: nothing here does anything.

use crate::figures::EndpointSummary;
use crate::streaming::{RequestBody, ResponseBody};
use curlewhub_balance::{
    AttemptNo, EndpointId, Membership, Outcome, RequestId, ShareTransfer, Snapshot, ZoneAdmissions, ZoneId,
};
use curlewhub_config::list::Target;
use hyper::body::Bytes;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Where the rest of the sidecar reports to the driver.
pub type Inbox = UnboundedSender<Input>;

/// Something that happened on a socket.
pub enum Input {
    /// A request has come whole.
    Arrived(Box<Arrival>),
    /// More of a long body has gone to an endpoint than is kept.
    BodyFlows(RequestId),
    /// A long body has come whole: the answer must be on its way by then.
    BodyWhole(RequestId, Instant),
    /// Its client has gone.
    ClientGone(RequestId),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptNo, Ended),
    /// A probe ended; it took so long.
    ProbeEnded(EndpointId, Ended, Duration),
    /// News from discovery.
    List(News),
    /// How the list that is held stands, until the next such word.
    ListStatus(ListStatus),
    /// Start from what another process has learnt; told whether that is so.
    Restore(Box<Snapshot>, oneshot::Sender<bool>),
    /// The process must end: fail what is still open.
    GiveUp,
}

/// Where operators' calls go.
pub type Commands = UnboundedSender<Command>;

/// What operators ask of the driver.
pub enum Command {
    /// How many endpoints are listed, and how many of them avoided.
    Hosts(oneshot::Sender<EndpointSummary>),
    /// Replies with a snapshot of the balancer's learned state.
    CaptureSnapshot(oneshot::Sender<Snapshot>),
    /// Take the endpoint of this uid out of use, or give it back.
    Ban {
        /// The uid.
        uid: String,
        /// Out of use, rather than back.
        on: bool,
        /// The process beside this one knows it, though this one may not yet.
        known: bool,
        /// Told once that holds and is on disk, or why it isn't so.
        told: oneshot::Sender<Result<(), &'static str>>,
    },
    /// This may go into zones from now on.
    Zones(ZoneAdmissions),
    /// Probe so many endpoints of a zone; one that has not answered within the time counts as not there.
    ProbeZone {
        /// The zone.
        zone: ZoneId,
        /// How many.
        count: u32,
        /// The time.
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

/// A request as it came in.
pub struct Arrival {
    /// For the module; its time left is set here.
    pub request: curlewhub_balance::Request,
    /// The hash of its key, where it has one whose repeats must keep to a group of endpoints.
    pub key: Option<u64>,
    /// When the answer must be on its way; the longest that its body may take, where that still comes.
    pub deadline: Instant,
    /// The time that its client waits from its last byte on.
    pub time: Duration,
    /// What goes on to an endpoint.
    pub forward: Forward,
    /// Where the final answer goes.
    pub answer: oneshot::Sender<Answer>,
    /// Whether its client is still there.
    pub client: Client,
}

/// Whether a request's client is still there. It is told the moment that the client's connection ends, ahead of any
/// queue: nothing may begin for one that has gone.
#[derive(Clone, Default)]
pub struct Client(Rc<(Cell<bool>, Notify)>);

impl Client {
    /// It has gone; nothing undoes that.
    pub fn leaves(&self) {
        self.0.0.set(true);
        self.0.1.notify_waiters();
    }

    /// Whether it has gone.
    pub fn has_gone(&self) -> bool {
        self.0.0.get()
    }

    /// Waits until it has gone.
    pub async fn gone(&self) {
        loop {
            // Registered before the look, so that its leaving does not fall between the two.
            let mut gone = std::pin::pin!(self.0.1.notified());
            gone.as_mut().enable();
            if self.has_gone() {
                return;
            }
            gone.await;
        }
    }
}

/// A request as it goes on to an endpoint.
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
}

/// A final answer.
pub enum Answer {
    /// Served, with the body of an endpoint's answer.
    Served(ResponseBody),
    /// Refused: trying again is harmless, after this long if it is stated.
    Refused(Option<Duration>),
    /// Failed.
    Failed,
}

/// How an attempt or a probe ended.
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The body of a 200.
    pub body: ResponseBody,
    /// The load report, if one came.
    pub report: Option<Vec<f64>>,
}

impl Ended {
    /// An end that brought nothing but itself.
    pub fn bare(outcome: Outcome) -> Self {
        Ended { outcome, body: ResponseBody::Buffered(Bytes::new()), report: None }
    }
}

/// News of the list in the module's terms, and where the endpoints are.
pub struct News {
    /// For the module.
    pub membership: Membership,
    /// Addresses of those named.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

/// How the endpoint list that is held stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListStatus {
    /// From then on nothing new may begin by it; none while nothing bounds its use.
    pub expires: Option<Instant>,
    /// Its version, of the server that it is from.
    pub version: u64,
    /// When discovery was heard last, where no watch is up.
    pub unwatched_since: Option<Instant>,
}

impl ListStatus {
    /// For how long nothing has been heard of it; zero while a watch is up, and for a list that nobody changes.
    pub fn age(&self) -> Duration {
        self.unwatched_since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}

/// What the driver may ask of discovery.
pub enum Call {
    /// Follow changes, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    Fetch,
    /// Discovery is at another address from now on.
    Move(SocketAddr),
    /// The static list is this one from now on.
    Replace(Vec<Target>),
}

impl Forward {
    /// As it goes to the endpoint at this address, but for the time left: see `tell_time_left`.
    pub fn request(&self, address: SocketAddr) -> Request<RequestBody> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, header_value(address.to_string()));
        request
    }
}

/// Tells an endpoint how much of the client's time is left, right before the request is written.
pub fn tell_time_left(headers: &mut HeaderMap, left: Duration) {
    headers.insert(HeaderName::from_static("x-timeout"), header_value(format!("{}u", left.as_micros())));
}

fn header_value(text: String) -> HeaderValue {
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""))
}
