//! Each check against a history with one defect in it, and against the same history without.

use curlewhub_rig::checks::judge;
use curlewhub_rig::history::{History, Request, Try, What};
use curlewhub_rig::plan::{Plan, Role};
use curlewhub_rig::run::{Cost, Ran};
use curlewhub_rig::spec::RigSpec;
use std::net::SocketAddr;

const MS: i64 = 1000;
const AT: &str = "127.0.0.9:7070";
const SIDECAR: &str = "edge-a-1";
const ENDPOINT: &str = "print-b-1";

fn spec() -> RigSpec {
    let text = include_str!("../../../scenarios/rig/drawn.toml");
    let drain = "[[faults]]\nat = \"1s\"\nfor = \"8s\"\nwhat = \"drain\"\non = [\"print-b-1\"]\n\
                 [[checks]]\nwhat = \"in_time\"\nleast = 0.9\n";
    RigSpec::parse(&format!("{text}\n{drain}")).unwrap()
}

fn a_try(id: &str, class: &str, took_ms: i64, end: &str) -> Try {
    let status = match end {
        "served" => Some(200),
        "refused" => Some(503),
        "unanswered" => None,
        _ => Some(504),
    };
    let (id, sidecar, class, end) = (id.into(), AT.into(), class.into(), end.into());
    let (time_us, took_us) = (2700 * MS, took_ms * MS);
    Try {
        id,
        sidecar,
        class,
        time_us,
        took_us,
        end,
        status,
        twice: false,
        late: false,
        retry_after_ms: None,
    }
}

fn came(id: &str, draining: bool, cold: bool, work_ms: f64) -> What {
    let (endpoint, id, work_us) = (ENDPOINT.into(), id.into(), work_ms * 1e3);
    What::Came { endpoint, id, draining, work_us, cold, capacity: 0.5, slow: false }
}

fn ran(id: &str, endpoint: &str, key: Option<&str>) -> What {
    What::Ran { endpoint: endpoint.into(), id: id.into(), key: key.map(Into::into) }
}

fn list() -> What {
    What::Listed { version: 2 }
}

fn changed() -> What {
    What::Directory { view: None, event: "changed".into(), version: Some(2) }
}

/// A run in which all is well, with more behind it: time in milliseconds, who, what.
fn played(more: &[(i64, &str, What)]) -> Ran {
    let plan = Plan::new(spec());
    let mut history = History::new(0);
    let request = Request {
        sidecar: AT.into(),
        class: "job-submit".into(),
        end: "served".into(),
        tries: 1,
        took_us: 40 * MS,
        in_time: true,
    };
    let sound = [
        (-100, SIDECAR, What::Started),
        (-50, SIDECAR, What::Ready),
        (100, "load", What::Try(a_try("1", "job-submit", 40, "served"))),
        (100, "load", What::Request(request)),
        (80, "standins-b", came("1", false, false, 30.0)),
        (80, "standins-b", ran("1", ENDPOINT, Some("k"))),
        (85, "standins-b", came("2", false, true, 30.0)),
        (1000, "rig", What::Fault { fault: 0, on: true, problem: None }),
        (1200, "discovery", changed()),
        (1250, SIDECAR, list()),
        (1300, "standins-b", came("1", false, false, 30.0)),
        (2000, SIDECAR, What::Usage { kib: 9000, descriptors: 60 }),
        (9000, "rig", What::Fault { fault: 0, on: false, problem: None }),
        (17_000, SIDECAR, What::Ended { status: "exit status: 0".to_owned(), clean: true, told: true }),
    ];
    for (at, who, what) in sound.into_iter().chain(more.iter().cloned()) {
        history.add(at * MS, who, 1, what);
    }
    history.order();
    let sidecars = [(SIDECAR.to_owned(), AT.parse::<SocketAddr>().unwrap())].into();
    assert_eq!(plan.of(Role::Sidecar).count(), 12);
    Ran { plan, history, sidecars, views: Default::default(), cost: Cost::default() }
}

