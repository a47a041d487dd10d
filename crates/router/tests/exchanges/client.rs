//! Clients that follow the script and match every received byte with their own requests.

use super::record::Record;
use super::script::{ClientAction, Route, answer_body, request_body, split};
use hyper::header::HeaderMap;
use lanegate_http_framing::ChunkScanner;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// `Deadline-Ms` of every request.
const DEADLINE_MS: u32 = 400;
/// Number of yields to the other tasks after each segment.
const YIELDS_PER_SEGMENT: usize = 2;

async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Ids have no hexadecimal digits, so that no part of one looks like the length of a chunk.
fn label(number: usize) -> char {
    char::from(b'g' + u8::try_from(number).unwrap())
}

struct Client {
    address: SocketAddr,
    stream: TcpStream,
    /// All bytes received on the current connection.
    received: Vec<u8>,
    /// Number of received bytes that belong to answers that were parsed.
    consumed: usize,
    /// Requests that have not been answered.
    pending: Vec<(String, Route)>,
    /// Ids of the requests sent on the current connection.
    sent_ids: Vec<String>,
    record: Rc<Record>,
}

struct Answer {
    status: u16,
    headers: HeaderMap,
    body: Vec<u8>,
}

/// Performs the actions of one client.
pub(crate) async fn perform(
    address: SocketAddr,
    number: usize,
    actions: Vec<ClientAction>,
    record: Rc<Record>,
) {
    let stream = connect(address).await;
    let mut client = Client {
        address,
        stream,
        received: Vec::new(),
        consumed: 0,
        pending: Vec::new(),
        sent_ids: Vec::new(),
        record,
    };
    for (count, action) in actions.into_iter().enumerate() {
        let id = format!("{}-{}", label(number), label(count));
        match action {
            ClientAction::Request { route, body, in_chunks, segments, pipelined } => {
                let bytes = client.request(&id, route, body, in_chunks);
                client.send(&bytes, &segments).await;
                client.pending.push((id, route));
                if !pipelined {
                    client.read_pending().await;
                }
            }
            ClientAction::Disconnect { route, after } => {
                client.read_pending().await;
                let bytes = client.request(&id, route, 20, false);
                client.send(&bytes[..after % (bytes.len() + 1)], &[]).await;
                client.reconnect().await;
            }
            ClientAction::Garbage(bytes) => {
                client.read_pending().await;
                client.send(&bytes, &[]).await;
                let _ = client.stream.shutdown().await;
                while client.fill().await {}
                client.reconnect().await;
            }
        }
    }
    client.read_pending().await;
    client.check_received();
}

impl Client {
    fn request(&mut self, id: &str, route: Route, body: usize, in_chunks: bool) -> Vec<u8> {
        let body = request_body(id, body);
        self.record.record_request(id, body.clone(), route.may_run_again());
        self.sent_ids.push(id.to_owned());
        let framed = if in_chunks && !body.is_empty() {
            format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
        } else {
            format!("Content-Length: {}\r\n\r\n{body}", body.len())
        };
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n",
            route.path()
        );
        (head + &framed).into_bytes()
    }

    async fn send(&mut self, bytes: &[u8], segments: &[usize]) {
        for piece in split(bytes, segments) {
            if self.stream.write_all(piece).await.is_err() {
                return;
            }
            for _ in 0..YIELDS_PER_SEGMENT {
                yield_now().await;
            }
        }
    }

    /// Reads the answers to all requests that were sent.
    async fn read_pending(&mut self) {
        for (id, route) in std::mem::take(&mut self.pending) {
            match self.answer().await {
                Some(answer) => self.check(&id, route, &answer),
                // The connection has ended, so there are no answers to the other requests sent on it.
                None => return self.reconnect().await,
            }
        }
    }

    async fn answer(&mut self) -> Option<Answer> {
        loop {
            if let Some((answer, length)) = parse(&self.received[self.consumed..]) {
                self.consumed += length;
                return Some(answer);
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn fill(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.received).await, Ok(read) if read > 0)
    }

    async fn reconnect(&mut self) {
        self.check_received();
        self.stream = connect(self.address).await;
        self.received.clear();
        self.consumed = 0;
        self.sent_ids.clear();
        self.pending.clear();
    }

    fn check(&self, id: &str, route: Route, answer: &Answer) {
        self.record.record_client_answer(id, answer.status);
        let own_id = answer.headers.get("attempt-id").is_some_and(|value| value == id);
        let is_signed = answer.headers.contains_key("server-signature");
        let is_valid = match answer.status {
            200 => is_signed && own_id && answer.body == answer_body(route, id, 0).as_bytes(),
            500 => is_signed && own_id && answer.body.is_empty(),
            502..=504 => !is_signed && answer.body.is_empty(),
            _ => false,
        };
        if !is_valid {
            let body = String::from_utf8_lossy(&answer.body);
            self.record.record_violation(format!(
                "the client of {id} received an invalid answer with status {}: {:?} {body:?}",
                answer.status, answer.headers
            ));
        }
    }

    /// Checks that every id on the connection belongs to a request that was sent on it.
    fn check_received(&self) {
        let text = without_chunk_lines(&String::from_utf8_lossy(&self.received));
        for after_bracket in text.split('[').skip(1) {
            let id = after_bracket.split(']').next().unwrap_or_default();
            if after_bracket.contains(']') && !self.sent_ids.iter().any(|sent| sent == id) {
                self.record.record_violation(format!(
                    "bytes of the answer to {id} reached a client that sent only {:?}",
                    self.sent_ids
                ));
            }
        }
    }
}

/// The text without the lines that frame chunks; no body has a carriage return.
fn without_chunk_lines(text: &str) -> String {
    let is_length = |part: &&str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_hexdigit());
    text.split("\r\n").filter(|part| !is_length(part)).collect()
}

/// The first complete answer in the bytes, and its length.
fn parse(bytes: &[u8]) -> Option<(Answer, usize)> {
    let mut fields = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(start) = head.parse(bytes).expect("the bytes are not a valid answer")
    else {
        return None;
    };
    let status = head.code.unwrap();
    let headers: HeaderMap = head
        .headers
        .iter()
        .map(|field| (field.name.parse().unwrap(), field.value.try_into().unwrap()))
        .collect();
    if status == 100 {
        return parse(&bytes[start..]).map(|(answer, length)| (answer, start + length));
    }
    if headers.contains_key("transfer-encoding") {
        let mut scanner = ChunkScanner::default();
        let length = scanner.scan(&bytes[start..]).expect("the body has an invalid chunked encoding");
        let body = scanner.is_over().then(|| decode_chunks(&bytes[start..start + length]))?;
        return Some((Answer { status, headers, body }, start + length));
    }
    let length: usize =
        headers.get("content-length").map_or(0, |value| value.to_str().unwrap().parse().unwrap());
    let body = bytes.get(start..start + length)?.to_vec();
    Some((Answer { status, headers, body }, start + length))
}

fn decode_chunks(mut bytes: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let line = bytes.iter().position(|&byte| byte == b'\n').unwrap();
        let length = std::str::from_utf8(&bytes[..line]).unwrap().trim();
        let length = usize::from_str_radix(length, 16).unwrap();
        if length == 0 {
            return body;
        }
        body.extend_from_slice(&bytes[line + 1..line + 1 + length]);
        bytes = &bytes[line + 1 + length + 2..];
    }
}
