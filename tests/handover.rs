//! Handover from a running process to its successor under traffic: what each keeps, and what happens if either
//! is killed midway.

mod rig;
use rig::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const FULL_WITH_WAIT: &str = "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 3000\r\nContent-Length: 0\r\n\r\n";

/// One endpoint of destination 7, discovery that lists it, and a listening socket that outlasts couriers.
struct HandoverFixture {
    folder: Folder,
    endpoint: Endpoint,
    discovery: Discovery,
    listener: TcpListener,
}

impl HandoverFixture {
    fn new(act: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Self {
        let endpoint = Endpoint::new(act);
        let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        HandoverFixture { folder: Folder::new(), endpoint, discovery, listener }
    }

    fn start(&self) -> Courier {
        let known = self.discovery.lines.lock().expect("lines")[0].clone();
        self.start_with(&config(&self.discovery, known))
    }

    fn start_with(&self, config: &Value) -> Courier {
        Courier::spawn(&mut inheriting(&self.folder, &self.discovery, config, &self.listener))
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.listener.local_addr().expect("an address")).expect("connects")
    }

    /// Waits for all messages and checks that each reached the endpoint exactly once.
    fn all_once(&self, messages: &[&str]) {
        wait_until("all messages", || self.endpoint.calls().len() >= messages.len());
        let mut ids = self.endpoint.ids();
        ids.sort();
        assert_eq!(ids, messages);
    }
}

fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("written");
}

fn answer(stream: &TcpStream) -> u16 {
    stream.set_read_timeout(Some(LIMIT)).expect("a limit");
    HttpMessage::read(&mut BufReader::new(stream.try_clone().expect("a handle"))).expect("an answer").status()
}

#[test]
fn clients_and_calls_outlast_the_process_that_had_them() {
    let answers = Arc::new(AtomicBool::new(false));
    let open = answers.clone();
    let fixture = HandoverFixture::new(move |_| {
        wait_until("the answer is due", || open.load(Ordering::SeqCst));
        Reply::Answer(OK)
    });
    let mut old = fixture.start();
    let (mut idle, mut half, mut silent) = (fixture.connect(), fixture.connect(), fixture.connect());
    write(&mut idle, &message("m1", "payment", 7, 25_000));
    assert_eq!(answer(&idle), 202);
    wait_until("the call", || fixture.endpoint.calls().len() == 1);
    let text = message("m2", "payment", 7, 25_000);
    write(&mut half, &text[..text.len() - 3]);
    // Connections are accepted in order: once this is answered, the old process has accepted the earlier ones.
    assert_eq!(old.get("/-/ready").map(|page| page.status()), Some(200));
    let new = fixture.start();
    assert_eq!(new.operate("GET", "/control/ready"), 200);
    assert_eq!(old.operate("GET", "/control/ready"), 503);
    old.signal("-TERM");
    write(&mut half, &text[text.len() - 3..]);
    assert_eq!(answer(&half), 202, "read on where the other stopped");
    write(&mut silent, &message("m3", "payment", 7, 25_000));
    assert_eq!(answer(&silent), 202);
    write(&mut idle, &message("m4", "payment", 7, 25_000));
    assert_eq!(answer(&idle), 202, "one that was kept is kept");
    answers.store(true, Ordering::SeqCst);
    fixture.all_once(&["m1", "m2", "m3", "m4"]);
    assert_eq!(old.exit(), 0, "it ends with its last call");
    // The outcome of the old process's call is recorded: a restarted courier does not resend the message.
    new.submit_accepted("last", "status", 7, 20_000);
    wait_until("the last", || fixture.endpoint.ids().contains(&"last".to_owned()));
    new.kill();
    let _next = fixture.start();
    assert!(fixture.discovery.notices.lock().expect("notices").is_empty());
    assert_eq!(fixture.endpoint.calls().len(), 5);
}

