//! Parsing of the operators' file: the resulting configuration, and the problems reported for invalid files.

use curlewhub_balance::{DeduplicationScope, Discovery, Semantics, ZoneId};
use curlewhub_config::list::TargetState;
use curlewhub_config::{Config, EffectiveValue, LoadedConfig, LogFormat, Override, Problems, file};
use proptest::prelude::*;
use std::time::Duration;

/// The smallest valid file.
const MINIMAL: &str = r#"
listen = "127.0.0.1:7070"
[[endpoints]]
id = "a"
address = "127.0.0.1:9001"
[[classes]]
name = "quote"
"#;

fn parse(text: &str) -> Result<(Config, Vec<EffectiveValue>), Problems> {
    file::parse("shop.toml", text, &[])
}

fn problems(text: &str) -> Vec<String> {
    match parse(text) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.0.iter().map(ToString::to_string).collect(),
    }
}

fn override_of(field: &str, text: &str, origin: &str) -> Override {
    Override { field: field.to_owned(), text: text.to_owned(), origin: origin.to_owned() }
}

#[test]
fn the_example_is_valid_and_states_the_defaults() {
    let (config, effective) = parse(file::EXAMPLE).unwrap();
    assert_eq!((config.name.as_str(), config.memory_mb, config.sockets), ("shop", 192, 1024));
    assert_eq!((config.settings.zone, config.settings.zones), (ZoneId(0), 3));
    let (group, window) = (DeduplicationScope::Zone, Duration::from_secs(6));
    assert_eq!(config.settings.classes[1].semantics, Semantics::Keyed { group, window });
    assert_eq!(config.settings.discovery, Discovery::Push);
    // Each line that is commented out with a value states the default that holds without it.
    let mut section = String::new();
    let mut checked = 0;
    for line in file::EXAMPLE.lines() {
        let bare = line.strip_prefix("# ").unwrap_or(line);
        if let Some(name) = bare.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            section = if name.starts_with('[') { "-".to_owned() } else { format!("{name}.") };
        }
        let Some((name, rest)) = line.strip_prefix("# ").and_then(|line| line.split_once(" = ")) else {
            continue;
        };
        let field = format!("{section}{name}");
        let Some(value) = effective.iter().find(|e| e.field == field) else { continue };
        if name == "state_dir" {
            continue; // $TMPDIR
        }
        let stated = rest.split('#').next().unwrap().trim();
        let (with, _) =
            file::parse("x", file::EXAMPLE, &[override_of(&field, stated.trim_matches('"'), "x")]).unwrap();
        let (without, _) = parse(file::EXAMPLE).unwrap();
        assert_eq!(with.settings, without.settings, "{field}");
        assert_eq!(value.origin, "default", "{field}");
        checked += 1;
    }
    assert!(checked >= 20, "{checked}");
}

#[test]
fn a_file_with_ten_errors_reports_ten() {
    let text = r#"
name = 7
listen = "somewhere"
colour = "blue"
zones = ["a", "a2"]
zone = "b"
[limits]
memory = "12"
sockets = 3
[log]
level = "loud"
[[endpoints]]
id = "one"
address = "127.0.0.1:9001"
weight = -1.0
[[classes]]
name = "quote"
deadline = "soon"
[[classes]]
name = "quote"
repeat = "keyed"
window = "6s"
"#;
    let found = problems(text);
    let want = [
        "shop.toml:2: name: ",
        "shop.toml:3: listen: ",
        "shop.toml:4: colour: there is no such field; allowed: ",
        "shop.toml:6: zone: not among `zones`; allowed: a, a2",
        "shop.toml:8: limits.memory: ",
        "shop.toml:9: limits.sockets: 3 is out of range; allowed: 64 to 1000000 descriptors",
        "shop.toml:11: log.level: `loud` is out of range; allowed: ",
        "shop.toml:15: endpoints[0].weight: -1.0 is out of range; allowed: ",
        "shop.toml:18: classes[0].deadline: ",
        "shop.toml:20: classes[1].name: `quote` is there twice; allowed: ",
    ];
    assert_eq!(found.len(), 10, "{found:#?}");
    for (found, want) in found.iter().zip(want) {
        assert!(found.starts_with(want), "{found}\nis not\n{want}");
    }
}

