//! Messages, records and what servers keep on disk: the same bytes as commit d7660a1 wrote, read and written.

#[path = "support/fixture.rs"]
mod fixture;

use curlewhub_control_plane::configuration::{
    Canary, ConfigAction, ConfigCommand, ConfigNumber, ConfigReport, Refusal, RolloutPlan, Settings,
};
use curlewhub_control_plane::consensus::{Output, PersistedState, Replica, TICK_INTERVAL};
use curlewhub_control_plane::evidence::{CallCounts, Digest, LegacyDigest};
use curlewhub_control_plane::membership::{Action, Member, Membership, Role};
use curlewhub_control_plane::protocol::{Envelope, FORMAT, MIN_FORMAT, MacKeys, Message, PeerId};
use curlewhub_control_plane::record::{Hash, Proposal, Record, RecordKind, Version};
use curlewhub_control_plane::view::View;
use fixture::{assert_same, hex, unhex, values};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const KEY: [u8; 32] = [7; 32];
const OTHER_KEY: [u8; 32] = [9; 32];

fn proposal(id: u64, key: &str, kind: RecordKind) -> Proposal {
    Proposal {
        id,
        key: key.to_owned(),
        kind,
        body: vec![0, 1, 200, 255],
        by: "operator-a".to_owned(),
        why: "a reason, größer".to_owned(),
        expected_version: Some(Version(id + 1000)),
    }
}

fn record(version: u64, before: Hash, proposal: Proposal) -> Record {
    Record {
        version: Version(version),
        term: 300 + version,
        previous_hash: before,
        at_ms: 1_700_000_000_123,
        proposal,
    }
}

fn records() -> Vec<Record> {
    let kinds = [
        RecordKind::NOTE,
        RecordKind::ZONE_STATES,
        RecordKind::FREEZE,
        RecordKind::CONFIG,
        RecordKind(65_000),
    ];
    let mut records: Vec<Record> = Vec::new();
    for (n, kind) in kinds.into_iter().enumerate() {
        let before = records.last().map_or(Hash::default(), Record::hash);
        records.push(record(n as u64 + 1, before, proposal(1 << (9 * n), &format!("key/{}", n % 4), kind)));
    }
    records[4].proposal.expected_version = None;
    records
}

fn view() -> View {
    let mut view = View::default();
    records().into_iter().for_each(|record| view.apply(record).unwrap());
    view
}

fn calls() -> CallCounts {
    CallCounts {
        served: 1001,
        slow: 1002,
        rejected: 1003,
        failed: 1004,
        unreachable: 1005,
        timed_out: 1006,
        overdue: 1007,
        recovered: 1008,
        took_ms: 1009,
        expected_ms: 1010,
        last_served_ms_ago: 1011,
        lost_streak: 1012,
        probes_answered: 1013,
        probes_unanswered: 1014,
    }
}

fn digest() -> Digest {
    let rows =
        [("zone-b".to_owned(), calls()), ("zone-c/1".to_owned(), CallCounts { served: 3, ..calls() })]
            .into();
    Digest {
        sequence: 77,
        sent_at_ms: 1_234_567,
        zone: "zone-a".to_owned(),
        interval_ms: 250,
        calls_by_zone: rows,
    }
}

/// Its fields are private: the first format's builds wrote them one after another.
fn old_digest() -> LegacyDigest {
    let rows: BTreeMap<&str, [f64; 5]> = [("zone-b", [1.5, 2.5, -3.0, 0.0, 1e9])].into();
    postcard::from_bytes(&postcard::to_allocvec(&(77u64, "zone-a", 250u32, rows)).unwrap()).unwrap()
}

fn settings() -> Settings {
    let value = |field: &str, value: &str| (field.to_owned(), value.to_owned());
    let zone = [value("log.level", "debug"), value("retry.budget", "0.2")].into();
    let zones = [("zone-b".to_owned(), zone)].into();
    Settings { everywhere: [value("log.level", "info")].into(), zones }
}

fn plan() -> RolloutPlan {
    RolloutPlan {
        canary: Canary { zones: vec!["zone-b".to_owned(), "zone-c".to_owned()], per_mille: 150 },
        soak_ms: 3001,
        stage_ms: 6002,
        refused_most_per_mille: 21,
        failed_most_per_mille: 52,
    }
}

