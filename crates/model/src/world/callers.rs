//! Clients: requests come, are asked of sidecars, and end.

use super::*;

impl World<'_> {
    pub(super) fn plan_arrival(&mut self, number: u64) {
        if let Some(at) = self.arrivals.next() {
            self.queue.plan(EPOCH + at, Ev::Arrives(number));
        }
    }

    pub(super) fn arrives(&mut self, number: u64) {
        let born = self.now - EPOCH;
        let mut call = draw(self.scenario, self.seed, number, born);
        call.over = self.allowances.get_mut(call.tenant).is_some_and(|allowance| allowance.over(born));
        self.calls.insert(number, call);
        self.tally.at(born).offered += 1;
        self.ask(number);
        self.plan_arrival(number + 1);
    }

    pub(super) fn ask(&mut self, id: u64) {
        let since = self.now - EPOCH;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.tries += 1;
        let (tries, class, tenant, born) = (call.tries, call.class, call.tenant, call.born);
        self.tally.at(born).tries += 1;
        let deadline = self.scenario.classes[class].deadline.0;
        let time = self.scenario.clients.time(deadline, (born + deadline).saturating_sub(since));
        // Several that accept do so from one queue.
        let accepting: Vec<usize> = self.sidecars[call.home]
            .iter()
            .copied()
            .filter(|process| self.processes[*process].accepts)
            .collect();
        if accepting.is_empty() {
            return self.client_hears(id, End::Unanswered, None);
        }
        let process = accepting[call.draws.random_range(0..accepting.len())];
        let within = time - ANSWER_MARGIN.min(time / 10);
        let host = &mut self.processes[process];
        let request = host.next_request;
        host.next_request += 1;
        call.waits_at = Some((process, request));
        let (until, tries_out) = (self.now + within, Vec::new());
        host.open
            .insert(request, Open { call: id, answered: false, noted: false, until, tries: tries_out });
        host.need.record_arrival();
        self.queue.plan(self.now + time, Ev::GivesUp { call: id, tries });
        let now = self.now;
        let known = self.memory(process).find(now, id).copied();
        let earlier = known.map(|entry| EarlierAttempt {
            zone: ZoneId(entry.zone),
            cell: CellId(entry.cell),
            sent: entry.sent,
        });
        let request = Request {
            id: RequestId(request),
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left: within,
            work_hint: None,
            key: None,
            client_retry: false,
            body_incomplete: false,
            write: false,
            earlier_attempt: earlier,
        };
        self.module(process, Event::Request(request));
    }

    /// Its client has waited for all of its time.
    pub(super) fn gives_up(&mut self, id: u64, tries: u32) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some((process, request)) = call.waits_at.filter(|_| call.tries == tries) else { return };
        if let Some(open) = self.processes[process].open.get_mut(&request) {
            open.answered = true;
        }
        self.module(process, Event::RequestAbandoned(RequestId(request)));
        self.processes[process].tidy(request);
        self.client_hears(id, End::Unanswered, None);
    }

    /// A try has ended for its client.
    pub(super) fn client_hears(&mut self, id: u64, end: End, retry_after: Option<Duration>) {
        let since = self.now - EPOCH;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.waits_at = None;
        let class = &self.scenario.classes[call.class];
        match call.again(end, since, retry_after, class, &self.scenario.clients) {
            Some(wait) => self.queue.plan(self.now + wait, Ev::Asks(id)),
            None => self.close(id, end),
        }
    }

    pub(super) fn close(&mut self, id: u64, end: End) {
        let Some(call) = self.calls.remove(&id) else { return };
        let (took, class) = (self.now - EPOCH - call.born, &self.scenario.classes[call.class]);
        self.tally.ended(&call, took, end, class);
    }
}
