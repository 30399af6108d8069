//! Rig files: those that ship are sound, what is wrong is named, and what is drawn is sound too.

use curlewhub_rig::campaign::{drawn, smaller};
use curlewhub_rig::history::{Step, true_time};
use curlewhub_rig::plan::{Plan, Role};
use curlewhub_rig::spec::RigSpec;
use proptest::prelude::*;

const DRAWN: &str = include_str!("../../../scenarios/rig/drawn.toml");

fn spec() -> RigSpec {
    RigSpec::parse(DRAWN).unwrap()
}

#[test]
fn every_file_that_ships_is_sound() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/rig");
    let mut folders = vec![folder];
    let mut count = 0;
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let spec = RigSpec::parse(&std::fs::read_to_string(&path).unwrap());
            assert!(spec.is_ok(), "{}: {}", path.display(), spec.unwrap_err());
            count += 1;
        }
    }
    assert!(count >= 10, "{count}");
}

#[test]
fn what_is_wrong_is_named_by_field_before_anything_starts() {
    // What is added to a sound file, and what is said of it.
    let fault = |text: &str| format!("[[faults]]\nat = \"1s\"\n{text}");
    let struck = |what: &str, text: &str| {
        fault(&format!("for = \"1s\"\nwhat = \"{what}\"\non = [\"edge\"]\n{text}"))
    };
    let cases = [
        (
            fault("what = \"die\"\non = [\"nowhere\"]"),
            "faults[0].on: allowed: what is there, and `nowhere` is not",
        ),
        (fault("what = \"explode\"\non = [\"a\"]"), "explode"),
        (fault("what = \"die\""), "faults[0].on: allowed: something: Die needs it"),
        (fault("what = \"die\"\non = [\"a\"]\nfactor = 3.0"), "faults[0].factor: allowed: not for Die"),
        (fault("what = \"slow\"\non = [\"a\"]\nfactor = 0.5"), "faults[0].factor: allowed: over 1"),
        (fault("what = \"pause\"\non = [\"print-a-1\"]"), "faults[0].on: allowed: what Pause can befall"),
        (fault("what = \"cut_off\"\non = [\"edge\"]"), "faults[0].on: allowed: what CutOff can befall"),
        (
            fault("what = \"cut\"\nfrom = [\"a\"]\nto = [\"a\"]"),
            "faults[0].to: allowed: another side than `from`",
        ),
        (fault("what = \"cut\"\nfrom = [\"edge@z\"]\nto = [\"b\"]"), "faults[0].from"),
        (
            fault("what = \"pause\"\non = [\"edge\"]\npart = 1.5"),
            "faults[0].part: allowed: over 0, up to 1",
        ),
        (
            fault("what = \"pause\"\non = [\"edge\"]\nfor = \"1h\""),
            "faults[0].for: allowed: to end by the end",
        ),
        (
            fault("what = \"restart\"\non = [\"edge\"]\nfor = \"1s\""),
            "faults[0].for: allowed: not for what happens at once",
        ),
        (fault("what = \"restart\"\non = [\"edge\"]\nprogram = \"/no/such\""), "faults[0].program"),
        (
            "[[faults]]\nat = \"2h\"\nwhat = \"discovery_down\"".to_owned(),
            "faults[0].at: allowed: before the end",
        ),
        (
            "[programs]\nsidecar = \"/no/such\"".to_owned(),
            "programs.sidecar: allowed: a program that is there",
        ),
        ("[[sidecars]]\nname = \"a\"\ncount = 1".to_owned(), "sidecars.a.name: allowed: a name of its own"),
        (
            "[[sidecars]]\nname = \"x\"\ncount = 0\nhalls = [\"q\"]".to_owned(),
            "sidecars[1].halls: allowed: names of halls, and `q`",
        ),
        ("[[sidecars]]\nname = \"x\"\ncount = 260".to_owned(), "hall a: allowed: fewer than 250"),
        ("[[checks]]\nwhat = \"left\"\nmost = 1.0".to_owned(), "checks[0].fault"),
        (
            "[[checks]]\nwhat = \"in_time\"\nfrom = \"9s\"\nto = \"3s\"\nleast = 0.9".to_owned(),
            "checks[0].to",
        ),
        (
            "[[processes]]\nname = \"k\"\ncount = 1\nprogram = \"/no/such\"\nwords = []".to_owned(),
            "processes[0].program",
        ),
        (
            fault("for = \"1s\"\nwhat = \"system_call\"\non = [\"edge\"]\ncalls = [\"recv\"]"),
            "faults[0].errno: allowed: something: SystemCall needs it",
        ),
        (
            struck("system_call", "calls = [\"accept\"]\nerrno = \"ENOSPC\""),
            "faults[0].errno: allowed: an error of `accept`, and ENOSPC is none",
        ),
        (struck("system_call", "calls = [\"recv\"]\nerrno = \"EAGAIN\""), "EAGAIN"),
        (
            struck("system_call", "calls = [\"fsync\"]\nerrno = \"EIO\""),
            "faults[0].calls: allowed: calls on sockets",
        ),
        (
            struck("system_call", "calls = [\"recv\"]\nerrno = \"ETIMEDOUT\""),
            "faults[0].connections: allowed: made, for an error that breaks connections",
        ),
        (
            struck("system_call", "calls = [\"recv\"]\nerrno = \"EINTR\"\nnth = 3\nshare = 0.1"),
            "faults[0].nth: allowed: this, or `share`",
        ),
        (struck("system_call", "calls = [\"recv\"]\nerrno = \"EINTR\"\nnth = 0"), "faults[0].nth"),
        (struck("system_call", "calls = [\"recv\"]\nerrno = \"EINTR\"\ncount = 0"), "faults[0].count"),
        (struck("short_io", "bytes = 0"), "faults[0].bytes: allowed: 1 byte or more"),
        (
            struck("short_io", "bytes = 3\ncalls = [\"connect\"]"),
            "faults[0].bytes: allowed: a call that carries bytes",
        ),
        (struck("disk", "errno = \"EIO\"\nbytes = 3"), "faults[0].errno: allowed: this, or `bytes`"),
        (struck("disk", "errno = \"EIO\"\ncalls = [\"recv\"]"), "faults[0].calls: allowed: calls on files"),
        (
            struck("disk", "errno = \"EPIPE\""),
            "faults[0].errno: allowed: an error of `open`, and EPIPE is none",
        ),
        (struck("clock_step", ""), "faults[0].ahead: allowed: this, or `behind`"),
        (struck("clock_step", "behind = \"30ms\""), "faults[0].ahead: allowed: 1s to 24h"),
        (struck("clock_step", "ahead = \"1h\"\nnth = 2"), "faults[0].nth: allowed: not for ClockStep"),
        ("spede = 1".to_owned(), "spede"),
    ];
    for (text, wanted) in cases {
        // A key of the top stands before all tables.
        let text =
            if text.starts_with('[') { format!("{DRAWN}\n{text}") } else { format!("{text}\n{DRAWN}") };
        let problem = RigSpec::parse(&text).expect_err(wanted);
        assert!(problem.contains(wanted), "{wanted}: {problem}");
    }
}

