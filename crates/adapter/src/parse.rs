//! Parses lines of input into typed messages.

use crate::fields::Fields;
use crate::{Line, ListMode, WireError};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use curlewhub_balance::*;
use curlewhub_config::settings::parse_settings;

/// Placeholder for the request's id in an event, until the host replaces it.
const PLACEHOLDER_ID: RequestId = RequestId(u64::MAX);
/// The highest number of a list.
const MAX_BANK: u8 = 15;
/// Bits of the `attrs` field of an `order` message.
const HAS_ESTIMATE: u32 = 1;
const IS_CLIENT_RETRY: u32 = 2;
const IS_WRITE: u32 = 4;

/// An event, and the protocol's name of its request if it concerns one.
type NamedEvent = (Option<String>, Event);

/// Parses line number `line`; `names` maps endpoint names to ids.
pub fn parse(line: u64, text: &str, names: &mut EndpointNames) -> Result<Line, WireError> {
    let mut fields = Fields::new(line, text);
    let message = fields.text("message")?;
    let parsed = match message {
        "turn" => Line::Turn(fields.time("clock")?),
        "flush" => Line::Flush,
        "table" => {
            let bank = bank(&mut fields)?;
            Line::Table { bank, entries: fields.integer::<u32>("items")? as usize }
        }
        "m" => Line::Entry(entry(&mut fields, names)?),
        "spawn" => {
            let (instance, seed) = (fields.integer("sidecar")?, fields.integer("initSeed")?);
            let text = fields.remainder();
            return Ok(Line::Spawn { instance, seed, settings: Box::new(settings(line, &text)?) });
        }
        "detach" => Line::Detach(fields.integer("sidecar")?),
        "targets" => targets(&mut fields)?,
        "order" | "opened" | "result" | "aborted" | "timeout_fired" | "sampled" | "neighbour_says" => {
            let instance = fields.integer("sidecar")?;
            let (name, event) = event(message, &mut fields, names)?;
            Line::Event { instance, name, event }
        }
        other => return Err(fields.error("message", format!("`{other}` is no known message"))),
    };
    fields.end()?;
    Ok(parsed)
}

fn bank(fields: &mut Fields) -> Result<u8, WireError> {
    let bank: u8 = fields.integer("bank")?;
    if bank > MAX_BANK { Err(fields.error("bank", format!("{bank} is over {MAX_BANK}"))) } else { Ok(bank) }
}

/// Parses an entry of a list.
fn entry(fields: &mut Fields, names: &mut EndpointNames) -> Result<EndpointInfo, WireError> {
    Ok(EndpointInfo {
        id: names.intern(fields.text("endpoint")?),
        zone: ZoneId(fields.index("az")? as u32),
        machine_kind: MachineKindId(fields.index("kind")? as u32),
        cell: CellId(match fields.optional("group")? {
            None => 0,
            Some(text) => fields.parsed("group", text, "a whole number in range")?,
        }),
        state: match fields.text("health")? {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Gone,
            other => return Err(fields.error("health", format!("`{other}` is no known state"))),
        },
        weight: match fields.optional("units")? {
            None => 1.0,
            Some(text) => fields.finite("units", text)?,
        },
        started: fields.optional_time("lastStartMs")?.filter(|at| !at.is_zero()),
    })
}

/// Parses a discovery update for an instance.
fn targets(fields: &mut Fields) -> Result<Line, WireError> {
    let instance = fields.integer("sidecar")?;
    let mode = match fields.text("mode")? {
        "D" => ListMode::Changes,
        "F" => ListMode::Full,
        "C" => ListMode::Cached,
        "X" => ListMode::Failed,
        other => return Err(fields.error("mode", format!("`{other}` is no known mode"))),
    };
    if let Some(text) = fields.optional("epoch")? {
        fields.parsed::<u64>("epoch", text, "a whole number")?;
    }
    // A failed call has no list, so the number of the list is ignored.
    let bank = if mode == ListMode::Failed { fields.text("bank").map(|_| 0)? } else { bank(fields)? };
    Ok(Line::Targets { instance, mode, bank })
}

fn event(message: &str, fields: &mut Fields, names: &mut EndpointNames) -> Result<NamedEvent, WireError> {
    Ok(match message {
        "order" => order(fields)?,
        "opened" => {
            let name = fields.text("job")?.to_owned();
            let attempt = AttemptNo(fields.integer("copy")?);
            fields.text("endpoint")?;
            fields.time("elapsedMs")?;
            (Some(name), Event::StreamStarted { request: PLACEHOLDER_ID, attempt })
        }
        "result" => result(fields, names)?,
        "aborted" => (Some(fields.text("job")?.to_owned()), Event::RequestAbandoned(PLACEHOLDER_ID)),
        "timeout_fired" => (None, Event::Timer(TimerToken(fields.integer("ctx")?))),
        "sampled" => {
            let endpoint = names.intern(fields.text("endpoint")?);
            let outcome = fields.outcome("how")?;
            let elapsed = fields.time("elapsedMs")?;
            let report = fields.report("report")?;
            (None, Event::ProbeEnded { endpoint, outcome, elapsed, report })
        }
        _ => {
            let from = fields.integer("from")?;
            let text = fields.optional("payload")?.unwrap_or("");
            let payload = STANDARD.decode(text).map_err(|_| fields.error("payload", "not base64"))?;
            (None, Event::PeerMessage { from, payload })
        }
    })
}

/// Parses the arrival of a request.
fn order(fields: &mut Fields) -> Result<NamedEvent, WireError> {
    let name = fields.text("job")?.to_owned();
    let work_hint = fields.optional_time("estimateMs")?;
    let key = match fields.optional("item")? {
        None => None,
        Some(text) => {
            let key = u64::from_str_radix(text, 16);
            Some(key.map_err(|_| fields.error("item", format!("`{text}` is not hex")))?)
        }
    };
    let attributes: u32 = fields.integer("attrs")?;
    let time_left = fields.time("patienceLeftMs")?;
    let tenant = TenantId(fields.index("customer")?);
    let class = ClassId(fields.index("kind")?);
    let event = Event::Request(Request {
        id: PLACEHOLDER_ID,
        class,
        tenant,
        time_left,
        work_hint: work_hint.filter(|_| attributes & HAS_ESTIMATE != 0),
        key,
        client_retry: attributes & IS_CLIENT_RETRY != 0,
        body_incomplete: false,
        write: attributes & IS_WRITE != 0,
        earlier_attempt: None,
    });
    Ok((Some(name), event))
}

/// Parses the end of an attempt.
fn result(fields: &mut Fields, names: &mut EndpointNames) -> Result<NamedEvent, WireError> {
    let name = fields.text("job")?.to_owned();
    let outcome = fields.outcome("how")?;
    let elapsed = fields.time("elapsedMs")?;
    let finished = fields.flag("noMore")?;
    let endpoint = names.intern(fields.text("endpoint")?);
    let attempt = AttemptNo(fields.integer("copy")?);
    let report = fields.report("report")?;
    let request = PLACEHOLDER_ID;
    let ended = AttemptEnded { request, attempt, endpoint, outcome, elapsed, finished, report };
    Ok((Some(name), Event::AttemptEnded(ended)))
}

/// Parses the settings object of a line, which has the same form as in the sidecar's configuration.
fn settings(line: u64, text: &str) -> Result<Settings, WireError> {
    parse_settings(text).map_err(|e| WireError { line, field: e.field, problem: e.problem })
}
