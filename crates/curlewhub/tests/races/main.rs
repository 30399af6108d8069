//! Races between two events: each test forces both, in either order, through peers whose every step it
//! controls. The table in docs/design/0014-races.md lists the races that the tests cover.

#[path = "../support/mod.rs"]
mod support;

mod cancelled_attempts;
mod closing;
mod deadlines;
mod discovery;
mod limits;
mod settings;
