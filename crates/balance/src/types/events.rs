//! The events that a balancer handles.

use super::{
    AttemptNo, CellId, ClassId, EndpointId, Membership, RequestId, TenantId, TimerToken, ZoneAdmissions,
    ZoneId,
};
use std::time::Duration;

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update from discovery.
    Membership(Membership),
    /// Only these endpoints, and those that later updates name, may be used until the next complete list. The
    /// others stay listed.
    RestrictEndpoints(Vec<EndpointId>),
    /// After this time no attempt may be started by the current list, until the next lease or list. None
    /// while nothing limits its use.
    ListLease {
        /// On the balancer's clock.
        expires: Option<Duration>,
    },
    /// A request arrived and must get one final answer.
    Request(Request),
    /// The job of a request turns out to have been sent before the request's own first attempt: by another request with
    /// its key or id, or by another process.
    EarlierAttempt {
        /// The request.
        request: RequestId,
        /// The first send.
        earlier: EarlierAttempt,
    },
    /// An attempt of a request may have reached another endpoint than the one it was sent to: it is not known in which
    /// group it may have run.
    GroupUnknown(RequestId),
    /// More of an incomplete body has been sent to an endpoint than is kept: no further attempt is
    /// possible.
    BodyNotReplayable(RequestId),
    /// All of an incomplete body has arrived on this machine, where most of it may wait to be sent on; the request's time
    /// starts now. Without time left it is to be answered as soon as its attempts have ended.
    BodyArrived {
        /// The request.
        request: RequestId,
        /// Time until the client gives up on this request.
        time_left: Duration,
    },
    /// An incomplete body has been received completely; the request's time starts now, unless it has started.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// Time until the client gives up on this request.
        time_left: Duration,
    },
    /// A streamed answer has started; from now on the attempt belongs to the client.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Bytes of an attempt's answer have arrived, and more are to come. Repeated from time to time while they do.
    AnswerProgress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client has left, or its answer is overdue; no answer is expected any more.
    RequestAbandoned(RequestId),
    /// A timer expired.
    Timer(TimerToken),
    /// A probe ended.
    ProbeEnded {
        /// The probed endpoint.
        endpoint: EndpointId,
        /// The result.
        outcome: Outcome,
        /// Time since sending.
        elapsed: Duration,
        /// The values of [`LoadReports::fields`](crate::LoadReports::fields), if any came.
        report: Option<Vec<f64>>,
    },
    /// An operator bans an endpoint or lifts its ban; it need not be in the list.
    Ban {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it is banned now.
        banned: bool,
    },
    /// What may be sent to zones from now on. It replaces all previous limits; zones that are not named are
    /// open.
    Zones(ZoneAdmissions),
    /// A message from another balancer of this tier.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// The content of the message.
        payload: Vec<u8>,
    },
}

impl Event {
    /// A plain request of class 0 and tenant 0.
    pub fn request(id: RequestId, time_left: Duration) -> Self {
        Event::Request(Request {
            id,
            class: ClassId(0),
            tenant: TenantId(0),
            time_left,
            work_hint: None,
            key: None,
            client_retry: false,
            body_incomplete: false,
            write: false,
            earlier_attempt: None,
        })
    }
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Time until the client gives up on this request.
    pub time_left: Duration,
    /// Expected work on a standard core, where known.
    pub work_hint: Option<Duration>,
    /// Identifies what it concerns; requests with the same key belong together.
    pub key: Option<u64>,
    /// The client marked it as a retry.
    pub client_retry: bool,
    /// Its body is long and not received completely: its time starts with [`Event::BodyComplete`].
    pub body_incomplete: bool,
    /// It is a write.
    pub write: bool,
    /// An attempt of the same job that may have run already, made by another process or for another
    /// request.
    pub earlier_attempt: Option<EarlierAttempt>,
}

/// An attempt of a keyed job that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EarlierAttempt {
    /// The zone to which it was sent.
    pub zone: ZoneId,
    /// The cell to which it was sent.
    pub cell: CellId,
    /// When it was sent: the window in which endpoints drop repetitions starts then.
    pub sent: Duration,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The endpoint to which it was sent.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since sending.
    pub elapsed: Duration,
    /// Whether the request is finished, by this outcome or before it.
    pub finished: bool,
    /// The values of [`LoadReports::fields`](crate::LoadReports::fields), if any came.
    pub report: Option<Vec<f64>>,
}

/// The ways an attempt or probe can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Rejected without being processed.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// This machine itself could open no connection: it lacks a descriptor, port, memory or route for it.
    /// This says nothing about the endpoint.
    LocalFault,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::LocalFault | Outcome::NotSent)
    }
}
