//! Counters and histograms, served as Prometheus text on the metrics address.

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
use citronrill_pool::{LimitUsage, Reason, RetryCounts, WaitCounts};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Response, StatusCode, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, time::sleep};

use crate::{logs::LogStats, resources::Resources};

/// Upper bound of the histograms in milliseconds: no route allows a longer request.
const MAX_MS: u64 = 60_000;

/// A monotonic counter.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the count to that of another counter.
    pub(crate) fn set(&self, count: u64) {
        self.0.store(count, Ordering::Relaxed);
    }

    /// Returns the current count.
    pub(crate) fn value(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Histogram of durations in milliseconds.
#[derive(Debug)]
pub(crate) struct DurationHistogram(Mutex<Histogram<u64>>);

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        // The bounds are constants that the library accepts: 1 ms to [`MAX_MS`], two significant digits.
        let histogram = Histogram::new_with_bounds(1, MAX_MS, 2);
        let histogram = histogram.or_else(|_| Histogram::new(2));
        DurationHistogram(Mutex::new(histogram.expect("two digits are a valid precision")))
    }
}

impl DurationHistogram {
    /// Records one duration.
    pub(crate) fn record(&self, time: Duration) {
        let ms = (time.as_millis() as u64).clamp(1, MAX_MS);
        self.0.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(ms);
    }

    /// Writes the histogram as a Prometheus summary.
    fn write_summary(&self, text: &mut String, name: &str) {
        let histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for quantile in [0.5, 0.9, 0.99] {
            let label = format!("{{quantile=\"{quantile}\"}}");
            write_sample(text, name, &label, histogram.value_at_quantile(quantile));
        }
        write_sample(text, &format!("{name}_count"), "", histogram.len());
    }
}

/// Metrics of a process.
pub(crate) trait Metrics: Send + Sync {
    /// Returns the metrics as Prometheus text.
    fn render(&self) -> String;
}

/// Metrics of an entry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    pub(crate) requests: Counter,
    pub(crate) load_requests: Counter,
    /// Checks whether an endpoint has crashed.
    pub(crate) crash_checks: Counter,
    /// Requests that this entry found to crash endpoints.
    pub(crate) quarantined: Counter,
    /// Time from a complete request to its first attempt.
    pub(crate) queue_time: DurationHistogram,
    /// Time from an attempt to the head of its response.
    pub(crate) ttfb: DurationHistogram,
    /// Reports to the side that issues credit for organisations' limits.
    pub(crate) credit_reports: Counter,
    /// Reports to the side that queues loads from the weight store.
    pub(crate) store_reports: Counter,
    /// Reports to the side that divides organisations' shares.
    pub(crate) share_reports: Counter,
    /// Requests over their organisation's share.
    pub(crate) over_share: Counter,
    /// Streams of callers' earlier attempts that went on here.
    pub(crate) streams_reconnected: Counter,
    limits: Mutex<Vec<LimitUsage>>,
    /// Further dispatches by service.
    retries: Mutex<BTreeMap<String, RetryCounts>>,
    /// Dispatches by expected wait, by service.
    waits: Mutex<BTreeMap<String, WaitCounts>>,
    statuses: Mutex<BTreeMap<u16, u64>>,
    refusals: Mutex<BTreeMap<&'static str, u64>>,
    resources: Arc<Resources>,
    logs: Arc<LogStats>,
}

impl EntryMetrics {
    pub(crate) fn new(resources: Arc<Resources>, logs: Arc<LogStats>) -> EntryMetrics {
        EntryMetrics {
            resources,
            requests: Counter::default(),
            load_requests: Counter::default(),
            crash_checks: Counter::default(),
            quarantined: Counter::default(),
            queue_time: DurationHistogram::default(),
            ttfb: DurationHistogram::default(),
            credit_reports: Counter::default(),
            store_reports: Counter::default(),
            share_reports: Counter::default(),
            over_share: Counter::default(),
            streams_reconnected: Counter::default(),
            limits: Mutex::default(),
            retries: Mutex::default(),
            waits: Mutex::default(),
            statuses: Mutex::default(),
            refusals: Mutex::default(),
            logs,
        }
    }

    /// Counts a response of an endpoint.
    pub(crate) fn count_response(&self, status: StatusCode) {
        let mut statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        *statuses.entry(status.as_u16()).or_default() += 1;
    }

