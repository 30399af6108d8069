//! When a change of the endpoint list counts as notified to a sidecar, by the protocol's clocks and the records of
//! discovery and of the rig alone: never by what the sidecar says.

use crate::fault::Kind;
use crate::figures::micros;
use crate::history::{Entry, Micros, What};
use crate::plan::{Plan, Role};
use std::collections::{BTreeMap, HashMap};

/// A change counts as notified so long after discovery had it and could be reached.
const AT_THE_LATEST: Micros = 6_000_000;
/// So long behind the end of a watch on which it should have come.
const BEHIND_WATCH_END: Micros = 2_000_000;
/// So long behind a later configuration.
const BEHIND_RELOAD: Micros = 4_000_000;
/// A process that was stopped has what it has missed so long after it resumes.
const BEHIND_PAUSE: Micros = 500_000;

/// The name of the process whose list sidecars follow.
const DISCOVERY: &str = "discovery";

/// A change of the list: since when, and its version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    /// When discovery had it.
    pub at: Micros,
    /// Its version.
    pub version: u64,
}

/// What happened to one sidecar and its view of discovery.
#[derive(Debug, Default)]
struct Seen {
    written: Vec<(Micros, u64)>,
    watch_ends: Vec<Micros>,
    reloads: Vec<Micros>,
    starts: Vec<Micros>,
    /// When it was stopped, and when it went on.
    pauses: Vec<(Micros, Micros)>,
}

/// Answers when changes count as notified.
#[derive(Debug)]
pub(crate) struct Notified {
    seen: HashMap<String, Seen>,
    changes: Vec<Change>,
    /// When discovery could not be reached, for all alike.
    unreachable: Vec<(Micros, Micros)>,
}

impl Notified {
    /// Reads a history; `views` has the sidecars with a view of discovery to themselves.
    pub fn new(plan: &Plan, views: &BTreeMap<usize, String>, entries: &[Entry]) -> Self {
        let mut notified =
            Notified { seen: HashMap::new(), changes: Vec::new(), unreachable: unreachable(plan) };
        for name in views.values() {
            notified.seen.insert(name.clone(), Seen::default());
        }
        for entry in entries {
            notified.read(views, entry);
        }
        notified
    }

    fn read(&mut self, views: &BTreeMap<usize, String>, entry: &Entry) {
        if let What::Directory { view, event, version } = &entry.what {
            let of_view = view.and_then(|view| self.seen.get_mut(views.get(&view)?));
            match (&**event, *version, of_view) {
                // Each hall's stand-ins have a list of their own, which no sidecar sees.
                ("changed", Some(version), _) if *entry.process == *DISCOVERY => {
                    self.changes.push(Change { at: entry.at, version });
                }
                ("written", Some(version), Some(seen)) => seen.written.push((entry.at, version)),
                ("watch ended", _, Some(seen)) => seen.watch_ends.push(entry.at),
                _ => {}
            }
            return;
        }
        let Some(seen) = self.seen.get_mut(&*entry.process) else { return };
        match entry.what {
            What::Reloaded => seen.reloads.push(entry.at),
            What::Started => seen.starts.push(entry.at),
            What::Done { done: "paused" } => seen.pauses.push((entry.at, Micros::MAX)),
            What::Done { done: "goes on" } => {
                seen.pauses.last_mut().into_iter().for_each(|pause| pause.1 = entry.at);
            }
            _ => {}
        }
    }

    /// The first change of the list at or behind a time.
    pub fn change_from(&self, at: Micros) -> Option<Change> {
        self.changes.iter().copied().find(|change| change.at >= at)
    }

    /// From when on a change counts as notified to what runs of a sidecar at a time; none for one whose view it shares.
    pub fn notified_at(&self, sidecar: &str, change: Change, now: Micros) -> Option<Micros> {
        let seen = self.seen.get(sidecar)?;
        let started = seen.starts.iter().copied().filter(|at| *at <= now).max().unwrap_or(Micros::MIN);
        let from = change.at.max(started);
        let mut latest = from + AT_THE_LATEST;
        for (begin, end) in &self.unreachable {
            if *begin < latest && *end > from {
                latest = latest.max(end.saturating_add(AT_THE_LATEST));
            }
        }
        let written = seen.written.iter().filter(|(at, version)| *at >= from && *version >= change.version);
        let written = written.map(|(at, _)| *at);
        let ended = seen.watch_ends.iter().filter(|at| **at >= from).map(|at| at + BEHIND_WATCH_END);
        let reloaded = seen.reloads.iter().filter(|at| **at >= from).map(|at| at + BEHIND_RELOAD);
        let bounds_by_call = ended.chain(reloaded).filter(|at| !self.is_unreachable(*at));
        let first = written.chain(bounds_by_call).chain([latest]).min()?;
        // A stopped process learns what was notified meanwhile once it resumes.
        let pause = seen.pauses.iter().find(|(begin, end)| (*begin..*end).contains(&first));
        Some(pause.map_or(first, |(_, end)| end.saturating_add(BEHIND_PAUSE)))
    }

    /// Whether discovery could not be reached within the call before this time.
    fn is_unreachable(&self, at: Micros) -> bool {
        let call = at - BEHIND_RELOAD..at;
        self.unreachable.iter().any(|(begin, end)| *begin < call.end && *end > call.start)
    }
}

/// Times in which faults keep some sidecar from discovery.
fn unreachable(plan: &Plan) -> Vec<(Micros, Micros)> {
    let of_discovery =
        |name: &String| plan.members.iter().any(|member| member.role == Role::Discovery && member.is(name));
    let mut times = Vec::new();
    for fault in &plan.spec.faults {
        let strikes = match fault.what {
            Kind::DiscoveryDown
            | Kind::DiscoverySilent
            | Kind::DiscoveryRefuses
            | Kind::DiscoveryCut
            | Kind::DiscoveryShort => true,
            Kind::Cut | Kind::Degrade | Kind::Stall | Kind::CutAfter => {
                fault.from.iter().chain(&fault.to).any(of_discovery)
            }
            // Discovery is in no zone: a zone that is cut off is cut off from it.
            Kind::CutOff => true,
            Kind::Kill | Kind::End | Kind::Pause | Kind::Restart => fault.on.iter().any(of_discovery),
            Kind::SystemCall | Kind::ShortIo => true,
            _ => false,
        };
        if strikes {
            let ends = fault.times(plan.spec.lasts.0).into_iter();
            times.extend(ends.map(|(begin, end)| (micros(begin), micros(end))));
        }
    }
    times
}
