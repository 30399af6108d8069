//! Calls of operators to the consensus servers: questions about their state, proposals, commands and changes of the voters.
//!
//! Errors are texts for operators, with one line for each server that was asked.

mod status;

use crate::config::{FleetConfig, KeyError, keys};
use crate::transport::{connect, large_frames_budget, read_frame, write_frame};
use curlewhub_control_plane::configuration::ConfigCommand;
use curlewhub_control_plane::protocol::{Envelope, FORMAT, MIN_FORMAT, MacKeys, Message, PeerId};
use curlewhub_control_plane::record::Proposal;
use curlewhub_rollout::status::ConfigStatus;
use serde::de::DeserializeOwned;
pub use status::{MemberEntry, MemberList, RecordSummary, ServerStatus, ZoneList, ZoneStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Limit of the time for an answer to a question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of the time for a decision, after which the next server is asked: a proposal that is sent twice is decided once.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(700);
/// How often all servers are asked for a decision; together these attempts last for about three elections.
const PROPOSAL_ROUNDS: usize = 3;

/// Why a call to one server has failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Key(#[from] KeyError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    #[error("another answer")]
    UnexpectedAnswer,
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The server does not carry out what is asked, for this reason.
    #[error("{0}")]
    Rejected(String),
}

/// Sends a message to one server and returns its answer.
///
/// # Errors
/// A key file can't be used, the server can't be reached, or it does not answer `within` the time.
pub async fn call(
    config: &FleetConfig,
    at: SocketAddr,
    message: Message,
    within: Duration,
) -> Result<Message, String> {
    request(config, at, message, within).await.map_err(|problem| problem.to_string())
}

async fn request(
    config: &FleetConfig,
    address: SocketAddr,
    message: Message,
    within: Duration,
) -> Result<Message, CallError> {
    let keys = keys(config)?;
    // Answers are sent to a name: each call has its own, so that calls at the same time don't receive each other's.
    let name = format!("{}-call-{:x}", config.name, rand::random::<u64>());
    let envelope = Envelope { from: PeerId { name, incarnation: 1 }, message };
    // A server of an older build closes the connection on a newer format, and is asked again in an older one.
    let mut last_error = io::Error::from(io::ErrorKind::UnexpectedEof);
    for format in (envelope.message.min_format().max(MIN_FORMAT)..=FORMAT).rev() {
        match timeout(within, exchange(config, address, &keys, &envelope, format)).await {
            Ok(Ok(message)) => return Ok(message),
            Ok(Err(e)) if e.kind() == io::ErrorKind::UnexpectedEof => last_error = e,
            Ok(Err(e)) => return Err(e.into()),
            Err(_) => return Err(CallError::Timeout(within)),
        }
    }
    Err(last_error.into())
}

/// Sends a message on a new connection, and waits for the answer.
async fn exchange(
    config: &FleetConfig,
    address: SocketAddr,
    keys: &MacKeys,
    envelope: &Envelope,
    format: u8,
) -> io::Result<Message> {
    let mut stream = connect(config.listen.ip(), address).await?;
    write_frame(&mut stream, &keys.encode(envelope, format)).await?;
    let large_frames = large_frames_budget();
    loop {
        let bytes = read_frame(&mut stream, &large_frames).await?;
        match keys.decode(&bytes).map_err(io::Error::other)?.message {
            Message::Raft(_) => {}
            message => return Ok(message),
        }
    }
}

/// Asks one server about a state.
async fn describe<T: DeserializeOwned>(
    config: &FleetConfig,
    address: SocketAddr,
    question: Message,
) -> Result<T, CallError> {
    match request(config, address, question, ANSWER_TIMEOUT).await? {
        Message::Described(json) => Ok(serde_json::from_str(&json)?),
        _ => Err(CallError::UnexpectedAnswer),
    }
}

/// The members, by the server that knows the largest number.
///
/// # Errors
/// No server answers.
pub async fn list_members(config: &FleetConfig) -> Result<MemberList, String> {
    let (mut longest, mut problems): (Option<MemberList>, Vec<String>) = (None, Vec::new());
    for server in &config.consensus_servers {
        match describe::<MemberList>(config, server.address, Message::ListMembers).await {
            Ok(list) => {
                if longest.as_ref().is_none_or(|longest| list.members.len() > longest.members.len()) {
                    longest = Some(list);
                }
            }
            Err(problem) => problems.push(format!("{}: {problem}", server.name)),
        }
    }
    longest.ok_or_else(|| problems.join("\n"))
}

