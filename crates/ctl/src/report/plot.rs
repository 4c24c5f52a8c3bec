//! The burn report as an SVG plot: each service's burn rate over time.

use std::fmt;

use plotters::prelude::*;

use super::burn::{burn_rate, BurnReport, ServiceBurn};

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (960, 540);
/// Services drawn; more would not be told apart.
const SERVICES_DRAWN: usize = 8;
/// Lowest top of the vertical axis, so that a quiet day looks quiet.
const LOWEST_TOP: f64 = 2.0;

/// The plot could not be drawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "plot not drawn: {}", self.0)
    }
}

impl std::error::Error for PlotError {}

fn drawing<E: fmt::Display>(error: E) -> PlotError {
    PlotError(error.to_string())
}

/// Draws `report` as an SVG document.
///
/// # Errors
/// [`PlotError`] when the drawing library fails.
pub fn burn_svg(report: &BurnReport) -> Result<String, PlotError> {
    let mut text = String::new();
    let drawn: Vec<(&str, Vec<(f64, f64)>)> = report
        .services
        .iter()
        .take(SERVICES_DRAWN)
        .map(|burn| (burn.service.as_str(), points(report, burn)))
        .collect();
    let top = drawn
        .iter()
        .flat_map(|(_, points)| points)
        .fold(LOWEST_TOP, |top, (_, rate)| top.max(*rate));
    let start = -report.settings.long.as_secs_f64();
    {
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(drawing)?;
        let caption = format!("Burn rate, objective {}", report.settings.objective);
        let mut chart = ChartBuilder::on(&root)
            .caption(caption, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(start..0.0, 0.0..top * 1.05)
            .map_err(drawing)?;
        chart
            .configure_mesh()
            .x_desc("seconds before the newest sample")
            .y_desc("burn rate")
            .draw()
            .map_err(drawing)?;
        let budget = LineSeries::new([(start, 1.0), (0.0, 1.0)], BLACK.mix(0.4));
        chart.draw_series(budget).map_err(drawing)?;
        for (index, (service, points)) in drawn.into_iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(drawing)?
                .label(service)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.4))
            .draw()
            .map_err(drawing)?;
        root.present().map_err(drawing)?;
    }
    Ok(text)
}

/// The burn rate of each sampling time, in seconds before the newest sample.
#[allow(clippy::cast_precision_loss)] // Windows are hours, not ages.
fn points(report: &BurnReport, burn: &ServiceBurn) -> Vec<(f64, f64)> {
    burn.steps
        .chunk_by(|left, right| left.at == right.at)
        .filter_map(|steps| {
            let mut calls = super::sample::CallTotals::default();
            for step in steps {
                calls.add(step.calls);
            }
            let rate = burn_rate(calls, report.settings.objective)?;
            let before = report.as_of.saturating_sub(steps[0].at);
            Some((-(before as f64), rate))
        })
        .collect()
}
