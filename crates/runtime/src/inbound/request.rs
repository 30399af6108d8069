//! Parses and validates the head of a client's request.

use super::Inbound;
use crate::response_body::ResponseBody;
use crate::streaming::BodyError;
use curlewhub_balance::{ClassId, RequestId, Semantics, TenantId};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Response, StatusCode};
use std::time::Duration;

/// Why a request is rejected: the status and the body of the response.
pub(super) type Rejection = (StatusCode, &'static str);

impl Inbound {
    /// The class that the request names, if it is configured.
    pub(super) fn class(&self, uri: &hyper::Uri) -> Option<usize> {
        let name = uri.path().split('/').nth(1).unwrap_or_default();
        self.classes.iter().position(|class| class == name)
    }

    /// The request as the balancer needs it, and the client's timeout.
    pub(super) fn parse_request(
        &self,
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Result<(curlewhub_balance::Request, Duration), Rejection> {
        let target = uri.path_and_query().map(|target| target.as_str()).unwrap_or_default();
        if !target.bytes().all(|byte| byte.is_ascii_graphic())
            || headers.values().any(|value| std::str::from_utf8(value.as_bytes()).is_err())
        {
            return Err(bad_request("what is no text"));
        }
        let text = |name: &str| {
            let mut values = headers.get_all(name).iter();
            match (values.next(), values.next()) {
                (None, _) => Ok(None),
                (Some(value), None) => {
                    value.to_str().map(Some).map_err(|_| bad_request("a header is no text"))
                }
                (Some(_), Some(_)) => Err(bad_request("a header comes twice")),
            }
        };
        let class = self.class(uri).ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        if text("x-request-id")?.is_none_or(|id| id.is_empty() || !id.bytes().all(|b| b.is_ascii_graphic()))
        {
            return Err(bad_request("X-Request-ID is missing or bad"));
        }
        let has_key = text("idempotency-key")?.is_some();
        let (expected_method, expects_key) = match self.settings.classes[class].semantics {
            Semantics::Safe => (Method::GET, has_key),
            Semantics::Keyed { .. } => (Method::POST, true),
            Semantics::Unsafe => (Method::POST, false),
        };
        if *method != expected_method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the class's method"));
        }
        if has_key != expects_key {
            return Err(bad_request("Idempotency-Key does not go with the class"));
        }
        let time =
            text("x-timeout")?.and_then(parse_timeout).ok_or(bad_request("X-Timeout is missing or bad"))?;
        // The class's deadline limits the timeout, so that the state kept for requests does not accumulate.
        let time = time.min(self.settings.classes[class].deadline);
        let tenant = match text("x-tenant-id")? {
            _ if self.tenants.is_empty() => 0,
            Some(name) => self
                .tenants
                .iter()
                .position(|tenant| tenant == name)
                .ok_or(bad_request("unknown tenant"))?,
            None => return Err(bad_request("X-Tenant-Id is missing")),
        };
        let query = uri.query().unwrap_or_default().split('&');
        let user = query.filter_map(|pair| pair.strip_prefix("user=")).next();
        let key = user.map(|user| parse_key(user).ok_or(bad_request("user is bad"))).transpose()?;
        let work_hint = text("x-cost")?
            .map(|cost| micros(cost, 1.0).ok_or(bad_request("X-Cost is bad")))
            .transpose()?;
        let request = curlewhub_balance::Request {
            id: RequestId(0),
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left: Duration::ZERO,
            work_hint,
            key,
            client_retry: text("x-retried")? == Some("1"),
            body_incomplete: false,
            write: text("x-attrs")?
                .is_some_and(|attrs| attrs.split(',').any(|attr| attr.trim() == "write=1")),
            earlier_attempt: None,
        };
        Ok((request, time))
    }
}

pub(super) fn bad_request(problem: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, problem)
}

/// The response to a client whose body was not received completely.
pub(super) fn body_rejection(error: BodyError) -> Rejection {
    match error {
        BodyError::Broken => bad_request("body broken"),
        BodyError::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "body too long"),
        BodyError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "body never came"),
    }
}

pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut reply = Response::new(ResponseBody::from_static(text.as_bytes()));
    *reply.status_mut() = status;
    reply
}

/// Parses a number and its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let time = match text.strip_suffix('m') {
        Some(number) => micros(number, 1000.0),
        None => micros(text.strip_suffix('u')?, 1.0),
    };
    time.filter(|time| !time.is_zero())
}

/// Parses a decimal number in units of `unit` microseconds: only digits and at most one point, so no sign,
/// no exponent, and not `inf` or `NaN`.
fn micros(number: &str, unit: f64) -> Option<Duration> {
    let is_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let micros = number.parse::<f64>().ok().filter(|_| is_decimal)? * unit;
    micros.is_finite().then(|| Duration::from_micros(micros as u64))
}

/// Parses a key of up to 16 hex digits.
fn parse_key(text: &str) -> Option<u64> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_hex)
}

/// Removes hop-by-hop headers, and those that are set anew for each attempt.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = (headers.get_all(header::CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != "x-request-id" && *name != "idempotency-key")
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
