//! The list of tests that may fail: three at most, each with its cause and its issue.

use std::process::Command;

fn read(list: &str) -> (bool, String) {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let file = std::env::temp_dir().join(format!("known-red-{}-{}", std::process::id(), list.len()));
    std::fs::write(&file, list).unwrap();
    let output = Command::new("bash").arg(format!("{root}/.ci/known-red")).arg(&file).output().unwrap();
    std::fs::remove_file(file).unwrap();
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn a_list_names_three_tests_at_most_each_with_cause_and_issue() {
    assert_eq!(read(""), (true, String::new()));
    assert_eq!(read("a::b | it never comes | 36\n\nc::d|why|37"), (true, "a::b\nc::d\n".to_owned()));
    for wrong in
        ["a::b", "a::b | why", "a::b | | 36", " | why | 36", "a | b | c | d", "a|b|1\nc|d|2\ne|f|3\ng|h|4"]
    {
        assert!(!read(wrong).0, "{wrong}");
    }
}

#[test]
fn the_repository_s_own_list_is_sound_where_there_is_one() {
    let list = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt"));
    assert!(list.is_err() || read(&list.unwrap()).0);
}
