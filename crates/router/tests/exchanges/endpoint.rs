//! Endpoints that follow the script.

use super::record::Record;
use super::script::{Answer, Framing, Reply, Route, answer_body, split};
use crate::common::{Endpoint, Message, Upstream};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};

/// Number of yields to the other tasks after each segment.
const YIELDS_PER_SEGMENT: usize = 3;

/// Answers on every connection.
pub(crate) async fn serve(endpoint: Endpoint, record: Rc<Record>) {
    loop {
        let upstream = endpoint.accept().await;
        upstream.stream.set_nodelay(true).unwrap();
        spawn_local(serve_connection(upstream, record.clone()));
    }
}

/// What happens to a connection after an answer.
enum AfterAnswer {
    /// It stays open; `late` is sent when the next request has arrived.
    Continue {
        late: Vec<u8>,
    },
    /// It stays open, but bytes that belong to no request were sent on it, so the next request may get no valid answer.
    UnsolicitedBytes,
    End,
}

async fn serve_connection(mut upstream: Upstream, record: Rc<Record>) {
    let mut late = Vec::new();
    let mut has_unsolicited_bytes = false;
    while let Some(request) = upstream.next_request().await {
        write(&mut upstream.stream, &std::mem::take(&mut late), &[]).await;
        let after = answer(&mut upstream.stream, &request, &record).await;
        if has_unsolicited_bytes {
            record.discard_answer(&request);
        }
        match after {
            AfterAnswer::Continue { late: next } => late = next,
            AfterAnswer::UnsolicitedBytes => has_unsolicited_bytes = true,
            AfterAnswer::End => return,
        }
    }
}

/// What arrives behind an answer.
enum Surplus {
    None,
    /// The bytes begin another answer, as far as they go. The answer is complete.
    AnotherAnswer,
    /// Other bytes, with the last byte of the answer: the answer may be longer than its head says, so it is refused.
    WithTheEnd,
    /// Other bytes, which may arrive when the answer has been forwarded.
    Later,
}

impl Surplus {
    /// What arrives behind the first `end` bytes of `bytes`, which are written in segments.
    fn after(end: usize, bytes: &[u8], segments: &[usize]) -> Surplus {
        let mut start = 0;
        for piece in split(bytes, segments) {
            let behind = &bytes[end.min(start + piece.len())..start + piece.len()];
            let has_end = start < end && end <= start + piece.len();
            start += piece.len();
            if !has_end {
                continue;
            }
            return match behind {
                [] if end == bytes.len() => Surplus::None,
                [] => Surplus::Later,
                _ if b"HTTP/1.".starts_with(behind) || behind.starts_with(b"HTTP/1.") => {
                    Surplus::AnotherAnswer
                }
                _ => Surplus::WithTheEnd,
            };
        }
        Surplus::None
    }
}

async fn answer(stream: &mut TcpStream, request: &Message, record: &Record) -> AfterAnswer {
    let id = request.header("Attempt-Id").unwrap_or_default().to_owned();
    let route = Route::of(&request.first_line);
    let before = record.record_arrival(&id, request.text());
    let Answer { reply, framing, segments } = record.next_answer();
    let after = request.header("Last-Event-Id").map_or(0, |id| id.parse().unwrap());
    let bytes_of_answer = complete(&id, route, &answer_body(route, &id, after), framing);
    let after_complete = if framing == Framing::Absent {
        AfterAnswer::End
    } else {
        AfterAnswer::Continue { late: Vec::new() }
    };
    if !matches!(reply, Reply::Rejected { .. }) {
        record.record_execution(&id);
    }
    match reply {
        Reply::Complete => {
            write(stream, &bytes_of_answer, &segments).await;
            record.record_answer(&id, 200);
            after_complete
        }
        Reply::Twice { late } if framing != Framing::Absent => {
            write(stream, &bytes_of_answer, &segments).await;
            record.record_answer(&id, 200);
            if late {
                return AfterAnswer::Continue { late: bytes_of_answer };
            }
            write(stream, &bytes_of_answer, &segments).await;
            after_complete
        }
        Reply::Trailing(bytes) if framing != Framing::Absent => {
            let end = bytes_of_answer.len();
            let all = [&bytes_of_answer[..], &bytes].concat();
            // Recorded first: a request that may run again arrives elsewhere as soon as this is read.
            match Surplus::after(end, &all, &segments) {
                Surplus::None | Surplus::AnotherAnswer => record.record_answer(&id, 200),
                Surplus::WithTheEnd => record.record_refused_answer(&id),
                Surplus::Later => record.discard_answer(request),
            }
            write(stream, &all, &segments).await;
            AfterAnswer::UnsolicitedBytes
        }
        Reply::Twice { .. } | Reply::Trailing(_) => {
            write(stream, &bytes_of_answer, &segments).await;
            record.record_answer(&id, 200);
            AfterAnswer::End
        }
        Reply::Rejected { twice } => {
            let bytes = format!(
                "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            write(stream, bytes.as_bytes(), &segments).await;
            AfterAnswer::Continue { late: if twice { bytes.into_bytes() } else { Vec::new() } }
        }
        Reply::ToOtherRequest => {
            let other = before.filter(|other| *other != id).unwrap_or_else(|| format!("{id}0"));
            write(stream, &complete(&other, route, &answer_body(route, &other, 0), framing), &segments).await;
            after_complete
        }
        Reply::AmbiguousRefusal => {
            let bytes = format!(
                "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n"
            );
            write(stream, bytes.as_bytes(), &segments).await;
            after_complete
        }
        Reply::Failure => {
            let bytes = format!(
                "HTTP/1.1 500 No\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n"
            );
            write(stream, bytes.as_bytes(), &segments).await;
            if after == 0 {
                record.record_answer(&id, 500);
            }
            AfterAnswer::Continue { late: Vec::new() }
        }
        Reply::Break { at, is_reset } => {
            write(stream, &bytes_of_answer[..at % bytes_of_answer.len()], &segments).await;
            // A regular close would make an answer without a length complete.
            if is_reset || framing == Framing::Absent {
                stream.set_zero_linger().unwrap();
            }
            AfterAnswer::End
        }
        Reply::Garbage(bytes) => {
            write(stream, &bytes, &segments).await;
            AfterAnswer::End
        }
    }
}

/// A complete answer with a signature.
fn complete(id: &str, route: Route, body: &str, framing: Framing) -> Vec<u8> {
    let kind = if route.is_stream() { "text/event-stream" } else { "text/plain" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\nKeep-Alive: timeout=5\r\nContent-Type: {kind}\r\n"
    );
    let rest = match framing {
        Framing::Length => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
        Framing::Chunks => {
            let chunks: String = split(body.as_bytes(), &[body.len() / 3, body.len() / 2])
                .into_iter()
                .filter(|chunk| !chunk.is_empty())
                .map(|chunk| format!("{:x}\r\n{}\r\n", chunk.len(), std::str::from_utf8(chunk).unwrap()))
                .collect();
            format!("Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
        }
        Framing::Absent => format!("\r\n{body}"),
    };
    (head + &rest).into_bytes()
}

/// Writes bytes in segments; the router may close meanwhile.
async fn write(stream: &mut TcpStream, bytes: &[u8], segments: &[usize]) {
    for piece in split(bytes, segments) {
        if piece.is_empty() || stream.write_all(piece).await.is_err() {
            continue;
        }
        for _ in 0..YIELDS_PER_SEGMENT {
            yield_now().await;
        }
    }
}
