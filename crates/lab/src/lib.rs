//! Experiments with the sidecar: load over real sockets that accounts for every request, a demonstration that starts
//! everything, breaks some of it, and checks what came of that, and scenarios in simulated time.

pub mod capacity;
pub mod chart;
pub mod delay;
pub mod demo;
pub mod discovery_load;
pub mod fleet_scale;
pub mod load;
pub mod paper;
pub mod request_soak;
pub mod resource_growth;
pub mod rig;
pub mod scale_run;
pub mod sim;
pub mod timeline;
