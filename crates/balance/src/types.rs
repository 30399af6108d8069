//! The interface of the balancer: settings, events, actions and outcomes.
//!
//! Times are `Duration`s on the caller's clock, which may start at any point.

mod actions;
mod classes;
mod endpoints;
mod events;
mod ids;
mod settings;
mod validation;

pub use actions::*;
pub use classes::*;
pub use endpoints::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
pub use validation::*;
