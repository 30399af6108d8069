//! How the configured memory is divided: between the program, connections and messages, and between two processes of
//! the sidecar during a handover.

use super::socket::READ_LEN;

/// More memory than this is taken for this much, in MiB: 1 TiB.
const MAX_MEMORY_MB: usize = 1 << 20;
/// Memory of the program itself, in KiB: its code and libraries, the endpoint list, learned state, the log, refused
/// clients and operators, and what the allocator keeps.
const PROGRAM_KIB: usize = 11 * 1024;
/// If the sidecar has little memory, the program counts as this fraction of it.
const MAX_PROGRAM_DIVISOR: usize = 2;
/// Own memory of a successor that serves no client yet, in KiB. It shares the pages of the program's file.
pub const SUCCESSOR_KIB: usize = 1024;
/// Divisor: the part of the memory for connections and messages that is left for a successor's start.
const SUCCESSOR_DIVISOR: usize = 8;
/// While both processes live, a successor gets this fraction of the memory at most.
const SHARED_DIVISOR: usize = 2;
/// Eighths of its memory that the connections of a process may take; long messages get the rest.
const CONNECTION_EIGHTHS: usize = 5;
/// Memory of a connection beside what is read from it, in KiB: its task and that of its request, the heads that are
/// written to it, and a short body.
const CONNECTION_KIB: usize = 28;
/// Read buffers that each connection may keep in memory: its own, a chunk that is being passed on, and half of the
/// chunks that wait to be written, since only one of a request's two connections has such chunks.
const READ_BUFFERS: usize = 3;
/// Memory that a connection may take, in KiB.
pub const KIB_PER_CONNECTION: usize = CONNECTION_KIB + READ_BUFFERS * READ_LEN / 1024;

/// A part of the sidecar's memory, and its division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Limit of the connections.
    pub connections: usize,
    /// Limit of the clients among them.
    pub clients: usize,
    /// Memory for long messages, in KiB.
    pub message_kib: usize,
}

/// The memory that a sidecar may use for connections and messages, in KiB.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SidecarMemory(usize);

impl SidecarMemory {
    /// What the program leaves of the configured memory.
    pub fn new(memory_mb: usize) -> Self {
        let all_kib = memory_mb.min(MAX_MEMORY_MB) * 1024;
        SidecarMemory(all_kib - PROGRAM_KIB.min(all_kib / MAX_PROGRAM_DIVISOR))
    }

    /// All of it.
    pub fn total_kib(self) -> usize {
        self.0
    }

    /// The part of a process that is alone. It leaves enough for a successor's start.
    pub fn alone_kib(self) -> usize {
        (self.0 - self.0 / SUCCESSOR_DIVISOR).saturating_sub(SUCCESSOR_KIB)
    }

    /// The part of a successor that was left `descriptors` of the sidecar's `all`.
    pub fn successor_kib(self, descriptors: usize, all: usize) -> usize {
        self.0 / SHARED_DIVISOR * descriptors.min(all) / all.max(1)
    }

    /// How many of `all` descriptors a successor may be left at most, while its predecessor still uses this much: the
    /// inverse of [`SidecarMemory::successor_kib`].
    pub fn successor_descriptors(self, predecessor_kib: usize, all: usize) -> usize {
        let free_kib = self.0.saturating_sub(SUCCESSOR_KIB + predecessor_kib);
        (free_kib * all / (self.0 / SHARED_DIVISOR).max(1)).min(all)
    }
}

impl Division {
    /// Divides a part of the memory for a process with this many descriptors for connections.
    pub fn new(memory_kib: usize, descriptors: usize) -> Self {
        let connections_kib = memory_kib / 8 * CONNECTION_EIGHTHS;
        let by_memory = connections_kib / KIB_PER_CONNECTION;
        let connections = descriptors.min(by_memory);
        // An attempt needs a connection too: clients must not take those that their own requests are sent on.
        let clients = (descriptors * 5 / 8).min(by_memory / 2).max(1);
        let message_kib = memory_kib.saturating_sub(connections * KIB_PER_CONNECTION);
        Division { connections, clients, message_kib }
    }
}
