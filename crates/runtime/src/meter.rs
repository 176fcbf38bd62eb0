//! Counters and histograms of a process.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use hdrhistogram::Histogram;

/// Upper bound of a histogram, in microseconds; longer times are recorded as this value.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Number of significant decimal digits that a histogram keeps.
const DIGITS: u8 = 2;
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// The counters and histograms of a process.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    counters: Mutex<BTreeMap<(&'static str, &'static str), u64>>,
    times: Mutex<BTreeMap<&'static str, Histogram<u64>>>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Meter {
    /// Adds `count` to a counter. `label` is empty for a counter without labels.
    pub(crate) fn add(&self, name: &'static str, label: &'static str, count: u64) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        *counters.entry((name, label)).or_default() += count;
    }

    /// Records a time, in microseconds, in a histogram.
    pub(crate) fn record_time(&self, name: &'static str, micros: u64) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        let histogram = times.entry(name);
        let histogram = histogram.or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_TIME_US, DIGITS)
                .unwrap_or_else(|_| unreachable!("constant bounds"))
        });
        histogram.saturating_record(micros.max(1));
    }

    /// Counts bytes sent to and received from other processes of the deployment.
    pub(crate) fn add_bytes(&self, sent_bytes: u64, received_bytes: u64) {
        self.sent_bytes.fetch_add(sent_bytes, Ordering::Relaxed);
        self.received_bytes.fetch_add(received_bytes, Ordering::Relaxed);
    }

    /// Returns all counters, for state dumps.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, u64> {
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = counters
            .iter()
            .map(|((name, label), count)| match *label {
                "" => ((*name).to_owned(), *count),
                label => (format!("{name}.{label}"), *count),
            })
            .collect::<BTreeMap<_, _>>();
        all.insert("wire_sent_bytes".to_owned(), self.sent_bytes.load(Ordering::Relaxed));
        all.insert("wire_received_bytes".to_owned(), self.received_bytes.load(Ordering::Relaxed));
        all
    }

    /// Returns all counters and histograms, and the given gauges, in the Prometheus text format.
    pub(crate) fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        for (name, value) in gauges {
            let _ = writeln!(text, "# TYPE citronrill_{name} gauge\ncitronrill_{name} {value}");
        }
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let mut last_name = "";
        for ((name, label), count) in counters.iter() {
            if last_name != *name {
                let _ = writeln!(text, "# TYPE citronrill_{name}_total counter");
                last_name = name;
            }
            let _ = match *label {
                "" => writeln!(text, "citronrill_{name}_total {count}"),
                label => writeln!(text, "citronrill_{name}_total{{kind=\"{label}\"}} {count}"),
            };
        }
        drop(counters);
        for (name, value) in
            [("wire_sent_bytes", &self.sent_bytes), ("wire_received_bytes", &self.received_bytes)]
        {
            let value = value.load(Ordering::Relaxed);
            let _ = writeln!(text, "# TYPE citronrill_{name}_total counter");
            let _ = writeln!(text, "citronrill_{name}_total {value}");
        }
        self.render_times(&mut text);
        text
    }

    fn render_times(&self, text: &mut String) {
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, histogram) in times.iter() {
            let _ = writeln!(text, "# TYPE citronrill_{name}_seconds summary");
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile) as f64 / 1e6;
                let _ =
                    writeln!(text, "citronrill_{name}_seconds{{quantile=\"{quantile}\"}} {value}");
            }
            let sum = histogram.mean() * histogram.len() as f64 / 1e6;
            let _ = writeln!(text, "citronrill_{name}_seconds_sum {sum}");
            let _ = writeln!(text, "citronrill_{name}_seconds_count {}", histogram.len());
        }
    }
}