fn command(id: u64, action: ConfigAction) -> Message {
    Message::CommandConfig(ConfigCommand {
        id,
        action,
        by: "operator-b".to_owned(),
        why: "trial".to_owned(),
    })
}

fn report(refused: Option<Refusal>) -> Message {
    Message::ReportConfig(ConfigReport { in_force: ConfigNumber(41), refused })
}

/// Each message, some with each form of what they hold. The names are the fixture's own.
fn messages() -> Vec<(&'static str, Message)> {
    let text = |text: &str| text.to_owned();
    let propose = ConfigAction::Propose { base: ConfigNumber(40), settings: settings(), plan: plan() };
    let rates = vec![(text("zone-b"), 12.5), (text("zone-c/1"), 0.25)];
    vec![
        ("have", Message::ViewVersion { version: Version(300), hash: Hash([0xab; 32]) }),
        ("ask", Message::FetchRecords { after: Version(301) }),
        ("records", Message::Records(records())),
        ("snapshot", Message::Snapshot(view())),
        ("later", Message::RetryAfter { after_ms: 1500 }),
        ("evidence", Message::LegacyEvidence(old_digest())),
        ("propose", Message::Propose(proposal(9, "key/9", RecordKind::NOTE))),
        ("decided", Message::Decided { id: u64::MAX, version: Version(302) }),
        ("not-decided", Message::NotDecided { id: 10, why: text("no majority") }),
        ("agreement", Message::Raft(vec![1, 2, 3])),
        ("describe", Message::DescribeServer),
        ("described", Message::Described(text("{\"a\":1}"))),
        ("change-add", Message::ChangeVoters { server: 4, add: true }),
        ("change-remove", Message::ChangeVoters { server: 300, add: false }),
        ("changing", Message::VoterChangeStarted),
        ("not-changing", Message::VoterChangeRejected(text("not the leader"))),
        ("members", Message::Membership(vec![4, 5, 6])),
        ("list-members", Message::ListMembers),
        ("pace", Message::SetEvidenceInterval { interval_ms: 750 }),
        ("saw", Message::Evidence(digest())),
        ("probe", Message::ProbeZone { zone: text("zone-b"), count: 5 }),
        ("granted", Message::Grant { term: 12, digest_sequence: 77, valid_ms: 2000, rates }),
        ("list-zones", Message::ListZones),
        ("report-config", report(None)),
        ("report-refused", report(Some(Refusal { number: ConfigNumber(42), why: text("bad") }))),
        ("command-propose", command(1, propose)),
        ("command-promote", command(2, ConfigAction::Promote(ConfigNumber(43)))),
        ("command-halt", command(3, ConfigAction::Halt(ConfigNumber(44)))),
        ("command-rollback", command(4, ConfigAction::Rollback(ConfigNumber(45)))),
        ("describe-config", Message::DescribeConfig),
    ]
}

fn envelope(message: Message) -> Envelope {
    Envelope { from: PeerId { name: "sidecar-17".to_owned(), incarnation: 1_700_000_000_456 }, message }
}

#[test]
fn messages_have_the_same_bytes_in_both_formats_and_under_each_key() {
    let keys = MacKeys::single(3, KEY);
    let mut written = Vec::new();
    for format in [MIN_FORMAT, FORMAT] {
        for (name, message) in messages() {
            written.push((format!("{format}-{name}"), hex(&keys.encode(&envelope(message), format))));
        }
    }
    let have = envelope(messages().remove(0).1);
    written
        .push(("2-have-other-key".to_owned(), hex(&MacKeys::single(250, OTHER_KEY).encode(&have, FORMAT))));
    written.push(("1-have-format-0".to_owned(), hex(&keys.encode(&have, MIN_FORMAT - 1))));
    written.push(("2-have-format-3".to_owned(), hex(&keys.encode(&have, FORMAT + 1))));
    assert_same("messages.txt", &written);
}

#[test]
fn messages_of_the_earlier_build_keep_their_meaning() {
    let keys = MacKeys::single(3, KEY).with(250, OTHER_KEY);
    let known: BTreeMap<&str, Message> = messages().into_iter().collect();
    let values = values("messages.txt");
    assert_eq!(values.len(), 2 * known.len() + 3);
    for (name, bytes) in values {
        let (format, message) = name.split_once('-').unwrap();
        let message = if message.starts_with("have") { "have" } else { message };
        let wanted = (envelope(known[message].clone()), format.parse().unwrap());
        assert_eq!(keys.decode_with_format(&unhex(&bytes)), Ok(wanted), "{name}");
    }
}

