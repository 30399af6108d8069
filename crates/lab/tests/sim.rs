//! The lab's own commands for scenarios, as they are called.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Every scenario of the repository.
fn scenarios() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    files.filter(|path| path.extension().is_some_and(|end| end == "toml")).collect()
}

fn named(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../scenarios/{name}.toml"))
}

fn lab(words: &[&str], file: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_curlewhub-lab")).args(words).arg(file).output().unwrap()
}

#[test]
fn every_scenario_plays_and_plots() {
    let folder = std::env::temp_dir().join(format!("curlewhub-sim-{}", std::process::id()));
    let (out, json) = (folder.join("plots"), folder.join("runs.json"));
    std::fs::create_dir_all(&folder).unwrap();
    let (out_text, json_text) = (out.to_string_lossy().into_owned(), json.to_string_lossy().into_owned());
    assert!(!scenarios().is_empty());
    for file in scenarios() {
        let mut words = vec!["sim", "--seeds", "2", "--set", "lasts=6s"];
        words.extend(["--out", &out_text, "--json", &json_text]);
        if file.ends_with("large.toml") {
            let part =
                ["--set", "sidecars=4", "--set", "endpoints.0.count=24", "--set", "arrivals.rate=150.0"];
            words.extend(part);
        }
        let done = lab(&words, &file);
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
        assert!(String::from_utf8_lossy(&done.stdout).contains("worth served"));
        let played: serde_json::Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
        assert_eq!(played["outcomes"].as_array().unwrap().len(), 2);
        for plot in ["worth", "p50", "p99", "held", "refused", "attempts", "breaks"] {
            let svg = std::fs::read_to_string(out.join(format!("{plot}.svg"))).unwrap();
            assert!(svg.starts_with("<svg") && svg.contains("polyline"), "{plot}");
        }
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn two_variants_are_told_apart_and_wrong_fields_are_named() {
    let file = &named("upgrade");
    let words = ["compare", "--seeds", "4", "--set", "lasts=6s", "--set-first", "arrivals.rate=200.0"];
    let done = lab(&words, file);
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(done.status.success() && said.contains("4 pairs of runs") && said.contains("better"), "{said}");
    for (set, problem) in [
        ("arrivals.rate=-1.0", "arrivals.rate: -1 is out of range"),
        ("classes.9.cv=1.0", "there is no place 9"),
        ("nonsense", "not KEY=VALUE"),
    ] {
        let done = lab(&["sim", "--seeds", "1", "--set", set], file);
        assert_eq!(done.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&done.stderr).contains(problem), "{set}");
    }
}

#[test]
fn the_module_is_set_beside_the_textbooks_rules() {
    let words = ["baselines", "--seeds", "3", "--set", "lasts=12s", "--set", "arrivals.rate=700.0"];
    let done = lab(&words, &named("fleet"));
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    for rule in ["module", "random", "round_robin", "least_own", "shortest", "sq1", "sq5", "p2c"] {
        assert!(said.contains(&format!("| {rule} ")), "{rule}: {said}");
    }
}

#[test]
fn a_grid_is_played_and_its_report_needs_no_network() {
    let folder = std::env::temp_dir().join(format!("curlewhub-sweep-{}", std::process::id()));
    let out = folder.to_string_lossy().into_owned();
    let grid = ["--grid", "arrivals.rate=200.0,700.0", "--grid", "decisions=module,sq2"];
    let words = [&["sweep", "--seeds", "2", "--set", "lasts=6s", "--out", &out], &grid[..]].concat();
    let done = lab(&words, &named("fleet"));
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    assert!(said.contains("| 700.0         | sq2"), "{said}");
    let page = std::fs::read_to_string(folder.join("report.html")).unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("decisions=sq2") && !page.contains("src=") && !page.contains("href="));
    // Two runs of four cells, and their heads.
    let lines = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap().lines().count();
    assert_eq!((lines("runs.csv"), lines("seconds.csv")), (1 + 8, 1 + 8 * 6));
    std::fs::remove_dir_all(&folder).unwrap();
    let wrong = lab(&["sweep", "--grid", "arrivals.rate=1.0,-1.0"], &named("fleet"));
    assert_eq!(wrong.status.code(), Some(2), "no cell is played");
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("arrivals.rate: -1 is out of range"));
}

#[test]
fn a_name_is_no_markup_in_the_report() {
    let folder = std::env::temp_dir().join(format!("curlewhub-report-{}", std::process::id()));
    let out = folder.to_string_lossy().into_owned();
    let set = ["--set", "lasts=2s", "--set", "name=<b>x</b>"];
    let done = lab(&[&["sim", "--seeds", "1", "--out", &out], &set[..]].concat(), &named("fleet"));
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    let page = std::fs::read_to_string(folder.join("report.html")).unwrap();
    assert!(page.contains("&lt;b&gt;x") && !page.contains("<b>x"));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_run_is_costed_at_several_sizes_and_a_size_too_large_is_refused() {
    let words = ["scale", "--times", "0.001,0.002", "--set", "lasts=4s"];
    let done = lab(&words, &named("large"));
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(done.status.success() && said.contains("| 10 ") && said.contains("| 20 "), "{said}");
    for (times, problem) in [("0", "--times: allowed"), ("11", "endpoints: count: 110000 is out of range")]
    {
        let done = lab(&["scale", "--times", times], &named("large"));
        assert_eq!(done.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&done.stderr).contains(problem), "{times}");
    }
}

#[test]
fn the_paper_is_worked_out_and_plotted() {
    let folder = std::env::temp_dir().join(format!("curlewhub-paper-{}", std::process::id()));
    let words = ["paper", "--seeds", "2", "--jobs", "20000", "--out"];
    let done = lab(&words, &folder);
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    assert!(said.contains("N = 10000") && said.contains("Pareto") && said.contains("Erlang B"), "{said}");
    for plot in ["figure-1", "figure-2", "own-counts"] {
        let svg = std::fs::read_to_string(folder.join(format!("{plot}.svg"))).unwrap();
        assert!(svg.contains("polyline"), "{plot}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
