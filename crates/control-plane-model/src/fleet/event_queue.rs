//! The scheduled events of a simulated fleet, in the order of their times.

use curlewhub_control_plane::protocol::{Message, PeerId};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

/// A message on its way to a process.
pub(super) struct Delivery {
    /// The receiving process, by its number.
    pub(super) to: usize,
    /// The receiver's generation when the message was sent; a process that has restarted since does not get it.
    pub(super) generation: u32,
    pub(super) from: Rc<PeerId>,
    pub(super) message: Rc<Message>,
}

/// What happens at a scheduled time.
pub(super) enum Event {
    /// A message of so many bytes arrives and is queued until its receiver is free.
    Arrived(Delivery, u64),
    /// The receiver has come to a queued message.
    Processed(Delivery),
    /// A process is due to be ticked; void if another wake-up was scheduled in its place.
    Wakeup { node: usize, wakeup: u64 },
}

struct Scheduled {
    at: Duration,
    number: u64,
    event: Event,
}

impl Ord for Scheduled {
    /// The earliest is the greatest, as [`BinaryHeap`] yields the greatest first. Events of equal times keep the order in
    /// which they were scheduled, which a replay depends on.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

/// Events by time, and within one time in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Scheduled>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Scheduled { at, number: self.scheduled, event });
    }

    /// The time of the earliest event.
    pub(super) fn next_time(&self) -> Option<Duration> {
        self.events.peek().map(|next| next.at)
    }

    /// Takes the earliest event, unless it lies after `end`.
    pub(super) fn pop_until(&mut self, end: Duration) -> Option<(Duration, Event)> {
        if self.next_time()? > end {
            return None;
        }
        self.events.pop().map(|next| (next.at, next.event))
    }

    /// How many events were ever scheduled.
    pub(super) fn scheduled(&self) -> u64 {
        self.scheduled
    }
}
