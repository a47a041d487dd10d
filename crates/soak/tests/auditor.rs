//! The auditor sees every doctored journal, and passes those in which nothing is wrong.

mod journals;

use journals::*;
use lanegate_placement::Operation;
use lanegate_soak::audit::Invariant;
use lanegate_soak::catalog::{RouteKind, Service};
use lanegate_soak::journal::{Answer, AttemptEnd, Decision, OrderFacts, Read, RunEnd, What};
use lanegate_soak::names::{AttemptId, InstanceId, Place};
use lanegate_soak::schedule::Trouble;
use std::time::Duration;

const CUT: AttemptEnd = AttemptEnd::Cut { events: 2 };
const OTHER: AttemptId = AttemptId(77);

#[test]
fn a_clean_journal_passes() {
    Doctored::clean().is_clean();
}

#[test]
fn an_answer_that_is_cut_is_lost() {
    Doctored::clean().ending(16.1, DRAFT, CUT).violates(Invariant::Lost);
}

#[test]
fn an_answer_that_is_cut_after_its_endpoint_saw_the_caller_leave_is_lost() {
    let journal = Doctored::clean().without(|what| matches!(what, What::RunEnded { .. }));
    let journal = journal.with(16.0, run_ended(DRAFT, ENGINE, RunEnd::CallerLeft));
    journal.ending(16.1, DRAFT, CUT).violates(Invariant::Lost);
}

#[test]
fn an_answer_that_is_cut_by_its_endpoint_is_not_lost() {
    let journal = Doctored::clean().without(|what| matches!(what, What::RunEnded { .. }));
    let journal = journal.with(16.0, run_ended(DRAFT, ENGINE, RunEnd::EndpointEnded));
    journal.ending(16.1, DRAFT, CUT).is_clean();
}

#[test]
fn an_answer_that_ends_at_its_deadline_is_not_lost_but_one_at_an_earlier_one_is() {
    let journal = Doctored::clean().without(|what| matches!(what, What::RunEnded { .. }));
    let at_its = journal.clone().with(24.9, run_ended(DRAFT, ENGINE, RunEnd::DeadlinePassed));
    at_its.ending(24.9, DRAFT, CUT).is_clean();
    let earlier = journal.with(16.0, run_ended(DRAFT, ENGINE, RunEnd::DeadlinePassed));
    earlier.ending(16.1, DRAFT, CUT).violates(Invariant::Lost);
}

#[test]
fn an_answer_that_is_cut_by_the_kill_of_its_router_is_not_lost() {
    let kill = Trouble::Kill { place: Place::Router(1), down: Duration::from_secs(1) };
    Doctored::clean().with_trouble(16.0, 17.0, kill).ending(16.1, DRAFT, CUT).is_clean();
    let other = Trouble::Kill { place: Place::Router(2), down: Duration::from_secs(1) };
    Doctored::clean().with_trouble(16.0, 17.0, other).ending(16.1, DRAFT, CUT).violates(Invariant::Lost);
}

fn terminate() -> Trouble {
    Trouble::Terminate { place: Place::Router(1), down: Duration::from_secs(1) }
}

#[test]
fn an_answer_that_is_cut_at_the_end_of_the_grace_is_lost_if_it_was_asked_for_after_sigterm() {
    let before = Doctored::clean().with_trouble(10.5, 18.5, terminate());
    before.ending(18.0, DRAFT, CUT).is_clean();
    let after = Doctored::clean().with_trouble(9.5, 17.5, terminate());
    after.ending(17.0, DRAFT, CUT).violates(Invariant::Lost);
}

#[test]
fn an_answer_that_a_slow_endpoint_kept_beyond_the_grace_is_not_lost() {
    let slow = Trouble::EndpointSlow { endpoint: ENGINE.endpoint, lasts: Duration::from_secs(2) };
    let journal = Doctored::clean().with_trouble(9.5, 17.5, terminate());
    journal.clone().with_trouble(12.0, 14.0, slow.clone()).ending(17.0, DRAFT, CUT).is_clean();
    journal.clone().with_trouble(5.0, 7.0, slow.clone()).ending(17.0, DRAFT, CUT).violates(Invariant::Lost);
    journal.with_trouble(12.0, 14.0, slow).ending(14.0, DRAFT, CUT).violates(Invariant::Lost);
}

