//! A follower: it holds the view, keeps it on disk, passes it on, and tells keepers what its process sees.

use crate::config::{FleetConfig, keys};
use crate::storage::retry_after;
use crate::traffic::Traffic;
use crate::transport::Transport;
use crate::view_file::ViewFile;
use curlewhub_config::live;
use curlewhub_control_plane::applied::{AppliedRecords, RecordOutcome, RecordRejection};
use curlewhub_control_plane::client::{Action, ClientSettings, FleetClient};
use curlewhub_control_plane::configuration::{ConfigNumber, SettingValues};
use curlewhub_control_plane::evidence::CallRecorder;
use curlewhub_control_plane::membership::{Member, Role};
use curlewhub_control_plane::protocol::{FORMAT, Message, PeerId};
use curlewhub_control_plane::record::{Hash, Record, RecordKind};
use curlewhub_control_plane::subscriber::SubscriberCounters;
use curlewhub_control_plane::view::View;
use curlewhub_rollout::record::CONFIG;
use curlewhub_rollout::subscriber::Subscriber;
use curlewhub_rollout::{self as rollout, settings};
use curlewhub_zone_failover::agent::{self, Agent};
use curlewhub_zone_failover::state_machine::Transition;
use curlewhub_zone_failover::zone_policy::{self, ZoneAccess, ZonePolicy};
use curlewhub_zone_failover::zone_states;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_blocking, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use tracing::{debug, info, warn};

/// Connections of peers that it accepts at once, at the most. With those to keepers and peers they come beside the
/// sidecar's own budget of sockets.
const MAX_ACCEPTED: usize = 32;
/// Messages that wait to be dealt with, at the most.
const MAX_INBOX: usize = 1024;
/// What is decided is written down before it is acted on, so that no start goes back behind it; but a disk that takes
/// longer than this is not waited for.
const MAX_WRITE_WAIT: Duration = Duration::from_millis(100);
/// How it stands is told this often, and an address that another process holds is asked for again.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// How a follower stands, for whoever reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubscriberStatus {
    /// Up to which version it acts.
    pub version: u64,
    /// How long ago a keeper confirmed that; none where none has since the start.
    pub age: Option<Duration>,
    /// What could not be taken.
    pub counts: SubscriberCounters,
    /// Keys whose newest record is not acted on.
    pub rejected_records: usize,
    /// Members that it knows of, itself among them; 0 until it is one.
    pub members: usize,
    /// Bytes that it has said to its fleet, and heard.
    pub traffic: (u64, u64),
    /// Which configuration is in force.
    pub config: ConfigNumber,
    /// It refuses a newer one.
    pub config_refused: bool,
    /// Configurations that it has refused since its start.
    pub config_refusals: u64,
}

/// What a follower's process does with it.
pub trait ViewHandler {
    /// Whether this build understands a record, and finds it sound: else what held of its key before holds on.
    ///
    /// # Errors
    /// Why it is not acted on.
    fn check(record: &Record) -> Result<(), RecordRejection> {
        match record.proposal.kind {
            RecordKind::ZONE_STATES | RecordKind::FREEZE => {
                zone_states::check(record).map_err(|why| RecordRejection::Invalid(why.to_string()))
            }
            RecordKind::CONFIG => {
                let read = curlewhub_rollout::record::read(record);
                read.map(|_| ()).map_err(|why| RecordRejection::Invalid(why.to_string()))
            }
            _ => curlewhub_control_plane::applied::check(record),
        }
    }
    /// These settings are to be in force from now on, and no others of the fleet's.
    ///
    /// # Errors
    /// Why it is refused; what was in force before holds on.
    fn configure(&mut self, values: &SettingValues) -> Result<(), String> {
        let problems = live::problems(values);
        if problems.is_empty() { Ok(()) } else { Err(settings::listed(&problems)) }
    }
    /// This is acted on from now on; `hash` is that of its version.
    fn view_applied(&mut self, acted: &AppliedRecords, hash: Hash);
    /// This may go into halls from now on; a time of it is on a clock that reads `now`.
    fn zone_access_changed(&mut self, _now: Duration, _rights: &[(String, ZoneAccess)]) {}
    /// A hall is to be probed so often.
    fn probe_zone(&mut self, _hall: &str, _count: u32) {}
    /// It stands like this; told every half second.
    fn status_changed(&mut self, status: SubscriberStatus);
    /// This went out and came in since the start; told just before [`ViewHandler::stands`].
    fn traffic_counted(&mut self, _traffic: &Traffic) {}
}