#[test]
fn inconsistent_or_invalid_fields_are_reported() {
    for (change, want) in [
        (("listen = \"127.0.0.1:7070\"", ""), "listen: missing; allowed: an address and port"),
        (("listen =", "operator = \"127.0.0.1:7070\"\nlisten ="), "the same address as `listen`"),
        (("listen =", "number = 4\nlisten ="), "number: there are not so many balancers"),
        (("listen =", "tier = 2\nlisten ="), "tier: there are not so many tiers"),
        (("id = \"a\"", "id = \"a\"\nzone = \"x\""), "endpoints[0].zone: `x` is not among `zones`"),
        (
            ("name = \"quote\"", "name = \"quote\"\nrepeat = \"keyed\""),
            "classes[0].window: a keyed class needs one",
        ),
        (("name = \"quote\"", "name = \"quote\"\nobjective = \"9s\""), "longer than the class's deadline"),
        (("name = \"quote\"", "name = \"quote\"\nworth = -2.0"), "classes[0].worth: -2 is out of range"),
        (("name = \"quote\"", "name = \"a/b\""), "classes[0].name: `a/b` is out of range"),
        (("[[classes]]", "[classes]"), "classes: this is a table; allowed: a list of tables"),
        (("id = \"a\"", "id = a"), "shop.toml:4: "),
        (("[[endpoints]]\nid = \"a\"\naddress = \"127.0.0.1:9001\"", ""), "there is nowhere to send to"),
    ] {
        let text = MINIMAL.replacen(change.0, change.1, 1);
        assert_ne!(text, MINIMAL, "{want}");
        let found = problems(&text);
        assert!(found.iter().any(|problem| problem.contains(want)), "{want}: {found:#?}");
    }
    assert_eq!(problems(MINIMAL), [""; 0]);
}

#[test]
fn flags_override_variables_which_override_the_file_and_origins_are_recorded() {
    let text = MINIMAL.replacen("listen", "name = \"file\"\nlisten", 1);
    let env = override_of("name", "env", "$ROUTER_NAME");
    let flag = override_of("name", "flag", "--name");
    for (overrides, want, origin) in [
        (vec![], "file", "shop.toml:2"),
        (vec![env.clone()], "env", "$ROUTER_NAME"),
        (vec![env, flag], "flag", "--name"),
    ] {
        let (config, effective) = file::parse("shop.toml", &text, &overrides).unwrap();
        assert_eq!(config.name, want);
        let found = effective.iter().find(|e| e.field == "name").unwrap();
        assert_eq!((found.value.as_str(), found.origin.as_str()), (Some(want), origin));
    }
    let json = override_of("log.format", "json", "--log-format");
    let sockets = override_of("limits.sockets", "512", "--set limits.sockets");
    let (config, _) = file::parse("shop.toml", &text, &[json, sockets]).unwrap();
    assert_eq!((config.log.format, config.sockets), (LogFormat::Json, 512));
    for (bad, want) in [
        (override_of("listen", "nowhere", "$ROUTER_LISTEN"), "$ROUTER_LISTEN: listen: "),
        (
            override_of("limits.sockets", "3", "--set limits.sockets"),
            "--set limits.sockets: limits.sockets: `3` is",
        ),
        (
            override_of("limits.colour", "3", "--set limits.colour"),
            "--set limits.colour: limits.colour: there is no",
        ),
    ] {
        let found = file::parse("shop.toml", &text, &[bad]).unwrap_err().to_string();
        assert!(found.starts_with(want), "{found}");
    }
}