#[test]
fn an_answer_that_is_cut_early_in_the_grace_is_lost() {
    Doctored::clean()
        .with_trouble(10.5, 18.5, terminate())
        .ending(14.0, DRAFT, CUT)
        .violates(Invariant::Lost);
}

#[test]
fn a_request_that_crossed_a_close_is_not_lost() {
    let journal = Doctored::clean().with(11.0, sent(OTHER, RouteKind::Booking, 0));
    journal.clone().with(11.1, What::Ended { attempt: OTHER, end: AttemptEnd::Cut { events: 0 } }).is_clean();
    let late = journal.with(12.0, What::Ended { attempt: OTHER, end: AttemptEnd::Cut { events: 0 } });
    late.violates(Invariant::Lost);
}

#[test]
fn a_request_without_an_end_at_its_deadline_is_overdue() {
    let overdue = AttemptEnd::Overdue { events: 0 };
    Doctored::clean().ending(27.0, DRAFT, overdue.clone()).violates(Invariant::Overdue);
    let freeze = Trouble::Freeze { place: Place::Router(1), lasts: Duration::from_secs(5) };
    Doctored::clean().with_trouble(20.0, 25.0, freeze).ending(27.0, DRAFT, overdue).is_clean();
}

#[test]
fn a_request_without_any_end_is_overdue() {
    let journal = Doctored::clean().without(|what| matches!(what, What::Ended { attempt: DRAFT, .. }));
    journal.violates(Invariant::Overdue);
}

#[test]
fn a_second_run_is_seen() {
    let second = || arrived(BOOKING, PRIMARY, Decision::Run);
    Doctored::clean().with(10.15, second()).violates(Invariant::RunTwice);
    Doctored::clean().with(10.15, arrived(LOOKUP, PRIMARY, Decision::Run)).is_clean();
    Doctored::clean().with(10.05, arrived(BOOKING, PRIMARY, Decision::TurnedAway(503))).is_clean();
}

#[test]
fn a_refusal_of_what_ran_is_seen() {
    for status in [408, 421, 429, 503] {
        let end = AttemptEnd::Answered(refusal(status));
        Doctored::clean().ending(10.3, BOOKING, end).violates(Invariant::RefusedAfterRun);
    }
    Doctored::clean().ending(10.3, BOOKING, AttemptEnd::Answered(refusal(502))).is_clean();
    Doctored::clean().ending(10.3, LOOKUP, AttemptEnd::Answered(refusal(503))).is_clean();
}

#[test]
fn wrong_answers_are_seen() {
    let sound = answer(BOOKING, PRIMARY);
    let unsigned = Answer { signature: None, ..sound.clone() };
    let foreign = Answer { attempt: Some(LOOKUP), ..sound.clone() };
    let unnamed = Answer { attempt: None, ..sound.clone() };
    let elsewhere = Answer { signature: Some(SECONDARY.to_string()), ..sound.clone() };
    let other_body = Answer { body_matches: false, ..sound.clone() };
    let signed_failure = Answer { status: 502, ..sound };
    for wrong in [unsigned, foreign, unnamed, elsewhere, other_body, signed_failure] {
        let journal = Doctored::clean().ending(10.3, BOOKING, AttemptEnd::Answered(wrong));
        journal.violates(Invariant::WrongAnswer);
    }
}

#[test]
fn streams_that_look_whole_and_are_not_are_seen() {
    for ids in [vec![1, 2, 3, 4], vec![1, 2, 2, 3, 4, 5], vec![1, 2, 4, 5], vec![1, 3, 2, 4, 5], Vec::new()] {
        let stream = Answer { event_ids: ids, ..answer(DRAFT, ENGINE) };
        Doctored::clean().ending(16.1, DRAFT, AttemptEnd::Answered(stream)).violates(Invariant::EventOrder);
    }
}

#[test]
fn an_older_configuration_after_an_acknowledgement_is_seen() {
    Doctored::clean().with(20.5, read(20.3, 2, 1)).violates(Invariant::StaleRead);
    Doctored::clean().with(20.5, read(20.1, 2, 1)).is_clean();
}

