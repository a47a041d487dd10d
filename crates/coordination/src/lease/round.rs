//! Rounds of requests to the grantors.

use super::group::GrantorGroup;
use super::message::LeaseReply;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest number of open rounds: replies to older rounds arrive too late to extend the lease.
const MAX_OPEN_ROUNDS: usize = 4;

/// One round of requests to all grantors.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Round {
    pub number: u64,
    /// Reading of the candidate's clock before the requests were sent.
    pub sent: Duration,
    granted: Vec<SocketAddr>,
    refused: Vec<SocketAddr>,
    waits: Vec<Duration>,
}

impl Round {
    /// Whether a majority of every group has granted.
    pub(super) fn has_majority(&self, group: &GrantorGroup) -> bool {
        group.is_majority(&self.granted)
    }

    /// Whether so many have refused that no majority is possible.
    pub(super) fn is_refused(&self, group: &GrantorGroup) -> bool {
        group.is_majority_refused(&self.refused)
    }

    /// The shortest wait that a refusing grantor reported.
    pub(super) fn shortest_wait(&self) -> Duration {
        self.waits.iter().min().copied().unwrap_or_default()
    }

    fn record_reply(&mut self, from: SocketAddr, reply: &LeaseReply) {
        if self.granted.contains(&from) || self.refused.contains(&from) {
            return;
        }
        if reply.granted {
            self.granted.push(from);
        } else {
            self.refused.push(from);
            self.waits.push(Duration::from_millis(reply.wait_ms.into()));
        }
    }
}

/// The open rounds of one candidate, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Rounds {
    newest: u64,
    open: Vec<Round>,
}

impl Rounds {
    /// Number of the newest round; 0 before the first.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// Opens a round whose requests are sent `now`, and returns its number.
    pub(super) fn begin(&mut self, now: Duration) -> u64 {
        self.newest += 1;
        if self.open.len() == MAX_OPEN_ROUNDS {
            self.open.remove(0);
        }
        let round = Round {
            number: self.newest,
            sent: now,
            granted: Vec::new(),
            refused: Vec::new(),
            waits: Vec::new(),
        };
        self.open.push(round);
        self.newest
    }

    /// Records a reply and returns its round, if that is still open.
    pub(super) fn record_reply(&mut self, from: SocketAddr, reply: &LeaseReply) -> Option<&Round> {
        let round = self.open.iter_mut().find(|round| round.number == reply.round)?;
        round.record_reply(from, reply);
        Some(round)
    }

    /// Closes all rounds.
    pub(super) fn close_all(&mut self) {
        self.open.clear();
    }
}
