//! A sidecar in its fleet: what its calls show goes to the keepers, and what they decide goes into its module.

use crate::fleet::Says;
use crate::reload::Reloader;
use curlewhub_balance::{ClassId, Outcome, ZoneId, ZoneRight};
use curlewhub_config::Config;
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::configuration::SettingValues;
use curlewhub_control_plane::evidence::{CallOutcome, CallRecorder};
use curlewhub_control_plane::record::Hash;
use curlewhub_control_plane_node::{
    Flow, SubscriberOptions, SubscriberStatus, Traffic, ViewHandler, run_subscriber,
};
use curlewhub_runtime::clock::Clock;
use curlewhub_runtime::events::Command;
use curlewhub_runtime::figures::{Beside, Figures};
use curlewhub_runtime::sight::{Attempt, Blind, Sight};
use curlewhub_zone_failover::zone_policy::ZoneAccess;
use curlewhub_zone_failover::zone_states::tier_zone;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;
use tracing::{error, info};

/// A process that ends waits so long for its last word to its fleet.
const LEAVE_MOST: Duration = Duration::from_millis(100);
/// One that starts waits so long for what its disk holds of the view.
const BEGIN_MOST: Duration = Duration::from_millis(500);

/// A sidecar's part in its fleet: what its driver sees goes to the keepers, and what they decide is held here.
pub struct Member {
    witness: Rc<RefCell<CallRecorder>>,
    began: Instant,
}

impl Sight for Member {
    fn began(&self, attempt: Attempt, class: ClassId, zone: &dyn Fn() -> Option<ZoneId>) {
        if let Some(zone) = zone() {
            let (hall, class) = (zone.0 as usize, class.0);
            self.witness.borrow_mut().call_started(
                self.began.elapsed(),
                (attempt.0.0, attempt.1.0),
                hall,
                class,
            );
        }
    }

    fn ended(&self, attempt: Attempt, outcome: Outcome, took: Duration) {
        let how = match outcome {
            Outcome::Ok => CallOutcome::Served,
            Outcome::TimedOut => CallOutcome::TimedOut,
            Outcome::ConnectFailed | Outcome::Reset => CallOutcome::Unreachable,
            Outcome::Full => CallOutcome::Rejected,
            Outcome::Error => CallOutcome::Failed,
            Outcome::Cancelled | Outcome::Moot | Outcome::LocalFault => CallOutcome::Cancelled,
        };
        self.witness.borrow_mut().call_finished((attempt.0.0, attempt.1.0), how, took);
    }

    fn probed(&self, zone: ZoneId, answered: bool) {
        self.witness.borrow_mut().probe_finished(zone.0 as usize, answered);
    }
}

/// Probes of a hall are given up after this.
const PROBE_MOST: Duration = Duration::from_millis(300);

/// Holds what is decided, in a sidecar.
struct Holds {
    figures: Rc<Figures>,
    commands: UnboundedSender<Command>,
    clock: Clock,
    /// The halls' names by number.
    halls: Vec<String>,
    /// Takes over what is decided of the configuration.
    reloader: Rc<Reloader>,
    /// Told once what was held at the start is acted on.
    begun: Option<oneshot::Sender<()>>,
    /// Halls that nothing new may go into just now.
    closed: u64,
    /// What the log says of that.
    told: String,
    /// Messages to its fleet and from it, since the start ...
    messages: Flow,
    /// ... and those that found no room in this process.
    lost: u64,
}

impl Holds {
    fn zone(&self, hall: &str) -> Option<ZoneId> {
        self.halls.iter().position(|known| known == hall).map(|zone| ZoneId(zone as u32))
    }
}

impl ViewHandler for Holds {
    fn view_applied(&mut self, acted: &AppliedRecords, hash: Hash) {
        Says.view_applied(acted, hash);
        if let Some(begun) = self.begun.take() {
            let _ = begun.send(()); // nobody waits for it any more
        }
    }

    fn configure(&mut self, values: &SettingValues) -> Result<(), String> {
        self.reloader.fleet(values)
    }

    fn zone_access_changed(&mut self, now: Duration, rights: &[(String, ZoneAccess)]) {
        let zoned = rights.iter().filter_map(|(hall, right)| {
            let right = match *right {
                ZoneAccess::Open => ZoneRight::Open,
                ZoneAccess::Share(part) => ZoneRight::Part(part),
                // The same moment on the module's clock, which is as steady.
                ZoneAccess::Rate(per_s, until) => {
                    ZoneRight::Rate { per_s, until: self.clock.now() + until.saturating_sub(now) }
                }
                ZoneAccess::Closed => ZoneRight::Closed,
                ZoneAccess::Unreachable => ZoneRight::Dark,
            };
            Some((self.zone(hall)?, right))
        });
        let zoned = zoned.collect();
        let closed = |(_, right): &&(String, ZoneAccess)| {
            matches!(right, ZoneAccess::Closed | ZoneAccess::Unreachable)
        };
        self.closed = rights.iter().filter(closed).count() as u64;
        let _ = self.commands.send(Command::Zones(zoned)); // fails only while the process ends
        let told = |(hall, right): &(String, ZoneAccess)| match right {
            ZoneAccess::Open => None,
            ZoneAccess::Share(part) => Some(format!("{hall}: {:.0}%", part * 100.0)),
            ZoneAccess::Rate(..) => Some(format!("{hall}: returning")),
            ZoneAccess::Closed => Some(format!("{hall}: closed")),
            ZoneAccess::Unreachable => Some(format!("{hall}: dark")),
        };
        let held: Vec<String> = rights.iter().filter_map(told).collect();
        let held = if held.is_empty() { "all open".to_owned() } else { held.join(", ") };
        // A rate is renewed some times a second; that it is one is what a person wants to know.
        if held != self.told {
            info!(halls = held, "fleet: may");
            self.told = held;
        }
    }