    /// Sets what was counted for organisations with a limit.
    pub(crate) fn set_limit_usage(&self, usage: impl Iterator<Item = LimitUsage>) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        limits.clear();
        limits.extend(usage);
    }

    /// Sets the numbers of further dispatches by service.
    pub(crate) fn set_retries<'a>(&self, counts: impl Iterator<Item = (&'a str, RetryCounts)>) {
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        retries.clear();
        retries.extend(counts.map(|(service, counts)| (service.to_owned(), counts)));
    }

    /// Sets the dispatches by expected wait by service.
    pub(crate) fn set_waits<'a>(&self, counts: impl Iterator<Item = (&'a str, WaitCounts)>) {
        let mut waits = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        waits.clear();
        waits.extend(counts.map(|(service, counts)| (service.to_owned(), counts)));
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, reason: Reason) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        *refusals.entry(reason.as_str()).or_default() += 1;
    }
}

impl Metrics for EntryMetrics {
    fn render(&self) -> String {
        let mut text = String::new();
        write_sample(&mut text, "citronrill_requests_total", "", self.requests.value());
        write_sample(&mut text, "citronrill_wants_total", "", self.load_requests.value());
        write_sample(&mut text, "citronrill_crash_checks_total", "", self.crash_checks.value());
        write_sample(&mut text, "citronrill_quarantined_total", "", self.quarantined.value());
        self.queue_time.write_summary(&mut text, "citronrill_wait_ms");
        self.ttfb.write_summary(&mut text, "citronrill_head_ms");
        let statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        for (status, count) in statuses.iter() {
            let label = format!("{{status=\"{status}\"}}");
            write_sample(&mut text, "citronrill_answers_total", &label, *count);
        }
        let refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        for (reason, count) in refusals.iter() {
            let label = format!("{{reason=\"{reason}\"}}");
            write_sample(&mut text, "citronrill_refusals_total", &label, *count);
        }
        let reconnects = self.streams_reconnected.value();
        write_sample(&mut text, "citronrill_streams_reconnected_total", "", reconnects);
        write_sample(&mut text, "citronrill_credit_reports_total", "", self.credit_reports.value());
        write_sample(&mut text, "citronrill_store_reports_total", "", self.store_reports.value());
        write_sample(&mut text, "citronrill_share_reports_total", "", self.share_reports.value());
        write_sample(&mut text, "citronrill_over_share_total", "", self.over_share.value());
        let limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        for usage in limits.iter() {
            let label = format!("{{org=\"{}\"}}", usage.organisation);
            write_sample(&mut text, "citronrill_limit_used_total", &label, usage.used);
            write_sample(&mut text, "citronrill_limit_refused_total", &label, usage.refused);
            write_sample(&mut text, "citronrill_limit_left", &label, usage.left);
        }
        let retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        for (service, counts) in retries.iter() {
            let RetryCounts { granted, denied, returned } = *counts;
            for (result, count) in
                [("granted", granted), ("denied", denied), ("returned", returned)]
            {
                let label = format!("{{service=\"{service}\",result=\"{result}\"}}");
                write_sample(&mut text, "citronrill_retries_total", &label, count);
            }
        }
        let (connections, bytes) = (self.resources.connections(), self.resources.buffered_bytes());
        write_sample(&mut text, "citronrill_caller_connections", "", connections);
        write_sample(&mut text, "citronrill_buffered_bytes", "", bytes);
        let waits = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        for (service, counts) in waits.iter() {
            let label = format!("{{service=\"{service}\"}}");
            write_sample(&mut text, "citronrill_expected_wait_ms_count", &label, counts.dispatches);
            write_sample(&mut text, "citronrill_expected_wait_ms_sum", &label, counts.wait_ms);
        }
        write_log_counts(&mut text, &self.logs);
        text
    }
}

/// Writes one sample.
pub(crate) fn write_sample(text: &mut String, name: &str, labels: &str, value: u64) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{name}{labels} {value}");
}

/// Writes the counts of log lines.
pub(crate) fn write_log_counts(text: &mut String, logs: &LogStats) {
    write_sample(text, "citronrill_log_lines_total", "", logs.written());
    write_sample(text, "citronrill_log_lost_total", "", logs.lost());
}

/// Serves `metrics` at `address` until the process ends.
pub(crate) async fn serve_metrics(address: SocketAddr, metrics: Arc<impl Metrics + 'static>) {
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
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_| {
                let text = metrics.render();
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::trace!("event=metrics_ended error=\"{error}\"");
            }
        });
    }
}
