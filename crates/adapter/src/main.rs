//! Hosts balancer instances for the simulator: reads batches of events from standard input and writes the
//! resulting actions to standard output.
#![warn(clippy::too_many_lines)]
#![forbid(unsafe_code)]

use curlewhub_adapter::{self as protocol, Line, ListMode, WireError};
use curlewhub_balance::{
    Action, Balancer, EndpointInfo, EndpointNames, Event, Membership, RequestId, Settings, SettingsError,
};
use std::collections::HashMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    // A panic of a balancer is reported in the reply; the default hook would print it to stderr too.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("curlewhub-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// A request that later messages may still refer to.
struct TrackedRequest {
    name: String,
    open_attempts: u32,
    finished: bool,
}

struct Instance {
    balancer: Balancer,
    ids: HashMap<String, RequestId>,
    tracked: HashMap<RequestId, TrackedRequest>,
    next_request: u64,
    classes: usize,
    tenants: usize,
}

#[derive(Default)]
struct Host {
    names: EndpointNames,
    instances: HashMap<u32, Instance>,
    tables: HashMap<u8, Vec<EndpointInfo>>,
    /// Number of the table that is being read, and how many of its entries are still missing.
    incomplete_table: Option<(u8, usize)>,
    now: Option<Duration>,
    actions: Vec<Action>,
    reply: String,
}

fn serve(input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut output = BufWriter::new(output);
    let mut last = 0;
    for (number, line) in (1..).zip(input.split(b'\n')) {
        let bytes = line.map_err(|e| format!("line {number}: {e}"))?;
        let text = std::str::from_utf8(&bytes).map_err(|e| format!("line {number}: field `text`: {e}"))?;
        host.handle_line(number, text).map_err(|e| e.to_string())?;
        if host.now.is_none() {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| e.to_string())?;
            host.reply.clear();
        }
        last = number;
    }
    match host.now {
        None => Ok(()),
        Some(_) => Err(format!("line {last}: field `message`: input ends inside a batch")),
    }
}

fn error(line: u64, field: &str, problem: impl Into<String>) -> WireError {
    WireError { line, field: field.to_owned(), problem: problem.into() }
}

fn not_running(line: u64, instance: u32) -> WireError {
    error(line, "sidecar", format!("{instance} is not running"))
}

impl Host {
    fn handle_line(&mut self, number: u64, text: &str) -> Result<(), WireError> {
        let line = protocol::parse(number, text, &mut self.names)?;
        if self.incomplete_table.is_some() != matches!(line, Line::Entry(_)) {
            return Err(error(number, "message", "entries and the table they belong to do not match"));
        }
        let now = match (&line, self.now) {
            (Line::Turn(now), None) => {
                self.now = Some(*now);
                return Ok(());
            }
            (Line::Turn(_), Some(_)) => return Err(error(number, "message", "a batch is already open")),
            (_, None) => return Err(error(number, "message", "no batch is open")),
            (_, Some(now)) => now,
        };
        match line {
            Line::Turn(_) => {}
            Line::Flush => {
                self.now = None;
                self.reply.push_str("next\n");
            }
            Line::Table { bank, entries } => {
                self.tables.insert(bank, Vec::new());
                self.incomplete_table = (entries > 0).then_some((bank, entries));
            }
            Line::Entry(entry) => {
                if let Some((bank, missing)) = self.incomplete_table {
                    self.tables.entry(bank).or_default().push(entry);
                    self.incomplete_table = (missing > 1).then_some((bank, missing - 1));
                }
            }
            Line::Spawn { instance, seed, settings } => {
                let started = Instance::start(*settings, seed, now);
                let started = started.map_err(|e| error(number, "conf", e.to_string()))?;
                self.instances.insert(instance, started);
            }
            Line::Detach(instance) => {
                if self.instances.remove(&instance).is_none() {
                    return Err(not_running(number, instance));
                }
            }
            Line::Targets { instance, mode, bank } => {
                let update = self.membership_update(number, mode, bank)?;
                self.run(number, now, instance, Event::Membership(update))?;
            }
            Line::Event { instance, name, mut event } => {
                let host =
                    self.instances.get_mut(&instance).ok_or_else(|| not_running(number, instance))?;
                host.check_indexes(number, &event)?;
                if host.assign_request_id(name, &mut event) {
                    self.run(number, now, instance, event)?;
                }
            }
        }
        Ok(())
    }

