//! The schedule in the struck process, and what it says of a call.

use crate::clock::monotonic_ns;
use crate::descriptors;
use curlewhub_fault_schedule::{
    CONTROL_BYTES, Call, Effect, Entry, EntryWord, Errno, Origin, SCHEDULE_VARIABLE, Schedule, Switch,
    Target,
};
use std::ffi::{OsStr, c_int};
use std::fs::File;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// Words of the control file.
const CONTROL_WORDS: usize = CONTROL_BYTES / size_of::<u64>();

/// What the library holds for as long as the process runs.
struct State {
    schedule: Schedule,
    control: &'static [AtomicU64; CONTROL_WORDS],
    started_ns: u64,
}

/// Null while nothing is struck: before the schedule is read, and in programs that it does not name.
static STATE: AtomicPtr<State> = AtomicPtr::new(std::ptr::null_mut());

/// What is to become of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on as it is.
    Pass,
    /// It fails with this error.
    Fails(c_int),
    /// It carries no more than so many bytes.
    Short(usize),
    /// It writes no more than so many bytes, and is the last one.
    Torn(usize),
}

/// What a call is about.
#[derive(Clone, Copy)]
pub enum Subject<'a> {
    /// Nothing in particular.
    None,
    /// An open descriptor.
    Descriptor(c_int),
    /// A descriptor that is being connected to this address.
    Towards(Option<SocketAddr>),
    /// A path.
    Path(&'a Path),
}

/// Run by the dynamic linker before the program's `main`.
#[used]
// SAFETY: the section holds pointers to functions of this type, which the dynamic linker calls in order.
#[unsafe(link_section = ".init_array")]
static START: extern "C" fn() = start;

extern "C" fn start() {
    let Some(path) = std::env::var_os(SCHEDULE_VARIABLE) else { return };
    match load(Path::new(&path)) {
        Ok(Some(state)) => STATE.store(Box::into_raw(Box::new(state)), Ordering::Release),
        Ok(None) => {}
        Err(problem) => {
            // A test that would run without its faults is worse than one that does not run.
            eprintln!("fault injection: {}: {problem}", path.display());
            std::process::abort();
        }
    }
}

/// Reads the schedule; nothing where it names another program.
fn load(path: &Path) -> std::io::Result<Option<State>> {
    let schedule: Schedule = serde_json::from_slice(&std::fs::read(path)?)?;
    let program = std::env::current_exe()?;
    if schedule.program.as_ref().is_some_and(|name| program.file_name() != Some(OsStr::new(name))) {
        return Ok(None);
    }
    let control = map(&path.with_extension("control"))?;
    Ok(Some(State { schedule, control, started_ns: monotonic_ns() }))
}

/// Maps the control file for as long as the process runs.
fn map(path: &Path) -> std::io::Result<&'static [AtomicU64; CONTROL_WORDS]> {
    let file = File::options().read(true).write(true).open(path)?;
    if file.metadata()?.len() < CONTROL_BYTES as u64 {
        return Err(std::io::Error::other("its control file is too short"));
    }
    // SAFETY: a new mapping at an address that the kernel chooses touches no other memory.
    let address = unsafe {
        libc::mmap(
            std::ptr::null_mut(),
            CONTROL_BYTES,
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            file.as_raw_fd(),
            0,
        )
    };
    if address == libc::MAP_FAILED {
        return Err(std::io::Error::last_os_error());
    }
    // SAFETY: the mapping is CONTROL_BYTES long, aligned to a page and never unmapped; the file is as long, and is
    // never cut. Atomic words may be changed by others at any time, and any bytes are a word.
    Ok(unsafe { &*address.cast::<[AtomicU64; CONTROL_WORDS]>() })
}

/// The state, unless nothing is struck in this process.
fn state() -> Option<&'static State> {
    // SAFETY: the pointer is null or comes from a box that is never freed nor changed.
    unsafe { STATE.load(Ordering::Acquire).as_ref() }
}

impl State {
    fn word(&self, entry: usize, word: EntryWord) -> &AtomicU64 {
        &self.control[word.index(entry)]
    }

    /// Nanoseconds since the origin; nothing before it.
    fn elapsed_ns(&self) -> Option<u64> {
        let origin = match self.schedule.origin {
            Origin::ProcessStart => self.started_ns,
            Origin::Activation => self.control[0].load(Ordering::Acquire),
        };
        if origin == 0 { None } else { monotonic_ns().checked_sub(origin) }
    }

