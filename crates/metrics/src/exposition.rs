//! The metrics of one scrape, and their text.

use crate::metric::{Kind, Metric, Value};
use lanegate_invariants::{Invariant, Violations};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder, prometheus_text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt;

const INVARIANT_VIOLATIONS: Metric = Metric::counter(
    "lanegate_invariant_violations_total",
    "Checks of this program on itself that failed, by the invariant that they check",
);

/// A label and its value.
type Label = (&'static str, String);

/// The metrics of one scrape, in the order in which they were set.
#[derive(Debug, Default)]
pub struct Exposition {
    families: Vec<Family>,
}

/// The samples of one metric.
#[derive(Debug)]
struct Family {
    metric: Metric,
    samples: Vec<Sample>,
}

/// One value, distinguished from others of its metric by its labels.
#[derive(Debug)]
struct Sample {
    labels: Vec<Label>,
    value: Value,
}

impl Exposition {
    /// Sets a metric that has no labels.
    pub fn set(&mut self, metric: &Metric, value: impl Into<Value>) {
        self.set_labelled(metric, &[], value);
    }

    /// Sets the sample of a metric with these labels. Values of labels have to come from a small fixed set.
    pub fn set_labelled(
        &mut self,
        metric: &Metric,
        labels: &[(&'static str, &str)],
        value: impl Into<Value>,
    ) {
        let labels = labels.iter().map(|(name, value)| (*name, (*value).to_owned())).collect();
        let sample = Sample { labels, value: value.into() };
        match self.families.iter_mut().find(|family| family.metric.name == metric.name) {
            Some(family) => family.samples.push(sample),
            None => self.families.push(Family { metric: *metric, samples: vec![sample] }),
        }
    }

    /// Declares a metric that may have no sample now, so that its description is always exported.
    pub fn declare(&mut self, metric: &Metric) {
        if !self.families.iter().any(|family| family.metric.name == metric.name) {
            self.families.push(Family { metric: *metric, samples: Vec::new() });
        }
    }

    /// Sets the violations of all invariants, including those without any.
    pub fn set_violations(&mut self, violations: &Violations) {
        for invariant in Invariant::ALL {
            let labels = [("invariant", invariant.name())];
            self.set_labelled(&INVARIANT_VIOLATIONS, &labels, violations.count(invariant));
        }
    }

    /// The text of all metrics.
    ///
    /// # Errors
    /// The text could not be written; this does not happen, as it is written to a string.
    pub fn render(self) -> Result<String, fmt::Error> {
        let mut registry = Registry::default();
        registry.register_collector(Box::new(self));
        let mut text = String::new();
        prometheus_text::encode(&mut text, &registry)?;
        Ok(text)
    }
}

impl Collector for Exposition {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        self.families.iter().try_for_each(|family| family.encode(&mut encoder))
    }
}

impl Family {
    fn encode(&self, encoder: &mut DescriptorEncoder) -> Result<(), fmt::Error> {
        let metric = &self.metric;
        let kind = match metric.kind {
            Kind::Counter => MetricType::Counter,
            Kind::Gauge => MetricType::Gauge,
        };
        let mut encoder = encoder.encode_descriptor(metric.base_name(), metric.help, None, kind)?;
        for sample in &self.samples {
            match sample.labels.as_slice() {
                [] => sample.encode(metric.kind, encoder.encode_family(&[] as &[Label; 0])?)?,
                labels => sample.encode(metric.kind, encoder.encode_family(&labels)?)?,
            }
        }
        Ok(())
    }
}

impl Sample {
    fn encode(&self, kind: Kind, encoder: MetricEncoder) -> Result<(), fmt::Error> {
        match (kind, self.value) {
            (Kind::Counter, Value::Integer(value)) => ConstCounter::new(value).encode(encoder),
            (Kind::Counter, Value::Float(value)) => ConstCounter::new(value).encode(encoder),
            (Kind::Gauge, Value::Integer(value)) => ConstGauge::new(value).encode(encoder),
            (Kind::Gauge, Value::Float(value)) => ConstGauge::new(value).encode(encoder),
        }
    }
}
