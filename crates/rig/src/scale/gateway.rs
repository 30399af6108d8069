//! A zone's gateway: all that enters the zone passes it, so that the zone can be cut off from others.

use crate::door::{Door, Ways};
use crate::links::{Link, Way};
use crate::relay::Passed;
use crate::scale::protocol::{GatewayCommand, GatewayCounts, GatewaySpec, commands};
use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::rc::Rc;
use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};

/// Reads a spec and lets pass until told to end.
///
/// # Errors
/// A file that can't be read, or a door that can't be opened.
pub fn serve(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let spec: GatewaySpec = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let counts = LocalSet::new().block_on(&runtime, pass(spec, commands()))?;
    println!("{}", serde_json::to_string(&counts).map_err(|e| e.to_string())?);
    Ok(())
}

/// The way from one zone into this one.
struct From {
    link: watch::Sender<Link>,
    passed: Rc<Passed>,
}

async fn pass(spec: GatewaySpec, mut lines: Receiver<String>) -> Result<GatewayCounts, String> {
    let mut zones: BTreeMap<String, From> = BTreeMap::new();
    let mut known = HashMap::new();
    for (address, zone) in &spec.addresses {
        let from = zones
            .entry(zone.clone())
            .or_insert_with(|| From { link: watch::Sender::new(Link::default()), passed: Rc::default() });
        known.insert(*address, (from.link.subscribe(), from.passed.clone()));
    }
    let others = From { link: watch::Sender::new(Link::default()), passed: Rc::default() };
    let mut doors = JoinSet::new();
    for (n, (at, to)) in spec.doors.iter().enumerate() {
        let ways = Ways { known: known.clone(), others: (others.link.subscribe(), others.passed.clone()) };
        let seed = spec.seed.wrapping_add(n as u64 * 7919);
        let door = Door::new(*at, *to, ways, seed).map_err(|e| format!("door {at}: {e}"))?;
        doors.spawn_local(door.run());
    }
    while let Some(line) = lines.recv().await {
        match serde_json::from_str(&line).map_err(|e| format!("command: {e}"))? {
            GatewayCommand::CutOff { zones: cut } => cut_off(&zones, &spec.zone, &cut),
            GatewayCommand::End => break,
        }
    }
    Ok(zones.values().chain([&others]).fold(GatewayCounts::default(), add))
}

/// Nothing passes between what is cut off and all else; within either all does.
fn cut_off(zones: &BTreeMap<String, From>, own: &String, cut: &[String]) {
    let inside = cut.contains(own);
    for (zone, from) in zones {
        let crosses = cut.contains(zone) != inside;
        let way = || Way { cut: crosses, ..Way::default() };
        from.link.send_replace(Link { forth: way(), back: way(), ..Link::default() });
    }
}

fn add(sum: GatewayCounts, from: &From) -> GatewayCounts {
    GatewayCounts {
        connections: sum.connections + from.passed.connections.get(),
        bytes_forth: sum.bytes_forth + from.passed.forth.get(),
        bytes_back: sum.bytes_back + from.passed.back.get(),
        lost: sum.lost + from.passed.lost.get(),
    }
}