/// How it follows.
#[derive(Clone, Debug, Default)]
pub struct SubscriberOptions {
    /// Another process of the same name may still hold its address, as a sidecar's predecessor does: it follows without
    /// one until it comes free. Else that is an error.
    pub share_address: bool,
    /// What its process sees, if it is to be told, and when the clock of that began.
    pub recorder: Option<(Rc<RefCell<CallRecorder>>, Instant)>,
    /// The halls that its process calls into: what may go there is told it.
    pub zones: Vec<String>,
}

/// The wall clock, as this process is told to read it.
pub(crate) fn unix_ms(config: &FleetConfig) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    now.saturating_add_signed(config.clock_ahead_ms)
}

/// Both of its doors: streams, and datagrams at the same port.
pub(crate) async fn listen(config: &FleetConfig) -> Result<(TcpListener, UdpSocket), String> {
    let at = |e: std::io::Error| format!("listen: {}: {e}", config.listen);
    let streams = TcpListener::bind(config.listen).await.map_err(at)?;
    Ok((streams, UdpSocket::bind(config.listen).await.map_err(at)?))
}

/// This process, as its fleet is to know it.
pub(crate) fn own(config: &FleetConfig, role: Role, incarnation: u64) -> Member {
    Member {
        name: config.name.clone(),
        role,
        zone: config.zone.clone(),
        address: config.reached_at(),
        build: env!("CARGO_PKG_VERSION").to_owned(),
        format: FORMAT,
        incarnation,
        rejoins: 0,
    }
}

/// A view on its way to the disk.
struct PendingWrite {
    view: View,
    done: JoinHandle<std::io::Result<()>>,
    /// Whatever the disk does, it is acted on from then on.
    acts_at: tokio::time::Instant,
}

/// Whether the folder keeps what is handed to it.
enum Disk {
    /// The last write was synced.
    Keeps,
    /// It was not: so many writes in a row, and the next one is then.
    Failing { attempts: u32, retry_at: tokio::time::Instant },
}

impl Disk {
    fn failed(attempts: u32) -> Disk {
        let retry_at = tokio::time::Instant::now() + retry_after(attempts);
        Disk::Failing { attempts: attempts.saturating_add(1), retry_at }
    }
}

struct SubscriberProcess<'a, A: ViewHandler> {
    config: &'a FleetConfig,
    agent: Agent,
    transport: Rc<Transport>,
    file: ViewFile,
    listens: bool,
    disk: Disk,
    /// What is being written down, by a thread of its own: no disk holds traffic up.
    pending_write: Option<PendingWrite>,
    /// What it acts on.
    acted: AppliedRecords,
    /// Its part in rollouts of the configuration.
    subscriber: Subscriber,
    began: Instant,
    witness: Option<(Rc<RefCell<CallRecorder>>, Instant)>,
    to: &'a mut A,
}

