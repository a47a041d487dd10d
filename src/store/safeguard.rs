//! The rules that make the store safe, by name. Tests disable them one by one and must fail each time.

/// One rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// A record's checksums depend on the segment it was written to.
    ChecksumWithIdentity,
    /// A segment gets its final name once its first batch is on disk.
    RenameAfterFirstSync,
    /// After a failed sync, all pending records are written to another file.
    NewFileAfterFailedSync,
    /// Sequence numbers that a later segment repeats count in the later segment only.
    LaterSegmentWins,
    /// Where the last write was cut short, data behind the cut is ignored and is not reported as damage.
    IgnoreBehindCut,
    /// A start rewrites records that it has read and that may not have been synced.
    RewriteUnsyncedTail,
    /// A segment counts as dropped only if the whole batch that dropped it is there.
    DropWithWholeBatch,
    /// A segment is removed only once its live messages are stored elsewhere.
    RemoveAfterCommit,
}

#[cfg(not(test))]
pub(crate) const fn is_enabled(_: Safeguard) -> bool {
    true
}

#[cfg(test)]
thread_local! {
    static DISABLED: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

#[cfg(test)]
pub(crate) fn is_enabled(safeguard: Safeguard) -> bool {
    DISABLED.get() != Some(safeguard)
}

/// Runs `run` with one rule disabled.
#[cfg(test)]
pub(crate) fn with_disabled<T>(safeguard: Option<Safeguard>, run: impl FnOnce() -> T) -> T {
    DISABLED.set(safeguard);
    let done = run();
    DISABLED.set(None);
    done
}
