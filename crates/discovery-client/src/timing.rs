//! The durations that bound how old the list may get. They follow from one rule: a change counts as notified
//! [`NOTIFIED_WITHIN`] after discovery had it and could be reached, whatever calls failed, were refused or were
//! cancelled before.

use std::time::Duration;

/// Specified by the protocol: a change counts as notified this long after discovery had it and could be reached.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// Specified by the operators: in ask mode, a change that should have arrived on a watch counts as notified this long
/// after the end of the watch.
pub const NOTIFIED_AFTER_WATCH_END: Duration = Duration::from_secs(2);
/// Specified by the operators: the list of a new server counts as notified this long after the configuration that names
/// the server.
pub const NOTIFIED_AFTER_SERVER_CHANGE: Duration = Duration::from_secs(4);
/// How long the process may be stalled between reading its clock and writing to a connection.
pub const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
/// Additional tolerance for the inaccuracy of clock readings and scheduling.
pub const LEASE_SLACK: Duration = Duration::from_millis(50);

/// Calls that are held and then refused, or are not answered, are a sign of an outage for at most this long. It is the
/// longest outage that the operators' documents name.
pub const LONGEST_OUTAGE: Duration = Duration::from_secs(8);
/// A call refused within this time was refused at once, and not held until a time limit.
pub const IMMEDIATE_REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// A call fails if it has not received a whole list, or the first line of a watch, within this time. Calls wait in
/// discovery's queue for up to 3 s at the known sites, and a shorter timeout would lose the place in the queue just
/// before the call is served.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3200);
/// A call without an answer for this long may have been lost in an outage that is over. A second call is started, while
/// the first keeps its place in discovery's queue. The one that opens first is used.
pub const SECOND_CALL_AFTER: Duration = Duration::from_millis(2750);
/// The maximum number of pending watch calls to one server. A third starts when the first has ended.
pub const MAX_WATCH_CALLS: usize = 2;
/// The maximum part of a call's time for establishing the connection: an absent host never answers at all.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch on which nothing was received for this long is dead. The protocol requires at least an empty line every 2
/// s, and nothing else shows that the host of a watch is cut off.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// A line must be complete within this time after its first byte, even if further bytes keep arriving.
pub const LINE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A list that is still incomplete after this long may be truncated. Departures in it are applied then, because such
/// endpoints must get no new requests after a quarter of a second.
pub const PARTIAL_LIST_AFTER: Duration = Duration::from_millis(100);
/// An incomplete list that has paused for this long is truncated, and is requested again.
pub const PAUSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Configurations that follow each other faster than this count as one server change, because each call to a server
/// that is replaced again takes a place in discovery's queue in vain.
pub const SERVER_CHANGE_DEBOUNCE: Duration = Duration::from_millis(500);
/// The newest server is called this long after the first of them at the latest, however many follow: the answer has to
/// arrive within [`NOTIFIED_AFTER_SERVER_CHANGE`].
pub const SERVER_CHANGE_DEBOUNCE_LIMIT: Duration = Duration::from_millis(1000);

/// The maximum wait after a call that failed at once.
pub const MAX_BACKOFF: Duration = Duration::from_millis(1500);
/// The maximum wait after a call that took longer than [`MAX_BACKOFF`], or after an open watch ended. It only spreads
/// the callers.
pub const MAX_JITTER: Duration = Duration::from_millis(150);

// The worst sequences after discovery has recovered: the wait after a call that failed just before; a watch that is
// silent after its last line; a watch whose line arrives too slowly; a hanging call that was made just before. Each
// is followed by a call that takes all its time. docs/design/0018-discovery-load.md lists all of them.
const _: () = assert!(MAX_BACKOFF.as_millis() + CALL_TIMEOUT.as_millis() < NOTIFIED_WITHIN.as_millis());
const _: () = assert!(
    WATCH_SILENCE_TIMEOUT.as_millis() + MAX_JITTER.as_millis() + CALL_TIMEOUT.as_millis()
        < NOTIFIED_WITHIN.as_millis()
);
const _: () = assert!(
    LINE_TIMEOUT.as_millis() + MAX_JITTER.as_millis() + CALL_TIMEOUT.as_millis()
        < NOTIFIED_WITHIN.as_millis()
);
const _: () =
    assert!(SECOND_CALL_AFTER.as_millis() + CALL_TIMEOUT.as_millis() < NOTIFIED_WITHIN.as_millis());
const _: () = assert!(CALL_TIMEOUT.as_millis() < SECOND_CALL_AFTER.as_millis() * MAX_WATCH_CALLS as u128);
const _: () = assert!(CONNECT_TIMEOUT.as_millis() <= CALL_TIMEOUT.as_millis());
// A call after the last of several server changes waits in discovery's queue for up to 3 s.
const _: () =
    assert!(SERVER_CHANGE_DEBOUNCE_LIMIT.as_millis() + 3000 <= NOTIFIED_AFTER_SERVER_CHANGE.as_millis());
