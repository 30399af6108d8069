//! The endpoint list: carries out what the discovery client decides, and passes on what comes of it.

mod body;
mod call;
mod error;
mod trace;

use crate::events::{Inbox, Input, ListCommand, ListStatus, ListUpdate};
use crate::guard::AbortOnDrop;
use crate::listing::Listing;
use call::{Order, Report, Reports};
use curlewhub_balance::{Discovery as DiscoveryMode, Membership, Rules as ListRules};
use curlewhub_config::list::EndpointList;
use curlewhub_discovery_client::{Action, CallId, Client, LeaseSettings, LeaseState, Mode, Outcome};
pub use error::{CallError, Part};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

/// Reports of calls that wait to be looked at, at the most; a call waits until there is room.
const REPORTS_QUEUED: usize = 16;
/// A timer that is far away, while none is set.
const IDLE: Duration = Duration::from_secs(3600);

/// What the process knows of discovery.
pub struct Discovery {
    address: Cell<SocketAddr>,
    mode: Mode,
    listing: Rc<Listing>,
    client: RefCell<Client>,
    started: Instant,
    /// It has told us of the list since the start of the process.
    heard: Cell<bool>,
    status: Cell<Option<ListStatus>>,
    lease_state: Cell<Option<LeaseState>>,
    inbox: Inbox,
}

impl Discovery {
    /// Discovery at this address.
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
        let lease_state = Cell::new(Some(client.borrow().lease().state()));
        let (heard, status) = Default::default();
        let (address, started) = (Cell::new(address), Instant::now());
        Rc::new(Discovery { address, mode, listing, client, started, heard, status, lease_state, inbox })
    }

    /// Whether the list is as discovery has it, and not only as it was last held before the start.
    pub fn is_fresh(&self) -> bool {
        self.heard.get()
    }

    /// The list as last held, to start from.
    pub fn cached(&self, list: EndpointList) -> ListUpdate {
        self.client.borrow_mut().set_initial_version(list.rev);
        let mut news = self.listing.update(list);
        if let Membership::Full(entries) | Membership::Delta(entries) = news.membership {
            news.membership = Membership::Cached(entries);
        }
        news
    }

    /// Carries out the driver's calls. Each is answered by an event; a watch stays open after it.
    pub async fn run(self: Rc<Self>, mut calls: UnboundedReceiver<ListCommand>) {
        let (reports, mut reported) = mpsc::channel(REPORTS_QUEUED);
        let mut out = HashMap::new();
        // Where lists are pushed, a watch must always be up: the module never asks for one.
        if self.mode == Mode::Push {
            self.client.borrow_mut().follow(self.now());
        }
        loop {
            self.carry_out(&mut out, &reports);
            self.pass_status();
            let timer = self.client.borrow().next_timer().unwrap_or(self.now() + IDLE);
            tokio::select! {
                biased;
                Some((id, report)) = reported.recv() => self.reported(id, report),
                call = calls.recv() => match call {
                    Some(call) => self.called(call),
                    None => return,
                },
                () = sleep_until(self.started + timer) => self.client.borrow_mut().timer(self.now()),
            }
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn called(&self, call: ListCommand) {
        let (mut client, now) = (self.client.borrow_mut(), self.now());
        match call {
            ListCommand::Watch(true) => client.follow(now),
            ListCommand::Watch(false) => client.unfollow(),
            ListCommand::ReplaceTargets(_) => {} // the file's list was for the start alone
            ListCommand::Fetch => client.fetch(now),
            ListCommand::SetAddress(address) => {
                self.address.set(address);
                client.server_changed(now);
            }
        }
    }

    fn reported(&self, id: CallId, report: Report) {
        let (mut client, now) = (self.client.borrow_mut(), self.now());
        match report {
            Report::Line(list) => {
                self.heard.set(true);
                client.watch_line(now, id, list);
            }
            Report::WholeList(list) => {
                self.heard.set(true);
                client.whole_list(now, id, list);
            }
            Report::Torn(list) => {
                info!(call = id.0, rev = list.rev, entries = list.targets.len(), "list that broke off");
                client.partial_list(id, list);
            }
            Report::Ended { error, watch_was_up } => {
                warn!(call = id.0, reason = error.chain(), "discovery");
                client.call_ended(now, id, error.ending(watch_was_up));
            }
        }
    }

    fn carry_out(&self, out: &mut HashMap<CallId, AbortOnDrop>, reports: &Reports) {
        for action in self.client.borrow_mut().take_actions() {
            match action {
                Action::Call { id, epoch, kind } => {
                    let order = Order { id, epoch, kind, address: self.address.get() };
                    let call = call::Call::new(order, reports.clone());
                    out.retain(|_, guard| !guard.is_finished());
                    out.insert(id, AbortOnDrop::new(spawn_local(call.run()).abort_handle()));
                }
                Action::Cancel(id) => drop(out.remove(&id)),
                Action::Apply(list) => self.take(list),
                Action::Unchanged => self.tell(Membership::Delta(Vec::new())),
                Action::Report(Outcome::Failed) => self.tell(Membership::Failed),
                Action::Report(Outcome::Refused) => self.tell(Membership::Refused),
            }
        }
    }

    fn take(&self, list: EndpointList) {
        if !list.targets.is_empty() {
            info!(rev = list.rev, whole = list.is_complete, entries = list.targets.len(), "list");
        }
        let news = self.listing.update(list);
        let _ = self.inbox.send(Input::ListUpdate(news)); // fails only while the process ends
    }

    fn tell(&self, membership: Membership) {
        let _ = self.inbox.send(Input::ListUpdate(ListUpdate { membership, addresses: Vec::new() }));
    }

    /// Tells the driver how the list stands, where that has changed.
    fn pass_status(&self) {
        let client = self.client.borrow();
        let (lease, now) = (client.lease(), self.now());
        let state = lease.state();
        let kind = |state: Option<LeaseState>| state.as_ref().map(std::mem::discriminant);
        if kind(self.lease_state.replace(Some(state))) != kind(Some(state)) {
            let age = now.saturating_sub(lease.confirmed_at());
            info!(?state, version = client.version(), age_ms = age.as_millis() as u64, "list freshness");
        }
        let heard_at = self.started + lease.confirmed_at();
        let status = ListStatus {
            expires_at: lease.expires_at().map(|at| self.started + at),
            version: client.version(),
            unwatched_since: (state != LeaseState::Watching).then_some(heard_at),
        };
        if self.status.replace(Some(status)) != Some(status) {
            let _ = self.inbox.send(Input::ListStatus(status)); // fails only while the process ends
        }
    }
}
