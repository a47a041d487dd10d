//! Plots as SVG. Each is made from figures that stand in the record or the summary.

use anyhow::{Result, anyhow};
use plotters::coord::Shift;
use plotters::prelude::*;

const SIZE: (u32, u32) = (960, 300);
const FONT: &str = "sans-serif";
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 95, 14),
    RGBColor(44, 140, 60),
    RGBColor(130, 80, 170),
    RGBColor(120, 120, 120),
    RGBColor(190, 50, 90),
];

/// One line of a plot.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

impl Line {
    pub fn new(name: impl Into<String>, points: impl IntoIterator<Item = (f64, f64)>) -> Self {
        Line { name: name.into(), points: points.into_iter().collect() }
    }
}

/// A plot of lines over one quantity, with marks where something was done.
pub struct Plot {
    pub title: String,
    /// What the axes are, with their units.
    pub across: String,
    pub up: String,
    pub lines: Vec<Line>,
    /// Where, and a number that a list beside the plot explains.
    pub marks: Vec<(f64, String)>,
    /// Draw the points as well as the lines between them.
    pub points: bool,
}

fn fault(e: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("plot: {e}")
}

impl Plot {
    pub fn svg(&self) -> Result<String> {
        let mut text = String::new();
        {
            let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
            self.draw(&area)?;
            area.present().map_err(fault)?;
        }
        Ok(text)
    }

    fn draw(&self, area: &DrawingArea<SVGBackend, Shift>) -> Result<()> {
        area.fill(&WHITE).map_err(fault)?;
        let all = || self.lines.iter().flat_map(|l| l.points.iter());
        let (mut from, mut to, mut top) = (f64::MAX, f64::MIN, 0.0f64);
        for (x, y) in all() {
            (from, to, top) = (from.min(*x), to.max(*x), top.max(*y));
        }
        if from > to {
            return Err(anyhow!("plot {:?}: there is nothing to show", self.title));
        }
        // Room above the lines for their names.
        let names = if self.lines.len() > 1 { 0.1 * self.lines.len() as f64 } else { 0.0 };
        let top = if top > 0.0 { top * (1.12 + names) } else { 1.0 };
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, (FONT, 17))
            .margin(8)
            .margin_right(24)
            .x_label_area_size(38)
            .y_label_area_size(64)
            .build_cartesian_2d(from..if to > from { to } else { from + 1.0 }, 0.0..top)
            .map_err(fault)?;
        chart
            .configure_mesh()
            .x_desc(&self.across)
            .y_desc(&self.up)
            .y_labels(6)
            .light_line_style(WHITE)
            .bold_line_style(RGBColor(225, 225, 225))
            .label_style((FONT, 12))
            .draw()
            .map_err(fault)?;
        for (at, name) in &self.marks {
            let line =
                PathElement::new(vec![(*at, 0.0), (*at, top * 0.94)], RGBColor(200, 60, 60).stroke_width(1));
            chart.draw_series([line]).map_err(fault)?;
            let style = (FONT, 11).into_font().color(&RGBColor(200, 60, 60));
            chart.draw_series([Text::new(name.clone(), (*at, top * 0.995), style)]).map_err(fault)?;
        }
        for (n, line) in self.lines.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))
                .map_err(fault)?
                .label(line.name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
            if self.points {
                let dots = line.points.iter().map(|p| Circle::new(*p, 3, colour.filled()));
                chart.draw_series(dots).map_err(fault)?;
            }
        }
        if self.lines.len() > 1 {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperRight)
                .background_style(WHITE.mix(0.85))
                .border_style(RGBColor(210, 210, 210))
                .label_font((FONT, 12))
                .draw()
                .map_err(fault)?;
        }
        Ok(())
    }
}
