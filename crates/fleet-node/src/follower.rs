//! A follower: it holds the view, keeps it on disk, passes it on, and tells keepers what its process sees.

use crate::config::{FleetConfig, keys};
use crate::kept::ViewFile;
use crate::links::Links;
use crate::storage::retry_after;
use crate::traffic::Traffic;
use curlewhub_config::live;
use curlewhub_fleet::acted::{Acted, Came, NotTaken};
use curlewhub_fleet::agent::{Action, Agent, Begin};
use curlewhub_fleet::configuration::{ConfigNumber, SettingValues};
use curlewhub_fleet::evidence::Witness;
use curlewhub_fleet::holder::Counts;
use curlewhub_fleet::members::{Member, Role};
use curlewhub_fleet::record::{Hash, Kind, Record};
use curlewhub_fleet::view::View;
use curlewhub_fleet::wire::{FORMAT, Said, Who};
use curlewhub_locality::machine::Moved;
use curlewhub_locality::part::{self, Part, Right};
use curlewhub_locality::places;
use curlewhub_locality::side::{self, Side};
use curlewhub_rollout::record::CONFIG;
use curlewhub_rollout::subscriber::Subscriber;
use curlewhub_rollout::{self as rollout, settings};
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_blocking, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use tracing::{debug, info, warn};

/// Connections of peers that it accepts at once, at the most. With those to keepers and peers they come beside the
/// sidecar's own budget of sockets.
const ACCEPTED_MOST: usize = 32;
/// Messages that wait to be dealt with, at the most.
const INBOX_MOST: usize = 1024;
/// What is decided is written down before it is acted on, so that no start goes back behind it; but a disk that takes
/// longer than this is not waited for.
const KEEP_MOST: Duration = Duration::from_millis(100);
/// How it stands is told this often, and an address that another process holds is asked for again.
const TURN: Duration = Duration::from_millis(500);

/// How a follower stands, for whoever reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Up to which version it acts.
    pub version: u64,
    /// How long ago a keeper confirmed that; none where none has since the start.
    pub age: Option<Duration>,
    /// What could not be taken.
    pub counts: Counts,
    /// Keys whose newest record is not acted on.
    pub not_taken: usize,
    /// Members that it knows of, itself among them; 0 until it is one.
    pub members: usize,
    /// Bytes that it has said to its fleet, and heard.
    pub traffic: (u64, u64),
    /// Which configuration is in force.
    pub config: ConfigNumber,
    /// It refuses a newer one.
    pub refuses_config: bool,
    /// Configurations that it has refused since its start.
    pub config_refusals: u64,
}

/// What a follower's process does with it.
pub trait Acts {
    /// Whether this build understands a record, and finds it sound: else what held of its key before holds on.
    ///
    /// # Errors
    /// Why it is not acted on.
    fn check(record: &Record) -> Result<(), NotTaken> {
        match record.proposal.kind {
            Kind::PLACE | Kind::FREEZE => {
                places::check(record).map_err(|why| NotTaken::Senseless(why.to_string()))
            }
            Kind::CONFIG => {
                let read = curlewhub_rollout::record::read(record);
                read.map(|_| ()).map_err(|why| NotTaken::Senseless(why.to_string()))
            }
            _ => curlewhub_fleet::acted::check(record),
        }
    }
    /// These settings are to be in force from now on, and no others of the fleet's.
    ///
    /// # Errors
    /// Why it is refused; what was in force before holds on.
    fn configure(&mut self, values: &SettingValues) -> Result<(), String> {
        let problems = live::problems(values);
        if problems.is_empty() { Ok(()) } else { Err(settings::listed(&problems)) }
    }
    /// This is acted on from now on; `hash` is that of its version.
    fn acts(&mut self, acted: &Acted, hash: Hash);
    /// This may go into halls from now on; a time of it is on a clock that reads `now`.
    fn may(&mut self, _now: Duration, _rights: &[(String, Right)]) {}
    /// A hall is to be probed so often.
    fn probe(&mut self, _hall: &str, _count: u32) {}
    /// It stands like this; told every half second.
    fn stands(&mut self, standing: Standing);
    /// This went out and came in since the start; told just before [`Acts::stands`].
    fn carried(&mut self, _traffic: &Traffic) {}
}

/// How it follows.
#[derive(Clone, Debug, Default)]
pub struct Manner {
    /// Another process of the same name may still hold its address, as a sidecar's predecessor does: it follows without
    /// one until it comes free. Else that is an error.
    pub beside: bool,
    /// What its process sees, if it is to be told, and when the clock of that began.
    pub witness: Option<(Rc<RefCell<Witness>>, Instant)>,
    /// The halls that its process calls into: what may go there is told it.
    pub halls: Vec<String>,
}

