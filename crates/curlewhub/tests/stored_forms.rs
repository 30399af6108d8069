//! What scripts call and read: commands, flags and printed JSON, the same as at commit d7660a1.

#[path = "../../control-plane/tests/support/fixture.rs"]
mod fixture;

use fixture::{assert_same, assert_same_text};
use std::collections::BTreeSet;
use std::process::{Command, Output};

fn program(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub"));
    for name in
        ["ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR", "RUST_LOG"]
    {
        command.env_remove(name);
    }
    command.args(words).output().unwrap()
}

fn printed(words: &[&str]) -> String {
    let output = program(words);
    assert!(output.status.success(), "{words:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// `commands.txt` lists each command of d7660a1 by its path, and what could be said after it. A command or flag may get
/// another name; the known one is then an alias.
#[test]
fn each_known_command_and_flag_is_taken_by_its_name() {
    for (path, words) in fixture::values("commands.txt") {
        let path: Vec<&str> = path.split('/').filter(|word| *word != "curlewhub").collect();
        let help = program(&[&path[..], &["--help"]].concat());
        assert!(help.status.success(), "{path:?}");
        for flag in words.split(" | ").filter(|word| word.starts_with("--")) {
            let value = if flag.contains('<') { &["1"][..] } else { &[] };
            let flag = flag.split(' ').next().unwrap();
            let output = program(&[&path[..], &[flag], value, &["--help"]].concat());
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(!said.contains("unexpected"), "{path:?} {flag}: {said}");
        }
    }
}

#[test]
fn the_example_is_printed_as_it_ships() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/curlewhub.toml");
    assert_eq!(printed(&["config", "example"]), std::fs::read_to_string(shipped).unwrap());
}

/// The names of all fields in JSON, by their path; those of list entries without a number.
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
fn a_checked_file_and_a_snapshot_are_printed_as_the_same_json() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/curlewhub.toml");
    let folder = std::env::temp_dir().join(format!("curlewhub-forms-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (file, wrong) = (folder.join("snapshot.bin"), folder.join("wrong.toml"));
    let snapshots = include_str!("../../snapshot/tests/fixtures/snapshot.txt");
    let bytes = snapshots.lines().next().unwrap().strip_prefix("snapshot ").unwrap();
    std::fs::write(&file, fixture::unhex(bytes)).unwrap();
    std::fs::write(&wrong, "listen = 1\n").unwrap();
    let names = |words: &[&str]| {
        let text = String::from_utf8(program(words).stdout).unwrap();
        let mut names = BTreeSet::new();
        let lines = serde_json::Deserializer::from_str(&text).into_iter::<serde_json::Value>();
        lines.for_each(|value| field_names(&value.unwrap(), "", &mut names));
        names.into_iter().collect::<Vec<_>>().join(" ")
    };
    let written = [
        ("check", names(&["check", "--config", example, "--print", "--json"])),
        ("check-wrong", names(&["check", "--config", wrong.to_str().unwrap(), "--json"])),
        ("snapshot", names(&["snapshot", "show", file.to_str().unwrap(), "--json"])),
    ];
    let shown = printed(&["snapshot", "show", file.to_str().unwrap(), "--json"]);
    let mut shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
    shown.as_object_mut().unwrap().remove("age_s"); // by the clock
    std::fs::remove_dir_all(&folder).unwrap();
    assert_same("printed_json.txt", &written);
    assert_same_text("snapshot_shown.json", &format!("{shown}\n"));
}

/// Where no server is reached; what a server answers is fixed in curlewhub-control-plane-node's tests.
#[test]
fn the_status_of_a_fleet_is_printed_with_the_same_names() {
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
