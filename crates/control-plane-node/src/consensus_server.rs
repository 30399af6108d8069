//! The process of a consensus server: it feeds ticks and messages to the replica, writes what must be durable, and sends
//! what is durable.
//!
//! [`start`] reads the durable state and builds the process, [`requests`] answers operators and sidecars, [`status`]
//! composes the answers about the state of the server, its members and the zones.

mod requests;
mod start;
mod status;

use crate::config::FleetConfig;
use crate::error::ProcessError;
use crate::process::unix_ms;
use crate::rollout::Rollouts;
use crate::storage::{Reopened, Storage};
use crate::store::{OpenDatabase, StoreError, open_database};
use crate::transport::Transport;
use curlewhub_control_plane::consensus::{PersistedState, Replica, TICK_INTERVAL};
use curlewhub_control_plane::consensus_server::Output;
use curlewhub_control_plane::membership::Member;
use curlewhub_control_plane::protocol::{Envelope, Message, PeerId};
use curlewhub_control_plane::record::Record;
use curlewhub_zone_failover::controller::ZoneController;
use curlewhub_zone_failover::server::ControlServer;
use curlewhub_zone_failover::state_machine::Transition;
use start::Bootstrap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{error, info, warn};

/// Limit of outputs that are gathered before they are written together, with one sync.
const MAX_BATCH: usize = 64;

/// A running consensus server.
struct Process<'a> {
    config: &'a FleetConfig,
    /// The server's raft id.
    id: u64,
    server: ControlServer,
    rollouts: Rollouts,
    storage: Storage,
    transport: Rc<Transport>,
    /// Zero of the clock that the replica and its membership are driven by.
    started: Instant,
    /// The leader that was logged last; 0 for none.
    known_leader: u64,
}

/// Runs a consensus server until `leave` completes; it then leaves the membership. Dropped earlier, it stops as if it were
/// killed.
///
/// `begins` states that the cluster is new: only then may a server that is not configured as joining start with an empty
/// state directory. Later an empty directory means that the server has lost its votes, and voting again could elect two
/// leaders in one term.
///
/// # Errors
/// Why it does not start, beginning with the settings key concerned; or why it must not go on: its store needs an
/// operator's help, it has lost committed state, or a later start has taken its name.
pub async fn run_consensus_server(
    config: &FleetConfig,
    begins: bool,
    leave: impl Future<Output = ()>,
) -> Result<(), String> {
    run_consensus_server_with(config, begins, open_database(), leave).await
}

/// As [`run_consensus_server`], with a database that is opened by `open`: tests let its writes fail.
///
/// # Errors
/// As [`run_consensus_server`].
pub async fn run_consensus_server_with(
    config: &FleetConfig,
    begins: bool,
    open: OpenDatabase,
    leave: impl Future<Output = ()>,
) -> Result<(), String> {
    let bootstrap = if begins { Bootstrap::Allowed } else { Bootstrap::Forbidden };
    let result = Process::start_and_run(config, bootstrap, open, pin!(leave)).await;
    result.map_err(|problem| problem.to_string())
}