type Case = (&'static str, Vec<(i64, &'static str, What)>, &'static [&'static str]);

fn broken(ran: &Ran) -> Vec<String> {
    let verdict = judge(ran);
    let broken: Vec<String> = verdict.checks.into_iter().filter(|c| !c.held).map(|c| c.name).collect();
    assert_eq!(verdict.passed, broken.is_empty());
    broken
}

fn ended(status: &str, clean: bool, told: bool) -> What {
    What::Ended { status: status.to_owned(), clean, told }
}

#[test]
fn each_check_fails_for_its_own_defect_and_for_nothing_else() {
    assert_eq!(broken(&played(&[])), [""; 0]);
    let load = |one: Try| (3000, "load", What::Try(one));
    let down = |done| (2000, SIDECAR, What::Done { done });
    let up = (4000, SIDECAR, What::Ready);
    let twice = Try { twice: true, ..a_try("9", "proof-view", 40, "served") };
    let wrong = Try { status: Some(200), ..a_try("9", "proof-view", 40, "failed") };
    let late = a_try("9", "proof-view", 3000, "served");
    let lost = || load(a_try("9", "proof-view", 500, "unanswered"));
    let failed = || Some("no".to_owned());
    let other = (5000, "load", What::Try(a_try("5", "job-submit", 40, "served")));
    // What is wrong, what is behind the sound run, and the checks that fail for it.
    let cases: Vec<Case> = vec![
        (
            "a fault that failed",
            vec![(9, "rig", What::Fault { fault: 0, on: false, problem: failed() })],
            &["the schedule happened"],
        ),
        (
            "not ready",
            vec![(9, SIDECAR, What::NotReady { said: "no".to_owned() })],
            &["every process starts"],
        ),
        ("a crash", vec![(9, SIDECAR, ended("exit status: 101", false, false))], &["no process crashes"]),
        (
            "a clean end that nobody told",
            vec![(9, SIDECAR, ended("exit status: 0", true, false))],
            &["no process crashes"],
        ),
        (
            "told, and failed",
            vec![(9, SIDECAR, ended("exit status: 1", false, true))],
            &["no process crashes"],
        ),
        ("killed", vec![(9, SIDECAR, ended("signal: 9 (SIGKILL)", false, true))], &[]),
        ("two answers", vec![load(twice)], &["one final answer to each try"]),
        ("another's answer", vec![load(wrong)], &["one final answer to each try"]),
        ("no answer", vec![lost()], &["one final answer to each try"]),
        ("no answer, and killed", vec![lost(), down("killed"), up.clone()], &[]),
        (
            "no answer, and killed before",
            vec![lost(), (1000, SIDECAR, What::Done { done: "killed" }), (1500, SIDECAR, What::Ready)],
            &["one final answer to each try"],
        ),
        (
            "no answer, and told to end beside a successor",
            vec![lost(), down("told to end")],
            &["one final answer to each try"],
        ),
        ("late", vec![load(late.clone())], &["no answer after its time"]),
        (
            "late, and paused",
            vec![load(late), down("paused"), (2500, SIDECAR, What::Done { done: "goes on" })],
            &[],
        ),
        (
            "four attempts",
            vec![(90, "s", came("1", false, false, 1.0)), (91, "s", came("1", false, false, 1.0))],
            &["no more attempts than allowed"],
        ),
        (
            "a job twice",
            vec![other.clone(), (6000, "s", ran("5", "print-a-1", Some("k")))],
            &["no job runs twice"],
        ),
        ("a job again after its window", vec![other, (6200, "s", ran("5", "print-a-1", Some("k")))], &[]),
        (
            "a known drain",
            vec![(1700, "s", came("1", true, false, 1.0))],
            &["nothing new to a draining endpoint"],
        ),
        ("just within the grace", vec![(1540, "s", came("1", true, false, 1.0))], &[]),
        (
            "a cold one pushed over",
            (0..40).map(|n| (500 + n, "s", came(&format!("c{n}"), false, true, 30.0))).collect(),
            &["no cold endpoint is pushed over"],
        ),
        (
            "memory",
            vec![(9, SIDECAR, What::Usage { kib: 200_000, descriptors: 9 })],
            &["no sidecar outside its bounds"],
        ),
        (
            "descriptors",
            vec![(9, SIDECAR, What::Usage { kib: 9000, descriptors: 1100 })],
            &["no sidecar outside its bounds"],
        ),
        ("nothing", vec![], &[]),
    ];
    for (case, more, wanted) in cases {
        assert_eq!(broken(&played(&more)), wanted, "{case}");
    }
}

