//! Model checking of the control plane's state machines with stateright: every interleaving of a small fleet, over a network
//! that loses, duplicates and reorders messages, and with crashes that keep or lose the disk.
//!
//! A state holds what a process knows, but no timers: any timer may fire in any state. Each step rebuilds the processes from
//! the state and runs the program's own code.

#![warn(clippy::too_many_lines)]

pub mod subscribers;