/// Follows, until it is told to leave; dropped before that, it is missed by others after a while.
///
/// # Errors
/// What keeps it from starting, by field.
pub async fn run_subscriber(
    config: &FleetConfig,
    options: SubscriberOptions,
    to: &mut impl ViewHandler,
    leave: impl Future<Output = ()>,
) -> Result<(), String> {
    let keys = keys(config)?;
    let file = ViewFile::new(&config.state_dir);
    // A folder that can't be written to is no reason not to follow: it is only of use after a start.
    let by_clock = !file.has_started().unwrap_or(false);
    let written = file.incarnation(unix_ms(config));
    let failing = written.is_err();
    let incarnation = written.unwrap_or_else(|problem| {
        warn!(%problem, "fleet: the view can't be kept");
        unix_ms(config)
    });
    let view = file.view().unwrap_or_else(|problem| {
        // As one that was never there: what it had comes again.
        warn!(%problem, "fleet: the view that was kept is not used");
        View::default()
    });
    let doors = match listen(config).await {
        Ok(doors) => Some(doors),
        Err(_) if options.share_address => None,
        Err(problem) => return Err(problem),
    };
    let keepers: Vec<_> =
        config.consensus_servers.iter().map(|keeper| (keeper.name.clone(), keeper.address)).collect();
    let peers = config.peers.iter().map(|peer| (peer.name.clone(), peer.address)).collect();
    let (inbox, mut heard) = mpsc::channel(MAX_INBOX);
    let who = PeerId { name: config.name.clone(), incarnation };
    let addresses = keepers.iter().cloned().collect();
    let transport = Transport::new(MAX_ACCEPTED, who, keys, config.listen.ip(), addresses, inbox);
    info!(version = view.version().0, hash = ?view.hash(), incarnation, "fleet: following");
    let own = own(config, Role::Sidecar, incarnation);
    let mut client = FleetClient::new(
        ClientSettings { own, consensus_servers: keepers, peers, view, seed: rand::random() },
        Duration::ZERO,
    );
    if by_clock {
        client.counts_by_clock();
    }
    let part = (!options.zones.is_empty())
        .then(|| ZonePolicy::new(&config.name, &config.zone, options.zones, config.zone_failover.clone()));
    let agent = Agent::new(client, part, Duration::ZERO);
    let (began, witness, pending_write) = (Instant::now(), options.recorder, None);
    let disk = if failing { Disk::failed(0) } else { Disk::Keeps };
    let (acted, subscriber) = (AppliedRecords::default(), Subscriber::new(&config.name, &config.zone));
    let mut process = SubscriberProcess {
        config,
        agent,
        transport,
        file,
        listens: false,
        disk,
        pending_write,
        acted,
        subscriber,
        began,
        witness,
        to,
    };
    let first = process.act(&process.agent.client.view().clone(), true);
    process.carry_out(first);
    if let Some(doors) = doors {
        process.open(doors);
    }
    let mut turns = interval(STATUS_INTERVAL);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leave = pin!(leave);
    loop {
        let next = tokio::time::Instant::from_std(began + process.agent.next_wakeup());
        let late = process.pending_write.as_ref().map_or(next, |pending_write| pending_write.acts_at);
        let waits = process
            .pending_write
            .as_ref()
            .is_some_and(|pending_write| pending_write.view.version() > process.acted.version());
        let keeps = process.pending_write.is_some();
        let actions = tokio::select! {
            () = sleep_until(next) => process.agent.tick(began.elapsed()),
            Some(envelope) = heard.recv() => {
                process.agent.handle_message(began.elapsed(), &envelope.from, envelope.message)
            }
            done = kept(&mut process.pending_write), if keeps => {
                process.kept(done)
            }
            () = sleep_until(late), if waits => process.act_late(),
            _ = turns.tick() => {
                process.turn().await;
                Vec::new()
            }
            () = &mut leave => {
                let actions = process.agent.client.leave();
                process.carry_out(actions.into_iter().map(agent::Action::Client).collect());
                return Ok(());
            }
        };
        process.carry_out(actions);
    }
}

