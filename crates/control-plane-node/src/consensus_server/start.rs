//! The start of a consensus server: its durable state, read or created, and the parts that are built from it.

use super::{Process, build_replica};
use crate::config::{FleetConfig, keys};
use crate::error::ProcessError;
use crate::process::{IncarnationSource, listen, local_member, unix_ms};
use crate::rollout::Rollouts;
use crate::storage::{Storage, retry_delay};
use crate::store::{OpenDatabase, Store, StoreError, StoreFile};
use crate::transport::{Transport, TransportSettings};
use curlewhub_control_plane::consensus::{PersistedState, Replica};
use curlewhub_control_plane::consensus_server::ConsensusServer;
use curlewhub_control_plane::membership::{Membership, Role};
use curlewhub_control_plane::protocol::{Envelope, MacKeys, PeerId};
use curlewhub_zone_failover::controller::ZoneController;
use curlewhub_zone_failover::server::ControlServer;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::{info, warn};

/// Limit of accepted connections that are open at once: one of each sidecar, and a few of operators.
const MAX_ACCEPTED: usize = 16_384;
/// Limit of received messages that wait to be processed; those beyond it are dropped.
const MAX_INBOX: usize = 8192;

/// Whether a server without stored state may create the state of a new cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Bootstrap {
    /// The cluster is new.
    Allowed,
    /// The cluster exists: an empty store has lost what the server voted for, and it must not vote again under its id.
    Forbidden,
}

/// The durable state that a server starts from.
pub(super) struct DurableState {
    store: Store,
    persisted: PersistedState,
    incarnation: u64,
    incarnation_source: IncarnationSource,
}

impl DurableState {
    /// Reads or creates the state; waits and tries again while storage fails with an error that may pass, such as a full
    /// disk.
    ///
    /// # Errors
    /// The store can't be used without an operator's help.
    pub(super) async fn load_when_available(
        config: &FleetConfig,
        id: u64,
        bootstrap: Bootstrap,
        open: &OpenDatabase,
    ) -> Result<DurableState, ProcessError> {
        let mut attempts = 0;
        loop {
            match DurableState::load(config, id, bootstrap, open.clone()) {
                Ok(Some(state)) => return Ok(state),
                Ok(None) => return Err(ProcessError::EmptyStore(config.state_dir.clone())),
                Err(problem) if problem.is_transient() => {
                    warn!(%problem, attempts, "fleet: storage fails; not started yet");
                    sleep(retry_delay(attempts)).await;
                    attempts += 1;
                }
                Err(source) => {
                    return Err(ProcessError::Store { path: config.state_dir.clone(), source });
                }
            }
        }
    }

    /// `None` if the store is empty and may not be initialized.
    fn load(
        config: &FleetConfig,
        id: u64,
        bootstrap: Bootstrap,
        open: OpenDatabase,
    ) -> Result<Option<DurableState>, StoreError> {
        std::fs::create_dir_all(&config.state_dir)?;
        let store = StoreFile::claim(&config.state_dir.join("keeper.redb"), open)?.open_or_create()?;
        store.claim(id)?;
        let incarnation_source =
            if store.has_started()? { IncarnationSource::Storage } else { IncarnationSource::Clock };
        let incarnation = store.incarnation(unix_ms(config))?;
        let persisted = match store.load()? {
            Some(persisted) => persisted,
            None if config.joins => Replica::joining_state(),
            None if bootstrap == Bootstrap::Allowed => {
                let ids: Vec<u64> = config.consensus_servers.iter().map(|server| server.id).collect();
                Replica::bootstrap_state(&ids)
            }
            None => return Ok(None),
        };
        store.initialize(&persisted)?;
        Ok(Some(DurableState { store, persisted, incarnation, incarnation_source }))
    }
}

impl<'a> Process<'a> {
    /// Builds the server from its durable state, and starts to accept messages, which arrive on the returned channel.
    ///
    /// # Errors
    /// A key file or the stored state can't be used, or the address can't be bound.
    pub(super) async fn start(
        config: &'a FleetConfig,
        id: u64,
        keys: MacKeys,
        state: DurableState,
    ) -> Result<(Process<'a>, mpsc::Receiver<Envelope>), ProcessError> {
        let DurableState { store, persisted, incarnation, incarnation_source } = state;
        let replica = build_replica(config, id, &persisted, Duration::ZERO)?;
        let (streams, datagrams) = listen(config).await?;
        let membership = build_membership(config, id, incarnation, incarnation_source);
        let (inbox, received) = mpsc::channel(MAX_INBOX);
        let other_servers = config.consensus_servers.iter().filter(|server| server.id != id);
        let transport = Transport::new(TransportSettings {
            max_accepted: MAX_ACCEPTED,
            own_id: PeerId { name: config.name.clone(), incarnation },
            keys,
            local_ip: config.listen.ip(),
            server_addresses: other_servers.map(|server| (server.name.clone(), server.address)).collect(),
            inbox,
        });
        spawn_local(transport.clone().accept(streams));
        spawn_local(transport.clone().receive_datagrams(datagrams));
        let names =
            config.consensus_servers.iter().map(|server| (server.id, server.name.clone())).collect();
        let version = replica.view().version();
        info!(keeper = id, incarnation, version = version.0, "fleet: keeping");
        let controller = ZoneController::new(&config.name, config.zone_failover.clone());
        let process = Process {
            config,
            id,
            server: ControlServer::new(ConsensusServer::new(replica, membership, names), controller),
            rollouts: Rollouts::default(),
            storage: Storage::Serving(store),
            transport,
            started: Instant::now(),
            known_leader: 0,
        };
        Ok((process, received))
    }

    /// As [`run_consensus_server`](super::run_consensus_server), with a database opened by `open`.
    ///
    /// # Errors
    /// The server does not start, or must not go on.
    pub(super) async fn start_and_run(
        config: &FleetConfig,
        bootstrap: Bootstrap,
        open: OpenDatabase,
        mut leave: impl Future<Output = ()> + Unpin,
    ) -> Result<(), ProcessError> {
        let id = config.server_id().ok_or(ProcessError::UnknownServerName)?;
        let keys = keys(config)?;
        let state = tokio::select! {
            state = DurableState::load_when_available(config, id, bootstrap, &open) => state?,
            () = &mut leave => return Ok(()),
        };
        let (process, received) = Process::start(config, id, keys, state).await?;
        process.run(received, leave).await
    }
}

/// The membership of this server, with the other consensus servers and the configured peers as seeds.
fn build_membership(
    config: &FleetConfig,
    id: u64,
    incarnation: u64,
    incarnation_source: IncarnationSource,
) -> Membership {
    let other_servers = config.consensus_servers.iter().filter(|server| server.id != id);
    let servers = other_servers.map(|server| (server.name.clone(), server.address));
    let peers = config.peers.iter().map(|peer| (peer.name.clone(), peer.address));
    let seeds: Vec<_> = servers.chain(peers).collect();
    let own = local_member(config, Role::ConsensusServer, incarnation);
    let mut membership = Membership::new(own, &seeds, rand::random(), Duration::ZERO);
    if incarnation_source == IncarnationSource::Clock {
        membership.counts_by_clock();
    }
    membership
}
