//! The proposing part: rounds of prepare and accept for one batch after the other.

use std::collections::VecDeque;
use std::time::Duration;

use super::ballot::Ballot;
use super::batch::{Batch, Item, Try, Work, expired};
use super::core::{Core, Proposal, earlier};
use super::event::Outcome;
use super::node::{Floors, Node};
use super::quorum::{Votes, members};
use super::round::{Phase, Round, Then, announce};
use super::settings::Fault;
use super::value::{Carried, ChangeId, Value};

#[derive(Clone, Default, Hash)]
pub(super) struct Proposer {
    queue: VecDeque<Item>,
    pub(super) batch: Option<Batch>,
    pub(super) round: Option<Round>,
    /// The last decision was made under this ballot, and no higher one was seen.
    owned: Option<Ballot>,
    /// The highest ballot counter seen.
    counter: u64,
    /// Rounds lost to others since the last decision.
    failures: u32,
    resume_at: Option<Duration>,
    sequence: u64,
}

impl Proposer {
    pub(super) fn push(&mut self, item: Item) {
        self.queue.push_back(item);
    }

    /// Takes up the end of a change of members, unless that is waiting already.
    pub(super) fn complete(&mut self) {
        let waiting = self.queue.iter().any(|item| matches!(item.work, Work::Complete));
        if !waiting {
            self.queue.push_front(Item::own(Work::Complete));
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.batch.is_none()
    }

    /// A ballot was seen somewhere.
    pub(super) fn observe(&mut self, ballot: Ballot) {
        self.counter = self.counter.max(ballot.counter);
        if self.owned.is_some_and(|owned| ballot > owned && !ballot.same_owner(owned)) {
            self.owned = None;
        }
    }

    /// Whether a round could start, if the group is known.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        self.round.is_none() && !self.is_idle() && self.resume_at.is_none_or(|at| at <= now)
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        let queued = self.queue.iter().map(|item| item.deadline).min();
        let started = self.batch.iter().flat_map(|batch| batch.items.iter()).filter(|i| i.request.is_some());
        let deadline = earlier(queued, started.map(|item| item.deadline).min());
        let resend = self.round.as_ref().map(|round| round.resend_at);
        let resume = self.resume_at.filter(|_| !self.is_idle());
        earlier(earlier(deadline, resend), resume).filter(|at| *at != Duration::MAX)
    }

    /// A replica can be reached again: what it has not answered is sent again.
    pub(super) fn reach(&mut self, core: &mut Core, node: Node) {
        core.unanswered.remove(&node);
        if let Some(round) = self.round.as_mut().filter(|round| round.awaits(node)) {
            round.send_again(core, node);
        }
    }

    /// A replica has answered whatever was sent to it last.
    pub(super) fn answered(&mut self, core: &mut Core, node: Node) {
        core.unanswered.remove(&node);
        if let Some(round) = &mut self.round {
            round.release(core, node);
        }
    }

    /// Gives up what is late, sends again what was not answered.
    pub(super) fn on_tick(&mut self, core: &mut Core) {
        self.expire(core);
        let Some(round) = &mut self.round else {
            return;
        };
        if round.resend_at > core.now {
            return;
        }
        round.interval = core.longer(round.interval);
        round.resend_at = core.now + round.interval;
        let silent: Vec<Node> = round.asked.iter().copied().filter(|node| round.awaits(*node)).collect();
        for node in silent {
            round.send_again(core, node);
        }
    }

    fn expire(&mut self, core: &mut Core) {
        let now = core.now;
        if self.queue.iter().any(|item| item.deadline <= now) {
            let (late, waiting) =
                std::mem::take(&mut self.queue).into_iter().partition(|i| i.deadline <= now);
            self.queue = waiting;
            let late: VecDeque<Item> = late;
            for item in late {
                core.done(item.request, expired(&item.work, false));
            }
        }
        let accepting = matches!(&self.round, Some(Round { phase: Phase::Accept { .. }, .. }));
        if self.batch.as_mut().is_some_and(|batch| !batch.expire(core, accepting)) {
            self.batch = None;
            self.round = None;
            self.owned = None;
        }
    }

