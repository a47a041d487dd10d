//! Definition of a metric: name, description, kind, and the type of its values.

/// How a metric behaves over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Only grows, from 0 at the start of the process.
    Counter,
    /// Goes up and down.
    Gauge,
}

/// A metric as it is exported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Name in full; that of a counter ends with `_total`.
    pub name: &'static str,
    /// What it counts or measures, without a full stop.
    pub help: &'static str,
    /// Whether it is a counter or a gauge.
    pub kind: Kind,
}

/// Suffix of the name of every counter.
const COUNTER_SUFFIX: &str = "_total";

impl Metric {
    /// A metric that only grows.
    pub const fn counter(name: &'static str, help: &'static str) -> Self {
        Metric { name, help, kind: Kind::Counter }
    }

    /// A metric that goes up and down.
    pub const fn gauge(name: &'static str, help: &'static str) -> Self {
        Metric { name, help, kind: Kind::Gauge }
    }

    /// The name without the suffix that the format adds to counters.
    pub(crate) fn base_name(&self) -> &'static str {
        match self.kind {
            Kind::Counter => self.name.strip_suffix(COUNTER_SUFFIX).unwrap_or(self.name),
            Kind::Gauge => self.name,
        }
    }
}

/// The value of one sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Value {
    /// An integer.
    Integer(u64),
    /// A floating-point number.
    Float(f64),
}

impl From<u64> for Value {
    fn from(value: u64) -> Self {
        Value::Integer(value)
    }
}

impl From<u32> for Value {
    fn from(value: u32) -> Self {
        Value::Integer(value.into())
    }
}

impl From<usize> for Value {
    fn from(value: usize) -> Self {
        Value::Integer(value as u64)
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Value::Integer(value.into())
    }
}

impl From<f64> for Value {
    fn from(value: f64) -> Self {
        Value::Float(value)
    }
}

impl From<std::time::Duration> for Value {
    /// Seconds, the base unit of times.
    fn from(value: std::time::Duration) -> Self {
        Value::Float(value.as_secs_f64())
    }
}
