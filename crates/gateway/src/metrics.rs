//! Counters on the metrics address, as Prometheus text.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    fmt::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use citronrill_pool::Reason;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Response, StatusCode, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, time::sleep};

use crate::logs::LogStats;

/// The longest time that is told apart, in milliseconds: no route lets a request last longer.
const LONGEST_MS: u64 = 60_000;

/// A count that only rises.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    /// Counts one.
    pub(crate) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The count.
    pub(crate) fn value(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A distribution of times in milliseconds.
#[derive(Debug)]
pub(crate) struct Times(Mutex<Histogram<u64>>);

impl Default for Times {
    fn default() -> Times {
        // The bounds are constants that the library accepts: 1 ms to [`LONGEST_MS`], two digits.
        let histogram = Histogram::new_with_bounds(1, LONGEST_MS, 2);
        let histogram = histogram.or_else(|_| Histogram::new(2));
        Times(Mutex::new(histogram.expect("two digits are a valid precision")))
    }
}

impl Times {
    /// Counts one time.
    pub(crate) fn record(&self, time: Duration) {
        let ms = (time.as_millis() as u64).clamp(1, LONGEST_MS);
        self.0.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(ms);
    }

    /// Writes the distribution as a summary.
    fn show(&self, text: &mut String, name: &str) {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for quantile in [0.5, 0.9, 0.99] {
            let label = format!("{{quantile=\"{quantile}\"}}");
            line(text, name, &label, times.value_at_quantile(quantile));
        }
        line(text, &format!("{name}_count"), "", times.len());
    }
}

/// Something that shows itself as Prometheus text.
pub(crate) trait Show: Send + Sync {
    /// The text.
    fn show(&self) -> String;
}

/// What an entry counts.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    pub(crate) requests: Counter,
    pub(crate) wants: Counter,
    /// From a request read whole to its first sending.
    pub(crate) waits: Times,
    /// From a sending to the head of its answer.
    pub(crate) heads: Times,
    statuses: Mutex<BTreeMap<u16, u64>>,
    refusals: Mutex<BTreeMap<&'static str, u64>>,
    logs: Arc<LogStats>,
}

impl EntryMetrics {
    pub(crate) fn new(logs: Arc<LogStats>) -> EntryMetrics {
        EntryMetrics {
            requests: Counter::default(),
            wants: Counter::default(),
            waits: Times::default(),
            heads: Times::default(),
            statuses: Mutex::default(),
            refusals: Mutex::default(),
            logs,
        }
    }

    /// Counts an answer of an endpoint.
    pub(crate) fn passed(&self, status: StatusCode) {
        let mut statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        *statuses.entry(status.as_u16()).or_default() += 1;
    }

    /// Counts an answer of the system's own.
    pub(crate) fn refused(&self, reason: Reason) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        *refusals.entry(reason.word()).or_default() += 1;
    }
}

impl Show for EntryMetrics {
    fn show(&self) -> String {
        let mut text = String::new();
        line(&mut text, "citronrill_requests_total", "", self.requests.value());
        line(&mut text, "citronrill_wants_total", "", self.wants.value());
        self.waits.show(&mut text, "citronrill_wait_ms");
        self.heads.show(&mut text, "citronrill_head_ms");
        let statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        for (status, count) in statuses.iter() {
            let label = format!("{{status=\"{status}\"}}");
            line(&mut text, "citronrill_answers_total", &label, *count);
        }
        let refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        for (reason, count) in refusals.iter() {
            let label = format!("{{reason=\"{reason}\"}}");
            line(&mut text, "citronrill_refusals_total", &label, *count);
        }
        log_lines(&mut text, &self.logs);
        text
    }
}

/// Writes one sample.
pub(crate) fn line(text: &mut String, name: &str, labels: &str, value: u64) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{name}{labels} {value}");
}

/// Writes the counts of the log.
pub(crate) fn log_lines(text: &mut String, logs: &LogStats) {
    line(text, "citronrill_log_lines_total", "", logs.written());
    line(text, "citronrill_log_lost_total", "", logs.lost());
}

/// Serves `shown` at `address` for good.
pub(crate) async fn serve_metrics(address: SocketAddr, shown: Arc<impl Show + 'static>) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("event=no_metrics address={address} error=\"{error}\"");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let shown = shown.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_| {
                let text = shown.show();
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::trace!("event=metrics_ended error=\"{error}\"");
            }
        });
    }
}
