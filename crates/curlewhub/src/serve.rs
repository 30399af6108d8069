//! A sidecar process: creates and connects the components, and serves until it is terminated.

mod error;
mod signals;

use crate::logs::{DropCounters, LogControl};
use crate::member::{self, FleetMembership};
use crate::reload::Reloader;
use curlewhub_balance::Balancer;
use curlewhub_config::{Config, LoadedConfig};
use curlewhub_connection_quota::QuotaSettings;
use curlewhub_runtime::budget::Budget;
use curlewhub_runtime::clock::Clock;
use curlewhub_runtime::discovery::Discovery;
use curlewhub_runtime::driver::{Dependencies, Driver};
use curlewhub_runtime::endpoint_bans::EndpointBans;
use curlewhub_runtime::events::{Command, Commands, Inbox, Input, ListCommand};
use curlewhub_runtime::figures::Metrics;
use curlewhub_runtime::handover::protocol::Connection;
use curlewhub_runtime::handover::{self, HandedOver, Handover};
use curlewhub_runtime::idempotency_keys::IdempotencyKeys;
use curlewhub_runtime::inbound::Inbound;
use curlewhub_runtime::job_records::{JournalKind, JournalLocation};
use curlewhub_runtime::learned_state::LearnedState;
use curlewhub_runtime::lifecycle::Lifecycle;
use curlewhub_runtime::listing::Listing;
use curlewhub_runtime::operator::Operator;
use curlewhub_runtime::outbound::Outbound;
use curlewhub_runtime::request_ids::RequestIds;
use curlewhub_runtime::sent_jobs::SentJobs;
use curlewhub_runtime::slots::Slots;
use curlewhub_runtime::static_list;
use curlewhub_snapshot::{Store, fingerprint};
pub use error::ServeError;
use signals::{SignalRequest, Signals};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// Time that a successor waits for discovery before it serves with the cached endpoint list. It has to be
/// ready within 6 s; its predecessor serves in the meantime.
const FRESH_LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between requests for the list during that time.
const FRESH_LIST_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks whether the list has arrived.
const FRESH_LIST_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between reports of dropped log lines.
const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(1);

/// Serves until the process is terminated.
///
/// # Errors
/// The sidecar could not start, or its driver ended.
pub async fn run(
    loaded: LoadedConfig,
    drop_counters: DropCounters,
    log: LogControl,
) -> Result<(), ServeError> {
    let signals = Signals::install()?;
    let core = CoreComponents::new(&loaded.config)?;
    // First, so that operator calls are answered throughout startup.
    core.start_operator(&loaded.config).await?;
    let listener_setup = ListenerSetup::open(&loaded.config, &core.handover).await?;
    warn_about_overridden_settings(&loaded.config);
    let sidecar = Sidecar::start(loaded, log, core, listener_setup.bans);
    spawn_local(log_dropped_lines(drop_counters));
    sidecar.serve(listener_setup.listener, listener_setup.predecessor, signals).await
}

/// The components that all others depend on.
struct CoreComponents {
    clock: Clock,
    balancer: Balancer,
    budget: Rc<Budget>,
    metrics: Rc<Metrics>,
    lifecycle: Rc<Lifecycle>,
    handover: Rc<Handover>,
    commands: Commands,
    command_queue: UnboundedReceiver<Command>,
}

impl CoreComponents {
    fn new(config: &Config) -> Result<Self, ServeError> {
        let clock = Clock::start();
        let balancer = Balancer::new(config.settings.clone(), config.seed, clock.now())?;
        let budget = Budget::new(config.sockets, config.memory_mb);
        let metrics = Metrics::new(config.names.classes.iter().map(|class| class.name.clone()));
        let lifecycle = Lifecycle::new(longest_deadline(config));
        let (commands, command_queue) = mpsc::unbounded_channel();
        let handover = Handover::new(&config.state_dir, config.listen, budget.clone(), commands.clone());
        Ok(CoreComponents {
            clock,
            balancer,
            budget,
            metrics,
            lifecycle,
            handover,
            commands,
            command_queue,
        })
    }

    /// Starts serving operator calls, if an operator address is configured.
    async fn start_operator(&self, config: &Config) -> Result<(), ServeError> {
        let Some(address) = config.operator else { return Ok(()) };
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| ServeError::bind("operator", address, source, ""))?;
        let operator = Operator::new(
            self.lifecycle.clone(),
            self.metrics.clone(),
            self.commands.clone(),
            self.handover.clone(),
            self.budget.clone(),
        );
        spawn_local(operator.serve(listener));
        Ok(())
    }
}

/// The clients' listening socket and the endpoint bans: taken over from a predecessor, or opened without
/// one.
struct ListenerSetup {
    listener: TcpListener,
    predecessor: Option<Connection>,
    bans: Rc<EndpointBans>,
}