#[test]
fn a_reload_reports_live_and_restart_changes_and_an_invalid_file_changes_nothing() {
    let path = std::env::temp_dir().join(format!("curlewhub-config-{}.toml", std::process::id()));
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    write(MINIMAL);
    let mut loaded = LoadedConfig::from_file(&path, Vec::new()).unwrap();
    assert_eq!(loaded.reload().unwrap(), Default::default(), "a newly drawn seed is no change");
    write(&(MINIMAL.to_owned() + "[[endpoints]]\nid = \"b\"\naddress = \"127.0.0.1:9002\"\n"));
    let change = loaded.reload().unwrap();
    let uids: Vec<_> = change.endpoints.unwrap().iter().map(|t| (t.uid.clone(), t.state)).collect();
    assert_eq!(uids, [("a".to_owned(), TargetState::Up), ("b".to_owned(), TargetState::Up)]);
    assert_eq!((change.discovery, change.restart_fields.len()), (None, 0));
    write("listen = 7");
    assert!(loaded.reload().is_err());
    assert_eq!(loaded.config.initial_list.targets.len(), 2, "an invalid file changes nothing");
    write(&MINIMAL.replacen("listen", "name = \"new\"\nlisten", 1).replacen("quote", "offer", 1));
    let change = loaded.reload().unwrap();
    assert_eq!(change.restart_fields, ["classes[0].name", "name"]);
    assert_eq!(change.endpoints.map(|list| list.len()), Some(1));
    std::fs::remove_file(path).unwrap();
}

proptest! {
    #[test]
    fn parsing_any_text_never_panics_and_every_problem_is_one_line(text in "[a-z\\[\\]=\".0-9 \n#{},-]{0,200}") {
        for problem in problems(&text) {
            prop_assert_eq!(problem.lines().count(), 1);
        }
    }

    #[test]
    fn parsing_a_truncated_or_altered_example_never_panics(at in 0..file::EXAMPLE.len(), byte in 32..127u8) {
        let mut changed = file::EXAMPLE.as_bytes().to_vec();
        changed[at] = byte;
        let changed = String::from_utf8_lossy(&changed).into_owned();
        let _ = parse(&changed);
        let cut = &file::EXAMPLE.as_bytes()[..at];
        let _ = parse(&String::from_utf8_lossy(cut));
    }
}

#[test]
fn fleet_is_none_without_its_section_and_its_invalid_fields_are_reported() {
    assert_eq!(parse(MINIMAL).unwrap().0.fleet, None);
    let fleet = "[fleet]\nlisten = \"127.0.0.1:7411\"\nkey = { number = 1, file = \"k\" }\n\
                 keepers = [{ id = 1, name = \"a\", address = \"127.0.0.1:7401\" }]\n";
    let (config, _) = parse(&format!("{MINIMAL}{fleet}")).unwrap();
    let fleet_config = config.fleet.unwrap();
    assert_eq!(
        (fleet_config.name, fleet_config.state_dir, fleet_config.consensus_servers.len()),
        (config.name, config.state_dir, 1)
    );
    let cases = [
        ("listen = \"127.0.0.1:7411\"", "listen = \"10.1.1.1:7411\"", "fleet.listen"),
        ("listen = \"127.0.0.1:7411\"", "", "fleet.listen: missing"),
        ("number = 1", "number = 1000", "fleet.key"),
        ("id = 1", "id = 0", "fleet.keepers[0].id"),
        (
            "keepers = [{ id = 1, name = \"a\", address = \"127.0.0.1:7401\" }]",
            "",
            "fleet.keepers: missing",
        ),
        ("key = {", "other_key = { number = 1, file = \"k\" }\nkey = {", "fleet.other_key.number"),
        (
            "key = {",
            "peers = [{ name = \"curlewhub\", address = \"127.0.0.1:1\" }]\nkey = {",
            "fleet.peers[0].name",
        ),
        ("listen", "lisen", "lisen"),
    ];
    for (from, to, wanted) in cases {
        let reported = problems(&format!("{MINIMAL}{}", fleet.replace(from, to)));
        assert!(reported.iter().any(|problem| problem.contains(wanted)), "{wanted}: {reported:?}");
    }
    // The example's commented-out section, put in force, is valid.
    let example = file::EXAMPLE;
    let fleet_section =
        example[example.find("# [fleet]").unwrap()..].replace("\n# ", "\n").replacen("# ", "", 1);
    assert!(parse(&format!("{MINIMAL}{fleet_section}")).unwrap().0.fleet.is_some());
}
