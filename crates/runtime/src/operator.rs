//! The operator address: operators' calls, one line per connection.

use super::budget::{Budget, Holder, Permit};
use super::events::{Command, Commands};
use super::figures::Metrics;
use super::handover::Handover;
use super::interrupts::{Uninterrupted, uninterrupted_async};
use super::lifecycle::Lifecycle;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Maximum length of a line in bytes: more than a keyword and an endpoint's uid need.
const MAX_LINE_BYTES: usize = 1024;
/// Timeout of a caller's line: some callers hang for 4 s and may still finish.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of writing the response: a caller waits for 1 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the driver's reply. It is shorter than the caller's wait, so that the caller still gets a
/// `NO`.
const DRIVER_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait after a failed accept: without free descriptors it would fail again at once and busy-loop.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A parsed call.
#[derive(Debug, PartialEq)]
enum Call<'a> {
    Ping,
    Info,
    Detach(&'a str),
    Attach(&'a str),
    LameDuck,
    Rejoin,
}

/// Serves the operator address.
pub struct Operator {
    lifecycle: Rc<Lifecycle>,
    figures: Rc<Metrics>,
    commands: Commands,
    handover: Rc<Handover>,
    budget: Rc<Budget>,
    next_id: Cell<u64>,
    /// Connections whose line has not been received yet, oldest first; the signal closes the connection.
    awaiting_line: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl Operator {
    /// Creates the server of the operator address, without connections.
    pub fn new(
        lifecycle: Rc<Lifecycle>,
        figures: Rc<Metrics>,
        commands: Commands,
        handover: Rc<Handover>,
        budget: Rc<Budget>,
    ) -> Rc<Self> {
        let (next_id, awaiting_line) = Default::default();
        Rc::new(Operator { lifecycle, figures, commands, handover, budget, next_id, awaiting_line })
    }

    /// Serves until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let permit = self.acquire_permit().await;
            match uninterrupted_async(async || listener.accept().await).await {
                Ok((stream, _)) => {
                    let this = self.clone();
                    spawn_local(async move { this.connection(stream, permit).await });
                }
                Err(e) => {
                    warn!(error = %e, "operator: accept");
                    drop(permit);
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Acquires a permit for one more connection. If all are in use, the connection that has been waiting
    /// for its line the longest is closed, so that hanging callers do not block others.
    async fn acquire_permit(&self) -> Permit {
        loop {
            if let Some(permit) = self.budget.try_acquire(Holder::Operator) {
                return permit;
            }
            let oldest = self.awaiting_line.borrow_mut().pop_first();
            match oldest {
                Some((_, close)) => {
                    close.notify_one();
                    // Its task has to run before its descriptor is free.
                    tokio::task::yield_now().await;
                }
                None => sleep(ACCEPT_RETRY_INTERVAL).await, // all of them are being responded to
            }
        }
    }

    async fn connection(&self, stream: TcpStream, _permit: Permit) {
        let mut stream = Uninterrupted(stream);
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let close = Rc::new(Notify::new());
        self.awaiting_line.borrow_mut().insert(id, close.clone());
        let line = tokio::select! {
            line = timeout(LINE_TIMEOUT, read_line(&mut stream)) => line.ok().flatten(),
            () = close.notified() => return,
        };
        self.awaiting_line.borrow_mut().remove(&id);
        let Some(line) = line else { return }; // disconnected or timed out
        let answer = match std::str::from_utf8(&line).ok().and_then(parse) {
            Some(call) => self.answer(call).await,
            None => "NO no such call\n".to_owned(),
        };
        let _ = timeout(RESPONSE_TIMEOUT, async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await
        })
        .await; // fails if the caller has disconnected
    }

    async fn answer(&self, call: Call<'_>) -> String {
        let yes_or_no =
            |yes: bool, reason: &str| if yes { "YES\n".to_owned() } else { format!("NO {reason}\n") };
        match call {
            Call::Ping => yes_or_no(self.lifecycle.is_ready(), &format!("{:?}", self.lifecycle.state())),
            Call::LameDuck => yes_or_no(self.lifecycle.drain(), "it can't be drained"),
            Call::Rejoin => yes_or_no(self.lifecycle.resume(), &format!("{:?}", self.lifecycle.state())),
            Call::Info => match self.ask(Command::SummarizeEndpoints).await {
                Some(hosts) => self.figures.report(hosts) + "END\n",
                None => yes_or_no(false, "the figures did not come in time"),
            },
            Call::Detach(uid) => self.ban(uid, true).await,
            Call::Attach(uid) => self.ban(uid, false).await,
        }
    }

    async fn ban(&self, uid: &str, banned: bool) -> String {
        let command = |reply| Command::Ban { uid: uid.to_owned(), banned, known_to_peer: false, reply };
        match self.ask(command).await.unwrap_or(Err("it did not come about in time")) {
            Ok(()) if self.handover.propagate_ban(uid, banned).await => "YES\n".to_owned(),
            Ok(()) => "NO it holds here, but not yet in the process beside this one\n".to_owned(),
            Err(reason) => format!("NO {reason}\n"),
        }
    }

    /// Sends a command to the driver and waits for the reply. The driver handles commands ahead of its
    /// inputs.
    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, replied) = oneshot::channel();
        self.commands.send(command(reply)).ok()?;
        timeout(DRIVER_TIMEOUT, replied).await.ok()?.ok()
    }
}

/// Reads a line without its end. An incomplete line is read as an empty one, which no call matches: a part
/// of a uid may be another endpoint's uid. None if the caller sent nothing.
async fn read_line(stream: &mut Uninterrupted<TcpStream>) -> Option<Vec<u8>> {
    let (mut line, mut chunk) = (Vec::new(), [0; 256]);
    loop {
        let count = stream.read(&mut chunk).await.ok()?;
        if let Some(end) = chunk[..count].iter().position(|&byte| byte == b'\n') {
            line.extend_from_slice(&chunk[..end]);
            line.truncate(MAX_LINE_BYTES);
            return Some(line);
        }
        if count == 0 {
            // A caller that sent something may wait for a response, so it gets a `NO`.
            return (!line.is_empty()).then(Vec::new);
        }
        line.extend_from_slice(&chunk[..count]);
        if line.len() > MAX_LINE_BYTES {
            return Some(Vec::new());
        }
    }
}

fn parse(line: &str) -> Option<Call<'_>> {
    let mut words = line.strip_suffix('\r').unwrap_or(line).split_ascii_whitespace();
    let call = match (words.next()?, words.next()) {
        ("PING", None) => Call::Ping,
        ("INFO", None) => Call::Info,
        ("LAMEDUCK", None) => Call::LameDuck,
        ("REJOIN", None) => Call::Rejoin,
        ("DETACH", Some(id)) => Call::Detach(id),
        ("ATTACH", Some(id)) => Call::Attach(id),
        _ => return None,
    };
    words.next().is_none().then_some(call)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_parsed_exactly() {
        assert_eq!(parse("PING"), Some(Call::Ping));
        assert_eq!(parse("INFO\r"), Some(Call::Info));
        assert_eq!(parse("DETACH s-1"), Some(Call::Detach("s-1")));
        assert_eq!(parse("ATTACH s-1\r"), Some(Call::Attach("s-1")));
        assert_eq!(parse("LAMEDUCK"), Some(Call::LameDuck));
        assert_eq!(parse("REJOIN"), Some(Call::Rejoin));
        for bad in ["", " ", "ping", "PINGS", "DETACH", "DETACH a b", "PING x", "GET / HTTP/1.1"] {
            assert_eq!(parse(bad), None, "{bad}");
        }
    }
}
