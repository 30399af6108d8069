//! Starts the sidecar's parts, wires them together, and hands them the signals.

use crate::logs::{Counts, LogControl};
use crate::reload::Reloader;
use curlewhub_balance::Balancer;
use curlewhub_config::{Config, Loaded};
use curlewhub_connection_quota::Terms;
use curlewhub_runtime::bans::Bans;
use curlewhub_runtime::budget::Budget;
use curlewhub_runtime::clock::Clock;
use curlewhub_runtime::discovery::Discovery;
use curlewhub_runtime::driver::{Driver, Parts};
use curlewhub_runtime::events::{Call, Input};
use curlewhub_runtime::figures::Figures;
use curlewhub_runtime::handover::{self, Handover, Taken};
use curlewhub_runtime::inbound::Inbound;
use curlewhub_runtime::keyed::Keyed;
use curlewhub_runtime::learnt::Learnt;
use curlewhub_runtime::lifecycle::Lifecycle;
use curlewhub_runtime::listing::Listing;
use curlewhub_runtime::operator::Operator;
use curlewhub_runtime::outbound::Outbound;
use curlewhub_runtime::slots::Slots;
use curlewhub_runtime::static_list;
use curlewhub_snapshot::{Store, fingerprint};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// A successor whose discovery does not answer serves after this long with the list as last held: its
/// yes is due within 6 s, and the process before it goes on in the meantime.
const FRESH_MOST: Duration = Duration::from_secs(5);
/// How often it asks for the list until then.
const FRESH_ASK: Duration = Duration::from_millis(500);
/// How often it looks whether the list has come.
const FRESH_CHECK: Duration = Duration::from_millis(10);

/// How often the log tells what of it was dropped.
const DROPPED_EVERY: Duration = Duration::from_secs(1);

/// What listens or is handed over before the rest of the sidecar is there.
struct Doors {
    listener: TcpListener,
    /// The process before this one, if it serves.
    before: Option<handover::Talk>,
    bans: Rc<Bans>,
}

