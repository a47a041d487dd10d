//! Runs the courier process against fakes on loopback sockets.

mod rig;
use rig::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

const FULL_WITH_WAIT: &str = "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

#[test]
fn a_message_is_delivered_with_its_id_key_and_body() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m1", "notice", 7, 20_000);
    wait_until("the call", || endpoint.calls().len() == 1);
    let call = endpoint.calls().remove(0);
    assert_eq!((call.id.as_str(), call.page.body.as_slice()), ("m1", b"bo\0dy".as_slice()));
    assert!(call.page.first.starts_with("POST /inbox "));
    assert_eq!(call.page.header("idempotency-key"), Some("key-m1"));
    assert!(call.page.header("x-timeout").is_some_and(|t| t.ends_with('m')));
    courier.submit_accepted("m2", "payment", 7, 20_000);
    wait_until("the second call", || endpoint.calls().len() == 2);
    assert_eq!(endpoint.calls()[1].connection, 0, "the connection is kept");
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

#[test]
fn accepted_messages_survive_sigkill_and_are_delivered_once() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let unused = Endpoint::new(|_| Reply::Hang);
    // Listed but draining: the messages are accepted and held.
    discovery.lines.lock().expect("lines")[0] = list(1, true, vec![host("s-0", &unused, 7, "draining")]);
    let courier = Courier::start(&folder, &discovery);
    for n in 0..5 {
        courier.submit_accepted(&format!("m{n}"), ["notice", "status", "payment"][n % 3], 7, 25_000);
    }
    courier.kill();
    discovery.push_line(list(2, false, vec![host("s-1", &endpoint, 7, "ready")]));
    let courier = Courier::start(&folder, &discovery);
    wait_until("all five", || endpoint.calls().len() == 5);
    // Time for the responses to be read and recorded.
    thread::sleep(1000 * MS);
    courier.kill();
    // Delivered messages are final: a restarted courier does not resend them.
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("last", "status", 7, 20_000);
    wait_until("the last", || endpoint.ids().contains(&"last".to_owned()));
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["last", "m0", "m1", "m2", "m3", "m4"]);
    assert!(unused.calls().is_empty());
}

#[test]
fn an_unsafe_message_in_flight_at_sigkill_ends_dead_and_is_not_resent() {
    let (folder, endpoint, discovery) = one_endpoint(|n| if n < 2 { Reply::Hang } else { Reply::Answer(OK) });
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 25_000);
    courier.submit_accepted("state", "status", 7, 25_000);
    wait_until("both calls", || endpoint.calls().len() == 2);
    courier.kill();
    let _courier = Courier::start(&folder, &discovery);
    wait_until("the notice", || discovery.results("pay") == ["dead"]);
    wait_until("the repeat of the other", || endpoint.calls().len() == 3);
    assert_eq!(endpoint.ids()[2], "state", "what is safe to repeat is sent again");
    assert!(discovery.results("state").is_empty());
}

#[test]
fn a_keyed_message_that_may_have_run_stays_in_its_zone_after_a_restart() {
    let (here, there) = (Endpoint::new(|_| Reply::Hang), Endpoint::new(|_| Reply::Answer(OK)));
    let mut far = host("s-2", &there, 7, "ready");
    far["site"] = json!("b");
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &here, 7, "ready")]));
    let folder = Folder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("key", "notice", 7, 8_000);
    wait_until("the call", || here.calls().len() == 1);
    courier.kill();
    // Now only the other zone is ready; its endpoints do not drop a repeat.
    discovery.lines.lock().expect("lines")[0] = list(2, true, vec![host("s-1", &here, 7, "draining"), far]);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("new", "notice", 7, 20_000);
    wait_until("a new one goes there", || there.ids() == ["new"]);
    wait_until("its end", || discovery.results("key") == ["dead"]);
    assert_eq!(there.ids(), ["new"]);
}

#[test]
fn a_wait_stated_by_the_endpoint_applies_to_every_message() {
    let (folder, endpoint, discovery) =
        one_endpoint(|n| Reply::Answer(if n == 0 { FULL_WITH_WAIT } else { OK }));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("first", "status", 7, 20_000);
    wait_until("the refusal", || endpoint.calls().len() == 1);
    for n in 0..3 {
        courier.submit_accepted(&format!("m{n}"), "payment", 7, 20_000);
    }
    wait_until("all", || endpoint.calls().len() == 5);
    let calls = endpoint.calls();
    let soonest = calls[1..].iter().map(|c| c.at).min().expect("calls");
    // From the wait's end on; what left within 100 ms of the answer was let through.
    let early = calls[1..].iter().filter(|c| c.at < calls[0].at + 690 * MS);
    assert_eq!(early.count(), 0, "sent {:?} after a wait of 700 ms", soonest - calls[0].at);
}

