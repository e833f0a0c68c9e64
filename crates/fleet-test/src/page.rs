//! A report as one page of HTML: charts of what passed each link and of how many routers held the list, faults as bands, and a
//! second report beside the first where there is one.

use crate::report::{quantile, Report};
use crate::tally::{Bucket, BUCKET_US};
use minijinja::{context, Environment};
use plotters::prelude::*;
use std::error::Error;

const SIZE: (u32, u32) = (900, 220);
const COLOURS: [RGBColor; 2] = [RGBColor(31, 95, 160), RGBColor(200, 95, 20)];

const PAGE: &str = r#"<!doctype html>
<meta charset="utf-8"><title>{{ reports[0].name }}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}
th:first-child,td:first-child{text-align:left}.bad{color:#a00}</style>
<h1>{{ reports[0].name }}</h1>
<table><tr><th></th>{% for r in reports %}<th>{{ r.title }}</th>{% endfor %}</tr>
{% for row in rows %}<tr><td>{{ row[0] }}</td>{% for v in row[1] %}<td>{{ v }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% for r in reports %}{% for f in r.findings %}<p class="bad">{{ r.title }}: {{ f.expected }}: {{ f.seen }}</p>{% endfor %}{% endfor %}
{% for chart in charts %}<h2>{{ chart[0] }}</h2>{{ chart[1]|safe }}
{% endfor %}
<p>Bands: faults and events of the script.</p>
"#;

/// Points of one line: seconds and a value.
type Line = Vec<(f64, f64)>;

fn chart(seconds: f64, lines: &[Line], bands: &[(f64, f64)]) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let highest = lines.iter().flatten().map(|p| p.1).fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..highest)?;
        chart.configure_mesh().disable_x_mesh().x_desc("s").draw()?;
        let grey = RGBColor(120, 120, 120).mix(0.18).filled();
        let band = |(from, to): &(f64, f64)| Rectangle::new([(*from, 0.0), (to.min(seconds), highest)], grey);
        chart.draw_series(bands.iter().map(band))?;
        for (line, colour) in lines.iter().zip(COLOURS) {
            chart.draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// A count by tenths of a second, gaps as zero.
fn by_tenth(report: &Report, link: &str, count: impl Fn(&Bucket) -> u64) -> Line {
    let Some(link) = report.links.get(link) else { return Vec::new() };
    let tenths = (report.seconds * 1e6) as i64 / BUCKET_US;
    let mut line: Line = (0..=tenths).map(|n| (n as f64 * BUCKET_US as f64 / 1e6, 0.0)).collect();
    for bucket in &link.buckets {
        let at = usize::try_from((bucket.at_us - report.start_us).div_euclid(BUCKET_US));
        if let Some(point) = at.ok().and_then(|at| line.get_mut(at)) {
            point.1 += count(bucket) as f64;
        }
    }
    line
}

fn holding(report: &Report) -> Line {
    let seconds = |at: i64| (at - report.start_us) as f64 / 1e6;
    let tenths = (report.seconds * 10.0) as i64;
    let at = |n: i64| {
        let now = n as f64 / 10.0;
        let holds = report
            .routers
            .iter()
            .filter(|r| r.first_list_us.is_some_and(|at| seconds(at) <= now) && seconds(r.ended_us) > now);
        (now, holds.count() as f64)
    };
    (0..=tenths).map(at).collect()
}

/// The page; `bands` are seconds from and to.
///
/// # Errors
/// When a chart cannot be drawn.
pub fn page(reports: &[(&str, &Report)], bands: &[(f64, f64)]) -> Result<String, Box<dyn Error>> {
    let seconds = reports.iter().map(|(_, r)| r.seconds).fold(1.0, f64::max);
    let lines = |of: &dyn Fn(&Report) -> Line| reports.iter().map(|(_, r)| of(r)).collect::<Vec<_>>();
    let mut charts = vec![("routers that hold a list".to_string(), chart(seconds, &lines(&holding), bands)?)];
    let row = |name: String, value: &dyn Fn(&Report) -> String| {
        (name, reports.iter().map(|(_, r)| value(r)).collect::<Vec<_>>())
    };
    let whole = |part: f64| {
        move |r: &Report| {
            quantile(&r.listed_after_ms(), part).map_or_else(|| "-".into(), |v| format!("{v:.0}"))
        }
    };
    let mut rows = vec![
        row("lives of routers".into(), &|r| r.routers.len().to_string()),
        row("list held by half after, ms".into(), &whole(0.5)),
        row("list held by 99% after, ms".into(), &whole(0.99)),
        row("list held by all after, ms".into(), &whole(1.0)),
    ];
    let names = reports.first().map(|(_, r)| r.links.keys().cloned().collect::<Vec<_>>()).unwrap_or_default();
    for name in names {
        let figure = |of: fn(&crate::report::LinkFigures) -> u64| {
            let name = name.clone();
            move |r: &Report| r.links.get(&name).map_or_else(|| "-".into(), |l| of(l).to_string())
        };
        rows.push(row(format!("{name}: connections"), &figure(|l| l.connections)));
        rows.push(row(format!("{name}: requests"), &figure(|l| l.requests.values().sum())));
        rows.push(row(format!("{name}: kB"), &figure(|l| l.bytes / 1_000)));
        rows.push(row(format!("{name}: most requests in 200 ms"), &figure(|l| l.most.1)));
        let requests = lines(&|r| by_tenth(r, &name, Bucket::all_requests));
        charts.push((format!("{name}: requests in 100 ms"), chart(seconds, &requests, bands)?));
        let connections = lines(&|r| by_tenth(r, &name, |b| b.connections));
        charts.push((format!("{name}: connections in 100 ms"), chart(seconds, &connections, bands)?));
        let bytes = lines(&|r| by_tenth(r, &name, |b| (b.bytes_to + b.bytes_from) / 1_000));
        charts.push((format!("{name}: kB in 100 ms"), chart(seconds, &bytes, bands)?));
    }
    for (n, (worker, ..)) in reports.first().map(|(_, r)| &r.drains[..]).unwrap_or(&[]).iter().enumerate() {
        let last = move |r: &Report| {
            let all = r.drains.get(n).and_then(|d| quantile(&d.2, 1.0));
            all.map_or_else(|| "-".into(), |v| format!("{v:.0}"))
        };
        rows.push(row(format!("drain of {worker} heard by all after, ms"), &last));
    }
    let told: Vec<_> = reports
        .iter()
        .map(|(title, r)| context! { title => title, name => r.name, findings => r.findings })
        .collect();
    let mut environment = Environment::new();
    environment.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    environment.add_template("page", PAGE)?;
    Ok(environment.get_template("page")?.render(context! { reports => told, rows, charts })?)
}
