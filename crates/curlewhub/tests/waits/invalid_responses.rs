//! Runs the built sidecar with endpoints that send invalid responses.

use super::support::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn an_invalid_response_is_a_failed_attempt_that_may_have_run_and_its_connection_is_closed() {
    let flood = |first: &str, more: &str| Action::Flood(first.to_owned(), more.repeat(200));
    let write = |text: &str| Action::Write(text.to_owned());
    let invalid = [
        write("\x00\x01\x02 no answer at all\r\n\r\n"),
        write("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok"),
        write("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok"),
        write("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok"),
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"),
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n"),
        // These responses never end, and their connections stay open.
        write("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\ntoo short"),
        write("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 200\r\n\r\ntoo short"),
        write("HTTP/1.1 200 OK\r\nX-Half: "),
        write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        flood("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"),
        flood("HTTP/1.1 200 OK\r\n", "X-Pad: pppppppp\r\n"),
    ];
    for act in invalid {
        let what = format!("{act:?}").chars().take(100).collect::<String>();
        let sent = Arc::new(AtomicUsize::new(0));
        let peer = {
            let (act, sent) = (act.clone(), sent.clone());
            Peer::new(move |_| match sent.fetch_add(1, Ordering::SeqCst) {
                0 | 2 => act.clone(),
                _ => Action::Serve("good"),
            })
        };
        let sidecar = Sidecar::start(&config(&[&peer]));
        let start = Instant::now();
        let response = sidecar.send_request("quote", "r1");
        assert_eq!((response.status(), &response.body[..]), (200, &b"good"[..]), "{what}");
        let response = sidecar.send_request("book", "r2").status();
        assert!(response >= 500 && response != 503, "{response}: the request may have run: {what}");
        assert!(start.elapsed() < Duration::from_secs(8), "it waited for the whole timeout: {what}");
        assert_eq!(peer.request_count(), 3, "{what}");
        wait_for("the connections with invalid responses to end", || peer.closed_by_sidecar() == 2);
        assert_eq!(sidecar.send_request("book", "r3").status(), 200, "{what}");
    }
}

#[test]
fn interim_responses_are_skipped_however_early_they_arrive() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    let peer = Peer::new(move |_| Action::WriteThenServe(interim.to_owned(), Duration::from_millis(900)));
    let sidecar = Sidecar::start(&config(&[&peer]));
    let response = sidecar.send_request("book", "r1");
    assert_eq!((response.status(), &response.body[..]), (200, &b"late"[..]));
    assert_eq!(sidecar.send_request("book", "r2").status(), 200);
    assert_eq!(peer.request_count(), 2);
}

#[test]
fn bytes_after_a_response_never_answer_the_next_request() {
    for more in [answer("200 OK", "", "second copy"), "noise".to_owned(), "\r\n".to_owned()] {
        // In the same segment, and some time later.
        for wait in [0, 20] {
            let more = more.clone();
            let peer = Peer::new(move |_| {
                Action::ServeThenWrite("good", Duration::from_millis(wait), more.clone())
            });
            let sidecar = Sidecar::start(&config(&[&peer]));
            let mut client = sidecar.client();
            for n in 0..6 {
                let response = client.send_request("book", &format!("r{n}"));
                assert_eq!((response.status(), &response.body[..]), (200, &b"good"[..]), "{wait} ms");
                if wait > 0 {
                    wait_for("the connection to end", || peer.closed_by_sidecar() == n + 1);
                }
            }
        }
        // Just as the connection is to be reused: on resuming, the process finds the request and these
        // bytes together.
        let more = more.clone();
        let peer =
            Peer::new(move |_| Action::ServeThenWrite("good", Duration::from_millis(300), more.clone()));
        let sidecar = Sidecar::start(&config(&[&peer]));
        let mut client = sidecar.client();
        for n in 0..2 {
            let response = client.send_request("book", &format!("s{n}"));
            assert_eq!((response.status(), &response.body[..]), (200, &b"good"[..]));
            sidecar.signal("-STOP");
            client.send(&request("book", &format!("t{n}"), "10000m"));
            wait_for("the bytes after the response", || peer.written.load(Ordering::SeqCst) > 2 * n);
            sidecar.signal("-CONT");
            let response = client.receive().expect("a response");
            assert_eq!((response.status(), &response.body[..]), (200, &b"good"[..]));
            wait_for("the connection to end", || peer.closed_by_sidecar() == 2 * n + 2);
        }
    }
}

#[test]
fn a_connection_is_not_reused_until_the_reuse_delay_after_a_response() {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let peer = {
        let arrivals = arrivals.clone();
        Peer::new(move |_| {
            arrivals.lock().unwrap().push(Instant::now());
            Action::Serve("ok")
        })
    };
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    for n in 0..10 {
        assert_eq!(client.send_request("book", &format!("r{n}")).status(), 200);
    }
    assert_eq!(peer.connections.load(Ordering::SeqCst), 1);
    for pair in arrivals.lock().unwrap().windows(2) {
        let interval = pair[1] - pair[0];
        assert!(
            interval >= Duration::from_millis(4),
            "{interval:?}: a second copy of the response could still arrive"
        );
    }
}

#[test]
fn an_invalid_load_report_fails_no_request() {
    for report in ["{\"", "=,=", "%%%", "inflight=NaN,queue=-1", "inflight=1e999"] {
        let text = answer("200 OK", &format!("X-Server-Load: {report}\r\n"), "good");
        let peer = Peer::new(move |_| Action::Write(text.clone()));
        let sidecar = Sidecar::start(&config(&[&peer]));
        assert_eq!(sidecar.send_request("book", "r1").status(), 200, "{report}");
    }
}

#[test]
fn idle_connections_are_discarded_earlier_after_aged_ones_were_reset() {
    // Resets the connection at every request but its first.
    let peer = Peer::new(|_| Action::ServeOnlyFirst("ok"));
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut failed = 0;
    for n in 0..12 {
        failed += usize::from(sidecar.send_request("book", &format!("r{n}")).status() != 200);
        std::thread::sleep(Duration::from_millis(150));
    }
    assert!((1..=3).contains(&failed), "{failed} unsafe requests were lost");
    sidecar.wait_for_log("aged connections");
}
