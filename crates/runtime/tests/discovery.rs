//! Calls to discovery that cross: several asked for at once, and answers that come in another order than they were
//! asked for in.

use curlewhub_balance::{Discovery as Mode, Membership, RefusalCause, Rules, refusal_retry_delay};
use curlewhub_config::Names;
use curlewhub_discovery_client::Backoff;
use curlewhub_discovery_client::timing::{CALL_TIMEOUT, MAX_BACKOFF, MAX_JITTER, NOTIFIED_WITHIN};
use curlewhub_runtime::discovery::Discovery;
use curlewhub_runtime::events::{Call, Input};

use curlewhub_runtime::listing::Listing;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, advance, sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(20);
/// Nothing comes within this: what would be wrong comes at once.
const NOTHING: Duration = Duration::from_millis(300);

/// Discovery played by the test, and what the driver is told of it.
struct Played {
    door: TcpListener,
    calls: UnboundedSender<Call>,
    told: UnboundedReceiver<Input>,
}

impl Played {
    async fn start() -> Played {
        let door = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (calls, asked) = unbounded_channel();
        let (inbox, told) = unbounded_channel();
        let listing = Listing::new(Names::default());
        let discovery =
            Discovery::new(door.local_addr().unwrap(), Mode::Ask, &Rules::default(), listing, 7, inbox);
        spawn_local(discovery.run(asked));
        Played { door, calls, told }
    }

    /// The next call, read to its head's end.
    async fn call(&self) -> TcpStream {
        let (mut stream, _) = timeout(PATIENCE, self.door.accept()).await.expect("a call").unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        stream
    }

    /// The next news of the list; its lease is told between.
    async fn told(&mut self) -> Membership {
        loop {
            match timeout(PATIENCE, self.told.recv()).await.expect("something is told") {
                Some(Input::List(news)) => return news.membership,
                Some(Input::ListStatus(_)) => {}
                _ => panic!("only lists and how they stand are told"),
            }
        }
    }
}

fn list(rev: u64, all: bool, count: usize) -> String {
    let target =
        |n: usize| format!("{{\"uid\":\"s-{n}\",\"endpoint\":\"127.0.0.1:7{n}\",\"state\":\"up\"}}");
    let targets: Vec<String> = (10..10 + count).map(target).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", targets.join(","))
}

async fn answer(stream: &mut TcpStream, text: &str) {
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    stream.write_all(whole.as_bytes()).await.unwrap();
}

async fn chunk(stream: &mut TcpStream, text: &str) {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await.unwrap();
}

