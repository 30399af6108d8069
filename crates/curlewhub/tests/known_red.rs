//! The check of the list of known failures: each entry names a test, its command, the observed failure and
//! its issue.

use std::process::Command;

/// Runs `.ci/known-red` on a list, and returns whether it is valid and what was printed.
fn check_list(list: &str) -> (bool, String) {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let file = std::env::temp_dir().join(format!("known-red-{}-{}", std::process::id(), list.len()));
    std::fs::write(&file, list).unwrap();
    let output = Command::new("bash").arg(format!("{root}/.ci/known-red")).arg(&file).output().unwrap();
    std::fs::remove_file(file).unwrap();
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn a_valid_list_prints_its_tests_and_malformed_entries_are_rejected() {
    assert_eq!(check_list(""), (true, String::new()));
    let four_entries =
        "a::b | cargo test, seed 3 | it never comes | 36\n\nc::d|run|late|37\ne|run|late|38\nf|run|late|39";
    assert_eq!(check_list(four_entries), (true, "a::b\nc::d\ne\nf\n".to_owned()));
    for invalid in [
        "a::b",
        "a::b | run",
        "a::b | run | late",
        "a::b | run | | 36",
        "a::b | | late | 36",
        " | run | late | 36",
        "a | b | c | d | e",
    ] {
        assert!(!check_list(invalid).0, "{invalid}");
    }
}

#[test]
fn the_list_of_the_repository_is_valid_if_it_exists() {
    let list = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt"));
    assert!(list.is_err() || check_list(&list.unwrap()).0);
}
