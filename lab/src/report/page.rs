//! One self-contained page of a run: `report.html`, with the plots in it, and each as a file beside it.

use super::plot::{Line, Plot};
use crate::audit::Record;
use crate::event;
use crate::run::{RECORD, SUMMARY};
use crate::summary::{Second, Summary};
use anyhow::{Context, Result};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// Lines in a plot by courier or destination at most; those with the highest figures.
const LINES_MOST: usize = 6;

/// Draws what stands in a run's folder. Returns the page's path.
pub fn write(folder: &Path) -> Result<PathBuf> {
    let record = Record::new(&event::read(&folder.join(RECORD))?)?;
    let text = fs::read_to_string(folder.join(SUMMARY))
        .with_context(|| folder.join(SUMMARY).display().to_string())?;
    let summary: Summary = serde_json::from_str(&text)?;
    let mut body = String::new();
    for (name, plot) in plots(&record, &summary) {
        let svg = plot.svg()?;
        fs::write(folder.join(format!("{name}.svg")), &svg)?;
        writeln!(body, "<figure>{svg}</figure>")?;
        if name == "worth" {
            body += &steps(&record);
        }
    }
    let title = format!("{} seed {}", escape(&summary.experiment), summary.seed);
    let page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n<style>{STYLE}</style>\
         </head><body>\n<h1>{title}</h1>\n{}{}{body}</body></html>\n",
        verdict(&summary),
        tables(&summary),
    );
    let path = folder.join("report.html");
    fs::write(&path, page)?;
    Ok(path)
}

const STYLE: &str = "body{font:14px/1.45 sans-serif;max-width:980px;margin:24px auto;color:#222}\
    table{border-collapse:collapse;margin:12px 0}td,th{padding:3px 10px;text-align:right;border-bottom:1px solid #ddd}\
    td:first-child,th:first-child{text-align:left}figure{margin:14px 0}ol{columns:2;font-size:12px}\
    .good{color:#2c8c3c}.bad{color:#b02a2a}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn verdict(s: &Summary) -> String {
    let mut html = match s.failed.is_empty() {
        true => "<p class=\"good\">All holds.</p>\n".to_owned(),
        false => s.failed.iter().map(|f| format!("<p class=\"bad\">{}</p>\n", escape(f))).collect(),
    };
    for (rule, broken) in &s.broken {
        html += &format!("<p class=\"bad\">{}, first:</p><ul>", escape(rule));
        for b in &broken.first {
            html += &format!("<li>{:.3} s: {}</li>", b.at as f64 / 1e6, escape(&b.what));
        }
        html += "</ul>\n";
    }
    html
}

fn tables(s: &Summary) -> String {
    let mut html = format!(
        "<p>{} messages in {:.1} s; worth {:.3} of what was asked for; world {}; the lab's own lateness at the 99th \
         percentile: arrivals {:.1} ms, answers {:.1} ms.</p>\n<table><tr><th>class</th><th>asked</th>\
         <th>delivered</th><th>worth</th><th>p50 ms</th><th>p99 ms</th><th>max ms</th></tr>\n",
        s.messages,
        s.seconds,
        s.worth,
        escape(&s.digest),
        s.lab_late_us[0] as f64 / 1000.0,
        s.lab_late_us[1] as f64 / 1000.0,
    );
    for c in &s.classes {
        let l = &c.latency;
        html += &format!(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td></tr>\n",
            escape(&c.name),
            c.asked,
            c.delivered,
            c.worth,
            l.p50,
            l.p99,
            l.max
        );
    }
    html += "</table>\n<table><tr><th>destination</th><th>calls</th><th>delivered</th><th>refused</th>\
        <th>connections</th></tr>\n";
    for (n, d) in s.destinations.iter().enumerate() {
        html += &format!(
            "<tr><td>{n}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
            d.calls, d.delivered, d.refused, d.connections
        );
    }
    html + "</table>\n"
}

fn steps(record: &Record) -> String {
    let steps = record.steps.iter().map(|(at, text)| {
        let at = (at.saturating_sub(record.loaded)) as f64 / 1e6;
        format!("<li>{at:.1} s: {}</li>", escape(text))
    });
    format!("<ol>{}</ol>\n", steps.collect::<String>())
}

fn plots(record: &Record, s: &Summary) -> Vec<(&'static str, Plot)> {
    let since = |at: u64| (at as f64 - record.loaded as f64) / 1e6;
    let marks: Vec<_> =
        record.steps.iter().enumerate().map(|(n, (at, _))| (since(*at), (n + 1).to_string())).collect();
    let by_second = |name: &str, of: &dyn Fn(&Second) -> f64| {
        Line::new(name, s.by_second.iter().enumerate().map(|(n, second)| (n as f64, of(second))))
    };
    let plot = |title: &str, up: &str, lines: Vec<Line>| Plot {
        title: title.to_owned(),
        across: "seconds of load".to_owned(),
        up: up.to_owned(),
        lines,
        marks: marks.clone(),
        points: false,
    };
    let by_courier = |of: &dyn Fn(&crate::audit::Sample) -> f64| {
        let mut lines: Vec<_> = (0..s.couriers.len())
            .map(|c| {
                let samples = record.samples.iter().filter(|p| p.courier == c && p.at >= record.loaded);
                Line::new(format!("n{c}"), samples.map(|p| (since(p.at), of(p))))
            })
            .filter(|l| !l.points.is_empty())
            .collect();
        let most = |l: &Line| l.points.iter().map(|p| p.1).fold(0.0, f64::max);
        lines.sort_by(|a, b| most(b).total_cmp(&most(a)));
        lines.truncate(LINES_MOST);
        lines
    };
    let mut plots = vec![
        (
            "worth",
            plot(
                "Messages by the second in which they were handed in",
                "messages a second",
                vec![
                    by_second("asked", &|s| s.asked as f64),
                    by_second("delivered", &|s| s.delivered as f64),
                    by_second("worth, as messages of the mean worth", &|s| match s.worth_asked > 0.0 {
                        true => s.worth / s.worth_asked * s.asked as f64,
                        false => 0.0,
                    }),
                ],
            ),
        ),
        (
            "latency",
            plot(
                "Time from hand-in to delivery, by the second of delivery",
                "ms",
                vec![by_second("p50", &|s| s.p50_ms), by_second("p99", &|s| s.p99_ms)],
            ),
        ),
        (
            "calls",
            plot(
                "Calls, refusals and new connections at the endpoints",
                "a second",
                vec![
                    by_second("calls", &|s| s.calls as f64),
                    by_second("refused", &|s| s.refused as f64),
                    by_second("connections", &|s| s.connections as f64),
                ],
            ),
        ),
    ];
    let held = [
        (
            "memory",
            "Resident memory, the couriers that held most",
            "MB",
            by_courier(&|p| p.rss as f64 * 1.024e-3),
        ),
        (
            "descriptors",
            "Descriptors, the couriers that held most",
            "descriptors",
            by_courier(&|p| p.descriptors as f64),
        ),
        (
            "disk",
            "The folder that lasts, the couriers that held most",
            "MB",
            by_courier(&|p| p.disk as f64 / 1e6),
        ),
    ];
    for (name, title, up, lines) in held {
        if !lines.is_empty() {
            plots.push((name, plot(title, up, lines)));
        }
    }
    plots
}
