//! Requests and responses of the control interface.

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, IF_MATCH, LOCATION, RETRY_AFTER};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;

/// Method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlMethod {
    /// `GET`
    Get,
    /// `PUT`
    Put,
    /// `PATCH`
    Patch,
    /// `POST`
    Post,
    /// `DELETE`
    Delete,
    /// Any other method; the interface supports none of them.
    Other,
}

impl From<&Method> for ControlMethod {
    fn from(method: &Method) -> Self {
        match *method {
            Method::GET => ControlMethod::Get,
            Method::PUT => ControlMethod::Put,
            Method::PATCH => ControlMethod::Patch,
            Method::POST => ControlMethod::Post,
            Method::DELETE => ControlMethod::Delete,
            _ => ControlMethod::Other,
        }
    }
}

impl ControlMethod {
    /// The method of a call; `Other` has none.
    pub(crate) fn to_http(self) -> Option<Method> {
        match self {
            ControlMethod::Get => Some(Method::GET),
            ControlMethod::Put => Some(Method::PUT),
            ControlMethod::Patch => Some(Method::PATCH),
            ControlMethod::Post => Some(Method::POST),
            ControlMethod::Delete => Some(Method::DELETE),
            ControlMethod::Other => None,
        }
    }
}

/// The version on which a request is based: its `If-Match` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IfMatch {
    /// The request has no such header.
    Absent,
    /// The request names this version.
    Version(u64),
    /// The header is not a version, or there are several.
    Malformed,
}

impl IfMatch {
    /// Reads the header, with or without the quotes of an entity tag.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(IF_MATCH).iter();
        let Some(value) = values.next() else { return IfMatch::Absent };
        let version = value.to_str().ok().and_then(parse_version).filter(|_| values.next().is_none());
        version.map_or(IfMatch::Malformed, IfMatch::Version)
    }
}

fn parse_version(value: &str) -> Option<u64> {
    let value = value.trim();
    let bare = value.strip_prefix('"').and_then(|value| value.strip_suffix('"')).unwrap_or(value);
    let digits = bare.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| bare.parse().ok()).flatten()
}

/// A request as its handler gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlRequest {
    /// Method of the request.
    pub method: ControlMethod,
    /// Path without a query.
    pub path: String,
    /// Version on which the request is based.
    pub if_match: IfMatch,
    /// Body, or its beginning.
    pub body: Bytes,
    /// Whether the body arrived completely; if not, `body` holds its beginning and must not be acted on.
    pub complete: bool,
    /// Address of the client.
    pub remote: SocketAddr,
}

/// What a body holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentType {
    /// JSON.
    Json,
    /// Text in the Prometheus exposition format.
    Metrics,
}

impl ContentType {
    fn header(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            ContentType::Json => "application/json",
            ContentType::Metrics => "text/plain; version=0.0.4; charset=utf-8",
        })
    }
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlResponse {
    /// Status of the response.
    pub status: u16,
    /// Where the client should go instead.
    pub location: Option<String>,
    /// Seconds after which the client may retry.
    pub retry_after_s: Option<u32>,
    /// Body; may be empty.
    pub body: Bytes,
    /// What the body holds.
    pub content_type: ContentType,
    /// Whether the connection ends with this response.
    pub close: bool,
}

impl ControlResponse {
    /// A response without a body.
    pub fn status(status: u16) -> Self {
        ControlResponse {
            status,
            location: None,
            retry_after_s: None,
            body: Bytes::new(),
            content_type: ContentType::Json,
            close: false,
        }
    }

    /// A response with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        ControlResponse { body: body.into(), ..Self::status(status) }
    }

    /// A response with a body of another kind.
    pub fn text(status: u16, content_type: ContentType, body: impl Into<Bytes>) -> Self {
        ControlResponse { body: body.into(), content_type, ..Self::status(status) }
    }

    /// A temporary redirect to another server.
    pub fn redirect(location: impl Into<String>) -> Self {
        ControlResponse {
            location: Some(location.into()),
            ..Self::status(StatusCode::TEMPORARY_REDIRECT.as_u16())
        }
    }

    /// The headers that the response needs; a location that is not a valid header value is left out.
    pub(crate) fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if !self.body.is_empty() {
            headers.insert(CONTENT_TYPE, self.content_type.header());
        }
        if let Some(location) = self.location.as_deref().and_then(|value| HeaderValue::from_str(value).ok()) {
            headers.insert(LOCATION, location);
        }
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        headers
    }
}
