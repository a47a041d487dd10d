//! Answers to the courier that do not say without doubt where they end, or are no answers: from endpoints, from
//! discovery and from the platform.

#[allow(unreachable_pub, reason = "the file is shared with the tests of other crates")]
#[path = "../crates/http-framing/tests/common/answers.rs"]
mod answers;
mod rig;

use answers::{BROKEN, BrokenAnswer, IN_ORDER};
use rig::*;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Statuses of an endpoint that each say that a message did not run, or is over.
const REFUSALS: [&str; 4] = ["503", "429", "410", "504"];
/// How long a test waits for an end that a message may not get.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Couriers that run at a time.
const COURIERS: usize = 12;

/// The answer with another status and the fields of a refusal.
fn refusal(answer: &BrokenAnswer, status: &str) -> &'static str {
    let text = answer.with_fields("Wait-Ms: 50\r\nSlots-Taken: 1\r\n");
    text.replacen(" 200 ", &format!(" {status} "), 1).leak()
}

/// Runs `check` for each item, several at a time, and returns what it found.
fn check_all<T: Sync>(items: &[T], check: impl Fn(&T) -> Option<String> + Sync) -> Vec<String> {
    let mut found = Vec::new();
    for part in items.chunks(COURIERS) {
        thread::scope(|scope| {
            let running: Vec<_> = part.iter().map(|item| scope.spawn(|| check(item))).collect();
            found.extend(running.into_iter().filter_map(|check| check.join().expect("no panic")));
        });
    }
    found
}

#[test]
fn a_broken_refusal_may_have_run() {
    let cases: Vec<(usize, &BrokenAnswer)> = BROKEN.iter().enumerate().collect();
    let found = check_all(&cases, |(number, answer)| {
        let text = refusal(answer, REFUSALS[number % REFUSALS.len()]);
        let (folder, endpoint, discovery) =
            one_endpoint(move |call| Reply::Answer(if call == 0 { text } else { OK }));
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 3_000);
        let has_end = || !discovery.results("pay").is_empty() || endpoint.calls().len() > 1;
        holds_within(OBSERVATION_TIME, has_end);
        courier.submit_accepted("next", "status", 7, 20_000);
        wait_until("the next call", || endpoint.ids().iter().any(|id| id == "next"));
        let (ids, results) = (endpoint.ids(), discovery.results("pay"));
        let reused = endpoint.calls().iter().any(|call| call.id == "next" && call.connection == 0);
        let is_right = ids == ["pay", "next"] && results == ["dead"] && !reused;
        let is_named = courier.has_logged(answer.reason);
        (!is_right || !is_named).then(|| {
            format!(
                "{text:?}: calls {ids:?}, notices {results:?}, connection reused {reused}, logged {is_named}"
            )
        })
    });
    assert!(found.is_empty(), "{} faults:\n{}", found.len(), found.join("\n"));
}

#[test]
fn a_refusal_in_order_has_not_run() {
    let cases: Vec<_> = IN_ORDER.iter().filter(|answer| !answer.until_close).collect();
    let found = check_all(&cases, |answer| {
        let text = answer.with_fields("Wait-Ms: 50\r\n").replacen(" 200 ", " 429 ", 1);
        let text: &'static str = text.leak();
        let (folder, endpoint, discovery) =
            one_endpoint(move |call| Reply::Answer(if call == 0 { text } else { OK }));
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 20_000);
        wait_until("an end", || !discovery.results("pay").is_empty() || endpoint.calls().len() > 1);
        let (ids, results) = (endpoint.ids(), discovery.results("pay"));
        (ids != ["pay", "pay"]).then(|| format!("{text:?}: calls {ids:?}, notices {results:?}"))
    });
    assert!(found.is_empty(), "{} faults:\n{}", found.len(), found.join("\n"));
}

/// A list that names another endpoint for the same destination, in an answer whose body is in doubt.
#[test]
fn a_list_in_a_broken_answer_is_not_used() {
    let found = check_all(BROKEN, |answer| {
        let (folder, right, discovery) = one_endpoint(|_| Reply::Answer(OK));
        let wrong = Endpoint::new(|_| Reply::Answer(OK));
        let right_host = host("s-1", &right, 7, "ready");
        let known = list(1, true, vec![right_host.clone()]);
        let line = format!("{}\n", list(9, true, vec![host("s-2", &wrong, 7, "ready")]));
        let text = with_body(answer, &line);
        discovery.raw_watches.lock().expect("raw watches").push_back(text.clone());
        *discovery.lines.lock().expect("lines") = vec![list(10, true, vec![right_host])];
        let courier = Courier::with(&folder, &discovery, &config(&discovery, known));
        wait_until("a watch in order", || discovery.watches.load(Ordering::SeqCst) > 1);
        let is_named = courier.has_logged(answer.reason);
        // The next watch goes on from the version of the last list that was used.
        let is_used = discovery.asked.lock().expect("asked")[1].contains("index=9");
        (is_used || !is_named).then(|| format!("{text:?}: used {is_used}, logged {is_named}"))
    });
    assert!(found.is_empty(), "{} faults:\n{}", found.len(), found.join("\n"));
}

/// The answer with `line` as its body, and its lengths changed alike.
fn with_body(answer: &BrokenAnswer, line: &str) -> String {
    let text = answer.with_fields("").replace("abcdef", line);
    let lengths = [
        ("Content-Length: 6", format!("Content-Length: {}", line.len())),
        ("\r\n6\r\n", format!("\r\n{:x}\r\n", line.len())),
        ("\r\n6;", format!("\r\n{:x};", line.len())),
        ("Content-Length: 5\r", format!("Content-Length: {}\r", line.len() - 1)),
    ];
    lengths.iter().fold(text, |text, (before, after)| text.replace(before, after))
}

#[test]
fn a_notice_with_a_broken_answer_is_sent_again() {
    let broken = [
        "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\nTransfer-Encoding: x\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 0\n\r\n",
        "HTTP/1.1 204 No Content\r\nno field\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno field\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nx",
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 9\r\n\r\nx",
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 0, 0\r\n\r\n",
        "HTTP/1.1 000 No Content\r\nContent-Length: 0\r\n\r\n",
    ];
    let found = check_all(&broken, |text| {
        let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Disconnect);
        discovery.raw_posts.lock().expect("raw posts").push_back((*text).to_owned());
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 20_000);
        wait_until("the first post", || discovery.posts.load(Ordering::SeqCst) >= 1);
        holds_within(OBSERVATION_TIME, || !discovery.results("pay").is_empty());
        (discovery.results("pay") != ["dead"]).then(|| format!("{text:?}: {:?}", discovery.results("pay")))
    });
    assert!(found.is_empty(), "{} faults:\n{}", found.len(), found.join("\n"));
}
