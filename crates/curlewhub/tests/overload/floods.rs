//! One client that sends at full speed, sound or not, under names that are new each time: other clients are served in
//! time, and the sidecar stays within its memory.

use crate::support::memory::Watch;
use crate::support::{Client, Peer, Sidecar, config_with_operator, request};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Other clients beside it, and the pause between their requests.
const OTHER_CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(20);
/// The time that each of their requests has.
const OTHERS_TIMEOUT: Duration = Duration::from_secs(1);
/// The share of the others' requests that is served in time.
const MIN_SERVED_SHARE: f64 = 0.99;
const MEMORY_MB: usize = 32;

/// What the flooding client sends, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flood {
    /// Requests, each after the answer to the one before.
    InTurn(Content),
    /// Requests that do not wait for answers, which are read and dropped.
    Pipelined(Content),
    /// Requests whose answers are never read.
    Unread(Content),
    /// Requests on a new connection each.
    Reconnecting(Content),
    /// Connections without a request.
    Connects,
}

/// One request of a flood.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Content {
    /// A sound one under a new id.
    Sound,
    /// A sound job under a new id and key.
    Job,
    NewTenant,
    NewPath,
    NewUser,
    /// Without an id.
    NoId,
    /// Bytes that are no HTTP.
    NoHttp,
}

impl Content {
    fn text(self, number: usize) -> String {
        let id = format!("flood-{number}");
        let sound = request("quote", &id, "1000m");
        match self {
            Content::Sound => sound,
            Content::Job => request("pay", &id, "1000m")
                .replace("Idempotency-Key: k1", &format!("Idempotency-Key: key-{number}")),
            Content::NewTenant => sound.replace("acme", &format!("tenant-{number}")),
            Content::NewPath => sound.replace("/quote/x", &format!("/path-{number}/x")),
            Content::NewUser => sound.replace("7f3a9c21e0b4d655", &format!("{number:016x}")),
            Content::NoId => sound.replace("X-Request-ID", "X-Other-ID"),
            Content::NoHttp => format!("\u{1}\u{2}{number}\r\n\r\n"),
        }
    }
}

fn connect(to: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(to).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(500))).ok()?;
    Some(stream)
}

/// Floods the sidecar until stopped; the number of requests sent.
fn flood(to: SocketAddr, flood: Flood, stop: &AtomicBool) -> usize {
    let mut sent = 0;
    while !stop.load(Ordering::SeqCst) {
        let Some(stream) = connect(to) else { continue };
        match flood {
            Flood::Connects => sent += 1,
            Flood::InTurn(content) => in_turn(stream, content, &mut sent, usize::MAX, stop),
            Flood::Reconnecting(content) => in_turn(stream, content, &mut sent, 1, stop),
            Flood::Pipelined(content) => {
                let reader = stream.try_clone().unwrap();
                thread::scope(|scope| {
                    scope.spawn(move || drop(std::io::copy(&mut { reader }, &mut std::io::sink())));
                    write_many(&stream, content, &mut sent, stop);
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
            Flood::Unread(content) => write_many(&stream, content, &mut sent, stop),
        }
    }
    sent
}

/// Sends up to `most` requests, each after the answer to the one before.
fn in_turn(mut stream: TcpStream, content: Content, sent: &mut usize, most: usize, stop: &AtomicBool) {
    let mut piece = [0; 4096];
    for _ in 0..most {
        *sent += 1;
        let is_done =
            stop.load(Ordering::SeqCst) || stream.write_all(content.text(*sent).as_bytes()).is_err();
        // Short answers come in one piece.
        if is_done || !stream.read(&mut piece).is_ok_and(|count| count > 0) {
            return;
        }
    }
}

/// Sends requests one behind the other until the connection breaks or takes no more.
fn write_many(mut stream: &TcpStream, content: Content, sent: &mut usize, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let batch: String = (0..16).map(|number| content.text(*sent + number)).collect();
        *sent += 16;
        if stream.write_all(batch.as_bytes()).is_err() {
            return;
        }
    }
}

/// How the requests of the other clients went.
#[derive(Default)]
struct Others {
    served: usize,
    times: Vec<Duration>,
    /// By status, those that were not served in time; none without an answer.
    unserved: Vec<Option<u16>>,
}

/// Sends requests beside the flood until stopped.
fn other_client(sidecar: &Sidecar, name: usize, stop: &AtomicBool) -> Others {
    let mut others = Others::default();
    let mut kept: Option<Client> = None;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return others;
        }
        let start = Instant::now();
        let text = request("quote", &format!("other-{name}-{number}"), "1000m");
        let answer = kept.take().or_else(|| Client::connect(sidecar.address)).and_then(|mut client| {
            client.send(&text);
            let answer = client.receive()?;
            kept = (answer.header("connection") != "close").then_some(client);
            Some(answer.status())
        });
        let is_served = answer == Some(200) && start.elapsed() <= OTHERS_TIMEOUT;
        others.served += usize::from(is_served);
        others.unserved.extend((!is_served).then_some(answer));
        others.times.push(start.elapsed());
        thread::sleep(PAUSE);
    }
    others
}

