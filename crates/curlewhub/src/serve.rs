//! Starts the sidecar's parts, wires them together, and hands them the signals.

use curlewhub_balance::Balancer;
use curlewhub_config::Config;
use curlewhub_runtime::bans::Bans;
use curlewhub_runtime::budget::Budget;
use curlewhub_runtime::clock::Clock;
use curlewhub_runtime::discovery::Discovery;
use curlewhub_runtime::driver::{Driver, Parts};
use curlewhub_runtime::events::{Call, Input};
use curlewhub_runtime::figures::Figures;
use curlewhub_runtime::handover::{self, Handover, Taken};
use curlewhub_runtime::inbound::Inbound;
use curlewhub_runtime::lifecycle::Lifecycle;
use curlewhub_runtime::listing::Listing;
use curlewhub_runtime::operator::Operator;
use curlewhub_runtime::outbound::Outbound;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// A successor whose discovery does not answer serves after this long with the list as last held: its
/// yes is due within 6 s, and the process before it goes on in the meantime.
const FRESH_MOST: Duration = Duration::from_secs(5);
/// How often it asks for the list until then.
const FRESH_ASK: Duration = Duration::from_millis(500);
/// How often it looks whether the list has come.
const FRESH_CHECK: Duration = Duration::from_millis(10);

/// Serves until told to end.
///
/// # Errors
/// What keeps the sidecar from starting, by field, or what ended it.
pub async fn run(config: Config) -> Result<(), String> {
    let Config {
        name,
        listen,
        discovery,
        operator,
        seed,
        sockets,
        memory_mb,
        known,
        settings,
        names,
        mut file,
    } = config;
    // Without a handler SIGHUP would end the process.
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let clock = Clock::start();
    let balancer =
        Balancer::new(settings.clone(), seed, clock.now()).map_err(|e| format!("settings: {e}"))?;
    let budget = Budget::new(sockets, memory_mb);
    let figures = Figures::new(names.classes.iter().map(|class| class.name.clone()));
    let lifecycle = Lifecycle::new();
    let (commands, commanded) = mpsc::unbounded_channel();
    let folder = std::env::temp_dir();
    let handover = Handover::new(&folder, listen, sockets, budget.clone(), commands.clone());
    if let Some(at) = operator {
        // Before all else: whoever asks is owed an answer from the start on.
        let listener = TcpListener::bind(at).await.map_err(|e| format!("operator: {at}: {e}"))?;
        let operator =
            Operator::new(lifecycle.clone(), figures.clone(), commands, handover.clone(), budget.clone());
        spawn_local(operator.serve(listener));
    }
    let bans = Bans::load(&folder, listen);
    let (listener, before) = match handover.take().await {
        Some(Taken { listener, bans: held, talk }) => {
            bans.replace(held);
            (listener, Some(talk))
        }
        None => (handover::bind(listen).map_err(|e| format!("listen: {listen}: {e}"))?, None),
    };
    handover.keep(&listener).map_err(|e| format!("listen: {listen}: {e}"))?;
    let (inbox, inputs) = mpsc::unbounded_channel();
    let (calls, asked) = mpsc::unbounded_channel();
    let outbound = Outbound::new(&settings, budget.clone(), figures.clone());
    let inbound = Inbound::new(
        settings.clone(),
        &names,
        budget,
        outbound.clone(),
        lifecycle.clone(),
        figures.clone(),
        inbox.clone(),
    );
    let listing = Listing::new(names);
    let discovery = Discovery::new(discovery, settings.discovery, listing.clone(), seed, inbox.clone());
    // The list as last held is there before the first client.
    let _ = inbox.send(Input::List(discovery.cached(known)));
    let attempts = settings.limits.max_attempts;
    let parts = Parts { outbound: outbound.clone(), listing, bans: bans.clone() };
    let driver = Driver::new(balancer, clock, attempts, parts, calls.clone(), inbox);
    let mut driver = spawn_local(driver.run(inputs, commanded));
    spawn_local(discovery.clone().run(asked));
    spawn_local(outbound.clone().sweep());
    eprintln!("{name}: serving on {listen}");
    let succeeds = before.is_some();
    if let Some(talk) = before {
        handover.follow(talk);
    }
    let mut serving = pin!(inbound.serve(listener, handover.clone()));
    let mut offered = pin!(async {
        if succeeds {
            fresh_list(&discovery, &calls).await;
        }
        lifecycle.complete();
        handover.clone().offer(bans, lifecycle.clone(), outbound.clone()).await;
        std::future::pending::<()>().await;
    });
    loop {
        tokio::select! {
            () = &mut serving => return Ok(()),
            () = &mut offered => {}
            ended = &mut driver => return Err(format!("the driver ended: {ended:?}")),
            _ = term.recv() => lifecycle.terminate(),
            _ = hup.recv() => match Config::reload(&mut file) {
                Ok((moved, restart)) => {
                    figures.reconfigured(true);
                    eprintln!("reloaded: discovery {}", moved.map_or("as it was".to_owned(), |at| at.to_string()));
                    if !restart.is_empty() {
                        eprintln!("reloaded: changes that need a restart: {}", restart.join(", "));
                    }
                    if let Some(address) = moved {
                        let _ = calls.send(Call::Move(address)); // fails only while the process ends
                    }
                }
                Err(problem) => {
                    figures.reconfigured(false);
                    eprintln!("reload: {problem}; going on as before");
                }
            },
        }
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