    /// Starts a round if there is work and none is under way.
    pub(super) fn start(&mut self, core: &mut Core, known: Option<Proposal>) {
        if !self.is_ready(core.now) {
            return;
        }
        self.resume_at = None;
        let Some(known) = known else {
            return;
        };
        if self.batch.is_none() {
            self.batch = self.next_batch(core.settings.batch_limit);
        }
        if self.batch.is_none() {
            return;
        }
        match self.owned.filter(|owned| *owned == known.ballot) {
            Some(owned) => self.resume(core, owned, known),
            None => self.prepare(core, known),
        }
    }

    fn next_batch(&mut self, limit: usize) -> Option<Batch> {
        let alone = |item: &Item| matches!(item.work, Work::Members { .. } | Work::Complete);
        let first = self.queue.pop_front()?;
        if alone(&first) {
            return Some(Batch::new(vec![first]));
        }
        let mut items = vec![first];
        while items.len() < limit && self.queue.front().is_some_and(|item| !alone(item)) {
            items.extend(self.queue.pop_front());
        }
        Some(Batch::new(items))
    }

    /// Goes on under a ballot that is still the highest: no prepare phase is needed.
    fn resume(&mut self, core: &mut Core, ballot: Ballot, base: Proposal) {
        self.round = Some(Round {
            ballot,
            phase: Phase::Prepare { known: base.clone() },
            votes: Votes::new(&core.settings),
            base,
            base_decided: true,
            confirmed: false,
            asked: Vec::new(),
            held: Vec::new(),
            resend_at: core.now,
            interval: core.settings.retry_interval,
        });
        self.propose(core);
    }

    fn prepare(&mut self, core: &mut Core, known: Proposal) {
        self.counter = self.counter.max(known.ballot.counter) + 1;
        let ballot = Ballot::first(self.counter, core.node(), core.ballot_nonce());
        let mut round = Round {
            ballot,
            phase: Phase::Prepare { known: known.clone() },
            votes: Votes::new(&core.settings),
            base: known,
            base_decided: false,
            confirmed: false,
            asked: Vec::new(),
            held: Vec::new(),
            resend_at: core.now + core.settings.retry_interval,
            interval: core.settings.retry_interval,
        };
        round.ask(core, &round.base.value.members());
        self.round = Some(round);
    }

    pub(super) fn on_promise(
        &mut self,
        core: &mut Core,
        from: Node,
        ballot: Ballot,
        voter: (u64, Floors),
        accepted: Ballot,
        value: Carried,
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        let Phase::Prepare { known } = &round.phase else {
            return;
        };
        let start = known.value.groups.clone();
        if let Some(value) = value.into_value().filter(|_| accepted > round.base.ballot)
            && !core.settings.has(Fault::IgnoreAccepted)
        {
            round.base = Proposal { ballot: accepted, value };
        }
        round.votes.insert(from, voter.0, voter.1, ());
        let groups = round.required(core, &start);
        round.ask(core, &members(&groups));
        if round.votes.satisfy(&groups, |()| true) {
            self.propose(core);
        }
    }