    fn is_on(&self, number: usize, entry: &Entry) -> bool {
        let switch = self.word(number, EntryWord::Switch).load(Ordering::Acquire);
        if switch != Switch::ByTime as u64 {
            return switch == Switch::On as u64;
        }
        let Some(elapsed_ms) = self.elapsed_ns().map(|elapsed| elapsed / 1_000_000) else { return false };
        elapsed_ms >= entry.from_ms && entry.to_ms.is_none_or(|to| elapsed_ms < to)
    }

    /// Counts a call that fits an entry; whether it is struck.
    fn strikes(&self, number: usize, entry: &Entry) -> bool {
        let call = self.word(number, EntryWord::Seen).fetch_add(1, Ordering::AcqRel);
        if !entry.strikes_call(self.schedule.seed, number, call) {
            return false;
        }
        let most = entry.at_most.unwrap_or(u64::MAX);
        let one_more = |struck: u64| (struck < most).then(|| struck + 1);
        let struck = self.word(number, EntryWord::Struck);
        struck.fetch_update(Ordering::AcqRel, Ordering::Acquire, one_more).is_ok()
    }
}

/// What is to become of a call that carries so many bytes.
pub fn verdict(call: Call, subject: Subject<'_>, length: usize) -> Verdict {
    let Some(state) = state() else { return Verdict::Pass };
    let before = crate::real::errno();
    let verdict = decide(state, call, subject, length);
    crate::real::fail(before); // the look at the descriptor is not to be seen
    verdict
}

fn decide(state: &State, call: Call, subject: Subject<'_>, length: usize) -> Verdict {
    for (number, entry) in state.schedule.entries.iter().enumerate() {
        let cuts = !matches!(entry.effect, Effect::Short { bytes } if length <= bytes);
        let fits = entry.calls.contains(&call) && cuts && state.is_on(number, entry);
        if !fits || !is_target(&entry.target, subject) || !state.strikes(number, entry) {
            continue;
        }
        return match entry.effect {
            Effect::Fails(errno) => Verdict::Fails(number_of(errno)),
            Effect::Short { bytes } => Verdict::Short(bytes),
            Effect::Torn { bytes } => Verdict::Torn(bytes),
            Effect::ClockStep { .. } => continue,
        };
    }
    Verdict::Pass
}

fn is_target(target: &Target, subject: Subject<'_>) -> bool {
    match (target, subject) {
        (Target::Any, _) => true,
        (Target::Accepted, Subject::Descriptor(fd)) => descriptors::is_accepted(fd),
        (Target::Connected(addresses), Subject::Descriptor(fd)) => {
            let peer = || descriptors::peer(fd).is_some_and(|peer| addresses.contains(&peer));
            descriptors::is_connected(fd) && (addresses.is_empty() || peer())
        }
        (Target::Connected(addresses), Subject::Towards(address)) => {
            addresses.is_empty() || address.is_some_and(|address| addresses.contains(&address))
        }
        (Target::Below(folder), Subject::Descriptor(fd)) => {
            descriptors::path(fd).is_some_and(|path| path.starts_with(folder))
        }
        (Target::Below(folder), Subject::Path(path)) => path.starts_with(folder),
        _ => false,
    }
}

/// By how many milliseconds the wall clock is off.
pub fn clock_offset_ms() -> i64 {
    let Some(state) = state() else { return 0 };
    let mut sum = 0;
    for (number, entry) in state.schedule.entries.iter().enumerate() {
        if let Effect::ClockStep { offset_ms } = entry.effect
            && state.is_on(number, entry)
        {
            state.word(number, EntryWord::Seen).fetch_add(1, Ordering::AcqRel);
            state.word(number, EntryWord::Struck).fetch_add(1, Ordering::AcqRel);
            sum += offset_ms;
        }
    }
    sum
}

fn number_of(errno: Errno) -> c_int {
    match errno {
        Errno::Eintr => libc::EINTR,
        Errno::Eio => libc::EIO,
        Errno::Enfile => libc::ENFILE,
        Errno::Emfile => libc::EMFILE,
        Errno::Enomem => libc::ENOMEM,
        Errno::Enospc => libc::ENOSPC,
        Errno::Edquot => libc::EDQUOT,
        Errno::Erofs => libc::EROFS,
        Errno::Epipe => libc::EPIPE,
        Errno::Eaddrnotavail => libc::EADDRNOTAVAIL,
        Errno::Enetunreach => libc::ENETUNREACH,
        Errno::Enetdown => libc::ENETDOWN,
        Errno::Econnaborted => libc::ECONNABORTED,
        Errno::Econnreset => libc::ECONNRESET,
        Errno::Econnrefused => libc::ECONNREFUSED,
        Errno::Enobufs => libc::ENOBUFS,
        Errno::Etimedout => libc::ETIMEDOUT,
        Errno::Ehostunreach => libc::EHOSTUNREACH,
    }
}