/// A watch that is up, with its first list told.
async fn watched(played: &mut Played, rev: u64) -> TcpStream {
    played.calls.send(Call::Watch(true)).unwrap();
    let mut watch = played.call().await;
    watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
    chunk(&mut watch, &format!("{}\n", list(rev, true, 2))).await;
    assert!(matches!(played.told().await, Membership::Full(entries) if entries.len() == 2));
    watch
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn however_often_the_list_is_asked_for_one_call_is_out() {
    run(async {
        let mut played = Played::start().await;
        for _ in 0..10 {
            played.calls.send(Call::Fetch).unwrap();
        }
        let mut call = played.call().await;
        assert!(timeout(NOTHING, played.door.accept()).await.is_err(), "a second call is out");
        answer(&mut call, &list(9, true, 1)).await;
        assert!(matches!(played.told().await, Membership::Full(entries) if entries.len() == 1));
        // The next one is asked for anew.
        played.calls.send(Call::Fetch).unwrap();
        answer(&mut played.call().await, &list(9, true, 3)).await;
        assert!(matches!(played.told().await, Membership::Full(entries) if entries.len() == 3));
    });
}

#[test]
fn an_old_answer_that_comes_behind_newer_news_changes_nothing() {
    run(async {
        let mut played = Played::start().await;
        let mut watch = watched(&mut played, 12).await;
        played.calls.send(Call::Fetch).unwrap();
        let mut call = played.call().await;
        chunk(&mut watch, &format!("{}\n", list(13, false, 1))).await;
        assert!(matches!(played.told().await, Membership::Delta(entries) if entries.len() == 1));
        answer(&mut call, &list(12, true, 3)).await;
        assert!(matches!(played.told().await, Membership::Delta(entries) if entries.is_empty()));
    });
}

#[test]
fn a_lower_version_with_no_news_in_between_is_that_of_a_server_that_began_anew() {
    run(async {
        let mut played = Played::start().await;
        let _watch = watched(&mut played, 12).await;
        played.calls.send(Call::Fetch).unwrap();
        answer(&mut played.call().await, &list(3, true, 5)).await;
        assert!(matches!(played.told().await, Membership::Full(entries) if entries.len() == 5));
    });
}

#[test]
fn waits_leave_room_for_a_whole_call_whatever_failed_before() {
    for draw in [0.0, 0.3, 0.7, 1.0] {
        let mut backoff = Backoff::default();
        for _ in 0..50 {
            let wait = backoff.after_failure(Duration::ZERO, draw);
            assert!(wait <= MAX_BACKOFF && wait + CALL_TIMEOUT < NOTIFIED_WITHIN, "{wait:?}");
        }
        for took in [CALL_TIMEOUT, Duration::from_secs(60)] {
            assert!(
                backoff.after_failure(took, draw) <= MAX_JITTER,
                "what took its time is made again at once"
            );
        }
        backoff.reset();
        assert!(
            backoff.after_failure(Duration::ZERO, draw) <= MAX_BACKOFF / 4,
            "the next failure is a first one"
        );
    }
}

#[test]
fn a_refusal_keeps_callers_away_from_the_start_of_their_call_on() {
    for took in [Duration::from_millis(20), Duration::from_secs(2), CALL_TIMEOUT] {
        let wait =
            |n| Backoff::default().after_refusal(RefusalCause::Unknown, took, f64::from(n) / 20.0) + took;
        let waits: Vec<Duration> = (0..=20).map(wait).collect();
        assert!(
            waits[0] >= Duration::from_millis(3500),
            "{waits:?}: a fleet's calls would fill discovery's queue"
        );
        assert!(waits[15] - waits[5] >= Duration::from_millis(400), "{waits:?}: they come back together");
        assert!(
            waits[20] < NOTIFIED_WITHIN - Duration::from_secs(1),
            "{waits:?}: an answer soon behind it would be too late"
        );
    }
}

/// What a call to discovery meets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Meets {
    /// It is taken, and nothing ever comes.
    Hangs,
    /// A list that comes byte by byte and never ends.
    Trickles,
    Resets,
    Refused,
    /// The whole list, with this many entries, so long after the call.
    Answered(Duration, usize),
}

/// Just in time for the call's own deadline.
const LATE: Duration = CALL_TIMEOUT.saturating_sub(Duration::from_millis(60));

/// Serves calls by a script, its last word for all further ones; tells when each came.
async fn serve(door: TcpListener, script: Vec<Meets>, came: UnboundedSender<Instant>) {
    let last = script.last().copied();
    let mut script = script.into_iter();
    while let Ok((mut stream, _)) = door.accept().await {
        let meets = script.next().or(last).expect("a script has a word");
        let _ = came.send(Instant::now());
        spawn_local(async move {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            match meets {
                Meets::Hangs => {}
                Meets::Resets => return stream.set_zero_linger(),
                Meets::Refused => stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").await?,
                Meets::Trickles => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
                    for byte in list(9, true, 2).bytes() {
                        sleep(Duration::from_millis(50)).await;
                        stream.write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']).await?;
                    }
                }
                Meets::Answered(after, count) => {
                    sleep(after).await;
                    let line = list(9, true, count);
                    let size = line.len() + 1;
                    let head = if head.windows(5).any(|part| part == b"watch") {
                        format!("Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n{line}\n\r\n")
                    } else {
                        format!("Content-Length: {size}\r\n\r\n{line}\n")
                    };
                    stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}").as_bytes()).await?;
                }
            }
            sleep(PATIENCE).await; // held open
            std::io::Result::Ok(())
        });
    }
}

/// Moves paused time on in small steps, and lets all that is due happen in each: a runtime that is never idle does
/// not move its time on by itself while a socket is still to be read.
async fn steps() {
    loop {
        for _ in 0..12 {
            tokio::task::yield_now().await;
        }
        advance(Duration::from_millis(5)).await;
    }
}

fn run_in_steps(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        tokio::select! {
            () = test => {}
            () = steps() => {}
        }
    });
}

/// One that asks discovery, by the module's waits where the module asks.
struct Asking {
    mode: Mode,
    calls: UnboundedSender<Call>,
    told: UnboundedReceiver<Input>,
    /// What it was told of calls that brought nothing, and when.
    failures: Vec<(Instant, Membership)>,
}

