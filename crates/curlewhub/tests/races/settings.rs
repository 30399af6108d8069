//! Settings of one customer never affect another: runs the program with settings of each kind, and with
//! invalid ones.

use super::support::script::*;
use super::support::*;
use serde_json::{Value, json};
use std::time::Duration;

/// Settings in the form in which the platform supplies them for the deployments in deploy/sites/, with
/// these classes, tenants and zones.
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

/// Two zones, a class unsafe to retry, and no optional features: as in deploy/sites/ticket-desk-quito.
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

/// One zone, four tenants, a short retry window and drain grace period, and no `Retry-After`: as in
/// deploy/sites/tide-board-busan.
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

fn request_text(class: &str, tenant: &str, id: &str, keyed: bool, body: bool) -> String {
    let method = if body { "POST" } else { "GET" };
    let key = if keyed { "Idempotency-Key: k1\r\n" } else { "" };
    let (length, text) = if body { ("Content-Length: 4\r\n", "body") } else { ("", "") };
    format!(
        "{method} /{class}/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: {id}\r\nX-Tenant-Id: {tenant}\r\nX-Timeout: 1500m\r\n\
         {key}{length}\r\n{text}"
    )
}

fn response_to(sidecar: &Sidecar, text: &str) -> Message {
    let mut wire = RawConnection::connect(sidecar.address);
    wire.write(text);
    wire.read().expect("a response")
}

fn set_known_endpoints(config: &mut Value, addresses: &[std::net::SocketAddr]) {
    let entry = |(n, at): (usize, &std::net::SocketAddr)| target(&format!("s-{n}"), *at, "up");
    let targets: Vec<Value> = addresses.iter().enumerate().map(entry).collect();
    config["known"] = list(7, true, &targets);
}

#[test]
fn each_deployment_accepts_only_its_own_classes_tenants_and_semantics() {
    let peer = Peer::serving("ok");
    let deployments = [
        (
            ticket_desk(),
            "teatro-sol",
            vec![("seat-search", false, false), ("seat-hold", true, true), ("card-charge", false, true)],
        ),
        (tide_board(), "fishers-union", vec![("level-read", false, false), ("gauge-write", true, true)]),
    ];
    let other_classes =
        ["proof-view", "job-submit", "schedule-read", "dose-record", "quote", "book", "pay"];
    for (mut config, tenant, classes) in deployments {
        set_known_endpoints(&mut config, &[peer.address]);
        let sidecar = Sidecar::start(&config);
        for (class, keyed, body) in &classes {
            assert_eq!(
                response_to(&sidecar, &request_text(class, tenant, "r1", *keyed, *body)).status(),
                200,
                "{class}"
            );
            // A request that does not fit the class's semantics is rejected, whatever the class is called.
            let wrong = match body {
                true => request_text(class, tenant, "r2", !keyed, true),
                false => request_text(class, tenant, "r2", false, true),
            };
            let wrong = response_to(&sidecar, &wrong).status();
            assert!((400..500).contains(&wrong), "{class}: {wrong}");
        }
        for class in other_classes {
            assert_eq!(
                response_to(&sidecar, &request_text(class, tenant, "r3", false, false)).status(),
                404,
                "{class}"
            );
        }
        let stranger =
            response_to(&sidecar, &request_text(classes[0].0, "delta-press", "r4", false, false));
        assert_eq!(stranger.status(), 400);
        let figures = sidecar.call("INFO");
        assert!(classes.iter().all(|(class, ..)| figures.contains(&format!("router.success.{class}:1|c"))));
        assert!(other_classes.iter().all(|class| !figures.contains(&format!(".{class}:"))), "{figures}");
    }
}

