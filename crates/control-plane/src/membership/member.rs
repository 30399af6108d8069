//! Members, and which of two processes with one name is valid.

use crate::record::MAX_TEXT_BYTES;
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The role of a member.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Role {
    /// It replicates the view.
    #[serde(rename = "Keeper")]
    ConsensusServer,
    /// It subscribes to the view.
    Sidecar,
}

/// A member as all others know it. The order of its fields is part of the wire format.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Member {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// The address that it receives datagrams and connections at.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Its build.
    pub build: String,
    /// The newest message format that it reads.
    pub format: u8,
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// How often this incarnation was declared down and rejoined.
    #[serde(rename = "renewed")]
    pub rejoins: u32,
}

impl Member {
    /// A seed, of which only name and address are known.
    pub(super) fn seed(name: &str, address: SocketAddr) -> Member {
        Member {
            name: name.to_owned(),
            role: Role::ConsensusServer,
            zone: String::new(),
            address,
            build: String::new(),
            format: 0,
            incarnation: 0,
            rejoins: 0,
        }
    }

    /// Of two members with one name the greater rank is valid: the later incarnation, and of one incarnation the later
    /// rejoin.
    fn rank(&self) -> (u64, SocketAddr, u32) {
        (self.incarnation, self.address, self.rejoins)
    }

    /// Whether it is another process that has rightfully taken over the name of `own`.
    pub(super) fn displaces(&self, own: &Member) -> bool {
        self.name == own.name
            && self.address != own.address
            && (self.incarnation, self.address) > (own.incarnation, own.address)
    }

    /// Whether it is what others remember of an earlier start of `own`, which had a greater incarnation: the state directory
    /// was lost and the clock has gone back since.
    pub(super) fn is_earlier_start_of(&self, own: &Member) -> bool {
        self.name == own.name && self.address == own.address && self.incarnation > own.incarnation
    }

    pub(super) fn is_valid(&self) -> bool {
        let is_bounded = |text: &str| text.len() <= MAX_TEXT_BYTES;
        !self.name.is_empty() && is_bounded(&self.name) && is_bounded(&self.zone) && is_bounded(&self.build)
    }
}

impl Identity for Member {
    type Addr = String;

    /// Foca must not rejoin by itself: a displaced process would come back each time it is declared down.
    fn renew(&self) -> Option<Member> {
        None
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Member) -> bool {
        self.rank() > adversary.rank()
    }
}

/// The status of a member.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It answers probes.
    #[serde(rename = "there")]
    Alive,
    /// It has not answered the latest probes, direct or indirect.
    #[serde(rename = "suspected")]
    Suspect,
    /// It has left, or was suspected for too long.
    #[serde(rename = "gone")]
    Down,
}
