//! What keeps the store's promises, by name. Tests take them away one by one and must notice.

/// One safeguard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// A record knows the segment that it was written to.
    Identity,
    /// A segment gets its name once its first batch is on disk.
    NamedWhole,
    /// After a sync that failed all that waits is written to another file.
    FreshAfterFailedSync,
    /// What stands in a later segment counts there alone.
    WrittenAnew,
    /// Where the last write was cut short, what is behind the cut does not count and is no damage.
    CutShort,
    /// A start writes anew what it has read and nobody may have synced.
    TailAnew,
    /// A segment counts as dropped only if all that was written with that is there.
    DroppedWhole,
    /// A segment is removed only once what lives of it is kept elsewhere.
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

/// Runs something without a safeguard.
#[cfg(test)]
pub(crate) fn without<T>(safeguard: Option<Safeguard>, run: impl FnOnce() -> T) -> T {
    AWAY.set(safeguard);
    let done = run();
    AWAY.set(None);
    done
}
