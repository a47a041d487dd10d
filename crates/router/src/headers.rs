//! Headers that the router reads or sets, and hop-by-hop headers.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use lanegate_dispatch::interface::{Generation, InstanceLoad, PromptPart};
use std::time::Duration;

/// Id that the client gives a request; an endpoint repeats it in its answer.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Time that remains for a request, ms.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Id of the endpoint that a request is addressed to.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// Id of the endpoint that answered.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");
/// Load of an endpoint: running requests, waiting requests and slots.
pub const INSTANCE_LOAD: HeaderName = HeaderName::from_static("instance-load");
/// How long an idle connection is kept, s.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Id of the event after which a stream is resumed.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Model and adapter that a request needs.
pub const MODEL: HeaderName = HeaderName::from_static("model");
/// States that the request was not executed.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Priority of a request at an engine, 0 (first) to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Ids of the parts of the prompt, each with its number of tokens.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// Signature that proves that an endpoint answered.
pub const SERVER_SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// Prompt and maximum output tokens of a request.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop headers, in addition to those that `Connection` lists.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the headers that describe the framing of the client's request; the router frames the forwarded request itself.
pub fn remove_framing(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let tokens = value.to_str().unwrap_or_default().split(',').map(str::trim);
        let own = tokens.filter(|token| {
            !token.is_empty()
                && !token.eq_ignore_ascii_case("close")
                && !token.eq_ignore_ascii_case("keep-alive")
        });
        names.extend(own.filter_map(|token| HeaderName::from_bytes(token.as_bytes()).ok()));
    }
    names
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// The time that the client waits (`Deadline-Ms`), if it is valid.
pub fn client_deadline(headers: &HeaderMap) -> Option<Duration> {
    let milliseconds: f64 = text(headers, &DEADLINE_MS)?.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1_000.0).ok()
}

/// The requested generation, if the request names a model.
pub fn generation(headers: &HeaderMap) -> Option<Generation> {
    let (model, adapter) = match text(headers, &MODEL)?.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter).filter(|adapter| !adapter.is_empty())),
        None => (text(headers, &MODEL)?, None),
    };
    if model.is_empty() {
        return None;
    }
    let (prompt_tokens, output_tokens) =
        text(headers, &TOKEN_USAGE).and_then(token_usage).unwrap_or_default();
    let prefix = text(headers, &PROMPT_PREFIX).map(prompt_parts).unwrap_or_default();
    Some(Generation {
        model: model.into(),
        adapter: adapter.map(Into::into),
        prompt_tokens,
        output_tokens,
        prefix,
    })
}

fn token_usage(value: &str) -> Option<(u32, u32)> {
    let (input, output) = value.split_once(',')?;
    Some((input.trim().parse().ok()?, output.trim().parse().ok()?))
}

/// Parses the parts up to the first invalid one. A prefix is matched from its beginning, so parts after a gap cannot be used.
fn prompt_parts(value: &str) -> Vec<PromptPart> {
    value.split(',').map_while(prompt_part).collect()
}

fn prompt_part(part: &str) -> Option<PromptPart> {
    let (id, tokens) = part.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.trim().parse().ok()? })
}

/// The load that an endpoint reports: running requests, waiting requests and slots.
pub fn instance_load(headers: &HeaderMap) -> Option<InstanceLoad> {
    let mut figures = text(headers, &INSTANCE_LOAD)?.split(',').map(|figure| figure.trim().parse().ok());
    Some(InstanceLoad { running: figures.next()??, waiting: figures.next()??, slots: figures.next()?? })
}

/// The time that an endpoint keeps an idle connection (`Keep-Alive`), if it is given.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let seconds = text(headers, &KEEP_ALIVE)?.split(',').find_map(|parameter| {
        let parameter = parameter.trim();
        parameter.strip_prefix("timeout=").unwrap_or(parameter).trim().parse().ok()
    })?;
    Some(Duration::from_secs(seconds))
}

/// Whether the answer is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = text(headers, &CONTENT_TYPE).unwrap_or_default();
    let kind = kind.split(';').next().unwrap_or_default();
    kind.trim().eq_ignore_ascii_case("text/event-stream")
}

/// The remaining milliseconds as a header value; at least 1.
pub fn milliseconds(left: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1))
}
