use {
    super::{Report, Slope},
    crate::capacity::fit::Point,
    plotters::{
        chart::ChartBuilder,
        drawing::IntoDrawingArea,
        element::Circle,
        prelude::SVGBackend,
        series::LineSeries,
        style::{BLACK, BLUE, Color, RED, WHITE},
    },
    std::{error::Error, fs, path::Path},
    thiserror::Error,
};

/// Size of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (640, 400);
/// Length of an axis as a multiple of the highest value.
const HEADROOM: f64 = 1.1;
/// Space around the chart, in pixels.
const MARGIN: u32 = 12;
/// Space for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 64;

/// A chart that could not be written.
#[derive(Debug, Error)]
#[error("cannot draw {file}: {detail} (check that the directory is writable)")]
pub struct PlotError {
    file: String,
    detail: String,
}

/// Writes a chart of each slope into a directory, which is created if missing. Returns their number.
///
/// # Errors
/// [`PlotError`] if the directory can't be created or a chart can't be written.
pub fn draw(report: &Report, directory: &Path) -> Result<usize, PlotError> {
    let failed = |file: &Path, error: &dyn Error| PlotError {
        file: file.display().to_string(),
        detail: error.to_string(),
    };
    fs::create_dir_all(directory).map_err(|error| failed(directory, &error))?;
    let mut drawn = 0;
    for slope in &report.slopes {
        let file = directory.join(format!("{}.svg", slope.name.replace('.', "-")));
        draw_slope(slope, &file).map_err(|error| failed(&file, error.as_ref()))?;
        drawn += 1;
    }
    Ok(drawn)
}

fn draw_slope(slope: &Slope, file: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let max_x = slope.design_x * HEADROOM;
    let max_y = max_value(slope) * HEADROOM;
    let caption = format!("{} ({}) by {}", slope.name, slope.unit, slope.per);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart
        .configure_mesh()
        .x_desc(slope.per)
        .y_desc(slope.unit)
        .draw()?;
    let line = [0.0, slope.design_x].map(|x| (x, slope.fit.at(x).max(0.0)));
    chart
        .draw_series(LineSeries::new(line, &BLUE))?
        .label(format!("{:.4} for each", slope.fit.slope))
        .legend(|(x, y)| Circle::new((x, y), 3, BLUE.filled()));
    let markers = slope
        .points
        .iter()
        .map(|point: &Point| Circle::new((point.x, point.y), 4, BLACK.filled()));
    chart.draw_series(markers)?;
    if let Some(budget) = slope.budget {
        let limit = [(0.0, budget), (max_x, budget)];
        chart
            .draw_series(LineSeries::new(limit, &RED))?
            .label("budget of a daemon for all control")
            .legend(|(x, y)| Circle::new((x, y), 3, RED.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the highest value that the chart shows.
fn max_value(slope: &Slope) -> f64 {
    let points = slope.points.iter().map(|point| point.y);
    points
        .chain(slope.budget)
        .chain([slope.design_y])
        .fold(f64::MIN_POSITIVE, f64::max)
}
