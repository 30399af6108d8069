//! Settings that the fleet decides and a running sidecar applies. They override its file and its flags. If
//! they are refused, all reasons are stated.

use curlewhub_config::{LoadedConfig, Override, live};
use std::collections::BTreeMap;
use std::io::Write;

const FILE: &str = "listen = \"127.0.0.1:7070\"\n[[classes]]\nname = \"book\"\nrepeat = \"safe\"\nobjective = \"1s\"\ndeadline = \"2s\"\n";
const DISCOVERY: &str = "[discovery]\naddress = \"127.0.0.1:8500\"\n";
const ENDPOINT: &str = "[[endpoints]]\nid = \"a\"\naddress = \"127.0.0.1:9001\"\n";

fn loaded(text: &str, overrides: Vec<Override>) -> (tempfile::NamedTempFile, LoadedConfig) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    let loaded = LoadedConfig::from_file(file.path(), overrides).unwrap();
    (file, loaded)
}

fn values(values: &[(&str, &str)]) -> BTreeMap<String, String> {
    values.iter().map(|(field, value)| ((*field).to_owned(), (*value).to_owned())).collect()
}

#[test]
fn fleet_values_override_flags_survive_a_reload_and_end_when_withdrawn() {
    let flag = Override { field: "log.level".into(), text: "warn".into(), origin: "--log-level".into() };
    let (file, mut loaded) = loaded(&format!("{FILE}{DISCOVERY}"), vec![flag]);
    let decided = values(&[("log.level", "debug"), ("discovery.address", "127.0.0.1:8501")]);
    let change = loaded.apply_fleet_values(&decided).unwrap();
    assert_eq!(change.discovery, Some("127.0.0.1:8501".parse().unwrap()));
    assert_eq!(change.log.map(|log| log.level).as_deref(), Some("debug"));
    // The file has changed meanwhile. The change takes effect with the next reload, and not before.
    std::fs::write(file.path(), format!("name = \"other\"\n{FILE}{DISCOVERY}")).unwrap();
    let change = loaded.apply_fleet_values(&decided).unwrap();
    assert_eq!((change.discovery, change.log, change.restart_fields.len()), (None, None, 0));
    assert_eq!(loaded.reload().unwrap().restart_fields, ["name"]);
    assert_eq!(loaded.config.log.level, "debug");
    let change = loaded.apply_fleet_values(&BTreeMap::new()).unwrap();
    assert_eq!(change.log.map(|log| log.level).as_deref(), Some("warn"));
    assert_eq!(loaded.config.discovery, Some("127.0.0.1:8500".parse().unwrap()));
}

#[test]
fn one_refused_fleet_value_refuses_all_and_changes_nothing() {
    let (_file, mut loaded) = loaded(&format!("{FILE}{ENDPOINT}"), Vec::new());
    let before = loaded.config.clone();
    let cases = [
        (values(&[("log.level", "debug"), ("discovery.address", "127.0.0.1:1")]), vec!["after a restart"]),
        (
            values(&[("log.level", "loud"), ("limits.sockets", "512"), ("x", "")]),
            vec!["loud", "sockets", ": x:"],
        ),
    ];
    for (wrong, wanted) in cases {
        let problems = loaded.apply_fleet_values(&wrong).unwrap_err().to_string();
        assert_eq!(problems.lines().count(), wanted.len(), "{problems}");
        wanted.iter().for_each(|part| assert!(problems.contains(part), "{part}: {problems}"));
    }
    assert_eq!(loaded.config, before);
    for field in live::FIELDS {
        assert!(live::is_live(field) && live::problems(&values(&[(field, "\u{1}")])).len() == 1, "{field}");
    }
}
