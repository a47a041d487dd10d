//! How many header fields a head may have.
//!
//! Invariant: a head is refused for its size alone. The HTTP library has a limit on the number of fields as well, a hundred
//! unless it is set, so it is set to as many as fit into the limit on bytes: a proper head of 3 KB with 125 fields would
//! be answered 431 else. Only the room in the library's table of fields is a limit of its own, [`MAX_TABLE_FIELDS`].

/// The shortest header field: a name of one byte, a colon, no value, and the end of the line.
const SHORTEST_FIELD_BYTES: usize = "a:\r\n".len();

/// Largest number of fields for which the HTTP library's table has room.
const MAX_TABLE_FIELDS: usize = 24_576;

/// Largest head of an answer of which all fields are read, bytes.
pub(crate) const MAX_ANSWER_HEAD_BYTES: usize = 32 * 1024;

/// The largest number of fields that a head of up to `head_bytes` bytes can have; of a head without a limit, the number
/// for which there is room.
pub(crate) fn max_fields(head_bytes: Option<usize>) -> usize {
    let within = head_bytes.map_or(MAX_TABLE_FIELDS, |bytes| bytes / SHORTEST_FIELD_BYTES);
    within.clamp(1, MAX_TABLE_FIELDS)
}