impl<A: ViewHandler> SubscriberProcess<'_, A> {
    /// It can be reached from now on.
    fn open(&mut self, (streams, datagrams): (TcpListener, UdpSocket)) {
        self.listens = true;
        spawn_local(self.transport.clone().accept(streams));
        spawn_local(self.transport.clone().receive_datagrams(datagrams));
        self.agent.client.join(self.began.elapsed());
    }

    /// What is done twice a second.
    async fn turn(&mut self) {
        let now = self.began.elapsed();
        let version = self.agent.client.view().version().0;
        let members = self.agent.client.membership().map_or(0, |members| members.alive_count() + 1);
        let traffic =
            (self.transport.traffic.bytes_sent.get(), self.transport.traffic.bytes_received.get());
        self.to.traffic_counted(&self.transport.traffic);
        let (age, counts) = (self.agent.client.age(now), self.agent.client.counters());
        let not_taken = self.acted.rejected().count();
        let config = self.subscriber.in_force();
        let refuses_config = self.subscriber.refused().is_some();
        let config_refusals = self.subscriber.refusals();
        self.to.status_changed(SubscriberStatus {
            version,
            age,
            counts,
            rejected_records: not_taken,
            members,
            traffic,
            config,
            config_refused: refuses_config,
            config_refusals,
        });
        self.report_config();
        // What was not kept is written anew, also where nothing new is decided.
        if let Disk::Failing { retry_at, .. } = self.disk
            && self.pending_write.is_none()
            && tokio::time::Instant::now() >= retry_at
        {
            self.keep();
        }
        if !self.listens
            && let Ok(doors) = listen(self.config).await
        {
            self.open(doors);
        }
    }

    fn tell(&mut self) -> Vec<agent::Action> {
        let renews = self.agent.renewal_interval();
        let digest = self
            .witness
            .as_ref()
            .and_then(|(witness, began)| witness.borrow_mut().take_digest(began.elapsed(), renews));
        digest.map(|digest| self.agent.report_evidence(self.began.elapsed(), &digest)).unwrap_or_default()
    }

    fn carry_out(&mut self, actions: Vec<agent::Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                agent::Action::Client(action) => changed |= self.of_fleet(action),
                agent::Action::Policy(action) => self.of_halls(action),
            }
        }
        if changed && self.pending_write.is_none() {
            self.keep();
        }
    }

    /// Whether the view is another one now.
    fn of_fleet(&mut self, action: Action) -> bool {
        match action {
            Action::Send(to, at, message) => self.transport.send(&to, at, message),
            Action::ReportEvidence => {
                let told = self.tell();
                self.carry_out(told);
            }
            Action::SendDatagram(to, message) => self.transport.send_datagram(to, message),
            Action::Joined(member) => {
                self.transport.set_peer_format(&member.name, Some(member.format));
                let Member { name, zone, incarnation, .. } = member;
                debug!(name, zone, incarnation, "fleet: a member is there");
            }
            Action::Left(member) => {
                self.transport.set_peer_format(&member.name, None);
                let Member { name, zone, incarnation, .. } = member;
                debug!(name, zone, incarnation, "fleet: a member is gone");
            }
            Action::IncarnationRaised(incarnation) => {
                info!(
                    incarnation,
                    "fleet: an earlier start counted itself higher; going on by this number"
                );
                self.transport.set_incarnation(incarnation);
                let file = self.file.clone();
                file.counts_by(incarnation); // written with the next view at the latest
                spawn_blocking(move || file.incarnation(incarnation)); // for the next start; not waited for
            }
            Action::Rejoined => info!("fleet: taken for gone, and back"),
            Action::Displaced(by) => {
                let incarnation = by.incarnation;
                warn!(incarnation, at = %by.address, "fleet: a later process has this name; following on, and no member");
            }
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

    fn of_halls(&mut self, action: zone_policy::Action) {
        match action {
            zone_policy::Action::AccessChanged(rights) => {
                let now = self.began.elapsed();
                self.to.zone_access_changed(now, &rights);
            }
            zone_policy::Action::Probe(zone, count) => self.to.probe_zone(&zone, count),
            zone_policy::Action::Autonomous(true) => {
                warn!("fleet: no keeper for long; halls go by own calls")
            }
            zone_policy::Action::Autonomous(false) => info!("fleet: halls go by what keepers decide"),
            zone_policy::Action::Transition(Transition { zone, from, to, why }) => {
                info!(zone, ?from, ?to, why, "fleet: hall moved by own calls");
            }
        }
    }

    /// Writes the view down; once that is done, or takes too long, it is acted on.
    fn keep(&mut self) {
        let (file, view) = (self.file.clone(), self.agent.client.view().clone());
        let written = view.clone();
        let done = spawn_blocking(move || file.store(&written));
        self.pending_write =
            Some(PendingWrite { view, done, acts_at: tokio::time::Instant::now() + MAX_WRITE_WAIT });
    }

    /// The disk takes too long: it is acted on what is being written, and not on what came since, which no disk was handed.
    fn act_late(&mut self) -> Vec<agent::Action> {
        let view = self.pending_write.as_ref().map(|pending_write| pending_write.view.clone());
        view.map(|view| self.act(&view, false)).unwrap_or_default()
    }

    fn kept(&mut self, done: std::io::Result<()>) -> Vec<agent::Action> {
        self.disk = match (&done, &self.disk) {
            (Ok(()), Disk::Keeps) => Disk::Keeps,
            (Ok(()), Disk::Failing { .. }) => {
                info!("fleet: the view is kept again");
                Disk::Keeps
            }
            (Err(problem), Disk::Keeps) => {
                // It acts on what it holds whether its disk keeps it or not: only a start after a crash is the worse for it.
                warn!(%problem, "fleet: the view can't be kept");
                Disk::failed(0)
            }
            (Err(_), Disk::Failing { attempts, .. }) => Disk::failed(*attempts),
        };
        let Some(pending_write) = self.pending_write.take() else { return Vec::new() };
        let actions = self.act(&pending_write.view, false);
        if self.agent.client.view().version() > self.acted.version() {
            self.keep();
        }
        actions
    }

    fn act(&mut self, view: &View, first: bool) -> Vec<agent::Action> {
        if view.version() <= self.acted.version() && !first {
            return Vec::new();
        }
        for came in self.acted.apply(view, A::check) {
            if let RecordOutcome::RecordRejection(record, why) = came {
                let (version, key) = (record.version.0, &record.proposal.key);
                warn!(version, key, %why, "fleet: not acted on");
            }
        }
        let actions = self.agent.apply(self.began.elapsed(), &self.acted);
        self.configure();
        self.to.view_applied(&self.acted, view.hash());
        actions
    }

    /// Has the configuration that is decided for this process put into force, and reports what has come of it.
    fn configure(&mut self) {
        let Some(rollout) = self.acted.get(CONFIG).and_then(|record| rollout::record::read(record).ok())
        else {
            return;
        };
        let to = &mut *self.to;
        self.subscriber.decided(&rollout, |ConfigNumber(number), values| {
            let settings = values.len();
            let taken = to.configure(values);
            match &taken {
                Ok(()) => info!(number, settings, "fleet: configuration in force"),
                Err(why) => warn!(number, why, "fleet: configuration refused; going on as before"),
            }
            taken
        });
        self.report_config();
    }

    /// Tells every consensus server what is in force here, where that is new or due again.
    fn report_config(&mut self) {
        let Some(report) = self.subscriber.report(self.began.elapsed()) else { return };
        for keeper in &self.config.consensus_servers {
            self.transport.send(&keeper.name, None, Message::ReportConfig(report.clone()));
        }
    }
}

/// How the write under way has ended.
async fn kept(pending_write: &mut Option<PendingWrite>) -> std::io::Result<()> {
    match pending_write {
        Some(pending_write) => {
            (&mut pending_write.done).await.unwrap_or_else(|e| Err(std::io::Error::other(e)))
        }
        None => std::future::pending().await,
    }
}
