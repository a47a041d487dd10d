//! Change feed: a snapshot, then changes from an offset.
