//! Receives callers' requests and passes them to the control thread.

use std::{
    io::Read,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Instant,
};

use citronrill_base::hash_bytes;
use citronrill_config::hash_api_key;
use citronrill_decide::{Event, IncomingRequest, Ran, RequestId, RequestTarget};
use citronrill_http::{Header, is_forwarded, respond};
use tiny_http::{Method, Request, Server};

use super::Shared;
use crate::json::{ModelRequest, problem};

/// Maximum size of all headers together, in bytes.
const HEADER_LIMIT: usize = 16 << 10;
/// Path prefix of plain services.
const SERVICES: &str = "/services/";

/// A caller's request without a response yet.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) verb: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: RequestBody,
    /// Whether the caller has asked for an event stream.
    pub(crate) event_stream: bool,
    pub(crate) arrived: Instant,
}

/// A request's body.
pub(crate) enum RequestBody {
    /// The body has been read completely.
    Complete(Arc<Vec<u8>>),
    /// The body has not been read from the caller yet; its length, if known.
    Unread(Option<u64>),
}

/// An error response that is sent without the control thread.
struct RequestError {
    status: u16,
    code: &'static str,
    detail: &'static str,
}

impl RequestError {
    const fn new(status: u16, code: &'static str, detail: &'static str) -> RequestError {
        RequestError { status, code, detail }
    }
}

/// Receives requests until the server is closed.
pub(super) fn run(server: &Server, shared: &Arc<Shared>) {
    while let Ok(request) = server.recv() {
        route(request, shared);
    }
}

fn route(request: Request, shared: &Arc<Shared>) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/healthz") => health(request, shared),
        (Method::Get, "/metrics") => metrics(request, shared),
        (Method::Get, "/v1/models") => list_models(request, shared),
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => model_call(request, shared),
        _ if path.starts_with(SERVICES) => plain_call(request, shared),
        _ => respond_error(
            request,
            &RequestError::new(404, "no-such-path", "nothing is served under this path"),
        ),
    }
}

fn respond_error(request: Request, error: &RequestError) {
    let body = problem(error.code, error.status, error.detail, Ran::No, None);
    let headers = [Header::new("Content-Type", "application/problem+json")];
    let _ = respond(request, error.status, &headers, body.as_bytes());
}

fn health(request: Request, shared: &Shared) {
    let ready = shared.ready.load(Ordering::Acquire);
    let (status, body) = if ready { (200, "ready\n") } else { (503, "not ready\n") };
    let _ = respond(request, status, &[], body.as_bytes());
}

fn metrics(request: Request, shared: &Shared) {
    let gauges = shared.gauges.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let text = shared.meter.render(&gauges);
    let headers = [Header::new("Content-Type", "text/plain; version=0.0.4")];
    let _ = respond(request, 200, &headers, text.as_bytes());
}

fn list_models(request: Request, shared: &Arc<Shared>) {
    let Some(key) = bearer(&request) else { return unauthorised(request) };
    let pending = pending_request(request, RequestBody::Unread(None), String::new(), false);
    let id = register(shared, pending);
    shared.event(Event::ListModels { id, key: hash_api_key(&key) });
}

fn unauthorised(request: Request) {
    respond_error(
        request,
        &RequestError::new(401, "unauthorised", "expected a header `Authorization: Bearer KEY`"),
    );
}

fn model_call(mut request: Request, shared: &Arc<Shared>) {
    let Some(key) = bearer(&request) else { return unauthorised(request) };
    if let Err(error) = check_headers(&request) {
        return respond_error(request, &error);
    }
    let body = match read_body(&mut request, shared.body_limit) {
        Ok(body) => body,
        Err(error) => return respond_error(request, &error),
    };
    let Ok(parsed) = serde_json::from_slice::<ModelRequest>(&body) else {
        let detail = "expected a JSON object with `model`";
        return respond_error(request, &RequestError::new(400, "malformed-json", detail));
    };
    let incoming = IncomingRequest {
        id: RequestId(0),
        key: hash_api_key(&key),
        target: RequestTarget::Model(parsed.model.clone()),
        deadline_ms: header_number(&request, "X-Deadline-Ms"),
        idempotency_key: header_value(&request, "Idempotency-Key")
            .map(|key| hash_bytes(key.as_bytes())),
        body_hash: hash_bytes(&body),
        prefix_hash: parsed.prefix_hash(),
    };
    let path = request.url().to_owned();
    let event_stream = parsed.stream.unwrap_or(false);
    submit(
        shared,
        pending_request(request, RequestBody::Complete(Arc::new(body)), path, event_stream),
        incoming,
    );
}

