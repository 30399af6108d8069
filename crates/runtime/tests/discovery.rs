//! Overlapping calls to discovery: several fetches at once, responses out of order, retries during outages,
//! refusals, and a change of discovery's address.

use curlewhub_balance::{Discovery as Mode, Membership, RefusalCause, Rules, refusal_retry_delay};
use curlewhub_config::Names;
use curlewhub_discovery_client::Backoff;
use curlewhub_discovery_client::timing::{CALL_TIMEOUT, MAX_BACKOFF, MAX_JITTER, NOTIFIED_WITHIN};
use curlewhub_runtime::discovery::Discovery;
use curlewhub_runtime::events::{Input, ListCommand};
use curlewhub_runtime::listing::Listing;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, advance, sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(20);
/// How long to wait to conclude that no further call is made: a wrong one would be made at once.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// A discovery server that the test controls, and the inputs that the driver gets from the discovery
/// module.
struct FakeDiscovery {
    listener: TcpListener,
    commands: UnboundedSender<ListCommand>,
    inputs: UnboundedReceiver<Input>,
}

impl FakeDiscovery {
    async fn start() -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (commands, command_receiver) = unbounded_channel();
        let (inbox, inputs) = unbounded_channel();
        let listing = Listing::new(Names::default());
        let discovery =
            Discovery::new(listener.local_addr().unwrap(), Mode::Ask, &Rules::default(), listing, 7, inbox);
        spawn_local(discovery.run(command_receiver));
        FakeDiscovery { listener, commands, inputs }
    }

    /// Accepts the next call and reads the head of its request.
    async fn accept_call(&self) -> TcpStream {
        let (mut stream, _) = timeout(TIMEOUT, self.listener.accept()).await.expect("a call").unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        stream
    }

    /// The next change of the list; status inputs in between are skipped.
    async fn next_change(&mut self) -> Membership {
        loop {
            match timeout(TIMEOUT, self.inputs.recv()).await.expect("an input for the driver") {
                Some(Input::ListUpdate(change)) => return change.membership,
                Some(Input::ListStatus(_)) => {}
                _ => panic!("neither a list nor its status"),
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

async fn respond(stream: &mut TcpStream, text: &str) {
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    stream.write_all(response.as_bytes()).await.unwrap();
}

async fn send_chunk(stream: &mut TcpStream, text: &str) {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await.unwrap();
}

/// Opens a watch, and waits until its first list has been passed to the driver.
async fn open_watch(discovery: &mut FakeDiscovery, rev: u64) -> TcpStream {
    discovery.commands.send(ListCommand::Watch(true)).unwrap();
    let mut watch = discovery.accept_call().await;
    watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
    send_chunk(&mut watch, &format!("{}\n", list(rev, true, 2))).await;
    assert!(matches!(discovery.next_change().await, Membership::Full(entries) if entries.len() == 2));
    watch
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn concurrent_fetches_share_one_call() {
    run(async {
        let mut discovery = FakeDiscovery::start().await;
        for _ in 0..10 {
            discovery.commands.send(ListCommand::Fetch).unwrap();
        }
        let mut call = discovery.accept_call().await;
        assert!(
            timeout(QUIET_PERIOD, discovery.listener.accept()).await.is_err(),
            "a second call was made"
        );
        respond(&mut call, &list(9, true, 1)).await;
        assert!(matches!(discovery.next_change().await, Membership::Full(entries) if entries.len() == 1));
        // A fetch after the response makes a new call.
        discovery.commands.send(ListCommand::Fetch).unwrap();
        respond(&mut discovery.accept_call().await, &list(9, true, 3)).await;
        assert!(matches!(discovery.next_change().await, Membership::Full(entries) if entries.len() == 3));
    });
}

#[test]
fn a_response_older_than_a_watch_update_changes_nothing() {
    run(async {
        let mut discovery = FakeDiscovery::start().await;
        let mut watch = open_watch(&mut discovery, 12).await;
        discovery.commands.send(ListCommand::Fetch).unwrap();
        let mut call = discovery.accept_call().await;
        send_chunk(&mut watch, &format!("{}\n", list(13, false, 1))).await;
        assert!(matches!(discovery.next_change().await, Membership::Delta(entries) if entries.len() == 1));
        respond(&mut call, &list(12, true, 3)).await;
        assert!(matches!(discovery.next_change().await, Membership::Delta(entries) if entries.is_empty()));
    });
}

#[test]
fn a_lower_version_without_updates_in_between_is_accepted_as_that_of_a_restarted_server() {
    run(async {
        let mut discovery = FakeDiscovery::start().await;
        let _watch = open_watch(&mut discovery, 12).await;
        discovery.commands.send(ListCommand::Fetch).unwrap();
        respond(&mut discovery.accept_call().await, &list(3, true, 5)).await;
        assert!(matches!(discovery.next_change().await, Membership::Full(entries) if entries.len() == 5));
    });
}

#[test]
fn the_backoff_leaves_time_for_a_full_call_before_the_notification_deadline() {
    for draw in [0.0, 0.3, 0.7, 1.0] {
        let mut backoff = Backoff::default();
        for _ in 0..50 {
            let wait = backoff.after_failure(Duration::ZERO, draw);
            assert!(wait <= MAX_BACKOFF && wait + CALL_TIMEOUT < NOTIFIED_WITHIN, "{wait:?}");
        }
        for took in [CALL_TIMEOUT, Duration::from_secs(60)] {
            assert!(
                backoff.after_failure(took, draw) <= MAX_JITTER,
                "a call that took long is not retried at once"
            );
        }
        backoff.reset();
        assert!(
            backoff.after_failure(Duration::ZERO, draw) <= MAX_BACKOFF / 4,
            "the failure after a reset does not count as the first"
        );
    }
}

#[test]
fn the_wait_after_a_refusal_counts_from_the_start_of_the_call() {
    for took in [Duration::from_millis(20), Duration::from_secs(2), CALL_TIMEOUT] {
        let wait =
            |n| Backoff::default().after_refusal(RefusalCause::Unknown, took, f64::from(n) / 20.0) + took;
        let waits: Vec<Duration> = (0..=20).map(wait).collect();
        assert!(
            waits[0] >= Duration::from_millis(3500),
            "{waits:?}: a fleet's retries would fill discovery's queue"
        );
        assert!(
            waits[15] - waits[5] >= Duration::from_millis(400),
            "{waits:?}: the retries are not spread"
        );
        assert!(
            waits[20] < NOTIFIED_WITHIN - Duration::from_secs(1),
            "{waits:?}: an answer soon after the retry would be too late"
        );
    }
}

/// How discovery responds to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallResponse {
    /// Accepts the call and sends nothing.
    Hang,
    /// Sends a list byte by byte and never ends the response.
    Trickle,
    Reset,
    Refuse,
    /// Sends the complete list with this number of entries, after this delay.
    Answer(Duration, usize),
}

/// A delay of an answer that comes just before the call times out.
const JUST_BEFORE_TIMEOUT: Duration = CALL_TIMEOUT.saturating_sub(Duration::from_millis(60));

/// Responds to calls by a script, and repeats its last response for all further calls. Sends the time of
/// each call.
async fn serve(listener: TcpListener, script: Vec<CallResponse>, call_times: UnboundedSender<Instant>) {
    let last = script.last().copied();
    let mut script = script.into_iter();
    while let Ok((mut stream, _)) = listener.accept().await {
        let response = script.next().or(last).expect("a script is not empty");
        let _ = call_times.send(Instant::now());
        spawn_local(async move {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            match response {
                CallResponse::Hang => {}
                CallResponse::Reset => return stream.set_zero_linger(),
                CallResponse::Refuse => {
                    stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").await?
                }
                CallResponse::Trickle => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
                    for byte in list(9, true, 2).bytes() {
                        sleep(Duration::from_millis(50)).await;
                        stream.write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']).await?;
                    }
                }
                CallResponse::Answer(delay, count) => {
                    sleep(delay).await;
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
            sleep(TIMEOUT).await; // keeps the connection open
            std::io::Result::Ok(())
        });
    }
}

/// Advances paused time in small steps, and runs the tasks that are due after each step. The runtime
/// advances paused time by itself only while it is idle, and it is not idle while a socket is still to be
/// read.
async fn advance_in_steps() {
    loop {
        for _ in 0..12 {
            tokio::task::yield_now().await;
        }
        advance(Duration::from_millis(5)).await;
    }
}

fn run_with_paused_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        tokio::select! {
            () = test => {}
            () = advance_in_steps() => {}
        }
    });
}

/// A user of the discovery module. In [`Mode::Ask`] it also requests the retries, after the longest wait.
struct DiscoveryCaller {
    mode: Mode,
    commands: UnboundedSender<ListCommand>,
    inputs: UnboundedReceiver<Input>,
    /// The failures and refusals that were reported to it, and when.
    failures: Vec<(Instant, Membership)>,
}

impl DiscoveryCaller {
    fn start(address: SocketAddr, mode: Mode) -> DiscoveryCaller {
        let (commands, command_receiver) = unbounded_channel();
        let (inbox, inputs) = unbounded_channel();
        let discovery =
            Discovery::new(address, mode, &Rules::default(), Listing::new(Names::default()), 7, inbox);
        spawn_local(discovery.run(command_receiver));
        if mode == Mode::Ask {
            commands.send(ListCommand::Watch(true)).unwrap();
        }
        DiscoveryCaller { mode, commands, inputs, failures: Vec::new() }
    }

    /// Waits for a list with this number of entries and returns the time of its arrival. In [`Mode::Ask`]
    /// each failure is followed by a retry after its longest wait.
    async fn wait_for_list(&mut self, count: usize) -> Instant {
        loop {
            let input = timeout(TIMEOUT, self.inputs.recv()).await.expect("an input for the driver");
            let change = match input {
                Some(Input::ListUpdate(change)) => change,
                Some(Input::ListStatus(_)) => continue,
                _ => panic!("neither a list nor its status"),
            };
            match change.membership {
                Membership::Full(entries) | Membership::Delta(entries) if entries.len() == count => {
                    return Instant::now();
                }
                failure @ (Membership::Failed | Membership::Refused) => {
                    let wait = match failure {
                        Membership::Refused => {
                            refusal_retry_delay(0, RefusalCause::Unknown, Duration::ZERO, 1.0)
                        }
                        _ => MAX_JITTER,
                    };
                    self.failures.push((Instant::now(), failure));
                    let commands = self.commands.clone();
                    if self.mode == Mode::Ask {
                        spawn_local(async move {
                            sleep(wait).await;
                            let _ = commands.send(ListCommand::Watch(true));
                        });
                    }
                }
                _ => {}
            }
        }
    }
}

/// Runs a script from a sidecar's start on. Returns the times of its calls and the time at which it
/// received the list, both counted from the first call.
async fn run_script(script: &[CallResponse], mode: Mode) -> (Vec<Duration>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (call_times, mut calls) = unbounded_channel();
    let mut caller = DiscoveryCaller::start(listener.local_addr().unwrap(), mode);
    spawn_local(serve(listener, script.to_vec(), call_times));
    let received = caller.wait_for_list(4).await;
    let mut times = Vec::new();
    while let Ok(at) = calls.try_recv() {
        times.push(at);
    }
    let first = times[0];
    (times.iter().map(|at| *at - first).collect(), received - first)
}

/// The first call is lost in an outage that ends right after it came. The next call is answered just before
/// it times out.
#[test]
fn the_list_arrives_in_time_after_a_call_was_lost_to_an_outage() {
    for lost in [CallResponse::Hang, CallResponse::Trickle, CallResponse::Reset] {
        for mode in [Mode::Push, Mode::Ask] {
            run_with_paused_time(async move {
                let (calls, received) =
                    run_script(&[lost, CallResponse::Answer(JUST_BEFORE_TIMEOUT, 4)], mode).await;
                assert!(
                    received < NOTIFIED_WITHIN,
                    "{lost:?}, {mode:?}: received after {received:?}, calls at {calls:?}"
                );
            });
        }
    }
}

/// During a long outage at most two calls are open at once, and calls start often enough for the list to
/// arrive in time whenever the outage ends.
#[test]
fn while_calls_hang_new_ones_start_in_time_and_at_most_two_are_open() {
    for mode in [Mode::Push, Mode::Ask] {
        run_with_paused_time(async move {
            let script =
                [&[CallResponse::Hang; 9][..], &[CallResponse::Answer(Duration::ZERO, 4)]].concat();
            let (calls, _) = run_script(&script, mode).await;
            let waits: Vec<Duration> = calls.windows(2).map(|two| two[1] - two[0]).collect();
            let slack = Duration::from_millis(20);
            assert!(waits.iter().all(|wait| *wait + CALL_TIMEOUT < NOTIFIED_WITHIN), "{mode:?}: {waits:?}");
            let spans = calls.windows(3).map(|three| three[2] - three[0]);
            assert!(spans.into_iter().all(|span| span + slack >= CALL_TIMEOUT), "{mode:?}: {calls:?}");
        });
    }
}

/// The answer to the first call is used although a second call has started, and the second call ends.
#[test]
fn a_second_call_does_not_cancel_a_slow_first_call() {
    for mode in [Mode::Push, Mode::Ask] {
        run_with_paused_time(async move {
            let script = [
                CallResponse::Answer(JUST_BEFORE_TIMEOUT, 4),
                CallResponse::Answer(JUST_BEFORE_TIMEOUT, 3),
            ];
            let (calls, received) = run_script(&script, mode).await;
            assert!(
                received < CALL_TIMEOUT && calls.len() <= 2,
                "{mode:?}: received after {received:?}, calls at {calls:?}"
            );
        });
    }
}

/// A refusal means that discovery has too many callers. Until it answers, one call is open at a time, and
/// the next one starts no sooner than 3.5 s after the refused one.
#[test]
fn after_a_refusal_one_call_is_open_at_a_time() {
    for mode in [Mode::Push, Mode::Ask] {
        run_with_paused_time(async move {
            let script = [CallResponse::Refuse, CallResponse::Answer(JUST_BEFORE_TIMEOUT, 4)];
            let (calls, received) = run_script(&script, mode).await;
            assert_eq!(calls.len(), 2, "{mode:?}: {calls:?}");
            assert!(calls[1] >= Duration::from_millis(3500), "{mode:?}: {calls:?}");
            let limit = Duration::from_millis(4800) + CALL_TIMEOUT;
            assert!(
                received < limit,
                "{mode:?}: {received:?}: later than {NOTIFIED_WITHIN:?} plus the delay that a refusal adds"
            );
        });
    }
}

/// Of two open calls the second is refused; the first still waits in discovery's queue and is answered. If
/// the first hangs, the next call starts no sooner than 3.5 s after the refused one.
#[test]
fn a_refused_second_call_does_not_cancel_the_first() {
    for mode in [Mode::Push, Mode::Ask] {
        run_with_paused_time(async move {
            let script = [CallResponse::Answer(JUST_BEFORE_TIMEOUT, 4), CallResponse::Refuse];
            let (calls, received) = run_script(&script, mode).await;
            assert!(received < CALL_TIMEOUT && calls.len() == 2, "{mode:?}: {received:?}, {calls:?}");
            let (calls, _) = run_script(
                &[CallResponse::Hang, CallResponse::Refuse, CallResponse::Answer(Duration::ZERO, 4)],
                mode,
            )
            .await;
            assert!(calls[2] - calls[1] >= Duration::from_millis(3500), "{mode:?}: {calls:?}");
        });
    }
}

/// Calls that fail on the local machine never reach discovery, so the wait after them does not grow.
#[test]
fn local_connect_errors_do_not_increase_the_backoff() {
    run_with_paused_time(async {
        // There is no route to this address, so connecting fails at once on the local machine.
        let unroutable: SocketAddr = "255.255.255.255:9".parse().unwrap();
        let mut caller = DiscoveryCaller::start(unroutable, Mode::Push);
        let ended = timeout(Duration::from_secs(10), caller.wait_for_list(4)).await;
        assert!(ended.is_err(), "a list arrived");
        let times: Vec<Instant> = caller.failures.iter().map(|(at, _)| *at).collect();
        assert!(times.len() > 20, "{} calls in ten seconds", times.len());
        let longest = times.windows(2).map(|two| two[1] - two[0]).max().unwrap();
        assert!(longest < MAX_BACKOFF / 2, "{longest:?}");
    });
}

/// A reload (SIGHUP) changes the address while a call to the old one hangs. The new one is called at once.
#[test]
fn a_new_address_is_called_at_once_despite_a_hanging_call_to_the_old_one() {
    for mode in [Mode::Push, Mode::Ask] {
        run_with_paused_time(async move {
            let (old, new) =
                (TcpListener::bind("127.0.0.1:0").await, TcpListener::bind("127.0.0.1:0").await);
            let (old, new) = (old.unwrap(), new.unwrap());
            let (call_times, _calls) = unbounded_channel();
            let address = new.local_addr().unwrap();
            let mut caller = DiscoveryCaller::start(old.local_addr().unwrap(), mode);
            spawn_local(serve(old, vec![CallResponse::Hang], call_times.clone()));
            spawn_local(serve(
                new,
                vec![CallResponse::Hang, CallResponse::Answer(JUST_BEFORE_TIMEOUT, 4)],
                call_times,
            ));
            sleep(Duration::from_millis(2000)).await;
            caller.commands.send(ListCommand::SetAddress(address)).unwrap();
            let moved = Instant::now();
            let received = caller.wait_for_list(4).await - moved;
            assert!(received < NOTIFIED_WITHIN, "{mode:?}: received after {received:?}");
        });
    }
}

/// A fetch of the complete list is refused while the watch is open. The watch continues, and its updates
/// are passed on at once.
#[test]
fn a_refused_fetch_does_not_delay_updates_of_an_open_watch() {
    run_with_paused_time(async {
        let mut discovery = FakeDiscovery::start().await;
        let mut watch = open_watch(&mut discovery, 12).await;
        discovery.commands.send(ListCommand::Fetch).unwrap();
        let mut call = discovery.accept_call().await;
        call.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        assert!(matches!(discovery.next_change().await, Membership::Refused));
        let changed = Instant::now();
        send_chunk(&mut watch, &format!("{}\n", list(13, false, 1))).await;
        assert!(matches!(discovery.next_change().await, Membership::Delta(entries) if entries.len() == 1));
        assert!(changed.elapsed() < Duration::from_millis(100));
    });
}
