//! Schedules of faults in a process's own system calls and wall clock.
//!
//! A [`Schedule`] is a list of [`Entry`]s. [`Injection`] writes it to a file, prepares a command so that
//! the library of the package `curlewhub-fault-injection` is loaded into the started program, switches
//! entries on and off and reads how many calls each of them has struck. Nothing in the program knows of
//! it. For tests and the rig alone.

mod control;
mod errno;
mod injection;
mod library;
mod schedule;

pub use control::{CONTROL_BYTES, Control, ControlError, EntryWord, Switch};
pub use errno::Errno;
pub use injection::{Injection, InjectionError, PRELOAD_VARIABLE, SCHEDULE_VARIABLE};
pub use library::{LIBRARY_FILE, LibraryError, library};
pub use schedule::{Call, Effect, Entry, Origin, Problem, Schedule, Strikes, Target};
