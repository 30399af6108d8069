//! The processor time and the memory that something takes.

use super::Effort;
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeValLike;
use std::hint::black_box;

/// Bytes of a page of memory, where the system does not say.
const PAGE_BYTES: u64 = 4096;
/// A batch is repeated until it has taken so much processor time, which the clock's steps of microseconds don't blur.
const BATCH_MICROSECONDS: i64 = 20_000;
/// Of so many batches the quickest counts: what others on the machine do only ever adds.
const BATCHES: usize = 5;

/// Microseconds of processor time that this thread has used.
pub fn thread_microseconds() -> i64 {
    getrusage(UsageWho::RUSAGE_THREAD)
        .map_or(0, |usage| usage.user_time().num_microseconds() + usage.system_time().num_microseconds())
}

/// Microseconds of processor time that one call of `work` takes: the quickest batch's mean.
pub fn microseconds_each<T>(effort: Effort, mut work: impl FnMut() -> T) -> f64 {
    let (batches, lasts) = match effort {
        Effort::Whole => (BATCHES, BATCH_MICROSECONDS),
        Effort::Small => (1, 0),
    };
    let batch = |work: &mut dyn FnMut() -> T| {
        let before = thread_microseconds();
        let mut calls = 0_u32;
        loop {
            black_box(work());
            calls += 1;
            let took = thread_microseconds() - before;
            if took >= lasts {
                return took as f64 / f64::from(calls);
            }
        }
    };
    (0..batches).map(|_| batch(&mut work)).fold(f64::MAX, f64::min)
}

/// Bytes of this process's memory that are resident.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Resident bytes for each of `count` things that `make` makes.
pub fn bytes_each<T>(count: usize, make: impl FnMut(usize) -> T) -> f64 {
    let before = resident_bytes();
    let made: Vec<T> = (0..count).map(make).collect();
    let after = resident_bytes();
    drop(black_box(made));
    after.saturating_sub(before) as f64 / count as f64
}
