//! Fetches the endpoint list from discovery: makes the calls that the discovery client decides on, and
//! passes updates of the list to the driver.

mod body;
mod call;
mod error;
mod trace;

use crate::events::{Inbox, Input, ListCommand, ListStatus, ListUpdate};
use crate::guard::AbortOnDrop;
use crate::listing::Listing;
use call::{CallSpec, DiscoveryCall, Report, Reports};
use curlewhub_balance::{Discovery as DiscoveryMode, Membership, Rules as ListRules};
use curlewhub_config::list::EndpointList;
use curlewhub_discovery_client::{Action, CallId, Client, LeaseSettings, LeaseState, Mode, Outcome};
pub use error::{CallError, ResponseKind};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use tracing::{debug, info, warn};

/// Maximum number of queued reports of calls; a call that reports more waits.
const MAX_QUEUED_REPORTS: usize = 16;
/// Wait for the timer while none is set.
const NO_TIMER_WAIT: Duration = Duration::from_secs(3600);

/// Makes the calls to discovery, and keeps the status of the list that it sends.
pub struct Discovery {
    address: Cell<SocketAddr>,
    mode: Mode,
    listing: Rc<Listing>,
    client: RefCell<Client>,
    started_at: Instant,
    /// Discovery has sent a list, or confirmed it, since the start of the process.
    confirmed: Cell<bool>,
    status: Cell<Option<ListStatus>>,
    logged_freshness: Cell<Option<Freshness>>,
    inbox: Inbox,
}

impl Discovery {
    /// For discovery at this address.
    pub fn new(
        address: SocketAddr,
        mode: DiscoveryMode,
        rules: &ListRules,
        listing: Rc<Listing>,
        seed: u64,
        inbox: Inbox,
    ) -> Rc<Self> {
        let mode = match mode {
            DiscoveryMode::Push => Mode::Push,
            DiscoveryMode::Ask => Mode::Ask,
        };
        let rules = LeaseSettings { ask_within: rules.ask_within, drain_grace: rules.drain_grace };
        let client = RefCell::new(Client::new(mode, rules, seed, Duration::ZERO));
        let (confirmed, status, logged_freshness) = Default::default();
        let (address, started_at) = (Cell::new(address), Instant::now());
        Rc::new(Discovery {
            address,
            mode,
            listing,
            client,
            started_at,
            confirmed,
            status,
            logged_freshness,
            inbox,
        })
    }

    /// Whether discovery has sent or confirmed the list since the start; before that it is a cached one.
    pub fn is_fresh(&self) -> bool {
        self.confirmed.get()
    }

    /// Translates the cached list that the process starts with.
    pub fn cached(&self, list: EndpointList) -> ListUpdate {
        self.client.borrow_mut().set_initial_list(&list);
        let mut update = self.listing.update(list);
        if let Membership::Full(entries) | Membership::Delta(entries) = update.membership {
            update.membership = Membership::Cached(entries);
        }
        update
    }

