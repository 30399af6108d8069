//! Experiments with the sidecar: load over real sockets that accounts for every request, and a
//! demonstration that starts everything, breaks some of it, and checks what came of that.

pub mod demo;
pub mod load;
