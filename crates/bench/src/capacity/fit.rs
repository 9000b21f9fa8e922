//! Linear regression by least squares with the standard error of the slope.

use serde::Serialize;

/// A measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The varied size.
    pub x: f64,
    /// The measured cost.
    pub y: f64,
}

/// A line fitted to points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Change of y per unit of x.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Fraction of the variance of y that the line explains; 1 is a perfect fit.
    pub r2: f64,
}

impl Fit {
    /// Fits a line through points. The error of the slope needs at least three points with different x.
    pub fn through(points: &[Point]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let syy: f64 = points.iter().map(|p| (p.y - mean_y).powi(2)).sum();
        let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = points
            .iter()
            .map(|p| (p.y - intercept - slope * p.x).powi(2))
            .sum();
        let degrees_of_freedom = (n - 2.0).max(1.0);
        Self {
            slope,
            slope_error: if sxx > 0.0 {
                (residual / degrees_of_freedom / sxx).sqrt()
            } else {
                0.0
            },
            intercept,
            r2: if syy > 0.0 { 1.0 - residual / syy } else { 1.0 },
        }
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
