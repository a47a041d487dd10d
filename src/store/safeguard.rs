//! The rules that make the store safe, by name. Tests disable them one by one and must fail each time.

/// One rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// A record's checksums depend on the segment it was written to.
    Identity,
    /// A segment gets its final name once its first batch is on disk.
    NamedWhole,
    /// After a failed sync, all pending records are written to another file.
    FreshAfterFailedSync,
    /// Sequence numbers that a later segment repeats count in the later segment only.
    WrittenAnew,
    /// Where the last write was cut short, data behind the cut is ignored and is not reported as damage.
    CutShort,
    /// A start rewrites records that it has read and that may not have been synced.
    TailAnew,
    /// A segment counts as dropped only if the whole batch that dropped it is there.
    DroppedWhole,
    /// A segment is removed only once its live messages are stored elsewhere.
    DroppedLast,
}

#[cfg(not(test))]
pub(crate) const fn holds(_: Safeguard) -> bool {
    true
}

#[cfg(test)]
thread_local! {
    static AWAY: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

#[cfg(test)]
pub(crate) fn holds(safeguard: Safeguard) -> bool {
    AWAY.get() != Some(safeguard)
}

/// Runs `run` with one rule disabled.
#[cfg(test)]
pub(crate) fn without<T>(safeguard: Option<Safeguard>, run: impl FnOnce() -> T) -> T {
    AWAY.set(safeguard);
    let done = run();
    AWAY.set(None);
    done
}
