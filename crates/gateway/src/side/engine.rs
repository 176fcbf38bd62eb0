//! Calls to the endpoint beside a side.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use citronrill_pool::{EngineReport, Order, OrderOutcome, SideEvent};
use crossbeam::channel::Sender;
use http_body_util::Full;
use hyper::{Request, StatusCode, header::CONTENT_TYPE};
use tokio::sync::mpsc;

use crate::{
    call::{Control, get},
    dialect::Dialect,
    error::GatewayError,
};

/// Milliseconds for the endpoint's state: it answers within a few, and an old one is of no use.
const REPORT_MS: u64 = 400;
/// Milliseconds for an answer to an order.
const ORDER_MS: u64 = 400;

/// What the control thread asks of the traffic runtime.
pub(super) enum Task {
    Poll,
    /// Ask for the endpoint's name on this path.
    Identify(String),
    Order(Order),
}

/// The calls to the endpoint.
pub(super) struct Engine {
    pub(super) address: SocketAddr,
    /// By which name it gives orders.
    pub(super) holder: String,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) events: Sender<SideEvent>,
}

impl Engine {
    /// Carries out what is asked until the control thread ends.
    pub(super) async fn run(self, mut tasks: mpsc::UnboundedReceiver<Task>) {
        let this = Arc::new(self);
        let mut reports = Control::new(this.address);
        while let Some(task) = tasks.recv().await {
            match task {
                Task::Poll => {
                    let report = this.report(&mut reports).await;
                    this.tell(SideEvent::Report(report));
                }
                Task::Identify(path) => {
                    let this = this.clone();
                    tokio::spawn(async move { this.identify(&path).await });
                }
                Task::Order(order) => {
                    let this = this.clone();
                    // A silent order must not hold up the looks that show what became of it.
                    tokio::spawn(async move {
                        let (outcome, instance) = this.order(&order).await;
                        this.tell(SideEvent::Ordered(order.number, outcome, instance));
                    });
                }
            }
        }
    }

    fn tell(&self, event: SideEvent) {
        if self.events.send(event).is_err() {
            log::debug!("event=control_gone");
        }
    }

    async fn report(&self, control: &mut Control) -> Option<EngineReport> {
        let read = async {
            let request = get(self.address, self.dialect.report_path())?;
            let response = control.call(request, REPORT_MS).await?;
            if response.status() != StatusCode::OK {
                return Err(GatewayError::Status(response.status().as_u16()));
            }
            Ok(self.dialect.report(response.body())?)
        };
        match read.await {
            Ok(report) => Some(report),
            Err(error) => {
                log::info!("event=report_failed error=\"{error}\"");
                None
            }
        }
    }

    /// Asks the endpoint for its name; whatever it says of its health, the answer bears it.
    async fn identify(&self, path: &str) {
        let asked = async {
            let request = get(self.address, path)?;
            Control::new(self.address).call(request, REPORT_MS).await
        };
        match asked.await {
            Ok(response) => match self.dialect.named(response.headers()) {
                Some(name) => self.tell(SideEvent::Named(name)),
                None => log::info!("event=endpoint_unnamed status={}", response.status()),
            },
            Err(error) => log::info!("event=endpoint_unnamed error=\"{error}\""),
        }
    }

    async fn order(&self, order: &Order) -> (OrderOutcome, Option<String>) {
        let call = self.dialect.order(order, &self.holder);
        let mut request = Request::new(Full::new(Bytes::from(call.body)));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = hyper::Uri::from_static(call.path);
        *request.headers_mut() = call.headers;
        let json = hyper::header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        if let Ok(host) = hyper::header::HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(hyper::header::HOST, host);
        }
        match Control::new(self.address).call(request, ORDER_MS).await {
            Ok(response) => {
                let status = response.status();
                log::debug!("event=order_status order={} status={status}", order.number);
                self.dialect.ordered(status, response.headers())
            }
            Err(error) => {
                log::info!("event=order_unanswered order={} error=\"{error}\"", order.number);
                (OrderOutcome::Unknown, None)
            }
        }
    }
}
