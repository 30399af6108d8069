//! The messages between two processes of one sidecar, and their text form: one message a line. The form is stable, since
//! predecessor and successor may be different builds.
//!
//! | line | meaning |
//! | --- | --- |
//! | `DETACH UID`, `ATTACH UID` | an endpoint was banned; its ban was lifted |
//! | `DONE` | acknowledges the oldest unacknowledged ban of the other process: in force and durable there |
//! | `SPARE N` | the descriptors that the successor may use |
//! | `LEARN` | asks the predecessor for its learned state |
//! | `LEARNT BASE64` | the learned state, as an encoded snapshot |
//! | `LIST` | asks the predecessor which endpoints its list allows to be used |
//! | `LISTED UIDS` | their uids, as a JSON array |
//! | `NEED N` | the sender's demand |
//! | `GIVE N PORTION` | parts of the overlap quota, and the balancer's state for them in JSON |

use crate::events::OverlapMessage;
use crate::interrupts::Uninterrupted;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use curlewhub_balance::ShareTransfer;
use std::io;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, ReadHalf, WriteHalf, split};
use tokio::net::UnixStream;

/// Maximum length of a line in bytes: the longest holds a snapshot in base64, four bytes for three.
const MAX_LINE: u64 = (curlewhub_snapshot::MAX_BYTES as u64 / 3 + 1) * 4 + 64;

/// A message between predecessor and successor.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// An endpoint was banned, or its ban was lifted.
    Ban {
        /// The endpoint's uid.
        uid: String,
        /// Whether it is banned from now on.
        banned: bool,
    },
    /// The oldest unacknowledged ban is in force and durable.
    BanAcknowledged,
    /// The number of descriptors that the successor may use.
    DescriptorAllowance(usize),
    /// Asks for the learned state.
    LearnedStateRequest,
    /// The learned state, as an encoded snapshot.
    LearnedState(Vec<u8>),
    /// Asks for the endpoints that the predecessor's list allows to be used.
    UsableEndpointsRequest,
    /// The uids of these endpoints.
    UsableEndpoints(Vec<String>),
    /// Demand, or parts of the overlap quota.
    Overlap(OverlapMessage),
}

impl Message {
    /// Parses a line without its end; none if it is not a valid message.
    pub fn parse(line: &str) -> Option<Message> {
        let (keyword, rest) = line.split_once(' ').unwrap_or((line, ""));
        match keyword {
            "DETACH" | "ATTACH" if !rest.is_empty() => {
                Some(Message::Ban { uid: rest.to_owned(), banned: keyword == "DETACH" })
            }
            "DONE" if rest.is_empty() => Some(Message::BanAcknowledged),
            "SPARE" => rest.parse().ok().map(Message::DescriptorAllowance),
            "LEARN" if rest.is_empty() => Some(Message::LearnedStateRequest),
            "LEARNT" => STANDARD.decode(rest).ok().map(Message::LearnedState),
            "LIST" if rest.is_empty() => Some(Message::UsableEndpointsRequest),
            "LISTED" => serde_json::from_str(rest).ok().map(Message::UsableEndpoints),
            "NEED" => rest.parse().ok().map(|demand| Message::Overlap(OverlapMessage::Demand(demand))),
            "GIVE" => {
                let (parts, portion) = rest.split_once(' ')?;
                let portion: ShareTransfer =
                    serde_json::from_str(portion).ok().filter(ShareTransfer::is_valid)?;
                Some(Message::Overlap(OverlapMessage::Parts(parts.parse().ok()?, portion)))
            }
            _ => None,
        }
    }

    /// The message as a line with its end.
    pub fn to_line(&self) -> String {
        match self {
            Message::Ban { uid, banned: true } => format!("DETACH {uid}\n"),
            Message::Ban { uid, banned: false } => format!("ATTACH {uid}\n"),
            Message::BanAcknowledged => "DONE\n".to_owned(),
            Message::DescriptorAllowance(count) => format!("SPARE {count}\n"),
            Message::LearnedStateRequest => "LEARN\n".to_owned(),
            Message::LearnedState(bytes) => format!("LEARNT {}\n", STANDARD.encode(bytes)),
            Message::UsableEndpointsRequest => "LIST\n".to_owned(),
            Message::UsableEndpoints(uids) => {
                format!("LISTED {}\n", serde_json::to_string(uids).unwrap_or_default()) // strings alone: never fails
            }
            Message::Overlap(OverlapMessage::Demand(demand)) => format!("NEED {demand}\n"),
            Message::Overlap(OverlapMessage::Parts(parts, portion)) => {
                let portion = serde_json::to_string(portion).unwrap_or_default(); // numbers alone: never fails
                format!("GIVE {parts} {portion}\n")
            }
        }
    }
}

/// The connection between two processes, after the listening socket was passed.
pub struct Connection {
    pub(super) reader: MessageReader,
    pub(super) writer: MessageWriter,
}

impl Connection {
    pub(super) fn new(stream: UnixStream) -> Self {
        let (reader, writer) = split(Uninterrupted(stream));
        Connection { reader: MessageReader(BufReader::new(reader)), writer: MessageWriter(writer) }
    }
}

/// The receiving direction of a connection.
pub(super) struct MessageReader(BufReader<ReadHalf<Uninterrupted<UnixStream>>>);

impl MessageReader {
    /// The next line without its end; none once the other process has closed the connection. An incomplete last line is
    /// discarded.
    pub(super) async fn next_line(&mut self) -> io::Result<Option<String>> {
        let mut line = String::new();
        (&mut self.0).take(MAX_LINE).read_line(&mut line).await?;
        match line.strip_suffix('\n') {
            Some(complete) => Ok(Some(complete.to_owned())),
            None if line.len() as u64 == MAX_LINE => Err(io::Error::other("a line is too long")),
            None => Ok(None),
        }
    }
}

/// The sending direction of a connection.
pub(super) struct MessageWriter(WriteHalf<Uninterrupted<UnixStream>>);

impl MessageWriter {
    pub(super) async fn send(&mut self, message: &Message) -> io::Result<()> {
        self.0.write_all(message.to_line().as_bytes()).await
    }
}
