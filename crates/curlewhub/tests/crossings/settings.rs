//! Settings of one customer never show at another: the program on settings of each kind, and on wrong ones.

use super::support::script::*;
use super::support::*;
use serde_json::{Value, json};
use std::time::Duration;

/// Settings as the platform gives them for the deployments in deploy/sites/, with these classes.
fn settings(classes: Value, tenants: Value, zones: Value, change: impl FnOnce(&mut Value)) -> Value {
    let mut config = config_with_operator(&[]);
    let settings = &mut config["settings"];
    settings["classes"] = classes;
    settings["tenants"] = tenants;
    settings["areas"] = zones;
    change(settings);
    config
}

fn class(name: &str, effect: &str, deadline: f64, window: f64) -> Value {
    json!({"name": name, "semantics": effect, "group": "cell", "repeatWindowMs": window, "objectiveMs": deadline / 2.0,
           "deadlineMs": deadline, "worth": 3.0, "lateValue": 0.0})
}

/// Two halls, a class unsafe to repeat, nothing optional allowed: as deploy/sites/ticket-desk-quito.
fn ticket_desk() -> Value {
    let classes = json!([
        class("seat-search", "safe", 2400.0, 0.0),
        class("seat-hold", "keyed", 3000.0, 4000.0),
        class("card-charge", "unsafe", 3500.0, 0.0),
    ]);
    let tenants = json!([{"name": "teatro-sol", "allowancePerS": 50.0, "portion": 1.0}]);
    settings(classes, tenants, json!(["patio-norte", "patio-sur"]), |settings| {
        settings["discovery"] = json!("automatic");
        for (name, value) in [
            ("cancelling", json!(false)),
            ("secondCopies", json!(false)),
            ("probes", json!(false)),
            ("maxAttempts", json!(2)),
            ("connectTimeoutMs", json!(300.0)),
        ] {
            settings["limits"][name] = value;
        }
        settings["rules"]["drainGraceMs"] = json!(600.0);
    })
}

/// One zone, four tenants, a short window and grace, no time to come back: as deploy/sites/tide-board-busan.
fn tide_board() -> Value {
    let classes = json!([
        class("level-read", "safe", 2000.0, 0.0),
        {"name": "gauge-write", "semantics": "keyed", "group": "all", "repeatWindowMs": 1200.0,
         "objectiveMs": 700.0, "deadlineMs": 1600.0, "worth": 6.0, "lateValue": 0.1},
    ]);
    let tenants = ["harbour-north", "harbour-south", "ferry-line", "fishers-union"]
        .map(|name| json!({"name": name, "allowancePerS": 20.0, "portion": 0.25}));
    settings(classes, json!(tenants), json!(["pier-1"]), |settings| {
        settings["limits"]["retryAfter"] = json!(false);
        settings["limits"]["maxAttempts"] = json!(4);
        settings["rules"]["drainGraceMs"] = json!(150.0);
    })
}

fn ask(class: &str, tenant: &str, id: &str, keyed: bool, body: bool) -> String {
    let method = if body { "POST" } else { "GET" };
    let key = if keyed { "Idempotency-Key: k1\r\n" } else { "" };
    let (length, text) = if body { ("Content-Length: 4\r\n", "body") } else { ("", "") };
    format!(
        "{method} /{class}/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: {id}\r\nX-Tenant-Id: {tenant}\r\nX-Timeout: 1500m\r\n\
         {key}{length}\r\n{text}"
    )
}

fn answer_to(sidecar: &Sidecar, text: &str) -> Message {
    let mut wire = RawConnection::connect(sidecar.address);
    wire.write(text);
    wire.read().expect("an answer")
}

fn known(config: &mut Value, addresses: &[std::net::SocketAddr]) {
    let entry = |(n, at): (usize, &std::net::SocketAddr)| target(&format!("s-{n}"), *at, "up");
    let targets: Vec<Value> = addresses.iter().enumerate().map(entry).collect();
    config["known"] = list(7, true, &targets);
}

