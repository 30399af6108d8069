//! Where two events meet: each test forces both, in either order, by peers of which it does each step itself. The
//! table in docs/design/0014-races.md names what each stands for.

#[path = "../support/mod.rs"]
mod support;

mod closing;
mod discovery;
mod gone;
mod last_moments;
mod limits;
mod settings;