/// Serves until told to end.
///
/// # Errors
/// What keeps the sidecar from starting, by field, or what ended it.
pub async fn run(loaded: Loaded, counts: Counts, log: LogControl) -> Result<(), String> {
    let config = loaded.config.clone();
    // Without a handler SIGHUP would end the process.
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let clock = Clock::start();
    let balancer = Balancer::new(config.settings.clone(), config.seed, clock.now())
        .map_err(|e| format!("settings: {e}"))?;
    let budget = Budget::new(config.sockets, config.memory_mb);
    let figures = Figures::new(config.names.classes.iter().map(|class| class.name.clone()));
    let longest_deadline =
        config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let lifecycle = Lifecycle::new(longest_deadline);
    let (commands, commanded) = mpsc::unbounded_channel();
    let handover =
        Handover::new(&config.state_dir, config.listen, config.sockets, budget.clone(), commands.clone());
    if let Some(at) = config.operator {
        // Before all else: whoever asks is owed an answer from the start on.
        let listener = TcpListener::bind(at).await.map_err(|e| taken("operator", at, &e, ""))?;
        let operator = Operator::new(
            lifecycle.clone(),
            figures.clone(),
            commands.clone(),
            handover.clone(),
            budget.clone(),
        );
        spawn_local(operator.serve(listener));
    }
    let Doors { listener, before, bans } = open(&config, &handover).await?;
    let (inbox, inputs) = mpsc::unbounded_channel();
    let (calls, asked) = mpsc::unbounded_channel();
    let terms = Terms { sidecars: config.settings.balancers, accepts: config.endpoint_connections };
    let slots = Slots::new(terms, config.seed);
    let outbound = Outbound::new(&config.settings, budget.clone(), slots, figures.clone());
    for note in &config.notes {
        warn!(field = note.field, problem = note.problem, "configuration: taken as if it were otherwise");
    }
    let inbound = Inbound::new(
        config.settings.clone(),
        &config.names,
        budget,
        outbound.clone(),
        lifecycle.clone(),
        figures.clone(),
        inbox.clone(),
    );
    let listing = Listing::new(config.names.clone());
    let fleet_commands = commands.clone();
    let learnt = Learnt::new(
        clock,
        fingerprint(&config.settings),
        Store::new(&config.state_dir, config.listen),
        commands,
        inbox.clone(),
        figures.clone(),
    );
    handover.lets_learn(learnt.clone());
    // The list as last held is there before the first client.
    let discovery = match config.discovery {
        Some(at) => {
            let mode = config.settings.discovery;
            let discovery = Discovery::new(at, mode, listing.clone(), config.seed, inbox.clone());
            let _ = inbox.send(Input::List(discovery.cached(config.known.clone())));
            spawn_local(discovery.clone().run(asked));
            Some(discovery)
        }
        None => {
            let _ = inbox.send(Input::List(listing.news(config.known.clone())));
            let targets = config.known.targets.clone();
            spawn_local(static_list::run(
                targets,
                longest_deadline,
                clock,
                listing.clone(),
                asked,
                inbox.clone(),
            ));
            None
        }
    };
    let attempts = config.settings.limits.max_attempts;
    let (folder, zones) = (&config.state_dir, &config.names.areas);
    let keyed = Keyed::open(folder, config.listen, &config.settings, zones, figures.clone(), clock);
    let (bans_held, life) = (bans.clone(), lifecycle.clone());
    let reloader = Reloader::new(loaded, figures.clone(), calls.clone(), log);
    let mut fleet = crate::member::join(&config, &figures, &fleet_commands, clock, reloader.clone());
    let sight = fleet.sight.clone();
    let parts =
        Parts { outbound: outbound.clone(), listing, bans: bans_held, lifecycle: life, keyed, sight };
    let driver = Driver::new(balancer, clock, attempts, parts, calls.clone(), inbox);
    let mut driver = spawn_local(driver.run(inputs, commanded));
    spawn_local(outbound.clone().sweep());
    spawn_local(tell_dropped(counts));
    info!(name = config.name, listen = %config.listen, "serving");
    let succeeds = before.is_some();
    if let Some(talk) = before {
        handover.follow(talk);
    }
    fleet.begun().await;
    let mut serving = pin!(inbound.serve(listener, handover.clone()));
    let mut offered = pin!(async {
        if let Some(discovery) = discovery.filter(|_| succeeds) {
            fresh_list(&discovery, &calls).await;
        }
        // As late as can be: what was learnt until now is the freshest, and this module has none of its own.
        match handover.learn().await {
            Some(bytes) => drop(learnt.give(&bytes, "the process before").await),
            None => learnt.read().await,
        }
        lifecycle.complete();
        spawn_local(learnt.keep(lifecycle.clone(), handover.clone()));
        handover.clone().offer(bans, lifecycle.clone(), outbound.clone()).await;
        std::future::pending::<()>().await;
    });
    loop {
        tokio::select! {
            () = &mut serving => break,
            () = &mut offered => {}
            ended = &mut driver => return Err(format!("the driver ended: {ended:?}")),
            _ = term.recv() => lifecycle.terminate(),
            _ = int.recv() => lifecycle.terminate(),
            _ = hup.recv() => reloader.file(),
        }
    }
    let left = lifecycle.shutdown().map(|end| end.kill().saturating_duration_since(Instant::now()));
    fleet.leave(left.unwrap_or_default()).await;
    Ok(())
}

/// The clients' listener: handed over by the process before this one, or bound anew.
async fn open(config: &Config, handover: &Rc<Handover>) -> Result<Doors, String> {
    let bans = Bans::load(&config.state_dir, config.listen);
    let handed = if config.replaces { handover.take().await } else { None };
    let (listener, before) = match handed {
        Some(Taken { listener, bans: held, talk }) => {
            bans.replace(held);
            (listener, Some(talk))
        }
        None => {
            let hint = "; `--replace` takes over from a curlewhub that serves there";
            let bound = handover::bind(config.listen, config.replaces);
            (bound.map_err(|e| taken("listen", config.listen, &e, hint))?, None)
        }
    };
    handover.keep(&listener).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    Ok(Doors { listener, before, bans })
}

/// Why an address can't be listened on.
fn taken(field: &str, at: SocketAddr, error: &io::Error, hint: &str) -> String {
    match error.kind() {
        io::ErrorKind::AddrInUse => format!("{field}: {at}: another program listens there already{hint}"),
        _ => format!("{field}: {at}: {error}"),
    }
}

async fn tell_dropped(counts: Counts) {
    let mut unwritten = 0;
    loop {
        sleep(DROPPED_EVERY).await;
        counts.log(&mut unwritten);
    }
}

/// Waits for the list as discovery has it now: the known one may be as old as the process before.
async fn fresh_list(discovery: &Rc<Discovery>, calls: &UnboundedSender<Call>) {
    let start = Instant::now();
    let mut asked = None;
    while !discovery.is_fresh() && start.elapsed() < FRESH_MOST {
        if asked.is_none_or(|at: Instant| at.elapsed() >= FRESH_ASK) {
            asked = Some(Instant::now());
            let _ = calls.send(Call::Fetch); // fails only while the process ends
        }
        sleep(FRESH_CHECK).await;
    }
}
