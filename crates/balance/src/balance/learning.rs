//! What an outcome teaches: windows, limits, heat, drag, silence, and what warm endpoints have proven.

use super::*;

/// Weight of one answer in an endpoint's drag, and in the share of late answers.
const DRAG_WEIGHT: f64 = 0.15;
/// Seconds for which a warm endpoint's proven rate is believed without new proof.
const PROOF_SECONDS: f64 = 30.0;
/// Silences less those that answers refute, before they are acted on: above one in ten attempts.
const SILENCE_ACTS: f64 = 1.5;
const SILENCE_REFUTED: f64 = 0.1;
const SILENCE_MOST: f64 = 6.0;
/// Seconds in which silence is forgotten to a third, so that old connections are trusted again.
const SILENCE_SECONDS: f64 = 15.0;
/// Until its first late answer each timely one adds a call, up to so many: or few endpoints would hold a
/// first surge up for seconds. Not where they are newly started: through a release those would be crowded.
const LIMIT_OPEN: f64 = 8.0;
/// One late answer takes this share of the limit, a round of timely ones adds a call; of many, more and less.
const LIMIT_CUT: f64 = 0.07;
const LIMIT_CUT_MOST: f64 = 0.5;
/// An answer of so many times the mean, where one own call may be out, shows a slow state: slow kinds and
/// full queues take up to two, and let be they would leave the others too much ...
const REST_MULTIPLE: f64 = 3.0;
/// ... which only rest ends. Each caller lets it be for so many times as long: so all callers of its zone,
/// four to twenty, leave it less than one call at a time between them.
const REST_PART: f64 = 16.0;
/// Part of the objective that an answer may take before the endpoint counts as overfull.
const LATE_PART: f64 = 0.8;
/// A timely answer adds this many parts over the window, a late one takes the cut. So where each endpoint
/// holds 0.8 calls of all balancers, one answer in two may be late; where four times as many, one in five.
const WINDOW_GAIN: f64 = 0.4;
/// A window that lies half idle loses this part with each answer, down to so many calls an endpoint.
const WINDOW_IDLE: f64 = 0.05;
const WINDOW_KEPT: f64 = 2.0;
/// Less than a call: of one or two out, single slow answers are mostly chance.
const WINDOW_CUT: f64 = 0.5;
/// Beside another process of this sidecar answers come by share, so each counts for more; down to this one.
const SHARE_LEARNS: f64 = 0.25;

impl Balancer {
    /// Whether answers fail to come while others are timely: in a jam all are late, and copies feed it.
    pub(super) fn silent(&self, now: Duration) -> bool {
        self.late_share < LATE_SHARE && self.silence.read(now, SILENCE_SECONDS) >= SILENCE_ACTS
    }

    /// An attempt was overtaken, or is out for far longer than any answer takes.
    pub(super) fn note_silence(&mut self, now: Duration, attempt: Attempt) {
        self.silence.set(now, (self.silence.read(now, SILENCE_SECONDS) + 1.0).min(SILENCE_MOST));
        if attempt.idle.is_zero() {
            self.stale -= 1.0;
        } else {
            self.stale = (self.stale + 1.0).min(SILENCE_MOST);
            self.reaped_after = self.reaped_after.min(attempt.idle);
        }
        if let Some(&i) = self.index.get(&attempt.endpoint) {
            self.endpoints[i].add_heat(now, FAILURE_HEAT);
        }
    }

    /// Lets an outcome speak for or against its endpoint.
    pub(super) fn learn(&mut self, now: Duration, class: usize, coming: bool, ended: &AttemptEnded) {
        match self.index.get(&ended.endpoint) {
            Some(&i) if ended.outcome == Outcome::LocalFault => self.take_back(i, coming),
            Some(&i) => self.learn_of(now, i, class, coming, ended),
            None => {}
        }
    }

