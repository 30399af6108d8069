//! Requests whose long body is still arriving, or lies on this machine until its endpoint takes it.

use super::*;

impl Balancer {
    /// Handles the arrival of a long body's last byte: the request's times start only now.
    pub(super) fn on_body_arrived(
        &mut self,
        now: Duration,
        id: RequestId,
        left: Duration,
        out: &mut Vec<Action>,
    ) {
        let useful_time = self.useful_time(self.requests.get(&id).map_or(0, |p| p.class), left);
        let in_time = |p: &&mut Pending| !p.time_started && !p.settled();
        let Some(pending) = self.requests.get_mut(&id).filter(in_time) else { return };
        (pending.time_started, pending.arrived) = (true, now);
        (pending.deadline, pending.client_deadline) = (now + useful_time, now + left);
        if self.queue.contains(id) {
            self.queue.insert(id, ValueKey::new(pending.class, pending.value_fraction), now);
        }
        let is_idle = pending.none_in_flight();
        if !useful_time.is_zero() {
            self.set_timer(useful_time, Timer::Deadline(id), out);
        } else if is_idle {
            self.reject_or_fail(id, out);
        }
    }

    /// Handles the end of a long body: its endpoint works on it from now on.
    pub(super) fn on_body_complete(
        &mut self,
        now: Duration,
        id: RequestId,
        left: Duration,
        out: &mut Vec<Action>,
    ) {
        self.on_body_arrived(now, id, left, out);
        let Some(pending) = self.requests.get_mut(&id).filter(|p| p.upload && !p.settled()) else { return };
        pending.upload = false;
        let mut in_flight = Vec::new();
        for (n, open) in pending.attempts.iter_mut().enumerate().filter(|(_, a)| a.run == Run::InFlight) {
            open.sent = now;
            in_flight.push((AttemptNo(n as u32), open.endpoint));
        }
        for (number, endpoint) in in_flight {
            if let Some(&i) = self.index.get(&endpoint) {
                let zone_group = self.zone_group(i);
                self.windows[zone_group].used += 1;
            }
            self.arm_overdue(now, id, number, out);
        }
    }
}
