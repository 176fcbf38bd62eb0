//! Counters and histograms of one process.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use hdrhistogram::Histogram;

/// The longest time that a histogram tells apart, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 2;
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// Counts what a process does.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    counters: Mutex<BTreeMap<(&'static str, &'static str), u64>>,
    times: Mutex<BTreeMap<&'static str, Histogram<u64>>>,
    sent: AtomicU64,
    received: AtomicU64,
}

impl Meter {
    /// Adds to a counter; `label` is empty for a counter without labels.
    pub(crate) fn add(&self, name: &'static str, label: &'static str, count: u64) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        *counters.entry((name, label)).or_default() += count;
    }

    /// Records a time in microseconds.
    pub(crate) fn time(&self, name: &'static str, micros: u64) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        let histogram = times.entry(name);
        let histogram = histogram.or_insert_with(|| {
            Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
                .unwrap_or_else(|_| unreachable!("constant bounds"))
        });
        histogram.saturating_record(micros.max(1));
    }

    /// Counts bytes of control traffic between own processes.
    pub(crate) fn bytes(&self, sent: u64, received: u64) {
        self.sent.fetch_add(sent, Ordering::Relaxed);
        self.received.fetch_add(received, Ordering::Relaxed);
    }

    /// All counters, for dumps.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, u64> {
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = counters
            .iter()
            .map(|((name, label), count)| match *label {
                "" => ((*name).to_owned(), *count),
                label => (format!("{name}.{label}"), *count),
            })
            .collect::<BTreeMap<_, _>>();
        all.insert("wire_sent_bytes".to_owned(), self.sent.load(Ordering::Relaxed));
        all.insert("wire_received_bytes".to_owned(), self.received.load(Ordering::Relaxed));
        all
    }

    /// All counters and histograms as Prometheus text, with the gauges that the caller adds.
    pub(crate) fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        for (name, value) in gauges {
            let _ = writeln!(text, "# TYPE citronrill_{name} gauge\ncitronrill_{name} {value}");
        }
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let mut last = "";
        for ((name, label), count) in counters.iter() {
            if last != *name {
                let _ = writeln!(text, "# TYPE citronrill_{name}_total counter");
                last = name;
            }
            let _ = match *label {
                "" => writeln!(text, "citronrill_{name}_total {count}"),
                label => writeln!(text, "citronrill_{name}_total{{kind=\"{label}\"}} {count}"),
            };
        }
        drop(counters);
        for (name, value) in
            [("wire_sent_bytes", &self.sent), ("wire_received_bytes", &self.received)]
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