#[test]
fn a_configuration_that_does_not_come_in_the_end_is_seen() {
    let journal = Doctored::clean()
        .without(|what| matches!(what, What::Read(read) if read.sent > Duration::from_secs(50)));
    journal.violates(Invariant::StaleRead);
}

#[test]
fn two_contents_of_one_version_are_seen() {
    let what = read(22.0, 4, 2);
    let What::Read(sound) = what else { unreachable!() };
    let other = What::Read(Read { digest: 99, ..sound });
    Doctored::clean().with(22.1, other).violates(Invariant::ConfigurationConflict);
}

#[test]
fn a_configuration_that_nobody_sent_is_seen() {
    Doctored::clean().with(22.1, read(22.0, 9, 9)).violates(Invariant::ConfigurationConflict);
    Doctored::clean().with(22.1, read(22.0, 5, 2)).violates(Invariant::ConfigurationConflict);
}

#[test]
fn a_refused_change_in_force_is_seen() {
    let journal = Doctored::clean().with(21.0, What::ChangeSent(change(3, 4, 6, Service::Primary)));
    let journal = journal.with(21.1, What::ChangeRefused { change: 3, controller: 1, status: 412 });
    journal.is_clean();
    journal
        .without(|what| matches!(what, What::Read(read) if read.sent > Duration::from_secs(50)))
        .with(51.0, read(50.9, 6, 3))
        .violates(Invariant::ConfigurationConflict);
}

#[test]
fn two_acknowledged_changes_on_one_base_are_seen() {
    let journal = Doctored::clean().with(20.0, What::ChangeSent(change(3, 2, 3, Service::Primary)));
    journal
        .with(20.05, What::ChangeAcknowledged { change: 3, controller: 1 })
        .violates(Invariant::ConfigurationConflict);
}

#[test]
fn a_refusal_of_a_change_that_was_taken_is_seen() {
    let journal = Doctored::clean().with(21.0, What::ChangeSent(change(3, 4, 6, Service::Primary)));
    let journal = journal.with(21.1, What::AcknowledgementLost { change: 3, controller: 1 });
    journal
        .with(21.2, What::ChangeRefused { change: 3, controller: 2, status: 412 })
        .violates(Invariant::RefusedAfterTaken);
}

#[test]
fn a_change_that_is_never_answered_is_seen() {
    let journal = Doctored::clean().with(21.0, What::ChangeSent(change(3, 4, 6, Service::Primary)));
    journal.clone().violates(Invariant::Unanswered);
    let blackout = Trouble::Blackout { down: Duration::from_secs(1) };
    journal.with_trouble(32.0, 33.0, blackout).is_clean();
}

fn moved() -> Doctored {
    let journal = Doctored::clean().with(21.0, What::ChangeSent(change(3, 4, 6, Service::Secondary)));
    let journal = journal.with(21.1, What::ChangeAcknowledged { change: 3, controller: 1 });
    let journal =
        journal.without(|what| matches!(what, What::Read(read) if read.sent > Duration::from_secs(50)));
    journal.with(51.0, read(50.9, 6, 3))
}

fn looked_up(journal: Doctored, at: f64, instance: InstanceId) -> Doctored {
    journal
        .with(at, sent(OTHER, RouteKind::Lookup, 0))
        .with(at + 0.1, arrived(OTHER, instance, Decision::Run))
        .with(at + 0.2, answered(OTHER, answer(OTHER, instance)))
}

#[test]
fn a_route_of_an_older_configuration_is_seen() {
    looked_up(moved(), 22.0, PRIMARY).is_clean();
    looked_up(moved(), 26.0, SECONDARY).is_clean();
    looked_up(moved(), 26.0, PRIMARY).violates(Invariant::StaleRoute);
    let cut = Trouble::Cut { from: Place::Agent(1), controller: 1, lasts: Duration::from_secs(4) };
    looked_up(moved().with_trouble(20.0, 24.0, cut), 26.0, PRIMARY).is_clean();
}

#[test]
fn loads_beyond_the_room_are_seen() {
    let weights = ordered(order(Operation::Load, "amber", "two", 8));
    Doctored::clean().with(20.0, weights).is_clean();
    let weights = ordered(order(Operation::Load, "delta", "two", 8));
    Doctored::clean().with(20.0, weights).violates(Invariant::BeyondRoom);
}