fn plain_call(request: Request, shared: &Arc<Shared>) {
    let Some(key) = bearer(&request) else { return unauthorised(request) };
    if let Err(error) = check_headers(&request) {
        return respond_error(request, &error);
    }
    let rest = request.url().trim_start_matches(SERVICES);
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, path) = (service.to_owned(), format!("/{path}"));
    let length = request.body_length().map(|length| length as u64);
    let chunked = header_value(&request, "Transfer-Encoding").is_some();
    let body = match length {
        None if !chunked => RequestBody::Complete(Arc::default()),
        length => RequestBody::Unread(length),
    };
    let incoming = IncomingRequest {
        id: RequestId(0),
        key: hash_api_key(&key),
        target: RequestTarget::Plain {
            service,
            verb: request.method().to_string(),
            path: path.split('?').next().unwrap_or_default().to_owned(),
        },
        deadline_ms: header_number(&request, "X-Deadline-Ms"),
        idempotency_key: header_value(&request, "Idempotency-Key")
            .map(|key| hash_bytes(key.as_bytes())),
        // The body has not been read yet, so its length is used instead of its hash.
        body_hash: length.unwrap_or(0),
        prefix_hash: 0,
    };
    submit(shared, pending_request(request, body, path, false), incoming);
}

fn submit(shared: &Arc<Shared>, pending: PendingRequest, incoming: IncomingRequest) {
    shared.meter.add("requests", "", 1);
    let id = register(shared, pending);
    shared.event(Event::Request(IncomingRequest { id, ..incoming }));
}

fn pending_request(
    request: Request,
    body: RequestBody,
    path: String,
    event_stream: bool,
) -> PendingRequest {
    let verb = request.method().to_string();
    let headers = request.headers().iter();
    let headers = headers
        .map(|header| Header::new(header.field.as_str().as_str(), header.value.as_str()))
        .filter(|header| {
            is_forwarded(&header.name) && !header.name.eq_ignore_ascii_case("authorization")
        });
    let headers = headers.collect();
    PendingRequest { request, verb, path, headers, body, event_stream, arrived: Instant::now() }
}

fn register(shared: &Shared, pending: PendingRequest) -> RequestId {
    let id = RequestId(shared.next_request.fetch_add(1, Ordering::Relaxed));
    shared.pending().insert(id, pending);
    id
}

fn check_headers(request: &Request) -> Result<(), RequestError> {
    let headers = request.headers().iter();
    let size =
        headers.map(|header| header.field.as_str().as_str().len() + header.value.as_str().len());
    if size.sum::<usize>() > HEADER_LIMIT {
        return Err(RequestError::new(
            431,
            "headers-too-large",
            "all headers together exceed 16 KiB",
        ));
    }
    Ok(())
}

fn read_body(request: &mut Request, limit: u64) -> Result<Vec<u8>, RequestError> {
    const TOO_LARGE: RequestError =
        RequestError::new(413, "body-too-large", "the body exceeds the limit");
    if request.body_length().is_some_and(|length| length as u64 > limit) {
        return Err(TOO_LARGE);
    }
    let expected = request.body_length();
    let mut body = Vec::new();
    let read = request.as_reader().take(limit + 1).read_to_end(&mut body);
    let truncated = read.is_err() || expected.is_some_and(|length| body.len() < length);
    if truncated {
        return Err(RequestError::new(408, "half-a-request", "the body did not come in time"));
    }
    if body.len() as u64 > limit {
        return Err(TOO_LARGE);
    }
    Ok(body)
}

fn header_value(request: &Request, name: &'static str) -> Option<String> {
    let header = request.headers().iter().find(|header| header.field.equiv(name))?;
    Some(header.value.as_str().to_owned())
}

fn header_number(request: &Request, name: &'static str) -> Option<u64> {
    header_value(request, name)?.trim().parse().ok()
}

fn bearer(request: &Request) -> Option<String> {
    let value = header_value(request, "Authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}