    fn learn_of(&mut self, now: Duration, i: usize, class: usize, coming: bool, ended: &AttemptEnded) {
        let (elapsed, silent) = (ended.elapsed.as_secs_f64(), self.silent(now));
        let slow = elapsed > self.late_after(class);
        let late = match ended.outcome {
            Outcome::Ok => self.settings.tier == 0 && slow,
            Outcome::Error | Outcome::Reset => slow,
            Outcome::Cancelled => slow && !silent,
            Outcome::TimedOut => !silent,
            outcome => outcome == Outcome::Rejected,
        };
        let (part, side, of_few) = (self.part(), self.side(i), self.of_few());
        // One call an endpoint, parted among all, is the least a window falls to; and the larger the less it
        // gains: else what starts first measures idle servers, and is starved by what starts last.
        let (window, weight) = (&mut self.windows[side], 1.0 / self.share.max(SHARE_LEARNS));
        if late {
            window.size = (window.size - WINDOW_CUT * weight).max(part.max(1.0));
            window.opening = false;
        } else if ended.outcome == Outcome::Ok && f64::from(window.out) * 2.0 > window.size * self.share {
            let gain = if window.opening { part.min(1.0) } else { WINDOW_GAIN * part / window.size };
            window.size += gain * weight;
        }
        window.out = window.out.saturating_sub(u32::from(!coming));
        // What lies idle says nothing of what servers bear, and would let load that moves through at once.
        for window in self.windows.iter_mut().filter(|w| f64::from(w.out) * 2.0 < w.size * self.share) {
            window.size = window.size.min((window.size * (1.0 - WINDOW_IDLE)).max(WINDOW_KEPT * part));
        }
        let usual = Duration::from_secs_f64(self.latency[class].mean);
        let endpoint = &mut self.endpoints[i];
        endpoint.opening &= !late && endpoint.limit < LIMIT_OPEN;
        if late && now >= endpoint.limit_cut_at + usual {
            let cut = (LIMIT_CUT / of_few).min(LIMIT_CUT_MOST);
            (endpoint.limit, endpoint.limit_cut_at) = ((endpoint.limit * (1.0 - cut)).max(1.0), now);
        } else if ended.outcome == Outcome::Ok
            && !late
            && f64::from(endpoint.in_flight) * 2.0 > endpoint.limit * self.share
        {
            endpoint.limit += of_few / if endpoint.opening { 1.0 } else { endpoint.limit };
        }
        if late && endpoint.limit <= 1.0 && ended.elapsed > usual.mul_f64(REST_MULTIPLE) {
            endpoint.rests_until = now + ended.elapsed.mul_f64(REST_PART);
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        match ended.outcome {
            Outcome::Ok => {
                self.endpoints[i].heard = Some(now);
                let silence = self.silence.read(now, SILENCE_SECONDS) - SILENCE_REFUTED;
                self.silence.set(now, silence.max(0.0));
                self.late_share += DRAG_WEIGHT * (f64::from(u8::from(slow)) - self.late_share);
                self.latency[class].add(now, elapsed);
                let multiple = elapsed / self.latency[class].unhurried.max(1e-6);
                let endpoint = &mut self.endpoints[i];
                let drag = endpoint.drag.read(now, DRAG_SECONDS);
                endpoint.drag.set(now, drag + DRAG_WEIGHT * (multiple - 1.0 - drag));
                if self.warmth(now, i) >= 1.0 {
                    self.prove(now);
                }
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => {}
            // It may drain, and the notice be on its way: nothing goes there until the list is heard again.
            Outcome::Rejected if self.list_old.is_some() => endpoint.add_heat(now, HEAT_MOST),
            _ => endpoint.add_heat(now, FAILURE_HEAT),
        }
    }

    /// An attempt never left this machine: what is known of endpoints stays as it was.
    fn take_back(&mut self, i: usize, coming: bool) {
        let side = self.side(i);
        let window = &mut self.windows[side];
        window.out = window.out.saturating_sub(u32::from(!coming));
        let endpoint = &mut self.endpoints[i];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
    }

    /// Seconds after which an answer says that servers hold too much.
    fn late_after(&self, class: usize) -> f64 {
        let by_objective = self.settings.classes[class].objective.as_secs_f64() * LATE_PART;
        if self.latency[class].seen < UNHURRIED_FIRST {
            return by_objective;
        }
        by_objective.min(self.latency[class].unhurried * LATE_MULTIPLE)
    }

    fn prove(&mut self, now: Duration) {
        self.served.count(now, RATE_SECONDS);
        let rate = self.served.read(now, RATE_SECONDS) / (self.ready() * self.warm).max(1.0);
        if rate > self.proven_rate(now) || self.proven.value == 0.0 {
            self.proven.set(now, rate);
        }
    }

    /// Requests a second that one warm endpoint serves for this balancer alone.
    pub(super) fn proven_rate(&self, now: Duration) -> f64 {
        if self.proven.value > 0.0 {
            return self.proven.read(now, PROOF_SECONDS);
        }
        self.arrivals.rate(now, RATE_SECONDS, self.born) / self.ready().max(1.0)
    }
}
