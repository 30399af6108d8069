//! The loss model that the decision module comes from.
//!
//! N servers hold at most C jobs each; jobs arrive as a Poisson process of rate N lambda, and each goes to the one of d
//! sampled servers that holds the fewest. A job that finds it full is lost. Vasantam, Mukhopadhyay and Mazumdar,
//! "Insensitivity of the mean-field limit of loss systems under SQ(d) routing", section 8, is where the model, its
//! parameters and the mean-field equations are from. [`fleet`] simulates it, [`field`] integrates the equations, and
//! [`erlang_b`] is the result for d = 1.

#![warn(clippy::too_many_lines)]

pub mod field;
pub mod fleet;
mod service;

pub use service::Service;

/// The most jobs that a server holds, in the paper's section 8.
pub const CAPACITY: usize = 5;

/// The fraction of jobs lost at one server with `capacity` slots and `load` mean jobs on offer: Erlang's B formula, by
/// its recursion.
pub fn erlang_b(capacity: usize, load: f64) -> f64 {
    (1..=capacity).fold(1.0, |blocked, slots| load * blocked / (slots as f64 + load * blocked))
}

/// No routing can lose less than this fraction of the jobs: `max(0, 1 - C / lambda)`.
pub fn lower_bound(capacity: usize, lambda: f64) -> f64 {
    (1.0 - capacity as f64 / lambda).max(0.0)
}
