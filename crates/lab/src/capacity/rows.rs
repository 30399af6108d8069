//! The rows of the capacity page: what each role needs at the target, worked out from slopes and figures of the file.

use super::file::{CapacityFile, Role, Slope};
use super::target::{
    ALLOWED_ADDED_MICROSECONDS, ALLOWED_BYTES_PER_SECOND, ALLOWED_CORE, ALLOWED_MEMORY,
    ALLOWED_SPREAD_SECONDS, CALLS_PER_SECOND, CHANGES_PER_DAY, CONSENSUS_SERVERS, DEPTH, Dimension,
    RESTARTS_PER_DAY, SERVICES, SIDECARS, ZONE, ZONES,
};

/// Attempts that one level may make for a request: the decision module's default.
const ATTEMPTS_MOST: f64 = 3.0;
/// Resident bytes of a whole sidecar process: 2,552 MiB for 300 of them in docs/fleet.md.
const PROCESS_BYTES: f64 = 2_552.0 * 1_048_576.0 / 300.0;
/// Changes in the busiest hour, as the case has it.
const CHANGES_IN_AN_HOUR: f64 = 840.0;
/// Bytes of a full packet of membership.
const PACKET_BYTES: f64 = curlewhub_control_plane::membership::MAX_PACKET_BYTES as f64;
const HOUR_SECONDS: f64 = 3_600.0;
const DAY_SECONDS: f64 = 86_400.0;

/// Where a row's value comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The slope of this name.
    Slope(String),
    /// The figure of this name.
    Figure(String),
    /// Worked out, from what is said here.
    Calculated(String),
}

/// When a row's value is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Situation {
    /// In steady running.
    Steady,
    /// In the worst event.
    Event,
}

/// One row.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The role.
    pub role: Role,
    /// What is needed.
    pub need: String,
    /// When.
    pub situation: Situation,
    /// Slope times size, as text.
    pub formula: String,
    /// The value at the target; none where nothing carries it, or where the curve leaves too much over to tell.
    pub value: Option<f64>,
    /// Its unit.
    pub unit: String,
    /// What the letter allows, where it says something of it.
    pub allowance: Option<f64>,
    /// Where the value comes from.
    pub source: Source,
    /// The package that carries the mechanism.
    pub mechanism: &'static str,
}

impl Row {
    /// Need over allowance, where both are known.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.value? / self.allowance?)
    }
}

/// The rows, or the names of slopes and figures that the file does not have.
pub struct Rows<'a> {
    file: &'a CapacityFile,
    rows: Vec<Row>,
    missing: Vec<String>,
}

/// All rows of a file.
///
/// # Errors
/// One line for each slope or figure that the page needs and the file does not have.
pub fn rows(file: &CapacityFile) -> Result<Vec<Row>, Vec<String>> {
    let mut rows = Rows { file, rows: Vec::new(), missing: Vec::new() };
    rows.data_path();
    rows.control_steady();
    rows.control_events();
    rows.consensus_server();
    rows.discovery();
    if rows.missing.is_empty() { Ok(rows.rows) } else { Err(rows.missing) }
}

/// A fit as a formula of its dimension.
pub fn formula(slope: &Slope) -> String {
    use super::fit::Shape;
    let (first, second, of) = (slope.fit.first, slope.fit.second, slope.grows_with);
    match slope.fit.shape {
        Shape::Line => {
            let sign = if second < 0.0 { '-' } else { '+' };
            format!("{} {sign} {} × {of}", super::text::number(first), super::text::number(second.abs()))
        }
        Shape::Power => format!("{} × {of}^{second:.3}", super::text::number(first)),
    }
}

/// What is said of a row beside its value.
struct Words {
    role: Role,
    need: &'static str,
    situation: Situation,
    allowance: Option<f64>,
    mechanism: &'static str,
}

