//! A run as a picture.

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
/// Points on the axis of time at most.
const POINTS: u64 = 120;
const MARGIN: u32 = 12;
const LABELS: u32 = 48;

/// Why a picture could not be drawn.
#[derive(Debug, Error)]
pub enum ReportError {
    /// No line tells its time.
    #[error("no line tells its time")]
    Timeless,
    /// The picture could not be made.
    #[error("cannot draw: {0}")]
    Drawing(String),
}

fn drawing(error: impl std::fmt::Display) -> ReportError {
    ReportError::Drawing(error.to_string())
}

/// One curve: its name and color, and a value for each step of time.
struct Curve {
    name: &'static str,
    color: RGBColor,
    values: Vec<f64>,
}

/// Where a run begins, and how it is divided.
struct Steps {
    begun: u64,
    each: u64,
    count: usize,
}

impl Steps {
    fn of(log: &Log) -> Result<Steps, ReportError> {
        let mut times = log.lines().iter().map(|line| line.time).filter(|time| *time > 0);
        let begun = times.next().ok_or(ReportError::Timeless)?;
        let ended = times.next_back().unwrap_or(begun);
        let each = ((ended - begun) / POINTS).max(100);
        Ok(Steps { begun, each, count: ((ended - begun) / each + 1) as usize })
    }

    fn index(&self, line: &Line) -> Option<usize> {
        let index = line.time.checked_sub(self.begun)? / self.each;
        (index < self.count as u64).then_some(index as usize)
    }

    /// Lines a second that `chosen` picks.
    fn rate(&self, log: &Log, chosen: impl Fn(&Line) -> bool) -> Vec<f64> {
        let mut values = vec![0.0; self.count];
        for line in log.lines().iter().filter(|line| chosen(line)) {
            if let Some(index) = self.index(line) {
                values[index] += 1_000.0 / self.each as f64;
            }
        }
        values
    }

    /// The largest value that `value` gives within each step.
    fn most(&self, log: &Log, value: impl Fn(&Line) -> Option<f64>) -> Vec<f64> {
        let mut values = vec![0.0_f64; self.count];
        for line in log.lines() {
            if let (Some(index), Some(value)) = (self.index(line), value(line)) {
                values[index] = values[index].max(value);
            }
        }
        values
    }
}

/// Draws waits, loads, refusals and changed beliefs over time as an SVG picture.
///
/// # Errors
/// No line tells its time, or the picture cannot be made.
pub fn report(log: &Log) -> Result<String, ReportError> {
    let steps = Steps::of(log)?;
    let event = |name: &'static str| move |line: &Line| line.event == name;
    let curve = |name, color, values| Curve { name, color, values };
    let load = |line: &Line| line.event == "order" && line.get("kind") == "load";
    let far = |line: &Line| line.event == "order_ended" && line.number("took_ms") > 3_000;
    let belief = |line: &Line| {
        ["members", "text", "superseded", "endpoint_restarted"].contains(&line.event.as_str())
    };
    let lost = |line: &Line| line.event == "side_lost" || line.event == "store_lost";
    let waited = |line: &Line| (line.event == "sent").then(|| line.number("waited_ms") as f64);
    let head = |line: &Line| (line.event == "finished").then(|| line.number("head_ms") as f64);
    let panels = [
        (
            "requests a second",
            vec![
                curve("sent", BLUE, steps.rate(log, event("sent"))),
                curve("finished", GREEN, steps.rate(log, event("finished"))),
                curve("refused", RED, steps.rate(log, event("refused"))),
                curve("failed", MAGENTA, steps.rate(log, event("failed"))),
            ],
        ),
        (
            "longest time, ms",
            vec![
                curve("waited at the entry", BLUE, steps.most(log, waited)),
                curve("to the first byte", RED, steps.most(log, head)),
            ],
        ),
        (
            "loads a second",
            vec![
                curve("ordered", BLUE, steps.rate(log, load)),
                curve("ended after more than 3 s", RED, steps.rate(log, far)),
            ],
        ),
        (
            "beliefs a second",
            vec![
                curve("changed", BLUE, steps.rate(log, belief)),
                curve("dependencies lost", RED, steps.rate(log, lost)),
            ],
        ),
    ];
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(drawing)?;
        let areas = root.split_evenly((panels.len(), 1));
        for (area, (title, curves)) in areas.iter().zip(&panels) {
            draw(area, title, curves, &steps)?;
        }
        root.present().map_err(drawing)?;
    }
    Ok(svg)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    title: &str,
    curves: &[Curve],
    steps: &Steps,
) -> Result<(), ReportError> {
    let highest = curves.iter().flat_map(|curve| &curve.values).copied().fold(1.0, f64::max);
    let seconds = |index: usize| index as f64 * steps.each as f64 / 1_000.0;
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .caption(title, ("sans-serif", 15))
        .x_label_area_size(LABELS / 2)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..seconds(steps.count), 0.0..highest * 1.05)
        .map_err(drawing)?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(drawing)?;
    for curve in curves {
        let points = curve.values.iter().enumerate().map(|(at, value)| (seconds(at), *value));
        let color = curve.color;
        chart
            .draw_series(LineSeries::new(points, &color))
            .map_err(drawing)?
            .label(curve.name)
            .legend(move |(x, y)| {
                plotters::element::PathElement::new(vec![(x, y), (x + 16, y)], color)
            });
    }
    let labels = chart.configure_series_labels();
    let mut labels = labels;
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(drawing)?;
    Ok(())
}
