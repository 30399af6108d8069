//! Parses and formats the simulator's line protocol. All decisions are made in `curlewhub-balance`.
#![warn(clippy::too_many_lines)]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fields;
mod parse;
mod print;

pub use parse::parse;
pub use print::{format_action, format_panic};

use curlewhub_balance::{EndpointInfo, Event, Settings};
use std::time::Duration;
use thiserror::Error;

/// A malformed line of input.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("line {line}: field `{field}`: {problem}")]
pub struct WireError {
    /// Line number, counted from 1.
    pub line: u64,
    /// Name of the invalid field.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

/// One line of input.
#[derive(Debug)]
pub enum Line {
    /// Begins a batch of events at the given time.
    Turn(Duration),
    /// Ends the batch.
    Flush,
    /// Begins a numbered endpoint list, whose entries follow on the next lines.
    Table {
        /// Number of the list.
        bank: u8,
        /// Number of entries that follow.
        entries: usize,
    },
    /// An entry of the list that was begun last.
    Entry(EndpointInfo),
    /// Starts a balancer instance.
    Spawn {
        /// The instance.
        instance: u32,
        /// Seed of its random generator.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// Removes an instance, because the simulator has killed it.
    Detach(u32),
    /// A discovery update for an instance.
    Targets {
        /// The instance.
        instance: u32,
        /// Kind of update.
        mode: ListMode,
        /// Number of the list that holds the entries.
        bank: u8,
    },
    /// Any other event, with the name of its request if it concerns one.
    Event {
        /// The instance.
        instance: u32,
        /// Name of the request in the protocol.
        name: Option<String>,
        /// The event; the host fills in the request's id.
        event: Event,
    },
}

/// The kinds of discovery update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// `D`: changed entries only.
    Changes,
    /// `F`: the complete list.
    Full,
    /// `C`: a complete list that may be out of date.
    Cached,
    /// `X`: the discovery call failed.
    Failed,
}
