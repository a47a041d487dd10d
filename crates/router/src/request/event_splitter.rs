//! Splits a stream of server-sent events at event boundaries. Only complete events are forwarded, so that a stream that breaks
//! inside an event can be resumed by another attempt after the last complete one.

use bytes::{Bytes, BytesMut};

/// Buffers the bytes of a stream, releases complete events only and stores the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The beginning of an event whose end has not arrived.
    partial: BytesMut,
    last_id: Option<Bytes>,
    /// Events up to this id were forwarded by an earlier attempt and are dropped when they arrive again.
    already_forwarded: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are complete now, in order; empty if there is none.
    pub fn push(&mut self, mut data: Bytes) -> Bytes {
        let complete = if self.partial.is_empty() {
            let complete = data.split_to(events_end(&data));
            self.partial.extend_from_slice(&data);
            complete
        } else {
            self.partial.extend_from_slice(&data);
            let end = events_end(&self.partial);
            self.partial.split_to(end).freeze()
        };
        let new = self.drop_duplicates(complete);
        if let Some(id) = last_id(&new) {
            self.last_id = Some(id);
        }
        new
    }

    /// Returns the buffered bytes after the last complete event. To be called when the stream has ended regularly.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether an event has begun and has not ended.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The id of the last event that was released.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Discards the incomplete event, because the next bytes come from another attempt, which resumes after the last complete
    /// event.
    pub fn begin_resumed_stream(&mut self) {
        self.partial.clear();
        self.already_forwarded = self.last_id.as_deref().and_then(number);
    }

    /// Removes the events of a resumed stream that were forwarded before the break. An endpoint may repeat some of them.
    fn drop_duplicates(&mut self, events: Bytes) -> Bytes {
        let Some(last_forwarded) = self.already_forwarded else {
            return events;
        };
        let mut rest = events;
        let mut new = BytesMut::new();
        while !rest.is_empty() {
            let event = rest.split_to(first_event_end(&rest));
            match last_id(&event).as_deref().and_then(number) {
                Some(id) if id <= last_forwarded => {}
                Some(_) => {
                    self.already_forwarded = None;
                    new.extend_from_slice(&event);
                    new.extend_from_slice(&rest);
                    break;
                }
                None => new.extend_from_slice(&event),
            }
        }
        new.freeze()
    }
}

/// Length of the complete events at the beginning of `bytes`, which is the end of the last empty line.
fn events_end(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while let Some(feed) = bytes[..end].iter().rposition(|&byte| byte == b'\n') {
        if ends_empty_line(bytes, feed) {
            return feed + 1;
        }
        end = feed;
    }
    0
}

/// Length of the first event, or of all bytes if it is not complete.
fn first_event_end(bytes: &[u8]) -> usize {
    let mut feeds = bytes.iter().enumerate().filter(|&(_, &byte)| byte == b'\n');
    let end = feeds.find(|&(feed, _)| ends_empty_line(bytes, feed));
    end.map_or(bytes.len(), |(feed, _)| feed + 1)
}

/// Whether the line feed at `feed` ends an empty line.
fn ends_empty_line(bytes: &[u8], feed: usize) -> bool {
    matches!(bytes[..feed], [.., b'\n'] | [.., b'\n', b'\r'])
}

/// The value of the last `id` line.
fn last_id(events: &Bytes) -> Option<Bytes> {
    let mut lines = events.split(|&byte| byte == b'\n').rev();
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let value = value.strip_suffix(b"\r").unwrap_or(value);
    let value = value.strip_prefix(b" ").unwrap_or(value);
    Some(events.slice_ref(value))
}

fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}
