//! Which attempts of a request may still be written, over all ends that it can have, beside a record of its own.

use curlewhub_balance::AttemptNo;
use curlewhub_runtime::request_status::{RequestEnd, RequestStatus};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

const ATTEMPTS: u32 = 4;

fn draw_end(random: &mut Pcg32) -> RequestEnd {
    match random.random_range(0..4) {
        0 => RequestEnd::Served(AttemptNo(random.random_range(0..ATTEMPTS))),
        1 => RequestEnd::Refused,
        2 => RequestEnd::Failed,
        _ => RequestEnd::Abandoned,
    }
}

/// Whether a wait for the end of an attempt is over.
fn is_forbidden(status: &RequestStatus, attempt: AttemptNo) -> bool {
    let wait = pin!(status.forbids(attempt));
    wait.poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

/// Guards against a request that ends twice, and against an attempt that is written after it, or stopped before.
#[test]
fn the_first_end_decides_and_only_the_attempt_that_serves_goes_on_until_the_client_leaves() {
    for seed in 0..500 {
        let (mut random, status) = (Pcg32::seed_from_u64(seed), RequestStatus::default());
        let mut ends: Vec<RequestEnd> = Vec::new();
        for _ in 0..random.random_range(0..6) {
            let end = draw_end(&mut random);
            status.record_end(end);
            ends.push(end);
            let is_abandoned = ends.contains(&RequestEnd::Abandoned);
            let expected = if is_abandoned { Some(RequestEnd::Abandoned) } else { ends.first().copied() };
            assert_eq!(status.end(), expected, "seed {seed}: {ends:?}");
            assert_eq!(status.is_abandoned(), is_abandoned, "seed {seed}: {ends:?}");
            for attempt in (0..ATTEMPTS).map(AttemptNo) {
                let goes_on = !is_abandoned && ends[0] == RequestEnd::Served(attempt);
                assert_eq!(status.allows(attempt), goes_on, "seed {seed}: {attempt:?} after {ends:?}");
                assert_eq!(is_forbidden(&status, attempt), !goes_on, "seed {seed}: {attempt:?}");
            }
        }
        if ends.is_empty() {
            assert!((0..ATTEMPTS).map(AttemptNo).all(|attempt| status.allows(attempt)));
        }
    }
}

/// Guards against a wait that misses an end which is recorded while it waits.
#[test]
fn a_wait_is_over_as_soon_as_the_end_is_recorded() {
    let status = RequestStatus::default();
    let mut wait = pin!(status.forbids(AttemptNo(0)));
    let mut context = Context::from_waker(Waker::noop());
    assert!(wait.as_mut().poll(&mut context).is_pending());
    status.record_end(RequestEnd::Served(AttemptNo(0)));
    assert!(wait.as_mut().poll(&mut context).is_pending(), "its own answer is on its way");
    status.record_end(RequestEnd::Abandoned);
    assert!(wait.as_mut().poll(&mut context).is_ready());
}
