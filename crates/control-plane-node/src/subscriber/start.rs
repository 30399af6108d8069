//! The start of a subscriber: its stored view, its sockets, and the parts that are built from them.

use super::view_writer::ViewWriter;
use super::{SubscriberOptions, SubscriberProcess, ViewHandler};
use crate::config::{FleetConfig, keys};
use crate::error::ProcessError;
use crate::process::{IncarnationSource, listen, local_member, unix_ms};
use crate::transport::{Transport, TransportSettings};
use crate::view_file::ViewFile;
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::client::{ClientSettings, FleetClient};
use curlewhub_control_plane::membership::Role;
use curlewhub_control_plane::protocol::{Envelope, PeerId};
use curlewhub_control_plane::view::View;
use curlewhub_rollout::subscriber::Subscriber as RolloutSubscriber;
use curlewhub_zone_failover::agent::Agent;
use curlewhub_zone_failover::zone_policy::ZonePolicy;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Limit of accepted connections that are open at once. They, and those to servers and peers, are beside the sidecar's own
/// budget of sockets.
const MAX_ACCEPTED: usize = 32;
/// Limit of received messages that wait to be processed; those beyond it are dropped.
const MAX_INBOX: usize = 1024;

/// What is read from the state directory at the start. A directory that can't be read or written does not prevent it: the
/// stored view only shortens the time until the view is current.
struct StoredState {
    file: ViewFile,
    view: View,
    incarnation: u64,
    incarnation_source: IncarnationSource,
    /// Whether the incarnation was written.
    is_durable: bool,
}

impl StoredState {
    fn load(config: &FleetConfig) -> StoredState {
        let file = ViewFile::new(&config.state_dir);
        let incarnation_source = match file.has_started() {
            Ok(true) => IncarnationSource::Storage,
            Ok(false) | Err(_) => IncarnationSource::Clock,
        };
        let written = file.incarnation(unix_ms(config));
        let is_durable = written.is_ok();
        let incarnation = written.unwrap_or_else(|problem| {
            warn!(%problem, "fleet: view not written");
            unix_ms(config)
        });
        let view = file.view().unwrap_or_else(|problem| {
            warn!(%problem, "fleet: stored view not usable; starting without one");
            View::default()
        });
        StoredState { file, view, incarnation, incarnation_source, is_durable }
    }
}

impl<'a, H: ViewHandler> SubscriberProcess<'a, H> {
    /// Builds the subscriber, puts its stored view into force, and starts to accept messages, which arrive on the returned
    /// channel.
    ///
    /// # Errors
    /// A key file can't be used, or the address can't be bound and must not be shared.
    pub(super) async fn start(
        config: &'a FleetConfig,
        options: SubscriberOptions,
        handler: &'a mut H,
    ) -> Result<(SubscriberProcess<'a, H>, mpsc::Receiver<Envelope>), ProcessError> {
        let keys = keys(config)?;
        let stored = StoredState::load(config);
        let sockets = match listen(config).await {
            Ok(sockets) => Some(sockets),
            Err(_) if options.share_address => None,
            Err(problem) => return Err(problem),
        };
        let (inbox, received) = mpsc::channel(MAX_INBOX);
        let servers = config.consensus_servers.iter();
        let transport = Transport::new(TransportSettings {
            max_accepted: MAX_ACCEPTED,
            own_id: PeerId { name: config.name.clone(), incarnation: stored.incarnation },
            keys,
            local_ip: config.listen.ip(),
            server_addresses: servers.map(|server| (server.name.clone(), server.address)).collect(),
            inbox,
        });
        let (version, hash) = (stored.view.version().0, stored.view.hash());
        info!(version, ?hash, incarnation = stored.incarnation, "fleet: following");
        let client = build_client(config, &stored);
        let policy = (!options.zones.is_empty()).then(|| {
            ZonePolicy::new(&config.name, &config.zone, options.zones, config.zone_failover.clone())
        });
        let mut process = SubscriberProcess {
            config,
            agent: Agent::new(client, policy, Duration::ZERO),
            transport,
            view_writer: ViewWriter::new(stored.file, stored.is_durable),
            is_listening: false,
            applied: AppliedRecords::default(),
            rollout_subscriber: RolloutSubscriber::new(&config.name, &config.zone),
            started: Instant::now(),
            recorder: options.recorder,
            handler,
        };
        let actions = process.apply(&stored.view);
        process.carry_out(actions);
        if let Some(sockets) = sockets {
            process.open(sockets);
        }
        Ok((process, received))
    }
}

fn build_client(config: &FleetConfig, stored: &StoredState) -> FleetClient {
    let servers = config.consensus_servers.iter();
    let peers = config.peers.iter();
    let settings = ClientSettings {
        own: local_member(config, Role::Sidecar, stored.incarnation),
        consensus_servers: servers.map(|server| (server.name.clone(), server.address)).collect(),
        peers: peers.map(|peer| (peer.name.clone(), peer.address)).collect(),
        view: stored.view.clone(),
        seed: rand::random(),
    };
    let mut client = FleetClient::new(settings, Duration::ZERO);
    if stored.incarnation_source == IncarnationSource::Clock {
        client.counts_by_clock();
    }
    client
}
