//! The rig as an operator starts it: three short files, defects that its checks must find, bad files, and Ctrl-C.

#[allow(dead_code)]
mod support;

use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Output, Stdio};
use support::{Folder, wait_for};

fn rig(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub-lab"));
    command.arg("rig").args(words).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn file(name: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/rig").join(name).display().to_string()
}

/// Runs a file; its exit code, its verdict, and what was said.
fn run(file: &str, folder: &Folder) -> (Option<i32>, Value, Output) {
    let json = folder.0.join("verdict.json");
    let page = folder.0.join("page.html");
    let words = ["run", file, "--json", json.to_str().unwrap(), "--html", page.to_str().unwrap()];
    let output = rig(&words).output().unwrap();
    let verdict =
        std::fs::read(&json).map(|text| serde_json::from_slice(&text).unwrap()).unwrap_or_default();
    if output.status.code() == Some(0) {
        let page = std::fs::read_to_string(&page).unwrap();
        assert!(page.contains("<svg") && !page.contains("http://") && !page.contains("https://"));
    }
    (output.status.code(), verdict, output)
}

fn broken(verdict: &Value) -> Vec<&str> {
    let checks = verdict["checks"].as_array().into_iter().flatten();
    checks.filter(|check| check["held"] == false).map(|check| check["name"].as_str().unwrap()).collect()
}

fn holds(name: &str) {
    let folder = Folder::new(&name.replace('/', "-"));
    let (code, verdict, output) = run(&file(name), &folder);
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!((code, broken(&verdict)), (Some(0), vec![]), "{name}: {said}");
    assert_eq!(verdict["passed"], true);
    let seen = |check: &Value| check["seen"].as_u64().unwrap() > 0;
    assert!(verdict["checks"].as_array().unwrap().iter().all(seen), "{name}");
    assert!(verdict["figures"]["all"]["asked"].as_u64().unwrap() > 100, "{name}");
}

#[test]
fn short_files_hold_side_by_side() {
    std::thread::scope(|scope| {
        for name in [
            "ci/cut-off.toml",
            "ci/die-and-roll.toml",
            "ci/pause-and-drain.toml",
            "ci/keepers.toml",
            "ci/system-calls.toml",
            "ci/disk-and-clock.toml",
            "ci/discovery-queue.toml",
            "replaced.toml",
        ] {
            scope.spawn(move || holds(name));
        }
    });
}

#[test]
fn sidecars_patched_by_configuration_are_found_out() {
    // Keys that go to any hall, and five attempts for a request: one file, two defects.
    let folder = Folder::new("defects");
    let (code, verdict, _) = run(&file("defects/many-attempts.toml"), &folder);
    assert_eq!(code, Some(1));
    assert!(broken(&verdict).contains(&"no more attempts than allowed"), "{:?}", broken(&verdict));
    // Sidecars that use an old list for ten seconds, though they heed at once what they are told.
    let (code, verdict, _) = run(&file("defects/late-lease.toml"), &folder);
    assert_eq!(code, Some(1));
    assert_eq!(broken(&verdict), ["nothing new once a drain counts as notified"]);
    let (code, verdict, _) = run(&file("defects/dead-program.toml"), &folder);
    assert_eq!(code, Some(1));
    let wanted = ["the schedule happened", "every process starts", "no process crashes"];
    assert!(wanted.iter().all(|name| broken(&verdict).contains(name)), "{:?}", broken(&verdict));
}

#[test]
fn bad_files_and_missing_programs_are_told_before_anything_starts() {
    let folder = Folder::new("bad");
    let path = folder.0.join("bad.toml");
    let sound = std::fs::read_to_string(file("ci/cut-off.toml")).unwrap();
    // What is added, the exit code, and what is said.
    let cases = [
        ("[[faults]]\nat = \"1s\"\nwhat = \"die\"\non = [\"z\"]\n", 2, "bad.toml: faults[2].on"),
        ("[programs]\nsidecar = \"/no/such\"\n", 2, "programs.sidecar"),
        (
            "[[sidecars]]\nname = \"x\"\ncount = 1\nconfig = { limits = { sockets = 3 } }\n",
            1,
            "limits.sockets",
        ),
        (
            "[[sidecars]]\nname = \"x\"\ncount = 1\nconfig = { name = \"{nam}\" }\n",
            1,
            "`{nam}` stands for nothing",
        ),
        (
            "[[processes]]\nname = \"k\"\ncount = 1\nhalls = [\"a\"]\nprogram = \"lab\"\nwords = []\nports = { p = \"tcp\" }\n\
          config = \"{link.k-a-1.p}\"\n",
            1,
            "a relay to itself",
        ),
    ];
    for (more, code, wanted) in cases {
        std::fs::write(&path, format!("{sound}\n{more}")).unwrap();
        let output = rig(&["run", path.to_str().unwrap()]).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{wanted}: {said}");
        assert!(said.contains(wanted), "{wanted}: {said}");
    }
    let nowhere = rig(&["check", "/no/such.toml"]).output().unwrap();
    assert_eq!(nowhere.status.code(), Some(2));
    for seeds in ["3", "5..2", "a..b"] {
        let output =
            rig(&["campaign", &file("drawn.toml"), "--seeds", seeds, "--out", "/tmp"]).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{seeds}");
    }
}

/// Seeds of the short soak: fleets of two to ten processes, and schedules around discovery.
#[test]
fn the_short_soak_holds_for_its_seeds() {
    let folder = Folder::new("soak");
    let out = folder.0.join("out");
    let words = ["campaign", &file("ci/soak.toml"), "--seeds", "1..7", "--jobs", "3", "--shrink", "0"];
    let output = rig(&words).args(["--out", out.to_str().unwrap()]).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("6 of 6 runs held"), "{text}");
}