/// Clients that connect, say nothing or stop in a request's first line, and come again as soon as they are closed.
const IDLE_CLIENTS: usize = 600;
/// Their pause before they come again.
const IDLE_PAUSE: Duration = Duration::from_millis(60);
/// Descriptors of a sidecar that idle clients fill.
const FEW_SOCKETS: u32 = 160;
/// The time of a request beside them, and that behind it in which an answer only earns nothing.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);
const LATE_GRACE: Duration = Duration::from_millis(500);

fn idle_client(to: SocketAddr, is_silent: bool, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        if let Ok(mut stream) = TcpStream::connect(to) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            if !is_silent {
                let _ = stream.write_all(b"GET /quote/x HTT");
            }
            let _ = stream.read(&mut [0]);
        }
        thread::sleep(IDLE_PAUSE);
    }
}

/// Sends each request on a connection of its own. Returns how many were served, and the times of those that were answered
/// too late or not at all; a connection may be closed unread.
fn new_clients(to: SocketAddr, name: usize, stop: &AtomicBool) -> (usize, Vec<Duration>) {
    let (mut served, mut late) = (0, Vec::new());
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let start = Instant::now();
        let Ok(mut stream) = TcpStream::connect(to) else { continue };
        let sent = Instant::now();
        let text = request("quote", &format!("new-{name}-{number}"), "500m");
        let mut first = [0; 12];
        let latest = SHORT_TIMEOUT + LATE_GRACE;
        stream.set_read_timeout(Some(2 * latest)).unwrap();
        let answered = stream.write_all(text.as_bytes()).and_then(|()| stream.read_exact(&mut first));
        served += usize::from(answered.is_ok() && first.ends_with(b"200"));
        let is_shut = answered.is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock);
        if sent.elapsed() > latest && !is_shut {
            late.push(start.elapsed());
        }
        thread::sleep(PAUSE);
    }
    (served, late)
}

fn config() -> (Peer, Value) {
    let peer = Peer::serving("ok");
    let mut config = config_with_operator(&[&peer]);
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    config["settings"]["classes"][2]["group"] = json!("zone");
    (peer, config)
}