#[test]
fn nothing_new_goes_to_a_draining_endpoint_and_a_whole_list_replaces() {
    let (a, b) = (Endpoint::new(|_| Reply::Answer(OK)), Endpoint::new(|_| Reply::Answer(OK)));
    let discovery =
        Discovery::new(list(1, true, vec![host("s-a", &a, 7, "ready"), host("s-b", &b, 8, "ready")]));
    let folder = Folder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m1", "status", 7, 20_000);
    wait_until("the call", || a.calls().len() == 1);
    // It drains, and a new destination tells when the courier has heard of it.
    let c = Endpoint::new(|_| Reply::Answer(OK));
    discovery.push_line(list(2, false, vec![host("s-a", &a, 7, "draining"), host("s-c", &c, 9, "ready")]));
    let mut n = 0;
    wait_until("the news", || {
        n += 1;
        courier.submit(&format!("c{n}"), "status", 9, 20_000).status() == 202
    });
    courier.submit_accepted("m2", "status", 7, 1500);
    wait_until("the end of what cannot be sent", || discovery.results("m2") == ["bounced"]);
    // A whole list without s-b: it is gone. One with s-a ready again: it serves.
    discovery.push_line(list(3, true, vec![host("s-a", &a, 7, "ready"), host("s-c", &c, 9, "ready")]));
    courier.submit_accepted("m3", "status", 7, 20_000);
    wait_until("it serves again", || a.calls().len() == 2);
    courier.submit_accepted("m4", "status", 8, 1500);
    wait_until("nothing is left there", || discovery.results("m4") == ["bounced"]);
    assert!(b.calls().is_empty());
    assert_eq!(a.ids(), ["m1", "m3"]);
}

#[test]
fn a_call_whose_connection_comes_up_after_the_news_of_a_drain_is_not_begun() {
    let Unconnected { listener, endpoint: slow, discovery, config, queued: _queued } = Unconnected::new();
    let (folder, other) = (Folder::new(), Endpoint::new(|_| Reply::Answer(OK)));
    let courier = Courier::with(&folder, &discovery, &config);
    courier.submit_accepted("m", "payment", 7, 25_000);
    courier.wait_for_log("m attempt 0: to s-1");
    discovery.push_line(list(
        2,
        false,
        vec![host("s-1", &slow, 7, "draining"), host("s-2", &other, 7, "ready")],
    ));
    courier.wait_for_log("list 2");
    slow.serve(listener, |_, _| Reply::Answer(OK));
    wait_until("its connection", || slow.connections.load(Ordering::SeqCst) == 2);
    wait_until("the call elsewhere", || other.ids() == ["m"]);
    assert!(slow.calls().is_empty(), "begun at a draining endpoint");
}

#[test]
fn a_connection_that_the_endpoint_closed_is_not_used_again() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::AnswerAndClose(OK));
    let courier = Courier::start(&folder, &discovery);
    for n in 0..6 {
        courier.submit_accepted(&format!("pay{n}"), "payment", 7, 20_000);
        wait_until("the call", || endpoint.calls().len() == n + 1);
    }
    // On a stale connection an unsafe message would have ended dead, as it may have run.
    courier.submit_accepted("end", "status", 7, 20_000);
    wait_until("the end", || endpoint.calls().len() == 7);
    assert!(discovery.notices.lock().expect("notices").is_empty());
    let connections: Vec<_> = endpoint.calls().iter().map(|c| c.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_break_after_the_call_is_a_reset_and_an_error_may_have_run() {
    for act in [|| Reply::Disconnect, || Reply::Answer(ERROR)] {
        let (folder, endpoint, discovery) = one_endpoint(move |_| act());
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 20_000);
        wait_until("the notice", || discovery.results("pay") == ["dead"]);
        assert_eq!(endpoint.calls().len(), 1);
    }
}

