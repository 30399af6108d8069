//! Which halls and regions are served, left and returned to, by what pace, and why; sans I/O.
//!
//! [`signals`] is what evidence shows, [`machine`] what follows from it, [`places`] what is decided, [`grants`] how a
//! returning hall's budget is parted. [`warden`] is a keeper's part in that, and [`part`] a sidecar's.

pub mod grants;
pub mod machine;
pub mod part;
pub mod places;
pub mod signals;
pub mod warden;
