//! Scenario files and seeded runs: read as by commit d7660a1, and the same report byte for byte.

#[path = "../../control-plane/tests/support/fixture.rs"]
mod fixture;

use curlewhub_model::{Scenario, run};
use fixture::{assert_same_text, text};
use std::path::PathBuf;

fn scenarios() -> Vec<(String, String)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> =
        files.filter(|path| path.extension().is_some_and(|e| e == "toml")).collect();
    files.sort();
    let read = |path: &PathBuf| {
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        (name, std::fs::read_to_string(path).unwrap())
    };
    files.iter().map(read).collect()
}

/// A scenario's JSON: its names are those of the file's keys.
fn json(text: &str) -> String {
    serde_json::to_string(&Scenario::parse(text).unwrap()).unwrap()
}

#[test]
fn each_file_is_read_as_the_same_scenario() {
    let files: String = scenarios().iter().map(|(name, text)| format!("{name} {}\n", json(text))).collect();
    assert_same_text("scenarios.txt", &files);
}

#[test]
fn each_key_of_a_scenario_is_read() {
    assert_same_text("full_scenario.json", &format!("{}\n", json(&text("full_scenario.toml"))));
}

#[test]
fn seeded_runs_have_the_same_report_byte_for_byte() {
    for name in ["full_scenario", "fleet_scenario"] {
        let scenario = Scenario::parse(&text(&format!("{name}.toml"))).unwrap();
        assert_same_text(&format!("{name}_run.json"), &format!("{}\n", run(&scenario, 17).digest()));
    }
}
