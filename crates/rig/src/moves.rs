//! New configurations that move sidecars from one of discovery's addresses to the next.

use crate::fault::FaultSpec;
use crate::history::What;
use crate::run::Rig;
use rustix::process::Signal;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::time::sleep;

/// Why a sidecar could not be moved.
#[derive(Debug, Error)]
pub(crate) enum MoveError {
    /// Discovery has no further address for it.
    #[error("{0}: discovery has no further address for it (`discovery.moves`)")]
    NoAddress(String),
    /// Its configuration does not hold with the new address.
    #[error("{process}: {problem}")]
    Configuration {
        /// The sidecar.
        process: String,
        /// What is wrong.
        problem: String,
    },
    /// Its configuration can't be written.
    #[error("{process}: {source}")]
    Unwritable {
        /// The sidecar.
        process: String,
        /// Why.
        source: io::Error,
    },
    /// Discovery could not be ordered to leave the address before.
    #[error("{0}")]
    Order(String),
    /// There is no relay to an address that is to be used later.
    #[error("{0}")]
    Relay(String),
}

/// The port of a view of discovery's; the first is the one that sidecars start with.
pub(crate) fn view_port(view: usize, number: usize) -> String {
    if number == 0 { format!("view-{view}") } else { format!("view-{view}-{number}") }
}

impl Rig {
    /// Relays start with the run: those to addresses that sidecars are moved to later, too.
    pub(crate) fn make_relays_of_moves(&self) -> Result<(), MoveError> {
        for (view, site) in self.views.iter().enumerate() {
            for number in 1..=self.plan.spec.discovery.moves {
                self.wire(site, self.discovery(), &view_port(view, number)).map_err(MoveError::Relay)?;
            }
        }
        Ok(())
    }

    /// The port of discovery's that a sidecar uses now.
    pub(crate) fn discovery_port(&self, member: usize) -> String {
        let site = self.plan.members[member].site(&self.plan.spec);
        let view = self.views.iter().position(|view| *view == site).unwrap_or_default();
        view_port(view, self.moves.borrow().get(&member).copied().unwrap_or_default())
    }

    /// Gives sidecars new configurations, side by side; each names the next address of discovery's.
    pub(crate) async fn reload(&self, fault: &FaultSpec, struck: &[usize]) -> Result<(), MoveError> {
        for round in 0..fault.rounds.unwrap_or(1) {
            if round > 0 {
                sleep(fault.apart.unwrap_or_default().0).await;
            }
            for member in struck {
                self.move_discovery(*member).await?;
            }
        }
        Ok(())
    }

    async fn move_discovery(&self, member: usize) -> Result<(), MoveError> {
        let process = self.process(member);
        let before = self.take_next_address(member)?;
        let configuration = |problem| MoveError::Configuration { process: process.name.clone(), problem };
        let text = self
            .text(member, &self.plan.members[member], false, &toml::Table::new())
            .map_err(configuration)?;
        let unwritable = |source| MoveError::Unwritable { process: process.name.clone(), source };
        // Replaced as a whole: a process that starts now reads the one or the other.
        let (file, new) = (self.file(member), self.file(member).with_extension("new"));
        std::fs::write(&new, text.unwrap_or_default()).map_err(unwritable)?;
        std::fs::rename(new, file).map_err(unwritable)?;
        self.note(&process.name, process.incarnations.get(), What::Reloaded);
        process.signal(None, Signal::HUP, false);
        // The address that is left closes behind the new configuration, as a real one does.
        let order = json!({"do": "directory_moved", "from": before.to_string()});
        self.directory(&order, None).await.map_err(MoveError::Order)
    }

    /// Moves a sidecar to its next address of discovery's; the one that it leaves.
    fn take_next_address(&self, member: usize) -> Result<SocketAddr, MoveError> {
        let before = self.at(self.discovery(), &self.discovery_port(member));
        let moves = self.moves.borrow().get(&member).copied().unwrap_or_default() + 1;
        if moves > self.plan.spec.discovery.moves {
            return Err(MoveError::NoAddress(self.plan.members[member].name.clone()));
        }
        self.moves.borrow_mut().insert(member, moves);
        Ok(before)
    }
}
