//! When the attempts of a request may begin: behind slow endpoints, after clients that left, and where a request comes again.

mod attempt_begin;
mod ended_requests;
mod repeated_requests;
mod second_answers;
#[path = "../support/mod.rs"]
mod support;
