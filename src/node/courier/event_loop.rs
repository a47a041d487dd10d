//! The courier's event loop: waits for the next input or timer and handles it.

use super::{Courier, End};
use crate::node::handover::Successor;
use crate::node::input::Input;
use crate::node::journal::Scrubbed;
use crate::node::log::log_line;
use crate::node::register::Change;
use std::future::pending;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// If a turn is late by more than this, the process was stalled: other tasks first get `CATCH_UP` to read what
/// arrived meanwhile.
const STALL: Duration = Duration::from_millis(50);
const CATCH_UP: Duration = Duration::from_millis(2);
/// How long a successor waits for notices in flight.
const NOTICES_TIME: Duration = Duration::from_millis(300);
/// How often to check for completion: after SIGTERM, and for a handover.
const STOP_POLL: Duration = Duration::from_millis(20);
const HANDOVER_POLL: Duration = Duration::from_millis(2);

/// When the loop continues without input.
struct Timers {
    /// The scheduler's next turn.
    turn: Option<Instant>,
    commit: Option<Instant>,
    stop: Option<Instant>,
    handover: Option<Instant>,
    scrub: Option<Instant>,
}

impl Timers {
    /// Waits for the earliest timer, forever if there is none.
    async fn first(&self) {
        let timers = [self.turn, self.commit, self.stop, self.handover, self.scrub];
        match timers.into_iter().flatten().min() {
            Some(at) => sleep_until(at).await,
            None => pending().await,
        }
    }
}

/// Whether a timer has expired.
fn is_due(timer: Option<Instant>, now: Instant) -> bool {
    timer.is_some_and(|at| at <= now)
}

impl Courier {
    /// Runs until the courier has stopped or can be handed over.
    pub async fn run(&mut self, inbox: &mut Receiver<Input>, changes: &mut UnboundedReceiver<Change>) -> End {
        let mut last_turn: Option<Instant> = None;
        // Starts the watch although the scheduler has not asked for it: on sockets discovery sends no list unasked.
        self.watch();
        self.post();
        self.scrub = self.config.options.store.scrub().map(|every| Instant::now() + every);
        loop {
            let timers = self.timers(last_turn);
            tokio::select! {
                biased;
                Some(change) = changes.recv() => self.operated(change),
                done = self.journal.done() => {
                    self.committed(done);
                    self.commit_if_due();
                    self.post();
                }
                inputs = inbox.recv() => {
                    let Some(inputs) = inputs else { return End::Stopped };
                    self.handle_input(inputs);
                    self.handle_waiting_inputs(inbox);
                    self.commit_if_due();
                    self.post();
                }
                () = timers.first() => self.run_timers(&timers, inbox, &mut last_turn).await,
            }
            if self.stopped() {
                self.finish().await;
                return End::Stopped;
            }
            if let Some(successor) = self.ready_successor() {
                return End::HandoverReady(successor);
            }
        }
    }

    fn timers(&self, last_turn: Option<Instant>) -> Timers {
        let tick = self.config.settings.tick;
        let wake = self.wake.map(|(at, _)| at);
        let turn = if self.events.is_empty() { wake } else { Some(Instant::now()) };
        Timers {
            turn: turn.map(|at| last_turn.map_or(at, |last| at.max(last + tick))),
            commit: self.commit_due(),
            stop: self.stopping.map(|_| Instant::now() + STOP_POLL),
            handover: self.successor.as_ref().map(|_| Instant::now() + HANDOVER_POLL),
            scrub: self.scrub,
        }
    }

    /// Runs the expired timers.
    async fn run_timers(
        &mut self,
        timers: &Timers,
        inbox: &mut Receiver<Input>,
        last_turn: &mut Option<Instant>,
    ) {
        let now = Instant::now();
        if is_due(timers.commit, now) {
            self.commit_if_due();
            self.post();
        }
        if is_due(self.scrub, now) {
            self.scrub(now);
        }
        if is_due(timers.turn, now) {
            self.catch_up(now, inbox).await;
            *last_turn = Some(now);
            self.turn(now);
            self.post();
        }
    }

    /// After a stall there may be unread responses. They are processed first, so that no message is given up whose
    /// response has already arrived.
    async fn catch_up(&mut self, now: Instant, inbox: &mut Receiver<Input>) {
        if self.wake.is_none_or(|(at, _)| at + STALL >= now) {
            return;
        }
        sleep(CATCH_UP).await;
        // Let tasks that were woken at the same time run first.
        yield_now().await;
        self.handle_waiting_inputs(inbox);
    }

    /// The successor, once no submission or event is pending. Notices that are not acknowledged in time are sent again
    /// by the successor, which is harmless.
    fn ready_successor(&mut self) -> Option<Successor> {
        let (_, since) = self.successor.as_ref()?;
        let told = self.notices.is_empty() && self.posts == 0;
        let judged = self.submissions.is_empty()
            && self.events.is_empty()
            && self.intake_state.pending_submissions() == 0;
        let kept = self.pending_actions.is_empty() || self.pending_actions.failed();
        let due = judged && kept && (told || since.elapsed() > NOTICES_TIME);
        self.successor.take_if(|_| due).map(|(successor, _)| successor)
    }

    /// Scrubs the next segment of the journal on a blocking thread, as the disk may be slow.
    fn scrub(&mut self, now: Instant) {
        self.scrub = self.config.options.store.scrub().map(|every| now + every);
        if let Some(scrub) = self.journal.scrub() {
            let inputs = self.inputs.clone();
            tokio::task::spawn_local(async move {
                if let Ok(scrubbed) = tokio::task::spawn_blocking(|| scrub.run()).await {
                    let _ = inputs.send(Input::Scrubbed(scrubbed)).await;
                }
            });
        }
    }

    fn scrubbed(&mut self, scrubbed: &Scrubbed) {
        if let (true, Some(damage)) = (self.journal.scrubbed(scrubbed), &scrubbed.damage) {
            log_line!("journal: damaged: {damage}; its live messages are rewritten from memory");
        }
    }

    /// Handles all queued input.
    fn handle_waiting_inputs(&mut self, inbox: &mut Receiver<Input>) {
        while let Ok(inputs) = inbox.try_recv() {
            self.handle_input(inputs);
        }
    }

    fn handle_input(&mut self, inputs: Input) {
        match inputs {
            Input::Submitted(submission) => self.handle_submission(submission),
            Input::CallEnded { message, attempt, endpoint, end } => {
                self.call_ended(message, attempt, endpoint, end);
            }
            Input::Probed { endpoint, sent, end } => self.probed(endpoint, sent, end),
            Input::EndpointList(list) => {
                (self.listed, self.seq) = (true, Some(list.seq));
                log_line!("list {}: {}", list.seq, list);
                self.apply_list(list);
            }
            Input::NoticesAcknowledged(messages) => self.notices_acknowledged(messages),
            Input::DiscoveryMoved(discovery) => self.move_discovery(discovery),
            Input::Scrubbed(scrubbed) => self.scrubbed(&scrubbed),
            Input::Successor(successor) => {
                // One handover at a time: another successor will retry.
                if self.successor.is_none() {
                    self.intake_state.hold();
                    self.successor = Some((successor, Instant::now()));
                }
            }
            Input::Stop => {
                self.intake_state.stop();
                self.stopping.get_or_insert(Instant::now());
            }
        }
    }
}
