//! The fleet's own state machines under a model checker (stateright): every interleaving of small fleets, with a network
//! that loses, repeats and reorders messages, and crashes with and without loss of the disk.
//!
//! A state holds what a process knows, and not when it acts next: a timer may fire at any moment, which is what the checker
//! is for. Each step rebuilds the process from its state and runs the program's own code.

#![warn(clippy::too_many_lines)]

pub mod subscribers;
