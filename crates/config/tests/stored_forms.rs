//! Keys of the settings: files that set each key, read into the same values as by commit d7660a1.

#[path = "../../control-plane/tests/support/fixture.rs"]
mod fixture;

use curlewhub_config::fleet::FleetConfig;
use curlewhub_config::list::{EndpointList, Target, TargetState};
use curlewhub_config::{Named, Names, file, live, settings::parse_settings};
use fixture::{assert_same, assert_same_text, path, text};
use std::collections::BTreeSet;
use std::path::PathBuf;

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

/// Collects the paths of all fields in JSON; the entries of a list share one path.
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

fn fields(text: &str) -> BTreeSet<String> {
    let (mut names, value) = (BTreeSet::new(), toml::from_str::<toml::Value>(text).unwrap());
    field_names(&serde_json::to_value(value).unwrap(), "", &mut names);
    names
}

#[test]
fn each_key_of_the_operators_file_sets_the_same_field() {
    let (_, effective) = file::parse("full.toml", &text("full.toml"), &[]).unwrap();
    let written: Vec<_> = effective.iter().map(|e| (e.field.as_str(), json(e))).collect();
    assert_same("full_effective.txt", &written);
    let defaults: Vec<_> = written.iter().filter(|(_, json)| json.contains("\"default\"")).collect();
    assert!(defaults.is_empty(), "the file has to set each key: {defaults:?}");
}

#[test]
fn the_example_sets_and_leaves_out_the_same_keys() {
    let (_, effective) = file::parse("example.toml", file::EXAMPLE, &[]).unwrap();
    let here = |e: &&curlewhub_config::EffectiveValue| e.field != "state_dir"; // $TMPDIR
    let result = |e: &curlewhub_config::EffectiveValue| format!("{} {}", e.value, e.origin == "default");
    let written: Vec<_> = effective.iter().filter(here).map(|e| (e.field.as_str(), result(e))).collect();
    assert_same("example_effective.txt", &written);
}

#[test]
fn problems_name_the_same_fields_and_lines() {
    let problems = file::parse("wrong.toml", &text("wrong.toml"), &[]).unwrap_err().0;
    let written: Vec<_> = problems.iter().map(|p| (&p.field, format!("{:?}", p.line))).collect();
    assert_same("wrong_problems.txt", &written);
}

#[test]
fn each_key_of_a_fleet_file_is_read_and_written_back() {
    let config = FleetConfig::read(&path("fleet.toml")).unwrap();
    assert_eq!(fields(&toml::to_string(&config).unwrap()), fields(&text("fleet.toml")));
    assert_same_text("fleet.json", &format!("{}\n", json(&config)));
}

#[test]
fn problems_of_a_fleet_file_name_the_same_fields() {
    let wrong: FleetConfig = toml::from_str(&text("fleet_wrong.toml")).unwrap();
    let fields: Vec<_> = wrong.problems().into_iter().map(|(field, _)| field + "\n").collect();
    assert_same_text("fleet_problems.txt", &fields.concat());
}

#[test]
fn the_files_of_the_deployment_are_read_by_the_same_keys() {
    let deploy = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let mut written = Vec::new();
    for name in ["keeper.toml", "follower.toml"] {
        written.push((name, json(&FleetConfig::read(&deploy.join(name)).unwrap())));
    }
    let balancer = std::fs::read_to_string(deploy.join("balancer.toml")).unwrap();
    let names: Vec<_> = fields(&balancer).into_iter().collect();
    written.push(("balancer.toml", names.join(" ")));
    assert_same("deployment.txt", &written);
}

/// Each key of the platform's settings is left out in turn. The values in the structure's debug output are
/// compared, not its names, which may be changed.
#[test]
fn each_key_of_the_platforms_settings_sets_the_same_value() {
    let full: serde_json::Value = serde_json::from_str(&text("platform_settings.json")).unwrap();
    let values = |settings: &serde_json::Value| {
        let debug = format!("{:?}", parse_settings(&settings.to_string()).unwrap());
        debug
            .split([' ', ',', '{', '}', '[', ']', '(', ')'])
            .filter(|part| is_value(part))
            .collect::<Vec<_>>()
            .join(" ")
    };
    let mut written = vec![("full".to_owned(), values(&full))];
    for pointer in leaves(&full, "") {
        let mut without = full.clone();
        remove(&mut without, &pointer);
        let result = match parse_settings(&without.to_string()) {
            Ok(_) if values(&without) == written[0].1 => "no difference".to_owned(),
            Ok(_) => values(&without),
            Err(e) => e.to_string(),
        };
        written.push((pointer, result));
    }
    assert_same("platform_settings.txt", &written);
}

