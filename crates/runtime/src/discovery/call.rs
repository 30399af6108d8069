//! One call to discovery: makes it, reads the response to its end, and reports its progress.

use super::body::{BodyReader, Progress};
use super::error::{CallError, ResponseKind};
use super::trace::CallTrace;
use crate::guard::AbortOnDrop;
use crate::interrupts::Uninterrupted;
use curlewhub_config::list::EndpointList;
use curlewhub_discovery_client::timing::{CALL_TIMEOUT, CONNECT_TIMEOUT};
use curlewhub_discovery_client::{CallId, CallKind, Epoch, WatchState};
use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

/// A report of a call.
#[derive(Debug)]
pub(super) enum Report {
    /// A line of a watch: a list, changes, or none if nothing has changed.
    Line(Option<EndpointList>),
    /// A complete list.
    WholeList(EndpointList),
    /// The complete entries of a list that may be cut off.
    Partial(EndpointList),
    /// The call has ended; no more reports follow.
    Ended {
        /// The reason.
        error: CallError,
        /// Whether it was a watch that was up.
        watch_was_up: bool,
    },
}

/// What a call requests, and from which server.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallSpec {
    pub id: CallId,
    pub epoch: Epoch,
    pub kind: CallKind,
    pub address: SocketAddr,
}

/// Receives the reports of calls, with the id of the call.
pub(super) type Reports = Sender<(CallId, Report)>;

/// A call in progress.
pub(super) struct DiscoveryCall {
    spec: CallSpec,
    reports: Reports,
    trace: CallTrace,
    /// When the call counts as failed, unless its watch has opened.
    deadline: Instant,
    started_at: Instant,
}

impl DiscoveryCall {
    pub fn new(spec: CallSpec, reports: Reports) -> Self {
        let trace = CallTrace::start(spec.id, spec.epoch, spec.kind, spec.address);
        let started_at = Instant::now();
        DiscoveryCall { spec, reports, trace, deadline: started_at + CALL_TIMEOUT, started_at }
    }

    /// Makes the call, and reports its progress until it ends.
    pub async fn run(mut self) {
        let (error, watch_was_up) = match self.spec.kind {
            CallKind::WholeList => match self.whole_list().await {
                Ok(list) => {
                    self.trace.ended("answered".to_owned());
                    return self.report(Report::WholeList(list)).await;
                }
                Err(error) => (error, false),
            },
            CallKind::Watch { after } => {
                let mut up = false;
                let error = match self.watch(after, &mut up).await {
                    Ok(never) => match never {},
                    Err(error) => error,
                };
                (error, up)
            }
        };
        self.trace.ended(error.chain());
        self.report(Report::Ended { error, watch_was_up }).await;
    }

    async fn whole_list(&mut self) -> Result<EndpointList, CallError> {
        let (response, _connection) = self.request("/api/targets").await?;
        let mut reader = BodyReader::new(response.into_body(), ResponseKind::List);
        loop {
            match reader.read(self.deadline).await {
                Ok(Progress::More) => self.trace.first_byte(),
                Ok(Progress::MayBeCutOff) => self.report_partial(&reader.buffer).await,
                Ok(Progress::End) => break,
                Err(error) => {
                    self.report_partial(&reader.buffer).await;
                    return Err(error);
                }
            }
        }
        match serde_json::from_slice::<EndpointList>(&reader.buffer) {
            Ok(list) if list.is_complete => Ok(list),
            Ok(_) => Err(CallError::Incomplete),
            Err(source) => {
                self.report_partial(&reader.buffer).await;
                Err(CallError::Malformed { part: ResponseKind::List, source })
            }
        }
    }

