//! The fleet's own state machines under a model checker (stateright): every interleaving of small fleets, with a network that
//! loses, repeats and reorders, and crashes with and without disk.
//!
//! A state holds what a process knows, and not when it next does something: a timer may fire at any moment, which is what
//! the checker is for. Each step builds the process anew from that and lets the program's own code act.

pub mod holders;