#[test]
fn a_timed_out_call_has_its_connection_closed_and_goes_again() {
    let (folder, endpoint, discovery) =
        one_endpoint(|n| if n == 0 { Reply::Hang } else { Reply::Answer(OK) });
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m", "status", 7, 25_000);
    wait_until("the repeat", || endpoint.calls().len() == 2);
    let calls = endpoint.calls();
    assert_eq!((calls[0].connection, calls[1].connection), (0, 1));
}

#[test]
fn a_refused_connection_never_ran_so_an_unsafe_message_is_tried_again() {
    let closed =
        Endpoint { address: unused_address(), seen: Default::default(), connections: Default::default() };
    let discovery = Discovery::new(list(1, true, vec![host("s-0", &closed, 7, "ready")]));
    let folder = Folder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 25_000);
    let endpoint = Endpoint::new(|_| Reply::Answer(OK));
    thread::sleep(50 * MS);
    discovery.push_line(list(2, false, vec![host("s-1", &endpoint, 7, "ready")]));
    wait_until("the delivery", || endpoint.ids() == ["pay"]);
    assert!(discovery.results("pay").is_empty());
}

/// An address that nothing listens on.
fn unused_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

#[test]
fn notices_are_resent_until_acknowledged_also_after_a_restart() {
    let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Disconnect);
    discovery.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("tries", || discovery.posts.load(Ordering::SeqCst) >= 3);
    courier.kill();
    discovery.refuse_posts.store(0, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    wait_until("the notice", || discovery.results("pay") == ["dead"]);
    courier.kill();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("bad", "payment", 7, 20_000);
    wait_until("another", || discovery.results("bad") == ["dead"]);
    assert!(discovery.results("pay").len() <= 2, "acknowledged notices are not kept up");
}

#[test]
fn discovery_is_watched_also_in_automatic_membership_mode() {
    for mode in ["automatic", "subscribe"] {
        let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
        let mut config = config(&discovery, discovery.lines.lock().expect("lines")[0].clone());
        config["settings"]["membership-mode"] = json!(mode);
        let _courier = Courier::with(&folder, &discovery, &config);
        wait_until(&format!("a watch, {mode}"), || discovery.watches.load(Ordering::SeqCst) == 1);
    }
}

#[test]
fn a_watch_is_reopened_when_it_ends() {
    let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let courier = Courier::start(&folder, &discovery);
    wait_until("a watch", || discovery.watches.load(Ordering::SeqCst) == 1);
    discovery.cut.store(1, Ordering::SeqCst);
    wait_until("another", || discovery.watches.load(Ordering::SeqCst) >= 2);
    let other = Endpoint::new(|_| Reply::Answer(OK));
    discovery.push_line(list(5, false, vec![host("s-9", &other, 9, "ready")]));
    let mut n = 0;
    wait_until("its news", || {
        n += 1;
        courier.submit(&format!("m{n}"), "status", 9, 20_000).status() == 202
    });
    wait_until("the call", || !other.calls().is_empty());
}

#[test]
fn sigterm_lets_calls_end_closes_connections_and_exits_cleanly() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Late(600 * MS, OK));
    let mut courier = Courier::start(&folder, &discovery);
    let mut idle = TcpStream::connect(courier.address).expect("a connection");
    idle.set_read_timeout(Some(LIMIT)).expect("set");
    idle.write_all(message("m0", "status", 7, 20_000).as_bytes()).expect("sent");
    let mut idle = BufReader::new(idle);
    assert_eq!(HttpMessage::read(&mut idle).expect("an answer").status(), 202);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("both calls", || endpoint.calls().len() == 2);
    courier.signal("-TERM");
    assert!(HttpMessage::read(&mut idle).is_none(), "an idle connection is closed");
    // A connection that still comes is answered, and told to close.
    if let Some(page) = raw(courier.address, message("m1", "status", 7, 20_000).as_bytes()) {
        assert!([202, 429, 503].contains(&page.status()), "{page:?}");
        assert_eq!(page.header("connection"), Some("close"));
    }
    assert_eq!(courier.exit(), 0);
    drop(courier);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("end", "payment", 7, 20_000);
    wait_until("the end", || endpoint.ids().contains(&"end".to_owned()));
    assert_eq!(endpoint.ids().iter().filter(|id| *id == "pay").count(), 1);
    assert!(discovery.results("pay").is_empty(), "its answer was waited for");
}

