//! Many processes of the program on one machine, faults between them, and one verdict.
//!
//! A [`spec`] says who is there, what goes wrong and what must hold; a [`plan`] writes it out. A [`run`] starts every
//! process as an operator would, puts [`relay`]s between them, and lets the schedule happen while requests come. What
//! processes log, what stand-ins and the load write into their books, and what the rig itself does becomes one
//! [`history`], and the [`checks`] read that and nothing else.

mod act;
pub mod campaign;
pub mod checks;
pub mod door;
pub mod fault;
pub mod figures;
pub mod fleet;
pub mod history;
pub mod injection;
pub mod links;
mod moves;
mod notified;
pub mod plan;
mod ports;
pub mod process;
pub mod relay;
pub mod report;
pub mod request_soak;
pub mod run;
pub mod scale;
pub mod spec;
mod tell;
pub mod texts;
pub mod versions;
mod wires;
