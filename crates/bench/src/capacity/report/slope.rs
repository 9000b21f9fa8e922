use {
    crate::capacity::{
        fit::{Fit, Point},
        repair::Repair,
    },
    serde::Serialize,
};

/// How one cost grows with one size.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// Name, such as `peers.bytes_out`.
    pub name: &'static str,
    /// What x counts.
    pub per: &'static str,
    /// Unit of y.
    pub unit: &'static str,
    /// What was measured.
    pub points: Vec<Point>,
    /// The line through the points.
    pub fit: Fit,
    /// x at the size that the system is designed for.
    pub design_x: f64,
    /// y of the line there.
    pub design_y: f64,
    /// What a daemon may spend on all control together, in the unit of y.
    pub budget: Option<f64>,
}

impl Slope {
    /// Fits a line through points.
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

    /// Sets the budget that the line stands against.
    pub fn against(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }
}

/// One measured number.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// Name, such as `start.reads`.
    pub name: String,
    /// The number.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// The limit that it stands against.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
}

impl Figure {
    /// A number without a limit.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            limit: None,
        }
    }

    /// Sets the limit.
    pub fn against(mut self, limit: f64) -> Self {
        self.limit = Some(limit);
        self
    }
}

/// All that was measured.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// How costs grow.
    pub slopes: Vec<Slope>,
    /// Numbers that were measured at one size.
    pub figures: Vec<Figure>,
    /// How each way of repair did.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub repairs: Vec<Repair>,
}

impl Report {
    /// Adds what another measured.
    pub fn add(&mut self, other: Self) {
        self.slopes.extend(other.slopes);
        self.figures.extend(other.figures);
        self.repairs.extend(other.repairs);
    }
}
