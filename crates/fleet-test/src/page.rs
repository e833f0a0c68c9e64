//! Renders the reports of a script as one HTML page: a table of figures, charts of the traffic of each link,
//! and a chart of the number of routers with a list. Faults and events are shown as bands; several reports
//! are shown side by side.

use crate::counters::{Bucket, BUCKET_US};
use crate::report::{quantile, LinkTraffic, Report};
use minijinja::{context, AutoEscape, Environment};
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use serde::Serialize;
use std::error::Error;
use std::fmt;
use std::io;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 220);
/// The line colours of the first and the second report; further reports are not drawn.
const REPORT_COLOURS: [RGBColor; 2] = [RGBColor(31, 95, 160), RGBColor(200, 95, 20)];
const BAND_COLOUR: RGBColor = RGBColor(120, 120, 120);
const BAND_OPACITY: f64 = 0.18;
/// The upper end of the y axis, as a factor of the highest point.
const HEADROOM: f64 = 1.05;
/// Points of a chart per second.
const POINTS_PER_SECOND: f64 = 10.0;

const TEMPLATE: &str = r#"<!doctype html>
<meta charset="utf-8"><title>{{ reports[0].name }}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}
th:first-child,td:first-child{text-align:left}.bad{color:#a00}</style>
<h1>{{ reports[0].name }}</h1>
<table><tr><th></th>{% for r in reports %}<th>{{ r.title }}</th>{% endfor %}</tr>
{% for row in rows %}<tr><td>{{ row.name }}</td>{% for v in row.values %}<td>{{ v }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% for r in reports %}{% for f in r.findings %}<p class="bad">{{ r.title }}: {{ f.expected }}: {{ f.seen }}</p>{% endfor %}{% endfor %}
{% for chart in charts %}<h2>{{ chart.title }}</h2>{{ chart.svg|safe }}
{% endfor %}
<p>Bands: faults and events of the script.</p>
"#;

/// The reason why a page could not be rendered.
#[derive(Debug)]
pub enum PageError {
    /// A chart could not be drawn.
    Chart(DrawingAreaErrorKind<io::Error>),
    /// The template could not be rendered.
    Template(minijinja::Error),
}

impl fmt::Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PageError::Chart(error) => error.fmt(f),
            PageError::Template(error) => error.fmt(f),
        }
    }
}

impl Error for PageError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            PageError::Chart(error) => Some(error),
            PageError::Template(error) => Some(error),
        }
    }
}

impl From<DrawingAreaErrorKind<io::Error>> for PageError {
    fn from(error: DrawingAreaErrorKind<io::Error>) -> Self {
        PageError::Chart(error)
    }
}

impl From<minijinja::Error> for PageError {
    fn from(error: minijinja::Error) -> Self {
        PageError::Template(error)
    }
}

/// A report with its title on the page.
pub struct TitledReport<'a> {
    /// Shown as a column heading of the table.
    pub title: &'a str,
    /// The report of one run.
    pub report: &'a Report,
}

/// The points of a chart line: seconds of the test and values.
type Points = Vec<(f64, f64)>;

/// A row of the table, with one figure for each report.
#[derive(Serialize)]
struct Row {
    name: String,
    values: Vec<String>,
}

#[derive(Serialize)]
struct Chart {
    title: String,
    svg: String,
}

/// The input that all charts and rows of a page share.
struct Page<'a> {
    reports: &'a [TitledReport<'a>],
    /// Start and end of each band, in seconds.
    bands: &'a [(f64, f64)],
    /// The longest duration of the reports, in seconds; at least 1.
    seconds: f64,
}

/// Renders a page; `bands` are the start and end of each band, in seconds of the test.
///
/// # Errors
/// When a chart cannot be drawn or the template cannot be rendered.
pub fn page(reports: &[TitledReport], bands: &[(f64, f64)]) -> Result<String, PageError> {
    let seconds = reports.iter().map(|titled| titled.report.seconds).fold(1.0, f64::max);
    let page = Page { reports, bands, seconds };
    let links: Vec<&str> = match reports.first() {
        Some(first) => first.report.links.keys().map(String::as_str).collect(),
        None => Vec::new(),
    };
    let mut rows = page.list_rows();
    let mut charts = vec![page.chart("routers with a worker list".into(), routers_with_list)?];
    for link in links {
        rows.extend(page.link_rows(link));
        charts.extend(page.link_charts(link)?);
    }
    rows.extend(page.drain_rows());
    page.render(&rows, &charts)
}

