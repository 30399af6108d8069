//! What a schedule says, and what makes no sense of it.

use crate::errno::Errno;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use strum::{Display, EnumIter, EnumString};

/// Entries of a schedule at the most: the control file has one page.
pub const ENTRIES_MAX: usize = 100;

/// A system call that can be struck.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Call {
    /// Bytes are taken from a socket: `recv`, `recvfrom`, `recvmsg`, `read`, `readv`.
    Recv,
    /// Bytes are given to a socket: `send`, `sendto`, `sendmsg`, `write`, `writev`.
    Send,
    /// `accept` and `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `socket`.
    Socket,
    /// `epoll_wait`.
    EpollWait,
    /// An `open` or `openat` that may create a file.
    Open,
    /// `write`, `writev` and `pwrite` to a file.
    Write,
    /// `fsync` and `fdatasync`.
    Fsync,
    /// `rename`.
    Rename,
    /// `ftruncate`.
    Ftruncate,
}

impl Call {
    /// Whether it concerns a file.
    pub fn is_on_files(self) -> bool {
        matches!(self, Call::Open | Call::Write | Call::Fsync | Call::Rename | Call::Ftruncate)
    }

    /// Whether it carries bytes, and so may be cut short.
    pub fn carries_bytes(self) -> bool {
        matches!(self, Call::Recv | Call::Send | Call::Write)
    }

    /// The errors that Linux documents for it, as far as they can come from outside the program.
    pub fn errors(self) -> &'static [Errno] {
        use Errno::*;
        match self {
            Call::Recv => &[Eintr, Econnreset, Etimedout, Ehostunreach, Enetunreach, Enobufs, Enomem],
            Call::Send => {
                &[Eintr, Epipe, Econnreset, Etimedout, Ehostunreach, Enetunreach, Enobufs, Enomem]
            }
            Call::Accept => {
                &[Eintr, Econnaborted, Enfile, Emfile, Enobufs, Enomem, Enetdown, Ehostunreach, Enetunreach]
            }
            Call::Connect => {
                &[Eintr, Eaddrnotavail, Enetunreach, Ehostunreach, Etimedout, Econnrefused, Enobufs]
            }
            Call::Socket => &[Enfile, Emfile, Enobufs, Enomem],
            Call::EpollWait => &[Eintr],
            Call::Open => &[Eintr, Enospc, Edquot, Eio, Erofs, Enfile, Emfile, Enomem],
            Call::Write | Call::Ftruncate => &[Eintr, Enospc, Edquot, Eio],
            Call::Fsync => &[Eintr, Enospc, Edquot, Eio],
            Call::Rename => &[Enospc, Edquot, Eio, Erofs],
        }
    }
}

/// From when an entry's times are counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// The start of each process.
    #[default]
    ProcessStart,
    /// The moment of `Injection::activate`; before it nothing is struck.
    Activation,
}

/// Whose calls an entry strikes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// All sockets of the internet, and with calls on files all files.
    #[default]
    Any,
    /// Connections that the process has accepted, such as its clients'.
    Accepted,
    /// Connections that the process has made, to these addresses or, where none is given, to any.
    Connected(Vec<SocketAddr>),
    /// Files below this folder, by its absolute path.
    Below(PathBuf),
}

/// Which of the calls an entry strikes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Strikes {
    /// Each.
    #[default]
    Each,
    /// Each n-th.
    EveryNth(u64),
    /// This share, over 0 and up to 1, drawn from the seed by the number of the call.
    Share(f64),
}

/// What becomes of a call that is struck.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It fails with this error and does nothing.
    Fails(Errno),
    /// It carries no more than so many bytes.
    Short {
        /// The bytes, 1 or more.
        bytes: usize,
    },
    /// It writes no more than so many bytes, and the process is killed with SIGKILL.
    Torn {
        /// The bytes, 0 or more.
        bytes: usize,
    },
    /// No call is struck: the wall clock is ahead by this many milliseconds, or behind where it is negative.
    /// The monotonic clock goes on as it was, and so do the times that the kernel stamps on files.
    ClockStep {
        /// The milliseconds.
        offset_ms: i64,
    },
}

/// One fault of a schedule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// From then on, in milliseconds of monotonic time since the schedule's origin ...
    #[serde(default)]
    pub from_ms: u64,
    /// ... until then, or for good.
    #[serde(default)]
    pub to_ms: Option<u64>,
    /// The calls; none for a step of the clock.
    #[serde(default)]
    pub calls: Vec<Call>,
    /// Whose.
    #[serde(default)]
    pub target: Target,
    /// Which of them.
    #[serde(default)]
    pub strikes: Strikes,
    /// The first so many calls are spared.
    #[serde(default)]
    pub skip: u64,
    /// No more than so many are struck.
    #[serde(default)]
    pub at_most: Option<u64>,
    /// What becomes of them.
    pub effect: Effect,
}

