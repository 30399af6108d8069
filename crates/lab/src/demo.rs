//! The demonstration: discovery, nine endpoints in three halls, three real sidecars and load, on the rig; one endpoint
//! is killed, one hangs and one drains while it runs, and the checks are made at the end.

use curlewhub_config::units::Span;
use curlewhub_rig::spec::RigSpec;
use std::path::PathBuf;
use std::time::Duration;

/// What is shown, over twenty seconds.
const SHOWN: &str = include_str!("../../../scenarios/rig/demo.toml");

/// How it is shown.
#[derive(Clone, Debug)]
pub struct Options {
    /// For how long requests come; the faults come within it.
    pub lasts: Duration,
    /// Requests a second.
    pub rate: f64,
    /// All that is drawn follows from it.
    pub seed: u64,
    /// Another build of the sidecar.
    pub sidecar: Option<PathBuf>,
}

/// The rig's file of the demonstration, stretched to its time.
///
/// # Errors
/// An option makes no sense, by field.
pub fn spec(options: &Options) -> Result<RigSpec, String> {
    let mut spec = RigSpec::parse(SHOWN)?;
    let stretch = options.lasts.as_secs_f64() / spec.lasts.0.as_secs_f64();
    let stretched = |span: &mut Span| *span = Span(span.0.mul_f64(stretch));
    for fault in &mut spec.faults {
        stretched(&mut fault.at);
        fault.lasts.iter_mut().for_each(stretched);
    }
    (spec.lasts, spec.load.rate, spec.seed) = (Span(options.lasts), options.rate, options.seed);
    spec.programs.sidecar = options.sidecar.clone();
    let problems = spec.problems();
    if problems.is_empty() { Ok(spec) } else { Err(problems.join("\n")) }
}
