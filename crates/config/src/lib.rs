//! The configuration of a sidecar: one validated structure, whichever file format it was read from.
//!
//! Operators write a TOML file ([`mod@file`]); the platform writes JSON ([`platform`]). Both become a
//! [`Config`], and both are checked against the ranges of the balancing module (`Settings::problems`).

mod config;
pub mod file;
pub mod fleet;
pub mod list;
pub mod live;
pub mod platform;
mod problem;
mod reader;
mod repeat;
pub mod settings;
mod source;
pub mod units;

pub use config::{Config, LogFormat, LogSettings, MIN_SOCKETS, Named, Names};
pub use problem::{Problem, Problems};
pub use reader::{EffectiveValue, Override};
pub use repeat::RepeatPolicy;
pub use source::{ConfigChange, LoadedConfig};
