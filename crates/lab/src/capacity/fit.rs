//! A line or a power curve through measured points, by least squares, with what it leaves over.

use serde::{Deserialize, Serialize};

/// One measured size.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// What was measured there.
    pub value: f64,
}

/// The form of a fitted curve.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// `first + second * size`.
    Line,
    /// `first * size ^ second`.
    Power,
}

/// A fitted curve.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fit {
    /// Its form.
    pub shape: Shape,
    /// The first coefficient: a line's intercept, a power curve's factor.
    pub first: f64,
    /// The second coefficient: a line's slope, a power curve's exponent.
    pub second: f64,
    /// Root of the mean square of what it leaves over, as a part of the mean of the values.
    pub residual: f64,
}

impl Fit {
    /// Its value at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self.shape {
            Shape::Line => self.first + self.second * size,
            Shape::Power => self.first * size.powf(self.second),
        }
    }

    /// The better of a line and a power curve through these points; none for fewer than two sizes.
    pub fn best(points: &[Point]) -> Option<Fit> {
        let line = line(points)?;
        let fits = [Some(line), power(points)];
        fits.into_iter().flatten().min_by(|a, b| a.residual.total_cmp(&b.residual))
    }
}

/// Intercept and slope by least squares.
fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = common / spread;
    (points.len() >= 2 && spread > 0.0).then_some((mean_y - slope * mean_x, slope))
}

fn line(points: &[Point]) -> Option<Fit> {
    let plain: Vec<(f64, f64)> = points.iter().map(|point| (point.size, point.value)).collect();
    let (first, second) = least_squares(&plain)?;
    Some(with_residual(Shape::Line, first, second, points))
}

fn power(points: &[Point]) -> Option<Fit> {
    let positive = points.iter().all(|point| point.size > 0.0 && point.value > 0.0);
    let logs: Vec<(f64, f64)> = points.iter().map(|point| (point.size.ln(), point.value.ln())).collect();
    let (factor, exponent) = least_squares(&logs).filter(|_| positive)?;
    Some(with_residual(Shape::Power, factor.exp(), exponent, points))
}

fn with_residual(shape: Shape, first: f64, second: f64, points: &[Point]) -> Fit {
    let fit = Fit { shape, first, second, residual: 0.0 };
    let count = points.len() as f64;
    let mean = points.iter().map(|point| point.value.abs()).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|point| (fit.at(point.size) - point.value).powi(2)).sum();
    let residual = if mean > 0.0 { (squares / count).sqrt() / mean } else { 0.0 };
    Fit { residual, ..fit }
}
