//! Cuts a stream of events at the ends of events, so that a run that breaks off inside one can be taken up
//! by another run.

use bytes::{Bytes, BytesMut};

/// Passes on whole events only and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The beginning of an event whose end has not come yet.
    partial: BytesMut,
    last_id: Option<Bytes>,
    /// Events up to this id were passed on by an earlier run and are dropped when they come again.
    already_forwarded: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes in and hands out the whole events, in order; empty while none is whole.
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

    /// The bytes after the last whole event, once the stream has come to its proper end.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The id of the last event that was handed out.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Forgets the event that the run broke off in; what comes next is of another run.
    pub fn begin_resumed_run(&mut self) {
        self.partial.clear();
        self.already_forwarded = self.last_id.as_deref().and_then(number);
    }

    /// Drops events of a new run that an earlier one has passed on.
    fn drop_duplicates(&mut self, events: Bytes) -> Bytes {
        let Some(passed) = self.already_forwarded else {
            return events;
        };
        let mut rest = events;
        let mut new = BytesMut::new();
        while !rest.is_empty() {
            let event = rest.split_to(first_event_end(&rest));
            match last_id(&event).as_deref().and_then(number) {
                Some(id) if id <= passed => {}
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

/// Length of the events that are whole: up to the last empty line.
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

/// Length of the first event, or of all bytes where it is not whole.
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
