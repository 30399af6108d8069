//! What a scale run's sidecars and servers cost: traffic, calls, processor time.

use super::lives::Life;
use super::{Gathered, RealSidecar};
use crate::scale::protocol::PlaneCounts;
use crate::scale::report::{FlowRate, ProcessorFigures, ServerFigures, SidecarFigures};
use curlewhub_control_plane_node::Flow;
use curlewhub_control_plane_node::admin_client::ServerStatus;
use std::collections::{BTreeMap, HashMap};

/// What ran for less says nothing of what it costs in a second.
pub(super) const COUNTED_LEAST_MS: u64 = 10_000;

/// What each kind of sidecar costs; of one that was restarted, its longest life.
pub(super) fn costs(
    g: &Gathered<'_>,
    lives: &HashMap<String, Vec<Life>>,
) -> BTreeMap<String, SidecarFigures> {
    let mut all = BTreeMap::new();
    let mut hollow = Costs::default();
    for sidecar in g.layout.sidecars.iter().filter(|sidecar| !sidecar.real) {
        let lives = lives.get(&sidecar.name).into_iter().flatten();
        for life in lives {
            if let Some(counts) = &life.counts {
                hollow.add(&sidecar.name, counts, life.first_counts.as_ref());
            }
        }
    }
    all.insert("hollow".to_owned(), hollow.figures());
    if !g.real.is_empty() {
        let mut real = Costs::default();
        for sidecar in &g.real {
            real.add(&sidecar.name, &counts_of_real(g, sidecar), None);
        }
        all.insert("real".to_owned(), real.figures());
    }
    all
}

/// A real sidecar's figures in a control plane's terms; it does not tell kinds apart.
fn counts_of_real(g: &Gathered<'_>, real: &RealSidecar) -> PlaneCounts {
    let figure = |name: &str| real.figures.get(&format!("router.{name}")).copied().unwrap_or_default();
    let flow = Flow {
        messages_out: figure("fleet_said_messages"),
        bytes_out: figure("fleet_said_bytes"),
        messages_in: figure("fleet_heard_messages"),
        bytes_in: figure("fleet_heard_bytes"),
    };
    PlaneCounts {
        lived_ms: g.settled_us.saturating_sub(real.started_us) / 1000,
        version: figure("fleet_version"),
        members: figure("fleet_members") as usize,
        traffic: BTreeMap::from([(curlewhub_control_plane_node::MessageKind::Other, flow)]),
        ..PlaneCounts::default()
    }
}

/// Sums over sidecars.
#[derive(Default)]
struct Costs {
    figures: SidecarFigures,
    steady: usize,
}

impl Costs {
    fn add(&mut self, name: &str, counts: &PlaneCounts, first: Option<&PlaneCounts>) {
        let figures = &mut self.figures;
        for (why, lost) in &counts.lost {
            *figures.lost.entry(*why).or_default() += lost;
        }
        figures.list_failures += counts.list_failures;
        if counts.lived_ms < COUNTED_LEAST_MS {
            return;
        }
        let seconds = counts.lived_ms as f64 / 1e3;
        let total = total(counts);
        let bytes = (total.bytes_out + total.bytes_in) as f64 / seconds;
        figures.counted += 1;
        figures.bytes_per_s_mean += bytes;
        figures.messages_per_s_mean += (total.messages_out + total.messages_in) as f64 / seconds;
        if bytes > figures.bytes_per_s_worst {
            (figures.bytes_per_s_worst, figures.worst) = (bytes, name.to_owned());
        }
        for (kind, flow) in &counts.traffic {
            figures.per_s.entry(*kind).or_default().add(flow, 1.0 / seconds);
        }
        figures.lists_per_s += counts.lists as f64 / seconds;
        figures.list_entries_per_s += counts.list_entries as f64 / seconds;
        figures.calls_per_s += counts.calls as f64 / seconds;
        self.add_steady(counts, first);
    }

    fn add_steady(&mut self, counts: &PlaneCounts, first: Option<&PlaneCounts>) {
        let Some(first) = first.filter(|first| counts.lived_ms >= first.lived_ms + 1000) else { return };
        let (before, after) = (total(first), total(counts));
        let bytes = after.bytes_out + after.bytes_in - before.bytes_out - before.bytes_in;
        let rate = bytes as f64 / ((counts.lived_ms - first.lived_ms) as f64 / 1e3);
        self.steady += 1;
        self.figures.steady_bytes_per_s_mean += rate;
        self.figures.steady_bytes_per_s_worst = self.figures.steady_bytes_per_s_worst.max(rate);
    }

