//! What the host of a subscriber, a sidecar or a command, provides and is informed of.

use crate::traffic::Traffic;
use curlewhub_config::live;
use curlewhub_control_plane::applied::{AppliedRecords, RecordRejection};
use curlewhub_control_plane::configuration::{ConfigNumber, SettingValues};
use curlewhub_control_plane::evidence::CallRecorder;
use curlewhub_control_plane::record::{Hash, Record, RecordKind};
use curlewhub_control_plane::subscriber::SubscriberCounters;
use curlewhub_rollout::settings;
use curlewhub_zone_failover::zone_policy::ZoneAccess;
use curlewhub_zone_failover::zone_states;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The state of a subscriber, for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubscriberStatus {
    /// The version of the view that is in force.
    pub version: u64,
    /// The time since a consensus server last confirmed that version; `None` if none has since the start.
    pub age: Option<Duration>,
    /// Counters of records that were rejected.
    pub counts: SubscriberCounters,
    /// The number of keys whose newest record is not in force.
    pub rejected_records: usize,
    /// The number of members that are alive, this process included; 0 until it has joined.
    pub members: usize,
    /// Bytes sent and received since the start.
    pub traffic: (u64, u64),
    /// The configuration in force.
    pub config: ConfigNumber,
    /// Whether a newer configuration is refused.
    pub config_refused: bool,
    /// The number of configurations that were refused since the start.
    pub config_refusals: u64,
}

/// The host of a subscriber.
pub trait ViewHandler {
    /// Checks that this build knows the kind of a record and that its content is valid. Of a key whose newest record is
    /// rejected, the record before it stays in force.
    ///
    /// # Errors
    /// Why the record is rejected.
    fn check(record: &Record) -> Result<(), RecordRejection> {
        match record.proposal.kind {
            RecordKind::ZONE_STATES | RecordKind::FREEZE => {
                zone_states::check(record).map_err(|why| RecordRejection::Invalid(why.to_string()))
            }
            RecordKind::CONFIG => {
                let read = curlewhub_rollout::record::read(record);
                read.map(|_| ()).map_err(|why| RecordRejection::Invalid(why.to_string()))
            }
            _ => curlewhub_control_plane::applied::check(record),
        }
    }
    /// Puts these settings into force, and takes all others that a rollout had set back to their own values.
    ///
    /// # Errors
    /// Why they are refused; the settings in force before remain.
    fn configure(&mut self, values: &SettingValues) -> Result<(), String> {
        let problems = live::problems(values);
        if problems.is_empty() { Ok(()) } else { Err(settings::listed(&problems)) }
    }
    /// These records are in force from now on. `hash` is that of the view's version.
    fn view_applied(&mut self, acted: &AppliedRecords, hash: Hash);
    /// This is the access to zones from now on. Times in it are on a clock that reads `now`.
    fn zone_access_changed(&mut self, _now: Duration, _access: &[(String, ZoneAccess)]) {}
    /// The host is to send `count` probes into a zone.
    fn probe_zone(&mut self, _zone: &str, _count: u32) {}
    /// The state of the subscriber, every half second.
    fn status_changed(&mut self, status: SubscriberStatus);
    /// The counters of messages, just before each [`ViewHandler::status_changed`].
    fn traffic_counted(&mut self, _traffic: &Traffic) {}
}

/// Options of a subscriber.
#[derive(Clone, Debug, Default)]
pub struct SubscriberOptions {
    /// Another process of the same name may still be bound to the address, as a sidecar's predecessor is: the subscriber then
    /// starts without an address and binds it once it is free. Otherwise an address in use is an error.
    pub share_address: bool,
    /// Records the calls of the host, for evidence, with the zero of the recorder's clock.
    pub recorder: Option<(Rc<RefCell<CallRecorder>>, Instant)>,
    /// The zones that the host calls into, whose access it is informed of; empty for a host without calls.
    pub zones: Vec<String>,
}