#[test]
fn each_deployment_knows_its_own_classes_tenants_and_effects_and_no_others() {
    let peer = Peer::serving("ok");
    let ours = [
        (
            ticket_desk(),
            "teatro-sol",
            vec![("seat-search", false, false), ("seat-hold", true, true), ("card-charge", false, true)],
        ),
        (tide_board(), "fishers-union", vec![("level-read", false, false), ("gauge-write", true, true)]),
    ];
    let theirs = ["proof-view", "job-submit", "schedule-read", "dose-record", "quote", "book", "pay"];
    for (mut config, tenant, classes) in ours {
        known(&mut config, &[peer.address]);
        let sidecar = Sidecar::start(&config);
        for (class, keyed, body) in &classes {
            assert_eq!(
                answer_to(&sidecar, &ask(class, tenant, "r1", *keyed, *body)).status(),
                200,
                "{class}"
            );
            // The wrong way of asking is refused by its effect, whatever its name.
            let wrong = match body {
                true => ask(class, tenant, "r2", !keyed, true),
                false => ask(class, tenant, "r2", false, true),
            };
            let wrong = answer_to(&sidecar, &wrong).status();
            assert!((400..500).contains(&wrong), "{class}: {wrong}");
        }
        for class in theirs {
            assert_eq!(
                answer_to(&sidecar, &ask(class, tenant, "r3", false, false)).status(),
                404,
                "{class}"
            );
        }
        let stranger = answer_to(&sidecar, &ask(classes[0].0, "delta-press", "r4", false, false));
        assert_eq!(stranger.status(), 400);
        let figures = sidecar.call("INFO");
        assert!(classes.iter().all(|(class, ..)| figures.contains(&format!("router.success.{class}:1|c"))));
        assert!(theirs.iter().all(|class| !figures.contains(&format!(".{class}:"))), "{figures}");
    }
}

#[test]
fn an_unsafe_request_goes_again_only_where_it_surely_never_ran() {
    // How the first endpoint ends the attempt, and whether it may go on to another.
    type Ends = (&'static str, fn(RawConnection), bool);
    let cases: [Ends; 4] = [
        ("written whole, then reset", RawConnection::reset, false),
        (
            "handed back unseen",
            |mut wire| wire.write(&answer("503 No", "X-Not-Processed: 1\r\n", "")),
            true,
        ),
        ("an error", |mut wire| wire.write(&answer("500 No", "", "")), false),
        ("a 503 that does not say so", |mut wire| wire.write(&answer("503 No", "", "")), false),
    ];
    for (what, end, again) in cases {
        let (stage, mut config) = (ScriptedListener::new(), ticket_desk());
        // Alone, so that it is the first; the other one is told of while the attempt is out.
        let (discovery, other) = (ScriptedListener::new(), Peer::serving("ok"));
        known(&mut config, &[stage.address]);
        config["discovery"] = json!(discovery.address.to_string());
        let sidecar = Sidecar::start(&config);
        let (mut watch, _) = discovery.accept_request();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&ask("card-charge", "teatro-sol", "r1", false, true));
        // It is out at the first one before there is another.
        let (wire, _) = stage.accept_request();
        watch.write_chunk(&format!("{}\n", list(8, false, &[target("s-1", other.address, "up")])));
        wait_for("the other one", || sidecar.metric("hosts_listed") == 2);
        end(wire);
        let status = client.read().expect("an answer").status();
        assert_eq!(status == 200, again, "{what}: {status}");
        assert!(again || !matches!(status, 429 | 503), "{what}: a refusal says that it never ran");
        assert_eq!(other.request_count(), usize::from(again), "{what}");
    }
}

