//! SVG charts of runs.

use std::fmt::Write;

use crate::report::Report;

/// Width of a chart in pixels.
const CHART_WIDTH: f64 = 720.0;

/// Height of the bars of one run in pixels.
const BARS_HEIGHT: f64 = 140.0;

/// Height of the label above each run in pixels.
const LABEL_HEIGHT: f64 = 30.0;

/// Returns an SVG document that shows the requests offered and those completed in time over each run.
pub fn plot(reports: &[Report]) -> String {
    let height = (BARS_HEIGHT + LABEL_HEIGHT) * reports.len() as f64;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{CHART_WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n"
    );
    for (i, report) in reports.iter().enumerate() {
        draw_run(&mut svg, report, (BARS_HEIGHT + LABEL_HEIGHT) * i as f64);
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_run(svg: &mut String, report: &Report, top: f64) {
    let max_offered = report.timeline.iter().map(|point| point.offered).max();
    let max_offered = max_offered.unwrap_or(0).max(1) as f64;
    let step = CHART_WIDTH / report.timeline.len().max(1) as f64;
    let _ = writeln!(
        svg,
        "<text x=\"4\" y=\"{:.1}\">{} {} seed {}: {:.1}% in time, {:.1}% of the bound</text>",
        top + 16.0,
        report.workload,
        report.policy,
        report.seed,
        100.0 * report.goodput,
        100.0 * report.goodput_of_bound
    );
    for (i, point) in report.timeline.iter().enumerate() {
        let offered = BARS_HEIGHT * point.offered as f64 / max_offered;
        let in_time = BARS_HEIGHT * point.in_time as f64 / max_offered;
        let bottom = top + LABEL_HEIGHT + BARS_HEIGHT;
        draw_bar(svg, i as f64 * step, bottom, step, offered, "#d8b4b4");
        draw_bar(svg, i as f64 * step, bottom, step, in_time, "#4a7a4a");
    }
}

fn draw_bar(svg: &mut String, x: f64, bottom: f64, width: f64, height: f64, colour: &str) {
    let _ = writeln!(
        svg,
        "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" fill=\"{colour}\"/>",
        bottom - height
    );
}
