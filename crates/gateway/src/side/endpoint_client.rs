//! A side's HTTP calls to its endpoint.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use citronrill_pool::{EngineReport, Order, OrderOutcome, SideEvent};
use crossbeam::channel::Sender;
use http_body_util::Full;
use hyper::{Request, StatusCode, header::CONTENT_TYPE};
use tokio::sync::mpsc;

use crate::{
    dialect::Dialect,
    error::GatewayError,
    http_client::{ControlClient, MAX_REPORT_BYTES, get},
};

/// Timeout in milliseconds for a state report: it normally takes a few milliseconds, and an old
/// report is useless.
const REPORT_TIMEOUT_MS: u64 = 400;
/// Timeout in milliseconds for the response to an order.
const ORDER_TIMEOUT_MS: u64 = 400;

/// A call that the control thread requests.
pub(super) enum EndpointCall {
    Poll,
    /// Query the endpoint's name on this path.
    QueryName(String),
    Order(Order),
}

/// Makes the calls to the endpoint.
pub(super) struct EndpointClient {
    pub(super) address: SocketAddr,
    /// Name under which the side sends orders.
    pub(super) holder: String,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) events: Sender<SideEvent>,
}

impl EndpointClient {
    /// Makes the requested calls until the control thread ends.
    pub(super) async fn run(self, mut calls: mpsc::UnboundedReceiver<EndpointCall>) {
        let this = Arc::new(self);
        let mut report_client = ControlClient::new(this.address, MAX_REPORT_BYTES);
        while let Some(call) = calls.recv().await {
            match call {
                EndpointCall::Poll => {
                    let report = this.fetch_report(&mut report_client).await;
                    this.send_event(SideEvent::Report(report));
                }
                EndpointCall::QueryName(path) => {
                    let this = this.clone();
                    tokio::spawn(async move { this.query_name(&path).await });
                }
                EndpointCall::Order(order) => {
                    let this = this.clone();
                    // In its own task: an order without a response must not delay the polls that
                    // show its effect.
                    tokio::spawn(async move {
                        let (outcome, instance) = this.send_order(&order).await;
                        this.send_event(SideEvent::OrderAnswered(order.number, outcome, instance));
                    });
                }
            }
        }
    }

    fn send_event(&self, event: SideEvent) {
        if self.events.send(event).is_err() {
            log::debug!("event=control_gone");
        }
    }

    async fn fetch_report(&self, client: &mut ControlClient) -> Option<EngineReport> {
        let read = async {
            let request = get(self.address, self.dialect.report_path())?;
            let response = client.call(request, REPORT_TIMEOUT_MS).await?;
            if response.status() != StatusCode::OK {
                return Err(GatewayError::Status(response.status().as_u16()));
            }
            let leaving = self.dialect.is_leaving(response.headers());
            let pace = self.dialect.pace(response.headers());
            Ok(EngineReport { leaving, pace, ..self.dialect.decode_report(response.body())? })
        };
        match read.await {
            Ok(report) => Some(report),
            Err(error) => {
                log::info!("event=report_failed error=\"{error}\"");
                None
            }
        }
    }

    /// Queries the endpoint's name; the response carries it whatever the endpoint's health.
    async fn query_name(&self, path: &str) {
        let response = async {
            let request = get(self.address, path)?;
            ControlClient::new(self.address, MAX_REPORT_BYTES)
                .call(request, REPORT_TIMEOUT_MS)
                .await
        };
        match response.await {
            Ok(response) => match self.dialect.incarnation_name(response.headers()) {
                Some(name) => self.send_event(SideEvent::NameReported(name)),
                None => log::info!("event=endpoint_unnamed status={}", response.status()),
            },
            Err(error) => log::info!("event=endpoint_unnamed error=\"{error}\""),
        }
    }

    async fn send_order(&self, order: &Order) -> (OrderOutcome, Option<String>) {
        let call = self.dialect.encode_order(order, &self.holder);
        let mut request = Request::new(Full::new(Bytes::from(call.body)));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = hyper::Uri::from_static(call.path);
        *request.headers_mut() = call.headers;
        let json = hyper::header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        if let Ok(host) = hyper::header::HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(hyper::header::HOST, host);
        }
        let mut client = ControlClient::new(self.address, MAX_REPORT_BYTES);
        match client.call(request, ORDER_TIMEOUT_MS).await {
            Ok(response) => {
                let status = response.status();
                log::debug!("event=order_status order={} status={status}", order.number);
                self.dialect.decode_order_response(status, response.headers())
            }
            Err(error) => {
                log::info!("event=order_unanswered order={} error=\"{error}\"", order.number);
                (OrderOutcome::Unknown, None)
            }
        }
    }
}
