//! The settings of foca.

use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Bound on the bytes of a packet: with its frame it fits a datagram that no network fragments.
pub const MAX_PACKET_BYTES: usize = 1250;
/// One member is probed in each period.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Other members probe it as well if it has not answered after this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often updates are gossiped.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Members to which updates are gossiped each time.
const GOSSIP_FANOUT: usize = 3;
/// Transmissions of an update at least. Foca's own number for a small fleet is so low that updates would mostly spread with
/// probes.
const MIN_TRANSMISSIONS: u8 = 4;
/// How often a member is asked for the members that it knows.
pub(super) const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// How often a member that is down is asked whether it is back.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(5);
/// How long a name that is down is remembered.
const FORGET_DOWN_AFTER: Duration = Duration::from_secs(3600);

/// Settings for a fleet of this size: in a larger one suspicion lasts longer and updates are transmitted more often.
pub(super) fn foca_config(cluster_size: u32) -> Config {
    let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency, members| {
        let num_members = non_zero(members);
        Some(PeriodicParams { frequency, num_members })
    };
    let lan = Config::new_lan(NonZeroU32::new(cluster_size).unwrap_or(NonZeroU32::MIN));
    let min_transmissions = NonZeroU8::new(MIN_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN);
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        remove_down_after: Some(FORGET_DOWN_AFTER),
        max_packet_size: non_zero(MAX_PACKET_BYTES),
        max_transmissions: lan.max_transmissions.max(min_transmissions),
        periodic_announce: periodic(ANNOUNCE_INTERVAL, 1),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_INTERVAL, 1),
        periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_FANOUT),
        ..lan
    }
}
