//! Tests that wait for most of their time, in one program, so that they wait side by side.

#[path = "../support/mod.rs"]
mod support;

mod limits;
mod list;
mod rude;
mod spoilt;
