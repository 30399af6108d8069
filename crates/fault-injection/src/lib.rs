//! Faults in the system calls and the wall clock of the process that this library is preloaded into.
//!
//! Its functions stand in front of those of the C library (`LD_PRELOAD`). Where the schedule of
//! `curlewhub-fault-schedule` says so, a call fails with an error, carries fewer bytes, or is the last one
//! before a SIGKILL; all others go on to the C library, found with `dlsym(RTLD_NEXT)`. What a program asks
//! of the kernel without the C library, as the package `rustix` does, is not seen here.
//!
//! For tests and the rig alone. This is the only package of the workspace with `unsafe` code: each block
//! says why it is sound. Each function that stands in front of one of the C library has the contract of
//! that function, which its caller upholds.

mod clock;
mod descriptors;
mod files;
mod process;
mod real;
mod sockets;
mod state;
mod vectors;