#[test]
fn a_plan_writes_halls_out_and_a_part_is_the_same_for_a_seed() {
    let text = format!(
        "{DRAWN}\n[[faults]]\nat = \"1s\"\nwhat = \"pause\"\non = [\"edge@a\", \"edge-b-1\"]\npart = 0.4"
    );
    let plan = Plan::new(RigSpec::parse(&text).unwrap());
    let count = |role| plan.of(role).count();
    assert_eq!((count(Role::Sidecar), count(Role::Endpoint), count(Role::Standins)), (12, 9, 3));
    assert_eq!(plan.struck[0].len(), 2, "of five named, two fifths");
    assert_eq!(plan.struck, Plan::new(plan.spec.clone()).struck);
    let others = (2..40)
        .filter(|seed| Plan::new(RigSpec { seed: *seed, ..plan.spec.clone() }).struck != plan.struck);
    assert!(others.count() > 20);
}

#[test]
fn faults_in_system_calls_are_drawn_sound_too() {
    use curlewhub_rig::fault::Kind::{ClockStep, Disk, ShortIo, SystemCall};
    let mut spec = spec();
    spec.draw.as_mut().unwrap().kinds = vec![SystemCall, ShortIo, Disk, ClockStep];
    for seed in 0..200 {
        assert_eq!(drawn(&spec, seed).problems(), Vec::<String>::new(), "{seed}");
    }
}

#[test]
fn stamps_of_a_stepped_clock_are_put_right() {
    const SECOND: i64 = 1_000_000;
    for by in [-3600, -3, 3, 3600].map(|seconds| seconds * SECOND) {
        let steps = [
            Step { from: 10 * SECOND, to: 20 * SECOND, by },
            Step { from: 30 * SECOND, to: i64::MAX, by: -by },
        ];
        let mut before = 0;
        for at in (0..40_000).step_by(130).map(|ms| ms * 1000) {
            let off = steps.iter().find(|s| (s.from..s.to).contains(&at)).map_or(0, |s| s.by);
            // The line ahead of it may be a little younger.
            assert_eq!(true_time(at + off, before + SECOND / 4, &steps), at, "{by}");
            before = at;
        }
    }
}

proptest! {
    #[test]
    fn what_is_drawn_is_sound_the_same_for_a_seed_and_can_be_made_smaller(seed in 0..=curlewhub_rig::spec::SEED_MOST) {
        let one = drawn(&spec(), seed);
        prop_assert_eq!(one.problems(), Vec::<String>::new());
        prop_assert_eq!(format!("{:?}", &one), format!("{:?}", drawn(&spec(), seed)));
        prop_assert!(!one.faults.is_empty() && one.draw.is_none());
        let text = toml::to_string(&toml::Table::try_from(&one).unwrap()).unwrap();
        let again = RigSpec::parse(&text);
        prop_assert!(again.is_ok(), "{:?}", again);
        prop_assert_eq!(format!("{:?}", again.unwrap()), format!("{:?}", &one));
        for smaller in smaller(&one) {
            prop_assert_eq!(smaller.problems(), Vec::<String>::new());
        }
    }

    #[test]
    fn no_text_brings_it_down(text in "\\PC{0,200}", cut in 0..2000_usize) {
        let _ = RigSpec::parse(&text);
        let _ = RigSpec::parse(DRAWN.get(..cut).unwrap_or_default());
    }
}