    /// Carries out the driver's commands. A fetch or a started watch leads to an update of the list or to
    /// the report of a failure; a watch stays open after it.
    pub async fn run(self: Rc<Self>, mut commands: UnboundedReceiver<ListCommand>) {
        let (reports, mut reported) = mpsc::channel(MAX_QUEUED_REPORTS);
        let mut running = HashMap::new();
        // In push mode a watch must always be up: the balancer never requests one.
        if self.mode == Mode::Push {
            self.client.borrow_mut().follow(self.now());
        }
        loop {
            self.carry_out(&mut running, &reports);
            self.send_status();
            let timer = self.client.borrow().next_timer().unwrap_or(self.now() + NO_TIMER_WAIT);
            tokio::select! {
                biased;
                Some((id, report)) = reported.recv() => self.handle_report(id, report),
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                () = sleep_until(self.started_at + timer) => self.client.borrow_mut().timer(self.now()),
            }
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn handle_command(&self, command: ListCommand) {
        let (mut client, now) = (self.client.borrow_mut(), self.now());
        match command {
            ListCommand::Watch(true) => client.follow(now),
            ListCommand::Watch(false) => client.unfollow(now),
            ListCommand::ReplaceTargets(_) => {} // a list in the file is only used at the start
            ListCommand::Fetch => client.fetch(now),
            ListCommand::RestrictInitialList(uids) if !self.is_fresh() => {
                client.restrict_initial_list(now, uids)
            }
            ListCommand::RestrictInitialList(_) => {}
            ListCommand::SetAddress(address) => {
                self.address.set(address);
                client.server_changed(now);
            }
        }
    }

    fn handle_report(&self, id: CallId, report: Report) {
        let (mut client, now) = (self.client.borrow_mut(), self.now());
        match report {
            Report::Line(list) => {
                self.confirmed.set(true);
                list.iter().for_each(|list| log_received(id, "watch", list));
                client.watch_line(now, id, list);
            }
            Report::WholeList(list) => {
                self.confirmed.set(true);
                log_received(id, "whole list", &list);
                client.whole_list(now, id, list);
            }
            Report::Partial(list) => {
                info!(call = id.0, rev = list.rev, entries = list.targets.len(), "list that broke off");
                client.partial_list(id, list);
            }
            Report::Ended { error, watch_was_up } => {
                warn!(call = id.0, reason = error.chain(), "discovery");
                client.call_ended(now, id, error.end_reason(watch_was_up));
            }
        }
    }

    fn carry_out(&self, running: &mut HashMap<CallId, AbortOnDrop>, reports: &Reports) {
        for action in self.client.borrow_mut().take_actions() {
            match action {
                Action::Call { id, epoch, kind } => {
                    let spec = CallSpec { id, epoch, kind, address: self.address.get() };
                    let call = DiscoveryCall::new(spec, reports.clone());
                    running.retain(|_, guard| !guard.is_finished());
                    running.insert(id, AbortOnDrop::new(spawn_local(call.run()).abort_handle()));
                }
                Action::Cancel(id) => drop(running.remove(&id)),
                Action::Apply(list) => self.send_update(list),
                Action::Restrict(uids) => self.send_restriction(&uids),
                Action::Unchanged => self.send_membership(Membership::Delta(Vec::new())),
                Action::Report(Outcome::Failed) => self.send_membership(Membership::Failed),
                Action::Report(Outcome::Refused) => self.send_membership(Membership::Refused),
            }
        }
    }

    fn send_update(&self, list: EndpointList) {
        if !list.targets.is_empty() {
            info!(rev = list.rev, whole = list.is_complete, entries = list.targets.len(), "list");
        }
        let update = self.listing.update(list);
        let _ = self.inbox.send(Input::ListUpdate(update)); // fails only while the process ends
    }

    fn send_restriction(&self, uids: &[String]) {
        info!(entries = uids.len(), "list restricted");
        let ids = uids.iter().filter_map(|uid| self.listing.find(uid)).collect();
        let _ = self.inbox.send(Input::ListRestriction(ids)); // fails only while the process ends
    }

    fn send_membership(&self, membership: Membership) {
        let _ = self.inbox.send(Input::ListUpdate(ListUpdate { membership, addresses: Vec::new() }));
    }

    /// Sends the status of the list to the driver if it has changed.
    fn send_status(&self) {
        self.log_freshness();
        let client = self.client.borrow();
        let lease = client.lease();
        let state = lease.state();
        let confirmed_at = self.started_at + lease.confirmed_at();
        let status = ListStatus {
            expires_at: lease.expires_at().map(|at| self.started_at + at),
            version: client.version(),
            unwatched_since: (state != LeaseState::Watching).then_some(confirmed_at),
        };
        if self.status.replace(Some(status)) != Some(status) {
            let _ = self.inbox.send(Input::ListStatus(status)); // fails only while the process ends
        }
    }

    /// Logs what bounds the use of the list, if that has changed.
    fn log_freshness(&self) {
        let client = self.client.borrow();
        let lease = client.lease();
        let freshness = Freshness {
            state: lease.state(),
            is_bounded: lease.expires_at().is_some(),
            needs_whole_list: client.needs_whole_list(),
        };
        if self.logged_freshness.replace(Some(freshness)).is_some_and(|logged| logged.is_like(&freshness)) {
            return;
        }
        let now = self.now();
        let millis = |time: Duration| time.as_millis() as u64;
        info!(
            state = ?freshness.state,
            version = client.version(),
            server = client.server().0,
            list_server = client.list_server().0,
            whole = !freshness.needs_whole_list,
            age_ms = millis(now.saturating_sub(lease.confirmed_at())),
            lease_ms = lease.expires_at().map(|at| millis(at.saturating_sub(now))),
            "list freshness"
        );
    }
}

/// What bounds the use of the list, as it was last logged.
#[derive(Clone, Copy)]
struct Freshness {
    state: LeaseState,
    is_bounded: bool,
    needs_whole_list: bool,
}

impl Freshness {
    /// Whether nothing but times differs.
    fn is_like(&self, other: &Freshness) -> bool {
        std::mem::discriminant(&self.state) == std::mem::discriminant(&other.state)
            && self.is_bounded == other.is_bounded
            && self.needs_whole_list == other.needs_whole_list
    }
}

/// Logs which endpoints discovery named in response to a call.
fn log_received(id: CallId, kind: &str, list: &EndpointList) {
    if !list.targets.is_empty() {
        let uids: Vec<&str> = list.targets.iter().map(|target| target.uid.as_str()).collect();
        debug!(call = id.0, kind, rev = list.rev, whole = list.is_complete, ?uids, "list received");
    }
}