#[test]
fn each_message_is_of_the_same_format() {
    let since: Vec<_> =
        messages().iter().map(|(name, message)| (*name, message.min_format().to_string())).collect();
    assert_same("message_formats.txt", &since);
}

#[test]
fn records_hashes_views_and_kinds_have_the_same_bytes() {
    let mut written = vec![("view".to_owned(), hex(&postcard::to_allocvec(&view()).unwrap()))];
    for (n, record) in records().iter().enumerate() {
        written.push((format!("record-{n}"), hex(&postcard::to_allocvec(record).unwrap())));
        written.push((format!("hash-{n}"), hex(&record.hash().0)));
        written.push((format!("kind-{n}"), record.proposal.kind.0.to_string()));
    }
    assert_same("records.txt", &written);
    let kept: BTreeMap<String, String> = values("records.txt").into_iter().collect();
    let read: View = postcard::from_bytes(&unhex(&kept["view"])).unwrap();
    assert!(read.is_consistent());
    assert_eq!(read, view());
}

fn member(name: &str, role: Role, port: u16) -> Member {
    Member {
        name: name.to_owned(),
        role,
        zone: "zone-a".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        build: "1.2.3".to_owned(),
        format: 2,
        incarnation: 1_700_000_000_789,
        rejoins: 3,
    }
}

/// Two members that find each other, and one of them leaves: each packet, in the order in which it was sent.
fn packets() -> Vec<(String, String)> {
    let own = [member("server-1", Role::ConsensusServer, 7001), member("sidecar-1", Role::Sidecar, 7002)];
    let seeds = [(own[0].name.clone(), own[0].address)];
    let mut members: Vec<Membership> = own
        .iter()
        .zip(1..)
        .map(|(own, n)| Membership::new(own.clone(), &seeds, n, Duration::ZERO))
        .collect();
    let mut written = Vec::new();
    for step in 1..=80 {
        let now = Duration::from_millis(50 * step);
        for n in 0..members.len() {
            let mut actions = members[n].tick(now);
            if step == 80 && n == 1 {
                actions.extend(members[n].leave());
            }
            deliver(&mut members, now, n, actions, &mut written);
        }
    }
    written
}

fn deliver(
    members: &mut [Membership],
    now: Duration,
    from: usize,
    actions: Vec<Action>,
    written: &mut Vec<(String, String)>,
) {
    for action in actions {
        let Action::Send(to, bytes) = action else { continue };
        written.push((format!("{from}-{}", to.port()), hex(&bytes)));
        if let Some(n) = members.iter().position(|member| member.local_member().address == to) {
            let answers = members[n].handle_packet(now, &bytes).unwrap_or_default();
            deliver(members, now, n, answers, written);
        }
    }
}

#[test]
fn packets_of_the_membership_have_the_same_bytes() {
    assert_same("membership.txt", &packets());
}

#[test]
fn packets_of_the_earlier_build_make_its_members_known() {
    let mut server =
        Membership::new(member("server-1", Role::ConsensusServer, 7001), &[], 1, Duration::ZERO);
    let mut seen = Vec::new();
    for (n, (_, bytes)) in values("membership.txt").iter().enumerate().filter(|(_, (to, _))| to == "1-7001")
    {
        let actions = server.handle_packet(Duration::from_millis(n as u64), &unhex(bytes)).unwrap();
        // The packets come at other times than they were sent at, so that this server also learns that it was missed.
        seen.extend(
            actions.into_iter().filter(|action| matches!(action, Action::Joined(_) | Action::Left(_))),
        );
    }
    let sidecar = member("sidecar-1", Role::Sidecar, 7002);
    assert_eq!(seen, [Action::Joined(sidecar.clone()), Action::Left(sidecar)]);
}

/// Consensus servers that hand each other their messages at once, and all that they kept and sent.
struct Cluster {
    now: Duration,
    servers: Vec<Replica>,
    kept: Vec<PersistedState>,
    written: Vec<(String, String)>,
}

