//! Lines over an axis, with bands where there are some, as SVG.

use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;

const SIZE: (u32, u32) = (900, 380);
const COLORS: [RGBColor; 10] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(188, 189, 34),
    RGBColor(23, 190, 207),
];

/// One line of a chart.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Line {
    /// What it shows.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
    /// The least and the most at each x, where it has a band.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub band: Vec<(f64, f64, f64)>,
}

/// A chart.
pub struct Chart {
    /// The file's name, without its ending.
    pub name: &'static str,
    /// What stands above it.
    pub title: &'static str,
    /// What its x axis is.
    pub x: String,
    /// Its lines.
    pub lines: Vec<Line>,
}

/// A chart that has been drawn.
pub struct Drawn {
    /// Its file's name, without its ending.
    pub name: &'static str,
    /// Its text.
    pub svg: String,
}

/// Draws charts.
///
/// # Errors
/// One can't be drawn; it is named.
pub fn draw(charts: &[Chart]) -> Result<Vec<Drawn>, String> {
    let draw = |chart: &Chart| match svg(chart) {
        Ok(svg) => Ok(Drawn { name: chart.name, svg }),
        Err(problem) => Err(format!("{}: {problem}", chart.name)),
    };
    charts.iter().map(draw).collect()
}

/// Writes charts into a folder; their paths.
///
/// # Errors
/// A file can't be written.
pub fn write(charts: &[Drawn], folder: &Path) -> Result<Vec<String>, String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let write = |chart: &Drawn| {
        let path = folder.join(format!("{}.svg", chart.name));
        std::fs::write(&path, &chart.svg).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path.display().to_string())
    };
    charts.iter().map(write).collect()
}

/// The least and the most of these, and one more where they are one.
fn range(values: impl Iterator<Item = f64>) -> std::ops::Range<f64> {
    let (low, high) = values.fold((f64::MAX, f64::MIN), |(low, high), v| (low.min(v), high.max(v)));
    if low > high { 0.0..1.0 } else { low..if high > low { high } else { low + 1.0 } }
}

fn svg(chart: &Chart) -> Result<String, Box<dyn std::error::Error>> {
    let points = || chart.lines.iter().flat_map(|line| &line.points);
    let bands = || chart.lines.iter().flat_map(|line| &line.band);
    let heights = points().map(|(_, y)| *y).chain(bands().flat_map(|(_, low, high)| [*low, *high]));
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut plane = ChartBuilder::on(&area)
            .caption(chart.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(range(points().map(|(x, _)| *x)), range(heights))?;
        plane.configure_mesh().x_desc(chart.x.clone()).draw()?;
        for (n, line) in chart.lines.iter().enumerate() {
            let color = COLORS[n % COLORS.len()];
            let above = line.band.iter().map(|(x, _, high)| (*x, *high));
            let below = line.band.iter().rev().map(|(x, low, _)| (*x, *low));
            plane.draw_series([Polygon::new(above.chain(below).collect::<Vec<_>>(), color.mix(0.15))])?;
            let style = color.stroke_width(2);
            plane
                .draw_series(LineSeries::new(line.points.iter().copied(), style))?
                .label(line.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
        plane.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        area.present()?;
    }
    Ok(text)
}
