//! Calls of an operator to keepers: what is decided, how they stand, and proposals.

use crate::config::{FleetConfig, keys};
use crate::traffic::{Flow, Lost, MessageKind};
use crate::transport::{connect, read, room, write};
use curlewhub_control_plane::configuration::ConfigCommand;
use curlewhub_control_plane::membership::{Member, MemberStatus};
use curlewhub_control_plane::protocol::{Envelope, FORMAT, MIN_FORMAT, Message, PeerId};
use curlewhub_control_plane::record::{Proposal, Record};
use curlewhub_rollout::status::ConfigStatus;
use curlewhub_zone_failover::capacity::{self, EvacuationPlan, ZoneLoad};
use curlewhub_zone_failover::zone_states::ZoneState;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// A keeper answers within this, or it is not reached.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// A keeper that has not decided within this is left, and the next one asked: a proposal that comes twice is decided once.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(700);
/// All keepers are asked so many times over, about three elections' time.
const ROUNDS: usize = 3;

/// A keeper, as it describes itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Its name.
    pub name: String,
    /// Which start of it.
    pub incarnation: u64,
    /// It leads.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Who leads, as far as it knows.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// The keepers' numbers.
    #[serde(rename = "keepers")]
    pub voters: Vec<u64>,
    /// What is decided, as far as it knows.
    pub version: u64,
    /// The hash of that.
    pub hash: String,
    /// The newest record of each key.
    pub records: Vec<RecordSummary>,
    /// Sidecars whose evidence it has.
    pub sidecars: usize,
    /// Members that it knows to be there, itself among them.
    #[serde(default)]
    pub members: usize,
    /// Bytes that it has said since its start ...
    #[serde(default)]
    #[serde(rename = "said_bytes")]
    pub sent_bytes: u64,
    /// ... and heard.
    #[serde(default)]
    #[serde(rename = "heard_bytes")]
    pub received_bytes: u64,
    /// Words on the agreement of earlier starts of keepers, or of who is none.
    #[serde(default)]
    #[serde(rename = "fenced")]
    pub fenced_messages: u64,
    /// Packets of the membership that were not taken, by why.
    #[serde(default)]
    #[serde(rename = "not_heard")]
    pub rejected_packets: BTreeMap<String, u64>,
    /// Asks of sidecars that were put off, since too much was told just then.
    #[serde(rename = "put_off")]
    pub deferred_fetches: u64,
    /// Messages of the agreement that could not be read or did not fit.
    #[serde(rename = "unread")]
    pub malformed_messages: u64,
    /// Digests that were not taken, by why.
    #[serde(rename = "not_taken")]
    pub rejected_digests: BTreeMap<String, u64>,
    /// Messages dropped, by why.
    pub dropped: BTreeMap<String, u64>,
    /// Messages that found no room in its process, by why.
    #[serde(default)]
    pub lost: BTreeMap<Lost, u64>,
    /// Messages and bytes since its start, by kind.
    #[serde(default)]
    pub traffic: BTreeMap<MessageKind, Flow>,
}

/// A record, for people.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordSummary {
    /// Its version.
    pub version: u64,
    /// Its key.
    pub key: String,
    /// What is decided, where that is text.
    pub body: String,
    /// Who.
    pub by: String,
    /// Why.
    pub why: String,
    /// When, by the clock of its leader.
    pub at_ms: u64,
}

impl RecordSummary {
    /// Of a record.
    pub fn of(record: &Record) -> RecordSummary {
        let Proposal { key, body, by, why, .. } = &record.proposal;
        let body = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        let (key, by, why) = (key.clone(), by.clone(), why.clone());
        RecordSummary { version: record.version.0, key, body, by, why, at_ms: record.at_ms }
    }
}

/// Whom a keeper knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberList {
    /// Who says so.
    pub by: String,
    /// By name, itself among them.
    pub members: Vec<MemberEntry>,
}

/// How halls stand, by a keeper.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneList {
    /// Who says so.
    pub by: String,
    /// It leads.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// As of this version.
    pub version: u64,
    /// By name.
    #[serde(rename = "halls")]
    pub zones: Vec<ZoneStatus>,
    /// Ways that are cut, and why: from, to.
    #[serde(rename = "cut")]
    pub cut_pairs: BTreeMap<String, BTreeMap<String, String>>,
    /// By themselves halls are left only while this part of what was borne stays, 0 to 1.
    #[serde(default)]
    #[serde(rename = "floor")]
    pub min_remaining_capacity: f64,
}