    fn figures(mut self) -> SidecarFigures {
        let each = 1.0 / self.figures.counted.max(1) as f64;
        let f = &mut self.figures;
        f.bytes_per_s_mean *= each;
        f.messages_per_s_mean *= each;
        f.lists_per_s *= each;
        f.list_entries_per_s *= each;
        f.calls_per_s *= each;
        f.steady_bytes_per_s_mean /= self.steady.max(1) as f64;
        for rate in f.per_s.values_mut() {
            *rate = FlowRate {
                messages_out: rate.messages_out * each,
                bytes_out: rate.bytes_out * each,
                messages_in: rate.messages_in * each,
                bytes_in: rate.bytes_in * each,
            };
        }
        self.figures
    }
}

fn total(counts: &PlaneCounts) -> Flow {
    counts.traffic.values().fold(Flow::default(), |sum, flow| sum.plus(*flow))
}

/// Processor time of hollow processes, by message and by control plane.
pub(super) fn processor(g: &Gathered<'_>, lives: &HashMap<String, Vec<Life>>) -> ProcessorFigures {
    let (mut cpu_s, mut messages, mut planes_s, mut worst) = (0.0, 0, 0.0, 0.0_f64);
    let whole = g.layout.hollow.iter().zip(&g.hollow_taken).zip(&g.hollow_starts);
    for ((host, taken), _) in whole.filter(|(_, starts)| **starts == 1) {
        let Some((_, taken)) = taken else { continue };
        let names = host.sidecars.iter().map(|n| &g.layout.sidecars[*n].name);
        let of = names.flat_map(|name| lives.get(name).into_iter().flatten());
        let (mut lived_s, mut host_messages) = (0.0, 0);
        for counts in of.filter_map(|life| life.counts.as_ref()) {
            let total = total(counts);
            host_messages += total.messages_out + total.messages_in;
            lived_s += counts.lived_ms as f64 / 1e3;
        }
        worst = worst.max(taken / f64::max(lived_s, 1.0));
        (cpu_s, messages, planes_s) = (cpu_s + taken, messages + host_messages, planes_s + lived_s);
    }
    let per_message = cpu_s * 1e6 / messages.max(1) as f64;
    ProcessorFigures {
        baseline_us: g.baseline_us,
        hollow_us_per_message: per_message,
        times_baseline: per_message / g.baseline_us.max(f64::MIN_POSITIVE),
        hollow_core_share: cpu_s / f64::max(planes_s, 1.0),
        hollow_core_share_worst: worst,
    }
}

/// What each server says of itself, and what it took.
pub(super) fn servers(g: &Gathered<'_>) -> Vec<ServerFigures> {
    let taken = g.servers_taken.iter().zip(&g.servers_starts);
    let all = g.servers.iter().zip(taken);
    all.map(|((name, described), (taken, starts))| {
        let (peak_kib, cpu_s) = taken.unwrap_or_default();
        let bare = ServerFigures {
            name: name.clone(),
            starts: *starts,
            peak_kib,
            cpu_s,
            ..ServerFigures::default()
        };
        match described {
            Err(problem) => ServerFigures { problem: Some(problem.clone()), ..bare },
            Ok(described) => described_figures(g.settled_us, described, bare),
        }
    })
    .collect()
}

fn described_figures(settled_us: u64, described: &ServerStatus, bare: ServerFigures) -> ServerFigures {
    // Its incarnation is when it was started, in milliseconds of Unix time.
    let lived_s = (settled_us / 1000).saturating_sub(described.incarnation).max(1) as f64 / 1e3;
    let flow = described.traffic.values().fold(Flow::default(), |sum, flow| sum.plus(*flow));
    ServerFigures {
        leads: described.is_leader,
        term: described.term,
        version: described.version,
        members: described.members,
        sidecars: described.sidecars,
        bytes_per_s: (described.sent_bytes + described.received_bytes) as f64 / lived_s,
        messages_per_s: (flow.messages_out + flow.messages_in) as f64 / lived_s,
        put_off: described.deferred_fetches,
        not_taken: described.rejected_digests.clone(),
        dropped: described.dropped.clone(),
        lost: described.lost.clone(),
        ..bare
    }
}
