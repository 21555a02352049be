//! Plots of a report over time, as SVG files.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color as _, IntoDrawingArea as _, LineSeries, Palette as _, Palette99,
    SVGBackend, WHITE,
};

use crate::report::{Report, Second};

/// Width and height of a plot.
const PLOT_SIZE_PIXELS: (u32, u32) = (900, 420);

/// Writes `served.svg` and `latency.svg` into `folder`, which must exist.
pub fn write(folder: &Path, report: &Report) -> eyre::Result<()> {
    let served = |second: &Second| second.served as f64;
    draw(&folder.join("served.svg"), "requests served per second", report, served)?;
    let latency = |second: &Second| second.largest_latency_ms;
    draw(&folder.join("latency.svg"), "largest latency in ms", report, latency)
}

/// Draws one line for each stream, with `value` of each second.
fn draw(
    path: &Path,
    title: &str,
    report: &Report,
    value: impl Fn(&Second) -> f64,
) -> eyre::Result<()> {
    let seconds = report.streams.iter().flat_map(|stream| &stream.timeline);
    let largest = seconds.map(&value).fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..report.seconds as f64, 0.0..largest * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, stream) in report.streams.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = stream.timeline.iter().enumerate();
        let points = points.map(|(second, point)| (second as f64, value(point)));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(stream.name.to_string())
            .legend(move |(x, y)| legend_line(x, y, color));
    }
    chart.configure_series_labels().background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

/// Line of a stream's color in the legend, at the pixel position `x`, `y`.
fn legend_line(
    x: i32,
    y: i32,
    color: plotters::style::RGBAColor,
) -> plotters::element::PathElement<(i32, i32)> {
    plotters::element::PathElement::new(vec![(x, y), (x + 16, y)], color)
}
