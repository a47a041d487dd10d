//! Errors in a document: each with its location, all reported at once.

use std::fmt;

/// One error and its location in the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the field, as in `Routes[3].Backend`; empty for the document as a whole.
    pub location: String,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// A finding at `location`.
    pub fn new(location: impl Into<String>, message: impl Into<String>) -> Self {
        Finding { location: location.into(), message: message.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.location.is_empty() {
            return formatter.write_str(&self.message);
        }
        write!(formatter, "{}: {}", self.location, self.message)
    }
}

/// All errors of a document, in the order of their locations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// A single finding.
    pub fn one(location: impl Into<String>, message: impl Into<String>) -> Self {
        Findings(vec![Finding::new(location, message)])
    }

    /// Adds a finding at `location`.
    pub fn add(&mut self, location: impl Into<String>, message: impl Into<String>) {
        self.0.push(Finding::new(location, message));
    }

    /// Adds all of `others`.
    pub fn append(&mut self, others: Findings) {
        self.0.extend(others.0);
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The findings in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// `Ok` if nothing was found.
    ///
    /// # Errors
    /// The findings, if there are any.
    pub fn into_result(self) -> Result<(), Findings> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// One finding per line.
impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            finding.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
