//! Which halls and regions are served, left and returned to, by what pace, and why; sans I/O.
//!
//! [`signals`] is what evidence shows, [`state_machine`] what follows from it, [`zone_states`] what is decided, [`grants`] how a
//! returning hall's budget is parted, [`room`] what a move would do to those that stay. [`controller`] is a keeper's part in that, and [`part`] a sidecar's; [`server`] and [`agent`]
//! are the two whole, as the program, the model and the checker host them.

#![warn(clippy::too_many_lines)]

pub mod agent;
pub mod capacity;
pub mod controller;
pub mod grants;
pub mod server;
pub mod signals;
pub mod state_machine;
pub mod zone_policy;
pub mod zone_states;
