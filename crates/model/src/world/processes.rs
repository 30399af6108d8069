//! Processes of sidecars that are replaced, killed, and that share while two of them serve.

use super::*;

impl World<'_> {
    pub(super) fn successor(&mut self, replacement: usize, sidecar: usize) {
        let spec = &self.scenario.replacements[replacement];
        let Some(&old) = self.sidecars[sidecar].last() else { return };
        if spec.killed {
            self.kill(old);
        }
        let generation =
            1 + self.processes.iter().filter(|process| process.sidecar == sidecar).count() as u64;
        let new = self.start_process(sidecar, generation);
        self.sidecars[sidecar].push(new);
        if spec.carry.shares && !spec.killed && self.processes[new].decider.shares() {
            self.processes[old].shares.add_successor(new as u64);
            self.processes[new].shares.add_predecessor(old as u64);
            self.processes[new].decider.holds_nothing(self.now);
            self.queue.plan(self.now, Ev::Shares { old, new });
        }
        self.queue.plan(self.now + spec.starts.0, Ev::Ready { replacement, new, old });
    }

    pub(super) fn ready(&mut self, replacement: usize, new: usize, old: usize) {
        let spec = &self.scenario.replacements[replacement];
        let [learnt, fresh] = [old, new].map(|process| self.processes[process].decider.snapshot(self.now));
        if let (true, Some(learnt), Some(fresh)) = (self.processes[old].alive, learnt, fresh) {
            let carried = parts(&learnt, &fresh, spec.carry);
            self.processes[new].decider.restore(self.now, &carried);
        }
        self.processes[new].accepts = true;
        self.queue.plan(self.now + spec.overlap.0, Ev::Ends(old));
    }

    pub(super) fn ends(&mut self, process: usize) {
        self.processes[process].accepts = false;
        self.queue.plan(self.now + END_WITHIN, Ev::Killed(process));
        self.gone_if_done(process);
    }

    /// One that is to end and has nothing open goes.
    pub(super) fn gone_if_done(&mut self, process: usize) {
        let host = &self.processes[process];
        let newest = self.sidecars.get(host.sidecar).and_then(|living| living.last());
        if host.alive
            && !host.accepts
            && host.open.is_empty()
            && newest.is_some_and(|newest| *newest != process)
        {
            self.kill(process);
        }
    }

    pub(super) fn kill(&mut self, process: usize) {
        let host = &mut self.processes[process];
        if !std::mem::replace(&mut host.alive, false) {
            return;
        }
        host.accepts = false;
        let (sidecar, open) = (host.sidecar, std::mem::take(&mut host.open));
        self.sidecars[sidecar].retain(|living| *living != process);
        for request in open.into_values() {
            for flight in request.tries.iter().flatten() {
                // Its endpoint sees the connection break.
                self.attempt_ended(*flight, Outcome::Reset);
            }
            if !request.answered {
                self.client_hears(request.call, End::Unanswered, None);
            }
        }
        for other in self.sidecars[sidecar].clone() {
            let ending = !self.processes[other].accepts;
            if self.processes[other].shares.remove_neighbour(process as u64, ending) > 0 {
                let share = self.processes[other].shares.fraction();
                let actions = self.processes[other].decider.gains(self.now, share, None);
                self.settle(other, actions);
            }
        }
    }

    /// Two that share look at what they need.
    pub(super) fn share(&mut self, old: usize, new: usize) {
        if !self.processes[old].alive || !self.processes[new].alive {
            return;
        }
        let needs = [old, new].map(|process| {
            let host = &mut self.processes[process];
            host.need.sample(host.open.len())
        });
        for (from, to, need) in [(old, new, needs[0]), (new, old, needs[1])] {
            if self.processes[to].shares.set_demand(from as u64, need).is_err() {
                return;
            }
        }
        for (from, to, need) in [(old, new, needs[0]), (new, old, needs[1])] {
            let Some(parts) = self.processes[from].shares.give(to as u64, need) else { continue };
            let share = self.processes[from].shares.fraction();
            let portion = self.processes[from].decider.gives(self.now, share);
            if self.processes[to].shares.receive(from as u64, parts).is_ok() {
                let share = self.processes[to].shares.fraction();
                let actions = self.processes[to].decider.gains(self.now, share, portion.as_ref());
                self.settle(to, actions);
            }
        }
        self.queue.plan(self.now + SAMPLE_INTERVAL, Ev::Shares { old, new });
    }
}

/// A snapshot with only these parts of what was learnt, and the rest as fresh.
fn parts(learnt: &Snapshot, fresh: &Snapshot, carry: Carry) -> Snapshot {
    let (learnt, mut mixed) = (to_json(learnt), to_json(fresh));
    let groups: [(bool, &[&str]); 4] = [
        (carry.windows, &["windows"]),
        (carry.endpoints, &["endpoints"]),
        (carry.latency, &["latency", "late_share"]),
        (
            carry.rates,
            &["born", "missed", "retry_tokens", "tenants", "arrivals", "served", "proven", "silence"],
        ),
    ];
    for field in groups.iter().filter(|(carried, _)| *carried).flat_map(|(_, fields)| *fields) {
        mixed[*field] = learnt[*field].clone();
    }
    serde_json::from_value(mixed).expect("fields of two snapshots make a snapshot")
}

fn to_json(snapshot: &Snapshot) -> serde_json::Value {
    serde_json::to_value(snapshot).expect("a snapshot is plain data")
}