/// Floods a sidecar; what went wrong.
fn check(kind: Flood) -> Vec<String> {
    let (_peer, config) = config();
    let sidecar = Sidecar::start(&config);
    let (stop, sent) = (AtomicBool::new(false), AtomicUsize::new(0));
    let mut watch = Watch::default();
    let others = thread::scope(|scope| {
        let clients: Vec<_> = (0..OTHER_CLIENTS)
            .map(|name| {
                let (sidecar, stop) = (&sidecar, &stop);
                scope.spawn(move || other_client(sidecar, name, stop))
            })
            .collect();
        scope.spawn(|| sent.store(flood(sidecar.address, kind, &stop), Ordering::SeqCst));
        watch.watch(&[&sidecar], FLOOD_TIME);
        stop.store(true, Ordering::SeqCst);
        let all = clients.into_iter().map(|client| client.join().unwrap());
        all.fold(Others::default(), |mut sum, one| {
            sum.served += one.served;
            sum.times.extend(one.times);
            sum.unserved.extend(one.unserved);
            sum
        })
    });
    let mut times = others.times.clone();
    times.sort();
    let p99 = times[times.len() * 99 / 100];
    let share = others.served as f64 / times.len() as f64;
    let memory = watch.most_kib();
    println!(
        "{kind:?}: {} sent, others {} asked, {share:.3} served, p99 {p99:?}, {memory} KiB",
        sent.load(Ordering::SeqCst),
        times.len()
    );
    let mut faults = Vec::new();
    if share < MIN_SERVED_SHARE {
        let unserved = others.unserved;
        faults.push(format!(
            "{kind:?}: {share:.3} of the others' requests served, p99 {p99:?}: {unserved:?}"
        ));
    }
    if memory > MEMORY_MB * 1024 {
        faults.push(format!("{kind:?}: {memory} KiB resident of {MEMORY_MB} MB"));
    }
    faults
}

/// Guards against one client's flood that takes the others' answers, or grows the memory without end.
#[test]
fn a_flood_on_one_connection_neither_delays_others_nor_grows_the_memory() {
    use Content::*;
    let contents = [Sound, Job, NewTenant, NewPath, NewUser, NoId, NoHttp];
    let ways: [fn(Content) -> Flood; 4] =
        [Flood::InTurn, Flood::Pipelined, Flood::Unread, Flood::Reconnecting];
    let all = std::env::var("CURLEWHUB_ALL_FLOODS").is_ok();
    let kinds = ways.into_iter().flat_map(|way| contents.into_iter().map(way));
    let kept = [
        Flood::InTurn(Job),
        Flood::InTurn(NewUser),
        Flood::Pipelined(Sound),
        Flood::Unread(NoId),
        Flood::Reconnecting(NewTenant),
    ];
    let faults: Vec<String> = kinds.filter(|kind| all || kept.contains(kind)).flat_map(check).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// As above, by connections that are opened and closed without a request.
#[test]
fn a_flood_of_connections_neither_delays_others_nor_grows_the_memory() {
    let faults = check(Flood::Connects);
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against requests that wait unread behind idle connections until they are answered after their time: a connection
/// for which there is no place is shut, or served in time.
#[test]
fn a_new_client_does_not_wait_behind_idle_ones_for_longer_than_its_time() {
    let (_peer, mut config) = config();
    config["limits"]["sockets"] = json!(FEW_SOCKETS);
    let sidecar = Sidecar::start(&config);
    let stop = AtomicBool::new(false);
    let (served, late) = thread::scope(|scope| {
        for number in 0..IDLE_CLIENTS {
            let (stop, address) = (&stop, sidecar.address);
            scope.spawn(move || idle_client(address, number % 2 == 0, stop));
        }
        let clients: Vec<_> = (0..OTHER_CLIENTS)
            .map(|name| {
                let (stop, address) = (&stop, sidecar.address);
                scope.spawn(move || new_clients(address, name, stop))
            })
            .collect();
        thread::sleep(2 * FLOOD_TIME);
        stop.store(true, Ordering::SeqCst);
        let all = clients.into_iter().map(|client| client.join().unwrap());
        all.fold((0, Vec::new()), |(served, mut late), (more, times)| {
            late.extend(times);
            (served + more, late)
        })
    });
    println!("{served} served, late {late:?}");
    assert!(late.is_empty(), "{late:?}");
    assert!(served > 0);
}
