//! Draws charts of the benchmark output, read from standard input, as SVG files in a directory.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use plotters::prelude::*;

/// The size of a chart in pixels.
const SIZE: (u32, u32) = (900, 480);
/// The loads of the `requests` part, in percent.
const LOADS: [f64; 4] = [50.0, 80.0, 95.0, 120.0];
/// The numbers of workers of the `placing` part.
const WORKERS: [f64; 3] = [400.0, 1_600.0, 3_200.0];
const COLORS: [RGBColor; 5] =
    [RED, BLUE, RGBColor(0, 130, 60), RGBColor(200, 120, 0), RGBColor(130, 0, 160)];

/// The figures by name.
type Figures = BTreeMap<String, f64>;
type DynError = Box<dyn std::error::Error>;

/// One line of a chart.
struct Line {
    label: String,
    points: Vec<(f64, f64)>,
}

/// The title and axis labels of a chart.
struct Captions {
    title: &'static str,
    x_label: &'static str,
    y_label: &'static str,
}

/// Reads the figures from standard input and skips all other lines.
fn read_figures() -> std::io::Result<Figures> {
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    let figure = |line: &str| {
        let mut words = line.strip_prefix("figure ")?.split_whitespace();
        Some((words.next()?.to_string(), words.next()?.parse().ok()?))
    };
    Ok(text.lines().filter_map(figure).collect())
}

/// Returns a line through the points whose figures exist.
fn line(label: &str, figures: &Figures, points: &[(f64, String)]) -> Line {
    let found = points.iter().filter_map(|(x, name)| Some((*x, *figures.get(name)?)));
    Line { label: label.to_string(), points: found.collect() }
}

/// Draws one chart into an SVG file.
fn draw(path: &Path, captions: &Captions, lines: &[Line]) -> Result<(), DynError> {
    let all = || lines.iter().flat_map(|l| &l.points);
    let x_max = all().map(|p| p.0).fold(1.0, f64::max);
    let y_max = all().map(|p| p.1).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(captions.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc(captions.x_label).y_desc(captions.y_label).draw()?;
    for (i, l) in lines.iter().enumerate() {
        let color = COLORS[i % COLORS.len()];
        chart
            .draw_series(LineSeries::new(l.points.iter().copied(), color.stroke_width(2)))?
            .label(l.label.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the waiting time of each strategy against the load.
fn waiting_against_load(figures: &Figures) -> Vec<Line> {
    let strategies = [
        ("fixed shares, least in flight", "fixed_least"),
        ("fixed shares, shortest wait", "fixed_shortest"),
        ("fixed shares, two choices", "fixed_two_choices"),
        ("lent slots, least in flight", "borrowed_least"),
        ("lent slots, shortest wait", "borrowed_shortest"),
    ];
    let points = |strategy: &str| -> Vec<(f64, String)> {
        LOADS.iter().map(|l| (*l, format!("request_wait_{strategy}_{l}_normal_p99"))).collect()
    };
    strategies.iter().map(|(label, strategy)| line(label, figures, &points(strategy))).collect()
}

/// Returns the cost of a placement in each profile against the number of workers.
fn cost_against_workers(figures: &Figures) -> Vec<Line> {
    let points = |name: &str| -> Vec<(f64, String)> {
        WORKERS.iter().map(|w| (*w, format!("{name}_{w}_workers"))).collect()
    };
    vec![
        line("waiting profile, p99", figures, &points("decision_p99_waiting")),
        line("packing profile, p99", figures, &points("decision_p99_packing")),
    ]
}

/// Draws all charts into a directory.
fn draw_all(folder: &Path) -> Result<(), DynError> {
    let figures = read_figures()?;
    let captions = Captions {
        title: "Waiting time against load (normal class, 99th percentile)",
        x_label: "load in percent of what the upstreams can do",
        y_label: "ms",
    };
    draw(&folder.join("waiting-against-load.svg"), &captions, &waiting_against_load(&figures))?;
    let captions = Captions {
        title: "Cost of a placement against workers (58,000 tasks running)",
        x_label: "workers",
        y_label: "microseconds",
    };
    draw(&folder.join("cost-against-workers.svg"), &captions, &cost_against_workers(&figures))
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).map_or_else(|| PathBuf::from("."), PathBuf::from);
    match draw_all(&folder) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("draw: {e}");
            ExitCode::FAILURE
        }
    }
}