/// The wall clock, as this process is told to read it.
pub(crate) fn unix_ms(config: &FleetConfig) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    now.saturating_add_signed(config.clock_ahead_ms)
}

/// Both of its doors: streams, and datagrams at the same port.
pub(crate) async fn listen(config: &FleetConfig) -> Result<(TcpListener, UdpSocket), String> {
    let at = |e: std::io::Error| format!("listen: {}: {e}", config.listen);
    let streams = TcpListener::bind(config.listen).await.map_err(at)?;
    Ok((streams, UdpSocket::bind(config.listen).await.map_err(at)?))
}

/// This process, as its fleet is to know it.
pub(crate) fn own(config: &FleetConfig, role: Role, incarnation: u64) -> Member {
    Member {
        name: config.name.clone(),
        role,
        hall: config.hall.clone(),
        at: config.reached_at(),
        build: env!("CARGO_PKG_VERSION").to_owned(),
        format: FORMAT,
        incarnation,
        renewed: 0,
    }
}

/// A view on its way to the disk.
struct Keeping {
    view: View,
    done: JoinHandle<std::io::Result<()>>,
    /// Whatever the disk does, it is acted on from then on.
    acts_at: tokio::time::Instant,
}

/// Whether the folder keeps what is handed to it.
enum Disk {
    /// The last write was synced.
    Keeps,
    /// It was not: so many writes in a row, and the next one is then.
    Failing { attempts: u32, retry_at: tokio::time::Instant },
}

impl Disk {
    fn failed(attempts: u32) -> Disk {
        let retry_at = tokio::time::Instant::now() + retry_after(attempts);
        Disk::Failing { attempts: attempts.saturating_add(1), retry_at }
    }
}

struct Follower<'a, A: Acts> {
    config: &'a FleetConfig,
    side: Side,
    links: Rc<Links>,
    file: ViewFile,
    listens: bool,
    disk: Disk,
    /// What is being written down, by a thread of its own: no disk holds traffic up.
    keeping: Option<Keeping>,
    /// What it acts on.
    acted: Acted,
    /// Its part in rollouts of the configuration.
    subscriber: Subscriber,
    began: Instant,
    witness: Option<(Rc<RefCell<Witness>>, Instant)>,
    to: &'a mut A,
}

/// Follows, until it is told to leave; dropped before that, it is missed by others after a while.
///
/// # Errors
/// What keeps it from starting, by field.
pub async fn follow(
    config: &FleetConfig,
    manner: Manner,
    to: &mut impl Acts,
    leave: impl Future<Output = ()>,
) -> Result<(), String> {
    let keys = keys(config)?;
    let file = ViewFile::new(&config.state_dir);
    // A folder that can't be written to is no reason not to follow: it is only of use after a start.
    let by_clock = !file.has_started().unwrap_or(false);
    let written = file.incarnation(unix_ms(config));
    let failing = written.is_err();
    let incarnation = written.unwrap_or_else(|problem| {
        warn!(%problem, "fleet: the view can't be kept");
        unix_ms(config)
    });
    let view = file.view().unwrap_or_else(|problem| {
        // As one that was never there: what it had comes again.
        warn!(%problem, "fleet: the view that was kept is not used");
        View::default()
    });
    let doors = match listen(config).await {
        Ok(doors) => Some(doors),
        Err(_) if manner.beside => None,
        Err(problem) => return Err(problem),
    };
    let keepers: Vec<_> =
        config.keepers.iter().map(|keeper| (keeper.name.clone(), keeper.address)).collect();
    let peers = config.peers.iter().map(|peer| (peer.name.clone(), peer.address)).collect();
    let (inbox, mut heard) = mpsc::channel(INBOX_MOST);
    let who = Who { name: config.name.clone(), incarnation };
    let addresses = keepers.iter().cloned().collect();
    let links = Links::new(ACCEPTED_MOST, who, keys, config.listen.ip(), addresses, inbox);
    info!(version = view.version().0, hash = ?view.hash(), incarnation, "fleet: following");
    let own = own(config, Role::Sidecar, incarnation);
    let mut agent = Agent::new(Begin { own, keepers, peers, view, seed: rand::random() }, Duration::ZERO);
    if by_clock {
        agent.counts_by_clock();
    }
    let part = (!manner.halls.is_empty())
        .then(|| Part::new(&config.name, &config.hall, manner.halls, config.places.clone()));
    let side = Side::new(agent, part, Duration::ZERO);
    let (began, witness, keeping) = (Instant::now(), manner.witness, None);
    let disk = if failing { Disk::failed(0) } else { Disk::Keeps };
    let (acted, subscriber) = (Acted::default(), Subscriber::new(&config.name, &config.hall));
    let mut follower = Follower {
        config,
        side,
        links,
        file,
        listens: false,
        disk,
        keeping,
        acted,
        subscriber,
        began,
        witness,
        to,
    };
    let first = follower.act(&follower.side.agent.view().clone(), true);
    follower.carry_out(first);
    if let Some(doors) = doors {
        follower.open(doors);
    }
    let mut turns = interval(TURN);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leave = pin!(leave);
    loop {
        let next = tokio::time::Instant::from_std(began + follower.side.next());
        let late = follower.keeping.as_ref().map_or(next, |keeping| keeping.acts_at);
        let waits = follower
            .keeping
            .as_ref()
            .is_some_and(|keeping| keeping.view.version() > follower.acted.version());
        let keeps = follower.keeping.is_some();
        let actions = tokio::select! {
            () = sleep_until(next) => follower.side.tick(began.elapsed()),
            Some(message) = heard.recv() => {
                follower.side.heard(began.elapsed(), &message.from, message.said)
            }
            done = kept(&mut follower.keeping), if keeps => {
                follower.kept(done)
            }
            () = sleep_until(late), if waits => follower.act_late(),
            _ = turns.tick() => {
                follower.turn().await;
                Vec::new()
            }
            () = &mut leave => {
                let actions = follower.side.agent.leave();
                follower.carry_out(actions.into_iter().map(side::Action::Fleet).collect());
                return Ok(());
            }
        };
        follower.carry_out(actions);
    }
}

