//! The configuration's record and status: the same JSON as commit d7660a1 wrote, read and written.

#[path = "../../control-plane/tests/support/fixture.rs"]
mod fixture;

use curlewhub_control_plane::configuration::{Canary, ConfigNumber, RolloutPlan, Settings};
use curlewhub_control_plane::record::{Hash, Record, Version};
use curlewhub_rollout::record::{proposal, read};
use curlewhub_rollout::reports::{Census, Counts, Standing, Straggler};
use curlewhub_rollout::rollout::{Content, Pending, Phase, Rollout};
use curlewhub_rollout::status::ConfigStatus;
use fixture::{assert_same, values};

fn content(number: u64) -> Content {
    let value = |field: &str, value: &str| (field.to_owned(), value.to_owned());
    let zone = [value("log.level", "debug"), value("log.per_second", "9")].into();
    let everywhere = [value("log.level", "info"), value("log.format", "json")].into();
    let settings = Settings { everywhere, zones: [("zone-b".to_owned(), zone)].into() };
    Content { number: ConfigNumber(number), settings }
}

fn plan() -> RolloutPlan {
    RolloutPlan {
        canary: Canary { zones: vec!["zone-b".to_owned()], per_mille: 150 },
        soak_ms: 3001,
        stage_ms: 6002,
        refused_most_per_mille: 21,
        failed_most_per_mille: 52,
    }
}

fn rollout(phase: Phase) -> Rollout {
    let pending = Some(Pending { content: content(44), plan: plan() });
    let newest = ConfigNumber(44);
    Rollout { newest, base: content(42), target: content(43), plan: plan(), phase, pending }
}

fn phases() -> Vec<(&'static str, Phase)> {
    let (from, why) = (ConfigNumber(42), "more calls fail".to_owned());
    vec![
        ("canary", Phase::Canary),
        ("halted", Phase::Halted { why: why.clone() }),
        ("all", Phase::All),
        ("complete", Phase::Complete),
        ("rolling-back", Phase::RollingBack { from, why: why.clone() }),
        ("rolled-back", Phase::RolledBack { from, why }),
    ]
}

fn status() -> ConfigStatus {
    let counts = |n| Counts { in_force: n, refused: n + 1, behind: n + 2, silent: n + 3 };
    let standings = [
        Standing::InForce,
        Standing::Refused("bad".to_owned()),
        Standing::Behind(ConfigNumber(42)),
        Standing::Silent,
    ];
    let straggler =
        |(n, standing)| Straggler { name: format!("s-{n}"), zone: "zone-b".to_owned(), standing };
    let stragglers = standings.into_iter().enumerate().map(straggler).collect();
    let census =
        Census { stage: counts(10), zones: [("zone-b".to_owned(), counts(20))].into(), stragglers };
    ConfigStatus {
        by: "server-1".to_owned(),
        leads: true,
        version: 300,
        rollout: rollout(Phase::Canary),
        census,
    }
}

fn record_of(rollout: &Rollout) -> Record {
    let proposal = proposal(7, rollout, Version(299), "operator", "a reason");
    Record { version: Version(300), term: 2, previous_hash: Hash::default(), at_ms: 0, proposal }
}

#[test]
fn records_and_status_are_written_as_the_earlier_build_wrote_them() {
    let mut written = Vec::new();
    for (name, phase) in phases() {
        let proposal = record_of(&rollout(phase.clone())).proposal;
        written.push((name, String::from_utf8(proposal.body.clone()).unwrap()));
        written.push(("phase-text", phase.to_string()));
        written.push(("key-and-kind", format!("{} {}", proposal.key, proposal.kind.0)));
    }
    written.push(("status", serde_json::to_string(&status()).unwrap()));
    assert_same("rollout.txt", &written);
}

#[test]
fn records_and_status_of_the_earlier_build_are_read() {
    let kept = values("rollout.txt");
    let find = |name: &str| kept.iter().find(|(known, _)| known == name).unwrap().1.clone();
    for (name, phase) in phases() {
        let mut record = record_of(&rollout(Phase::Complete));
        record.proposal.body = find(name).into_bytes();
        assert_eq!(read(&record), Ok(rollout(phase)), "{name}");
    }
    assert_eq!(serde_json::from_str::<ConfigStatus>(&find("status")).unwrap(), status());
}
