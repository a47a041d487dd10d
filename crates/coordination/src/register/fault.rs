//! Defects of a replica that tests switch on, to show that they would be detected.

/// Defects that can be switched on. The random schedules or the tests on catching up must detect each of them.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Votes are sent before the record is durable.
    ReplyBeforePersist,
    /// A replica with an empty disk does not recover: it votes at once, starting from the initial value.
    VoteAfterWipe,
    /// A wiped replica recovers from one other replica only.
    RecoverFromOne,
    /// Votes of earlier incarnations count.
    IgnoreIncarnations,
    /// Ballots repeat after a restart, and equal ballots are accepted again.
    ReuseBallot,
    /// During a membership change a majority of the new group is enough.
    NewGroupOnly,
    /// The newest accepted value found in phase one is ignored.
    IgnoreAccepted,
    /// A read is answered from the local committed value.
    ReadLocally,
    /// A read is answered with the newest accepted value, committed or not.
    ReadUncommitted,
    /// An acceptor accepts values below its promise.
    AcceptBelowPromise,
    /// A majority needs one vote fewer than it should.
    SmallMajority,
    /// The final value of a membership change that was accepted but not committed is left uncommitted.
    LeaveChangeUncommitted,
    /// A preempted command is proposed again even if it took effect.
    ProposeTwice,
    /// The recent changes in a value received from others (recovery, catch-up) are dropped.
    ForgetHistory,
    /// A value is also sent to a replica that has not answered the previous one.
    SendBeforeAnswer,
    /// A replica requests the value of every announced commit.
    RequestEveryCommit,
}
