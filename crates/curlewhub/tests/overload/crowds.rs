//! Crowds of clients that are slow, stop, or send unusual heads, all at once: the sidecar stays within its memory, and
//! clients beside them are served.

use crate::support::memory::{Pace, Traffic, Watch, config};
use crate::support::{Sidecar, request};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time for which each crowd is connected.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Length of long bodies and answers, in bytes.
const LONG: usize = 1_000_000;
/// The lowest rate at which a well-behaved client writes, in bytes per second.
const LOWEST_RATE: usize = 64_000;
/// A slow client writes or reads this often.
const STEP: Duration = Duration::from_millis(50);
/// Bytes that a slow client reads in one step.
const READ_LEN: usize = 8 * 1024;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shape {
    /// Write a long body at the lowest rate that is allowed.
    WritesSlowly,
    /// Write half of a long body and stop.
    StopsHalfWay,
    /// Send heads with this many short fields, one request after another.
    ManyFields(usize),
    /// Read a long answer slowly.
    ReadsSlowly,
    /// One of the above, by turns.
    Mixed,
}

impl Shape {
    /// What this client of the crowd does.
    fn of(self, client: usize) -> Shape {
        let shapes = [Shape::WritesSlowly, Shape::StopsHalfWay, Shape::ManyFields(90), Shape::ReadsSlowly];
        if self == Shape::Mixed { shapes[client % shapes.len()] } else { self }
    }
}

/// A head with a body of this length.
fn long_head(id: &str, length: usize) -> String {
    let text =
        request("pay", id, "10000m").replace("Content-Length: 4", &format!("Content-Length: {length}"));
    text.strip_suffix("body").expect("a request with a body").to_owned()
}

/// Writes this much of a body, as fast as the other side takes it or at the lowest rate.
fn write_body(stream: &mut TcpStream, length: usize, slowly: bool, stop: &AtomicBool) -> Option<()> {
    let step = if slowly { LOWEST_RATE * STEP.as_millis() as usize / 1000 } else { length };
    let mut left = length;
    while left > 0 && !stop.load(Ordering::SeqCst) {
        stream.write_all(&vec![b'b'; step.min(left)]).ok()?;
        left -= step.min(left);
        if slowly {
            thread::sleep(STEP);
        }
    }
    Some(())
}

/// Reads until the other side ends or the crowd does, slowly or at once.
fn read_all(stream: &mut TcpStream, slowly: bool, stop: &AtomicBool) {
    let mut piece = [0; READ_LEN];
    while !stop.load(Ordering::SeqCst) {
        match stream.read(&mut piece) {
            Ok(0) => return,
            Ok(_) if slowly => thread::sleep(STEP),
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => {}
            Err(_) => return,
        }
    }
}

/// One connection of one client of the crowd.
fn connect_once(to: SocketAddr, id: &str, shape: Shape, stop: &AtomicBool) -> Option<()> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(100))).ok()?;
    stream.set_write_timeout(Some(CROWD_TIME)).ok()?;
    match shape {
        Shape::WritesSlowly => {
            stream.write_all(long_head(id, LONG).as_bytes()).ok()?;
            write_body(&mut stream, LONG, true, stop)?;
            read_all(&mut stream, false, stop);
        }
        Shape::StopsHalfWay => {
            stream.write_all(long_head(id, LONG).as_bytes()).ok()?;
            write_body(&mut stream, LONG / 2, false, stop)?;
            read_all(&mut stream, false, stop);
        }
        Shape::ManyFields(count) => {
            let fields: String = (0..count).map(|number| format!("x{number}:y\r\n")).collect();
            let text = request("quote", id, "10000m");
            let text = text.replace("\r\n\r\n", &format!("\r\n{fields}\r\n"));
            stream.write_all(text.as_bytes()).ok()?;
            read_all(&mut stream, false, stop);
        }
        Shape::ReadsSlowly | Shape::Mixed => {
            stream.write_all(request("quote", id, "10000m").as_bytes()).ok()?;
            read_all(&mut stream, true, stop);
        }
    }
    Some(())
}

/// A running crowd.
struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(to: SocketAddr, clients: usize, shape: Shape) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let run = |client: usize| {
            let stop = stop.clone();
            move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    connect_once(to, &format!("c{client}-{number}"), shape.of(client), &stop);
                    thread::sleep(Duration::from_millis(20));
                }
            }
        };
        let threads = (0..clients)
            .map(|client| thread::Builder::new().stack_size(256 * 1024).spawn(run(client)).unwrap())
            .collect();
        Crowd { stop, threads }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

/// Runs a crowd; fails if the sidecar holds more than its memory or does not serve afterwards.
fn check(memory_mb: usize, clients: usize, shape: Shape) {
    let answer = if matches!(shape, Shape::ReadsSlowly | Shape::Mixed) { LONG } else { 100 };
    let endpoint = Pace::default();
    // Heads are held while their requests wait.
    let work = Duration::from_millis(if matches!(shape, Shape::ManyFields(_)) { 1500 } else { 20 });
    let traffic = Traffic { answer, endpoint, body: LONG, work, ..Traffic::default() };
    let mut config = config(memory_mb, 2048, traffic);
    config["settings"]["limits"]["secondCopies"] = json!(true);
    let mut sidecar = Sidecar::start(&config);
    let crowd = Crowd::start(sidecar.address, clients, shape);
    let mut watch = Watch::default();
    watch.watch(&[&sidecar], CROWD_TIME);
    let what = format!("{shape:?}, {clients} clients, {memory_mb} MB");
    assert!(sidecar.child.try_wait().unwrap().is_none(), "{what}: it runs");
    crowd.stop();
    watch.read(&[&sidecar]);
    watch.assert_within(memory_mb, &what);
    let start = Instant::now();
    while sidecar.readiness_status() != Some(200) {
        assert!(start.elapsed() < Duration::from_secs(5), "{what}: it is ready afterwards");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Memory in MB and clients of the crowds that are tried each time, and of all.
const SIZES: [(usize, usize); 3] = [(32, 500), (64, 300), (192, 500)];
const ALL_SIZES: [(usize, usize); 9] =
    [(32, 100), (32, 300), (32, 500), (64, 100), (64, 300), (64, 500), (192, 100), (192, 300), (192, 500)];
const SHAPES: [Shape; 3] = [Shape::StopsHalfWay, Shape::ManyFields(90), Shape::Mixed];
const ALL_SHAPES: [Shape; 6] = [
    Shape::WritesSlowly,
    Shape::StopsHalfWay,
    Shape::ManyFields(90),
    Shape::ManyFields(1000),
    Shape::ReadsSlowly,
    Shape::Mixed,
];

/// Guards against a process that passes its memory limit under a crowd of slow or unusual clients. All crowds are tried with
/// `CURLEWHUB_ALL_CROWDS` set, which takes four minutes.
#[test]
fn crowds_of_slow_clients_stay_within_the_memory() {
    let all = std::env::var("CURLEWHUB_ALL_CROWDS").is_ok();
    let (sizes, shapes) = if all { (&ALL_SIZES[..], &ALL_SHAPES[..]) } else { (&SIZES[..], &SHAPES[..]) };
    for shape in shapes {
        thread::scope(|scope| {
            for sizes in sizes.chunks(SIZES.len()) {
                let checks = sizes
                    .iter()
                    .map(|(memory_mb, clients)| scope.spawn(move || check(*memory_mb, *clients, *shape)));
                checks.collect::<Vec<_>>().into_iter().for_each(|check| check.join().unwrap());
            }
        });
    }
}
