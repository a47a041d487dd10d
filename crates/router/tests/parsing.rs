//! The event splitter and the parsers of headers, on arbitrary input.

use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use lanegate_router::headers;
use lanegate_router::request::event_splitter::EventSplitter;
use proptest::collection::vec;
use proptest::prelude::*;
use std::time::Duration;

/// Splits `text` at the given offsets, taken modulo its length.
fn segments(text: &str, places: &[usize]) -> Vec<Bytes> {
    let mut ends: Vec<usize> = places.iter().map(|place| place % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    let mut begin = 0;
    let mut pieces = Vec::new();
    for end in ends {
        pieces.push(Bytes::copy_from_slice(&text.as_bytes()[begin..end]));
        begin = end;
    }
    pieces
}

fn event(id: u64, data: &str, feed: &str) -> String {
    format!("id: {id}{feed}data: {data}{feed}{feed}")
}

fn is_complete(text: &str) -> bool {
    text.is_empty() || text.ends_with("\n\n") || text.ends_with("\n\r\n")
}

proptest! {
    #[test]
    fn events_are_released_complete_and_in_order_for_any_segmentation(
        data in vec("[a-z :]{0,12}", 1..12),
        places in vec(0_usize..400, 0..20),
        carriage in any::<bool>(),
    ) {
        let feed = if carriage { "\r\n" } else { "\n" };
        let text: String =
            data.iter().enumerate().map(|(id, data)| event(id as u64, data, feed)).collect();
        let mut splitter = EventSplitter::default();
        let mut passed = String::new();
        for piece in segments(&text, &places) {
            let whole = splitter.push(piece);
            prop_assert!(is_complete(std::str::from_utf8(&whole).unwrap()));
            passed.push_str(std::str::from_utf8(&whole).unwrap());
        }
        prop_assert_eq!(&passed, &text);
        prop_assert!(splitter.finish().is_empty());
        let last = (data.len() - 1).to_string();
        prop_assert_eq!(splitter.last_id().map(|id| &id[..]), Some(last.as_bytes()));
    }

    #[test]
    fn a_stream_that_breaks_anywhere_and_is_resumed_is_the_same_stream(
        events in 1_u64..12,
        break_at in 0_usize..400,
        repeated in 0_u64..4,
        places in vec(0_usize..400, 0..20),
    ) {
        let whole: String = (1..=events).map(|id| event(id, "x", "\n")).collect();
        let break_at = break_at % (whole.len() + 1);
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for piece in segments(&whole[..break_at], &places) {
            passed.extend_from_slice(&splitter.push(piece));
        }
        let last: u64 = splitter.last_id().map_or(0, |id| std::str::from_utf8(id).unwrap().parse().unwrap());
        splitter.begin_resumed_stream();
        let from = (last + 1).saturating_sub(repeated).max(1);
        let second: String = (from..=events).map(|id| event(id, "x", "\n")).collect();
        for piece in segments(&second, &places) {
            passed.extend_from_slice(&splitter.push(piece));
        }
        prop_assert_eq!(String::from_utf8(passed).unwrap(), whole);
    }

    #[test]
    fn the_splitter_neither_loses_nor_adds_bytes(pieces in vec("[a-c\r\n:id ]{0,10}", 0..12)) {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for piece in &pieces {
            passed.extend_from_slice(&splitter.push(Bytes::copy_from_slice(piece.as_bytes())));
        }
        passed.extend_from_slice(&splitter.finish());
        prop_assert_eq!(String::from_utf8(passed).unwrap(), pieces.concat());
    }

    #[test]
    fn any_header_values_are_accepted(bytes in vec(32_u8..=255, 0..40)) {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return Ok(());
        };
        let mut map = HeaderMap::new();
        let names = ["model", "token-usage", "prompt-prefix", "deadline-ms", "instance-load", "keep-alive"];
        for name in names {
            map.insert(HeaderName::from_static(name), value.clone());
        }
        map.insert(CONNECTION, value);
        headers::generation(&map);
        headers::client_deadline(&map);
        headers::instance_load(&map);
        headers::keep_alive(&map);
        headers::remove_hop_by_hop(&mut map);
    }

    #[test]
    fn a_generation_is_read_as_it_is_written(
        model in "[a-z0-9]{1,12}",
        adapter in proptest::option::of("[a-z0-9]{1,5}"),
        input in any::<u32>(),
        output in any::<u32>(),
        parts in vec((any::<u64>(), any::<u32>()), 0..5),
    ) {
        let named = match &adapter {
            Some(adapter) => format!("{model}/{adapter}"),
            None => model.clone(),
        };
        let prefix: Vec<String> = parts.iter().map(|(id, tokens)| format!("{id:x}:{tokens}")).collect();
        let map = map([
            ("model", named.as_str()),
            ("token-usage", &format!("{input},{output}")),
            ("prompt-prefix", &prefix.join(",")),
        ]);
        let generation = headers::generation(&map).unwrap();
        prop_assert_eq!(&*generation.model, model.as_str());
        prop_assert_eq!(generation.adapter.as_deref(), adapter.as_deref());
        prop_assert_eq!((generation.prompt_tokens, generation.output_tokens), (input, output));
        let read: Vec<(u64, u32)> = generation.prefix.iter().map(|part| (part.id, part.tokens)).collect();
        prop_assert_eq!(read, parts);
    }
}

fn map<const N: usize>(entries: [(&'static str, &str); N]) -> HeaderMap {
    let entries = entries.into_iter();
    entries.map(|(name, value)| (HeaderName::from_static(name), value.parse().unwrap())).collect()
}

#[test]
fn missing_and_invalid_numbers_are_tolerated() {
    assert_eq!(headers::generation(&map([])), None);
    let generation =
        headers::generation(&map([("model", "m/"), ("token-usage", "many"), ("prompt-prefix", "-")]));
    let generation = generation.unwrap();
    assert_eq!((&*generation.model, generation.adapter, generation.prompt_tokens), ("m", None, 0));
    assert!(generation.prefix.is_empty());
    assert_eq!(headers::client_deadline(&map([("deadline-ms", "soon")])), None);
    assert_eq!(headers::client_deadline(&map([("deadline-ms", "-4")])), None);
    assert_eq!(headers::client_deadline(&map([("deadline-ms", "1500")])), Some(Duration::from_millis(1_500)));
    assert_eq!(
        headers::keep_alive(&map([("keep-alive", "timeout=5, max=100")])),
        Some(Duration::from_secs(5))
    );
    assert_eq!(headers::keep_alive(&map([("keep-alive", "7")])), Some(Duration::from_secs(7)));
    assert_eq!(headers::keep_alive(&map([("keep-alive", "max=1")])), None);
}
