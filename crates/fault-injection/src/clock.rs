//! The wall clock, which may be stepped, and the monotonic one, which is left as it is.

use crate::real::Real;
use crate::state::clock_offset_ms;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};

const MILLISECONDS_IN_A_SECOND: i64 = 1000;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
static CLOCK_GETTIME: Real<ClockGettime> =
    // SAFETY: this is the type of `clock_gettime` (clock_gettime(3)).
    unsafe { Real::new(c"clock_gettime") };

type Gettimeofday = unsafe extern "C" fn(*mut timeval, *mut c_void) -> c_int;
static GETTIMEOFDAY: Real<Gettimeofday> =
    // SAFETY: this is the type of `gettimeofday` (gettimeofday(2)).
    unsafe { Real::new(c"gettimeofday") };

fn read(clock: clockid_t) -> timespec {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for writes.
    unsafe { CLOCK_GETTIME.get()(clock, &mut time) };
    time
}

/// Nanoseconds of CLOCK_MONOTONIC.
pub fn monotonic_ns() -> u64 {
    let now = read(libc::CLOCK_MONOTONIC);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// Seconds and units below them, so many of which are a second, with the offset of the wall clock.
fn stepped(seconds: i64, below: i64, units_in_a_second: i64) -> (i64, i64) {
    let offset = clock_offset_ms();
    let below = below
        + offset.rem_euclid(MILLISECONDS_IN_A_SECOND) * (units_in_a_second / MILLISECONDS_IN_A_SECOND);
    let seconds = seconds + offset.div_euclid(MILLISECONDS_IN_A_SECOND) + below / units_in_a_second;
    (seconds, below % units_in_a_second)
}

/// In front of `clock_gettime`.
///
/// # Safety
/// As for `clock_gettime`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments go on as they are.
    let result = unsafe { CLOCK_GETTIME.get()(clock, time) };
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        // SAFETY: the call has succeeded, so that `time` is valid and written.
        let time = unsafe { &mut *time };
        (time.tv_sec, time.tv_nsec) = stepped(time.tv_sec, time.tv_nsec, 1_000_000_000);
    }
    result
}

/// In front of `gettimeofday`.
///
/// # Safety
/// As for `gettimeofday`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn gettimeofday(time: *mut timeval, zone: *mut c_void) -> c_int {
    // SAFETY: the caller's arguments go on as they are.
    let result = unsafe { GETTIMEOFDAY.get()(time, zone) };
    if result != 0 {
        return result;
    }
    // SAFETY: `time` is null, or valid and written, since the call has succeeded.
    if let Some(time) = unsafe { time.as_mut() } {
        (time.tv_sec, time.tv_usec) = stepped(time.tv_sec, time.tv_usec, 1_000_000);
    }
    result
}

/// In front of `time`.
///
/// # Safety
/// As for `time`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn time(place: *mut time_t) -> time_t {
    let now = read(libc::CLOCK_REALTIME);
    let (seconds, _) = stepped(now.tv_sec, now.tv_nsec, 1_000_000_000);
    // SAFETY: the caller gives null or a place that is valid for writes.
    if let Some(place) = unsafe { place.as_mut() } {
        *place = seconds;
    }
    seconds
}
