//! Compatibility with scripts: commands, flags and printed JSON stay as they were at commit d7660a1.

#[path = "../../control-plane/tests/support/fixture.rs"]
mod fixture;

use fixture::{assert_same, assert_same_text};
use std::collections::BTreeSet;
use std::process::{Command, Output};

fn program(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub"));
    for name in
        ["ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR", "RUST_LOG"]
    {
        command.env_remove(name);
    }
    command.args(args).output().unwrap()
}

fn printed(args: &[&str]) -> String {
    let output = program(args);
    assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// `commands.txt` lists each command of d7660a1 by its path, with the arguments that it accepted. A command
/// or flag may be renamed; its recorded name must then be an alias.
#[test]
fn every_recorded_command_and_flag_is_still_accepted() {
    for (path, args) in fixture::values("commands.txt") {
        let path: Vec<&str> = path.split('/').filter(|word| *word != "curlewhub").collect();
        let help = program(&[&path[..], &["--help"]].concat());
        assert!(help.status.success(), "{path:?}");
        for flag in args.split(" | ").filter(|word| word.starts_with("--")) {
            let value = if flag.contains('<') { &["1"][..] } else { &[] };
            let flag = flag.split(' ').next().unwrap();
            let output = program(&[&path[..], &[flag], value, &["--help"]].concat());
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(!stderr.contains("unexpected"), "{path:?} {flag}: {stderr}");
        }
    }
}

#[test]
fn config_example_prints_the_shipped_file() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/curlewhub.toml");
    assert_eq!(printed(&["config", "example"]), std::fs::read_to_string(shipped).unwrap());
}

/// Collects the paths of all fields of a JSON value, without the indices of array entries.
fn field_names(value: &serde_json::Value, at: &str, names: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(fields) => fields.iter().for_each(|(name, value)| {
            names.insert(format!("{at}{name}"));
            field_names(value, &format!("{at}{name}."), names);
        }),
        serde_json::Value::Array(entries) => entries.iter().for_each(|entry| field_names(entry, at, names)),
        _ => {}
    }
}

#[test]
fn json_of_check_and_snapshot_show_matches_the_fixtures() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/curlewhub.toml");
    let folder = std::env::temp_dir().join(format!("curlewhub-forms-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (file, invalid) = (folder.join("snapshot.bin"), folder.join("wrong.toml"));
    let snapshots = include_str!("../../snapshot/tests/fixtures/snapshot.txt");
    let bytes = snapshots.lines().next().unwrap().strip_prefix("snapshot ").unwrap();
    std::fs::write(&file, fixture::unhex(bytes)).unwrap();
    std::fs::write(&invalid, "listen = 1\n").unwrap();
    let names = |args: &[&str]| {
        let text = String::from_utf8(program(args).stdout).unwrap();
        let mut names = BTreeSet::new();
        let lines = serde_json::Deserializer::from_str(&text).into_iter::<serde_json::Value>();
        lines.for_each(|value| field_names(&value.unwrap(), "", &mut names));
        names.into_iter().collect::<Vec<_>>().join(" ")
    };
    let written = [
        ("check", names(&["check", "--config", example, "--print", "--json"])),
        ("check-wrong", names(&["check", "--config", invalid.to_str().unwrap(), "--json"])),
        ("snapshot", names(&["snapshot", "show", file.to_str().unwrap(), "--json"])),
    ];
    let shown = printed(&["snapshot", "show", file.to_str().unwrap(), "--json"]);
    let mut shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
    shown.as_object_mut().unwrap().remove("age_s"); // depends on the clock
    std::fs::remove_dir_all(&folder).unwrap();
    assert_same("printed_json.txt", &written);
    assert_same_text("snapshot_shown.json", &format!("{shown}\n"));
}

/// No server is reachable here; the tests of curlewhub-control-plane-node cover the JSON of a server's
/// answer.
#[test]
fn json_of_fleet_status_keeps_its_field_names() {
    let folder = std::env::temp_dir().join(format!("curlewhub-forms-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (file, key) = (folder.join("server.toml"), folder.join("key"));
    std::fs::write(&key, "5a".repeat(32)).unwrap();
    std::fs::set_permissions(&key, std::os::unix::fs::PermissionsExt::from_mode(0o600)).unwrap();
    let text = format!(
        "name = \"s\"\nlisten = \"127.0.0.1:1\"\nstate_dir = {folder:?}\nkey = {{ number = 1, file = {key:?} }}\n\
         keepers = [{{ id = 1, name = \"s\", address = \"127.0.0.1:1\" }}]\n"
    );
    std::fs::write(&file, text).unwrap();
    let output = program(&["fleet", "status", "--config", file.to_str().unwrap(), "--json"]);
    std::fs::remove_dir_all(&folder).unwrap();
    let mut names = BTreeSet::new();
    field_names(&serde_json::from_slice(&output.stdout).unwrap(), "", &mut names);
    assert_eq!(
        names.into_iter().collect::<Vec<_>>().join(" "),
        "keepers keepers.name keepers.problem majority"
    );
    assert_eq!(output.status.code(), Some(1));
}