#[test]
fn a_wait_that_the_old_process_was_told_binds_the_new_one() {
    let fixture = HandoverFixture::new(|n| Reply::Answer(if n == 0 { FULL_WITH_WAIT } else { OK }));
    let old = fixture.start();
    old.submit_accepted("m0", "status", 7, 20_000);
    old.wait_for_log("m0 attempt 0: Full");
    let new = fixture.start();
    new.submit_accepted("m1", "status", 7, 20_000);
    new.submit_accepted("m2", "payment", 7, 20_000);
    wait_until("all", || fixture.endpoint.calls().len() == 4);
    let calls = fixture.endpoint.calls();
    assert!(calls[1..].iter().all(|c| c.at >= calls[0].at + 2990 * MS), "{calls:?}");
}

#[test]
fn operator_settings_are_handed_over_and_the_old_address_still_works() {
    let fixture = HandoverFixture::new(|_| Reply::Answer(OK));
    let old = fixture.start();
    assert_eq!(old.operate("POST", "/control/endpoints/s-1/offline"), 200);
    let new = fixture.start();
    new.submit_accepted("m1", "status", 7, 1_500);
    wait_until("its end", || fixture.discovery.results("m1") == ["bounced"]);
    assert!(fixture.endpoint.calls().is_empty());
    assert_eq!(old.operate("POST", "/control/endpoints/s-9/online"), 404);
    assert_eq!(old.operate("POST", "/control/endpoints/s-1/online"), 200);
    new.submit_accepted("m2", "status", 7, 20_000);
    fixture.all_once(&["m2"]);
}

#[test]
fn a_successor_that_dies_before_taking_over_changes_nothing() {
    let fixture = HandoverFixture::new(|_| Reply::Answer(OK));
    let old = fixture.start();
    for n in 0..3 {
        let socket = fixture.folder.0.join("state/handover");
        let mut successor = UnixStream::connect(socket).expect("the old process listens");
        // Sends the framed Hello, reads part of the state and disconnects.
        successor.write_all(b"\x08\0\0\0\x82\x65Hello\xf4").expect("written");
        successor.read_exact(&mut [0; 64]).expect("the state comes");
        drop(successor);
        old.submit_accepted(&format!("m{n}"), "payment", 7, 20_000);
    }
    fixture.all_once(&["m0", "m1", "m2"]);
    assert_eq!(old.operate("GET", "/control/ready"), 200);
    let new = fixture.start();
    new.submit_accepted("m3", "payment", 7, 20_000);
    fixture.all_once(&["m0", "m1", "m2", "m3"]);
}

#[test]
fn the_old_process_goes_on_from_the_journal_when_its_successor_is_killed() {
    let fixture = HandoverFixture::new(|_| Reply::Answer(OK));
    // Draining: messages are accepted and held.
    let away = list(1, true, vec![host("s-1", &fixture.endpoint, 7, "draining")]);
    fixture.discovery.lines.lock().expect("lines")[0] = away;
    let old = fixture.start();
    old.submit_accepted("m1", "payment", 7, 25_000);
    let new = fixture.start();
    new.submit_accepted("m2", "payment", 7, 25_000);
    new.kill();
    wait_until("it serves", || old.operate("GET", "/control/ready") == 200);
    old.submit_accepted("m3", "payment", 7, 25_000);
    assert!(fixture.endpoint.calls().is_empty());
    fixture.discovery.push_line(list(2, false, vec![host("s-1", &fixture.endpoint, 7, "ready")]));
    fixture.all_once(&["m1", "m2", "m3"]);
    // And it can be replaced again.
    let newest = fixture.start();
    newest.submit_accepted("m4", "payment", 7, 25_000);
    fixture.all_once(&["m1", "m2", "m3", "m4"]);
}

#[test]
fn calls_of_an_old_process_that_is_killed_may_have_run() {
    let fixture = HandoverFixture::new(|n| if n < 2 { Reply::Hang } else { Reply::Answer(OK) });
    let old = fixture.start();
    old.submit_accepted("pay", "payment", 7, 25_000);
    old.submit_accepted("state", "status", 7, 25_000);
    wait_until("both calls", || fixture.endpoint.calls().len() == 2);
    let new = fixture.start();
    new.submit_accepted("m", "payment", 7, 25_000);
    wait_until("its call", || fixture.endpoint.calls().len() == 3);
    assert_eq!(fixture.endpoint.ids()[2], "m", "none is sent by both");
    old.kill();
    wait_until("the notice", || fixture.discovery.results("pay") == ["dead"]);
    wait_until("the repeat of the other", || fixture.endpoint.calls().len() == 4);
    assert_eq!(fixture.endpoint.ids()[3], "state");
}

