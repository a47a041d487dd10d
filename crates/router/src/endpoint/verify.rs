//! Verification of answers: whether an answer belongs to the request, and whether the request ran.

use crate::endpoint::invalid_answer::InvalidAnswer;
use crate::fault::RouterFault;
use crate::headers::{ATTEMPT_ID, INSTANCE_ID, NOT_EXECUTED, SERVER_SIGNATURE, instance_load};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_ENCODING, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use lanegate_dispatch::interface::AttemptEnd;

/// What an answer has to match.
#[derive(Debug, Clone, Copy)]
pub struct Expected<'a> {
    /// `Attempt-Id` of the request.
    pub attempt_id: Option<&'a HeaderValue>,
    /// Id of the endpoint.
    pub instance: &'a str,
    /// Whether the endpoint is an inference engine, which also answers 421 for a model that it has not loaded.
    pub engine: bool,
    /// A deliberate fault for tests.
    pub fault: Option<RouterFault>,
}

/// Why an answer cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rejection {
    /// It is not a valid answer to the request.
    Invalid(InvalidAnswer),
    /// It is valid and ends the attempt like this.
    Ended(AttemptEnd),
}

/// Checks the head of an answer.
///
/// # Errors
///
/// Why the answer cannot be forwarded.
pub fn check(expected: Expected<'_>, answer: &Response<Incoming>) -> Result<(), Rejection> {
    let headers = answer.headers();
    let mut ids = headers.get_all(&ATTEMPT_ID).iter();
    let matches_request = ids.next() == expected.attempt_id && ids.next().is_none();
    if !matches_request && expected.fault != Some(RouterFault::AcceptAnyAttemptId) {
        return Err(Rejection::Invalid(InvalidAnswer::AttemptId));
    }
    let status = answer.status();
    if status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&NOT_EXECUTED) {
        let load = instance_load(headers);
        let wrong_instance = status == StatusCode::MISDIRECTED_REQUEST && is_other_instance(expected, answer);
        let end = AttemptEnd::NotExecuted { status: status.as_u16(), load, wrong_instance };
        return Err(Rejection::Ended(end));
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(Rejection::Invalid(InvalidAnswer::ContentEncoding));
    }
    if status.is_informational() {
        return Err(Rejection::Invalid(InvalidAnswer::Informational));
    }
    if status.is_success() && !headers.contains_key(&SERVER_SIGNATURE) {
        return Err(Rejection::Invalid(InvalidAnswer::Signature));
    }
    if implies_not_executed(status) {
        if expected.fault == Some(RouterFault::TrustStatusAlone) {
            let end = AttemptEnd::NotExecuted { status: status.as_u16(), load: None, wrong_instance: false };
            return Err(Rejection::Ended(end));
        }
        return Err(Rejection::Ended(AttemptEnd::Broken));
    }
    Ok(())
}

fn is_other_instance(expected: Expected<'_>, answer: &Response<Incoming>) -> bool {
    match answer.headers().get(&INSTANCE_ID) {
        Some(id) => id.as_bytes() != expected.instance.as_bytes(),
        None => !expected.engine,
    }
}

/// Whether the body has neither a length nor chunks. Such a body is complete if its connection is closed, and incomplete if the
/// connection is reset.
pub fn ends_with_connection(answer: &Response<Incoming>) -> bool {
    let mut encodings = answer.headers().get_all(TRANSFER_ENCODING).iter();
    let last = encodings.next_back().and_then(|value| value.to_str().ok()).unwrap_or_default();
    answer.body().size_hint().exact().is_none() && !last.to_ascii_lowercase().trim_end().ends_with("chunked")
}

/// Whether a client would infer from the status that the request did not run and will not. An endpoint that did not send
/// `Not-Executed` may have run the request, so such a status cannot be forwarded.
fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}