/// The state of each server by name, or why it is not known.
pub async fn describe_servers(config: &FleetConfig) -> Vec<(String, Result<ServerStatus, String>)> {
    let mut all = Vec::new();
    for server in &config.consensus_servers {
        let status = describe(config, server.address, Message::DescribeServer).await;
        all.push((server.name.clone(), status.map_err(|problem| problem.to_string())));
    }
    all
}

/// The zones, by the leader, or else by any server that answers.
///
/// # Errors
/// No server answers.
pub async fn list_zones(config: &FleetConfig) -> Result<ZoneList, String> {
    describe_by_leader(config, Message::ListZones, |zones: &ZoneList| zones.is_leader).await
}

/// The state of the configuration, by the leader, or else by any server that answers.
///
/// # Errors
/// No server answers.
pub async fn config_status(config: &FleetConfig) -> Result<ConfigStatus, String> {
    describe_by_leader(config, Message::DescribeConfig, |status: &ConfigStatus| status.leads).await
}

/// The leader's answer to a question, or else the first answer of another server.
async fn describe_by_leader<T: DeserializeOwned>(
    config: &FleetConfig,
    question: Message,
    is_of_leader: impl Fn(&T) -> bool,
) -> Result<T, String> {
    let (mut first, mut problems): (Option<T>, Vec<String>) = (None, Vec::new());
    for server in &config.consensus_servers {
        match describe::<T>(config, server.address, question.clone()).await {
            Ok(answer) if is_of_leader(&answer) => return Ok(answer),
            Ok(answer) => drop(first.get_or_insert(answer)),
            Err(problem) => problems.push(format!("{}: {problem}", server.name)),
        }
    }
    first.ok_or_else(|| problems.join("\n"))
}

/// Sends a proposal to one server after another, until it is decided; returns its version.
///
/// # Errors
/// The proposal is invalid, or no server decides it; it may still be decided later.
pub async fn propose(config: &FleetConfig, proposal: &Proposal) -> Result<u64, String> {
    proposal.validate().map_err(|e| e.to_string())?;
    decide(config, &Message::Propose(proposal.clone())).await
}

/// Sends a command on the configuration to one server after another, until it is carried out; returns the version.
///
/// # Errors
/// No server carries it out; it may still be carried out later.
pub async fn command_config(config: &FleetConfig, command: &ConfigCommand) -> Result<u64, String> {
    decide(config, &Message::CommandConfig(command.clone())).await
}

async fn decide(config: &FleetConfig, message: &Message) -> Result<u64, String> {
    let mut problems = BTreeMap::new();
    for _ in 0..PROPOSAL_ROUNDS {
        for server in &config.consensus_servers {
            match decide_by(config, server.address, message.clone()).await {
                Ok(version) => return Ok(version),
                Err(problem) => drop(problems.insert(&server.name, problem.to_string())),
            }
        }
    }
    // A problem that all servers report alike is stated once.
    let distinct: BTreeSet<&String> = problems.values().collect();
    if let [problem] = distinct.into_iter().collect::<Vec<_>>()[..] {
        return Err(problem.clone());
    }
    let lines: Vec<String> = problems.iter().map(|(name, problem)| format!("{name}: {problem}")).collect();
    Err(lines.join("\n"))
}

async fn decide_by(config: &FleetConfig, address: SocketAddr, message: Message) -> Result<u64, CallError> {
    match request(config, address, message, PROPOSAL_TIMEOUT).await? {
        Message::Decided { version, .. } => Ok(version.0),
        Message::NotDecided { why, .. } => Err(CallError::Rejected(why)),
        _ => Err(CallError::UnexpectedAnswer),
    }
}

/// Adds a consensus server to the voters, or removes it. All servers are asked in turn: the leader carries it out.
///
/// # Errors
/// No server carries it out.
pub async fn change_voters(config: &FleetConfig, server: u64, add: bool) -> Result<(), String> {
    let mut problems = Vec::new();
    for asked in &config.consensus_servers {
        match change_voters_by(config, asked.address, server, add).await {
            Ok(()) => return Ok(()),
            Err(problem) => problems.push(format!("{}: {problem}", asked.name)),
        }
    }
    Err(problems.join("\n"))
}

async fn change_voters_by(
    config: &FleetConfig,
    address: SocketAddr,
    server: u64,
    add: bool,
) -> Result<(), CallError> {
    match request(config, address, Message::ChangeVoters { server, add }, ANSWER_TIMEOUT).await? {
        Message::VoterChangeStarted => Ok(()),
        Message::VoterChangeRejected(why) => Err(CallError::Rejected(why)),
        _ => Err(CallError::UnexpectedAnswer),
    }
}
