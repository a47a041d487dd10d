//! The outcome of a change.

use super::DecodeError;
use crate::findings::{Finding, Findings};
use deku::{DekuContainerRead, DekuContainerWrite, DekuRead, DekuWrite};

/// Limit on the findings of an encoded outcome; further ones are only counted.
const MAX_ENCODED_FINDINGS: usize = 50;

/// Limit on a text of an encoded finding, bytes.
const MAX_TEXT_BYTES: usize = 1_000;

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was accepted and is in force as `version`.
    Taken {
        /// The version that is in force now.
        version: u64,
    },
    /// The change was accepted earlier; `current` is in force now.
    AlreadyTaken {
        /// The version in force.
        current: u64,
    },
    /// The change is based on a version other than `current`.
    Conflict {
        /// The version in force.
        current: u64,
    },
    /// The change cannot be parsed, or the resulting configuration is invalid.
    Invalid(Findings),
    /// It is unknown whether the change was accepted before; the findings say why.
    Unclear(Findings),
}

#[derive(DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
enum EncodedOutcome {
    #[deku(id = 1)]
    Taken { version: u64 },
    #[deku(id = 2)]
    AlreadyTaken { current: u64 },
    #[deku(id = 3)]
    Conflict { current: u64 },
    #[deku(id = 4)]
    Invalid(EncodedFindings),
    #[deku(id = 5)]
    Unclear(EncodedFindings),
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
struct EncodedFindings {
    length: u16,
    #[deku(count = "length")]
    findings: Vec<EncodedFinding>,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
struct EncodedFinding {
    location: EncodedText,
    message: EncodedText,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
struct EncodedText {
    length: u16,
    #[deku(count = "length")]
    bytes: Vec<u8>,
}

impl Outcome {
    /// Whether the change was accepted.
    pub fn is_acknowledged(&self) -> bool {
        matches!(self, Outcome::Taken { .. } | Outcome::AlreadyTaken { .. })
    }

    /// The status of the answer to the operator.
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Taken { .. } | Outcome::AlreadyTaken { .. } => 200,
            Outcome::Conflict { .. } => 412,
            Outcome::Invalid(_) => 400,
            Outcome::Unclear(_) => 503,
        }
    }

    /// The outcome as bytes, with the first findings only.
    ///
    /// # Panics
    /// Never: an outcome has no field that cannot be written.
    pub fn encode(&self) -> Vec<u8> {
        EncodedOutcome::from(self).to_bytes().expect("an outcome has no field that cannot be written")
    }

    /// Reads an outcome.
    ///
    /// # Errors
    /// The bytes are not an encoded outcome.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (_, outcome) = EncodedOutcome::from_bytes((bytes, 0)).map_err(DecodeError::Outcome)?;
        Ok(outcome.into())
    }
}

impl From<&Outcome> for EncodedOutcome {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Taken { version } => EncodedOutcome::Taken { version: *version },
            Outcome::AlreadyTaken { current } => EncodedOutcome::AlreadyTaken { current: *current },
            Outcome::Conflict { current } => EncodedOutcome::Conflict { current: *current },
            Outcome::Invalid(findings) => EncodedOutcome::Invalid(findings.into()),
            Outcome::Unclear(findings) => EncodedOutcome::Unclear(findings.into()),
        }
    }
}

impl From<&Findings> for EncodedFindings {
    fn from(findings: &Findings) -> Self {
        let first = findings.iter().take(MAX_ENCODED_FINDINGS);
        let mut encoded: Vec<_> = first.map(EncodedFinding::from).collect();
        let omitted = findings.iter().count() - encoded.len();
        if omitted > 0 {
            encoded.push((&Finding::new("", format!("{omitted} more"))).into());
        }
        EncodedFindings { length: encoded.len() as u16, findings: encoded }
    }
}

impl From<&Finding> for EncodedFinding {
    fn from(finding: &Finding) -> Self {
        EncodedFinding { location: (&*finding.location).into(), message: (&*finding.message).into() }
    }
}

impl From<&str> for EncodedText {
    fn from(text: &str) -> Self {
        let mut end = text.len().min(MAX_TEXT_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        EncodedText { length: end as u16, bytes: text.as_bytes()[..end].to_vec() }
    }
}

impl From<EncodedOutcome> for Outcome {
    fn from(outcome: EncodedOutcome) -> Self {
        match outcome {
            EncodedOutcome::Taken { version } => Outcome::Taken { version },
            EncodedOutcome::AlreadyTaken { current } => Outcome::AlreadyTaken { current },
            EncodedOutcome::Conflict { current } => Outcome::Conflict { current },
            EncodedOutcome::Invalid(findings) => Outcome::Invalid(findings.into()),
            EncodedOutcome::Unclear(findings) => Outcome::Unclear(findings.into()),
        }
    }
}

impl From<EncodedFindings> for Findings {
    fn from(encoded: EncodedFindings) -> Self {
        let mut findings = Findings::default();
        for finding in encoded.findings {
            findings.add(String::from(finding.location), String::from(finding.message));
        }
        findings
    }
}

impl From<EncodedText> for String {
    fn from(text: EncodedText) -> Self {
        String::from_utf8_lossy(&text.bytes).into_owned()
    }
}