impl ListenerSetup {
    /// Takes over the predecessor's listening socket and bans, if there is one to replace; otherwise binds
    /// a new socket and loads the bans from disk.
    async fn open(config: &Config, handover: &Rc<Handover>) -> Result<Self, ServeError> {
        const HINT: &str = "; `--replace` takes over from a curlewhub that serves there";
        let bans = EndpointBans::load(&config.state_dir, config.listen);
        let handed_over = if config.may_take_over { handover.take_over().await } else { None };
        let (listener, predecessor) = match handed_over {
            Some(HandedOver { listener, bans: uids, connection }) => {
                bans.replace(uids);
                (listener, Some(connection))
            }
            None => {
                let bound = handover::bind(config.listen, config.may_take_over);
                let listener =
                    bound.map_err(|source| ServeError::bind("listen", config.listen, source, HINT))?;
                (listener, None)
            }
        };
        handover.set_listener(&listener).map_err(|source| {
            let (field, address) = ("listen", config.listen);
            ServeError::Listen { field, address, source }
        })?;
        Ok(ListenerSetup { listener, predecessor, bans })
    }
}

/// The source of the endpoint list (discovery or the configuration file) and the queue of commands to it.
struct ListSource {
    listing: Rc<Listing>,
    /// `None` if the list is static.
    discovery: Option<Rc<Discovery>>,
    list_commands: UnboundedSender<ListCommand>,
}

impl ListSource {
    /// Starts discovery or the static list. The initial list is queued at once, before any request.
    fn start(config: &Config, clock: Clock, inbox: &Inbox) -> Self {
        let listing = Listing::new(config.names.clone());
        let (list_commands, list_command_queue) = mpsc::unbounded_channel();
        let Some(address) = config.discovery else {
            let _ = inbox.send(Input::ListUpdate(listing.update(config.initial_list.clone())));
            spawn_local(static_list::run(
                config.initial_list.targets.clone(),
                longest_deadline(config),
                clock,
                listing.clone(),
                list_command_queue,
                inbox.clone(),
            ));
            return ListSource { listing, discovery: None, list_commands };
        };
        let mode = config.settings.discovery;
        let discovery = Discovery::new(
            address,
            mode,
            &config.settings.rules,
            listing.clone(),
            config.seed,
            inbox.clone(),
        );
        let _ = inbox.send(Input::ListUpdate(discovery.cached(config.initial_list.clone())));
        spawn_local(discovery.clone().run(list_command_queue));
        ListSource { listing, discovery: Some(discovery), list_commands }
    }

    /// Waits for a current list: the initial one may be as old as the predecessor process.
    async fn wait_for_fresh_list(&self) {
        let Some(discovery) = &self.discovery else { return };
        let start = Instant::now();
        let mut requested_at: Option<Instant> = None;
        while !discovery.is_fresh() && start.elapsed() < FRESH_LIST_TIMEOUT {
            if requested_at.is_none_or(|at| at.elapsed() >= FRESH_LIST_REQUEST_INTERVAL) {
                requested_at = Some(Instant::now());
                let _ = self.list_commands.send(ListCommand::Fetch); // fails only while the process ends
            }
            sleep(FRESH_LIST_CHECK_INTERVAL).await;
        }
    }
}

/// The last steps before the process is ready.
struct Startup {
    lifecycle: Rc<Lifecycle>,
    handover: Rc<Handover>,
    bans: Rc<EndpointBans>,
    outbound: Rc<Outbound>,
    list_source: ListSource,
    learned_state: Rc<LearnedState>,
}

impl Startup {
    /// If discovery has not been heard, endpoints that the predecessor was notified are leaving must not be used by the list
    /// of the start.
    async fn restrict_stale_list(&self) {
        if self.list_source.discovery.as_ref().is_none_or(|discovery| discovery.is_fresh()) {
            return;
        }
        if let Some(uids) = self.handover.request_usable_endpoints().await {
            let command = ListCommand::RestrictInitialList(uids);
            let _ = self.list_source.list_commands.send(command); // fails only while the process ends
        }
    }

    /// Makes the process ready, and then serves handovers to successors. Does not return.
    async fn run(&self, has_predecessor: bool) {
        if has_predecessor {
            self.list_source.wait_for_fresh_list().await;
            self.restrict_stale_list().await;
        }
        // As late as possible, so that the predecessor's state is recent; this process has not learned
        // anything yet.
        match self.handover.request_learned_state().await {
            Some(bytes) => drop(self.learned_state.restore(&bytes, "the process before").await),
            None => self.learned_state.restore_from_file().await,
        }
        self.lifecycle.start_completed();
        let handover = self.handover.clone();
        let has_successor = move || handover.has_successor();
        spawn_local(self.learned_state.clone().write_periodically(self.lifecycle.clone(), has_successor));
        let handover = self.handover.clone();
        handover.serve_successors(self.bans.clone(), self.lifecycle.clone(), self.outbound.clone()).await;
        std::future::pending::<()>().await;
    }
}

/// A sidecar whose driver is running, but which does not accept clients yet.
struct Sidecar {
    config: Config,
    inbound: Rc<Inbound>,
    reloader: Rc<Reloader>,
    fleet: FleetMembership,
    driver: JoinHandle<()>,
    startup: Startup,
}

