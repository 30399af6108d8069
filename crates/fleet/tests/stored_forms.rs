//! Messages, records and what servers keep on disk: the same bytes as commit d7660a1 wrote, read and written.

#[path = "support/fixture.rs"]
mod fixture;

use curlewhub_fleet::configuration::{
    Canary, ConfigAction, ConfigCommand, ConfigNumber, ConfigReport, Refusal, RolloutPlan, Settings,
};
use curlewhub_fleet::evidence::{Calls, Digest, OldDigest};
use curlewhub_fleet::keeper::{Keeper, Kept, Output, TICK};
use curlewhub_fleet::members::{Action, Member, Members, Role};
use curlewhub_fleet::record::{Hash, Kind, Proposal, Record, Version};
use curlewhub_fleet::view::View;
use curlewhub_fleet::wire::{FORMAT, FORMAT_LEAST, Keys, Message, Said, Who};
use fixture::{assert_same, hex, unhex, values};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const KEY: [u8; 32] = [7; 32];
const OTHER_KEY: [u8; 32] = [9; 32];

fn proposal(id: u64, key: &str, kind: Kind) -> Proposal {
    Proposal {
        id,
        key: key.to_owned(),
        kind,
        body: vec![0, 1, 200, 255],
        by: "operator-a".to_owned(),
        why: "a reason, größer".to_owned(),
        only_after: Some(Version(id + 1000)),
    }
}

fn record(version: u64, before: Hash, proposal: Proposal) -> Record {
    Record { version: Version(version), term: 300 + version, before, at_ms: 1_700_000_000_123, proposal }
}

fn records() -> Vec<Record> {
    let kinds = [Kind::NOTE, Kind::PLACE, Kind::FREEZE, Kind::CONFIG, Kind(65_000)];
    let mut records: Vec<Record> = Vec::new();
    for (n, kind) in kinds.into_iter().enumerate() {
        let before = records.last().map_or(Hash::default(), Record::hash);
        records.push(record(n as u64 + 1, before, proposal(1 << (9 * n), &format!("key/{}", n % 4), kind)));
    }
    records[4].proposal.only_after = None;
    records
}

fn view() -> View {
    let mut view = View::default();
    records().into_iter().for_each(|record| view.apply(record).unwrap());
    view
}

fn calls() -> Calls {
    Calls {
        served: 1001,
        slow: 1002,
        full: 1003,
        error: 1004,
        gone: 1005,
        silent: 1006,
        overdue: 1007,
        back: 1008,
        took_ms: 1009,
        usual_ms: 1010,
        ago_ms: 1011,
        streak: 1012,
        there: 1013,
        not_there: 1014,
    }
}

fn digest() -> Digest {
    let rows =
        [("zone-b".to_owned(), calls()), ("zone-c/1".to_owned(), Calls { served: 3, ..calls() })].into();
    Digest { sequence: 77, at_ms: 1_234_567, hall: "zone-a".to_owned(), over_ms: 250, rows }
}