#[test]
fn a_campaign_goes_on_after_a_failure_and_makes_the_failing_schedule_small() {
    let folder = Folder::new("campaign");
    let out = folder.0.join("out");
    let words =
        ["campaign", &file("defects/two-faults.toml"), "--seeds", "1..3", "--jobs", "2", "--shrink", "2"];
    let output = rig(&words).args(["--out", out.to_str().unwrap()]).output().unwrap();
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("0 of 2 runs held"), "both seeds were played: {said}");
    // Of the two faults the one that breaks nothing is gone, and what is left is a file that can be played.
    let found = std::fs::read_to_string(out.join("found-1.toml")).unwrap();
    assert!(found.contains("/bin/false") && !found.contains("pause"), "{found}");
    assert_eq!(
        rig(&["check", out.join("found-1.toml").to_str().unwrap()]).output().unwrap().status.code(),
        Some(0)
    );
    let all: Value = serde_json::from_slice(&std::fs::read(out.join("campaign.json")).unwrap()).unwrap();
    assert_eq!((all[0]["seed"].as_u64(), all[0]["passed"].as_bool()), (Some(1), Some(false)));
}

/// Processes whose words name this folder.
fn named(folder: &str) -> Vec<String> {
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let words = all.filter_map(|entry| std::fs::read(entry.path().join("cmdline")).ok());
    words
        .map(|words| String::from_utf8_lossy(&words).replace('\0', " "))
        .filter(|words| words.contains(folder))
        .collect()
}

#[test]
fn ctrl_c_leaves_no_process_behind() {
    let folder = Folder::new("interrupted");
    let keep = folder.0.join("kept");
    let keep = keep.to_str().unwrap();
    let mut child = rig(&["run", &file("hall-silent.toml"), "--keep", keep]).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    assert!(lines.next().unwrap().unwrap().contains("are ready"));
    // The rig's own words name the folder too.
    assert!(named(keep).len() > 15, "{:?}", named(keep));
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &pid]).status().unwrap().success());
    let mut status = None;
    wait_for("its end", || {
        status = child.try_wait().unwrap();
        status.is_some()
    });
    assert_eq!(status.unwrap().code(), Some(130));
    assert_eq!(named(keep), [""; 0]);
}
