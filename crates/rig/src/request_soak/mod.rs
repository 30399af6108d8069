//! A soak of requests: real sidecars on loopback between scripted clients and endpoints, with faults on both sides and
//! signals to the sidecars. What clients and endpoints record decides alone whether each request had its one answer, in
//! time and its own, and whether anything was sent for it once it had ended.

mod checks;
mod client;
mod discovery;
mod endpoint;
mod record;
mod run;
mod settings;
mod sidecar;
mod wire;

pub use checks::{Tally, Violation, judge};
pub use record::{
    Arrival, AttemptRecord, ClientEnd, Incarnation, Record, RequestRecord, SidecarEvent, SoakRecord,
    expected_body,
};
pub use run::{SoakOptions, run};