/// How a hall stands, and what is seen of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneStatus {
    /// Its name.
    pub name: String,
    /// Its region, if it is in one.
    pub region: String,
    /// How it stands.
    pub state: ZoneState,
    /// Why.
    pub why: String,
    /// An operator has it so.
    #[serde(rename = "by_hand")]
    pub overridden: bool,
    /// Calls that it serves in a second ...
    pub calls_per_s: f64,
    /// ... as a multiple of the time that they usually take ...
    #[serde(rename = "stretch")]
    pub latency_ratio: f64,
    /// ... and the part that is lost just now.
    #[serde(rename = "lost")]
    pub lost_share: f64,
    /// Calls a second that it bore before it was left, or has of late.
    #[serde(rename = "bore_per_s")]
    pub baseline_per_s: f64,
    /// The most calls a second that it was seen to bear, within hours.
    #[serde(default)]
    #[serde(rename = "most_per_s")]
    pub peak_per_s: f64,
    /// Calls a second that are granted into it, while it returns.
    pub granted_per_s: f64,
    /// Sidecars that tell of it.
    pub witnesses: u32,
    /// Of these, those that lose by it.
    pub losing: u32,
}

impl ZoneList {
    /// What leaving a hall, a region or a hall's tier would do to the others; none where there is none of that name.
    pub fn plan_evacuation(&self, name: &str) -> Option<EvacuationPlan> {
        let place = |zone: &ZoneStatus| ZoneLoad {
            name: zone.name.clone(),
            region: zone.region.clone(),
            state: zone.state,
            calls_per_s: zone.calls_per_s,
            peak_per_s: zone.peak_per_s,
        };
        capacity::leave(&self.zones.iter().map(place).collect::<Vec<_>>(), name)
    }

    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // finite numbers and text: it never fails
    }
}

/// A member that is known, and how it stands.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberEntry {
    /// The member.
    #[serde(flatten)]
    pub member: Member,
    /// How it stands.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
}

impl MemberList {
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // numbers and text: it never fails
    }
}

impl ServerStatus {
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // numbers and text: it never fails
    }
}

/// Says something to one keeper and hears its answer.
///
/// # Errors
/// It is not there, or does not answer.
pub async fn call(
    config: &FleetConfig,
    at: SocketAddr,
    message: Message,
    within: Duration,
) -> Result<Message, String> {
    let keys = keys(config)?;
    // A name of its own: an answer goes to who asked, and not to another that asks now.
    let name = format!("{}-call-{:x}", config.name, rand::random::<u64>());
    let envelope = Envelope { from: PeerId { name, incarnation: 1 }, message };
    // A keeper of an older build cuts off who speaks a newer format, and is asked again in its own.
    let mut problem = String::new();
    for format in (envelope.message.min_format().max(MIN_FORMAT)..=FORMAT).rev() {
        let asked = async {
            let mut stream = connect(config.listen.ip(), at).await?;
            write(&mut stream, &keys.encode(&envelope, format)).await?;
            let room = room();
            loop {
                let bytes = read(&mut stream, &room).await?;
                match keys.decode(&bytes).map_err(std::io::Error::other)?.message {
                    Message::Raft(_) => {}
                    message => return Ok::<_, std::io::Error>(message),
                }
            }
        };
        match timeout(within, asked).await {
            Ok(Ok(message)) => return Ok(message),
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::UnexpectedEof => problem = e.to_string(),
            Ok(Err(e)) => return Err(e.to_string()),
            Err(_) => return Err(format!("no answer within {within:?}")),
        }
    }
    Err(problem)
}

/// Whom the fleet's members know: the word of the keeper that knows most.
///
/// # Errors
/// No keeper is reached, with what each said.
pub async fn list_members(config: &FleetConfig) -> Result<MemberList, String> {
    let (mut best, mut problems): (Option<MemberList>, Vec<String>) = (None, Vec::new());
    for keeper in &config.consensus_servers {
        let listed = match call(config, keeper.address, Message::ListMembers, ANSWER_TIMEOUT).await {
            Ok(Message::Described(text)) => {
                serde_json::from_str::<MemberList>(&text).map_err(|e| e.to_string())
            }
            Ok(_) => Err("another answer".to_owned()),
            Err(problem) => Err(problem),
        };
        match listed {
            Ok(listed) if best.as_ref().is_none_or(|best| listed.members.len() > best.members.len()) => {
                best = Some(listed);
            }
            Ok(_) => {}
            Err(problem) => problems.push(format!("{}: {problem}", keeper.name)),
        }
    }
    best.ok_or_else(|| problems.join("\n"))
}