/// Whether a part is a number, a duration or a boolean, and not a name.
fn is_value(part: &str) -> bool {
    part.starts_with(|c: char| c.is_ascii_digit() || c == '-') || part == "true" || part == "false"
}

/// JSON pointers to all fields, including those that contain others.
fn leaves(value: &serde_json::Value, at: &str) -> Vec<String> {
    let entries: Vec<(String, &serde_json::Value)> = match value {
        serde_json::Value::Object(fields) => {
            fields.iter().map(|(name, value)| (name.clone(), value)).collect()
        }
        serde_json::Value::Array(entries) if entries.first().is_some_and(|entry| entry.is_object()) => {
            vec![("0".to_owned(), &entries[0])]
        }
        _ => Vec::new(),
    };
    let each = |(name, value): (String, &serde_json::Value)| {
        let path = format!("{at}/{name}");
        let below = leaves(value, &path);
        if name == "0" { below } else { [vec![path], below].concat() }
    };
    entries.into_iter().flat_map(each).collect()
}

fn remove(value: &mut serde_json::Value, pointer: &str) {
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    value.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(name);
}

#[test]
fn names_of_variants_in_the_platforms_settings_are_read() {
    let full: serde_json::Value = serde_json::from_str(&text("platform_settings.json")).unwrap();
    let cases = [
        ("/countedBy", &["request", "work"][..]),
        ("/classes/0/semantics", &["safe", "keyed", "unsafe"]),
        ("/classes/0/group", &["all", "zone", "cell"]),
        ("/discovery", &["automatic", "subscribe"]),
        ("/telemetry/via", &["off", "inline", "on_probe"]),
        ("/weightKind", &["off", "nominal", "rough", "live"]),
    ];
    for (pointer, names) in cases {
        let mut distinct = BTreeSet::new();
        for name in names {
            let mut changed = full.clone();
            *changed.pointer_mut(pointer).unwrap() = (*name).into();
            distinct.insert(format!("{:?}", parse_settings(&changed.to_string()).unwrap()));
        }
        assert_eq!(distinct.len(), names.len(), "{pointer}");
    }
    let fields =
        ["outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s", "another"];
    let mut distinct = BTreeSet::new();
    for field in fields {
        let mut changed = full.clone();
        *changed.pointer_mut("/telemetry/fields").unwrap() = serde_json::json!([field]);
        distinct.insert(format!("{:?}", parse_settings(&changed.to_string()).unwrap()));
    }
    assert_eq!(distinct.len(), fields.len());
}

#[test]
fn names_in_the_platforms_settings_are_read() {
    let mut settings: serde_json::Value = serde_json::from_str(&text("platform_settings.json")).unwrap();
    settings["kinds"] = serde_json::json!(["large", "small"]);
    let names: Names = serde_json::from_value(settings).unwrap();
    let of = |named: &[Named]| named.iter().map(|named| named.name.clone()).collect::<Vec<_>>();
    assert_eq!((of(&names.classes), of(&names.tenants)), (vec!["view".to_owned()], vec!["t".to_owned()]));
    assert_eq!(
        (names.zones, names.kinds),
        (["a", "b", "c"].map(str::to_owned).to_vec(), ["large", "small"].map(str::to_owned).to_vec())
    );
}

#[test]
fn the_endpoint_list_has_the_same_json() {
    let target = |n: u16, state| Target {
        uid: format!("s-{n}"),
        endpoint: ([127, 0, 0, 1], 7000 + n).into(),
        az: "zone-a".to_owned(),
        model: "large".to_owned(),
        pod_group: 5,
        state,
        capacity_hint: 2.5,
        boot_ms: 1_700_000_000_123.0,
    };
    let targets =
        vec![target(1, TargetState::Up), target(2, TargetState::Draining), target(3, TargetState::Removed)];
    let list = EndpointList { rev: 41, is_complete: true, targets };
    assert_same_text("endpoint_list.json", &format!("{}\n", json(&list)));
    assert_eq!(serde_json::from_str::<EndpointList>(&text("endpoint_list.json")).unwrap(), list);
}

#[test]
fn the_same_fields_are_changed_without_a_restart() {
    assert_eq!(live::FIELDS, ["discovery.address", "log.level", "log.per_second"]);
}
