//! A strict parser of the Prometheus text format, version 0.0.4. It rejects what the format allows but this program
//! never writes: timestamps, comments, histograms, and families in several parts.
#![allow(dead_code, reason = "each test file uses only some items")]

use std::collections::BTreeMap;

/// Labels of a sample, by name.
pub(crate) type Labels = BTreeMap<String, String>;

/// One metric with its samples.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Family {
    pub help: String,
    pub kind: String,
    pub samples: Vec<(Labels, f64)>,
}

/// All metrics of a text, by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ParsedMetrics(pub BTreeMap<String, Family>);

impl ParsedMetrics {
    /// Parses a text; panics with the invalid line.
    pub(crate) fn parse(text: &str) -> ParsedMetrics {
        assert!(text.ends_with('\n'), "the last line has no end");
        let mut metrics = ParsedMetrics::default();
        let mut lines = text.lines().peekable();
        while let Some(line) = lines.next() {
            let (name, help) = words(line, "# HELP ");
            let kind_line = lines.next().unwrap_or_default();
            let (typed, kind) = words(kind_line, "# TYPE ");
            assert_eq!(name, typed, "{kind_line}");
            assert!(matches!(kind, "counter" | "gauge"), "{kind_line}");
            assert_eq!(kind == "counter", name.ends_with("_total"), "{kind_line}");
            assert!(is_name(name) && help.len() > 10, "{line}");
            let mut family = Family { help: help.into(), kind: kind.into(), samples: Vec::new() };
            while let Some(line) = lines.next_if(|line| !line.starts_with('#')) {
                let (labels, value) = sample(line, name);
                assert!(kind == "gauge" || value >= 0.0, "{line}");
                assert!(family.samples.iter().all(|(known, _)| *known != labels), "twice: {line}");
                family.samples.push((labels, value));
            }
            assert!(metrics.0.insert(name.into(), family).is_none(), "twice: {line}");
        }
        metrics
    }

    /// The value of the sample with exactly these labels.
    pub(crate) fn value(&self, name: &str, labels: &[(&str, &str)]) -> f64 {
        let wanted: Labels = labels.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect();
        let family = self.0.get(name).unwrap_or_else(|| panic!("no metric {name}"));
        let found = family.samples.iter().find(|(labels, _)| *labels == wanted);
        found.unwrap_or_else(|| panic!("no {name} {labels:?}")).1
    }

    /// The sum of all samples of a metric.
    pub(crate) fn sum(&self, name: &str) -> f64 {
        self.0[name].samples.iter().map(|(_, value)| value).sum()
    }
}

fn words<'a>(line: &'a str, prefix: &str) -> (&'a str, &'a str) {
    let rest = line.strip_prefix(prefix).unwrap_or_else(|| panic!("no {prefix:?}: {line}"));
    rest.split_once(' ').unwrap_or_else(|| panic!("nothing after the name: {line}"))
}

fn is_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_';
    name.starts_with("lanegate_") && name.bytes().all(is_allowed)
}

fn sample(line: &str, name: &str) -> (Labels, f64) {
    let rest = line.strip_prefix(name).unwrap_or_else(|| panic!("not a sample of {name}: {line}"));
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => labels(rest, line),
        None => (Labels::new(), rest),
    };
    let value = rest.strip_prefix(' ').unwrap_or_else(|| panic!("no space before the value: {line}"));
    let value: f64 = value.parse().unwrap_or_else(|_| panic!("no number: {line}"));
    assert!(value.is_finite(), "{line}");
    (labels, value)
}

/// Parses labels up to their closing brace, and returns the rest.
fn labels<'a>(mut rest: &'a str, line: &str) -> (Labels, &'a str) {
    let mut labels = Labels::new();
    loop {
        let (name, after) = rest.split_once("=\"").unwrap_or_else(|| panic!("no label: {line}"));
        let is_label = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_');
        assert!(is_label, "label {name:?}: {line}");
        let (value, after) = quoted(after, line);
        assert!(labels.insert(name.into(), value).is_none(), "label {name} twice: {line}");
        match after.strip_prefix(',') {
            Some(more) => rest = more,
            None => {
                let end = after.strip_prefix('}').unwrap_or_else(|| panic!("no closing brace: {line}"));
                return (labels, end);
            }
        }
    }
}

fn quoted<'a>(text: &'a str, line: &str) -> (String, &'a str) {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((place, character)) = characters.next() {
        match character {
            '"' => return (value, &text[place + 1..]),
            '\\' => match characters.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, escaped @ ('\\' | '"'))) => value.push(escaped),
                other => panic!("escape {other:?}: {line}"),
            },
            other => value.push(other),
        }
    }
    panic!("no closing quote: {line}");
}
