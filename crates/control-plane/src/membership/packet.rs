//! Packets, as far as they must be understood before foca handles them.

use super::member::Member;
use foca::{Codec, Header, Message, PostcardCodec};

/// Bound on the names that are stored, down members included.
pub const MAX_MEMBERS: usize = 20_000;

/// Why a packet is rejected. The texts are keys of counters in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum PacketRejection {
    /// It can't be decoded.
    #[error("it can't be read")]
    Malformed,
    /// It contains a member without a name, or with too long texts.
    #[error("somebody that it names can't be")]
    Invalid,
    /// It contains a new name, and [`MAX_MEMBERS`] are stored.
    #[error("{MAX_MEMBERS} names are known")]
    CapacityExceeded,
    /// It was sent by this process itself.
    #[error("it is this process's own")]
    FromSelf,
}

/// Decodes all members that a packet contains, its sender first.
///
/// # Errors
/// It can't be decoded, or a member is invalid.
pub(super) fn decode_members(mut bytes: &[u8]) -> Result<Vec<Member>, PacketRejection> {
    let mut codec = PostcardCodec;
    let malformed = |_| PacketRejection::Malformed;
    let header: Header<Member> = codec.decode_header(&mut bytes).map_err(malformed)?;
    let mut members = vec![header.src];
    if let Some((count, updates)) = bytes.split_first_chunk::<2>() {
        bytes = updates;
        for _ in 0..u16::from_be_bytes(*count) {
            let update: foca::Member<Member> = codec.decode_member(&mut bytes).map_err(malformed)?;
            members.push(update.id().clone());
        }
    }
    if !members.iter().all(Member::is_valid) {
        return Err(PacketRejection::Invalid);
    }
    Ok(members)
}

/// Encodes a packet to `recipient` with a single update: that `member` is alive. None if it can't be encoded.
pub(super) fn encode_update(sender: &Member, recipient: Member, member: Member) -> Option<Vec<u8>> {
    let (mut codec, mut bytes) = (PostcardCodec, Vec::new());
    let header = Header {
        src: sender.clone(),
        src_incarnation: Default::default(),
        dst: recipient,
        message: Message::Gossip,
    };
    codec.encode_header(&header, &mut bytes).ok()?;
    bytes.extend(1_u16.to_be_bytes());
    codec.encode_member(&foca::Member::alive(member), &mut bytes).ok()?;
    Some(bytes)
}