#[test]
fn a_request_whose_client_disconnected_before_the_response_is_not_sent() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let courier = Courier::start(&folder, &discovery);
    // The courier is suspended while a request arrives and its client disconnects, as on a busy machine.
    courier.signal("-STOP");
    let mut client = TcpStream::connect(courier.address).expect("a connection");
    client.write_all(message("gone", "payment", 7, 20_000).as_bytes()).expect("sent");
    drop(client);
    courier.signal("-CONT");
    courier.submit_accepted("here", "payment", 7, 20_000);
    wait_until("the other", || endpoint.ids().contains(&"here".to_owned()));
    assert_eq!(endpoint.ids(), ["here"]);
}

#[test]
fn bad_input_is_answered_and_costs_neither_connection_nor_process() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let courier = Courier::start(&folder, &discovery);
    wait_until("the list", || discovery.watches.load(Ordering::SeqCst) == 1);
    let good = message("x", "status", 7, 20_000);
    let large =
        good.replace("Content-Length: 5", "Content-Length: 70000").replace("bo\0dy", &"x".repeat(70_000));
    let mut stream = TcpStream::connect(courier.address).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("set");
    let mut answers = BufReader::new(stream.try_clone().expect("a handle"));
    for (bad, status) in [
        (good.replace("dest=7", "dest=77"), 404),
        (good.replace("dest=7", "dest=x"), 400),
        (good.replace("status", "nonsense"), 400),
        (good.replace("POST /status", "POST /notice"), 400),
        (good.replace("20000m", "20000"), 400),
        (good.replace("20000m", "-5m"), 400),
        (good.replace("X-Request-ID: x", "X-Request-ID:"), 400),
        (good.replace("X-Request-ID: x", "X-Request-ID: \u{e9}"), 400),
        (large, 413),
        (good.replace("POST", "PUT"), 404),
    ] {
        stream.write_all(bad.as_bytes()).expect("the connection lives");
        let mut page = HttpMessage::read(&mut answers).expect("an answer");
        // Until the first list is here a destination may still become known.
        while page.status() == 503 {
            stream.write_all(bad.as_bytes()).expect("the connection lives");
            page = HttpMessage::read(&mut answers).expect("an answer");
        }
        assert_eq!(page.status(), status, "{}", bad.lines().next().unwrap_or_default());
    }
    assert_eq!(raw(courier.address, b"nonsense\r\n\r\n").map(|p| p.status()), Some(400));
    stream.write_all(good.as_bytes()).expect("the connection lives");
    assert_eq!(HttpMessage::read(&mut answers).expect("an answer").status(), 202);
    wait_until("the call", || endpoint.ids() == ["x"]);
}

#[test]
fn a_message_that_cannot_be_stored_is_refused_with_retry_after() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Hang);
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut config = config(&discovery, known);
    config["limits"]["disk_mb"] = json!(0.02);
    let courier = Courier::with(&folder, &discovery, &config);
    let mut statuses = BTreeMap::<u16, usize>::new();
    for n in 0..30 {
        let page = courier.submit(&format!("m{n}"), "payment", 7, 25_000);
        *statuses.entry(page.status()).or_default() += 1;
        if page.status() == 429 {
            let again = page.header("retry-after").and_then(|v| v.parse::<f64>().ok());
            assert!(again.is_some_and(|s| s > 0.0), "{page:?}");
        }
    }
    assert_eq!(statuses.keys().copied().collect::<Vec<_>>(), [202, 429]);
    let files = std::fs::read_dir(folder.0.join("state")).expect("the folder").flatten();
    let size: u64 = files.filter_map(|f| f.metadata().ok()).map(|m| m.len().next_multiple_of(512)).sum();
    assert!(size <= 20_000, "{size} bytes on disk");
    wait_until("what was taken is sent", || !endpoint.calls().is_empty());
}

