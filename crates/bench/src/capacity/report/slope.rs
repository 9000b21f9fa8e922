use {
    crate::capacity::{
        fit::{Fit, Point},
        repair::Repair,
    },
    serde::Serialize,
};

/// Growth of a cost with a size.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// Name, for example `peers.bytes_out`.
    pub name: &'static str,
    /// Unit of x.
    pub per: &'static str,
    /// Unit of y.
    pub unit: &'static str,
    /// Measured points.
    pub points: Vec<Point>,
    /// Line fitted to the points.
    pub fit: Fit,
    /// x of the deployment that the system is designed for.
    pub design_x: f64,
    /// y of the fitted line at `design_x`.
    pub design_y: f64,
    /// A daemon's budget for all of control, in the unit of y; absent if none applies.
    pub budget: Option<f64>,
}

impl Slope {
    /// Fits a line to points, without a budget.
    pub fn new(
        name: &'static str,
        per: &'static str,
        unit: &'static str,
        design_x: f64,
        points: Vec<Point>,
    ) -> Self {
        let fit = Fit::through(&points);
        Self {
            name,
            per,
            unit,
            points,
            fit,
            design_x,
            design_y: fit.at(design_x),
            budget: None,
        }
    }

    /// Sets the budget.
    pub fn with_budget(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }
}

/// A measurement at a single size.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// Name, for example `start.one.record_reads_each`.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Limit that the value is compared with; absent if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
}

impl Figure {
    /// Creates a figure without a limit.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            limit: None,
        }
    }

    /// Sets the limit.
    pub fn with_limit(mut self, limit: f64) -> Self {
        self.limit = Some(limit);
        self
    }
}

/// Results of all measurements that were run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Growth of costs with sizes.
    pub slopes: Vec<Slope>,
    /// Measurements at a single size.
    pub figures: Vec<Figure>,
    /// Results of each method of repair in each case.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub repairs: Vec<Repair>,
}

impl Report {
    /// Appends the results of another report.
    pub fn add(&mut self, other: Self) {
        self.slopes.extend(other.slopes);
        self.figures.extend(other.figures);
        self.repairs.extend(other.repairs);
    }
}
