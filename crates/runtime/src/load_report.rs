//! Parses the load reports of endpoints, which consist of `name=value` pairs in a header or a body.

use curlewhub_balance::LoadField;
use hyper::HeaderMap;

/// The response header that carries a report.
const HEADER: &str = "x-server-load";

/// Reads the fields that the settings name.
#[derive(Clone, Debug)]
pub(crate) struct LoadReportReader {
    fields: Vec<LoadField>,
}

impl LoadReportReader {
    /// A reader of these fields; none if the deployment has no reports.
    pub fn new(fields: Vec<LoadField>) -> Self {
        LoadReportReader { fields }
    }

    /// The report in the headers of a response, if there is a complete one.
    pub fn in_headers(&self, headers: &HeaderMap) -> Option<Vec<f64>> {
        self.read(headers.get(HEADER)?.to_str().ok()?)
    }

    /// The values of the configured fields, in their order; none unless all are present.
    pub fn read(&self, text: &str) -> Option<Vec<f64>> {
        let value = |field: &LoadField| {
            let pairs = text.trim().split(',').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.into_iter().find(|(name, _)| *name == wire_name(*field))?;
            value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
        };
        if self.fields.is_empty() {
            return None;
        }
        self.fields.iter().map(value).collect()
    }
}

/// The name of a field on the wire.
fn wire_name(field: LoadField) -> &'static str {
    match field {
        LoadField::Outstanding => "inflight",
        LoadField::Backlog => "queue",
        LoadField::Utilization => "util",
        LoadField::RecentMs => "latency_ms",
        LoadField::Throughput => "qps",
        LoadField::ErrorsPerS => "eps",
        LoadField::Other => "",
    }
}
