//! Which responses are refused, and for which reason, however they arrive.

#[allow(unreachable_pub, reason = "the file is shared with the tests of other crates")]
#[path = "common/answers.rs"]
mod answers;

use answers::{BODIES_IN_ORDER, BROKEN, BROKEN_ONCE_CLOSED, IN_ORDER};
use lanegate_http_framing::{ChunkScanner, FramingError, RefusalCounts, ResponseInspector};
use proptest::collection::vec;
use proptest::prelude::*;
use std::io;

const FIELDS: &str = "X-First: 1\r\nX-Second: 2\r\n";

/// Inspects `bytes` cut at the given offsets, and what follows each time, up to the end of the connection.
fn inspect(bytes: &[u8], offsets: &[usize]) -> Result<(), FramingError> {
    let mut ends: Vec<usize> = offsets.iter().map(|offset| offset % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut inspector = ResponseInspector::default();
    inspector.expect(false);
    let mut start = 0;
    for end in ends {
        inspector.push(&bytes[start..end])?;
        // What has arrived, but is not read yet.
        inspector.push_following(&bytes[end..])?;
        start = end;
    }
    inspector.end()
}

#[test]
fn a_broken_response_is_refused_for_its_reason() {
    for answer in BROKEN.iter().chain(BROKEN_ONCE_CLOSED) {
        let bytes = answer.with_fields(FIELDS).into_bytes();
        let reason = inspect(&bytes, &[]).map_err(FramingError::reason);
        assert_eq!(reason, Err(answer.reason), "{answer:?}");
        let every_byte: Vec<usize> = (0..bytes.len()).collect();
        let reason = inspect(&bytes, &every_byte).map_err(FramingError::reason);
        assert_eq!(reason, Err(answer.reason), "{answer:?} byte by byte");
    }
}

#[test]
fn a_response_in_order_is_accepted() {
    for answer in IN_ORDER {
        let bytes = answer.with_fields(FIELDS).into_bytes();
        assert_eq!(inspect(&bytes, &[]), Ok(()), "{answer:?}");
    }
    for body in BODIES_IN_ORDER {
        let bytes = format!("HTTP/1.1 200 OK\r\n{FIELDS}\r\n{body}").into_bytes();
        assert_eq!(inspect(&bytes, &[]), Ok(()), "{body:?}");
    }
}

#[test]
fn an_event_stream_does_not_begin_with_a_chunk() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n";
    for chunk in ["8\r\n", "8\r\nid: 1\n\n\r\n", "8;x\r\nid: 1\n\n\r\n8\r\n"] {
        let bytes = format!("{head}{chunk}");
        assert_eq!(inspect(bytes.as_bytes(), &[]), Err(FramingError::ChunksInBody), "{chunk:?}");
    }
    for events in ["data: x\r\n\r\n", "event: a\n\n", "8: x\r\n\r\n", ": 8\r\n\r\n"] {
        let bytes = format!("{head}{events}");
        assert_eq!(inspect(bytes.as_bytes(), &[]), Ok(()), "{events:?}");
    }
}

#[test]
fn a_field_that_the_head_has_may_begin_a_body() {
    let bytes =
        b"HTTP/1.1 200 OK\r\nContent-Type: message/rfc822\r\n\r\nContent-Type: text/plain\r\n\r\nhello";
    assert_eq!(inspect(bytes, &[]), Ok(()));
}

#[test]
fn the_response_to_a_head_request_has_no_body() {
    for (rest, expected) in
        [("", Ok(())), ("HTTP/1.1 200 OK\r\n\r\n", Ok(())), ("abcdef", Err(FramingError::BytesAfterEnd))]
    {
        let mut inspector = ResponseInspector::default();
        inspector.expect(true);
        let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{rest}");
        assert_eq!(inspector.push(bytes.as_bytes()), expected, "{rest:?}");
    }
}

#[test]
fn responses_on_one_connection_are_told_apart() {
    let mut inspector = ResponseInspector::default();
    for body in ["a", "bc"] {
        inspector.on_request_bytes();
        let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert_eq!(inspector.push(bytes.as_bytes()), Ok(()));
        assert!(inspector.is_complete());
    }
    assert_eq!(inspector.push(b"unasked"), Err(FramingError::BytesAfterEnd));
    assert_eq!(inspector.push(b"HTTP/1.1 200 OK\r\n"), Err(FramingError::BytesAfterEnd), "it stays refused");
}

#[test]
fn a_head_without_an_end_is_refused() {
    let mut inspector = ResponseInspector::default();
    inspector.expect(false);
    assert_eq!(inspector.push(b"HTTP/1.1 200 OK\r\n"), Ok(()));
    let field = format!("X: {}\r\n", "x".repeat(10_000));
    let result: Result<(), FramingError> = (0..100).try_for_each(|_| inspector.push(field.as_bytes()));
    assert_eq!(result, Err(FramingError::HeadTooLong));
}

#[test]
fn a_head_of_many_fields_is_accepted() {
    let fields = "a:b\r\n".repeat(5_000);
    let bytes = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n");
    assert_eq!(inspect(bytes.as_bytes(), &[]), Ok(()));
}

#[test]
fn the_cause_of_an_error_is_found_among_its_sources() {
    let error = io::Error::from(FramingError::Field);
    assert_eq!(FramingError::cause_of(&error), Some(FramingError::Field));
    let wrapped = io::Error::other(io::Error::from(FramingError::Chunk));
    assert_eq!(FramingError::cause_of(&wrapped), Some(FramingError::Chunk));
    assert_eq!(FramingError::cause_of(&io::Error::other("else")), None);
}

#[test]
fn counts_are_kept_for_a_bounded_number_of_endpoints() {
    let mut counts = RefusalCounts::default();
    for number in 0..1_000 {
        counts.record(&format!("i-{number}"), "field");
    }
    counts.record("i-0", "field");
    counts.record("i-0", "chunk");
    assert!(counts.iter().count() < 100);
    assert!(counts.iter().any(|count| count == ("i-0", "field", 2)));
    assert!(counts.iter().any(|count| count == ("i-0", "chunk", 1)));
    assert_eq!(counts.iter().map(|(.., count)| count).sum::<u64>(), 1_002);
}

proptest! {
    #[test]
    fn the_verdict_does_not_depend_on_the_segments(
        number in 0..BROKEN.len() + IN_ORDER.len(),
        offsets in vec(0_usize..300, 0..8),
    ) {
        let bytes = match number.checked_sub(BROKEN.len()) {
            None => BROKEN[number].with_fields(FIELDS),
            Some(number) => IN_ORDER[number].with_fields(FIELDS),
        };
        prop_assert_eq!(inspect(bytes.as_bytes(), &offsets), inspect(bytes.as_bytes(), &[]));
    }

    #[test]
    fn any_bytes_are_survived(bytes in vec(any::<u8>(), 0..200), offsets in vec(0_usize..300, 0..8)) {
        let _ = inspect(&bytes, &offsets);
    }

    #[test]
    fn a_chunked_body_ends_at_its_end(
        chunks in vec("[a-z\r\n]{1,20}", 0..5),
        rest in "[a-z0-9\r\n]{0,10}",
        offset in 0_usize..200,
    ) {
        let body: String = chunks.iter().map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len())).collect();
        let body = body + "0\r\n\r\n";
        let all = (body.clone() + &rest).into_bytes();
        let (first, second) = all.split_at(offset % (all.len() + 1));
        let mut scanner = ChunkScanner::default();
        let taken = scanner.scan(first).unwrap() + scanner.scan(second).unwrap();
        prop_assert_eq!((taken, scanner.is_over()), (body.len(), true));
    }
}