impl<A: Acts> Follower<'_, A> {
    /// It can be reached from now on.
    fn open(&mut self, (streams, datagrams): (TcpListener, UdpSocket)) {
        self.listens = true;
        spawn_local(self.links.clone().listen(streams));
        spawn_local(self.links.clone().overhear(datagrams));
        self.side.agent.join(self.began.elapsed());
    }

    /// What is done twice a second.
    async fn turn(&mut self) {
        let now = self.began.elapsed();
        let version = self.side.agent.view().version().0;
        let members = self.side.agent.members().map_or(0, |members| members.count() + 1);
        let traffic = (self.links.traffic.out.get(), self.links.traffic.come.get());
        self.to.carried(&self.links.traffic);
        let (age, counts) = (self.side.agent.age(now), self.side.agent.counts());
        let not_taken = self.acted.not_taken().count();
        let config = self.subscriber.in_force();
        let refuses_config = self.subscriber.refused().is_some();
        let config_refusals = self.subscriber.refusals();
        self.to.stands(Standing {
            version,
            age,
            counts,
            not_taken,
            members,
            traffic,
            config,
            refuses_config,
            config_refusals,
        });
        self.report_config();
        // What was not kept is written anew, also where nothing new is decided.
        if let Disk::Failing { retry_at, .. } = self.disk
            && self.keeping.is_none()
            && tokio::time::Instant::now() >= retry_at
        {
            self.keep();
        }
        if !self.listens
            && let Ok(doors) = listen(self.config).await
        {
            self.open(doors);
        }
    }

    fn tell(&mut self) -> Vec<side::Action> {
        let renews = self.side.renews();
        let digest = self
            .witness
            .as_ref()
            .and_then(|(witness, began)| witness.borrow_mut().digest(began.elapsed(), renews));
        digest.map(|digest| self.side.tell(self.began.elapsed(), &digest)).unwrap_or_default()
    }

    fn carry_out(&mut self, actions: Vec<side::Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                side::Action::Fleet(action) => changed |= self.of_fleet(action),
                side::Action::Halls(action) => self.of_halls(action),
            }
        }
        if changed && self.keeping.is_none() {
            self.keep();
        }
    }

    /// Whether the view is another one now.
    fn of_fleet(&mut self, action: Action) -> bool {
        match action {
            Action::Say(to, at, said) => self.links.say(&to, at, said),
            Action::Tell => {
                let told = self.tell();
                self.carry_out(told);
            }
            Action::Whisper(to, said) => self.links.whisper(to, said),
            Action::Up(member) => {
                self.links.member(&member.name, Some(member.format));
                let Member { name, hall, incarnation, .. } = member;
                debug!(name, hall, incarnation, "fleet: a member is there");
            }
            Action::Down(member) => {
                self.links.member(&member.name, None);
                let Member { name, hall, incarnation, .. } = member;
                debug!(name, hall, incarnation, "fleet: a member is gone");
            }
            Action::Outlives(incarnation) => {
                info!(
                    incarnation,
                    "fleet: an earlier start counted itself higher; going on by this number"
                );
                self.links.is(incarnation);
                let file = self.file.clone();
                file.counts_by(incarnation); // written with the next view at the latest
                spawn_blocking(move || file.incarnation(incarnation)); // for the next start; not waited for
            }
            Action::Renewed => info!("fleet: taken for gone, and back"),
            Action::Displaced(by) => {
                let incarnation = by.incarnation;
                warn!(incarnation, at = %by.at, "fleet: a later process has this name; following on, and no member");
            }
            Action::Applied(record) => {
                let key = &record.proposal.key;
                info!(version = record.version.0, hash = ?record.hash(), key, "fleet: applied");
                return true;
            }
            Action::Replaced(view) => {
                info!(version = view.version().0, hash = ?view.hash(), "fleet: replaced by a snapshot");
                return true;
            }
        }
        false
    }

    fn of_halls(&mut self, action: part::Action) {
        match action {
            part::Action::Rights(rights) => {
                let now = self.began.elapsed();
                self.to.may(now, &rights);
            }
            part::Action::Probe(hall, count) => self.to.probe(&hall, count),
            part::Action::Alone(true) => warn!("fleet: no keeper for long; halls go by own calls"),
            part::Action::Alone(false) => info!("fleet: halls go by what keepers decide"),
            part::Action::Moved(Moved { hall, from, to, why }) => {
                info!(hall, ?from, ?to, why, "fleet: hall moved by own calls");
            }
        }
    }

    /// Writes the view down; once that is done, or takes too long, it is acted on.
    fn keep(&mut self) {
        let (file, view) = (self.file.clone(), self.side.agent.view().clone());
        let written = view.clone();
        let done = spawn_blocking(move || file.keep(&written));
        self.keeping = Some(Keeping { view, done, acts_at: tokio::time::Instant::now() + KEEP_MOST });
    }

    /// The disk takes too long: it is acted on what is being written, and not on what came since, which no disk was handed.
    fn act_late(&mut self) -> Vec<side::Action> {
        let view = self.keeping.as_ref().map(|keeping| keeping.view.clone());
        view.map(|view| self.act(&view, false)).unwrap_or_default()
    }

    fn kept(&mut self, done: std::io::Result<()>) -> Vec<side::Action> {
        self.disk = match (&done, &self.disk) {
            (Ok(()), Disk::Keeps) => Disk::Keeps,
            (Ok(()), Disk::Failing { .. }) => {
                info!("fleet: the view is kept again");
                Disk::Keeps
            }
            (Err(problem), Disk::Keeps) => {
                // It acts on what it holds whether its disk keeps it or not: only a start after a crash is the worse for it.
                warn!(%problem, "fleet: the view can't be kept");
                Disk::failed(0)
            }
            (Err(_), Disk::Failing { attempts, .. }) => Disk::failed(*attempts),
        };
        let Some(keeping) = self.keeping.take() else { return Vec::new() };
        let actions = self.act(&keeping.view, false);
        if self.side.agent.view().version() > self.acted.version() {
            self.keep();
        }
        actions
    }

    fn act(&mut self, view: &View, first: bool) -> Vec<side::Action> {
        if view.version() <= self.acted.version() && !first {
            return Vec::new();
        }
        for came in self.acted.take(view, A::check) {
            if let Came::NotTaken(record, why) = came {
                let (version, key) = (record.version.0, &record.proposal.key);
                warn!(version, key, %why, "fleet: not acted on");
            }
        }
        let actions = self.side.acts(self.began.elapsed(), &self.acted);
        self.configure();
        self.to.acts(&self.acted, view.hash());
        actions
    }

    /// Has the configuration that is decided for this process put into force, and reports what has come of it.
    fn configure(&mut self) {
        let Some(rollout) = self.acted.get(CONFIG).and_then(|record| rollout::record::read(record).ok())
        else {
            return;
        };
        let to = &mut *self.to;
        self.subscriber.decided(&rollout, |ConfigNumber(number), values| {
            let settings = values.len();
            let taken = to.configure(values);
            match &taken {
                Ok(()) => info!(number, settings, "fleet: configuration in force"),
                Err(why) => warn!(number, why, "fleet: configuration refused; going on as before"),
            }
            taken
        });
        self.report_config();
    }

    /// Tells every consensus server what is in force here, where that is new or due again.
    fn report_config(&mut self) {
        let Some(report) = self.subscriber.report(self.began.elapsed()) else { return };
        for keeper in &self.config.keepers {
            self.links.say(&keeper.name, None, Said::ReportConfig(report.clone()));
        }
    }
}

/// How the write under way has ended.
async fn kept(keeping: &mut Option<Keeping>) -> std::io::Result<()> {
    match keeping {
        Some(keeping) => (&mut keeping.done).await.unwrap_or_else(|e| Err(std::io::Error::other(e))),
        None => std::future::pending().await,
    }
}
