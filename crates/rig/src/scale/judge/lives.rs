//! The starts and ends of a scale run's sidecars, and what each acted on.

use super::Gathered;
use super::costs::COUNTED_LEAST_MS;
use crate::scale::protocol::{PlaneCounts, PlaneDid, PlaneEvent};
use std::collections::HashMap;

/// One start of a sidecar.
#[derive(Clone, Debug)]
pub(super) struct Life {
    /// Its name.
    pub name: String,
    /// When it was started ...
    pub from_us: u64,
    /// ... and ended, if it was.
    pub to_us: Option<u64>,
    /// When it was ready.
    pub ready_us: Option<u64>,
    /// When it acted on which version: neither falls.
    pub acts: Vec<(u64, u64)>,
    /// Its figures once it had run for long enough to count.
    pub first_counts: Option<PlaneCounts>,
    /// Its last figures.
    pub counts: Option<PlaneCounts>,
}

impl Life {
    fn new(name: &str, from_us: u64) -> Life {
        let (to_us, ready_us, acts, first_counts, counts) = Default::default();
        Life { name: name.to_owned(), from_us, to_us, ready_us, acts, first_counts, counts }
    }

    /// When it first acted on this version or a later one.
    pub fn acted_at(&self, version: u64) -> Option<u64> {
        let place = self.acts.partition_point(|(_, acted)| *acted < version);
        self.acts.get(place).map(|(at, _)| *at)
    }
}

/// Lives of hollow sidecars, out of their events, and of real ones, which are never ended.
pub(super) fn lives(g: &Gathered<'_>) -> HashMap<String, Vec<Life>> {
    let mut all: HashMap<String, Vec<Life>> = HashMap::new();
    // Events of one sidecar are in their order but for those of a process that was killed and its successor.
    let mut events: Vec<&PlaneEvent> = g.events.iter().collect();
    events.sort_by_key(|event| event.at_us);
    for event in events {
        let lives = all.entry(event.plane.clone()).or_default();
        if event.what == PlaneDid::Started {
            lives.push(Life::new(&event.plane, event.at_us));
        }
        let Some(life) = lives.last_mut() else { continue };
        match &event.what {
            PlaneDid::Started => {}
            PlaneDid::Ready => life.ready_us = life.ready_us.or(Some(event.at_us)),
            PlaneDid::Acts { version, .. } => life.acts.push((event.at_us, *version)),
            PlaneDid::Stopped | PlaneDid::Failed { .. } => life.to_us = life.to_us.or(Some(event.at_us)),
            PlaneDid::Counts(counts) => {
                if life.first_counts.is_none() && counts.lived_ms >= COUNTED_LEAST_MS {
                    life.first_counts = Some((**counts).clone());
                }
                life.counts = Some((**counts).clone());
            }
        }
    }
    // A process that is killed tells nothing of that.
    for outage in g.outages.iter().filter(|outage| !outage.cut) {
        for sidecar in &outage.sidecars {
            let lives = all.get_mut(&g.layout.sidecars[*sidecar].name).into_iter().flatten();
            for life in lives.filter(|life| life.from_us < outage.from_us && life.to_us.is_none()) {
                life.to_us = Some(outage.from_us);
            }
        }
    }
    for real in &g.real {
        let mut life = Life::new(&real.name, real.started_us);
        life.acts = real.acts.iter().map(|(at, version, _)| (*at, *version)).collect();
        life.ready_us = real.ready_us;
        all.insert(real.name.clone(), vec![life]);
    }
    all
}
