//! Endpoints that send an answer twice: the second copy arrives some milliseconds behind the first, and must not reach
//! another request.

use crate::support::script::RawConnection;
use crate::support::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// The time from an endpoint to the sidecar: a copy is sent if no further request has reached the endpoint by then, so it
/// arrives up to twice as long behind the last moment at which the endpoint could know of one.
const ONE_WAY: Duration = Duration::from_micros(2400);
/// Work of a request: a copy that is on its way arrives before the right answer.
const WORK: Duration = Duration::from_millis(20);
const REQUESTS: usize = 60;

static COPIES: AtomicUsize = AtomicUsize::new(0);

/// An endpoint whose answers name their request and come twice, the second time so much later.
fn start_endpoint(lateness: Duration) -> SocketAddr {
    let listener = TcpListener::bind((unique_loopback_ip(), 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream, lateness));
        }
    });
    address
}

fn serve(stream: TcpStream, lateness: Duration) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let request = Message::read(&mut reader)?;
        thread::sleep(WORK);
        let text = answer("200 OK", "", request.header("x-request-id"));
        writer.write_all(text.as_bytes()).ok()?;
        thread::sleep(lateness.saturating_sub(2 * ONE_WAY));
        writer.set_nonblocking(true).ok()?;
        let is_quiet = reader.buffer().is_empty() && reader.fill_buf().is_err();
        writer.set_nonblocking(false).ok()?;
        if is_quiet {
            thread::sleep((2 * ONE_WAY).min(lateness));
            writer.write_all(text.as_bytes()).ok()?;
            COPIES.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Guards against a second copy of an answer, some milliseconds late, that is given to the next request of its connection.
#[test]
fn a_second_answer_that_comes_some_milliseconds_late_reaches_no_other_request() {
    thread::scope(|scope| {
        for millis in 2..9 {
            scope.spawn(move || {
                let address = start_endpoint(Duration::from_millis(millis));
                let sidecar = Sidecar::start(&config_for_addresses(&[address]));
                let mut client = RawConnection::connect(sidecar.address);
                for number in 0..REQUESTS {
                    let id = format!("r{number}");
                    client.write(&request(["quote", "book"][number % 2], &id, "10000m"));
                    let answer = client.read().expect("an answer");
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    assert!(answer.status() != 200 || body == id, "{millis} ms: {id} got {body}");
                }
            });
        }
    });
    assert!(COPIES.load(Ordering::SeqCst) > REQUESTS, "copies were sent");
}
