//! Runs the built sidecar with an endpoint that closes connections while a request is being sent.

#[path = "support/mod.rs"]
mod support;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use support::*;

/// For each request ID: how often it was cut off before its last byte, and how often it arrived complete.
type ArrivalCounts = Arc<Mutex<HashMap<String, (usize, usize)>>>;

/// Serves a connection, but closes it once for each request ID while the end of the request is still
/// missing.
fn serve_after_one_cut(stream: TcpStream, seen: &ArrivalCounts) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Some((name, value)) = line.split_once(": ") else {
                if line == "\r\n" { break } else { continue }
            };
            match name.to_ascii_lowercase().as_str() {
                "x-request-id" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap(),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        let received = reader.read(&mut body)?;
        let first = seen.lock().unwrap().get(&id).is_none();
        if received < length && first {
            seen.lock().unwrap().entry(id).or_default().0 += 1;
            return Ok(());
        }
        reader.read_exact(&mut body[received..])?;
        seen.lock().unwrap().entry(id).or_default().1 += 1;
        (&stream).write_all(answer("200 OK", "", "ok").as_bytes())?;
    }
}

#[test]
fn a_request_cut_off_before_its_last_byte_is_retried_even_if_unsafe() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, seen) = (listener.local_addr().unwrap(), ArrivalCounts::default());
    let peer = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = peer.clone();
            thread::spawn(move || serve_after_one_cut(stream, &seen));
        }
    });
    let sidecar = Sidecar::start(&config_for_addresses(&[address]));
    let mut number = 0;
    // On a slow machine the last byte may already be in flight when the connection closes.
    wait_for("a request that is cut off and then served", || {
        number += 1;
        let id = format!("r{number}");
        let served = sidecar.send_request("book", &id).status() == 200;
        served && seen.lock().unwrap()[&id] == (1, 1)
    });
    assert!(
        seen.lock().unwrap().values().all(|(_, whole)| *whole <= 1),
        "a request arrived complete twice"
    );
}