    /// Follows a watch until it ends.
    async fn watch(&mut self, after: u64, up: &mut bool) -> Result<std::convert::Infallible, CallError> {
        let (response, _connection) = self.request(&format!("/api/targets?watch=1&after={after}")).await?;
        let mut reader = BodyReader::new(response.into_body(), ResponseKind::Watch);
        let mut state = WatchState::Opening { deadline: self.deadline - self.started_at };
        loop {
            match reader.read(self.started_at + state.deadline()).await {
                Ok(Progress::More) => self.trace.first_byte(),
                Ok(Progress::MayBeCutOff) => {
                    self.report_partial(&reader.buffer).await;
                    continue;
                }
                Ok(Progress::End) => {
                    self.report_partial(&reader.buffer).await;
                    return Err(CallError::WatchEnded);
                }
                Err(error) => {
                    self.report_partial(&reader.buffer).await;
                    return Err(error);
                }
            }
            let mut lines = take_lines(&mut reader.buffer);
            // If no version of the list is known yet, an empty line does not open the watch: the first list
            // has not been received.
            lines.retain(|line| *up || after > 0 || !matches!(line, Ok(None)));
            let line_ended = !lines.is_empty();
            for line in lines {
                let line = match line {
                    Ok(line) => line,
                    // Skipping a change would leave the list wrong permanently, so the watch is restarted
                    // instead.
                    Err(source) => {
                        self.report_partial(&reader.buffer).await;
                        return Err(CallError::Malformed { part: ResponseKind::Watch, source });
                    }
                };
                if !std::mem::replace(up, true) {
                    self.trace.opened();
                }
                self.report(Report::Line(line)).await;
            }
            if line_ended {
                reader.line_consumed();
            }
            let now: Duration = self.started_at.elapsed();
            state = state.after_read(now, line_ended, !reader.buffer.is_empty());
        }
    }

    async fn request(&mut self, path: &str) -> Result<(Response<Incoming>, AbortOnDrop), CallError> {
        let address = self.spec.address;
        let connect_deadline = self.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connect = timeout_at(connect_deadline, TcpStream::connect(address)).await;
        let stream = connect.map_err(|_| CallError::ConnectTimeout)?.map_err(CallError::from_connect)?;
        self.trace.connected();
        let io = TokioIo::new(Uninterrupted(stream));
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(CallError::Http)?;
        let guard = AbortOnDrop::new(spawn_local(connection).abort_handle());
        let request = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(CallError::Request)?;
        let response = timeout_at(self.deadline, sender.send_request(request)).await;
        let response = response.map_err(|_| CallError::ResponseTimeout)?.map_err(CallError::Http)?;
        match response.status() {
            StatusCode::OK => Ok((response, guard)),
            status => Err(CallError::Status(status)),
        }
    }

    /// Reports the complete entries of a list that may be cut off: a drain in them counts as notified.
    /// Entries that are up, and missing ones, may be changed by the part that was not received; they wait
    /// for a complete list.
    async fn report_partial(&self, text: &[u8]) {
        let list = EndpointList::from_truncated(text);
        if !list.targets.is_empty() {
            self.report(Report::Partial(list)).await;
        }
    }

    async fn report(&self, report: Report) {
        let _ = self.reports.send((self.spec.id, report)).await; // fails only while the process ends
    }
}

/// Removes the complete lines of a watch from the buffer and parses them; an incomplete one stays. A list
/// may be indented over several lines; an empty line means that nothing has changed. Nothing after an
/// invalid list is parsed.
fn take_lines(text: &mut Vec<u8>) -> Vec<Result<Option<EndpointList>, serde_json::Error>> {
    let mut lines = Vec::new();
    loop {
        let whitespace = text.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        let empty_line = text.drain(..whitespace).any(|byte| byte == b'\n');
        // The line end after a list is not an empty line.
        if empty_line && lines.is_empty() {
            lines.push(Ok(None));
        }
        // An incomplete list is not parsed again for each frame.
        if !text.contains(&b'}') {
            return lines;
        }
        let mut lists = serde_json::Deserializer::from_slice(text).into_iter::<EndpointList>();
        match lists.next() {
            Some(Ok(list)) => {
                let end = lists.byte_offset();
                text.drain(..end);
                lines.push(Ok(Some(list)));
            }
            Some(Err(error)) if error.is_eof() => return lines,
            Some(Err(error)) => {
                lines.push(Err(error));
                return lines;
            }
            None => return lines,
        }
    }
}
