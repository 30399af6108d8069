//! Memory for long messages: reserved before it is allocated, and released when the bytes are dropped.

use curlewhub_runtime::message_memory::{BodyBuffer, MessageMemory, PIECE_LEN, Purpose};
use curlewhub_runtime::stream_window::StreamWindow;
use hyper::body::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Waker};

const KIB: usize = 1024;
const SEED: u64 = 66;

fn memory(kib: usize) -> Arc<MessageMemory> {
    let memory = Arc::new(MessageMemory::default());
    memory.set_limit_kib(kib);
    memory
}

fn reserved_kib(memory: &MessageMemory) -> usize {
    memory.usage_kib().1
}

#[test]
fn a_short_body_reserves_nothing_and_a_long_one_whole_pieces() {
    let memory = memory(64);
    let mut buffer = BodyBuffer::new(&memory, Purpose::AnswerOrHead);
    assert_eq!(buffer.push(&[1; BodyBuffer::SHORT_LEN]), BodyBuffer::SHORT_LEN);
    assert_eq!(reserved_kib(&memory), 0);
    assert_eq!(buffer.push(&[2; PIECE_LEN + 1]), PIECE_LEN + 1);
    assert_eq!(reserved_kib(&memory), 2 * PIECE_LEN / KIB);
}

#[test]
fn a_buffer_takes_only_what_there_is_memory_for() {
    let memory = memory(2 * PIECE_LEN / KIB);
    let mut buffer = BodyBuffer::new(&memory, Purpose::AnswerOrHead);
    let fits = BodyBuffer::SHORT_LEN + 2 * PIECE_LEN;
    assert_eq!(buffer.push(&vec![3; fits + 100]), fits);
    assert_eq!((buffer.len(), buffer.push(&[4])), (fits, 0));
}

#[test]
fn bytes_come_out_as_they_went_in_and_release_their_memory_once_all_copies_are_gone() {
    let memory = memory(1024);
    let mut random = StdRng::seed_from_u64(SEED);
    for _ in 0..50 {
        let length = random.random_range(0..100_000);
        let body: Vec<u8> = (0..length).map(|_| random.random()).collect();
        let mut buffer = BodyBuffer::new(&memory, Purpose::RequestBody);
        let mut rest = &body[..];
        while !rest.is_empty() {
            let (now, later) = rest.split_at(random.random_range(1..=rest.len()));
            assert_eq!(buffer.push(now), now.len());
            rest = later;
        }
        let pieces = buffer.into_pieces();
        let copies = pieces.clone();
        drop(pieces);
        assert_eq!(reserved_kib(&memory) > 0, length > BodyBuffer::SHORT_LEN);
        assert!(copies.concat() == body);
        drop(copies);
        assert_eq!(reserved_kib(&memory), 0);
    }
}

#[test]
fn request_bodies_and_larger_read_buffers_leave_memory_for_answers_and_heads() {
    let memory = memory(400);
    let larger = memory.try_reserve(200 * KIB, Purpose::GrownBuffer).unwrap();
    assert!(memory.try_reserve(KIB, Purpose::GrownBuffer).is_none());
    let body = memory.try_reserve(100 * KIB, Purpose::RequestBody).unwrap();
    assert!(memory.try_reserve(KIB, Purpose::RequestBody).is_none());
    let answer = memory.try_reserve(100 * KIB, Purpose::AnswerOrHead).unwrap();
    assert!(memory.try_reserve(1, Purpose::AnswerOrHead).is_none());
    drop((larger, body, answer));
    assert_eq!(reserved_kib(&memory), 0);
}

#[tokio::test]
async fn a_wait_for_memory_ends_when_enough_is_released_or_the_limit_is_raised() {
    let memory = memory(100);
    let first = memory.try_reserve(60 * KIB, Purpose::AnswerOrHead).unwrap();
    let waiting = tokio::spawn(memory.clone().reserve(50 * KIB, Purpose::AnswerOrHead));
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    drop(first);
    let second = waiting.await.unwrap();
    let waiting = tokio::spawn(memory.clone().reserve(100 * KIB, Purpose::AnswerOrHead));
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    memory.set_limit_kib(150);
    drop((waiting.await.unwrap(), second));
}

#[test]
fn a_lower_limit_revokes_nothing_and_allows_nothing_until_enough_is_released() {
    let memory = memory(100);
    let first = memory.try_reserve(60 * KIB, Purpose::AnswerOrHead).unwrap();
    let second = memory.try_reserve(40 * KIB, Purpose::AnswerOrHead).unwrap();
    memory.set_limit_kib(50);
    drop(first);
    assert!(memory.try_reserve(20 * KIB, Purpose::AnswerOrHead).is_none());
    drop(second);
    assert!(memory.try_reserve(20 * KIB, Purpose::AnswerOrHead).is_some());
}

#[tokio::test]
async fn a_window_is_ready_again_once_chunks_are_written_or_dropped() {
    let window = StreamWindow::default();
    let is_ready = || window.poll_ready(&mut Context::from_waker(Waker::noop())).is_ready();
    let long = || Bytes::from(vec![5; 60_000]);
    let chunk = window.add(long());
    assert!(!is_ready());
    let copy = chunk.slice(59_999..);
    drop(chunk);
    assert!(!is_ready(), "a part of the chunk still keeps it in memory");
    let (ready, ()) = tokio::join!(poll_fn(|cx| window.poll_ready(cx)), async { drop(copy) });
    assert_eq!(ready, ());
    assert!(is_ready());
}

#[test]
fn many_short_chunks_fit_into_a_window_and_keep_no_long_buffer() {
    let window = StreamWindow::default();
    let buffer = Bytes::from(vec![6; 60_000]);
    let chunks: Vec<Bytes> = (0..20).map(|at| window.add(buffer.slice(at..at + 1))).collect();
    assert!(window.poll_ready(&mut Context::from_waker(Waker::noop())).is_ready());
    assert!(buffer.is_unique() && chunks.concat() == [6; 20]);
}
