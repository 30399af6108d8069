//! All watches are reset and discovery then has more callers than it can serve. An endpoint that goes in that time
//! must get nothing new once its going counts as told.
#[path = "../common-2/lib.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["hall-nasr", "hall-maadi", "hall-giza"];
const WORK_MS: u64 = 60;
const TIMEOUT_MS: u64 = 3000;
/// How long a call waits until it fails.
const QUEUE: Duration = Duration::from_millis(3000);
/// The endpoint goes so long after the watches were reset.
const GOES_AFTER: Duration = Duration::from_millis(1500);
/// What discovery has counts as told this much later; then comes the grace, and every time limit grows by 50 ms.
const TOLD_AFTER: Duration = Duration::from_millis(6000 + 250 + 50);
/// The crowd lasts this long.
const CROWD: Duration = Duration::from_secs(18);
const CLIENTS: usize = 12;

/// Each request's first byte at an endpoint: which one, and when.
type Begun = Arc<Mutex<Vec<(usize, Instant, String)>>>;

fn serve(mut stream: TcpStream, n: usize, begun: &Begun, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = Message::read(&mut reader)?;
        let id = request.header("x-request-id").to_owned();
        begun.lock().unwrap().push((n, Instant::now(), id.clone()));
        record.line(&format!("s-{n}: {id} has come"));
        thread::sleep(ms(WORK_MS));
        stream.write_all(&answer("200 OK", "", &id)).ok()?;
    }
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let begun = Begun::default();
    let mut targets = Vec::new();
    for n in 0..9 {
        let (listener, address) = listen();
        let (zone, kind) = (HALLS[n / 3].to_owned(), "front-mid".to_owned());
        let cell = n as u64 / 3;
        targets.push(Target { uid: format!("s-{n}"), address, zone, kind, cell, state: "up", boot_ms: 0 });
        let (begun, record) = (begun.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (begun, record) = (begun.clone(), record.clone());
                thread::spawn(move || serve(stream, n, &begun, &record));
            }
        });
    }
    let discovery = Discovery::start(&record, targets.clone());
    let told = Told {
        name: "n0".into(),
        listen: free_address(),
        operator: None,
        discovery: discovery.address,
        memory_mb: 192,
        sockets: 1024,
        known: discovery.known(),
        settings: cairo(1, 0, 0),
    };
    let mut sidecar = Sidecar::start(&told, &folder.0);
    sidecar.wait_ready();
    thread::sleep(ms(3000));
    let (start, served) = (Instant::now(), Arc::new(Mutex::new(0)));
    let day = ms(2000) + CROWD + ms(3000);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (served, to, record) = (served.clone(), told.listen, record.clone());
            thread::spawn(move || client(to, start, day, &served, &record))
        })
        .collect();
    thread::sleep(ms(2000));
    if trouble() {
        discovery.set_crowded(Some(QUEUE));
        discovery.reset_watches();
        record.say("all watches are reset, and discovery has too many callers from now on");
    }
    thread::sleep(GOES_AFTER);
    let gone = 1;
    discovery.change(Target { state: "removed", ..targets[gone].clone() });
    let at = Instant::now();
    record.say(&format!("s-{gone} is replaced: discovery has it as gone, and it still answers"));
    thread::sleep(CROWD - GOES_AFTER);
    discovery.set_crowded(None);
    record.say("discovery answers again");
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(sidecar);
    drop(folder);
    let begun = begun.lock().unwrap();
    let late: Vec<_> = begun.iter().filter(|(n, when, _)| *n == gone && *when > at + TOLD_AFTER).collect();
    for (_, when, id) in &late {
        let after = (*when - at).as_secs_f64();
        record.line(&format!("BROKEN: {id} came to s-{gone} {after:.3} s after discovery had it as gone"));
    }
    let last = late.iter().map(|(_, when, _)| (*when - at).as_secs_f64()).fold(0.0, f64::max);
    let served = *served.lock().unwrap();
    record.say(&format!(
        "served {served}; sent to s-{gone} after that counted as told: {}, the last after {last:.3} s",
        late.len()
    ));
    if served == 0 {
        could_not_run("nothing was served");
    }
    std::process::exit(i32::from(!late.is_empty()));
}

fn client(
    to: SocketAddr,
    start: Instant,
    day: Duration,
    served: &Mutex<usize>,
    record: &Record,
) -> Option<()> {
    let mut kept: Option<TcpStream> = None;
    while start.elapsed() < day {
        let id = new_id();
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => TcpStream::connect(to).ok()?,
        };
        let target = "/proof-view";
        let head = Head {
            method: "GET",
            target,
            id: &id,
            tenant: "delta-press",
            timeout_ms: TIMEOUT_MS,
            key: None,
            length: None,
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(TIMEOUT_MS + 1000)));
        record.line(&format!("client: sends {id}"));
        if stream.write_all(&head.bytes()).is_err() {
            continue;
        }
        let Some(message) = Message::read(&mut BufReader::new(&stream)) else {
            record.line(&format!("client: {id} got no answer"));
            continue;
        };
        record.line(&format!("client: {id} got {}", message.status()));
        *served.lock().unwrap() += usize::from(message.status() == 200);
        thread::sleep(ms(100));
        if !message.header("connection").eq_ignore_ascii_case("close") {
            kept = Some(stream);
        }
    }
    Some(())
}