#[test]
fn what_was_not_seen_does_not_hold() {
    let mut ran = played(&[]);
    ran.history.entries.clear();
    let broken = broken(&ran);
    for name in [
        "one final answer to each try",
        "no job runs twice",
        "every process starts",
        "the schedule happened",
    ] {
        assert!(broken.iter().any(|one| one == name), "{name}: {broken:?}");
    }
    assert!(broken.iter().any(|name| name.starts_with("in_time")), "{broken:?}");
    let mut ran = played(&[]);
    ran.history.lost = 1;
    assert_eq!(self::broken(&ran), ["the history is whole"]);
    ran.history.lost = 0;
    ran.history.unread = 1;
    assert_eq!(
        self::broken(&ran),
        ["the history is whole"],
        "no process was killed that could have torn a line"
    );
}

#[test]
fn a_drain_in_a_gap_of_discovery_is_counted_and_not_held_against_who_was_not_told() {
    let mut ran = played(&[(4000, "s", came("1", true, false, 1.0)), (8000, SIDECAR, list())]);
    // Without the list of the sound run.
    ran.history
        .entries
        .retain(|entry| !(matches!(entry.what, What::Listed { .. }) && entry.at < 2000 * MS));
    let verdict = judge(&ran);
    assert!(verdict.passed, "{:?}", verdict.checks);
    assert_eq!(verdict.figures.unknowing, 1);
}

/// What discovery did for the sidecar, which has a view to itself.
fn directory(event: &str, version: Option<u64>) -> What {
    What::Directory { view: Some(0), event: event.into(), version }
}

#[test]
fn a_drain_counts_as_notified_by_the_protocol_s_clocks_and_discovery_s_records_alone() {
    // What happened, and from when on nothing may come: the grace of 250 ms and the blur of 50 ms behind it.
    let cases = [
        ("nothing", vec![], 1200 + 6000),
        ("written", vec![(2000, "discovery", directory("written", Some(2)))], 2000),
        ("an older version written", vec![(2000, "discovery", directory("written", Some(1)))], 1200 + 6000),
        ("a watch ended in its place", vec![(1300, "discovery", directory("watch ended", None))], 3300),
        ("a new configuration", vec![(1500, SIDECAR, What::Reloaded)], 5500),
        ("a start", vec![(2000, SIDECAR, What::Started), (2010, SIDECAR, What::Ready)], 2000 + 6000),
        (
            "a stop over that time",
            vec![
                (1300, "discovery", directory("watch ended", None)),
                (3000, SIDECAR, What::Done { done: "paused" }),
                (6000, SIDECAR, What::Done { done: "goes on" }),
            ],
            6500,
        ),
    ];
    let name = "nothing new once a drain counts as notified";
    for (case, happened, notified) in cases {
        for (at, wanted) in [(notified + 290, true), (notified + 310, false)] {
            let came = (at, "s", came("1", true, false, 1.0));
            let mut ran = played(&[&happened[..], &[came]].concat());
            ran.views = [(0, SIDECAR.to_owned())].into();
            // Its own word counts for nothing here.
            ran.history.entries.retain(|entry| !matches!(entry.what, What::Listed { .. }));
            let verdict = judge(&ran);
            let check = verdict.checks.iter().find(|check| check.name == name).expect("the check is made");
            assert_eq!(check.held, wanted, "{case}, {at}: {}", check.worst);
        }
    }
}