/// Its fields are private: the first format's builds wrote them one after another.
fn old_digest() -> OldDigest {
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

fn command(id: u64, action: ConfigAction) -> Said {
    Said::CommandConfig(ConfigCommand { id, action, by: "operator-b".to_owned(), why: "trial".to_owned() })
}

fn report(refused: Option<Refusal>) -> Said {
    Said::ReportConfig(ConfigReport { in_force: ConfigNumber(41), refused })
}

/// Each message, some with each form of what they hold. The names are the fixture's own.
fn messages() -> Vec<(&'static str, Said)> {
    let text = |text: &str| text.to_owned();
    let propose = ConfigAction::Propose { base: ConfigNumber(40), settings: settings(), plan: plan() };
    let rates = vec![(text("zone-b"), 12.5), (text("zone-c/1"), 0.25)];
    vec![
        ("have", Said::Have { version: Version(300), hash: Hash([0xab; 32]) }),
        ("ask", Said::Ask { after: Version(301) }),
        ("records", Said::Records(records())),
        ("snapshot", Said::Snapshot(view())),
        ("later", Said::Later { after_ms: 1500 }),
        ("evidence", Said::Evidence(old_digest())),
        ("propose", Said::Propose(proposal(9, "key/9", Kind::NOTE))),
        ("decided", Said::Decided { id: u64::MAX, version: Version(302) }),
        ("not-decided", Said::NotDecided { id: 10, why: text("no majority") }),
        ("agreement", Said::Agreement(vec![1, 2, 3])),
        ("describe", Said::Describe),
        ("described", Said::Described(text("{\"a\":1}"))),
        ("change-add", Said::Change { keeper: 4, add: true }),
        ("change-remove", Said::Change { keeper: 300, add: false }),
        ("changing", Said::Changing),
        ("not-changing", Said::NotChanging(text("not the leader"))),
        ("members", Said::Members(vec![4, 5, 6])),
        ("list-members", Said::ListMembers),
        ("pace", Said::Pace { every_ms: 750 }),
        ("saw", Said::Saw(digest())),
        ("probe", Said::ProbeHall { hall: text("zone-b"), count: 5 }),
        ("granted", Said::Granted { term: 12, of: 77, for_ms: 2000, rates }),
        ("list-zones", Said::ListHalls),
        ("report-config", report(None)),
        ("report-refused", report(Some(Refusal { number: ConfigNumber(42), why: text("bad") }))),
        ("command-propose", command(1, propose)),
        ("command-promote", command(2, ConfigAction::Promote(ConfigNumber(43)))),
        ("command-halt", command(3, ConfigAction::Halt(ConfigNumber(44)))),
        ("command-rollback", command(4, ConfigAction::Rollback(ConfigNumber(45)))),
        ("describe-config", Said::DescribeConfig),
    ]
}

fn message(said: Said) -> Message {
    Message { from: Who { name: "sidecar-17".to_owned(), incarnation: 1_700_000_000_456 }, said }
}

#[test]
fn messages_have_the_same_bytes_in_both_formats_and_under_each_key() {
    let keys = Keys::one(3, KEY);
    let mut written = Vec::new();
    for format in [FORMAT_LEAST, FORMAT] {
        for (name, said) in messages() {
            written.push((format!("{format}-{name}"), hex(&keys.write(&message(said), format))));
        }
    }
    let have = message(messages().remove(0).1);
    written.push(("2-have-other-key".to_owned(), hex(&Keys::one(250, OTHER_KEY).write(&have, FORMAT))));
    written.push(("1-have-format-0".to_owned(), hex(&keys.write(&have, FORMAT_LEAST - 1))));
    written.push(("2-have-format-3".to_owned(), hex(&keys.write(&have, FORMAT + 1))));
    assert_same("messages.txt", &written);
}

#[test]
fn messages_of_the_earlier_build_are_read_as_what_they_said() {
    let keys = Keys::one(3, KEY).and(250, OTHER_KEY);
    let known: BTreeMap<&str, Said> = messages().into_iter().collect();
    let values = values("messages.txt");
    assert_eq!(values.len(), 2 * known.len() + 3);
    for (name, bytes) in values {
        let (format, said) = name.split_once('-').unwrap();
        let said = if said.starts_with("have") { "have" } else { said };
        let wanted = (message(known[said].clone()), format.parse().unwrap());
        assert_eq!(keys.read_format(&unhex(&bytes)), Ok(wanted), "{name}");
    }
}

#[test]
fn each_message_is_of_the_same_format() {
    let since: Vec<_> = messages().iter().map(|(name, said)| (*name, said.since().to_string())).collect();
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
    assert!(read.is_sound());
    assert_eq!(read, view());
}

fn member(name: &str, role: Role, port: u16) -> Member {
    Member {
        name: name.to_owned(),
        role,
        hall: "zone-a".to_owned(),
        at: SocketAddr::from(([127, 0, 0, 1], port)),
        build: "1.2.3".to_owned(),
        format: 2,
        incarnation: 1_700_000_000_789,
        renewed: 3,
    }
}

/// Two members that find each other, and one of them leaves: each packet, in the order in which it was sent.
fn packets() -> Vec<(String, String)> {
    let own = [member("server-1", Role::Keeper, 7001), member("sidecar-1", Role::Sidecar, 7002)];
    let seeds = [(own[0].name.clone(), own[0].at)];
    let mut members: Vec<Members> =
        own.iter().zip(1..).map(|(own, n)| Members::new(own.clone(), &seeds, n, Duration::ZERO)).collect();
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
    members: &mut [Members],
    now: Duration,
    from: usize,
    actions: Vec<Action>,
    written: &mut Vec<(String, String)>,
) {
    for action in actions {
        let Action::Send(to, bytes) = action else { continue };
        written.push((format!("{from}-{}", to.port()), hex(&bytes)));
        if let Some(n) = members.iter().position(|member| member.own().at == to) {
            let answers = members[n].heard(now, &bytes).unwrap_or_default();
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
    let mut server = Members::new(member("server-1", Role::Keeper, 7001), &[], 1, Duration::ZERO);
    let mut seen = Vec::new();
    for (n, (_, bytes)) in values("membership.txt").iter().enumerate().filter(|(_, (to, _))| to == "1-7001")
    {
        let actions = server.heard(Duration::from_millis(n as u64), &unhex(bytes)).unwrap();
        // The packets come at other times than they were sent at, so that this server is also told that it was missed.
        seen.extend(actions.into_iter().filter(|action| matches!(action, Action::Up(_) | Action::Down(_))));
    }
    let sidecar = member("sidecar-1", Role::Sidecar, 7002);
    assert_eq!(seen, [Action::Up(sidecar.clone()), Action::Down(sidecar)]);
}

/// Consensus servers that hand each other their messages at once, and all that they kept and sent.
struct Cluster {
    now: Duration,
    servers: Vec<Keeper>,
    kept: Vec<Kept>,
    written: Vec<(String, String)>,
}

impl Cluster {
    fn new(size: u64) -> Cluster {
        let ids: Vec<u64> = (1..=size).collect();
        let kept: Vec<Kept> = ids.iter().map(|_| Keeper::first(&ids)).collect();
        let begin = |(kept, id): (&Kept, &u64)| Keeper::new(*id, kept, *id, Duration::ZERO).unwrap();
        let servers = kept.iter().zip(&ids).map(begin).collect();
        let written = vec![("first-snapshot".to_owned(), hex(kept[0].snapshot.as_ref().unwrap()))];
        Cluster { now: Duration::ZERO, servers, kept, written }
    }

    fn take(&mut self, n: usize, output: Output) {
        let mut write =
            |what: &str, bytes: &[u8]| self.written.push((format!("{}-{what}", n + 1), hex(bytes)));
        let persist = &output.persist;
        persist.snapshot.iter().for_each(|bytes| write("snapshot", bytes));
        persist.entries.iter().for_each(|(index, bytes)| write(&format!("entry-{index}"), bytes));
        persist.hard_state.iter().for_each(|bytes| write("hard-state", bytes));
        persist.compact.iter().for_each(|index| write(&format!("compact-{index}"), &[]));
        output.agreement.iter().for_each(|(to, bytes)| write(&format!("to-{to}"), bytes));
        self.kept[n].take(persist);
        for (to, bytes) in output.agreement {
            let to = to as usize - 1;
            let answer = self.servers[to].agreement(&bytes);
            self.take(to, answer);
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for n in 0..self.servers.len() {
            let output = self.servers[n].tick(self.now, 1_700_000_000_123);
            self.take(n, output);
        }
    }

    fn leader(&mut self) -> usize {
        loop {
            if let Some(n) = self.servers.iter().position(Keeper::leads) {
                return n;
            }
            self.tick();
        }
    }

    fn propose(&mut self, proposal: Proposal) {
        let leader = self.leader();
        let from = Who { name: "operator".to_owned(), incarnation: 1 };
        let output = self.servers[leader].heard(&from, Said::Propose(proposal));
        self.take(leader, output);
    }
}

fn small(id: u64) -> Proposal {
    Proposal { only_after: None, ..proposal(id, &format!("key/{}", id % 3), Kind::NOTE) }
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
    let mut kept = Kept::default();
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
    let mut server = Keeper::new(1, &kept, 1, Duration::ZERO).unwrap();
    server.tick(TICK, 0);
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
    let kept = Kept { snapshot: Some(snapshot), ..Kept::default() };
    let server = Keeper::new(1, &kept, 1, Duration::ZERO).unwrap();
    assert_eq!(server.view(), cluster.servers[0].view());
}