impl Cluster {
    fn new(size: u64) -> Cluster {
        let ids: Vec<u64> = (1..=size).collect();
        let kept: Vec<PersistedState> = ids.iter().map(|_| Replica::bootstrap_state(&ids)).collect();
        let begin =
            |(kept, id): (&PersistedState, &u64)| Replica::new(*id, kept, *id, Duration::ZERO).unwrap();
        let servers = kept.iter().zip(&ids).map(begin).collect();
        let written = vec![("first-snapshot".to_owned(), hex(kept[0].snapshot.as_ref().unwrap()))];
        Cluster { now: Duration::ZERO, servers, kept, written }
    }

    fn take(&mut self, n: usize, output: Output) {
        let mut write =
            |what: &str, bytes: &[u8]| self.written.push((format!("{}-{what}", n + 1), hex(bytes)));
        let persist = &output.writes;
        persist.snapshot.iter().for_each(|bytes| write("snapshot", bytes));
        persist.entries.iter().for_each(|(index, bytes)| write(&format!("entry-{index}"), bytes));
        persist.hard_state.iter().for_each(|bytes| write("hard-state", bytes));
        persist.compact.iter().for_each(|index| write(&format!("compact-{index}"), &[]));
        output.raft_messages.iter().for_each(|(to, bytes)| write(&format!("to-{to}"), bytes));
        self.kept[n].apply(persist);
        for (to, bytes) in output.raft_messages {
            let to = to as usize - 1;
            let answer = self.servers[to].handle_raft_message(&bytes);
            self.take(to, answer);
        }
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        for n in 0..self.servers.len() {
            let output = self.servers[n].tick(self.now, 1_700_000_000_123);
            self.take(n, output);
        }
    }

    fn leader(&mut self) -> usize {
        loop {
            if let Some(n) = self.servers.iter().position(Replica::is_leader) {
                return n;
            }
            self.tick();
        }
    }

    fn propose(&mut self, proposal: Proposal) {
        let leader = self.leader();
        let from = PeerId { name: "operator".to_owned(), incarnation: 1 };
        let output = self.servers[leader].handle_message(&from, Message::Propose(proposal));
        self.take(leader, output);
    }
}

fn small(id: u64) -> Proposal {
    Proposal { expected_version: None, ..proposal(id, &format!("key/{}", id % 3), RecordKind::NOTE) }
}

fn three_servers() -> Cluster {
    let mut cluster = Cluster::new(3);
    (1..=3).for_each(|id| cluster.propose(small(id)));
    cluster.tick();
    cluster
}

#[test]
fn consensus_messages_entries_and_hard_states_have_the_same_bytes() {
    assert_same("consensus.txt", &three_servers().written);
}

#[test]
fn a_server_goes_on_with_what_the_earlier_build_kept() {
    let mut kept = PersistedState::default();
    for (name, value) in values("consensus.txt") {
        let bytes = unhex(&value);
        match name.strip_prefix("1-").unwrap_or(&name) {
            "first-snapshot" => kept.snapshot = Some(bytes),
            "hard-state" => kept.hard_state = Some(bytes),
            other => {
                if let Some(index) = other.strip_prefix("entry-").filter(|_| name.starts_with("1-")) {
                    kept.entries.insert(index.parse().unwrap(), bytes);
                }
            }
        }
    }
    let cluster = three_servers();
    assert_eq!(kept, cluster.kept[0]);
    let mut server = Replica::new(1, &kept, 1, Duration::ZERO).unwrap();
    server.tick(TICK_INTERVAL, 0);
    assert_eq!(server.view().version(), Version(3));
    assert_eq!(server.view(), cluster.servers[0].view());
}

#[test]
fn a_compacted_snapshot_has_the_same_bytes_and_is_gone_on_with() {
    let mut cluster = Cluster::new(1);
    let mut id = 0;
    while !cluster.written.iter().any(|(name, _)| name.contains("compact")) {
        id += 1;
        cluster.propose(small(id));
    }
    let of_snapshot = |name: &str| name.contains("compact") || name == "1-snapshot";
    let written: Vec<_> = cluster.written.iter().filter(|(name, _)| of_snapshot(name)).cloned().collect();
    assert_same("compaction.txt", &written);
    let snapshot = unhex(&written.iter().find(|(name, _)| name == "1-snapshot").unwrap().1);
    let kept = PersistedState { snapshot: Some(snapshot), ..PersistedState::default() };
    let server = Replica::new(1, &kept, 1, Duration::ZERO).unwrap();
    assert_eq!(server.view(), cluster.servers[0].view());
}
