//! Bodies of answers of the control interface, compared byte for byte.

use crate::controller::event::Answer;
use crate::controller::operator::control_calls::change_answer;
use crate::controller::operator::unavailable::Unavailable;
use lanegate_config::control_state::Outcome;
use lanegate_config::findings::Findings;

fn text(answer: &Answer) -> String {
    String::from_utf8(answer.body.to_vec()).expect("answers are text")
}

#[test]
fn the_outcome_of_a_change_is_answered_as_it_was() {
    let findings = || Findings::one("Backends[0].Name", "is missing");
    let cases = [
        (Outcome::Taken { version: 3 }, 200, r#"{"Version":3}"#),
        (Outcome::AlreadyTaken { current: 4 }, 200, r#"{"AlreadyTaken":true,"Version":4}"#),
        (Outcome::Conflict { current: 5 }, 412, r#"{"Error":"another version is current","Version":5}"#),
        (
            Outcome::Invalid(findings()),
            400,
            r#"{"Error":"the change is not valid","Findings":["Backends[0].Name: is missing"]}"#,
        ),
        (
            Outcome::Unclear(findings()),
            503,
            r#"{"Error":"no clear answer","Findings":["Backends[0].Name: is missing"]}"#,
        ),
    ];
    for (outcome, status, body) in cases {
        let answer = change_answer(&outcome.encode());
        assert_eq!((answer.status, text(&answer).as_str()), (status, body));
    }
}

#[test]
fn every_reason_for_a_503_has_the_text_and_the_label_that_it_had() {
    let expected = [
        (r#"{"Error":"this controller is about to end"}"#, "leaving"),
        (r#"{"Error":"too many calls are under way"}"#, "too_many_changes"),
        (r#"{"Error":"no clear answer in time; send the same again"}"#, "change_not_settled"),
        (r#"{"Error":"no clear answer"}"#, "change_unclear"),
        (r#"{"Error":"no majority of the controllers can be reached"}"#, "no_majority"),
        (r#"{"Error":"too few controllers can be reached"}"#, "heartbeat_not_replicated"),
        (r#"{"Error":"no clear answer"}"#, "dropped"),
    ];
    for (reason, (body, label)) in Unavailable::ALL.into_iter().zip(expected) {
        let answer = Answer::unavailable(reason);
        assert_eq!((answer.status, text(&answer).as_str(), reason.name()), (503, body, label));
    }
}
