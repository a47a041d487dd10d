//! Why an answer of an endpoint is not forwarded although the endpoint sent one.

use lanegate_http_framing::FramingError;
use std::error::Error;

/// Why an answer is not forwarded. The request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum InvalidAnswer {
    /// The bytes do not say where the answer ends, or are no answer.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// The HTTP library cannot read the answer.
    #[error("unreadable head")]
    Unreadable,
    /// The answer belongs to another request.
    #[error("not the Attempt-Id of the request")]
    AttemptId,
    /// The body has a content encoding, which no client asked for.
    #[error("unsolicited Content-Encoding")]
    ContentEncoding,
    /// The status is informational, so another answer would have to follow.
    #[error("informational status")]
    Informational,
    /// A success has no `Server-Signature`.
    #[error("success without Server-Signature")]
    Signature,
}

impl InvalidAnswer {
    /// The reason as a value of a metric label.
    pub fn reason(self) -> &'static str {
        match self {
            InvalidAnswer::Framing(error) => error.reason(),
            InvalidAnswer::Unreadable => "unreadable",
            InvalidAnswer::AttemptId => "attempt_id",
            InvalidAnswer::ContentEncoding => "content_encoding",
            InvalidAnswer::Informational => "informational",
            InvalidAnswer::Signature => "signature",
        }
    }

    /// Whether `error` was caused by an answer whose end is in doubt, and why.
    pub fn in_framing(error: &(dyn Error + 'static)) -> Option<Self> {
        FramingError::cause_of(error).map(InvalidAnswer::Framing)
    }
}
