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

    /// Starts a follower of the first three under this name; its file is `file`, its log `file.log`, and `more` stands at the
    /// head of it.
    fn follow(&mut self, name: &str, file: &str, more: &str) {
        let part = 1 + (std::process::id() % 250) as u8;
        let path = self.folder.join(format!("{file}.toml"));
        // A file that is there already names its address.
        let before = std::fs::read_to_string(&path).unwrap_or_default();
        let known = before.lines().find(|line| line.starts_with("listen")).map(str::to_owned);
        let listen = known.unwrap_or_else(|| {
            let at = TcpListener::bind((Ipv4Addr::new(127, 81, part, 9), 0)).unwrap().local_addr().unwrap();
            format!("listen = \"{at}\"")
        });
        let state = self.folder.join(file);
        let first = std::fs::read_to_string(self.folder.join("k1-first.toml")).unwrap();
        let key = first.lines().find(|line| line.starts_with("key")).unwrap();
        let keepers = &first[first.find("[[keepers]]").unwrap()..];
        let head = format!("name = {name:?}\n{listen}\nstate_dir = {state:?}\n");
        let key = if more.contains("key =") { "" } else { key };
        std::fs::write(&path, format!("{head}{more}\n{key}\n{keepers}")).unwrap();
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{file}.log")));
        let mut command = program(&["fleet", "follow", "--config", path.to_str().unwrap(), "--log-json"]);
        self.running.push((id_of(file), command.stderr(log.unwrap()).spawn().unwrap()));
    }

    /// Waits until a follower's log has a line with all of these.
    fn until_logged(&self, file: &str, wanted: &[&str]) {
        let path = self.folder.join(format!("{file}.log"));
        let began = Instant::now();
        loop {
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            if text.lines().any(|line| wanted.iter().all(|part| line.contains(part))) {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "{file} never said {wanted:?}: {text}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// How a member stands, by the keepers: its incarnation, and whether it is there.
    fn member(&self, name: &str) -> Option<(u64, bool)> {
        let listed: Value = serde_json::from_slice(&self.call(&["members", "--json"]).stdout).ok()?;
        let member = listed["members"].as_array()?.iter().find(|member| member["name"] == name)?;
        Some((member["incarnation"].as_u64()?, member["standing"] == "there"))
    }

    fn until_member(&self, name: &str, holds: impl Fn(Option<(u64, bool)>) -> bool) -> Option<(u64, bool)> {
        let began = Instant::now();
        loop {
            let member = self.member(name);
            if holds(member) {
                return member;
            }
            assert!(began.elapsed() < PATIENCE, "{name}: {member:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
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

/// Followers are told apart from keepers by numbers of their own.
fn id_of(file: &str) -> u64 {
    1000 + file.bytes().map(u64::from).sum::<u64>()
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

#[test]
fn a_record_that_no_follower_understands_stops_nobody() {
    let mut all = Keepers::new("poison");
    (1..=3).for_each(|id| all.start(id, &format!("k{id}-first.toml")));
    all.follow("s1", "s1", "");
    all.until_done(&["note", "before"]);
    all.until_done(&["propose", "--key", "hall/a", "--kind", "999", "--body", "of a newer build"]);
    all.until_done(&["note", "after"]);
    all.until_logged("s1", &["not acted on", "\"version\":2", "hall/a", "kind 999"]);
    all.until_logged("s1", &["acts on", "\"version\":3"]);
    // One that starts with it on its disk goes on too.
    all.end(id_of("s1"));
    all.follow("s1", "s1", "");
    all.until_done(&["note", "again"]);
    all.until_logged("s1", &["acts on", "\"version\":4"]);
}

#[test]
fn a_key_is_changed_on_running_processes_one_at_a_time() {
    let mut all = Keepers::new("key");
    std::fs::write(all.folder.join("key-2"), "b3".repeat(32)).unwrap();
    (1..=3).for_each(|id| all.start(id, &format!("k{id}-first.toml")));
    all.follow("s1", "s1", "");
    all.until_done(&["note", "0"]);
    let (old, new) = (all.file("key"), all.file("key-2"));
    let first = format!("key = {{ number = 1, file = {old:?} }}");
    // All read both; then all write the new one; then the old one goes. Each is restarted by itself, and notes are decided
    // and acted on in between.
    let steps = [
        format!("key = {{ number = 1, file = {old:?} }}\nother_key = {{ number = 2, file = {new:?} }}"),
        format!("key = {{ number = 2, file = {new:?} }}\nother_key = {{ number = 1, file = {old:?} }}"),
        format!("key = {{ number = 2, file = {new:?} }}"),
    ];
    let mut before = first;
    let mut version = 1;
    for step in steps {
        for id in 1..=3 {
            let path = all.folder.join(format!("k{id}.toml"));
            let text = std::fs::read_to_string(&path).unwrap();
            std::fs::write(&path, text.replace(&before, &step)).unwrap();
            all.end(id);
            all.start(id, &format!("k{id}.toml"));
            all.until_done(&["note", "while it is changed"]);
            version += 1;
        }
        all.end(id_of("s1"));
        all.follow("s1", "s1", &step);
        all.until_logged("s1", &["acts on", &format!("\"version\":{version}")]);
        before = step;
    }
}

#[test]
fn of_two_processes_with_one_name_one_is_a_member_and_one_that_forgot_is_not_kept_out_by_its_ghost() {
    let mut all = Keepers::new("names");
    (1..=3).for_each(|id| all.start(id, &format!("k{id}-first.toml")));
    all.follow("twin", "first", "");
    let (first, _) = all.until_member("twin", |member| member.is_some_and(|(_, there)| there)).unwrap();
    all.follow("twin", "second", "");
    let later =
        all.until_member("twin", |member| member.is_some_and(|(incarnation, _)| incarnation > first));
    all.until_logged("first", &["a later process has this name"]);
    // The first follows on all the same.
    let said = all.until_done(&["note", "for both"]);
    assert!(said.contains("version 1"), "{said}");
    all.until_logged("first", &["acts on", "\"version\":1"]);
    all.until_logged("second", &["acts on", "\"version\":1"]);
    // The second loses its disk, and its clock goes back an hour: what is remembered of it is its own ghost.
    all.end(id_of("second"));
    std::fs::remove_dir_all(all.folder.join("second")).unwrap();
    all.follow("twin", "second", "clock_ahead_ms = -3600000");
    let (before, _) = later.unwrap();
    all.until_member("twin", |member| member.is_some_and(|(now, there)| now > before && there));
    all.until_logged("second", &["an earlier start counted itself higher"]);
}

#[test]
fn a_keeper_does_not_begin_on_the_folder_of_another() {
    let mut all = Keepers::new("folder");
    (1..=3).for_each(|id| all.start(id, &format!("k{id}-first.toml")));
    all.until_done(&["note", "one"]);
    (1..=2).for_each(|id| all.end(id));
    std::fs::copy(all.folder.join("k1/keeper.redb"), all.folder.join("k2/keeper.redb")).unwrap();
    let output = program(&["keeper", "--config", &all.file("k2-first.toml")]).output().unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("the folder of keeper 1"), "{said}");
}
