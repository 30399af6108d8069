//! Sidecars: what a module wants done, attempts on their way, and answers.

use super::*;

impl World<'_> {
    /// Gives a module an event and carries out what it wants done, and what comes of that.
    pub(super) fn module(&mut self, process: usize, event: Event) {
        let mut due = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = due.pop_front() {
            let endpoints = &self.endpoints;
            let truth = |id: EndpointId| endpoints[id.0 as usize].queue();
            self.processes[process].decider.handle(self.now, event, &truth, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(process, action, &mut due);
            }
        }
    }

    pub(super) fn settle(&mut self, process: usize, actions: Vec<Action>) {
        let mut due = VecDeque::new();
        for action in actions {
            self.carry_out(process, action, &mut due);
        }
        while let Some(event) = due.pop_front() {
            self.module(process, event);
        }
    }

    fn carry_out(&mut self, process: usize, action: Action, due: &mut VecDeque<Event>) {
        match action {
            Action::Send { request, endpoint, timeout } => {
                self.send(process, request, endpoint, timeout, due)
            }
            Action::Refuse { request, retry_after } => {
                self.answer(process, request, End::Refused, retry_after)
            }
            Action::Fail { request } => self.answer(process, request, End::Failed, None),
            Action::Cancel { request, attempt } => {
                let open = self.processes[process].open.get(&request.0);
                let flight = open.and_then(|open| open.tries.get(attempt.0 as usize).copied().flatten());
                if let Some(id) = flight {
                    // As in the sidecar, an attempt tells its end itself, a moment later.
                    self.queue.plan(self.now, Ev::Answers(id, Outcome::Cancelled));
                }
            }
            Action::SetTimer { token, after } => {
                self.queue.plan(self.now + after, Ev::Timer { process, token: token.0 });
            }
            Action::CloseIdle { endpoint } => self.processes[process].close_idle(endpoint.0 as usize),
            // A timer that comes all the same brings nothing about.
            Action::CancelTimer { .. } => {}
            Action::Watch(_) | Action::FetchList | Action::Probe { .. } | Action::Log(_) => {}
        }
    }

    fn send(
        &mut self,
        process: usize,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        due: &mut VecDeque<Event>,
    ) {
        let (now, endpoint_index) = (self.now, endpoint.0 as usize);
        let host = &mut self.processes[process];
        let Some(open) = host.open.get_mut(&request.0) else { return };
        let number = AttemptNo(open.tries.len() as u32);
        let until = open.until.min(now + timeout);
        if open.answered || open.tries.len() >= self.scenario.max_attempts as usize || until <= now {
            open.tries.push(None);
            return due.push_back(Event::AttemptEnded(AttemptEnded {
                request,
                attempt: number,
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                finished: open.answered,
                report: None,
            }));
        }
        let id = self.next_flight;
        self.next_flight += 1;
        open.tries.push(Some(id));
        let call = open.call;
        let flight = Flight {
            process,
            request: request.0,
            number,
            endpoint: endpoint_index,
            call,
            sent: now,
            until,
            over: false,
            left: false,
        };
        let kept = host.connect(endpoint_index, now, self.scenario.network.idle_close.0);
        let crosses = host.zone != self.endpoints[endpoint_index].zone;
        let zone = host.zone;
        self.flights.insert(id, flight);
        self.witness_began(process, request.0, number, endpoint_index);
        self.tally.sent(now - EPOCH, self.endpoints[endpoint_index].zone as usize);
        self.note(process, request.0, call, endpoint_index);
        if let Some(call) = self.calls.get(&call) {
            let totals = self.tally.at(call.born);
            totals.attempts += 1;
            totals.crossings += u64::from(crosses);
        }
        let there = self.endpoints[endpoint_index].zone;
        if !kept && (self.lost(zone, there) || self.lost(there, zone)) {
            // A new connection never comes up, and proves that nothing ran.
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.left = true;
            }
            let fails = until.min(now + CONNECT_WITHIN);
            return self.queue.plan(fails, Ev::Answers(id, Outcome::ConnectFailed));
        }
        let handshake = if kept {
            Duration::ZERO
        } else {
            self.delay(zone, endpoint_index) + self.delay(zone, endpoint_index)
        };
        let there = now + handshake + self.delay(zone, endpoint_index);
        self.queue.plan(there, Ev::Comes(id));
        self.queue.plan(until, Ev::TimesOut(id));
    }

    /// Where the jobs of a process's clients may have run: the sidecar's, or lost with the process.
    pub(super) fn memory(&mut self, process: usize) -> &mut KeyTable {
        let host = &mut self.processes[process];
        let lost = self.scenario.replacements.iter().any(|replacement| !replacement.keys);
        if lost { &mut host.keys } else { &mut self.keys[host.sidecar] }
    }

    /// A keyed job is about to be sent, as the sidecar's driver notes it.
    fn note(&mut self, process: usize, request: u64, call: u64, endpoint_index: usize) {
        let Some(class) = self.calls.get(&call).map(|call| &self.scenario.classes[call.class]) else {
            return;
        };
        if class.repeat != RepeatPolicy::Keyed {
            return;
        }
        let (zone, now) = (self.endpoints[endpoint_index].zone, self.now);
        let entry = Entry { key: call, zone, cell: 0, sent: now, window: class.window.0 };
        let noted = self.memory(process).insert(now, entry).is_some();
        if let Some(open) = self.processes[process].open.get_mut(&request) {
            open.noted |= noted;
        }
    }

    /// An attempt has ended: a job that has surely not run is forgotten, as by the sidecar's driver.
    fn outcome_of_key(&mut self, process: usize, request: u64, call: u64, outcome: Outcome) {
        let Some(open) = self.processes[process].open.get_mut(&request) else { return };
        if !outcome.never_ran() {
            open.noted = false;
        } else if open.noted && open.tries.iter().all(Option::is_none) {
            open.noted = false;
            self.memory(process).forget(call);
        }
    }

    /// One way between a zone and an endpoint.
    pub(super) fn delay(&mut self, zone: u32, endpoint: usize) -> Duration {
        let network = &self.scenario.network;
        let base = if zone == self.endpoints[endpoint].zone { network.within.0 } else { network.between.0 };
        base.mul_f64(1.0 + network.jitter * self.network.random::<f64>())
    }

    /// A process hears how an attempt ended.
    pub(super) fn attempt_ended(&mut self, id: u64, outcome: Outcome) {
        let Some(flight) = self.flights.get_mut(&id).filter(|flight| !flight.over) else { return };
        flight.over = true;
        let Flight { process, request, number, endpoint, sent, left, call, .. } = *flight;
        if left {
            self.flights.remove(&id);
        } else {
            let zone = self.processes[process].zone;
            let there = self.now + self.delay(zone, endpoint);
            self.queue.plan(there, Ev::Cancelled(id));
        }
        if !self.processes[process].alive {
            return;
        }
        if let Some(open) = self.processes[process].open.get_mut(&request) {
            open.tries[number.0 as usize] = None;
        }
        self.outcome_of_key(process, request, call, outcome);
        self.witness_ended(process, request, number, outcome, self.now - sent);
        if outcome == Outcome::Ok {
            let now = self.now;
            self.processes[process].leave(endpoint, now);
            self.answer(process, RequestId(request), End::Served, None);
        }
        let finished = self.processes[process].open.get(&request).is_none_or(|open| open.answered);
        let ended = AttemptEnded {
            request: RequestId(request),
            attempt: number,
            endpoint: EndpointId(endpoint as u64),
            outcome,
            elapsed: self.now - sent,
            finished,
            report: None,
        };
        self.module(process, Event::AttemptEnded(ended));
        self.processes[process].tidy(request);
        self.gone_if_done(process);
    }

    /// Gives a request its final answer.
    fn answer(&mut self, process: usize, request: RequestId, end: End, retry_after: Option<Duration>) {
        let Some(open) = self.processes[process].open.get_mut(&request.0) else { return };
        let (call, twice) = (open.call, std::mem::replace(&mut open.answered, true));
        if twice {
            // The second answer of two copies is nobody's; a refusal of what was answered breaks a rule.
            if end != End::Served
                && let Some(call) = self.calls.get(&call)
            {
                self.tally.at(call.born).answered_twice += 1;
            }
            return;
        }
        self.client_hears(call, end, retry_after);
        self.processes[process].tidy(request.0);
        self.gone_if_done(process);
    }
}
