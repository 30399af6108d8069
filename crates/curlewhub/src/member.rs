//! A sidecar's membership in a fleet: sends evidence of its calls to the consensus servers, and applies
//! their decisions to the balancer and the configuration.

use crate::fleet::AppliedViewLog;
use crate::reload::Reloader;
use curlewhub_balance::{ClassId, Outcome, ZoneAdmission, ZoneId};
use curlewhub_config::Config;
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::configuration::SettingValues;
use curlewhub_control_plane::evidence::{CallOutcome, CallRecorder};
use curlewhub_control_plane::record::Hash;
use curlewhub_control_plane_node::{
    Flow, SubscriberOptions, SubscriberStatus, Traffic, ViewHandler, run_subscriber,
};
use curlewhub_runtime::call_observer::{AttemptId, CallObserver, NoObserver};
use curlewhub_runtime::clock::Clock;
use curlewhub_runtime::events::Command;
use curlewhub_runtime::figures::{ExternalMetric, Metrics};
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

/// Timeout for leaving the fleet as the process ends.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for applying the cached view as the process starts.
const CACHED_VIEW_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a probe of a zone.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Records the driver's calls as evidence.
struct EvidenceObserver {
    recorder: Rc<RefCell<CallRecorder>>,
    /// The origin of the recorder's clock.
    started: Instant,
}

impl CallObserver for EvidenceObserver {
    fn attempt_started(&self, attempt: AttemptId, class: ClassId, zone: &dyn Fn() -> Option<ZoneId>) {
        if let Some(zone) = zone() {
            let (zone, class) = (zone.0 as usize, class.0);
            let now = self.started.elapsed();
            self.recorder.borrow_mut().call_started(now, call_id(attempt), zone, class);
        }
    }

    fn attempt_ended(&self, attempt: AttemptId, outcome: Outcome, elapsed: Duration) {
        let outcome = match outcome {
            Outcome::Ok => CallOutcome::Served,
            Outcome::TimedOut => CallOutcome::TimedOut,
            Outcome::ConnectFailed | Outcome::Reset => CallOutcome::Unreachable,
            Outcome::Rejected => CallOutcome::Rejected,
            Outcome::Error => CallOutcome::Failed,
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => CallOutcome::Cancelled,
        };
        self.recorder.borrow_mut().call_finished(call_id(attempt), outcome, elapsed);
    }

    fn zone_probe_ended(&self, zone: ZoneId, answered: bool) {
        self.recorder.borrow_mut().probe_finished(zone.0 as usize, answered);
    }
}

/// The recorder's id of an attempt.
fn call_id((request, attempt): AttemptId) -> (u64, u32) {
    (request.0, attempt.0)
}

/// Applies the decisions of the consensus servers to this sidecar, and exports its fleet status as metrics.
struct DecisionHandler {
    metrics: Rc<Metrics>,
    commands: UnboundedSender<Command>,
    clock: Clock,
    /// The names of the zones, by zone id.
    zones: Vec<String>,
    reloader: Rc<Reloader>,
    /// Notified once the cached view is applied.
    view_applied: Option<oneshot::Sender<()>>,
    /// Number of zones that are currently closed or unreachable.
    closed_zones: u64,
    /// The text of the access that was last logged.
    logged_access: String,
    /// Messages from and to the fleet since the start.
    messages: Flow,
    /// Messages that were dropped in this process since the start.
    lost_messages: u64,
}

impl DecisionHandler {
    fn zone_id(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|known| known == name).map(|zone| ZoneId(zone as u32))
    }

    /// Converts the access to a zone to the balancer's type. `now` is the current time on the clock of the
    /// decision.
    fn zone_admission(&self, now: Duration, access: ZoneAccess) -> ZoneAdmission {
        match access {
            ZoneAccess::Open => ZoneAdmission::Open,
            ZoneAccess::Share(share) => ZoneAdmission::Fraction(share),
            // The same instant on the balancer's clock; both are monotonic.
            ZoneAccess::Rate(per_s, until) => {
                ZoneAdmission::Rate { per_s, until: self.clock.now() + until.saturating_sub(now) }
            }
            ZoneAccess::Closed => ZoneAdmission::Closed,
            ZoneAccess::Unreachable => ZoneAdmission::Unreachable,
        }
    }

    /// Logs the access if its text has changed. The text omits rates, because they are renewed several
    /// times per second.
    fn log_access(&mut self, access: &[(String, ZoneAccess)]) {
        let restricted: Vec<String> = access.iter().filter_map(restriction).collect();
        let text = if restricted.is_empty() { "all open".to_owned() } else { restricted.join(", ") };
        if text != self.logged_access {
            info!(halls = text, "fleet: may");
            self.logged_access = text;
        }
    }
}

fn is_closed((_, access): &&(String, ZoneAccess)) -> bool {
    matches!(access, ZoneAccess::Closed | ZoneAccess::Unreachable)
}

/// Describes the access to a zone, unless it is open.
fn restriction((zone, access): &(String, ZoneAccess)) -> Option<String> {
    match access {
        ZoneAccess::Open => None,
        ZoneAccess::Share(share) => Some(format!("{zone}: {:.0}%", share * 100.0)),
        ZoneAccess::Rate(..) => Some(format!("{zone}: returning")),
        ZoneAccess::Closed => Some(format!("{zone}: closed")),
        ZoneAccess::Unreachable => Some(format!("{zone}: dark")),
    }
}

impl ViewHandler for DecisionHandler {
    fn view_applied(&mut self, applied: &AppliedRecords, hash: Hash) {
        AppliedViewLog.view_applied(applied, hash);
        if let Some(notifier) = self.view_applied.take() {
            let _ = notifier.send(()); // fails if the wait has timed out
        }
    }

