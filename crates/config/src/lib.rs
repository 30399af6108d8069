//! What a sidecar is told: one validated structure, whichever file it was read from.

pub mod list;
pub mod platform;
pub mod settings;

pub use platform::{Config, ConfigError, Named, Names};

/// Fewer descriptors than this leave nothing to serve with: 48 are kept for the listener, the runtime,
/// discovery, operators and refused clients.
pub const LEAST_SOCKETS: usize = 64;