impl Process<'_> {
    async fn run(
        mut self,
        mut received: mpsc::Receiver<Envelope>,
        mut leave: impl Future<Output = ()> + Unpin,
    ) -> Result<(), ProcessError> {
        let mut ticks = interval(TICK_INTERVAL);
        // After a pause there is one tick, not one for each that was missed: those would start an election before the
        // messages that wait are read.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = &mut leave => {
                    let outputs = self.server.leave();
                    return self.carry_out(outputs);
                }
                _ = ticks.tick() => {
                    self.reopen_storage()?;
                    let outputs = self.tick();
                    self.carry_out(outputs)?;
                }
                Some(envelope) = received.recv() => {
                    let mut outputs = self.handle_message(envelope);
                    while outputs.len() < MAX_BATCH && let Ok(envelope) = received.try_recv() {
                        outputs.extend(self.handle_message(envelope));
                    }
                    self.carry_out(outputs)?;
                }
            }
        }
    }

    fn tick(&mut self) -> Vec<Output> {
        let (now, unix_ms) = (self.started.elapsed(), unix_ms(self.config));
        if !self.storage.is_serving() {
            return vec![self.server.consensus.tick(now, unix_ms)];
        }
        let mut outputs = self.server.tick(now, unix_ms);
        outputs.extend(self.propose_rollout_step());
        outputs
    }

    /// Proposes the next step of a rollout, if this server leads and there is one.
    fn propose_rollout_step(&mut self) -> Vec<Output> {
        let Some(proposal) = self.rollouts.tick(self.started.elapsed(), &self.server.consensus) else {
            return Vec::new();
        };
        let member = self.server.consensus.local_member();
        let own_id = PeerId { name: member.name.clone(), incarnation: member.incarnation };
        self.propose(&own_id, proposal)
    }

    /// Writes outputs durably, then sends their messages: what a server has promised must outlive it.
    fn carry_out(&mut self, mut outputs: Vec<Output>) -> Result<(), ProcessError> {
        if let Some(why) = self.server.fatal_error() {
            error!(problem = %why, "fleet: fatal error; stopping");
            return Err(why.into());
        }
        if let Err(problem) = self.storage.write(&outputs) {
            self.step_down(&problem)?;
            // Membership messages promise nothing that has to be durable, and go out all the same.
            outputs.iter_mut().for_each(|output| output.replica = Default::default());
        }
        for Transition { zone, from, to, why } in std::mem::take(&mut self.server.transitions) {
            // Text and field names of this event are read by the rig.
            info!(zone, ?from, ?to, why, "zone transition proposed");
        }
        for output in outputs {
            self.send(output);
        }
        self.log_leader();
        Ok(())
    }

    fn log_leader(&mut self) {
        let leader = self.server.consensus.replica.leader_id();
        if leader != self.known_leader {
            self.known_leader = leader;
            let name = self.server.consensus.server_name(leader).unwrap_or("nobody");
            info!(leader = name, term = self.server.consensus.replica.term(), "fleet: leader changed");
        }
    }

    /// Sends the messages of an output, whose writes are durable, and logs its events.
    fn send(&self, output: Output) {
        let Output { replica, datagrams, joined, left, raised_incarnation } = output;
        if let Some(incarnation) = raised_incarnation {
            self.transport.set_incarnation(incarnation);
        }
        for (to, bytes) in replica.raft_messages {
            if let Some(name) = self.server.consensus.server_name(to) {
                self.transport.send(name, None, Message::Raft(bytes));
            }
        }
        for (to, message) in replica.messages {
            self.transport.send(&to, None, message);
        }
        for (to, message) in datagrams {
            self.transport.send_datagram(to, message);
        }
        for member in joined {
            self.transport.set_peer_format(&member.name, Some(member.format));
            let Member { name, zone, incarnation, build, .. } = member;
            info!(name, zone, incarnation, build, "fleet: member joined");
        }
        for member in left {
            self.transport.set_peer_format(&member.name, None);
            let Member { name, zone, incarnation, .. } = member;
            info!(name, zone, incarnation, "fleet: member left");
        }
        replica.applied.iter().for_each(log_decided);
    }

    /// Once failed storage can be opened again, replaces the replica by one of what is durable.
    fn reopen_storage(&mut self) -> Result<(), ProcessError> {
        match self.storage.reopen(self.id, Instant::now()) {
            Ok(None) => Ok(()),
            Ok(Some(Reopened::Failing(problem))) => {
                warn!(%problem, "fleet: storage still fails");
                Ok(())
            }
            Ok(Some(Reopened::Serving(persisted, failed_for))) => {
                self.rebuild(&persisted)?;
                let failed_ms = failed_for.as_millis() as u64;
                info!(failed_ms, "fleet: storage reopened");
                Ok(())
            }
            Err(source) => {
                let problem = ProcessError::Store { path: self.config.state_dir.clone(), source };
                error!(%problem, "fleet: storage unusable; stopping");
                Err(problem)
            }
        }
    }

    /// After a failed write the server neither votes nor acknowledges. What its replica has in memory alone was never sent,
    /// and is dropped with the replica.
    fn step_down(&mut self, problem: &StoreError) -> Result<(), ProcessError> {
        error!(%problem, "fleet: write failed; stepping down");
        self.storage.fail(Instant::now());
        self.rebuild(&Replica::joining_state())
    }

    /// Replaces the replica, the zone controller and the rollout coordinator, as a restart would. The membership goes on.
    fn rebuild(&mut self, persisted: &PersistedState) -> Result<(), ProcessError> {
        self.server.consensus.replica =
            build_replica(self.config, self.id, persisted, self.started.elapsed())?;
        self.server.controller = ZoneController::new(&self.config.name, self.config.zone_failover.clone());
        self.server.transitions.clear();
        self.rollouts = Rollouts::default();
        Ok(())
    }
}

fn build_replica(
    config: &FleetConfig,
    id: u64,
    persisted: &PersistedState,
    now: Duration,
) -> Result<Replica, ProcessError> {
    Replica::new(id, persisted, rand::random(), now)
        .map_err(|source| ProcessError::Replica { path: config.state_dir.clone(), source })
}

/// Text and field names of this event are read by the rig.
fn log_decided(record: &Record) {
    let (key, by) = (&record.proposal.key, &record.proposal.by);
    let (version, term, hash) = (record.version.0, record.term, record.hash());
    info!(version, ?hash, term, key, by, "fleet: decided");
}
