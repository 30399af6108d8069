//! Tests that spend most of their time waiting, built into one program so that they wait in parallel.

#[path = "../support/mod.rs"]
mod support;

mod invalid_responses;
mod limits;
mod list;
mod malformed_requests;