impl Page<'_> {
    fn row(&self, name: String, value: impl Fn(&Report) -> Option<String>) -> Row {
        let values = self.reports.iter().map(|titled| value(titled.report).unwrap_or_else(|| "-".into()));
        Row { name, values: values.collect() }
    }

    fn list_rows(&self) -> Vec<Row> {
        let quantile_ms = |share: f64| {
            move |report: &Report| quantile(&report.listed_after_ms(), share).map(|ms| format!("{ms:.0}"))
        };
        vec![
            self.row("router runs".into(), |report| Some(report.routers.len().to_string())),
            self.row("first list received by 50% after, ms".into(), quantile_ms(0.5)),
            self.row("first list received by 99% after, ms".into(), quantile_ms(0.99)),
            self.row("first list received by all after, ms".into(), quantile_ms(1.0)),
        ]
    }

    fn link_rows(&self, link: &str) -> Vec<Row> {
        let row = |name: &str, figure: fn(&LinkTraffic) -> u64| {
            let value = |report: &Report| report.links.get(link).map(|traffic| figure(traffic).to_string());
            self.row(format!("{link}: {name}"), value)
        };
        vec![
            row("connections", |traffic| traffic.connections),
            row("requests", LinkTraffic::total_requests),
            row("kB", |traffic| traffic.bytes / 1_000),
            row("peak requests in 200 ms", |traffic| traffic.peak.requests),
        ]
    }

    /// One row for each drain of the first report.
    fn drain_rows(&self) -> Vec<Row> {
        let drains = self.reports.first().map_or(&[][..], |first| &first.report.drains);
        let row = |(index, worker): (usize, &str)| {
            let last_ms = |report: &Report| {
                let drain = report.drains.get(index)?;
                quantile(&drain.learned_after_ms, 1.0).map(|ms| format!("{ms:.0}"))
            };
            self.row(format!("drain of {worker} received by all after, ms"), last_ms)
        };
        drains.iter().map(|drain| drain.worker.as_str()).enumerate().map(row).collect()
    }

    fn link_charts(&self, link: &str) -> Result<[Chart; 3], PageError> {
        let chart = |name: &str, count: fn(&Bucket) -> u64| {
            self.chart(format!("{link}: {name} in 100 ms"), |report| link_points(report, link, count))
        };
        Ok([
            chart("requests", Bucket::total_requests)?,
            chart("connections", |bucket| bucket.connections)?,
            chart("kB", |bucket| bucket.total_bytes() / 1_000)?,
        ])
    }

    fn chart(&self, title: String, points: impl Fn(&Report) -> Points) -> Result<Chart, PageError> {
        let lines: Vec<Points> = self.reports.iter().map(|titled| points(titled.report)).collect();
        Ok(Chart { title, svg: self.draw(&lines)? })
    }

    fn draw(&self, lines: &[Points]) -> Result<String, PageError> {
        let mut svg = String::new();
        {
            let root = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
            root.fill(&WHITE)?;
            let highest = lines.iter().flatten().map(|point| point.1).fold(1.0, f64::max) * HEADROOM;
            let mut chart = ChartBuilder::on(&root)
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..self.seconds, 0.0..highest)?;
            chart.configure_mesh().disable_x_mesh().x_desc("s").draw()?;
            let band_style = BAND_COLOUR.mix(BAND_OPACITY).filled();
            let bands = self.bands.iter().map(|(from, to)| {
                Rectangle::new([(*from, 0.0), (to.min(self.seconds), highest)], band_style)
            });
            chart.draw_series(bands)?;
            for (line, colour) in lines.iter().zip(REPORT_COLOURS) {
                chart.draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))?;
            }
            root.present()?;
        }
        Ok(svg)
    }

    fn render(&self, rows: &[Row], charts: &[Chart]) -> Result<String, PageError> {
        let reports: Vec<_> = self
            .reports
            .iter()
            .map(|TitledReport { title, report }| {
                context! { title => title, name => report.name, findings => report.unmet }
            })
            .collect();
        let mut environment = Environment::new();
        environment.set_auto_escape_callback(|_| AutoEscape::Html);
        environment.add_template("page", TEMPLATE)?;
        Ok(environment.get_template("page")?.render(context! { reports, rows, charts })?)
    }
}

/// A counter of a link by tenths of a second; tenths without traffic are 0.
fn link_points(report: &Report, link: &str, count: impl Fn(&Bucket) -> u64) -> Points {
    let Some(traffic) = report.links.get(link) else { return Vec::new() };
    let tenths = (report.seconds * 1e6) as i64 / BUCKET_US;
    let mut points: Points = (0..=tenths).map(|tenth| (tenth as f64 * BUCKET_US as f64 / 1e6, 0.0)).collect();
    for bucket in &traffic.buckets {
        let tenth = usize::try_from((bucket.at_us - report.start_us).div_euclid(BUCKET_US));
        if let Some(point) = tenth.ok().and_then(|index| points.get_mut(index)) {
            point.1 += count(bucket) as f64;
        }
    }
    points
}

/// The number of running routers that have a list, by tenths of a second.
fn routers_with_list(report: &Report) -> Points {
    let seconds = |at_us: i64| (at_us - report.start_us) as f64 / 1e6;
    let point = |tenth: i64| {
        let now = tenth as f64 / POINTS_PER_SECOND;
        let holding = report.routers.iter().filter(|run| {
            run.first_list_us.is_some_and(|at_us| seconds(at_us) <= now) && seconds(run.ended_us) > now
        });
        (now, holding.count() as f64)
    };
    (0..=(report.seconds * POINTS_PER_SECOND) as i64).map(point).collect()
}
