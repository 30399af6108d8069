//! Case: long bodies and answers, more at once than memory holds. The platform stand-in kills a sidecar over `memory_mb`.
mod world;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

/// The limits that the sidecar is told.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// Clients, each with one connection: under a third of the descriptors.
const CLIENTS: usize = 120;
/// Bytes of bodies and of answers: the long ones, and without the disruption.
const LONG: (usize, usize) = (900_000, 1_000_000);
const USUAL: (usize, usize) = (212, 2_000);
const LENGTH: Duration = Duration::from_secs(40);

/// Starts an endpoint that reads each request to its end, works for 300 to 700 ms and answers.
fn endpoint(uid: &str, zone: &str, length: usize, field: &Field) -> Arc<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let field = field.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let field = field.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
                answer.resize(answer.len() + length, b'a');
                while wire.read(far()).is_some() {
                    thread::sleep(Duration::from_secs_f64(field.random.between(0.3, 0.7)));
                    if wire.stream.write_all(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Arc::new(Endpoint {
        uid: uid.to_owned(),
        zone: zone.to_owned(),
        address,
        draining: AtomicBool::new(false),
        work_ms: (0.0, 0.0),
        seconds: Mutex::default(),
    })
}

/// Sends jobs one after another with bodies of this length, and reads each answer whole.
fn client(to: SocketAddr, name: usize, body: usize, field: &Field, stop: &AtomicBool) -> Vec<String> {
    let mut answers = Vec::new();
    let mut kept: Option<Wire> = None;
    while !stop.load(SeqCst) {
        let Some(mut wire) = kept.take().or_else(|| TcpStream::connect(to).ok().map(Wire::new)) else {
            thread::sleep(ms(100));
            continue;
        };
        let mut request = format!(
            "POST /job-submit HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: c{name}-{}\r\nX-Tenant-Id: delta-press\r\n\
             X-Timeout: 4000m\r\nIdempotency-Key: {:016x}{:016x}\r\nContent-Length: {body}\r\n\r\n",
            answers.len(),
            field.random.next(),
            field.random.next()
        )
        .into_bytes();
        request.resize(request.len() + body, b'b');
        let _ = wire.stream.set_write_timeout(Some(Duration::from_secs(10)));
        let written = wire.stream.write_all(&request).is_ok();
        let answer = wire.read(Instant::now() + ms(4550));
        answers.push(match &answer {
            Some(message) => message.status().to_string(),
            None if written => "no answer".to_owned(),
            None => "closed in the middle of the request".to_owned(),
        });
        if answer.is_some_and(|message| !message.header("connection").eq_ignore_ascii_case("close")) {
            kept = Some(wire);
        }
        thread::sleep(Duration::from_secs_f64(field.random.between(0.0, 0.6)));
    }
    answers
}

/// KiB of the process's own pages (without those of the program's file), and all that is resident.
fn memory(process: &Process) -> (u64, u64) {
    let text = std::fs::read_to_string(format!("/proc/{}/status", process.child.id())).unwrap_or_default();
    let value = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    };
    (value("RssAnon:"), value("VmRSS:"))
}

fn main() {
    watchdog(Duration::from_secs(112));
    let record = record();
    let field = Field::new(&record, 63);
    let (body, answer) = if trouble() { LONG } else { USUAL };
    let halls = ["hall-nasr", "hall-maadi", "hall-giza"];
    let endpoints: Vec<_> =
        (0..9).map(|n| endpoint(&format!("{}-{n}", halls[n % 3]), halls[n % 3], answer, &field)).collect();
    let discovery = Discovery::start(&record, &endpoints);
    let mut platform = Platform::new(&record, discovery.address, discovery.whole());
    (platform.memory_mb, platform.sockets) = (MEMORY_MB, SOCKETS);
    let mut process = platform.start();
    if !platform.ready(ms(10_000)) {
        println!("the sidecar is not ready\n{}", platform.log(0));
        finish(2);
    }
    record.say(format!("before the first request: (own, resident) KiB {:?}", memory(&process)));
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..CLIENTS)
        .map(|name| {
            let (to, field, stop) = (platform.listen, field.clone(), stop.clone());
            thread::spawn(move || {
                // They come within five seconds, not at once.
                thread::sleep(Duration::from_secs_f64(field.random.between(0.0, 5.0)));
                client(to, name, body, &field, &stop)
            })
        })
        .collect();
    // The platform looks every 20 ms and kills a sidecar that is over its limit, by its own pages alone.
    let (end, mut most, mut killed, mut shown) = (Instant::now() + LENGTH, (0, 0), None, Instant::now());
    while Instant::now() < end && killed.is_none() && process.is_running() {
        thread::sleep(ms(20));
        let now = memory(&process);
        most = (most.0.max(now.0), most.1.max(now.1));
        if shown.elapsed() >= ms(1000) {
            shown = Instant::now();
            record.line(format!("(own, resident) KiB {now:?}"));
        }
        if now.0 > u64::from(MEMORY_MB) * 1024 {
            killed = Some(now);
            record.say(format!("platform: KILLED for memory: {now:?} KiB, {} MiB are allowed", MEMORY_MB));
            process.kill();
        }
    }
    let crashed = killed.is_some() || !process.is_running();
    stop.store(true, SeqCst);
    let mut count = std::collections::BTreeMap::new();
    for answer in threads.into_iter().flat_map(|t| t.join().unwrap()) {
        *count.entry(answer).or_insert(0) += 1;
    }
    record.say(format!("answers: {count:?}; most (own, resident) KiB {most:?}"));
    if !crashed && count.get("200").copied().unwrap_or(0) < 100 {
        println!("the sidecar serves too little for a verdict");
        finish(2);
    }
    finish(i32::from(crashed));
}
