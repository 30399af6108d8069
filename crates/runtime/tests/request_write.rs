//! Properties of a request's write: whatever pieces the writer hands over and the kernel takes, each byte is written once
//! and in order, and the last one only after a check and behind nothing that waits on this machine.

use curlewhub_balance::AttemptNo;
use curlewhub_runtime::repeat_window::RepeatWindow;
use curlewhub_runtime::request_write::{RequestByte, RequestWrite, total_len, truncated};
use proptest::collection::vec;
use proptest::prelude::*;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::IoSlice;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Steps after which a write must have ended.
const MAX_STEPS: usize = 10_000;

/// How a request is handed over, written and forbidden.
#[derive(Clone, Debug)]
struct Plan {
    head: usize,
    pieces: Vec<usize>,
    /// By step, how many bytes the kernel takes.
    taken: Vec<usize>,
    /// By step, whether bytes that were written wait on this machine.
    unsent: Vec<bool>,
    /// The first step at which the request is forbidden; none if it never is.
    forbidden_from: Option<usize>,
}

/// What happened to a request.
struct Written {
    bytes: Vec<u8>,
    checks: Vec<RequestByte>,
    was_rejected: bool,
    is_complete: bool,
    /// The last byte was written while others waited on this machine, or without a check at that step.
    is_unsafe: bool,
    fully_sent: bool,
}

fn plan() -> impl Strategy<Value = Plan> {
    let head = prop_oneof![1..200usize, 1300..1500usize, 1..5000usize];
    let forbidden_from = prop_oneof![Just(None), (0..40usize).prop_map(Some)];
    (head, vec(1..3000usize, 0..5), vec(0..2500usize, 1..12), vec(any::<bool>(), 1..12), forbidden_from)
        .prop_map(|(head, pieces, taken, unsent, forbidden_from)| Plan {
            head,
            pieces,
            taken,
            unsent,
            forbidden_from,
        })
}

/// At this step of a sequence that repeats itself.
fn at<T: Copy>(values: &[T], step: usize) -> T {
    values[step % values.len()]
}

async fn write(plan: &Plan) -> Written {
    let (step, checks) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
    let checked_at = Rc::new(Cell::new(None));
    let check = {
        let (step, checks, checked_at) = (step.clone(), checks.clone(), checked_at.clone());
        let forbidden_from = plan.forbidden_from;
        move |byte| {
            checks.borrow_mut().push(byte);
            checked_at.set(Some(step.get()));
            forbidden_from.is_none_or(|from| step.get() < from)
        }
    };
    let fully_sent = Rc::new(Cell::new(false));
    let has_body = !plan.pieces.is_empty();
    let mut request = RequestWrite::new(Box::new(check), has_body, fully_sent.clone(), None);
    let total = plan.head + plan.pieces.iter().sum::<usize>();
    let mut left = plan.pieces.clone();
    let byte = |offset: usize| (offset % 251) as u8;
    let mut handed_over: Vec<u8> = (0..plan.head).map(byte).collect();
    let (mut bytes, mut was_rejected, mut is_unsafe) = (Vec::new(), false, false);
    while !request.is_complete() && !was_rejected && step.get() < MAX_STEPS {
        step.set(step.get() + 1);
        if !left.is_empty() && step.get() % 2 == 0 {
            let (from, length) = (handed_over.len(), left.remove(0));
            handed_over.extend((from..from + length).map(byte));
            if left.is_empty() {
                request.handed_over();
            }
        }
        let pending: Vec<u8> = handed_over[bytes.len()..].to_vec();
        if pending.is_empty() {
            continue;
        }
        let middle = pending.len() / 3;
        let parts = [IoSlice::new(&pending[..middle]), IoSlice::new(&pending[middle..])];
        let remaining = total_len(&parts);
        let unsent = at(&plan.unsent, step.get()) && step.get() % 7 != 0;
        let allowed = poll_fn(|cx| {
            let sent = |_: &mut Context<'_>| if unsent { Poll::Pending } else { Poll::Ready(()) };
            Poll::Ready(request.poll_allowed(cx, remaining, sent))
        });
        let allowed = match allowed.await {
            Poll::Pending => {
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
            Poll::Ready(Err(_)) => {
                was_rejected = true;
                continue;
            }
            Poll::Ready(Ok(allowed)) => allowed,
        };
        let taken = allowed.min(at(&plan.taken, step.get()).max(usize::from(step.get() % 5 == 0)));
        let written: Vec<u8> =
            truncated(&parts, taken).iter().flat_map(|part| part.iter().copied()).collect();
        assert_eq!(written.len(), taken);
        let is_last = bytes.len() + taken == total;
        let is_whole = taken == total;
        is_unsafe |= is_last && (checked_at.get() != Some(step.get()) || unsent && !is_whole);
        bytes.extend(written);
        request.record(taken, remaining);
    }
    Written {
        bytes,
        checks: checks.take(),
        was_rejected,
        is_complete: request.is_complete(),
        is_unsafe,
        fully_sent: fully_sent.get(),
    }
}

/// One event of a request's attempts.
#[derive(Clone, Copy, Debug)]
enum Event {
    Begins(u32),
    NeverRan(u32),
    Passes(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..4u32).prop_map(Event::Begins),
        (0..4u32).prop_map(Event::NeverRan),
        (1..400u64).prop_map(Event::Passes)
    ]
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap().block_on(future)
}

proptest! {
    #[test]
    fn the_last_byte_of_a_request_is_written_only_while_it_is_allowed_and_behind_nothing_unsent(plan in plan()) {
        let written = run(write(&plan));
        let total = plan.head + plan.pieces.iter().sum::<usize>();
        let expected: Vec<u8> = (0..total).map(|offset| (offset % 251) as u8).collect();
        prop_assert!(written.is_complete || written.was_rejected, "the write ends");
        prop_assert!(!written.is_unsafe, "{:?}", written.checks);
        prop_assert_eq!(&written.bytes[..], &expected[..written.bytes.len()]);
        prop_assert_eq!(written.is_complete, written.bytes.len() == total);
        prop_assert_eq!(written.fully_sent, written.is_complete);
        prop_assert!(written.checks[0].is_first(), "the first byte is checked");
        let last_checks = written.checks.iter().filter(|byte| byte.is_last()).count();
        prop_assert!(!written.is_complete || last_checks > 0, "the last byte is checked");
    }

    #[test]
    fn each_attempt_begins_within_the_window_of_the_first_other_one_that_may_have_run(
        events in vec(event(), 1..40),
        length in prop_oneof![Just(None), (100..1500u64).prop_map(Some)],
    ) {
        run(async {
            let length = length.map(Duration::from_millis);
            let (window, mut begun) = (RepeatWindow::new(length), Vec::<(u32, Instant)>::new());
            for event in events {
                match event {
                    Event::Begins(attempt) => {
                        window.record_begin(AttemptNo(attempt));
                        begun.retain(|(other, _)| *other != attempt);
                        begun.push((attempt, Instant::now()));
                    }
                    Event::NeverRan(attempt) => {
                        window.forget(AttemptNo(attempt));
                        begun.retain(|(other, _)| *other != attempt);
                    }
                    Event::Passes(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                }
                for attempt in 0..4 {
                    let others = begun.iter().filter(|(other, _)| *other != attempt);
                    let end = others.map(|(_, at)| *at).min().and_then(|at| Some(at + length?));
                    assert_eq!(window.ends_at(AttemptNo(attempt)), end);
                }
            }
        });
    }
}
