//! What an attempt waits for, and what is told meanwhile: its client leaves, its endpoint drains, is taken out of use
//! or moves, its window for repeats passes. Nothing begins after that, whatever the settings allow to be cancelled.

use super::support::script::*;
use super::support::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// An attempt that is let through by mistake begins within this of its door's opening: the dial's next try and a
/// margin.
const LATE: Duration = Duration::from_millis(3500);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    Resets,
    HalfCloses,
    ClosesBehindMore,
}

const LEAVES: [Leaves; 4] = [Leaves::Closes, Leaves::Resets, Leaves::HalfCloses, Leaves::ClosesBehindMore];

fn leave(mut client: RawConnection, how: Leaves) -> Option<RawConnection> {
    match how {
        Leaves::Closes => drop(client),
        Leaves::Resets => client.reset(),
        // The page knows no client that ends its sending and waits: its end is its leaving.
        Leaves::HalfCloses => {
            client.half_close();
            return Some(client);
        }
        Leaves::ClosesBehindMore => {
            client.write("GET /quote/y HTTP/1.1\r\n");
            drop(client);
        }
    }
    None
}

/// A sidecar of one endpoint that takes long to dial, started so that it says what it does.
fn dialling(door: SocketAddr, change: impl FnOnce(&mut Value)) -> Sidecar {
    let mut config = config_with_operator(&[]);
    config["known"] = list(7, true, &[target("s-0", door, "up")]);
    config["settings"]["limits"]["connectTimeoutMs"] = json!(8000.0);
    change(&mut config);
    Sidecar::start_with(&config, "RUST_LOG=debug")
}

/// A client whose request waits for its endpoint's connection.
fn waiting(sidecar: &Sidecar, class: &str) -> RawConnection {
    let mut client = RawConnection::connect(sidecar.address);
    client.write(&request(class, "r1", "10000m"));
    sidecar.wait_for_log(" class=");
    client
}

#[test]
fn nothing_begins_for_a_client_that_left_while_its_connection_was_dialled() {
    std::thread::scope(|scope| {
        for (how, cancelling) in LEAVES.into_iter().flat_map(|how| [(how, true), (how, false)]) {
            scope.spawn(move || {
                let door = FullBacklogListener::new();
                let sidecar = dialling(door.address, |config| {
                    config["settings"]["limits"]["cancelling"] = json!(cancelling);
                });
                let _open = leave(waiting(&sidecar, "quote"), how);
                wait_for("its leaving", || sidecar.metric("inflight") == 0);
                let stage = door.start_accepting();
                assert!(stage.receives_no_request(LATE), "{how:?}, cancelling {cancelling}");
            });
        }
    });
}

#[test]
fn nothing_begins_for_a_client_that_left_while_there_was_no_endpoint() {
    for how in LEAVES {
        let (stage, endpoint) = (ScriptedListener::new(), ScriptedListener::new());
        let mut config = config_with_operator(&[]);
        config["discovery"] = json!(stage.address.to_string());
        config["settings"]["limits"]["cancelling"] = json!(false);
        let sidecar = Sidecar::start_with(&config, "RUST_LOG=debug");
        let (mut watch, _) = stage.accept_request();
        let _open = leave(waiting(&sidecar, "quote"), how);
        wait_for("its leaving", || sidecar.metric("inflight") == 0);
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.write_chunk(&format!("{}\n", list(8, false, &[target("s-0", endpoint.address, "up")])));
        wait_for("the endpoint", || sidecar.metric("hosts_listed") == 1);
        assert!(endpoint.receives_no_request(Duration::from_millis(300)), "{how:?}");
    }
}

/// What is told of the endpoint while it is dialled.
#[derive(Clone, Copy, Debug)]
enum Told {
    Drains,
    Leaves,
    Moves,
    IsMissing,
    IsBanned,
}

