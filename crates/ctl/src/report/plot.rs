//! Plots the burn report as SVG: each service's burn rate over time.

use std::fmt;

use plotters::prelude::*;

use super::burn::{burn_rate, BurnReport, ServiceBurn};

/// Width and height of the plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (960, 540);
/// Maximum number of services plotted; the lines of more could not be told apart.
const MAX_PLOTTED_SERVICES: usize = 8;
/// Minimum burn rate at the top of the vertical axis, so that low burn rates look low.
const MIN_RATE_AXIS_TOP: f64 = 2.0;

/// Error of the plotting library.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "cannot draw the plot: {}", self.0)
    }
}

impl std::error::Error for PlotError {}

fn plot_error<E: fmt::Display>(error: E) -> PlotError {
    PlotError(error.to_string())
}

/// Plots `report` and returns the SVG document.
///
/// # Errors
/// [`PlotError`] if the plotting library fails.
pub fn burn_svg(report: &BurnReport) -> Result<String, PlotError> {
    let mut text = String::new();
    let lines: Vec<(&str, Vec<(f64, f64)>)> = report
        .services
        .iter()
        .take(MAX_PLOTTED_SERVICES)
        .map(|burn| (burn.service.as_str(), rate_points(report, burn)))
        .collect();
    let top = lines
        .iter()
        .flat_map(|(_, points)| points)
        .fold(MIN_RATE_AXIS_TOP, |top, (_, rate)| top.max(*rate));
    let start = -report.settings.long.as_secs_f64();
    {
        let root = SVGBackend::with_string(&mut text, PLOT_SIZE_PX).into_drawing_area();
        root.fill(&WHITE).map_err(plot_error)?;
        let caption = format!("Burn rate, objective {}", report.settings.objective);
        let mut chart = ChartBuilder::on(&root)
            .caption(caption, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(start..0.0, 0.0..top * 1.05)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .x_desc("seconds before the newest sample")
            .y_desc("burn rate")
            .draw()
            .map_err(plot_error)?;
        let budget = LineSeries::new([(start, 1.0), (0.0, 1.0)], BLACK.mix(0.4));
        chart.draw_series(budget).map_err(plot_error)?;
        for (index, (service, points)) in lines.into_iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(plot_error)?
                .label(service)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.4))
            .draw()
            .map_err(plot_error)?;
        root.present().map_err(plot_error)?;
    }
    Ok(text)
}

/// Returns the points of one service's line: the time relative to the newest sample, in
/// seconds, and the burn rate of all daemons' calls since the samples before.
#[allow(clippy::cast_precision_loss)] // Windows are hours long, far below 2^52 seconds.
fn rate_points(report: &BurnReport, burn: &ServiceBurn) -> Vec<(f64, f64)> {
    burn.increments
        .chunk_by(|left, right| left.at == right.at)
        .filter_map(|increments| {
            let mut calls = super::sample::CallTotals::default();
            for increment in increments {
                calls.add(increment.calls);
            }
            let rate = burn_rate(calls, report.settings.objective)?;
            let age_s = report.as_of.saturating_sub(increments[0].at);
            Some((-(age_s as f64), rate))
        })
        .collect()
}
