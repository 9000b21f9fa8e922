use {
    super::report::Report,
    plotters::prelude::*,
    std::{error::Error, path::Path},
};

const SIZE: (u32, u32) = (960, 540);
const COLOURS: [RGBColor; 4] = [
    RGBColor(27, 94, 170),
    RGBColor(200, 90, 20),
    RGBColor(60, 140, 70),
    RGBColor(130, 130, 130),
];

/// Draws a bar for each band and policy: the p99 TTFT relative to an idle fleet, on a log scale.
///
/// # Errors
/// An error of the plotting library, for example if the file can't be written.
pub fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn Error>> {
    let Some(first) = report.policies.first() else {
        return Ok(());
    };
    let bands = first.bands.len();
    let policies = report.policies.len();
    let highest = report
        .policies
        .iter()
        .flat_map(|figures| figures.bands.iter().map(|band| band.ratio.p99))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!("{}: TTFT p99 over idle, load {}", report.mix, report.load);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..bands as f64, (0.5..highest * 1.5).log_scale())?;
    let band_name = |x: &f64| {
        first
            .bands
            .get(x.floor() as usize)
            .map_or(String::new(), |band| band.band.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bands)
        .x_label_formatter(&band_name)
        .draw()?;
    let width = 0.8 / policies as f64;
    for (index, figures) in report.policies.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let bars = figures.bands.iter().enumerate().map(|(band, figures)| {
            let left = band as f64 + 0.1 + index as f64 * width;
            Rectangle::new(
                [(left, 0.5), (left + width, figures.ratio.p99)],
                colour.filled(),
            )
        });
        chart
            .draw_series(bars)?
            .label(&figures.policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
