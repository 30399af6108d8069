//! The errors that can be injected, by the names that Linux documents.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// An error of a system call.
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
#[serde(rename_all = "UPPERCASE")]
#[strum(serialize_all = "UPPERCASE")]
pub enum Errno {
    /// A signal came before the call did anything.
    Eintr,
    /// Input or output error.
    Eio,
    /// Too many open files in the system.
    Enfile,
    /// Too many open files in the process.
    Emfile,
    /// No memory for the kernel's structures.
    Enomem,
    /// No space left on the device.
    Enospc,
    /// The quota of the user on the device is used up.
    Edquot,
    /// The file system is mounted for reading only.
    Erofs,
    /// The other end has closed.
    Epipe,
    /// No local address is free.
    Eaddrnotavail,
    /// No route to the network.
    Enetunreach,
    /// The network is down.
    Enetdown,
    /// The connection was aborted before it was accepted.
    Econnaborted,
    /// The other end has reset the connection.
    Econnreset,
    /// The other end refuses.
    Econnrefused,
    /// No buffer space.
    Enobufs,
    /// The connection timed out.
    Etimedout,
    /// No route to the host.
    Ehostunreach,
}