#[test]
fn a_load_before_the_eviction_is_done_is_seen() {
    let journal = Doctored::clean().without(|what| matches!(what, What::OrderDone { .. }));
    let done = What::OrderDone { instance: ENGINE, order: order(Operation::Evict, "birch", "one", 7) };
    journal.with(13.5, done).violates(Invariant::BeyondRoom);
}

#[test]
fn too_many_adapters_are_seen() {
    let adapter = |model: &str, adapter: &str| OrderFacts {
        adapter: Some(adapter.to_owned()),
        ..order(Operation::Load, model, "two", 8)
    };
    let full = Doctored::clean()
        .without(|what| matches!(what, What::OrderArrived { order, .. } if order.model == "fjord"))
        .with(18.5, ordered(adapter("amber", "a1")))
        .with(19.0, ordered(adapter("amber", "a2")))
        .with(19.5, ordered(adapter("amber", "a3")));
    full.is_clean();
    full.with(20.0, ordered(adapter("cedar", "a1"))).violates(Invariant::BeyondRoom);
}

#[test]
fn two_holders_are_seen() {
    let touch = |owner, token| ordered(order(Operation::Load, "amber", owner, token));
    Doctored::clean().with(25.0, touch("two", 8)).is_clean();
    Doctored::clean().with(25.0, touch("one", 8)).violates(Invariant::TwoHolders);
    Doctored::clean().with(25.0, touch("one", 7)).violates(Invariant::TwoHolders);
    Doctored::clean().with(25.0, touch("one", 9)).is_clean();
    Doctored::clean().with(20.0, touch("one", 9)).violates(Invariant::TwoHolders);
    let freeze = Trouble::Freeze { place: Place::Controller(1), lasts: Duration::from_secs(5) };
    Doctored::clean().with_trouble(19.0, 24.9, freeze).with(25.0, touch("one", 7)).is_clean();
}

fn left(journal: Doctored) -> Doctored {
    journal.with(5.0, What::LeavingAcknowledged { instance: PRIMARY, controller: 1 })
}

#[test]
fn requests_long_after_the_leaving_was_acknowledged_are_seen() {
    left(Doctored::clean()).violates(Invariant::AfterLeaving);
    let in_time = Doctored::clean();
    in_time.with(8.0, What::LeavingAcknowledged { instance: PRIMARY, controller: 1 }).is_clean();
    let isolated = Trouble::Isolate { controller: 2, lasts: Duration::from_secs(1) };
    left(Doctored::clean().with_trouble(4.0, 5.0, isolated)).is_clean();
}

#[test]
fn requests_that_are_not_served_in_the_end_are_seen() {
    let journal = Doctored::clean().without(|what| matches!(what, What::Concluded { .. }));
    (0..6)
        .fold(journal, |journal, request| journal.with(45.5, concluded(request, request < 4)))
        .violates(Invariant::Recovery);
}

#[test]
fn a_router_that_stays_out_is_seen() {
    let journal = Doctored::clean().with(40.0, What::EntryChanged { router: 1, open: false });
    journal.clone().violates(Invariant::Recovery);
    journal.with(45.0, What::EntryChanged { router: 1, open: true }).is_clean();
}

fn ended(expected: bool, status: &str) -> What {
    What::ProcessEnded { place: Place::Agent(1), expected, status: status.to_owned() }
}

#[test]
fn ends_of_processes_are_seen() {
    Doctored::clean().with(25.0, ended(true, "exit status: 0")).is_clean();
    Doctored::clean().with(25.0, ended(false, "exit status: 0")).violates(Invariant::ProcessEnd);
    Doctored::clean().with(25.0, ended(true, "signal: 9 (SIGKILL)")).violates(Invariant::ProcessEnd);
    let kill = Trouble::Kill { place: Place::Agent(1), down: Duration::from_secs(1) };
    let killed = Doctored::clean().with_trouble(24.9, 26.0, kill);
    killed.with(25.0, ended(true, "signal: 9 (SIGKILL)")).is_clean();
}

#[test]
fn counted_violations_are_seen() {
    let counted = What::OwnCounters { place: Place::Router(1), violations: 1 };
    Doctored::clean().with(51.6, counted).violates(Invariant::OwnCounters);
}
