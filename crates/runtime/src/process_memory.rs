//! The memory that the process holds, as the kernel counts it.

use std::fs;

/// Where the kernel reports on the process.
const STATUS_FILE: &str = "/proc/self/status";

/// Resident pages of the process, in KiB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessMemory {
    /// Its own pages: heap, stacks, anonymous mappings.
    pub own_kib: usize,
    /// Pages of the program and its libraries.
    pub file_kib: usize,
}

impl ProcessMemory {
    /// Reads it; none where the kernel does not report it.
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string(STATUS_FILE).ok()?)
    }

    /// Parses the kernel's report; none if a figure is missing.
    pub fn parse(status: &str) -> Option<Self> {
        let kib = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            value.split_whitespace().next()?.parse().ok()
        };
        Some(ProcessMemory { own_kib: kib("RssAnon:")?, file_kib: kib("RssFile:")? })
    }
}
