//! The actions that a balancer requests.

use super::{AttemptNo, EndpointId, RequestId, TimerToken};
use std::time::Duration;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Give up on the attempt after this long.
        timeout: Duration,
    },
    /// Final answer: refused; a retry by the client is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client is advised to wait.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, without any promise about a retry.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Wake the balancer with [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Returned with the event.
        token: TimerToken,
        /// The delay from now.
        after: Duration,
    },
    /// Cancel a timer that would have no effect any more. A caller that can't cancel it may let it fire.
    CancelTimer {
        /// The token with which it was set.
        token: TimerToken,
    },
    /// Start or stop following changes of the endpoint list.
    Watch(bool),
    /// Fetch the complete endpoint list once.
    FetchList,
    /// Query the load of an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A log line for operators.
    Log(String),
}
