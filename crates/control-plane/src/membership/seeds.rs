//! Contacts to seeds: the first ones of a new process, and those by which two parts of a fleet find each other again.

use super::foca_config::ANNOUNCE_INTERVAL;
use super::member::Member;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of the first contacts of a process that knows no member; doubled with each contact.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// The longest interval while no member is known.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// The first contact is spread by the seed of the random numbers, in so many steps.
const START_STEPS: u64 = 1024;

/// The seeds, and when the next one is contacted.
pub(super) struct Seeds {
    members: Vec<Member>,
    next: usize,
    contact_at: Duration,
    interval: Duration,
}

impl Seeds {
    /// The seeds other than `own_name`. Processes that start together begin at different times, with different seeds.
    pub(super) fn new(own_name: &str, seeds: &[(String, SocketAddr)], seed: u64, now: Duration) -> Seeds {
        let others = seeds.iter().filter(|(name, _)| name != own_name);
        let members: Vec<Member> = others.map(|(name, address)| Member::seed(name, *address)).collect();
        let start_fraction = (seed % START_STEPS) as f64 / START_STEPS as f64;
        Seeds {
            next: seed as usize % members.len().max(1),
            members,
            contact_at: now + MIN_INTERVAL.mul_f64(start_fraction),
            interval: MIN_INTERVAL,
        }
    }

    /// When the next contact is due; never without seeds.
    pub(super) fn next_contact(&self) -> Option<Duration> {
        (!self.members.is_empty()).then_some(self.contact_at)
    }

    /// Makes the next contact due now.
    pub(super) fn contact_now(&mut self, now: Duration) {
        self.contact_at = now;
    }

    /// Whether a contact is due.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        now >= self.contact_at
    }

    /// The seed to contact now; schedules the next contact. `is_alone`: no member is known to be alive.
    pub(super) fn take_next(&mut self, now: Duration, is_alone: bool) -> Option<Member> {
        self.interval = if is_alone { (self.interval * 2).min(MAX_INTERVAL) } else { MIN_INTERVAL };
        self.contact_at = now + if is_alone { self.interval } else { ANNOUNCE_INTERVAL };
        self.next += 1;
        self.members.get(self.next % self.members.len().max(1)).cloned()
    }
}
