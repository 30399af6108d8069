//! Clients that ask too much of a sidecar, by their number or by their speed.

mod crowds;
mod floods;
#[path = "../support/mod.rs"]
mod support;