    /// Builds a discovery update from the entries of a table that was sent earlier.
    fn membership_update(&self, number: u64, mode: ListMode, bank: u8) -> Result<Membership, WireError> {
        let entries = || {
            let table = self.tables.get(&bank).cloned();
            table.ok_or_else(|| error(number, "bank", format!("no table {bank} was sent")))
        };
        Ok(match mode {
            ListMode::Failed => Membership::Failed,
            ListMode::Changes => Membership::Delta(entries()?),
            ListMode::Full => Membership::Full(entries()?),
            ListMode::Cached => Membership::Cached(entries()?),
        })
    }

    fn run(&mut self, number: u64, now: Duration, instance: u32, event: Event) -> Result<(), WireError> {
        let host = self.instances.get_mut(&instance).ok_or_else(|| not_running(number, instance))?;
        let actions = &mut self.actions;
        actions.clear();
        let ended = match &event {
            Event::AttemptEnded(attempt) => Some(attempt.request),
            Event::RequestAbandoned(id) => Some(*id),
            _ => None,
        };
        let balancer = &mut host.balancer;
        let outcome = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = outcome {
            let problem = panic.downcast_ref::<String>().map(String::as_str);
            let problem = problem.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            self.reply.push_str(&protocol::format_panic(instance, problem));
            self.reply.push('\n');
            return Ok(());
        }
        for action in &self.actions {
            let request = host.record_action(action);
            if let Some(line) = protocol::format_action(instance, action, &request, &self.names) {
                self.reply.push_str(&line);
                self.reply.push('\n');
            }
        }
        for id in ended.into_iter().chain(self.actions.iter().filter_map(request_of)) {
            host.forget_if_done(id);
        }
        Ok(())
    }
}

/// The request that an action concerns.
fn request_of(action: &Action) -> Option<RequestId> {
    match action {
        Action::Send { request, .. }
        | Action::Refuse { request, .. }
        | Action::Fail { request }
        | Action::Cancel { request, .. } => Some(*request),
        _ => None,
    }
}

impl Instance {
    fn start(settings: Settings, seed: u64, now: Duration) -> Result<Instance, SettingsError> {
        // Requests carry tenant 0 even when no tenants are configured.
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len().max(1));
        let balancer = Balancer::new(settings, seed, now)?;
        let (ids, tracked) = Default::default();
        Ok(Instance { balancer, ids, tracked, next_request: 0, classes, tenants })
    }

    /// Checks that the tenant and the class of a request exist.
    fn check_indexes(&self, line: u64, event: &Event) -> Result<(), WireError> {
        let Event::Request(request) = event else { return Ok(()) };
        let indexes =
            [("customer", request.tenant.0, self.tenants), ("kind", request.class.0, self.classes)];
        for (field, index, size) in indexes {
            if index >= size {
                return Err(error(line, field, format!("{index} is out of range, there are {size}")));
            }
        }
        Ok(())
    }

    /// Fills in the request's id in the event. Returns false if the event's request is no longer tracked.
    fn assign_request_id(&mut self, name: Option<String>, event: &mut Event) -> bool {
        let Some(name) = name else { return true };
        if let Event::Request(request) = event {
            self.next_request += 1;
            request.id = RequestId(self.next_request);
            self.ids.insert(name.clone(), request.id);
            self.tracked.insert(request.id, TrackedRequest { name, open_attempts: 0, finished: false });
            return true;
        }
        let Some(&id) = self.ids.get(&name) else { return false };
        let Some(tracked) = self.tracked.get_mut(&id) else { return false };
        match event {
            Event::StreamStarted { request, .. } => *request = id,
            Event::RequestAbandoned(request) => {
                *request = id;
                tracked.finished = true;
            }
            Event::AttemptEnded(ended) => {
                ended.request = id;
                tracked.open_attempts = tracked.open_attempts.saturating_sub(1);
                tracked.finished |= ended.finished;
            }
            _ => {}
        }
        true
    }

    /// Updates the tracked state of the request that an action concerns, and returns the request's name.
    fn record_action(&mut self, action: &Action) -> String {
        let Some(id) = request_of(action) else { return String::new() };
        let Some(tracked) = self.tracked.get_mut(&id) else { return "-".to_owned() };
        tracked.open_attempts += u32::from(matches!(action, Action::Send { .. }));
        tracked.finished |= matches!(action, Action::Refuse { .. } | Action::Fail { .. });
        tracked.name.clone()
    }

    /// Stops tracking a request that is finished and has no open attempt.
    fn forget_if_done(&mut self, id: RequestId) {
        if self.tracked.get(&id).is_some_and(|tracked| tracked.finished && tracked.open_attempts == 0)
            && let Some(tracked) = self.tracked.remove(&id)
        {
            self.ids.remove(&tracked.name);
        }
    }
}
