//! Group membership with failure detection by SWIM (probes, indirect probes, suspicion, incarnations), as implemented by
//! foca.
//!
//! The host passes in datagrams and the time, and sends the datagrams it is given. A name belongs to one process at a time,
//! the one with the greatest incarnation. A process that learns of a greater one under its own name is displaced: it stops
//! being a member and sends nothing more.

mod foca_config;
mod member;
mod packet;
mod rejoin;
mod seeds;
mod swim;

pub use foca_config::MAX_PACKET_BYTES;
pub use member::{Member, MemberStatus, Role};
pub use packet::{MAX_MEMBERS, PacketRejection};
pub use swim::{Action, Membership};
