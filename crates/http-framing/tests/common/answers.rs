//! Answers of an endpoint in trouble, and answers in order that are easily taken for such. Shared by the tests of every
//! reader of answers.
#![allow(dead_code, reason = "each file of tests uses a part")]

/// The body that the endpoint means to send.
pub const BODY: &str = "abcdef";
/// Stands for the fields that an answer needs to belong to its request, each with its line end.
const FIELDS: &str = "{fields}";

/// An answer that no reader may take for complete.
#[derive(Debug, Clone, Copy)]
pub struct BrokenAnswer {
    /// The reason for which it is refused.
    pub reason: &'static str,
    text: &'static str,
}

impl BrokenAnswer {
    /// The bytes of the answer with these fields.
    pub fn with_fields(&self, fields: &str) -> String {
        self.text.replace(FIELDS, fields)
    }
}

const fn broken(reason: &'static str, text: &'static str) -> BrokenAnswer {
    BrokenAnswer { reason, text }
}

/// Answers whose damage shows as soon as they have arrived, whether or not the endpoint closes the connection.
pub const BROKEN: &[BrokenAnswer] = &[
    // The status.
    broken("status_code", "HTTP/1.1 000 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_code", "HTTP/1.1 000\r\n{fields}\r\nabcdef"),
    broken("status_code", "HTTP/1.1 020 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_code", "HTTP/1.1 099 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_code", "HTTP/1.1 600 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_code", "HTTP/1.1 999 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_code", "HTTP/1.1 101 Switching Protocols\r\n{fields}Upgrade: x\r\n\r\nabcdef"),
    broken("status_line", "HTTP/1.1 2000 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "HTTP/1.1 20 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "HTTP/1.1 2x0 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "HTTP/1.1 +20 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "HTTP/1.1  200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "HTTP/1.1 200\0OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "HTTP/1.1 200 O\u{1}K\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "HTTP/2.0 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "HTTP/1.1200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "\nHTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("status_line", "noise\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    // A line that is no field.
    broken("field", "HTTP/1.1 200 OK\r\n{fields}no field\r\nContent-Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}: 6\r\nContent-Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Len\r\ngth: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\nHTTP/1.1 200 OK\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Len\r\n\r\ngth: 6\r\n\r\nabcdef"),
    // A blank or a control byte in the name of a field.
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length : 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length\t: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields} Content-Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}\tContent-Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content\0-Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length\u{1}: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}\u{7f}Content-Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}X Y: z\r\nContent-Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}X\u{8}Y: z\r\nContent-Length: 6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}X\u{e9}Y: z\r\nContent-Length: 6\r\n\r\nabcdef"),
    // A value with a control byte, or continued on the next line.
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\0\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length: \u{1}6\r\n\r\nabcdef"),
    broken("field", "HTTP/1.1 200 OK\r\n{fields}Content-Length:\r\n 6\r\n\r\nabcdef"),
    broken(
        "field",
        "HTTP/1.1 200 OK\r\n{fields}X: a\r\n Content-Length: 3\r\nContent-Length: 6\r\n\r\nabcdef",
    ),
    // Ends of lines, and an early end of the head.
    broken("line_end", "HTTP/1.1 200 OK\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    broken("line_end", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\n\r\nabcdef"),
    broken("line_end", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\n\nabcdef"),
    broken(
        "line_end",
        "HTTP/1.1 200 OK\r\n{fields}X: a\nContent-Length: 3\r\nContent-Length: 6\r\n\r\nabcdef",
    ),
    broken(
        "line_end",
        "HTTP/1.1 200 OK\r\n{fields}X: a\rContent-Length: 3\r\nContent-Length: 6\r\n\r\nabcdef",
    ),
    broken("line_end", "HTTP/1.1 200 OK\r\n{fields}\nContent-Length: 6\r\n\r\nabcdef"),
    broken("line_end", "HTTP/1.1 200 OK\r\n{fields}X: a\n\nContent-Length: 6\r\n\r\nabcdef"),
    broken("line_end", "HTTP/1.1 200 OK\r\n{fields}\rContent-Length: 6\r\n\r\nabcdef"),
    broken("line_end", "HTTP/1.1 200 OK\r\n{fields}\r\rContent-Length: 6\r\n\r\nabcdef"),
    broken("head_in_body", "HTTP/1.1 200 OK\r\n{fields}\r\nContent-Length: 6\r\n\r\nabcdef"),
    broken(
        "head_in_body",
        "HTTP/1.1 200 OK\r\n{fields}\r\nDate: now\r\ncontent-length:6\r\nX: y\r\n\r\nabcdef",
    ),
    broken("head_in_body", "HTTP/1.1 200 OK\r\n{fields}X: a\r\n\r\nb\r\nContent-Length: 6\r\n\r\nabcdef"),
    broken(
        "head_in_body",
        "HTTP/1.1 200 OK\r\n{fields}\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken("head_in_body", "HTTP/1.1 200 OK\r\n{fields}\r\nConnection: close\r\n\r\nabcdef"),
    broken("bytes_after_end", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\n\r\nX: y\r\n\r\nabcdef"),
    // The length.
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length:\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: \t\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: -6\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: +6\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6x\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: x6\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0x6\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6.0\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0 6\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: \"6\"\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: \u{ff16}\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 18446744073709551622\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 3,6\r\n\r\nabcdef"),
    broken("content_length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6, 6\r\n\r\nabcdef"),
    broken(
        "content_length",
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 3\r\nContent-Length: 6\r\n\r\nabcdef",
    ),
    broken(
        "content_length",
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\ncontent-length: 6\r\n\r\nabcdef",
    ),
    broken("bytes_after_end", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\nabcdef"),
    broken("bytes_after_end", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 3\r\n\r\nabcdef"),
    broken("bytes_after_end", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 5\r\n\r\nabcdef"),
    broken("bytes_after_end", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 4\r\n\r\nabcd\r\n"),
    broken("bytes_after_end", "HTTP/1.1 204 No Content\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    // The encoding.
    broken(
        "length_and_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\nTransfer-Encoding: gzip\r\n\r\nabcdef",
    ),
    broken(
        "length_and_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: x\r\nContent-Length: 6\r\n\r\nabcdef",
    ),
    broken(
        "length_and_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\nTransfer-Encoding:\r\n\r\nabcdef",
    ),
    broken(
        "length_and_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\nTransfer-Encoding: identity\r\n\r\nabcdef",
    ),
    broken(
        "length_and_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken("transfer_encoding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: gzip\r\n\r\nabcdef"),
    broken("transfer_encoding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: identity\r\n\r\nabcdef"),
    broken(
        "transfer_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunke\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "transfer_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: gzip, chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "transfer_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: xchunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "transfer_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked;q=1\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "transfer_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked, chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "transfer_encoding",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "transfer_encoding",
        "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    ),
    // The chunks.
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\nno chunk"),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n\r\nabcdef\r\n0\r\n\r\n"),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n"),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n7\r\nabcdef\r\n0\r\n\r\n"),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\nabcdef\r\n0\r\n\r\n"),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n-6\r\nabcdef\r\n0\r\n\r\n"),
    broken(
        "chunk",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0x6\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n 6\r\nabcdef\r\n0\r\n\r\n"),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\nabcdef\r\n0\r\n\r\n"),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\n0\r\n\r\n"),
    broken(
        "chunk",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6;\0\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "chunk",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n10000000000000006\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "chunk",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\nno field\r\n\r\n",
    ),
    broken(
        "chunk",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\nT : 1\r\n\r\n",
    ),
    broken(
        "chunk",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\nid: 1\n\n\r\n0\r\n\r\n",
    ),
    broken("chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\n"),
    broken(
        "bytes_after_end",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nabcdef\r\n0\r\n\r\n",
    ),
    broken(
        "bytes_after_end",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\nid: 1\r\n\r\n\r\n0\r\n\r\n",
    ),
];

/// Answers whose damage shows once the endpoint closes the connection: until then the body may go on.
pub const BROKEN_ONCE_CLOSED: &[BrokenAnswer] = &[
    broken("chunks_in_body", "HTTP/1.1 200 OK\r\n{fields}\r\n6\r\nabcdef\r\n0\r\n\r\n"),
    broken(
        "chunks_in_body",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encodinh: chunked\r\n\r\n2\r\nab\r\n4;x\r\ncdef\r\n0\r\nT: 1\r\n\r\n",
    ),
    broken("chunks_in_body", "HTTP/1.0 200 OK\r\n{fields}X: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n"),
];

/// An answer in order, with the body [`BODY`].
#[derive(Debug, Clone, Copy)]
pub struct AnswerInOrder {
    /// Whether it ends with its connection.
    pub until_close: bool,
    text: &'static str,
}

impl AnswerInOrder {
    /// The bytes of the answer with these fields.
    pub fn with_fields(&self, fields: &str) -> String {
        self.text.replace(FIELDS, fields)
    }
}

const fn in_order(text: &'static str) -> AnswerInOrder {
    AnswerInOrder { until_close: false, text }
}

const fn until_close(text: &'static str) -> AnswerInOrder {
    AnswerInOrder { until_close: true, text }
}

/// Answers that have to pass.
pub const IN_ORDER: &[AnswerInOrder] = &[
    in_order("HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    in_order("HTTP/1.1 200 \r\n{fields}content-length:6\r\n\r\nabcdef"),
    in_order("HTTP/1.1 200 All right\r\n{fields}CONTENT-LENGTH:\t 06 \t\r\n\r\nabcdef"),
    in_order("HTTP/1.0 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    in_order("HTTP/1.1 200 OK\r\n{fields}X-Empty:\r\nX: \u{e9}\ta b \r\nContent-Length: 6\r\n\r\nabcdef"),
    in_order("HTTP/1.1 200 OK\r\n{fields}!#$%&'*+-.^_`|~09aZ: x\r\nContent-Length: 6\r\n\r\nabcdef"),
    in_order("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef"),
    in_order(
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef",
    ),
    in_order("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n"),
    in_order(
        "HTTP/1.1 200 OK\r\n{fields}transfer-encoding: Chunked \r\n\r\n2\r\nab\r\n004;x=\"y\"\r\ncdef\r\n0\r\n\r\n",
    ),
    in_order(
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n000\r\nT: 1\r\nU:\r\n\r\n",
    ),
    // Another answer follows.
    in_order(
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 6\r\n\r\nabcdef\
         HTTP/1.1 200 OK\r\n{fields}Content-Length: 5\r\n\r\nextra",
    ),
    in_order(
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n\
         HTTP/1.1 500 No\r\n{fields}Content-Length: 0\r\n\r\n",
    ),
    until_close("HTTP/1.1 200 OK\r\n{fields}\r\nabcdef"),
    until_close("HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\nabcdef"),
    until_close("HTTP/1.0 200 OK\r\n{fields}\r\nabcdef"),
];

/// Bodies that have to pass in an answer that ends with its connection.
pub const BODIES_IN_ORDER: &[&str] = &[
    "",
    "\r\n",
    "\r\n\r\n",
    "name: value\r\n\r\nmore",
    "name: value\nContent-Length: 3\n\nmore",
    "Content-Length is a field\r\n\r\n",
    "id: 1\r\ndata: x\r\n\r\n",
    "versions: 2\r\ndata: x\r\n\r\n",
    "a\r\nb\r\nContent-Length: 3\r\n\r\nc",
    "{\"Content-Length\": 3}\r\n\r\n",
    "abc",
    "42\r\n",
    "6\r\nabcdef\r\n",
    "3\r\nabc\r\n0\r\n",
    "3\r\nabc\r\n0\r\n\r\nmore",
];