#[test]
fn nothing_begins_at_an_endpoint_that_may_not_be_sent_to_any_more_as_its_connection_comes_up() {
    use Told::*;
    std::thread::scope(|scope| {
        for (told, class) in [Drains, Leaves, Moves, IsMissing, IsBanned]
            .into_iter()
            .flat_map(|told| [(told, "quote"), (told, "book")])
        {
            scope.spawn(move || {
                let (door, other, stage) =
                    (FullBacklogListener::new(), Peer::serving("ok"), ScriptedListener::new());
                let address = door.address;
                let sidecar =
                    dialling(address, |config| config["discovery"] = json!(stage.address.to_string()));
                let (mut watch, _) = stage.accept_request();
                watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let mut client = waiting(&sidecar, class);
                let there = target("s-1", other.address, "up");
                let line = match told {
                    Drains => list(8, false, &[there, target("s-0", address, "draining")]),
                    Leaves => list(8, false, &[there, target("s-0", address, "removed")]),
                    Moves => list(8, false, &[target("s-0", other.address, "up")]),
                    IsMissing => list(8, true, &[there]),
                    IsBanned => list(8, false, &[there]),
                };
                watch.write_chunk(&format!("{line}\n"));
                sidecar.wait_for_log("rev=8 ");
                if let IsBanned = told {
                    wait_for("the other one", || sidecar.metric("hosts_listed") == 2);
                    assert_eq!(sidecar.call("DETACH s-0"), "YES\n");
                }
                assert!(door.start_accepting().receives_no_request(LATE), "{told:?}, {class}");
                // It never ran there, so any class goes on elsewhere.
                let answer = client.read().expect("an answer");
                assert_eq!((answer.status(), &answer.body[..]), (200, &b"ok"[..]), "{told:?}, {class}");
            });
        }
    });
}

#[test]
fn a_repeat_of_a_keyed_job_begins_in_its_window_or_not_at_all() {
    let (first, door) = (ScriptedListener::new(), FullBacklogListener::new());
    // Two endpoints: whichever is chosen first for a job, one of them breaks off under it.
    let sidecar = dialling(first.address, |config| {
        config["settings"]["classes"][2]["repeatWindowMs"] = json!(400.0);
        config["known"] =
            list(7, true, &[target("s-0", first.address, "up"), target("s-1", door.address, "up")]);
    });
    let mut jobs = Vec::new();
    let cut = loop {
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&request("pay", &format!("j{}", jobs.len()), "9000m"));
        jobs.push(client);
        // A job that went to the one that is being dialled waits there.
        if let Some(mut wire) = first.accept_within(Duration::from_millis(500)) {
            assert!(wire.read().is_some());
            break wire;
        }
    };
    cut.reset();
    std::thread::sleep(Duration::from_millis(450)); // the window
    // Its repeat goes to the other one, whose connection is not up within the window.
    let mut last = jobs.pop().expect("the job that was cut off");
    drop(jobs);
    wait_for("the others' leaving", || sidecar.metric("inflight") <= 1);
    assert!(door.start_accepting().receives_no_request(LATE));
    let answer = last.read().expect("an answer");
    assert!(matches!(answer.status(), 502 | 503), "it may not be repeated: {}", answer.first_line);
}

#[test]
fn a_tenth_of_a_second_after_a_burst_of_leavers_nothing_begins_for_any_of_them() {
    for cancelling in [true, false] {
        let door = FullBacklogListener::new();
        let sidecar = dialling(door.address, |config| {
            config["settings"]["limits"]["cancelling"] = json!(cancelling);
        });
        let ask = |n: usize| {
            let mut client = RawConnection::connect(sidecar.address);
            client.write(&request("quote", &format!("b{n}"), "10000m"));
            client
        };
        let clients: Vec<RawConnection> = (0..100).map(ask).collect();
        wait_for("all of them to wait", || sidecar.metric("inflight") == 100);
        drop(clients);
        // The operators' term: what begins over 0.1 s after its client has gone is a break.
        std::thread::sleep(Duration::from_millis(100));
        assert!(door.start_accepting().receives_no_request(LATE), "cancelling {cancelling}");
    }
}
