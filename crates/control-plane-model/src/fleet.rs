//! The simulated fleet: its clock and event loop. What happens in an event is in the modules below.

mod delivery;
mod event_queue;
mod evidence;
mod faults;
mod node;
mod observation;
mod outputs;

pub use faults::Fault;
pub use outputs::VoterChangeError;

use crate::invariants::Invariants;
use crate::network::Network;
use crate::spec::SimulationSpec;
use crate::traffic::{LatencyHistogram, TrafficTotals};
use curlewhub_control_plane::consensus::TICK_INTERVAL;
use curlewhub_control_plane::protocol::PeerId;
use curlewhub_zone_failover::state_machine::Transition;
use curlewhub_zone_failover::zone_policy::ZoneAccess;
use event_queue::{Event, EventQueue};
use node::{Node, RunningProcess};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The simulated clock at the start, so that times before the start can be expressed.
const EPOCH: Duration = Duration::from_secs(100);
/// The proposer's name. It is no process; its messages reach every consensus server.
const OPERATOR: &str = "operator";
/// How often [`Fleet::run_until`] evaluates its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A fleet in simulated time. Equal specifications, seeds and calls give equal runs.
pub struct Fleet {
    spec: SimulationSpec,
    seed: u64,
    now: Duration,
    draws: Pcg32,
    queue: EventQueue,
    nodes: Vec<Node>,
    by_name: HashMap<String, usize>,
    by_address: HashMap<SocketAddr, usize>,
    operator: Rc<PeerId>,
    proposals: u64,
    /// When the latest message of each stream arrives, by sender and receiver; later ones do not overtake it.
    last_arrivals: HashMap<(usize, usize), Duration>,
    /// The network, which may be changed at any time.
    pub network: Network,
    /// The probability, 0 to 1, that a consensus server crashes after a message was processed: what it wrote is durable, and
    /// none of its own messages is sent.
    pub crash_after_write: f64,
    /// The invariants, checked in every step.
    pub invariants: Invariants,
    /// Messages and bytes since the start, or since the host last reset this.
    pub totals: TrafficTotals,
    /// How long sidecars took to hold a version after its decision.
    pub latencies: LatencyHistogram,
    /// Changes of what each sidecar may send into each zone, both by number, since the host last took them. Times in it are
    /// since the start.
    pub access: Vec<(usize, Vec<(usize, ZoneAccess)>)>,
    /// Probes that sidecars are to send, since the host last took them: sidecar, zone, count.
    pub probes: Vec<(usize, usize, u32)>,
    /// Zone transitions that consensus servers have proposed, and when, since the start.
    pub transitions: Vec<(Duration, Transition)>,
}

/// The name of a zone in simulated fleets, which stands in reports and fixtures.
pub fn zone_name(zone: usize) -> String {
    format!("hall-{zone}")
}

impl Fleet {
    /// Starts all processes, except for consensus servers that are to join later, at time zero.
    pub fn new(spec: SimulationSpec, seed: u64) -> Fleet {
        let servers = spec.consensus_servers.len();
        let joining = servers - spec.joining..servers;
        let count = servers + spec.sidecars.len();
        let nodes: Vec<Node> = (0..count).map(|n| Node::new(n, &spec)).collect();
        let by_name = nodes.iter().enumerate().map(|(n, node)| (node.name.clone(), n)).collect();
        let by_address = nodes.iter().enumerate().map(|(n, node)| (node.address, n)).collect();
        let network = spec.network.clone();
        let mut fleet = Fleet {
            spec,
            seed,
            now: EPOCH,
            draws: Pcg32::seed_from_u64(seed),
            queue: EventQueue::default(),
            nodes,
            by_name,
            by_address,
            operator: Rc::new(PeerId { name: OPERATOR.to_owned(), incarnation: 1 }),
            proposals: 0,
            last_arrivals: HashMap::new(),
            network,
            crash_after_write: 0.0,
            invariants: Invariants::default(),
            totals: TrafficTotals::default(),
            latencies: LatencyHistogram::default(),
            access: Vec::new(),
            probes: Vec::new(),
            transitions: Vec::new(),
        };
        (0..count).filter(|n| !joining.contains(n)).for_each(|n| fleet.start(n));
        fleet
    }

    /// The time of the next event, since the start.
    pub fn next(&self) -> Option<Duration> {
        self.queue.next_time().map(|at| at.saturating_sub(EPOCH))
    }

    /// Runs until a time since the start.
    pub fn run_to(&mut self, at: Duration) {
        self.run(at.saturating_sub(self.now()));
    }

    /// Runs for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until a condition holds, and returns whether it does; gives up after the time `within`.
    pub fn run_until(&mut self, within: Duration, mut holds: impl FnMut(&Fleet) -> bool) -> bool {
        let end = self.now + within;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run(POLL_INTERVAL.min(end - self.now));
        }
        holds(self)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrived(delivery, bytes) => self.enqueue(delivery, bytes),
            Event::Processed(delivery) => self.process(delivery),
            Event::Wakeup { node, wakeup } => self.wake(node, wakeup),
        }
    }

    /// Schedules the next time at which a process is ticked.
    fn schedule_wakeup(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let at = match &node.process {
            None => return,
            // The host of a consensus server ticks it at a fixed interval.
            Some(RunningProcess::ConsensusServer(_)) => now + TICK_INTERVAL,
            Some(RunningProcess::Sidecar(sidecar)) => sidecar.agent.next_wakeup().max(now),
        };
        // A wake-up that is due earlier schedules the next one itself.
        if node.wakes_at <= at && node.wakes_at > now {
            return;
        }
        node.wakeup += 1;
        node.wakes_at = at;
        self.queue.schedule(at, Event::Wakeup { node: n, wakeup: node.wakeup });
    }

    fn wake(&mut self, n: usize, wakeup: u64) {
        let now = self.now;
        let node = &mut self.nodes[n];
        if node.wakeup != wakeup || node.paused {
            return;
        }
        node.wakes_at = Duration::MAX;
        match &mut node.process {
            None => return,
            Some(RunningProcess::ConsensusServer(server)) => {
                let unix_ms = now.as_millis() as u64;
                let outputs = server.tick(now, unix_ms);
                self.handle_server_outputs(n, outputs, false);
            }
            Some(RunningProcess::Sidecar(sidecar)) => {
                let actions = sidecar.agent.tick(now);
                self.handle_agent_actions(n, actions);
            }
        }
        self.schedule_wakeup(n);
    }
}
