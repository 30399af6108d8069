//! The scale run: the control planes of a whole fleet on one machine, most of them without a data path.
//!
//! A [`spec`] says how large the fleet is and what befalls it; a [`layout`] writes out who is where. A [`hollow`] process
//! hosts the control planes of hundreds of sidecars: the same library code as the program, over real loopback sockets, with
//! results of calls drawn from a seed. A [`gateway`] process carries what enters a zone, so that a region can be cut off.
//! [`run`] starts all of it and lets the events happen; [`judge`] reads what all have written and gives a [`report`].

mod events;
mod files;
pub mod gateway;
mod gather;
pub mod hollow;
pub mod judge;
pub mod layout;
mod proc;
pub mod protocol;
mod real;
pub mod report;
pub mod run;
pub mod spec;