impl Sidecar {
    /// Creates and connects the components, and starts the driver.
    fn start(loaded: LoadedConfig, log: LogControl, core: CoreComponents, bans: Rc<EndpointBans>) -> Self {
        let CoreComponents {
            clock,
            balancer,
            budget,
            metrics,
            lifecycle,
            handover,
            commands,
            command_queue,
        } = core;
        let config = loaded.config.clone();
        let (inbox, inputs) = mpsc::unbounded_channel();
        let outbound = new_outbound(&config, &budget, &metrics);
        let inbound = Inbound::new(
            config.settings.clone(),
            &config.names,
            budget.clone(),
            outbound.clone(),
            lifecycle.clone(),
            metrics.clone(),
            inbox.clone(),
        );
        let learned_state =
            new_learned_state(&config, clock, commands.clone(), inbox.clone(), metrics.clone());
        handover.set_learned_state(learned_state.clone());
        let list_source = ListSource::start(&config, clock, &inbox);
        let sent_jobs = open_sent_jobs(&config, clock, metrics.clone());
        let list_commands = list_source.list_commands.clone();
        let reloader = Reloader::new(loaded, metrics.clone(), list_commands.clone(), log);
        let fleet = member::join(&config, &metrics, &commands, clock, reloader.clone());
        let dependencies = Dependencies {
            outbound: outbound.clone(),
            budget,
            listing: list_source.listing.clone(),
            bans: bans.clone(),
            lifecycle: lifecycle.clone(),
            sent_jobs,
            call_observer: fleet.call_observer.clone(),
        };
        let max_attempts = config.settings.limits.max_attempts;
        let driver = Driver::new(balancer, clock, max_attempts, dependencies, list_commands, inbox);
        let driver = spawn_local(driver.run(inputs, command_queue));
        spawn_local(outbound.clone().sweep());
        let startup = Startup { lifecycle, handover, bans, outbound, list_source, learned_state };
        Sidecar { config, inbound, reloader, fleet, driver, startup }
    }

    /// Serves clients until the process is terminated and draining is complete.
    async fn serve(
        mut self,
        listener: TcpListener,
        predecessor: Option<Connection>,
        mut signals: Signals,
    ) -> Result<(), ServeError> {
        info!(name = self.config.name, listen = %self.config.listen, "serving");
        let (lifecycle, handover) = (self.startup.lifecycle.clone(), self.startup.handover.clone());
        let has_predecessor = predecessor.is_some();
        if let Some(connection) = predecessor {
            handover.follow_predecessor(connection);
        }
        self.fleet.wait_for_view().await;
        let mut serving = pin!(self.inbound.serve(listener, handover));
        let mut startup = pin!(self.startup.run(has_predecessor));
        loop {
            tokio::select! {
                () = &mut serving => break,
                () = &mut startup => {}
                result = &mut self.driver => return Err(ServeError::DriverEnded(result)),
                request = signals.next() => match request {
                    SignalRequest::Terminate => lifecycle.terminate(),
                    SignalRequest::Reload => self.reloader.reload_file(),
                }
            }
        }
        let shutdown = lifecycle.shutdown();
        let time_left = shutdown.map(|end| end.kill_at().saturating_duration_since(Instant::now()));
        self.fleet.leave(time_left.unwrap_or_default()).await;
        Ok(())
    }
}

fn longest_deadline(config: &Config) -> Duration {
    config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
}

fn new_outbound(config: &Config, budget: &Rc<Budget>, metrics: &Rc<Metrics>) -> Rc<Outbound> {
    let quota_settings =
        QuotaSettings { sidecars: config.settings.balancers, endpoint_limit: config.endpoint_connections };
    let slots = Slots::new(quota_settings, config.seed);
    Outbound::new(&config.settings, budget.clone(), slots, metrics.clone())
}

fn new_learned_state(
    config: &Config,
    clock: Clock,
    commands: Commands,
    inbox: Inbox,
    metrics: Rc<Metrics>,
) -> Rc<LearnedState> {
    let store = Store::new(&config.state_dir, config.listen);
    LearnedState::new(clock, fingerprint(&config.settings), store, commands, inbox, metrics)
}

/// Opens what is remembered of jobs that may have run.
fn open_sent_jobs(config: &Config, clock: Clock, metrics: Rc<Metrics>) -> SentJobs {
    let (state_dir, listen, zones) = (&config.state_dir, config.listen, &config.names.zones);
    let keys = JournalLocation { state_dir, listen, kind: JournalKind::Keys, zones };
    let ids = JournalLocation { kind: JournalKind::RequestIds, ..keys };
    SentJobs {
        keys: IdempotencyKeys::open(&keys, &config.settings, metrics, clock),
        ids: RequestIds::open(&ids, &config.settings, clock),
    }
}

fn warn_about_overridden_settings(config: &Config) {
    for warning in &config.warnings {
        warn!(
            field = warning.field,
            problem = warning.problem,
            "configuration: taken as if it were otherwise"
        );
    }
}

async fn log_dropped_lines(drop_counters: DropCounters) {
    let mut unwritten = 0;
    loop {
        sleep(DROPPED_LINES_INTERVAL).await;
        drop_counters.log(&mut unwritten);
    }
}