impl Rows<'_> {
    /// The value of a slope at a size; missing ones are noted.
    fn at(&mut self, id: &str, size: f64) -> f64 {
        match self.file.slope(id) {
            Some(slope) => slope.fit.at(size),
            None => {
                self.is_missing(format!("slopes.{id}"));
                0.0
            }
        }
    }

    fn figure_value(&mut self, id: &str) -> f64 {
        match self.file.figure(id) {
            Some(figure) => figure.value,
            None => {
                self.is_missing(format!("figures.{id}"));
                0.0
            }
        }
    }

    /// Notes a slope or a figure that several rows may need, once.
    fn is_missing(&mut self, field: String) {
        let problem = format!("{field}: is missing");
        if !self.missing.contains(&problem) {
            self.missing.push(problem);
        }
    }

    /// A row straight from a slope, at its dimension's target.
    fn slope(&mut self, id: &str, words: Words) {
        let Some(slope) = self.file.slope(id) else {
            return self.is_missing(format!("slopes.{id}"));
        };
        let (formula, unit) = (formula(slope), slope.unit.clone());
        let value = slope.fit.at(slope.grows_with.target());
        let value = slope.is_usable().then_some(value);
        self.push(words, (formula, value, &unit), Source::Slope(id.to_owned()));
    }

    /// A row straight from a figure.
    fn figure(&mut self, id: &str, words: Words) {
        let Some(figure) = self.file.figure(id) else {
            return self.is_missing(format!("figures.{id}"));
        };
        let (value, unit) = (figure.value, figure.unit.clone());
        let fleet = figure.run.split(',').next().unwrap_or_default();
        let formula = format!("measured once, {fleet}");
        self.push(words, (formula, Some(value), &unit), Source::Figure(id.to_owned()));
    }

    /// A row that is worked out.
    fn calculated(&mut self, words: Words, formula: &str, value: f64, unit: &str, from: &str) {
        let source = Source::Calculated(from.to_owned());
        self.push(words, (formula.to_owned(), Some(value), unit), source);
    }

    fn push(&mut self, words: Words, (formula, value, unit): (String, Option<f64>, &str), source: Source) {
        let Words { role, need, situation, allowance, mechanism } = words;
        let (need, unit) = (need.to_owned(), unit.to_owned());
        self.rows.push(Row { role, need, situation, formula, value, unit, allowance, source, mechanism });
    }

    fn data_path(&mut self) {
        let words = |need, allowance| Words {
            role: Role::SidecarDataPath,
            need,
            situation: Situation::Steady,
            allowance,
            mechanism: "balance",
        };
        let memory = Some(ALLOWED_MEMORY);
        self.slope("data_path.memory.by_endpoints", words("state: one service of 400 endpoints", memory));
        self.slope("data_path.memory.by_services", words("state: 84 services in one process", memory));
        self.calculated(
            words("state: one process for each of 84 services", memory),
            "84 × process",
            SERVICES * PROCESS_BYTES,
            "bytes",
            "2,552 MiB of 300 sidecar processes in docs/fleet.md",
        );
        let added = Some(ALLOWED_ADDED_MICROSECONDS);
        self.slope("data_path.time.by_endpoints", words("decisions of a call, 400 endpoints", added));
        self.slope("data_path.time.by_calls", words("decisions of a call, 74 calls a second", added));
        let core = self.at("data_path.time.by_calls", Dimension::CallsPerSecond.target());
        self.calculated(
            words("decisions of all calls", None),
            "time of a call × calls a second",
            core * 1e-6 * Dimension::CallsPerSecond.target() * 100.0,
            "percent of a core",
            "data_path.time.by_calls",
        );
        self.calculated(
            words("calls a second to one endpoint of 84 services", None),
            "calls a second / sidecars / sidecars",
            CALLS_PER_SECOND / SIDECARS / SIDECARS,
            "calls a second",
            "even calls to all endpoints",
        );
        let event = |need| Words { situation: Situation::Event, ..words(need, None) };
        self.slope("data_path.attempts_mean.by_depth", event("attempts at level 12 that fails, mean"));
        self.slope(
            "data_path.attempts_first.by_depth",
            event("attempts at level 12 that fails, budgets full"),
        );
        self.calculated(
            event("attempts at level 12, no budget in force"),
            "attempts^(depth - 1)",
            ATTEMPTS_MOST.powf(DEPTH - 1.0),
            "attempts",
            "three attempts at each level above the last",
        );
    }

    fn control_steady(&mut self) {
        let words = |need, allowance, mechanism| Words {
            role: Role::SidecarControl,
            need,
            situation: Situation::Steady,
            allowance,
            mechanism,
        };
        let bytes = Some(ALLOWED_BYTES_PER_SECOND);
        self.slope("control.bytes.by_sidecars", words("bytes, worst sidecar", bytes, "fleet"));
        self.slope("control.bytes_mean.by_sidecars", words("bytes, mean", bytes, "fleet"));
        let need = "bytes for membership alone, mean";
        self.slope("control.membership_bytes.by_sidecars", words(need, bytes, "fleet (foca)"));
        let need = "bytes for evidence alone, mean";
        self.slope("control.evidence_bytes.by_sidecars", words(need, bytes, "fleet, locality"));
        let need = "bytes, worst, sidecars no members";
        self.slope("control.bytes_no_members.by_sidecars", words(need, bytes, "fleet"));
        self.evidence_of_all_places();
        self.changes_and_restarts();
        let memory = Some(ALLOWED_MEMORY);
        self.slope(
            "control.members_memory.by_sidecars",
            words("memory of membership", memory, "fleet (foca)"),
        );
        self.slope("control.view_memory.by_keys", words("memory of a view of 588 keys", memory, "fleet"));
        self.slope("control.messages.by_sidecars", words("messages, worst sidecar", None, "fleet"));
        let packet = "time of a packet that names 20 members";
        self.slope("control.packet_time.by_sidecars", words(packet, None, "fleet (foca)"));
        self.core_of_membership();
        self.push(
            words("a change of settings in force", Some(ALLOWED_SPREAD_SECONDS), "rollout, fleet"),
            (format!("{CHANGES_PER_DAY} changes a day × {SIDECARS} sidecars"), None, "seconds"),
            Source::Calculated("no run at this size; docs/rollout.md has 5, 12 and 30 sidecars".to_owned()),
        );
    }

    /// A part of a core for membership, were all its bytes packets that name 20 members each.
    fn core_of_membership(&mut self) {
        let packet = self.at("control.packet_time.by_sidecars", SIDECARS) * 1e-6;
        let steady = self.at("control.membership_bytes.by_sidecars", SIDECARS);
        let worst = ["rack_lost", "rack_back", "zone_lost", "zone_back", "start"]
            .map(|event| self.figure_value(&format!("control.{event}.mean")))
            .into_iter()
            .fold(self.at("control.start_bytes.by_sidecars", SIDECARS), f64::max);
        let cases = [
            ("part of a core for membership, at the most", Situation::Steady, steady),
            ("part of a core for membership over 15 s, at the most", Situation::Event, worst),
        ];
        for (need, situation, bytes) in cases {
            let words = Words {
                role: Role::SidecarControl,
                need,
                situation,
                allowance: Some(ALLOWED_CORE * 100.0),
                mechanism: "fleet (foca)",
            };
            let packets = bytes / 2.0 / PACKET_BYTES;
            let from =
                "half of the bytes are received, in packets of 1,250 bytes that name 20 members each";
            self.calculated(
                words,
                "time of a packet × packets a second",
                packet * packets * 100.0,
                "percent of a core",
                from,
            );
        }
    }

    fn evidence_of_all_places(&mut self) {
        let digest = self.at("control.digest_bytes.by_places", Dimension::Places.target());
        let steady = self.at("control.bytes_mean.by_sidecars", SIDECARS);
        let evidence = self.at("control.evidence_bytes.by_sidecars", SIDECARS);
        let words = |need| Words {
            role: Role::SidecarControl,
            need,
            situation: Situation::Steady,
            allowance: Some(ALLOWED_BYTES_PER_SECOND),
            mechanism: "fleet; a digest is bounded at 128 rows",
        };
        let from = "control.digest_bytes.by_places, a digest a second to each of seven servers";
        self.calculated(
            words("bytes for evidence of 588 service-zone pairs"),
            "digest × consensus servers",
            digest * CONSENSUS_SERVERS,
            "bytes a second",
            from,
        );
        self.calculated(
            words("bytes with evidence of 588 service-zone pairs, mean"),
            "mean - evidence + digest × consensus servers",
            steady - evidence + digest * CONSENSUS_SERVERS,
            "bytes a second",
            from,
        );
    }

    fn changes_and_restarts(&mut self) {
        let words = |need, situation| Words {
            role: Role::SidecarControl,
            need,
            situation,
            allowance: Some(ALLOWED_BYTES_PER_SECOND),
            mechanism: "fleet",
        };
        let from = "control.bytes.by_changes, records of 40 bytes; above what a quiet fleet takes";
        let quiet = self.at("control.bytes.by_changes", 0.0);
        let cases = [
            ("bytes for 840 changes a day", Situation::Steady, CHANGES_PER_DAY),
            (
                "bytes for 840 changes in an hour",
                Situation::Event,
                CHANGES_IN_AN_HOUR / HOUR_SECONDS * DAY_SECONDS,
            ),
        ];
        for (need, situation, per_day) in cases {
            let value = (self.at("control.bytes.by_changes", per_day) - quiet).max(0.0);
            self.calculated(words(need, situation), "slope × changes", value, "bytes a second", from);
        }
        let quiet = self.at("control.bytes_mean.by_restarts", 0.0);
        let value = (self.at("control.bytes_mean.by_restarts", RESTARTS_PER_DAY) - quiet).max(0.0);
        let from = "control.bytes_mean.by_restarts; above what a quiet fleet takes";
        let need = "bytes for 360 restarts a day, mean";
        self.calculated(words(need, Situation::Steady), "slope × restarts", value, "bytes a second", from);
    }

    fn control_events(&mut self) {
        let words = |need| Words {
            role: Role::SidecarControl,
            need,
            situation: Situation::Event,
            allowance: Some(ALLOWED_BYTES_PER_SECOND),
            mechanism: "fleet (foca)",
        };
        for (id, need) in [
            ("control.rack_lost", "bytes, worst sidecar, a rack of 30 lost"),
            ("control.rack_back", "bytes, worst sidecar, a rack of 30 back"),
            ("control.zone_lost", "bytes, worst sidecar, a zone lost"),
            ("control.zone_back", "bytes, worst sidecar, a zone back"),
        ] {
            self.figure(&format!("{id}.mean"), words(need));
        }
        self.slope("control.start_bytes.by_sidecars", words("bytes, worst sidecar, all start at once"));
        let worst = ["rack_lost", "rack_back", "zone_lost", "zone_back", "start"]
            .map(|event| self.figure_value(&format!("control.{event}.second")))
            .into_iter()
            .fold(0.0, f64::max);
        let from = "the greatest of the control.*.second figures";
        let need = "bytes in the worst second of any of these";
        self.calculated(words(need), "greatest of five events", worst, "bytes a second", from);
    }

    fn consensus_server(&mut self) {
        let words = |need, situation, mechanism| Words {
            role: Role::ConsensusServer,
            need,
            situation,
            allowance: None,
            mechanism,
        };
        let (steady, event) = (Situation::Steady, Situation::Event);
        self.slope(
            "server.messages.by_sidecars",
            words("messages, busiest server", steady, "fleet, fleet-node"),
        );
        self.slope("server.bytes.by_sidecars", words("bytes, busiest server", steady, "fleet, fleet-node"));
        for (id, need) in [
            ("server.start.second", "messages in the worst second, all start at once"),
            ("server.zone_lost.second", "messages in the worst second, a zone lost"),
            ("server.zone_back.second", "messages in the worst second, a zone back"),
            ("server.rack_lost.second", "messages in the worst second, a rack of 30 lost"),
        ] {
            self.figure(id, words(need, event, "fleet, fleet-node"));
        }
        let evidence = "fleet, locality";
        self.slope("server.evidence_memory.by_sidecars", words("memory of evidence", steady, evidence));
        self.slope("server.digest_time.by_sidecars", words("time to take a digest", steady, evidence));
        self.slope("server.pairs_time.by_sidecars", words("time to sum all evidence", steady, evidence));
        let digest = self.at("server.digest_time.by_sidecars", SIDECARS);
        self.calculated(
            words("part of a core to take all digests", steady, evidence),
            "time of a digest × sidecars, one a second each",
            digest * 1e-6 * SIDECARS * 100.0,
            "percent of a core",
            "server.digest_time.by_sidecars",
        );
        self.slope("server.snapshot_bytes.by_keys", words("a snapshot of 588 keys", event, "fleet"));
        let snapshot = self.at("server.snapshot_bytes.by_keys", Dimension::ViewKeys.target());
        self.calculated(
            words("bytes of snapshots, all start with empty disks", event, "fleet"),
            "snapshot × sidecars",
            snapshot * SIDECARS,
            "bytes",
            "server.snapshot_bytes.by_keys",
        );
    }

    fn discovery(&mut self) {
        let words = |need, situation, allowance, mechanism| Words {
            role: Role::Discovery,
            need,
            situation,
            allowance,
            mechanism,
        };
        let (steady, event) = (Situation::Steady, Situation::Event);
        self.slope(
            "discovery.list_bytes.by_endpoints",
            words("a whole list of 400", steady, None, "config, sources"),
        );
        self.slope(
            "discovery.list_memory.by_endpoints",
            words("memory of a list of 400", steady, Some(ALLOWED_MEMORY), "config"),
        );
        self.slope(
            "discovery.read_time.by_endpoints",
            words("time to read a list of 400", steady, None, "config"),
        );
        self.slope(
            "discovery.apply_time.by_endpoints",
            words("time to take a list of 400", steady, None, "balance"),
        );
        let list = self.at("discovery.list_bytes.by_endpoints", Dimension::EndpointsPerService.target());
        let delta = self.figure_value("discovery.delta_bytes");
        let watch = "runtime, standins (watch and whole lists)";
        self.calculated(
            words("one change to 1,900 subscribers, as a delta", event, None, watch),
            "delta × sidecars",
            delta * SIDECARS,
            "bytes",
            "discovery.delta_bytes; every endpoint calls the service",
        );
        self.calculated(
            words("one change to 1,900 subscribers, as whole lists of 400", event, None, watch),
            "list × sidecars",
            list * SIDECARS,
            "bytes",
            "discovery.list_bytes.by_endpoints; every endpoint calls the service",
        );
        let allowed = Some(ALLOWED_BYTES_PER_SECOND);
        self.calculated(
            words(
                "a zone's return to one sidecar that calls all services, over 15 s",
                event,
                allowed,
                watch,
            ),
            "delta × 271 / 15 s",
            delta * ZONE / ALLOWED_SPREAD_SECONDS,
            "bytes a second",
            "discovery.delta_bytes",
        );
        self.calculated(
            words("a zone's return to 1,900 watchers, in all", event, None, watch),
            "delta × 271 × sidecars",
            delta * ZONE * SIDECARS,
            "bytes",
            "discovery.delta_bytes; every endpoint calls all services",
        );
        self.calculated(
            words("360 restarts a day to one sidecar, a drain and a return each", steady, allowed, watch),
            "2 × restarts × delta / day",
            2.0 * RESTARTS_PER_DAY * delta / DAY_SECONDS,
            "bytes a second",
            "discovery.delta_bytes",
        );
        self.calculated(
            words("watchers of one discovery server, one in each zone", steady, None, watch),
            "sidecars / zones",
            SIDECARS / ZONES,
            "watchers",
            "even spread",
        );
    }
}
