//! A follower's process: it holds the view, keeps it on disk, and passes it on.

use crate::config::FleetConfig;
use crate::links::Links;
use crate::store::Store;
use curlewhub_fleet::holder::{Action, Holder};
use curlewhub_fleet::view::View;
use curlewhub_fleet::wire::Who;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep_until;
use tracing::{info, warn};

/// Messages that wait to be dealt with, at the most.
const INBOX_MOST: usize = 1024;

/// Follows, until it is dropped; tells of each view that it acts on.
///
/// # Errors
/// What keeps it from starting, by field.
pub async fn follow(config: &FleetConfig, mut acts: impl FnMut(&View)) -> Result<(), String> {
    let keys = config.keys()?;
    let at = |e: &dyn std::fmt::Display| format!("state_dir: {}: {e}", config.state_dir.display());
    std::fs::create_dir_all(&config.state_dir).map_err(|e| at(&e))?;
    let store = Store::open(&config.state_dir.join("view.redb")).map_err(|e| at(&e))?;
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let incarnation = store.incarnation(unix_ms).map_err(|e| at(&e))?;
    let view = store.view().unwrap_or_else(|problem| {
        // As one that has never held any: what it had comes again.
        warn!(%problem, "fleet: the view that was kept is not used");
        View::default()
    });
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let keepers: Vec<String> = config.keepers.iter().map(|keeper| keeper.name.clone()).collect();
    let addresses = config.keepers.iter().map(|keeper| (keeper.name.clone(), keeper.address));
    let peers = config.peers.iter().map(|peer| (peer.name.clone(), peer.address));
    let addresses = addresses.chain(peers).collect();
    let who = Who { name: config.name.clone(), incarnation };
    let (inbox, mut heard) = mpsc::channel(INBOX_MOST);
    let links = Links::new(who, keys, addresses, inbox);
    spawn_local(links.clone().listen(listener));
    let began = Instant::now();
    info!(version = view.version().0, hash = ?view.hash(), incarnation, "fleet: following");
    acts(&view);
    let mut holder = Holder::new(view, keepers, rand::random(), Duration::ZERO);
    holder.peers(config.peers.iter().map(|peer| peer.name.clone()).collect());
    let mut failing = false;
    loop {
        let next = tokio::time::Instant::from_std(began + holder.next());
        let actions = tokio::select! {
            () = sleep_until(next) => holder.tick(began.elapsed()),
            Some(message) = heard.recv() => holder.heard(began.elapsed(), &message.from, message.said),
        };
        let mut changed = false;
        for action in actions {
            match action {
                Action::Say(to, said) => links.say(&to, said),
                Action::Applied(record) => {
                    info!(version = record.version.0, hash = ?record.hash(), key = record.proposal.key, "fleet: applied");
                    changed = true;
                }
                Action::Replaced(view) => {
                    info!(version = view.version().0, hash = ?view.hash(), "fleet: replaced by a snapshot");
                    changed = true;
                }
            }
        }
        if changed {
            // It acts on what it holds whether its disk keeps it or not: only a start after a crash is the worse for it.
            let kept = store.keep_view(holder.view());
            if let Err(problem) = &kept
                && !failing
            {
                warn!(%problem, "fleet: the view can't be kept");
            }
            failing = kept.is_err();
            acts(holder.view());
        }
    }
}
