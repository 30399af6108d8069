//! One connection to an endpoint: its requests, and the replies that the endpoint's state and faults lead to.

use super::Endpoint;
use super::jobs::{JobKey, Submitted};
use crate::http::{Message, MessageKind, Reader};
use crate::interrupted::{peek, write_whole};
use crate::ledger::Ledger;
use crate::machine::{Happened, JobId};
use crate::spec::ClassSpec;
use serde_json::json;
use socket2::SockRef;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// What a sidecar may still send to an endpoint after the list has said that it drains.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// How long a caller waits that does not say it.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// A request that an endpoint is asked to run.
struct Call<'a> {
    id: String,
    class: &'a ClassSpec,
    key: Option<JobKey>,
    timeout: Duration,
}

/// What a connection does once a request has been handled.
enum Reply {
    Write(String),
    /// Writes this and nothing more.
    Stall(String),
    /// Resets the connection.
    Reset,
    /// Answers nothing.
    Silence,
    /// The caller has gone.
    Gone,
}

fn answer(status: &str, extra: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

impl Endpoint {
    pub(super) async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let process = self.process.get();
        let mut reader = Reader::new(stream, MessageKind::Requests);
        let ended = tokio::select! {
            () = self.follow(&mut reader) => false,
            () = self.until_process_ends(process) => true,
        };
        if ended {
            let _ = SockRef::from(&*reader.inner()).set_linger(Some(Duration::ZERO)); // a reset, and no end
        }
    }

    async fn follow(&self, reader: &mut Reader<TcpStream>) {
        loop {
            self.until_reachable().await;
            let message = match reader.message().await {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(_) => {
                    let _ = write_whole(reader.inner(), answer("400 Bad Request", "", "").as_bytes()).await;
                    return;
                }
            };
            self.until_reachable().await;
            let reply = self.reply(&message, reader).await;
            self.until_reachable().await;
            let written = match reply {
                Reply::Write(text) => write_whole(reader.inner(), text.as_bytes()).await,
                Reply::Stall(text) => {
                    let _ = write_whole(reader.inner(), text.as_bytes()).await;
                    return self.until_caller_closes(reader).await;
                }
                Reply::Silence => return self.until_caller_closes(reader).await,
                Reply::Reset => {
                    let _ = SockRef::from(&*reader.inner()).set_linger(Some(Duration::ZERO));
                    return;
                }
                Reply::Gone => return,
            };
            if written.is_err() || message.closes() {
                return;
            }
        }
    }

    /// Ends once the caller has closed its end of the connection.
    async fn until_caller_closes(&self, reader: &mut Reader<TcpStream>) {
        // Further bytes do not matter; only the end does.
        if !matches!(peek(reader.inner()).await, Ok(0) | Err(_)) {
            pending::<()>().await;
        }
    }

    async fn reply(&self, message: &Message, reader: &mut Reader<TcpStream>) -> Reply {
        let path = message.target.split('?').next().unwrap_or_default();
        if path == "/-/healthy" || path == "/-/load" {
            return self.reply_to_probe();
        }
        let call = match self.parse_call(path, message) {
            Ok(call) => call,
            Err(problem) => return Reply::Write(answer("404 Not Found", "", problem)),
        };
        let now = self.world.now();
        let after_drain = self.draining_since.get().is_some_and(|at| at.elapsed() > DRAIN_GRACE);
        self.world.ledger(|ledger| ledger.came(after_drain));
        if let Some(key) = &call.key
            && self.world.ledger(|ledger| ledger.is_repeat(self.keyed_job(key), now))
        {
            self.log("repeat", &call.id, Some(&key.key));
            return self.served("repeat", &call.id);
        }
        let work = self.world.work(call.class, &call.id);
        self.log_arrival(&call, after_drain, work);
        match self.submit(&call.id, call.key, now, work, call.timeout) {
            Some(submitted) => self.reply_once_ended(&call.id, submitted, reader).await,
            None => {
                self.log("full", &call.id, None);
                self.world.ledger(Ledger::turned_away);
                Reply::Write(answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "full"))
            }
        }
    }

    fn reply_to_probe(&self) -> Reply {
        if self.faults.get().hang { Reply::Silence } else { Reply::Write(answer("200 OK", "", "")) }
    }

    /// Reads what a message asks for; otherwise says what is missing.
    fn parse_call(&self, path: &str, message: &Message) -> Result<Call<'_>, &'static str> {
        let id = message.header("x-request-id").ok_or("no id")?.to_owned();
        let name = path.split('/').nth(1).unwrap_or_default();
        let class = self.world.classes.iter().find(|class| class.name == name).ok_or("no such class")?;
        let window = class.window.0;
        let key = message.header("idempotency-key").filter(|_| !window.is_zero());
        let key = key.map(|key| JobKey { key: key.to_owned(), window });
        let timeout = message.header("x-timeout").and_then(parse_timeout).unwrap_or(DEFAULT_TIMEOUT);
        Ok(Call { id, class, key, timeout })
    }

    fn served(&self, how: &str, id: &str) -> Reply {
        Reply::Write(answer("200 OK", "", &format!("{how} {id} at {}", self.spec.id)))
    }

    fn log_arrival(&self, call: &Call<'_>, after_drain: bool, work: f64) {
        self.world.request_log.note(|| {
            let machine = self.machine.borrow();
            let (cold, capacity, slow) = (machine.is_cold(), machine.capacity(), machine.is_choked());
            json!({"what": "came", "endpoint": self.spec.id, "id": call.id, "class": call.class.name,
                   "draining": after_drain, "work_us": work * 1e6, "cold": cold, "capacity": capacity,
                   "slow": slow})
        });
    }

    /// Waits for the end of a job, and gives the reply that its end and the faults of that moment lead to.
    async fn reply_once_ended(
        &self,
        id: &str,
        submitted: Submitted,
        reader: &mut Reader<TcpStream>,
    ) -> Reply {
        let faults = self.faults.get();
        if faults.hang {
            return Reply::Silence;
        }
        if self.world.strikes(faults.reset, id, "reset") {
            return Reply::Reset;
        }
        let ended = tokio::select! {
            ended = submitted.ended => ended,
            () = self.until_caller_closes(reader) => {
                self.cancel(submitted.job);
                return Reply::Gone;
            }
        };
        match ended {
            _ if self.faults.get().hang => Reply::Silence,
            Err(_) => Reply::Reset, // its process has ended
            Ok(Happened::Expired(_)) => {
                Reply::Write(answer("504 Gateway Timeout", "X-Not-Processed: 1\r\n", "over"))
            }
            Ok(Happened::Began(_)) => self.served("repeat", id),
            Ok(Happened::Done(_)) => self.reply_to_finished(id),
        }
    }

    fn reply_to_finished(&self, id: &str) -> Reply {
        let faults = self.faults.get();
        if faults.stall {
            return Reply::Stall("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf of".to_owned());
        }
        if self.world.strikes(faults.corrupt, id, "spoil") {
            return Reply::Write("HTTP/1.1 \u{1}~ what is no answer\r\n\r\n".to_owned());
        }
        if self.world.strikes(self.spec.machine.error_rate, id, "error") {
            return Reply::Write(answer("500 Internal Server Error", "", "error"));
        }
        self.served("served", id)
    }

    /// The caller of a job has gone.
    fn cancel(&self, job: JobId) {
        let now = self.world.now();
        if self.machine.borrow_mut().cancel(now, job) {
            self.jobs.borrow_mut().remove(&job);
        }
        self.work.notify_one();
    }
}

/// A number and its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix('m') {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('u')?, 1e-6),
    };
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? * unit).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timeouts_have_a_unit() {
        assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
        assert_eq!(parse_timeout("1500u"), Some(Duration::from_micros(1500)));
        for bad in ["", "480", "m", "-1m", "NaNm", "1e400m"] {
            assert_eq!(parse_timeout(bad), None, "{bad}");
        }
    }
}