impl Entry {
    /// An entry that strikes each of these calls from the origin on.
    pub fn new(calls: &[Call], effect: Effect) -> Entry {
        Entry {
            from_ms: 0,
            to_ms: None,
            calls: calls.to_vec(),
            target: Target::Any,
            strikes: Strikes::Each,
            skip: 0,
            at_most: None,
            effect,
        }
    }

    /// An entry by which each of these calls fails with an error.
    pub fn fails(calls: &[Call], errno: Errno) -> Entry {
        Entry::new(calls, Effect::Fails(errno))
    }

    /// The same for these calls alone.
    pub fn on(self, target: Target) -> Entry {
        Entry { target, ..self }
    }

    /// The same for a part of the calls.
    pub fn striking(self, strikes: Strikes) -> Entry {
        Entry { strikes, ..self }
    }

    /// The same for so many calls at the most.
    pub fn at_most(self, count: u64) -> Entry {
        Entry { at_most: Some(count), ..self }
    }

    /// The same between two times.
    pub fn between(self, from_ms: u64, to_ms: Option<u64>) -> Entry {
        Entry { from_ms, to_ms, ..self }
    }

    /// Whether the n-th call that fits, counted from 0, is struck.
    pub fn strikes_call(&self, seed: u64, entry: usize, call: u64) -> bool {
        let Some(number) = call.checked_sub(self.skip) else { return false };
        match self.strikes {
            Strikes::Each => true,
            Strikes::EveryNth(n) => (number + 1).is_multiple_of(n.max(1)),
            Strikes::Share(share) => draw(seed, entry as u64, number) < share,
        }
    }

    fn problems(&self, at: &mut impl FnMut(&'static str, String)) {
        let clock = matches!(self.effect, Effect::ClockStep { .. });
        if clock != self.calls.is_empty() {
            at("calls", "at least one, and none for a step of the clock".to_owned());
        }
        match self.effect {
            Effect::Fails(errno) => {
                for call in self.calls.iter().filter(|call| !call.errors().contains(&errno)) {
                    at("effect", format!("an error of `{call}`, and {errno} is none"));
                }
            }
            Effect::Short { bytes } => {
                for call in self.calls.iter().filter(|call| !call.carries_bytes()) {
                    at("effect", format!("a call that carries bytes, and `{call}` does not"));
                }
                if bytes == 0 {
                    at("effect", "1 byte or more".to_owned());
                }
            }
            Effect::Torn { .. } => {
                if self.calls.iter().any(|call| *call != Call::Write) {
                    at("effect", "a torn write of files".to_owned());
                }
            }
            Effect::ClockStep { .. } => {}
        }
        let files = self.calls.iter().any(|call| call.is_on_files());
        let sockets = self.calls.iter().any(|call| !call.is_on_files());
        let fits = match &self.target {
            Target::Any => true,
            Target::Accepted | Target::Connected(_) => !files,
            Target::Below(folder) => !sockets && folder.is_absolute(),
        };
        if !fits {
            at("target", "sockets for calls on sockets, an absolute folder for calls on files".to_owned());
        }
        let sound = match self.strikes {
            Strikes::Each => true,
            Strikes::EveryNth(n) => n > 0,
            Strikes::Share(share) => share > 0.0 && share <= 1.0,
        };
        if !sound {
            at("strikes", "each n-th from 1 on, or a share over 0 and up to 1".to_owned());
        }
        if self.to_ms.is_some_and(|to| to <= self.from_ms) {
            at("to_ms", "later than `from_ms`".to_owned());
        }
    }
}

/// A number from 0 up to 1 that follows from these three (the mixing steps of SplitMix64).
fn draw(seed: u64, entry: u64, call: u64) -> f64 {
    const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut z = seed ^ entry.wrapping_mul(0xd134_2543_de82_ef95);
    for part in [call, entry] {
        z = z.wrapping_add(part.wrapping_add(1).wrapping_mul(GAMMA));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
    }
    (z >> 11) as f64 / (1_u64 << 53) as f64
}

/// All faults of a process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// What is drawn follows from it.
    #[serde(default)]
    pub seed: u64,
    /// The file name of the program that is struck; a shell that starts it is spared. Any program where
    /// nothing is said.
    #[serde(default)]
    pub program: Option<String>,
    /// From when times are counted.
    #[serde(default)]
    pub origin: Origin,
    /// The faults. Where several fit a call, the first that strikes decides.
    pub entries: Vec<Entry>,
}

/// Something in a schedule that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entries[{entry}].{field}: allowed: {allowed}")]
pub struct Problem {
    /// The entry's number, from 0.
    pub entry: usize,
    /// Its field.
    pub field: &'static str,
    /// What the field may be.
    pub allowed: String,
}

impl Schedule {
    /// All that makes no sense.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        for (entry, fault) in self.entries.iter().enumerate() {
            fault.problems(&mut |field, allowed| problems.push(Problem { entry, field, allowed }));
        }
        if self.entries.len() > ENTRIES_MAX {
            let allowed = format!("{ENTRIES_MAX} entries at the most");
            problems.push(Problem { entry: ENTRIES_MAX, field: "effect", allowed });
        }
        problems
    }
}
