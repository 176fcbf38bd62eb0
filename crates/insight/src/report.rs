//! Draws the events of a log over time as an SVG picture.

use plotters::{
    chart::ChartBuilder,
    coord::Shift,
    drawing::{DrawingArea, IntoDrawingArea},
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLACK, BLUE, Color, GREEN, MAGENTA, RED, RGBColor, WHITE},
};
use thiserror::Error;

use crate::line::{Line, Log};

/// Width and height of the picture in pixels.
const SIZE: (u32, u32) = (1_100, 1_000);
/// Maximum number of points on the time axis.
const MAX_POINTS: u64 = 120;
const MARGIN: u32 = 12;
const LABEL_SIZE: u32 = 48;

/// Why a picture could not be drawn.
#[derive(Debug, Error)]
pub enum ReportError {
    /// No log line has a time.
    #[error("no log line has a time")]
    NoTimes,
    /// The drawing library failed.
    #[error("cannot draw the picture: {0}")]
    Drawing(String),
}

fn drawing_error(error: impl std::fmt::Display) -> ReportError {
    ReportError::Drawing(error.to_string())
}

/// A curve: its name and color, and a value for each time step.
struct Curve {
    name: &'static str,
    color: RGBColor,
    values: Vec<f64>,
}

/// The time axis: the start of a log and its division into equal steps.
struct TimeSteps {
    start_ms: u64,
    step_ms: u64,
    count: usize,
}

impl TimeSteps {
    fn new(log: &Log) -> Result<TimeSteps, ReportError> {
        let mut times = log.lines().iter().map(|line| line.time).filter(|time| *time > 0);
        let start_ms = times.next().ok_or(ReportError::NoTimes)?;
        let end_ms = times.next_back().unwrap_or(start_ms);
        let step_ms = ((end_ms - start_ms) / MAX_POINTS).max(100);
        Ok(TimeSteps { start_ms, step_ms, count: ((end_ms - start_ms) / step_ms + 1) as usize })
    }

    fn index(&self, line: &Line) -> Option<usize> {
        let index = line.time.checked_sub(self.start_ms)? / self.step_ms;
        (index < self.count as u64).then_some(index as usize)
    }

    /// Returns the lines per second that `matches` accepts, for each step.
    fn rate(&self, log: &Log, matches: impl Fn(&Line) -> bool) -> Vec<f64> {
        let mut values = vec![0.0; self.count];
        for line in log.lines().iter().filter(|line| matches(line)) {
            if let Some(index) = self.index(line) {
                values[index] += 1_000.0 / self.step_ms as f64;
            }
        }
        values
    }

    /// Returns the maximum of `value` over the lines of each step.
    fn max(&self, log: &Log, value: impl Fn(&Line) -> Option<f64>) -> Vec<f64> {
        let mut values = vec![0.0_f64; self.count];
        for line in log.lines() {
            if let (Some(index), Some(value)) = (self.index(line), value(line)) {
                values[index] = values[index].max(value);
            }
        }
        values
    }
}

/// Draws waiting times, loads, refusals and state changes over time as an SVG picture.
///
/// # Errors
/// No log line has a time, or the drawing library fails.
pub fn report(log: &Log) -> Result<String, ReportError> {
    let steps = TimeSteps::new(log)?;
    let event = |name: &'static str| move |line: &Line| line.event == name;
    let curve = |name, color, values| Curve { name, color, values };
    let load_order = |line: &Line| line.event == "order" && line.get("kind") == "load";
    let slow_load = |line: &Line| line.event == "order_ended" && line.number("took_ms") > 3_000;
    let state_change = |line: &Line| {
        ["members", "text", "superseded", "endpoint_restarted"].contains(&line.event.as_str())
    };
    let lost = |line: &Line| line.event == "side_lost" || line.event == "store_lost";
    let waited = |line: &Line| (line.event == "sent").then(|| line.number("waited_ms") as f64);
    let ttfb = |line: &Line| (line.event == "finished").then(|| line.number("head_ms") as f64);
    let panels = [
        (
            "requests per second",
            vec![
                curve("sent", BLUE, steps.rate(log, event("sent"))),
                curve("finished", GREEN, steps.rate(log, event("finished"))),
                curve("refused", RED, steps.rate(log, event("refused"))),
                curve("failed", MAGENTA, steps.rate(log, event("failed"))),
            ],
        ),
        (
            "maximum time, ms",
            vec![
                curve("waited at the entry", BLUE, steps.max(log, waited)),
                curve("time to first byte", RED, steps.max(log, ttfb)),
            ],
        ),
        (
            "loads per second",
            vec![
                curve("ordered", BLUE, steps.rate(log, load_order)),
                curve("ended after more than 3 s", RED, steps.rate(log, slow_load)),
            ],
        ),
        (
            "state changes per second",
            vec![
                curve("changed", BLUE, steps.rate(log, state_change)),
                curve("dependencies lost", RED, steps.rate(log, lost)),
            ],
        ),
    ];
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(drawing_error)?;
        let areas = root.split_evenly((panels.len(), 1));
        for (area, (title, curves)) in areas.iter().zip(&panels) {
            draw(area, title, curves, &steps)?;
        }
        root.present().map_err(drawing_error)?;
    }
    Ok(svg)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    title: &str,
    curves: &[Curve],
    steps: &TimeSteps,
) -> Result<(), ReportError> {
    let highest = curves.iter().flat_map(|curve| &curve.values).copied().fold(1.0, f64::max);
    let seconds = |index: usize| index as f64 * steps.step_ms as f64 / 1_000.0;
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .caption(title, ("sans-serif", 15))
        .x_label_area_size(LABEL_SIZE / 2)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(0.0..seconds(steps.count), 0.0..highest * 1.05)
        .map_err(drawing_error)?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(drawing_error)?;
    for curve in curves {
        let points = curve.values.iter().enumerate().map(|(index, value)| (seconds(index), *value));
        let color = curve.color;
        chart
            .draw_series(LineSeries::new(points, &color))
            .map_err(drawing_error)?
            .label(curve.name)
            .legend(move |(x, y)| {
                plotters::element::PathElement::new(vec![(x, y), (x + 16, y)], color)
            });
    }
    let labels = chart.configure_series_labels();
    let mut labels = labels;
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(drawing_error)?;
    Ok(())
}