    fn configure(&mut self, values: &SettingValues) -> Result<(), String> {
        self.reloader.apply_fleet_settings(values)
    }

    fn zone_access_changed(&mut self, now: Duration, access: &[(String, ZoneAccess)]) {
        let admissions = access
            .iter()
            .filter_map(|(zone, access)| Some((self.zone_id(zone)?, self.zone_admission(now, *access))))
            .collect();
        self.closed_zones = access.iter().filter(is_closed).count() as u64;
        // Sending fails only while the process ends.
        let _ = self.commands.send(Command::SetZoneAdmissions(admissions));
        self.log_access(access);
    }

    fn probe_zone(&mut self, zone: &str, count: u32) {
        if let Some(zone) = self.zone_id(zone) {
            // Sending fails only while the process ends.
            let _ = self.commands.send(Command::ProbeZone { zone, count, within: PROBE_TIMEOUT });
        }
    }

    fn traffic_counted(&mut self, traffic: &Traffic) {
        self.messages = traffic.total();
        self.lost_messages = traffic.losses().values().sum();
    }

    fn status_changed(&mut self, status: SubscriberStatus) {
        let (sent_bytes, received_bytes) = status.traffic;
        let gauge = |name, value| ExternalMetric { name, value, is_counter: false };
        let count = |name, value| ExternalMetric { name, value, is_counter: true };
        let mut metrics = vec![gauge("fleet_version", status.version)];
        // The age is unknown until the first message from a consensus server.
        metrics.extend(status.age.map(|age| gauge("fleet_age_ms", age.as_millis() as u64)));
        // The age of the configuration in force, or refused, is that of the view: it was the newest that
        // long ago.
        metrics.extend(status.age.map(|age| gauge("config_age_ms", age.as_millis() as u64)));
        metrics.extend([
            gauge("config_version", status.config.0),
            gauge("config_refused", u64::from(status.config_refused)),
            count("config_refusals", status.config_refusals),
            gauge("fleet_not_taken", status.rejected_records as u64),
            gauge("fleet_halls_closed", self.closed_zones),
            gauge("fleet_members", status.members as u64),
            count("fleet_contradictions", status.counts.conflicts),
            count("fleet_unanswered", status.counts.timeouts),
            count("fleet_said_bytes", sent_bytes),
            count("fleet_heard_bytes", received_bytes),
            count("fleet_said_messages", self.messages.messages_out),
            count("fleet_heard_messages", self.messages.messages_in),
            count("fleet_lost_messages", self.lost_messages),
        ]);
        self.metrics.set_external(metrics);
    }
}

/// A sidecar's membership in a fleet; empty without one.
pub struct FleetMembership {
    /// Observes the driver's calls.
    pub call_observer: Rc<dyn CallObserver>,
    view_applied: Option<oneshot::Receiver<()>>,
    subscriber: Option<SubscriberTask>,
}

/// The running subscriber.
struct SubscriberTask {
    leave: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl FleetMembership {
    /// Waits until the cached view in the state directory is applied: before that, requests might be sent
    /// where the view does not allow it. The wait has a timeout, so that a slow disk does not prevent
    /// startup.
    pub async fn wait_for_view(&mut self) {
        if let Some(applied) = self.view_applied.take() {
            let _ = timeout(CACHED_VIEW_TIMEOUT, applied).await;
        }
    }

    /// Announces to the fleet that this process is leaving, so that the members need not detect its
    /// failure. SIGKILL may follow after `time_left`; members that miss the announcement detect the end
    /// themselves.
    pub async fn leave(self, time_left: Duration) {
        if let Some(SubscriberTask { leave, task }) = self.subscriber {
            let _ = leave.send(());
            let _ = timeout(LEAVE_TIMEOUT.min(time_left), task).await;
        }
    }
}

/// Joins the configured fleet, if there is one. The sidecar serves even if that fails.
pub fn join(
    config: &Config,
    metrics: &Rc<Metrics>,
    commands: &UnboundedSender<Command>,
    clock: Clock,
    reloader: Rc<Reloader>,
) -> FleetMembership {
    let Some(fleet) = config.fleet.clone() else {
        return FleetMembership {
            call_observer: Rc::new(NoObserver),
            view_applied: None,
            subscriber: None,
        };
    };
    let (zone_names, tier) = (&config.names.zones, config.settings.tier);
    let own_zone = zone_names.get(config.settings.zone.0 as usize).map_or("", |zone| zone);
    let zones: Vec<String> = zone_names.iter().map(|zone| tier_zone(zone, tier)).collect();
    let recorder = Rc::new(RefCell::new(CallRecorder::new(own_zone, zones.clone())));
    let started = Instant::now();
    let options = SubscriberOptions {
        share_address: true,
        recorder: Some((recorder.clone(), started)),
        zones: zones.clone(),
    };
    let (view_applied, applied) = oneshot::channel();
    let mut handler = DecisionHandler {
        metrics: metrics.clone(),
        commands: commands.clone(),
        clock,
        zones,
        reloader,
        view_applied: Some(view_applied),
        closed_zones: 0,
        logged_access: String::new(),
        messages: Flow::default(),
        lost_messages: 0,
    };
    let (leave, leave_requested) = oneshot::channel::<()>();
    let task = spawn_local(async move {
        let leave = async {
            if leave_requested.await.is_err() {
                std::future::pending().await
            }
        };
        if let Err(problem) = run_subscriber(&fleet, options, &mut handler, leave).await {
            error!(problem, "fleet: joining failed; serving without");
        }
    });
    FleetMembership {
        call_observer: Rc::new(EvidenceObserver { recorder, started }),
        view_applied: Some(applied),
        subscriber: Some(SubscriberTask { leave, task }),
    }
}