#[test]
fn no_more_attempts_are_made_than_settings_allow_and_no_two_at_once_where_they_forbid_copies() {
    for most in [1, 2, 4] {
        let mut config = tide_board();
        config["settings"]["limits"]["maxAttempts"] = json!(most);
        config["settings"]["limits"]["secondCopies"] = json!(false);
        let peers: Vec<Peer> =
            (0..6).map(|_| Peer::new(|_| Action::Write(answer("500 No", "", "")))).collect();
        let addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
        known(&mut config, &addresses);
        let sidecar = Sidecar::start(&config);
        let status = answer_to(&sidecar, &ask("level-read", "ferry-line", "r1", false, false)).status();
        assert_ne!(status, 200);
        let made: usize = peers.iter().map(Peer::request_count).sum();
        assert!((1..=most).contains(&made), "{made} of {most}");
    }
}

#[test]
fn a_time_to_come_back_is_said_only_where_settings_allow_it() {
    for (mut config, class, tenant, says) in [
        (ticket_desk(), "seat-search", "teatro-sol", true),
        (tide_board(), "level-read", "ferry-line", false),
    ] {
        known(&mut config, &[]);
        let sidecar = Sidecar::start(&config);
        let refused = answer_to(&sidecar, &ask(class, tenant, "r1", false, false));
        assert_eq!(refused.status(), 503);
        assert_eq!(!refused.header("retry-after").is_empty(), says, "{class}");
    }
}

#[test]
fn a_wrong_setting_is_one_clear_error_that_names_its_field() {
    let wrong: [(&str, &[&str], Value); 14] = [
        ("classes", &["classes"], json!([])),
        ("classes", &["classes"], json!("all")),
        ("deadlineMs", &["classes", "0", "deadlineMs"], json!(-5.0)),
        ("deadlineMs", &["classes", "0", "deadlineMs"], json!("soon")),
        ("objectiveMs", &["classes", "0", "objectiveMs"], json!(null)),
        ("semantics", &["classes", "0", "semantics"], json!("harmless")),
        ("repeatWindowMs", &["classes", "1", "repeatWindowMs"], json!(-1.0)),
        ("group", &["classes", "1", "group"], json!("street")),
        ("name", &["classes", "0", "name"], json!(7)),
        ("discovery", &["discovery"], json!("guess")),
        ("limits.max_attempts", &["limits", "maxAttempts"], json!(0)),
        ("drainGraceMs", &["rules", "drainGraceMs"], json!("long")),
        ("rules.cold_share", &["rules", "coldShare"], json!(-0.5)),
        ("rules.fall_multiple", &["rules", "fallMultiple"], json!(-1.0)),
    ];
    let mut unclear = Vec::new();
    for (field, path, value) in wrong {
        let mut config = ticket_desk();
        let mut at = &mut config["settings"];
        for step in path {
            at = match step.parse::<usize>() {
                Ok(index) => &mut at[index],
                Err(_) => &mut at[*step],
            };
        }
        *at = value.clone();
        let (status, said) = run_for_5s(&config.to_string());
        let clear = status.code() == Some(2) && said.contains(field) && !said.contains("panicked");
        if !clear || said.lines().filter(|line| line.contains(field)).count() != 1 {
            unclear.push(format!("{field} = {value}: {status}, {said}"));
        }
    }
    assert!(unclear.is_empty(), "{unclear:#?}");
    let whole = ticket_desk().to_string();
    for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
        let (status, said) = run_for_5s(&whole[..cut]);
        assert!(status.code() == Some(2) && !said.contains("panicked"), "{cut}: {said}");
    }
}

#[test]
fn connections_that_fall_silent_are_given_up_in_the_times_of_these_settings() {
    let (door, mut config) = (FullBacklogListener::new(), ticket_desk());
    known(&mut config, &[door.address]);
    config["settings"]["limits"]["maxAttempts"] = json!(1);
    let sidecar = Sidecar::start(&config);
    let mut client = RawConnection::connect(sidecar.address);
    client.write(&ask("card-charge", "teatro-sol", "r1", false, true));
    // 300 ms to connect, by its settings: refused, as it never ran, and well before its time is up.
    let answer = client.read_within(Duration::from_millis(1200)).expect("an answer before 1,500 ms");
    assert_eq!(answer.status(), 503);
}
