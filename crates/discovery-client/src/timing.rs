//! The times that bound how old the list may get. One rule is behind them: what discovery has counts as notified
//! [`NOTIFIED_WITHIN`] after it could be had, whatever failed, was refused or was given up before.

use std::time::Duration;

/// The protocol's figure: a change counts as notified this long after discovery had it and could be reached.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// The operators' figure: where discovery is asked, a change that should have come on a watch counts as notified this
/// long after the watch's end.
pub const NOTIFIED_AFTER_WATCH_END: Duration = Duration::from_secs(2);
/// The operators' figure: what a new server has counts as notified this long after the configuration that names it.
pub const NOTIFIED_AFTER_SERVER_CHANGE: Duration = Duration::from_secs(4);
/// The process may be held up for this long between a look at its clock and a write.
pub const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
/// Beyond that, what a clock's reading and a scheduler's turn may blur.
pub const LEASE_SLACK: Duration = Duration::from_millis(50);

/// Calls that are held and then refused, or bring nothing, are a sign of an outage for this long; the longest outage that
/// the operators' pages name.
pub const LONGEST_OUTAGE: Duration = Duration::from_secs(8);
/// A call that is refused within this was not held until a limit.
pub const IMMEDIATE_REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// A call that has not brought a whole list, or a watch's first line, by then has failed. Calls wait in turn for up to
/// 3 s at the sites known, and to leave just before the turn comes gives up a place in the queue.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3200);
/// A call that has brought nothing for so long may be lost in an outage that is over: a second one begins beside it, and
/// the first keeps its turn in discovery's queue. The first that opens is taken.
pub const SECOND_CALL_AFTER: Duration = Duration::from_millis(2750);
/// Calls to one server for a watch that are out at once, at the most: a third begins when the first has ended.
pub const MAX_WATCH_CALLS: usize = 2;
/// Of a call's time, so much at the most for the connection: where nobody is there, nothing ever answers.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch brings at least an empty line every 2 s, by the protocol: one silent for this long is dead, as that of a
/// machine cut off is, which nothing else would ever tell.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// A line that has begun is whole within this, however steadily its bytes come.
pub const LINE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A list that is still incomplete after this long may have broken off: departures in it count now, as they must get nothing new within a quarter of a second ...
pub const PARTIAL_LIST_AFTER: Duration = Duration::from_millis(100);
/// ... and once it has paused for this long it has, and is asked for again.
pub const PAUSE_TIMEOUT: Duration = Duration::from_millis(700);

/// New configurations that come closer together than this are one move: each call to a server that is left again takes
/// a turn of discovery's queue in vain.
pub const SERVER_CHANGE_DEBOUNCE: Duration = Duration::from_millis(500);
/// However many come, a server is called this long after the first of them: an answer has to be there within
/// [`NOTIFIED_AFTER_SERVER_CHANGE`].
pub const SERVER_CHANGE_DEBOUNCE_LIMIT: Duration = Duration::from_millis(1000);

/// The longest wait behind a call that failed at once ...
pub const MAX_BACKOFF: Duration = Duration::from_millis(1500);
/// ... and behind one that took longer than that, or a watch that was up: only so that callers spread a little.
pub const MAX_JITTER: Duration = Duration::from_millis(150);

// The worst chains, from discovery's being there on: a wait behind a call that failed just before; a watch that falls
// silent behind its last line; one that trickles; a call that hangs and was made just before. Then a call that takes all
// its time. docs/design/0018-discovery-load.md has them all.
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
// A call behind the last of several moves waits in turn for up to 3 s.
const _: () =
    assert!(SERVER_CHANGE_DEBOUNCE_LIMIT.as_millis() + 3000 <= NOTIFIED_AFTER_SERVER_CHANGE.as_millis());
