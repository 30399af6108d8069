//! The second address: operators' calls, one line a connection.

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

/// The longest line, in bytes: a word and an endpoint's id, with room to spare.
const LINE_MOST: usize = 1024;
/// A call must have come whole within this: some callers hang for 4 s and may yet finish.
const LINE_TIME: Duration = Duration::from_secs(5);
/// The answer must have been taken within this: a caller waits for 1 s.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// What the driver has to say comes within this; else the call is owed a no while its caller waits.
const DRIVER_TIME: Duration = Duration::from_millis(500);
/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A call, read.
#[derive(Debug, PartialEq)]
enum Call<'a> {
    Ping,
    Info,
    Detach(&'a str),
    Attach(&'a str),
    LameDuck,
    Rejoin,
}

/// Serves the operators.
pub struct Operator {
    lifecycle: Rc<Lifecycle>,
    figures: Rc<Metrics>,
    commands: Commands,
    handover: Rc<Handover>,
    budget: Rc<Budget>,
    next: Cell<u64>,
    /// Callers whose call has not come yet, in the order of their coming.
    silent: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl Operator {
    /// Nobody has called yet.
    pub fn new(
        lifecycle: Rc<Lifecycle>,
        figures: Rc<Metrics>,
        commands: Commands,
        handover: Rc<Handover>,
        budget: Rc<Budget>,
    ) -> Rc<Self> {
        let (next, silent) = Default::default();
        Rc::new(Operator { lifecycle, figures, commands, handover, budget, next, silent })
    }

    /// Serves until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let permit = self.room().await;
            match uninterrupted_async(async || listener.accept().await).await {
                Ok((stream, _)) => {
                    let this = self.clone();
                    spawn_local(async move { this.connection(stream, permit).await });
                }
                Err(e) => {
                    warn!(error = %e, "operator: accept");
                    drop(permit);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// A permit for one more caller. Where all are taken, the one who has been silent longest leaves, so
    /// that callers who hang keep nobody waiting.
    async fn room(&self) -> Permit {
        loop {
            if let Some(permit) = self.budget.try_acquire(Holder::Operator) {
                return permit;
            }
            let oldest = self.silent.borrow_mut().pop_first();
            match oldest {
                Some((_, leave)) => {
                    leave.notify_one();
                    // Its task has to run for its descriptor to come free.
                    tokio::task::yield_now().await;
                }
                None => sleep(ACCEPT_PAUSE).await, // all of them are being answered
            }
        }
    }

    async fn connection(&self, stream: TcpStream, _permit: Permit) {
        let mut stream = Uninterrupted(stream);
        let number = self.next.get();
        self.next.set(number + 1);
        let leave = Rc::new(Notify::new());
        self.silent.borrow_mut().insert(number, leave.clone());
        let line = tokio::select! {
            line = timeout(LINE_TIME, read_line(&mut stream)) => line.ok().flatten(),
            () = leave.notified() => return,
        };
        self.silent.borrow_mut().remove(&number);
        let Some(line) = line else { return }; // gone, or silent for too long
        let answer = match std::str::from_utf8(&line).ok().and_then(parse) {
            Some(call) => self.answer(call).await,
            None => "NO no such call\n".to_owned(),
        };
        let _ = timeout(ANSWER_TIME, async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await
        })
        .await; // who has gone is owed nothing
    }

    async fn answer(&self, call: Call<'_>) -> String {
        let said = |yes: bool, why: &str| if yes { "YES\n".to_owned() } else { format!("NO {why}\n") };
        match call {
            Call::Ping => said(self.lifecycle.is_ready(), &format!("{:?}", self.lifecycle.state())),
            Call::LameDuck => said(self.lifecycle.drain(), "it can't be drained"),
            Call::Rejoin => said(self.lifecycle.resume(), &format!("{:?}", self.lifecycle.state())),
            Call::Info => match self.ask(Command::SummarizeEndpoints).await {
                Some(hosts) => self.figures.report(hosts) + "END\n",
                None => said(false, "the figures did not come in time"),
            },
            Call::Detach(uid) => self.ban(uid, true).await,
            Call::Attach(uid) => self.ban(uid, false).await,
        }
    }

    async fn ban(&self, uid: &str, on: bool) -> String {
        let command = |reply| Command::Ban { uid: uid.to_owned(), banned: on, known_to_peer: false, reply };
        match self.ask(command).await.unwrap_or(Err("it did not come about in time")) {
            Ok(()) if self.handover.propagate_ban(uid, on).await => "YES\n".to_owned(),
            Ok(()) => "NO it holds here, but not yet in the process beside this one\n".to_owned(),
            Err(why) => format!("NO {why}\n"),
        }
    }

    /// What the driver answers. It takes commands ahead of everything else that waits for it.
    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (told, answer) = oneshot::channel();
        self.commands.send(command(told)).ok()?;
        timeout(DRIVER_TIME, answer).await.ok()?.ok()
    }
}

/// A line without its end. A line that breaks off is none: half an id may be another endpoint's.
async fn read_line(stream: &mut Uninterrupted<TcpStream>) -> Option<Vec<u8>> {
    let (mut line, mut piece) = (Vec::new(), [0; 256]);
    loop {
        let count = stream.read(&mut piece).await.ok()?;
        if let Some(end) = piece[..count].iter().position(|&byte| byte == b'\n') {
            line.extend_from_slice(&piece[..end]);
            line.truncate(LINE_MOST);
            return Some(line);
        }
        if count == 0 {
            // Whoever wrote something and waits for an answer is owed a no.
            return (!line.is_empty()).then(Vec::new);
        }
        line.extend_from_slice(&piece[..count]);
        if line.len() > LINE_MOST {
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
    fn calls_are_read_to_the_letter() {
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
