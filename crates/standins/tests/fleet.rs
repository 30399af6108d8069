//! A fleet over its sockets: what endpoints and discovery answer, and each fault as a caller meets it.

use curlewhub_config::list::{EndpointList, TargetState};
use curlewhub_standins::{Fault, Fleet, FleetSpec, OrderError};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Nothing that a test waits for may take longer, not even on a slow machine.
const PATIENCE: Duration = Duration::from_secs(20);

const FLEET: &str = r#"
seed = 3
[directory]
calls_per_s = 1000.0
idle_line = "100ms"
[[classes]]
name = "quote"
work = "2ms"
[[classes]]
name = "pay"
work = "2ms"
window = "20s"
[[endpoints]]
id = "a"
zone = "one"
machine = { cores = 1, slots = 1, queue = 1 }
[[endpoints]]
id = "b"
zone = "one"
[[endpoints]]
id = "c"
zone = "two"
"#;

fn fleet() -> Fleet {
    Fleet::start(FleetSpec::parse(FLEET).unwrap()).unwrap()
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn request(class: &str, id: &str, key: &str) -> String {
    let key = if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}\r\n") };
    format!(
        "GET /{class}/x HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Timeout: 9000m\r\n{key}Connection: close\r\n\r\n"
    )
}

/// All that comes back on a connection of its own.
fn ask(at: SocketAddr, text: &str) -> std::io::Result<String> {
    let mut stream = connect(at);
    stream.write_all(text.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// The whole list, by one call.
fn fetch(at: SocketAddr) -> std::io::Result<EndpointList> {
    let mut stream = connect(at);
    stream.write_all(b"GET /api/targets HTTP/1.1\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    let (mut line, mut length) = (String::new(), 0);
    while reader.read_line(&mut line)? > 0 && line != "\r\n" {
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().unwrap();
        }
        line.clear();
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    serde_json::from_slice(&body).map_err(|e| std::io::Error::new(ErrorKind::InvalidData, e))
}

#[test]
fn endpoints_serve_count_and_drop_repeats_by_zone() {
    let fleet = fleet();
    let at = |id| fleet.endpoint(id).unwrap();
    assert!(ask(at("a"), &request("quote", "r1", "")).unwrap().ends_with("served r1 at a"));
    assert!(ask(at("a"), &request("nonsense", "r2", "")).unwrap().starts_with("HTTP/1.1 404"));
    assert!(ask(at("a"), "GET /quote/x HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap().contains("404"));
    assert!(ask(at("b"), &request("pay", "r3", "k1")).unwrap().ends_with("served r3 at b"));
    assert!(ask(at("a"), &request("pay", "r4", "k1")).unwrap().ends_with("repeat r4 at a"));
    let totals = fleet.totals();
    assert_eq!((totals.ran, totals.finished, totals.repeats_dropped, totals.ran_twice), (2, 2, 1, 0));
    assert!(ask(at("c"), &request("pay", "r5", "k1")).unwrap().ends_with("served r5 at c"));
    assert_eq!(fleet.totals().ran_twice, 1, "another zone does not know the key");
    assert_eq!(fleet.ledger().twice()[0].0, "k1");
}

#[test]
fn each_fault_is_what_it_says_and_ends_with_heal() {
    let fleet = fleet();
    let at = fleet.endpoint("b").unwrap();
    let order = |fault| fleet.order(Some("b"), fault).unwrap();
    let served = |id: &str| ask(at, &request("quote", id, "")).is_ok_and(|text| text.contains("200 OK"));
    assert!(served("r0"));
    order(Fault::Die);
    wait_for("the end", || TcpStream::connect(at).is_err());
    order(Fault::Heal);
    wait_for("the return", || TcpStream::connect(at).is_ok() && served("r1"));
    order(Fault::Reset { share: 1.0 });
    let error = ask(at, &request("quote", "r2", "")).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    order(Fault::Heal);
    order(Fault::Corrupt { share: 1.0 });
    assert!(ask(at, &request("quote", "r3", "")).unwrap().contains("what is no answer"));
    order(Fault::Heal);
    for fault in [Fault::Hang, Fault::Vanish, Fault::Stall] {
        order(fault);
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(request("quote", "r4", "").as_bytes()).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        let mut answer = String::new();
        let error = stream.read_to_string(&mut answer).unwrap_err();
        assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{fault:?}: {error}");
        assert!(!answer.contains("served"), "{fault:?}");
        order(Fault::Heal);
    }
    assert!(served("r5"), "healed");
    assert_eq!(
        fleet.order(Some("nobody"), Fault::Hang),
        Err(OrderError::UnknownEndpoint("nobody".to_owned()))
    );
    assert_eq!(fleet.order(None, Fault::Hang), Err(OrderError::MissingEndpoint));
    assert_eq!(fleet.order(Some("a"), Fault::DirectoryDown), Err(OrderError::NotOfEndpoints));
}

#[test]
fn what_was_open_at_an_endpoint_that_dies_is_reset() {
    let fleet = fleet();
    let at = fleet.endpoint("b").unwrap();
    fleet.order(Some("b"), Fault::Hang).unwrap();
    let mut stream = connect(at);
    stream.write_all(request("quote", "r1", "").as_bytes()).unwrap();
    wait_for("the request", || fleet.totals().came == 1);
    fleet.order(Some("b"), Fault::Die).unwrap();
    assert_eq!(stream.read(&mut [0; 9]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[test]
fn what_finds_a_full_queue_is_turned_away_unseen() {
    let fleet = fleet();
    let at = fleet.endpoint("a").unwrap();
    fleet.order(Some("a"), Fault::Slow { factor: 1e6 }).unwrap();
    let mut open = Vec::new();
    for n in 0..2 {
        let mut stream = connect(at);
        stream.write_all(request("quote", &format!("r{n}"), "").as_bytes()).unwrap();
        open.push(stream);
    }
    wait_for("both", || fleet.totals().came == 2);
    let answer = ask(at, &request("quote", "r2", "")).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("X-Not-Processed: 1"), "{answer}");
    assert_eq!((fleet.totals().turned_away, fleet.totals().ran), (1, 1));
    drop(open);
    fleet.order(Some("a"), Fault::Heal).unwrap();
    wait_for("capacity", || {
        ask(at, &request("quote", "r3", "")).is_ok_and(|text| text.contains("served r3"))
    });
}

#[test]
fn discovery_lists_watches_resumes_and_fails_as_ordered() {
    let fleet = fleet();
    let at = fleet.addresses().discovery;
    let first = fetch(at).unwrap();
    assert_eq!((first.is_complete, first.targets.len()), (true, 3));
    let mut watch = connect(at);
    write!(watch, "GET /api/targets?watch=1&after={} HTTP/1.1\r\n\r\n", first.rev).unwrap();
    let mut lines = BufReader::new(watch).lines().map_while(Result::ok);
    let mut next = |empty: bool| {
        lines.by_ref().find(|line| if empty { line.is_empty() } else { line.starts_with('{') })
    };
    assert!(next(false).unwrap().contains("\"targets\":[]"), "nothing has changed since");
    assert!(next(true).is_some(), "it says that it lives");
    fleet.order(Some("c"), Fault::Drain).unwrap();
    let change: EndpointList = serde_json::from_str(&next(false).unwrap()).unwrap();
    assert_eq!(
        (change.is_complete, change.targets[0].uid.as_str(), change.targets[0].state),
        (false, "c", TargetState::Draining)
    );
    fleet.order(Some("b"), Fault::Remove).unwrap();
    let change: EndpointList = serde_json::from_str(&next(false).unwrap()).unwrap();
    assert_eq!((change.rev, change.targets[0].state), (first.rev + 2, TargetState::Removed));
    assert_eq!(fetch(at).unwrap().targets.len(), 2);
    fleet.order(None, Fault::DirectoryShort { share: 0.5 }).unwrap();
    assert_eq!(fetch(at).unwrap().targets.len(), 1);
    fleet.order(None, Fault::DirectoryCut).unwrap();
    assert!(fetch(at).is_err());
    fleet.order(None, Fault::Heal).unwrap();
    fleet.order(None, Fault::DirectoryDown).unwrap();
    assert!(next(false).is_none(), "watches end with it");
    assert!(fetch(at).is_err());
    fleet.order(None, Fault::Heal).unwrap();
    assert_eq!(fetch(at).unwrap().targets.len(), 2);
}

#[test]
fn the_control_address_takes_orders_and_shows_the_ledger() {
    let fleet = fleet();
    let mut control = BufReader::new(connect(fleet.addresses().control));
    let mut say = |line: &str| {
        control.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        control.read_line(&mut answer).unwrap();
        serde_json::from_str::<serde_json::Value>(&answer).unwrap()
    };
    assert_eq!(say(r#"{"do":"die","endpoint":"a"}"#)["ok"], true);
    let at = fleet.endpoint("a").unwrap();
    wait_for("the end", || TcpStream::connect(at).is_err());
    assert_eq!(say(r#"{"show":"endpoints"}"#)["endpoints"][0]["alive"], false);
    assert_eq!(say(r#"{"do":"heal","endpoint":"a"}"#)["ok"], true);
    assert_eq!(say(r#"{"show":"ledger"}"#)["totals"]["came"], 0);
    assert_eq!(say(r#"{"do":"slow","endpoint":"a","factor":3.0,"for":"1ms"}"#)["ok"], true);
    assert_eq!(say(r#"{"do":"spoil","endpoint":"a","share":0.5}"#)["ok"], true, "an old name");
    for bad in ["{", "{}", r#"{"do":"explode"}"#, r#"{"do":"die","endpoint":"z"}"#, r#"{"show":"nothing"}"#]
    {
        assert_eq!(say(bad)["ok"], false, "{bad}");
    }
}

#[test]
fn the_example_is_valid_and_a_wrong_file_is_told() {
    let example = include_str!("../../../deploy/standins.toml");
    assert_eq!(FleetSpec::parse(example).unwrap().endpoints.len(), 3);
    let wrong = FLEET.replacen("cores = 1", "cores = 0", 1).replacen(
        "seed = 3",
        "seed = 3\n[[faults]]\nat = \"1s\"\ndo = \"die\"\nendpoint = \"z\"",
        1,
    );
    let problem = FleetSpec::parse(&wrong).unwrap_err().to_string();
    assert!(
        problem.contains("endpoints[0].machine.cores") && problem.contains("faults[0].endpoint"),
        "{problem}"
    );
    let unknown = FleetSpec::parse(&FLEET.replacen("seed", "sed", 1)).unwrap_err();
    assert!(unknown.to_string().contains("sed"), "{unknown}");
}

/// Guards against a stand-in that finds its address in use because of closed connections of an earlier process.
#[test]
fn an_endpoint_takes_an_address_with_connections_of_an_earlier_process_in_time_wait() {
    let earlier = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let at = earlier.local_addr().unwrap();
    let client = connect(at);
    // The end that closes first keeps the connection in TIME_WAIT.
    drop(earlier.accept().unwrap());
    assert_eq!((&client).read(&mut [0]).unwrap(), 0);
    drop((client, earlier));
    let spec = FLEET.replacen("id = \"a\"", &format!("id = \"a\"\naddress = \"{at}\""), 1);
    let fleet = Fleet::start(FleetSpec::parse(&spec).unwrap()).unwrap();
    assert_eq!(fleet.endpoint("a"), Some(at));
}
