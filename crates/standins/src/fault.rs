//! What can go wrong with a stand-in.

use curlewhub_config::units::Span;
use serde::{Deserialize, Serialize};

/// One fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Fault {
    /// The process ends: its connections are reset and new ones refused, until it comes back, cold.
    Die,
    /// It takes requests and answers none; what it held is worked off all the same.
    Hang,
    /// It answers with the beginning of an answer and then nothing more.
    Stall,
    /// It works this many times slower.
    Slow {
        /// Over 1.
        factor: f64,
    },
    /// This part of the requests ends with the connection reset once they have come whole; they run.
    Reset {
        /// 0 to 1.
        share: f64,
    },
    /// This part of the answers is noise.
    #[serde(alias = "spoil")]
    Corrupt {
        /// 0 to 1.
        share: f64,
    },
    /// The machine is cut off: nothing is read and nothing written; connections stay as they are.
    Vanish,
    /// The list says that it drains; it goes on with what it has, and serves what still comes.
    Drain,
    /// The list no longer has it.
    Remove,
    /// Discovery is down: calls and watches are reset.
    DirectoryDown,
    /// Discovery leaves this part of each whole list out.
    DirectoryShort {
        /// 0 to 1.
        share: f64,
    },
    /// Discovery breaks off each answer half way.
    DirectoryCut,
    /// Discovery takes calls and says nothing to them, nor on watches that are open: what it took is lost.
    DirectorySilent,
    /// Discovery refuses each call.
    DirectoryRefuses,
    /// Nobody is to use this address of discovery's any more: new connections are refused at once, and those that are
    /// open closed soon.
    DirectoryMoved {
        /// The address.
        from: std::net::SocketAddr,
    },
    /// All faults of that endpoint, or of discovery, end; an endpoint that was dead comes back cold.
    Heal,
}

impl Fault {
    /// Whether it befalls one endpoint, and not discovery; `Heal` may be of either.
    pub fn is_an_endpoints(&self) -> bool {
        !matches!(
            self,
            Fault::DirectoryDown
                | Fault::DirectoryShort { .. }
                | Fault::DirectoryCut
                | Fault::DirectorySilent
                | Fault::DirectoryRefuses
                | Fault::DirectoryMoved { .. }
        )
    }

    /// Whether an order must name an endpoint.
    pub fn needs_endpoint(&self) -> bool {
        self.is_an_endpoints() && !matches!(self, Fault::Heal)
    }
}

/// A fault in a schedule or an order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FaultAt {
    /// When, from the fleet's start; at once in an order.
    #[serde(default)]
    pub at: Span,
    /// Which endpoint; none where it befalls discovery.
    pub endpoint: Option<String>,
    /// What.
    #[serde(flatten)]
    pub fault: Fault,
    /// It ends by itself after this long; without it, with `heal`.
    #[serde(rename = "for")]
    pub lasts: Option<Span>,
}