impl Asking {
    fn start(address: SocketAddr, mode: Mode) -> Asking {
        let (calls, asked) = unbounded_channel();
        let (inbox, told) = unbounded_channel();
        let discovery =
            Discovery::new(address, mode, &Rules::default(), Listing::new(Names::default()), 7, inbox);
        spawn_local(discovery.run(asked));
        if mode == Mode::Ask {
            calls.send(Call::Watch(true)).unwrap();
        }
        Asking { mode, calls, told, failures: Vec::new() }
    }

    /// When a list of so many entries is told. A module that asks does so again after its longest wait.
    async fn knows(&mut self, count: usize) -> Instant {
        loop {
            let told = timeout(PATIENCE, self.told.recv()).await.expect("something is told");
            let news = match told {
                Some(Input::List(news)) => news,
                Some(Input::ListStatus(_)) => continue,
                _ => panic!("only lists and how they stand are told"),
            };
            match news.membership {
                Membership::Full(entries) | Membership::Delta(entries) if entries.len() == count => {
                    return Instant::now();
                }
                news @ (Membership::Failed | Membership::Refused) => {
                    let wait = match news {
                        Membership::Refused => {
                            refusal_retry_delay(0, RefusalCause::Unknown, Duration::ZERO, 1.0)
                        }
                        _ => MAX_JITTER,
                    };
                    self.failures.push((Instant::now(), news));
                    let calls = self.calls.clone();
                    if self.mode == Mode::Ask {
                        spawn_local(async move {
                            sleep(wait).await;
                            let _ = calls.send(Call::Watch(true));
                        });
                    }
                }
                _ => {}
            }
        }
    }
}

/// Plays a script from a sidecar's start on: when its calls came, and when it knew the list, both from the first call.
async fn played(script: &[Meets], mode: Mode) -> (Vec<Duration>, Duration) {
    let door = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (came, mut calls) = unbounded_channel();
    let mut asking = Asking::start(door.local_addr().unwrap(), mode);
    spawn_local(serve(door, script.to_vec(), came));
    let known = asking.knows(4).await;
    let mut times = Vec::new();
    while let Ok(at) = calls.try_recv() {
        times.push(at);
    }
    let first = times[0];
    (times.iter().map(|at| *at - first).collect(), known - first)
}

/// Discovery is there again just after the first call came, which it lost, and takes all of a call's time.
#[test]
fn what_discovery_has_is_told_in_time_behind_each_call_that_was_lost_to_an_outage() {
    for lost in [Meets::Hangs, Meets::Trickles, Meets::Resets] {
        for mode in [Mode::Push, Mode::Ask] {
            run_in_steps(async move {
                let (calls, known) = played(&[lost, Meets::Answered(LATE, 4)], mode).await;
                assert!(
                    known < NOTIFIED_WITHIN,
                    "{lost:?}, {mode:?}: told after {known:?}, calls at {calls:?}"
                );
            });
        }
    }
}

/// In an outage that lasts no more than two calls are out at once, and one begins often enough for its end at any time.
#[test]
fn in_an_outage_that_hangs_a_call_begins_often_enough_and_two_are_out_at_the_most() {
    for mode in [Mode::Push, Mode::Ask] {
        run_in_steps(async move {
            let script = [&[Meets::Hangs; 9][..], &[Meets::Answered(Duration::ZERO, 4)]].concat();
            let (calls, _) = played(&script, mode).await;
            let waits: Vec<Duration> = calls.windows(2).map(|two| two[1] - two[0]).collect();
            let slack = Duration::from_millis(20);
            assert!(waits.iter().all(|wait| *wait + CALL_TIMEOUT < NOTIFIED_WITHIN), "{mode:?}: {waits:?}");
            let third = calls.windows(3).map(|three| three[2] - three[0]);
            assert!(third.into_iter().all(|apart| apart + slack >= CALL_TIMEOUT), "{mode:?}: {calls:?}");
        });
    }
}

/// The first call's answer is taken though a second call has begun, and the second one ends.
#[test]
fn a_first_call_that_waits_long_for_its_turn_keeps_it() {
    for mode in [Mode::Push, Mode::Ask] {
        run_in_steps(async move {
            let script = [Meets::Answered(LATE, 4), Meets::Answered(LATE, 3)];
            let (calls, known) = played(&script, mode).await;
            assert!(
                known < CALL_TIMEOUT && calls.len() <= 2,
                "{mode:?}: told after {known:?}, calls at {calls:?}"
            );
        });
    }
}

