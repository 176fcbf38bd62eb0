//! Refusals and aborted responses as callers receive them, and the conversion of headers.

use std::io;

use citronrill_decide::Refusal;
use citronrill_http::{Header, ResponseWriter, respond};
use tiny_http::Request;

use crate::json::refusal_problem;

/// Responds to a request with a refusal.
pub(crate) fn refuse(request: Request, refusal: &Refusal) -> io::Result<()> {
    let mut headers = vec![Header::new("Content-Type", "application/problem+json")];
    if let Some(millis) = refusal.retry_ms {
        headers.push(Header::new("Retry-After", &millis.div_ceil(1000).max(1).to_string()));
    }
    let body = refusal_problem(refusal);
    respond(request, refusal.kind.status(), &headers, body.as_bytes())
}

/// Aborts a response of which the caller has received a part: writes an error event and no
/// terminating chunk.
pub(crate) fn abort(mut response: ResponseWriter, refusal: &Refusal) {
    let event = format!("event: error\ndata: {}\n\n", refusal_problem(refusal));
    let _ = response.write_part(event.as_bytes());
    response.abort();
}

/// Converts headers to their form in messages between processes.
pub(crate) fn to_wire(headers: impl IntoIterator<Item = Header>) -> Vec<citronrill_wire::Header> {
    let convert =
        |header: Header| citronrill_wire::Header { name: header.name, value: header.value };
    headers.into_iter().map(convert).collect()
}

/// Converts headers from a message of another process.
pub(crate) fn from_wire(headers: Vec<citronrill_wire::Header>) -> Vec<Header> {
    headers.into_iter().map(|header| Header { name: header.name, value: header.value }).collect()
}