#[test]
fn an_unsafe_request_is_retried_only_if_it_certainly_never_ran() {
    // What the first endpoint does, and whether the request may be retried at another.
    type Case = (&'static str, fn(RawConnection), bool);
    let cases: [Case; 4] = [
        ("written completely, then reset", RawConnection::reset, false),
        (
            "returned unprocessed",
            |mut wire| wire.write(&answer("503 No", "X-Not-Processed: 1\r\n", "")),
            true,
        ),
        ("an error", |mut wire| wire.write(&answer("500 No", "", "")), false),
        ("a 503 that does not say so", |mut wire| wire.write(&answer("503 No", "", "")), false),
    ];
    for (what, end, retried) in cases {
        let (listener, mut config) = (ScriptedListener::new(), ticket_desk());
        // The only endpoint at first, so that it gets the request; the other is announced during the
        // attempt.
        let (discovery, other) = (ScriptedListener::new(), Peer::serving("ok"));
        set_known_endpoints(&mut config, &[listener.address]);
        config["discovery"] = json!(discovery.address.to_string());
        let sidecar = Sidecar::start(&config);
        let (mut watch, _) = discovery.accept_request();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&request_text("card-charge", "teatro-sol", "r1", false, true));
        // The attempt is at the first endpoint before there is another.
        let (wire, _) = listener.accept_request();
        watch.write_chunk(&format!("{}\n", list(8, false, &[target("s-1", other.address, "up")])));
        wait_for("the other endpoint", || sidecar.metric("hosts_listed") == 2);
        end(wire);
        let status = client.read().expect("a response").status();
        assert_eq!(status == 200, retried, "{what}: {status}");
        assert!(
            retried || !matches!(status, 429 | 503),
            "{what}: this status would claim that the request never ran"
        );
        assert_eq!(other.request_count(), usize::from(retried), "{what}");
    }
}

#[test]
fn attempts_stay_within_max_attempts_without_second_copies() {
    for max_attempts in [1, 2, 4] {
        let mut config = tide_board();
        config["settings"]["limits"]["maxAttempts"] = json!(max_attempts);
        config["settings"]["limits"]["secondCopies"] = json!(false);
        let peers: Vec<Peer> =
            (0..6).map(|_| Peer::new(|_| Action::Write(answer("500 No", "", "")))).collect();
        let addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
        set_known_endpoints(&mut config, &addresses);
        let sidecar = Sidecar::start(&config);
        let status =
            response_to(&sidecar, &request_text("level-read", "ferry-line", "r1", false, false)).status();
        assert_ne!(status, 200);
        let made: usize = peers.iter().map(Peer::request_count).sum();
        assert!((1..=max_attempts).contains(&made), "{made} of {max_attempts}");
    }
}

#[test]
fn retry_after_is_sent_only_if_settings_allow_it() {
    for (mut config, class, tenant, expected) in [
        (ticket_desk(), "seat-search", "teatro-sol", true),
        (tide_board(), "level-read", "ferry-line", false),
    ] {
        set_known_endpoints(&mut config, &[]);
        let sidecar = Sidecar::start(&config);
        let refused = response_to(&sidecar, &request_text(class, tenant, "r1", false, false));
        assert_eq!(refused.status(), 503);
        assert_eq!(!refused.header("retry-after").is_empty(), expected, "{class}");
    }
}

#[test]
fn an_invalid_setting_is_reported_as_one_error_that_names_its_field() {
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
    let mut unclear_errors = Vec::new();
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
            unclear_errors.push(format!("{field} = {value}: {status}, {said}"));
        }
    }
    assert!(unclear_errors.is_empty(), "{unclear_errors:#?}");
    let whole = ticket_desk().to_string();
    for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
        let (status, said) = run_for_5s(&whole[..cut]);
        assert!(status.code() == Some(2) && !said.contains("panicked"), "{cut}: {said}");
    }
}

#[test]
fn a_connect_attempt_fails_after_the_configured_timeout() {
    let (slow_endpoint, mut config) = (FullBacklogListener::new(), ticket_desk());
    set_known_endpoints(&mut config, &[slow_endpoint.address]);
    config["settings"]["limits"]["maxAttempts"] = json!(1);
    let sidecar = Sidecar::start(&config);
    let mut client = RawConnection::connect(sidecar.address);
    client.write(&request_text("card-charge", "teatro-sol", "r1", false, true));
    // The settings allow 300 ms to connect: the request is rejected, as it never ran, well before its
    // timeout.
    let response = client.read_within(Duration::from_millis(1200)).expect("a response before 1,500 ms");
    assert_eq!(response.status(), 503);
}