    fn probe_zone(&mut self, hall: &str, count: u32) {
        if let Some(zone) = self.zone(hall) {
            // It fails only while the process ends.
            let _ = self.commands.send(Command::ProbeZone { zone, count, within: PROBE_MOST });
        }
    }

    fn traffic_counted(&mut self, traffic: &Traffic) {
        self.messages = traffic.total();
        self.lost = traffic.losses().values().sum();
    }

    fn status_changed(&mut self, standing: SubscriberStatus) {
        let SubscriberStatus {
            version,
            age,
            counts,
            rejected_records: not_taken,
            members,
            traffic: (said, heard),
            ..
        } = standing;
        let gauge = |name, value| Beside { name, value, counts: false };
        let count = |name, value| Beside { name, value, counts: true };
        let mut figures = vec![gauge("fleet_version", version)];
        // Without a keeper's word since the start there is no age to tell.
        figures.extend(age.map(|age| gauge("fleet_age_ms", age.as_millis() as u64)));
        // Nothing newer than what is in force, or refused, was decided so long ago; more is not known.
        figures.extend(age.map(|age| gauge("config_age_ms", age.as_millis() as u64)));
        figures.extend([
            gauge("config_version", standing.config.0),
            gauge("config_refused", u64::from(standing.config_refused)),
            count("config_refusals", standing.config_refusals),
            gauge("fleet_not_taken", not_taken as u64),
            gauge("fleet_halls_closed", self.closed),
            gauge("fleet_members", members as u64),
            count("fleet_contradictions", counts.conflicts),
            count("fleet_unanswered", counts.timeouts),
            count("fleet_said_bytes", said),
            count("fleet_heard_bytes", heard),
            count("fleet_said_messages", self.messages.messages_out),
            count("fleet_heard_messages", self.messages.messages_in),
            count("fleet_lost_messages", self.lost),
        ]);
        self.figures.beside(figures);
    }
}

/// What a sidecar has of its fleet.
pub struct Joined {
    /// What its driver is to tell.
    pub sight: Rc<dyn Sight>,
    begun: Option<oneshot::Receiver<()>>,
    leave: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
}

impl Joined {
    /// Waits until what its state directory holds of the view is acted on: before that it would send where its predecessor
    /// must not. A disk that takes too long is not waited for.
    pub async fn begun(&mut self) {
        if let Some(begun) = self.begun.take() {
            let _ = timeout(BEGIN_MOST, begun).await;
        }
    }

    /// Says that this process goes, so that nobody has to find that out; SIGKILL may come after `left`.
    pub async fn leave(self, left: Duration) {
        if let Some((leave, gone)) = self.leave {
            let _ = leave.send(());
            let _ = timeout(LEAVE_MOST.min(left), gone).await; // who has not heard it finds out
        }
    }
}

/// Takes a sidecar into its fleet, where it is told of one. A fleet that can't be joined keeps no sidecar from serving.
pub fn join(
    config: &Config,
    figures: &Rc<Figures>,
    commands: &UnboundedSender<Command>,
    clock: Clock,
    reloader: Rc<Reloader>,
) -> Joined {
    let Some(fleet) = config.fleet.clone() else {
        return Joined { sight: Rc::new(Blind), begun: None, leave: None };
    };
    let (areas, tier) = (&config.names.areas, config.settings.tier);
    let hall = areas.get(config.settings.zone.0 as usize).map_or("", |hall| hall);
    let halls: Vec<String> = areas.iter().map(|hall| tier_zone(hall, tier)).collect();
    let witness = Rc::new(RefCell::new(CallRecorder::new(hall, halls.clone())));
    let began = Instant::now();
    let manner = SubscriberOptions {
        share_address: true,
        recorder: Some((witness.clone(), began)),
        zones: halls.clone(),
    };
    let (figures, commands) = (figures.clone(), commands.clone());
    let (begun, begins) = oneshot::channel();
    let (closed, told, messages, lost) = Default::default();
    let begun = Some(begun);
    let mut holds =
        Holds { figures, commands, clock, halls, reloader, begun, closed, told, messages, lost };
    let (leave, leaves) = oneshot::channel::<()>();
    let left = spawn_local(async move {
        let leaves = async {
            if leaves.await.is_err() {
                std::future::pending().await
            }
        };
        if let Err(problem) = run_subscriber(&fleet, manner, &mut holds, leaves).await {
            error!(problem, "fleet: not joined; going on alone");
        }
    });
    Joined { sight: Rc::new(Member { witness, began }), begun: Some(begins), leave: Some((leave, left)) }
}