#[test]
fn a_start_without_its_configuration_ends_with_one_clear_line() {
    let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Hang);
    let good = config(&discovery, Value::Null);
    let mut bad_slots = good.clone();
    bad_slots["settings"]["family-info"]["slots"] = json!(0);
    let mut no_rules = good.clone();
    no_rules["settings"].as_object_mut().expect("settings").remove("rules");
    let run = |config: &Value, spoil: &dyn Fn(&mut std::process::Command)| {
        let mut command = command(&folder, &discovery, config);
        spoil(&mut command);
        let out = command.stderr(Stdio::piped()).output().expect("it runs");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let path = folder.0.join("none.json").display().to_string();
    type Spoil = Box<dyn Fn(&mut std::process::Command)>;
    let cases: [(&Value, Spoil, &str); 7] = [
        (
            &good,
            Box::new(|c| {
                c.env_remove("LB_CONFIG");
            }),
            "LB_CONFIG is not set",
        ),
        (
            &good,
            Box::new(move |c| {
                c.env("LB_CONFIG", &path);
            }),
            "LB_CONFIG",
        ),
        (
            &good,
            Box::new(|c| {
                c.env("LB_LISTEN", "nowhere");
            }),
            "LB_LISTEN",
        ),
        (
            &good,
            Box::new(|c| {
                c.env("LB_STATE", "/nonexistent/folder");
            }),
            "LB_STATE",
        ),
        (&json!("x"), Box::new(|_| ()), "LB_CONFIG"),
        (&bad_slots, Box::new(|_| ()), "no slots"),
        (&no_rules, Box::new(|_| ()), "rules"),
    ];
    for (config, spoil, word) in &cases {
        let (code, text) = run(config, &**spoil);
        assert_eq!(code, Some(1), "{word}: {text}");
        assert!(text.contains(word) && text.lines().count() == 1, "{word}: {text}");
    }
}

#[test]
fn many_idle_clients_do_not_keep_a_new_one_out() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let courier = Courier::start(&folder, &discovery);
    let idle: Vec<_> = (0..400).filter_map(|_| TcpStream::connect(courier.address).ok()).collect();
    let from = Instant::now();
    courier.submit_accepted("m", "status", 7, 20_000);
    wait_until("the call", || endpoint.ids() == ["m"]);
    assert!(from.elapsed() < LIMIT && idle.len() == 400);
}

#[test]
fn a_notice_batch_that_the_platform_rejects_is_sent_one_by_one() {
    let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Disconnect);
    discovery.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    for n in 0..4 {
        courier.submit_accepted(&format!("p{n}"), "payment", 7, 3000);
    }
    wait_until("tries", || discovery.posts.load(Ordering::SeqCst) >= 8);
    thread::sleep(3500 * MS);
    courier.kill();
    // All messages have ended by now, and the restarted courier sends their notices in one batch.
    discovery.reject_batches.store(true, Ordering::SeqCst);
    discovery.refuse_posts.store(0, Ordering::SeqCst);
    let _courier = Courier::start(&folder, &discovery);
    wait_until("all", || (0..4).all(|n| discovery.results(&format!("p{n}")).len() == 1));
}

#[test]
fn answers_that_prove_it_never_ran_let_an_unsafe_message_go_again() {
    const SLOTS: &str = "HTTP/1.1 503 Service Unavailable\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n";
    const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let (folder, endpoint, discovery) = one_endpoint(|n| Reply::Answer([SLOTS, FULL, OK][n.min(2)]));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("the delivery", || endpoint.ids() == ["pay", "pay", "pay"]);
    assert!(discovery.results("pay").is_empty());
}

#[test]
fn a_message_answered_410_is_not_retried() {
    const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
    let (folder, endpoint, discovery) = one_endpoint(|n| Reply::Answer(if n == 0 { GONE } else { OK }));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("over", "status", 7, 20_000);
    wait_until("the call", || endpoint.calls().len() == 1);
    courier.submit_accepted("next", "status", 7, 20_000);
    wait_until("the next call", || endpoint.calls().len() == 2);
    // Time for the response to be read and recorded.
    thread::sleep(1000 * MS);
    courier.kill();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("last", "status", 7, 20_000);
    wait_until("the last call", || endpoint.ids() == ["over", "next", "last"]);
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

#[test]
fn a_watch_that_falls_silent_is_reopened() {
    let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    discovery.silent_watches.store(1, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    wait_until("another watch", || discovery.watches.load(Ordering::SeqCst) >= 2);
    let other = Endpoint::new(|_| Reply::Answer(OK));
    discovery.push_line(list(5, false, vec![host("s-9", &other, 9, "ready")]));
    let mut n = 0;
    wait_until("its news", || {
        n += 1;
        courier.submit(&format!("m{n}"), "status", 9, 20_000).status() == 202
    });
}