/// A refusal says that discovery has too many callers: until it has answered there is one call at a time, so late.
#[test]
fn behind_a_refusal_one_call_is_out_at_a_time() {
    for mode in [Mode::Push, Mode::Ask] {
        run_in_steps(async move {
            let script = [Meets::Refused, Meets::Answered(LATE, 4)];
            let (calls, known) = played(&script, mode).await;
            assert_eq!(calls.len(), 2, "{mode:?}: {calls:?}");
            assert!(calls[1] >= Duration::from_millis(3500), "{mode:?}: {calls:?}");
            let most = Duration::from_millis(4800) + CALL_TIMEOUT;
            assert!(
                known < most,
                "{mode:?}: {known:?}: past {NOTIFIED_WITHIN:?} by what a refusal in the middle adds"
            );
        });
    }
}

/// Of two calls one waits and the other is refused: the one that waits keeps its turn.
#[test]
fn a_second_call_that_is_refused_takes_nothing_from_the_first() {
    for mode in [Mode::Push, Mode::Ask] {
        run_in_steps(async move {
            let script = [Meets::Answered(LATE, 4), Meets::Refused];
            let (calls, known) = played(&script, mode).await;
            assert!(known < CALL_TIMEOUT && calls.len() == 2, "{mode:?}: {known:?}, {calls:?}");
            let (calls, _) =
                played(&[Meets::Hangs, Meets::Refused, Meets::Answered(Duration::ZERO, 4)], mode).await;
            assert!(calls[2] - calls[1] >= Duration::from_millis(3500), "{mode:?}: {calls:?}");
        });
    }
}

/// Nothing of these calls reached discovery: no wait behind them grows.
#[test]
fn behind_an_error_of_our_own_machine_the_wait_does_not_grow() {
    run_in_steps(async {
        // There is no route to it: connecting fails at once, in our own machine.
        let nowhere: SocketAddr = "255.255.255.255:9".parse().unwrap();
        let mut asking = Asking::start(nowhere, Mode::Push);
        let ended = timeout(Duration::from_secs(10), asking.knows(4)).await;
        assert!(ended.is_err(), "nobody is there");
        let times: Vec<Instant> = asking.failures.iter().map(|(at, _)| *at).collect();
        assert!(times.len() > 20, "{} calls in ten seconds", times.len());
        let longest = times.windows(2).map(|two| two[1] - two[0]).max().unwrap();
        assert!(longest < MAX_BACKOFF / 2, "{longest:?}");
    });
}

/// SIGHUP names another address while a call hangs at the old one; the new one is asked for its whole list at once.
#[test]
fn another_address_is_asked_at_once_whatever_is_out_at_the_old_one() {
    for mode in [Mode::Push, Mode::Ask] {
        run_in_steps(async move {
            let (old, new) =
                (TcpListener::bind("127.0.0.1:0").await, TcpListener::bind("127.0.0.1:0").await);
            let (old, new) = (old.unwrap(), new.unwrap());
            let (came, _calls) = unbounded_channel();
            let address = new.local_addr().unwrap();
            let mut asking = Asking::start(old.local_addr().unwrap(), mode);
            spawn_local(serve(old, vec![Meets::Hangs], came.clone()));
            spawn_local(serve(new, vec![Meets::Hangs, Meets::Answered(LATE, 4)], came));
            sleep(Duration::from_millis(2000)).await;
            asking.calls.send(Call::Move(address)).unwrap();
            let moved = Instant::now();
            let known = asking.knows(4).await - moved;
            assert!(known < NOTIFIED_WITHIN, "{mode:?}: told after {known:?}");
        });
    }
}

/// A whole list that is asked for is refused while the watch is up: the watch goes on, and tells at once.
#[test]
fn a_refusal_beside_a_watch_that_is_up_holds_nothing_up() {
    run_in_steps(async {
        let mut played = Played::start().await;
        let mut watch = watched(&mut played, 12).await;
        played.calls.send(Call::Fetch).unwrap();
        let mut call = played.call().await;
        call.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        assert!(matches!(played.told().await, Membership::Refused));
        let changed = Instant::now();
        chunk(&mut watch, &format!("{}\n", list(13, false, 1))).await;
        assert!(matches!(played.told().await, Membership::Delta(entries) if entries.len() == 1));
        assert!(changed.elapsed() < Duration::from_millis(100));
    });
}
