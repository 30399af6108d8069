//! The subscriber task: it keeps a copy of the fleet view current, puts its records into force through its host, serves the
//! view to other subscribers, and reports evidence to the consensus servers.

mod handler;
mod start;
mod view_writer;

use crate::config::FleetConfig;
use crate::error::ProcessError;
use crate::process::listen;
use crate::transport::Transport;
use curlewhub_control_plane::applied::{AppliedRecords, RecordOutcome};
use curlewhub_control_plane::client::Action;
use curlewhub_control_plane::configuration::ConfigNumber;
use curlewhub_control_plane::evidence::CallRecorder;
use curlewhub_control_plane::membership::Member;
use curlewhub_control_plane::protocol::{Envelope, Message};
use curlewhub_control_plane::view::View;
use curlewhub_rollout::record::{self, CONFIG};
use curlewhub_rollout::subscriber::Subscriber as RolloutSubscriber;
use curlewhub_zone_failover::agent::{self, Agent};
use curlewhub_zone_failover::state_machine::Transition;
use curlewhub_zone_failover::zone_policy;
pub use handler::{SubscriberOptions, SubscriberStatus, ViewHandler};
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use tracing::{debug, info, warn};
use view_writer::ViewWriter;

/// Interval of the status report, of attempts to bind an address that is in use, and of checks for a write to be repeated.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

struct SubscriberProcess<'a, H: ViewHandler> {
    config: &'a FleetConfig,
    agent: Agent,
    transport: Rc<Transport>,
    view_writer: ViewWriter,
    is_listening: bool,
    /// The records in force.
    applied: AppliedRecords,
    rollout_subscriber: RolloutSubscriber,
    /// Zero of the clock that the agent is driven by.
    started: Instant,
    /// The recorder of the host's calls, with the zero of its clock.
    recorder: Option<(Rc<RefCell<CallRecorder>>, Instant)>,
    handler: &'a mut H,
}

/// Runs a subscriber until `leave` completes; it then leaves the membership. If it is dropped earlier, other members detect
/// that it has failed.
///
/// # Errors
/// Why it does not start, beginning with the settings key concerned: a key file can't be used, or the address can't be
/// bound. A state directory that can't be read or written is no error.
pub async fn run_subscriber(
    config: &FleetConfig,
    options: SubscriberOptions,
    handler: &mut impl ViewHandler,
    leave: impl Future<Output = ()>,
) -> Result<(), String> {
    let started = SubscriberProcess::start(config, options, handler).await;
    let (process, received) = started.map_err(|problem: ProcessError| problem.to_string())?;
    process.run(received, pin!(leave)).await;
    Ok(())
}