/// How each keeper stands, or why that is not known.
pub async fn describe_servers(config: &FleetConfig) -> Vec<(String, Result<ServerStatus, String>)> {
    let mut all = Vec::new();
    for keeper in &config.consensus_servers {
        let described = match call(config, keeper.address, Message::DescribeServer, ANSWER_TIMEOUT).await {
            Ok(Message::Described(text)) => serde_json::from_str(&text).map_err(|e| e.to_string()),
            Ok(_) => Err("another answer".to_owned()),
            Err(problem) => Err(problem),
        };
        all.push((keeper.name.clone(), described));
    }
    all
}

/// How halls stand: the word of the keeper that leads, or else of any.
///
/// # Errors
/// No keeper is reached, with what each said.
pub async fn list_zones(config: &FleetConfig) -> Result<ZoneList, String> {
    described_by_leader(config, Message::ListZones, |zones: &ZoneList| zones.is_leader).await
}

/// How the configuration stands: the word of the consensus server that leads, or else of any.
///
/// # Errors
/// None is reached, with what each said.
pub async fn config_status(config: &FleetConfig) -> Result<ConfigStatus, String> {
    described_by_leader(config, Message::DescribeConfig, |status: &ConfigStatus| status.leads).await
}

/// What the keeper that leads says of itself, or else any.
async fn described_by_leader<T: DeserializeOwned>(
    config: &FleetConfig,
    question: Message,
    leads: impl Fn(&T) -> bool,
) -> Result<T, String> {
    let (mut best, mut problems): (Option<T>, Vec<String>) = (None, Vec::new());
    for keeper in &config.consensus_servers {
        let message = match call(config, keeper.address, question.clone(), ANSWER_TIMEOUT).await {
            Ok(Message::Described(text)) => serde_json::from_str::<T>(&text).map_err(|e| e.to_string()),
            Ok(_) => Err("another answer".to_owned()),
            Err(problem) => Err(problem),
        };
        match message {
            Ok(message) if leads(&message) => return Ok(message),
            Ok(message) => drop(best.get_or_insert(message)),
            Err(problem) => problems.push(format!("{}: {problem}", keeper.name)),
        }
    }
    best.ok_or_else(|| problems.join("\n"))
}

/// Proposes something to the keepers, one after another, until it is decided: the version.
///
/// # Errors
/// Nobody decides it, with what each said; it may be decided later all the same.
pub async fn propose(config: &FleetConfig, proposal: &Proposal) -> Result<u64, String> {
    proposal.validate().map_err(|e| e.to_string())?;
    decide(config, &Message::Propose(proposal.clone())).await
}

/// Has a command on the configuration carried out: the version that does it.
///
/// # Errors
/// Nobody decides it, with what each said; it may be decided later all the same.
pub async fn command_config(config: &FleetConfig, command: &ConfigCommand) -> Result<u64, String> {
    decide(config, &Message::CommandConfig(command.clone())).await
}

/// Asks the keepers one after another, until one has it decided.
async fn decide(config: &FleetConfig, request: &Message) -> Result<u64, String> {
    let mut problems = BTreeMap::new();
    for _ in 0..ROUNDS {
        for keeper in &config.consensus_servers {
            let problem = match call(config, keeper.address, request.clone(), PROPOSAL_TIMEOUT).await {
                Ok(Message::Decided { version, .. }) => return Ok(version.0),
                Ok(Message::NotDecided { why, .. }) => why,
                Ok(_) => "another answer".to_owned(),
                Err(problem) => problem,
            };
            problems.insert(&keeper.name, problem);
        }
    }
    // What all say alike is said once.
    let distinct: BTreeSet<&String> = problems.values().collect();
    if let [problem] = distinct.into_iter().collect::<Vec<_>>()[..] {
        return Err(problem.clone());
    }
    let named: Vec<String> = problems.iter().map(|(name, problem)| format!("{name}: {problem}")).collect();
    Err(named.join("\n"))
}

/// Has a keeper added or removed: the leader among those that are reached does it.
///
/// # Errors
/// Nobody does it, with what each said.
pub async fn change_voters(config: &FleetConfig, keeper: u64, add: bool) -> Result<(), String> {
    let mut problems = Vec::new();
    for one in &config.consensus_servers {
        let problem =
            match call(config, one.address, Message::ChangeVoters { server: keeper, add }, ANSWER_TIMEOUT)
                .await
            {
                Ok(Message::VoterChangeStarted) => return Ok(()),
                Ok(Message::VoterChangeRejected(why)) => why,
                Ok(_) => "another answer".to_owned(),
                Err(problem) => problem,
            };
        problems.push(format!("{}: {problem}", one.name));
    }
    Err(problems.join("\n"))
}
