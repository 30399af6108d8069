//! Keepers as an operator runs them: three that agree, one added, one removed, one that forgot, and notes that are decided.

use serde_json::Value;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Nothing that a test waits for may take longer, not even on a slow machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// A folder with the files of four keepers; their processes end with it.
struct Keepers {
    folder: PathBuf,
    running: Vec<(u64, Child)>,
}

impl Drop for Keepers {
    fn drop(&mut self) {
        for (_, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn program(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub"));
    command.args(words).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

impl Keepers {
    fn new(name: &str) -> Keepers {
        let folder = std::env::temp_dir().join(format!("curlewhub-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), "5a".repeat(32)).unwrap();
        // An address of this test's own for each.
        let part = 1 + (std::process::id() % 250) as u8;
        let free =
            |n: u8| TcpListener::bind((Ipv4Addr::new(127, 81, part, n), 0)).unwrap().local_addr().unwrap();
        let at: Vec<_> = (1..=4).map(free).collect();
        for id in 1..=4 {
            let joins = id == 4;
            let key = folder.join("key");
            let state = folder.join(format!("k{id}"));
            let mut text = format!(
                "name = \"k{id}\"\nlisten = \"{}\"\nstate_dir = {state:?}\njoins = {joins}\nkey = {{ number = 1, file = {key:?} }}\n",
                at[id - 1]
            );
            // The first three begin as those three; all that came later is told of the fourth.
            for (n, at) in at.iter().enumerate() {
                text +=
                    &format!("[[keepers]]\nid = {}\nname = \"k{}\"\naddress = \"{at}\"\n", n + 1, n + 1);
            }
            let first = text.rsplit_once("[[keepers]]").unwrap().0.to_owned();
            std::fs::write(folder.join(format!("k{id}.toml")), &text).unwrap();
            std::fs::write(folder.join(format!("k{id}-first.toml")), first).unwrap();
        }
        Keepers { folder, running: Vec::new() }
    }

    fn file(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn start(&mut self, id: u64, file: &str) {
        let config = self.file(file);
        let mut words = vec!["keeper", "--config", &config];
        words.extend(file.contains("first").then_some("--begin"));
        let child = program(&words).stderr(Stdio::null()).spawn().unwrap();
        self.running.push((id, child));
    }

    fn end(&mut self, id: u64) {
        let at = self.running.iter().position(|(known, _)| *known == id).unwrap();
        let (_, mut child) = self.running.remove(at);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn call(&self, words: &[&str]) -> Output {
        let config = self.file("k1.toml");
        let mut all = vec!["fleet", words[0], "--config", &config];
        all.extend(&words[1..]);
        program(&all).output().unwrap()
    }

    /// Calls until it is done.
    fn until_done(&self, words: &[&str]) -> String {
        let began = Instant::now();
        loop {
            let output = self.call(words);
            if output.status.success() {
                return String::from_utf8(output.stdout).unwrap();
            }
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(began.elapsed() < PATIENCE, "{words:?}: {said}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn status(&self) -> Value {
        serde_json::from_slice(&self.call(&["status", "--json"]).stdout).unwrap()
    }

    fn wait_for(&self, what: &str, holds: impl Fn(&Value) -> bool) {
        let began = Instant::now();
        loop {
            let status = self.status();
            if holds(&status) {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "never came: {what}: {status}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn keeper(status: &Value, n: usize) -> &Value {
    &status["keepers"][n]
}

#[test]
fn keepers_are_added_and_removed_by_command_and_what_was_decided_stays() {
    let mut all = Keepers::new("keepers");
    (1..=3).for_each(|id| all.start(id, &format!("k{id}-first.toml")));
    let said = all.until_done(&["note", "first", "--by", "anna", "--why", "to see"]);
    assert!(said.contains("decided as version 1"), "{said}");
    // Each is restarted with a file that names the fourth, one at a time, and nothing is forgotten.
    for id in 1..=3 {
        all.end(id);
        all.start(id, &format!("k{id}.toml"));
        all.until_done(&["note", "restarted"]);
    }
    all.start(4, "k4.toml");
    all.until_done(&["keepers", "add", "4"]);
    all.wait_for("the fourth holds all", |status| {
        keeper(status, 3)["version"] == 4 && keeper(status, 3)["keepers"] == serde_json::json!([1, 2, 3, 4])
    });
    let again = all.call(&["keepers", "add", "4"]);
    assert!(String::from_utf8_lossy(&again.stderr).contains("already a keeper"));
    let unknown = all.call(&["keepers", "add", "9"]);
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("does not name 9"));
    all.until_done(&["keepers", "remove", "1"]);
    all.wait_for("the first is none any more", |status| {
        keeper(status, 1)["keepers"] == serde_json::json!([2, 3, 4])
    });
    all.end(1);
    let said = all.until_done(&["note", "last"]);
    assert!(said.contains("decided as version 5"), "{said}");
    let log: Value = serde_json::from_str(&all.until_done(&["log", "--json"])).unwrap();
    assert_eq!(
        (&log[0]["body"], &log[0]["version"], &log[0]["by"]),
        (&"last".into(), &5.into(), &"operator".into())
    );
    // Two of three dead: nothing is decided, and that is said.
    (2..=3).for_each(|id| all.end(id));
    assert_eq!(all.call(&["status"]).status.code(), Some(1));
    let none = all.call(&["note", "never"]);
    assert_eq!(none.status.code(), Some(1), "{none:?}");
}

#[test]
fn a_keeper_that_forgot_what_it_promised_does_not_keep() {
    let mut all = Keepers::new("forgot");
    (1..=3).for_each(|id| all.start(id, &format!("k{id}-first.toml")));
    all.until_done(&["note", "one"]);
    all.end(2);
    let state = all.folder.join("k2");
    let copy = std::fs::read(state.join("keeper.redb")).unwrap();
    // Its disk is lost: it is refused under its number.
    std::fs::remove_dir_all(&state).unwrap();
    let output = program(&["keeper", "--config", &all.file("k2-first.toml")]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("it holds nothing"), "{said}");
    // An old copy of it: it holds less than the leader was told, and ends once it hears so.
    std::fs::create_dir_all(&state).unwrap();
    std::fs::write(state.join("keeper.redb"), &copy).unwrap();
    all.start(2, "k2.toml");
    (0..30).for_each(|n| drop(all.until_done(&["note", &n.to_string()])));
    all.wait_for("the second follows", |status| {
        keeper(status, 1)["version"] == keeper(status, 0)["version"]
    });
    all.end(2);
    std::fs::write(state.join("keeper.redb"), copy).unwrap();
    let output = program(&["keeper", "--config", &all.file("k2.toml")]).output().unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("less than it has promised"), "{said}");
    all.until_done(&["note", "the others go on"]);
}

#[test]
fn wrong_files_and_folders_are_named() {
    let all = Keepers::new("wrong");
    let path = Path::new(&all.folder).join("wrong.toml");
    let sound = std::fs::read_to_string(all.file("k2.toml")).unwrap();
    let key = all.file("key");
    // What is put in place of what, the exit code, and what is said.
    let cases = [
        (
            "name = \"k2\"\nlisten".to_owned(),
            "name = \"x\"\nlisten".to_owned(),
            1,
            "name: allowed: that of one of `keepers`",
        ),
        ("listen".to_owned(), "lisen".to_owned(), 2, "lisen"),
        (key.clone(), format!("{key}-none"), 1, "key.file"),
        ("number = 1".to_owned(), "number = 1, extra = 2".to_owned(), 2, "extra"),
    ];
    for (from, to, code, wanted) in cases {
        std::fs::write(&path, sound.replacen(&from, &to, 1)).unwrap();
        let output = program(&["keeper", "--config", path.to_str().unwrap()]).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{wanted}: {said}");
        assert!(said.contains(wanted), "{wanted}: {said}");
    }
    // A store that is none.
    std::fs::create_dir_all(all.folder.join("k2")).unwrap();
    std::fs::write(all.folder.join("k2/keeper.redb"), "no store").unwrap();
    let output = program(&["keeper", "--config", &all.file("k2.toml")]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("state_dir"));
}