#[test]
fn an_unusable_handover_state_falls_back_to_the_journal() {
    let fixture = HandoverFixture::new(|n| if n < 2 { Reply::Hang } else { Reply::Answer(OK) });
    let old = fixture.start();
    old.submit_accepted("pay", "payment", 7, 25_000);
    old.submit_accepted("state", "status", 7, 25_000);
    wait_until("both calls", || fixture.endpoint.calls().len() == 2);
    // The successor is configured with another set of tenants.
    let known = fixture.discovery.lines.lock().expect("lines")[0].clone();
    let mut other = config(&fixture.discovery, known);
    other["settings"]["customers"] = json!([{"name": "acme"}]);
    let new = fixture.start_with(&other);
    wait_until("the notice", || fixture.discovery.results("pay") == ["dead"]);
    wait_until("the repeat of the other", || fixture.endpoint.calls().len() == 3);
    assert_eq!(fixture.endpoint.ids()[2], "state");
    new.submit_accepted("m", "payment", 7, 20_000);
    wait_until("one more", || fixture.endpoint.calls().len() == 4);
}

#[test]
fn a_second_replacement_takes_the_calls_of_the_first_along() {
    let answers = Arc::new(AtomicBool::new(false));
    let open = answers.clone();
    let fixture = HandoverFixture::new(move |_| {
        wait_until("the answer is due", || open.load(Ordering::SeqCst));
        Reply::Answer(OK)
    });
    let first = fixture.start();
    first.submit_accepted("m1", "payment", 7, 25_000);
    wait_until("the call", || fixture.endpoint.calls().len() == 1);
    let second = fixture.start();
    second.submit_accepted("m2", "payment", 7, 25_000);
    wait_until("the call", || fixture.endpoint.calls().len() == 2);
    let third = fixture.start();
    third.submit_accepted("m3", "payment", 7, 25_000);
    answers.store(true, Ordering::SeqCst);
    fixture.all_once(&["m1", "m2", "m3"]);
    third.submit_accepted("m4", "payment", 7, 25_000);
    fixture.all_once(&["m1", "m2", "m3", "m4"]);
    assert!(fixture.discovery.notices.lock().expect("notices").is_empty());
}

#[test]
fn a_successor_that_cannot_listen_does_not_replace_its_predecessor() {
    let fixture = HandoverFixture::new(|_| Reply::Answer(OK));
    let old = fixture.start();
    let known = fixture.discovery.lines.lock().expect("lines")[0].clone();
    let page = config(&fixture.discovery, known);
    let mut second = command(&fixture.folder, &fixture.discovery, &page);
    let address = fixture.listener.local_addr().expect("an address");
    let ended = second.env("LB_LISTEN", address.to_string()).output().expect("it ends");
    assert_eq!(ended.status.code(), Some(1), "the address is in use, and no socket is handed down");
    // The same for an inherited descriptor that is not a listening socket or not a descriptor at all.
    for descriptor in ["0", "-1", "seven"] {
        let mut second = command(&fixture.folder, &fixture.discovery, &page);
        let ended = second.env("LB_LISTEN_FD", descriptor).output().expect("it ends");
        assert_eq!(ended.status.code(), Some(1), "{descriptor}");
    }
    assert_eq!(old.operate("GET", "/control/ready"), 200);
    old.submit_accepted("m1", "payment", 7, 20_000);
    fixture.all_once(&["m1"]);
}

#[test]
fn a_socket_for_successors_is_there_only_where_the_platform_shares_the_listening_one() {
    let fixture = HandoverFixture::new(|_| Reply::Answer(OK));
    let old = fixture.start();
    old.submit_accepted("m1", "payment", 7, 20_000);
    let socket = |folder: &Folder| folder.0.join("state/handover").exists();
    assert!(socket(&fixture.folder), "a successor may come");
    let folder = Folder::new();
    let alone = Courier::start(&folder, &fixture.discovery);
    alone.submit_accepted("m2", "payment", 7, 20_000);
    assert!(!socket(&folder), "nobody comes");
    fixture.all_once(&["m1", "m2"]);
}
