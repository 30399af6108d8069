//! One call to discovery: made, read to its end, and reported as it proceeds.

use super::body::{BodyReader, Progress};
use super::error::{CallError, Part};
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

/// What a call reports.
#[derive(Debug)]
pub(super) enum Report {
    /// A line of a watch: a list, changes, or nothing new.
    Line(Option<EndpointList>),
    /// A whole list.
    WholeList(EndpointList),
    /// What can be read of a list that may have broken off.
    Torn(EndpointList),
    /// The call has ended, and no more comes of it.
    Ended {
        /// Why.
        error: CallError,
        /// It was a watch that was up.
        watch_was_up: bool,
    },
}

/// What is asked of whom.
#[derive(Clone, Copy, Debug)]
pub(super) struct Order {
    pub id: CallId,
    pub epoch: Epoch,
    pub kind: CallKind,
    pub address: SocketAddr,
}

/// Where a call's reports go, each with its number.
pub(super) type Reports = Sender<(CallId, Report)>;

/// A call that is out.
pub(super) struct Call {
    order: Order,
    reports: Reports,
    trace: CallTrace,
    /// When the call counts as failed, as long as nothing has opened.
    due: Instant,
    began: Instant,
}

impl Call {
    pub fn new(order: Order, reports: Reports) -> Self {
        let trace = CallTrace::begin(order.id, order.epoch, order.kind, order.address);
        let began = Instant::now();
        Call { order, reports, trace, due: began + CALL_TIMEOUT, began }
    }

    /// Makes it, and reports what comes until it ends.
    pub async fn run(mut self) {
        let (error, watch_was_up) = match self.order.kind {
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
        let mut reader = BodyReader::new(response.into_body(), Part::List);
        loop {
            match reader.read(self.due).await {
                Ok(Progress::More) => self.trace.first_byte(),
                Ok(Progress::MayHaveBrokenOff) => self.report_torn(&reader.text).await,
                Ok(Progress::End) => break,
                Err(error) => {
                    self.report_torn(&reader.text).await;
                    return Err(error);
                }
            }
        }
        match serde_json::from_slice::<EndpointList>(&reader.text) {
            Ok(list) if list.is_complete => Ok(list),
            Ok(_) => Err(CallError::NotWhole),
            Err(source) => {
                self.report_torn(&reader.text).await;
                Err(CallError::NoList { part: Part::List, source })
            }
        }
    }

    /// Follows a watch to its end.
    async fn watch(&mut self, after: u64, up: &mut bool) -> Result<std::convert::Infallible, CallError> {
        let (response, _connection) = self.request(&format!("/api/targets?watch=1&after={after}")).await?;
        let mut reader = BodyReader::new(response.into_body(), Part::Watch);
        let mut state = WatchState::Opening { deadline: self.due - self.began };
        loop {
            match reader.read(self.began + state.deadline()).await {
                Ok(Progress::More) => self.trace.first_byte(),
                Ok(Progress::MayHaveBrokenOff) => {
                    self.report_torn(&reader.text).await;
                    continue;
                }
                Ok(Progress::End) => {
                    self.report_torn(&reader.text).await;
                    return Err(CallError::WatchEnded);
                }
                Err(error) => {
                    self.report_torn(&reader.text).await;
                    return Err(error);
                }
            }
            let mut lines = take_lines(&mut reader.text);
            // Where no version of the list is held, an empty line opens nothing: its first object is still to come.
            lines.retain(|line| *up || after > 0 || !matches!(line, Ok(None)));
            let line_ended = !lines.is_empty();
            for line in lines {
                let line = match line {
                    Ok(line) => line,
                    // To skip a change would leave the list wrong for good: the watch begins again instead.
                    Err(source) => {
                        self.report_torn(&reader.text).await;
                        return Err(CallError::NoList { part: Part::Watch, source });
                    }
                };
                if !std::mem::replace(up, true) {
                    self.trace.opened();
                }
                self.report(Report::Line(line)).await;
            }
            if line_ended {
                reader.line_taken();
            }
            let now: Duration = self.began.elapsed();
            state = state.after_read(now, line_ended, !reader.text.is_empty());
        }
    }

    async fn request(&mut self, path: &str) -> Result<(Response<Incoming>, AbortOnDrop), CallError> {
        let address = self.order.address;
        let up = self.due.min(Instant::now() + CONNECT_TIMEOUT);
        let connect = timeout_at(up, TcpStream::connect(address)).await;
        let stream = connect.map_err(|_| CallError::ConnectTimeout)?.map_err(CallError::of_connect)?;
        self.trace.connected();
        let io = TokioIo::new(Uninterrupted(stream));
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(CallError::Broke)?;
        let guard = AbortOnDrop::new(spawn_local(connection).abort_handle());
        let request = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(CallError::Request)?;
        let answer = timeout_at(self.due, sender.send_request(request)).await;
        let response = answer.map_err(|_| CallError::NoAnswer)?.map_err(CallError::Broke)?;
        match response.status() {
            StatusCode::OK => Ok((response, guard)),
            status => Err(CallError::Refused(status)),
        }
    }

    /// Reports the complete entries of a list that broke off: a drain in them counts as notified. Entries that are up, and
    /// missing ones, may read otherwise behind the break; they wait for a complete list.
    async fn report_torn(&self, text: &[u8]) {
        let list = EndpointList::from_truncated(text);
        if !list.targets.is_empty() {
            self.report(Report::Torn(list)).await;
        }
    }

    async fn report(&self, report: Report) {
        let _ = self.reports.send((self.order.id, report)).await; // fails only while the process ends
    }
}

/// Takes what is whole of the lines that a watch has brought, and leaves the rest. A list may come indented, over
/// several lines; an empty line says that nothing has changed. Behind what is no list nothing is taken.
fn take_lines(text: &mut Vec<u8>) -> Vec<Result<Option<EndpointList>, serde_json::Error>> {
    let mut lines = Vec::new();
    loop {
        let white = text.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        let empty_line = text.drain(..white).any(|byte| byte == b'\n');
        // The end of a list's own line is no line of its own.
        if empty_line && lines.is_empty() {
            lines.push(Ok(None));
        }
        // A piece without a list's end is not read again and again.
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