    pub(super) fn on_accepted(&mut self, core: &mut Core, from: Node, ballot: Ballot, voter: (u64, Floors)) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        let Phase::Accept { groups, .. } = &round.phase else {
            return;
        };
        round.votes.insert(from, voter.0, voter.1, ());
        if round.votes.satisfy(groups, |()| true) {
            self.decide(core);
        }
    }

    pub(super) fn on_refused(&mut self, core: &mut Core, ballot: Ballot, promised: Ballot) {
        self.observe(promised);
        let own = self.round.as_ref().is_some_and(|round| round.ballot == ballot);
        if own && !promised.same_owner(ballot) {
            self.retreat(core);
        }
    }

    /// A decided value was learned from elsewhere: a round that was built on older members starts again.
    pub(super) fn on_learned(&mut self, core: &mut Core, ballot: Ballot, value: &Value) {
        self.observe(ballot);
        let stale = self.round.as_ref().is_some_and(|round| {
            let overtaken = ballot > round.ballot && !ballot.same_owner(round.ballot);
            overtaken || (ballot > round.base.ballot && value.groups != round.base.value.groups)
        });
        if stale {
            self.retreat(core);
        }
    }

    /// Drops the round; the batch is tried again under a higher ballot after a while.
    fn retreat(&mut self, core: &mut Core) {
        self.round = None;
        self.owned = None;
        self.failures += 1;
        self.resume_at = Some(core.now + core.backoff(self.failures));
    }

    /// Proposes what the batch makes of the base.
    fn propose(&mut self, core: &mut Core) {
        let Some((mut round, batch)) = self.round.take().zip(self.batch.take()) else {
            return;
        };
        if let Some(index) = batch.tries.iter().position(|t| round.base.value.remembers(t.id)) {
            return self.conclude(core, round, batch, index);
        }
        if batch.tries.iter().any(|t| !round.base.value.remembers_since(t.base_revision)) {
            batch.give_up(core);
            return self.finish(core, &round);
        }
        let solitary = batch.items.first().map(|item| item.work.clone());
        match solitary {
            Some(Work::Members { remove, add, joined }) => {
                self.propose_members(core, round, batch, &remove, &add, joined);
            }
            Some(Work::Complete) => self.propose_completion(core, round, batch),
            _ => {
                let folded = batch.fold(core, &round.base.value);
                if folded.revisions > 0 {
                    self.propose_commands(core, &mut round, batch, folded);
                    self.round = Some(round);
                } else {
                    self.answer_unchanged(core, round, batch, folded.outcomes);
                }
            }
        }
    }

    /// An earlier try has taken effect; it is answered as soon as that is decided.
    fn conclude(&mut self, core: &mut Core, round: Round, mut batch: Batch, index: usize) {
        if !round.base_decided {
            return self.settle(core, round, batch);
        }
        let outcomes = batch.tries.swap_remove(index).outcomes;
        batch.answer(core, outcomes);
        self.finish(core, &round);
    }

    fn propose_commands(
        &mut self,
        core: &mut Core,
        round: &mut Round,
        mut batch: Batch,
        folded: super::batch::Folded,
    ) {
        let id = self.next_id(core);
        let base = &round.base.value;
        let value = base.changed(id, folded.revisions, base.groups.clone(), folded.state.into());
        if !core.settings.has(Fault::ProposeTwice) {
            let outcomes = folded.outcomes.clone();
            batch.tries.push(Try { id, base_revision: base.revision, outcomes });
        }
        self.batch = Some(batch);
        round.accept(core, value, Then::Answer(folded.outcomes));
    }

    /// Nothing changes: answered once a majority has confirmed the base in this round.
    fn answer_unchanged(&mut self, core: &mut Core, round: Round, batch: Batch, outcomes: Vec<Outcome>) {
        if !round.confirmed {
            return self.settle(core, round, batch);
        }
        batch.answer(core, outcomes);
        self.finish(core, &round);
    }

    /// Gets the base itself decided under the own ballot.
    pub(super) fn settle(&mut self, core: &mut Core, mut round: Round, batch: Batch) {
        self.batch = Some(batch);
        let value = round.base.value.clone();
        round.accept(core, value, Then::Again);
        self.round = Some(round);
    }

    /// The proposed value has its majorities.
    fn decide(&mut self, core: &mut Core) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        let Phase::Accept { value, groups, then } = round.phase else {
            return;
        };
        let ballot = round.ballot;
        core.learn(ballot, &value);
        announce(core, ballot, &members(&groups));
        self.failures = 0;
        round.base = Proposal { ballot, value };
        round.base_decided = true;
        round.confirmed = true;
        round.phase = Phase::Prepare { known: round.base.clone() };
        match then {
            Then::Answer(outcomes) => {
                if let Some(batch) = self.batch.take() {
                    batch.answer(core, outcomes);
                }
                return self.finish(core, &round);
            }
            Then::Joined => self.mark_joined(),
            Then::Again => {}
        }
        self.round = Some(round);
        self.propose(core);
    }

    /// The batch is answered. The ballot stays in use if the last value under it was decided.
    pub(super) fn finish(&mut self, core: &mut Core, round: &Round) {
        self.round = None;
        self.owned = round.base_decided.then_some(round.base.ballot).filter(|b| b.same_owner(round.ballot));
        if round.base.value.is_joint() && round.base_decided {
            self.complete();
        }
        let base = round.base_decided.then(|| round.base.clone());
        self.start(core, base);
    }

    pub(super) fn next_id(&mut self, core: &Core) -> ChangeId {
        self.sequence += 1;
        ChangeId { nonce: core.nonce, sequence: self.sequence }
    }
}