impl<H: ViewHandler> SubscriberProcess<'_, H> {
    async fn run(
        mut self,
        mut received: mpsc::Receiver<Envelope>,
        mut leave: impl Future<Output = ()> + Unpin,
    ) {
        let mut status_ticks = interval(STATUS_INTERVAL);
        status_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let next_wakeup = tokio::time::Instant::from_std(self.started + self.agent.next_wakeup());
            let apply_deadline = self.view_writer.apply_deadline(self.applied.version());
            let is_writing = self.view_writer.is_writing();
            let actions = tokio::select! {
                () = sleep_until(next_wakeup) => self.agent.tick(self.started.elapsed()),
                Some(envelope) = received.recv() => {
                    let now = self.started.elapsed();
                    self.agent.handle_message(now, &envelope.from, envelope.message)
                }
                result = self.view_writer.written(), if is_writing => self.finish_write(&result),
                () = sleep_until(apply_deadline.unwrap_or(next_wakeup)), if apply_deadline.is_some() => {
                    self.apply_unwritten()
                }
                _ = status_ticks.tick() => {
                    self.report_status();
                    self.retry().await;
                    Vec::new()
                }
                () = &mut leave => {
                    let actions = self.agent.client.leave();
                    self.carry_out(actions.into_iter().map(agent::Action::Client).collect());
                    return;
                }
            };
            self.carry_out(actions);
        }
    }

    /// Accepts messages on these sockets from now on, and joins the membership.
    fn open(&mut self, (streams, datagrams): (TcpListener, UdpSocket)) {
        self.is_listening = true;
        spawn_local(self.transport.clone().accept(streams));
        spawn_local(self.transport.clone().receive_datagrams(datagrams));
        self.agent.client.join(self.started.elapsed());
    }

    fn report_status(&mut self) {
        self.handler.traffic_counted(&self.transport.traffic);
        let status = self.status();
        self.handler.status_changed(status);
        self.report_config();
    }

    fn status(&self) -> SubscriberStatus {
        let client = &self.agent.client;
        let traffic = &self.transport.traffic;
        SubscriberStatus {
            version: client.view().version().0,
            age: client.age(self.started.elapsed()),
            counts: client.counters(),
            rejected_records: self.applied.rejected().count(),
            members: client.membership().map_or(0, |membership| membership.alive_count() + 1),
            traffic: (traffic.bytes_sent.get(), traffic.bytes_received.get()),
            config: self.rollout_subscriber.in_force(),
            config_refused: self.rollout_subscriber.refused().is_some(),
            config_refusals: self.rollout_subscriber.refusals(),
        }
    }

    /// Repeats what has failed before: a write of the view, and binding the address.
    async fn retry(&mut self) {
        if self.view_writer.is_retry_due() {
            self.write_view();
        }
        if !self.is_listening
            && let Ok(sockets) = listen(self.config).await
        {
            self.open(sockets);
        }
    }

    fn carry_out(&mut self, actions: Vec<agent::Action>) {
        let mut view_changed = false;
        for action in actions {
            match action {
                agent::Action::Client(action) => view_changed |= self.carry_out_client_action(action),
                agent::Action::Policy(action) => self.carry_out_policy_action(action),
            }
        }
        if view_changed && !self.view_writer.is_writing() {
            self.write_view();
        }
    }

    /// Returns whether the view has changed.
    fn carry_out_client_action(&mut self, action: Action) -> bool {
        match action {
            Action::Send(to, address, message) => self.transport.send(&to, address, message),
            Action::SendDatagram(to, message) => self.transport.send_datagram(to, message),
            Action::ReportEvidence => {
                let actions = self.report_evidence();
                self.carry_out(actions);
            }
            Action::Joined(member) => {
                self.transport.set_peer_format(&member.name, Some(member.format));
                let Member { name, zone, incarnation, .. } = member;
                debug!(name, zone, incarnation, "fleet: member joined");
            }
            Action::Left(member) => {
                self.transport.set_peer_format(&member.name, None);
                let Member { name, zone, incarnation, .. } = member;
                debug!(name, zone, incarnation, "fleet: member left");
            }
            Action::IncarnationRaised(incarnation) => {
                info!(
                    incarnation,
                    "fleet: an earlier start counted itself higher; going on by this number"
                );
                self.transport.set_incarnation(incarnation);
                self.view_writer.raise_incarnation(incarnation);
            }
            Action::Rejoined => info!("fleet: rejoined after being declared down"),
            Action::Displaced(by) => {
                let incarnation = by.incarnation;
                warn!(incarnation, at = %by.address, "fleet: a later process has this name; following on, and no member");
            }
            // Texts and fields of the two events that follow are read by the rig.
            Action::Applied(record) => {
                let key = &record.proposal.key;
                info!(version = record.version.0, hash = ?record.hash(), key, "fleet: applied");
                return true;
            }
            Action::Replaced(view) => {
                info!(version = view.version().0, hash = ?view.hash(), "fleet: replaced by a snapshot");
                return true;
            }
        }
        false
    }

    fn carry_out_policy_action(&mut self, action: zone_policy::Action) {
        match action {
            zone_policy::Action::AccessChanged(access) => {
                let now = self.started.elapsed();
                self.handler.zone_access_changed(now, &access);
            }
            zone_policy::Action::Probe(zone, count) => self.handler.probe_zone(&zone, count),
            zone_policy::Action::Autonomous(true) => {
                warn!("fleet: no recent confirmation by a consensus server; zones judged by own calls")
            }
            zone_policy::Action::Autonomous(false) => info!("fleet: zones follow decided states"),
            zone_policy::Action::Transition(Transition { zone, from, to, why }) => {
                info!(zone, ?from, ?to, why, "fleet: zone transition by own calls");
            }
        }
    }

    fn report_evidence(&mut self) -> Vec<agent::Action> {
        let Some((recorder, started)) = &self.recorder else { return Vec::new() };
        let renewal = self.agent.renewal_interval();
        let digest = recorder.borrow_mut().take_digest(started.elapsed(), renewal);
        digest.map(|digest| self.agent.report_evidence(self.started.elapsed(), &digest)).unwrap_or_default()
    }

    fn write_view(&mut self) {
        self.view_writer.begin(self.agent.client.view().clone());
    }

    /// Puts the view that was written into force, and writes the current one if that is newer.
    fn finish_write(&mut self, result: &std::io::Result<()>) -> Vec<agent::Action> {
        let Some(view) = self.view_writer.finish(result) else { return Vec::new() };
        let actions = self.apply_newer(&view);
        if self.agent.client.view().version() > self.applied.version() {
            self.write_view();
        }
        actions
    }

    /// The write takes too long: puts the view that is being written into force, and none that came after it, which no write
    /// has been begun for.
    fn apply_unwritten(&mut self) -> Vec<agent::Action> {
        let view = self.view_writer.pending_view().cloned();
        view.map(|view| self.apply_newer(&view)).unwrap_or_default()
    }

    fn apply_newer(&mut self, view: &View) -> Vec<agent::Action> {
        if view.version() <= self.applied.version() { Vec::new() } else { self.apply(view) }
    }

    /// Puts a view into force.
    fn apply(&mut self, view: &View) -> Vec<agent::Action> {
        for outcome in self.applied.apply(view, H::check) {
            if let RecordOutcome::RecordRejection(record, why) = outcome {
                let (version, key) = (record.version.0, &record.proposal.key);
                warn!(version, key, %why, "fleet: not acted on");
            }
        }
        let actions = self.agent.apply(self.started.elapsed(), &self.applied);
        self.configure();
        self.handler.view_applied(&self.applied, view.hash());
        actions
    }

    /// Puts the configuration that a rollout assigns to this process into force, and reports the result.
    fn configure(&mut self) {
        let Some(rollout) = self.applied.get(CONFIG).and_then(|record| record::read(record).ok()) else {
            return;
        };
        let handler = &mut *self.handler;
        self.rollout_subscriber.decided(&rollout, |ConfigNumber(number), values| {
            let settings = values.len();
            let result = handler.configure(values);
            match &result {
                Ok(()) => info!(number, settings, "fleet: configuration in force"),
                Err(why) => warn!(number, why, "fleet: configuration refused; going on as before"),
            }
            result
        });
        self.report_config();
    }

    /// Reports the configuration in force to every consensus server, if that report is due.
    fn report_config(&mut self) {
        let Some(report) = self.rollout_subscriber.report(self.started.elapsed()) else { return };
        for server in &self.config.consensus_servers {
            self.transport.send(&server.name, None, Message::ReportConfig(report.clone()));
        }
    }
}
