//! Races between an event and the end of a connection, call or process. Each is forced: by a peer that stops at a
//! given byte, by suspending the courier until both events are there, or by a kill. `docs/endings.md` lists them.

mod rig;
use rig::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

/// A client's connection.
struct Client {
    stream: TcpStream,
    from: BufReader<TcpStream>,
}

impl Client {
    fn new(courier: &Courier) -> Self {
        let stream = TcpStream::connect(courier.address).expect("a connection");
        stream.set_read_timeout(Some(LIMIT)).expect("a limit");
        let from = BufReader::new(stream.try_clone().expect("a handle"));
        Client { stream, from }
    }

    /// A connection that has had a response and is idle.
    fn resting(courier: &Courier, id: &str) -> Self {
        let mut client = Client::new(courier);
        client.send(&message(id, "status", 7, 20_000));
        assert_eq!(client.status(), 202, "{id}");
        client
    }

    fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("written");
    }

    /// The next response; none if the connection ends without one.
    fn answer(&mut self) -> Option<HttpMessage> {
        HttpMessage::read(&mut self.from)
    }

    fn status(&mut self) -> u16 {
        self.answer().map_or(0, |page| page.status())
    }

    /// Whether the connection has ended.
    fn is_closed(&mut self) -> bool {
        !self.from.read(&mut [0]).is_ok_and(|n| n > 0)
    }
}

/// A message, split within its header.
fn halves(id: &str) -> (String, String) {
    let text = message(id, "status", 7, 20_000);
    let at = text.find("X-Timeout").expect("a head");
    (text[..at].to_owned(), text[at..].to_owned())
}

fn ready(endpoint: &Endpoint) -> Value {
    host("s-1", endpoint, 7, "ready")
}

// ---- clients -----------------------------------------------------------------------------------------

#[test]
fn a_request_half_read_at_sigterm_is_read_to_its_end_and_delivered() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let mut courier = Courier::start(&folder, &discovery);
    let (head, rest) = halves("half");
    let mut served = Client::resting(&courier, "before");
    let mut new = Client::new(&courier);
    served.send(&head);
    new.send(&message("body", "payment", 7, 20_000)[..150]);
    courier.signal("-TERM");
    courier.wait_for_log("stopping");
    served.send(&rest);
    new.send(&message("body", "payment", 7, 20_000)[150..]);
    for client in [&mut served, &mut new] {
        let page = client.answer().expect("an answer");
        assert_eq!((page.status(), page.header("connection")), (202, Some("close")));
        assert!(client.is_closed());
    }
    assert_eq!(courier.exit(), 0);
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["before", "body", "half"]);
}

#[test]
fn requests_that_come_together_with_sigterm_are_answered() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let mut courier = Courier::start(&folder, &discovery);
    let (mut rests, mut silent) = (Client::resting(&courier, "m0"), Client::new(&courier));
    // Once this is answered, the silent connection has been accepted too.
    assert_eq!(courier.get("/-/ready").map(|page| page.status()), Some(200));
    courier.pause();
    rests.send(&message("m1", "payment", 7, 20_000));
    silent.send(&message("m2", "payment", 7, 20_000));
    courier.signal("-TERM");
    courier.resume();
    let taken: Vec<_> = [("m1", &mut rests), ("m2", &mut silent)]
        .into_iter()
        .filter_map(|(id, client)| {
            let status = client.status();
            assert!([202, 503].contains(&status), "{id}: {status}");
            (status == 202).then_some(id)
        })
        .collect();
    assert_eq!(courier.exit(), 0);
    // Accepted messages were sent, or are sent after the restart; nothing else is.
    let _next = Courier::start(&folder, &discovery);
    wait_until("what was taken on", || endpoint.calls().len() > taken.len());
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids[1..], taken);
}

#[test]
fn clients_still_writing_at_shutdown_get_a_response() {
    let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let mut courier = Courier::start(&folder, &discovery);
    let mut served = Client::resting(&courier, "m0");
    served.send("POST /status HTTP/1.1\r\n");
    courier.signal("-TERM");
    courier.wait_for_log("stopping");
    // Late enough that its own time would outlast the process.
    thread::sleep(500 * MS);
    let (mut head, mut body) = (Client::new(&courier), Client::new(&courier));
    let (first, _) = halves("half");
    head.send(&first);
    let text = message("body", "payment", 7, 20_000);
    body.send(&text[..text.len() - 1]);
    // Each has begun a request: a close without a response would leave open whether it was accepted.
    for client in [&mut served, &mut head, &mut body] {
        let page = client.answer().expect("a response before the close");
        assert!([408, 503].contains(&page.status()), "{page:?}");
        assert!(client.is_closed());
    }
    assert_eq!(courier.exit(), 0);
}

#[test]
fn a_request_whose_last_byte_comes_near_the_end_is_refused_not_left_to_the_next_process() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let mut courier = Courier::start(&folder, &discovery);
    let mut client = Client::new(&courier);
    let text = message("late", "payment", 7, 20_000);
    courier.signal("-TERM");
    courier.wait_for_log("stopping");
    client.send(&text[..text.len() - 1]);
    // By then no new call is started.
    thread::sleep(2300 * MS);
    client.send(&text[text.len() - 1..]);
    assert_eq!(client.status(), 503);
    assert_eq!(courier.exit(), 0);
    let next = Courier::start(&folder, &discovery);
    next.submit_accepted("next", "payment", 7, 20_000);
    wait_until("the next", || !endpoint.calls().is_empty());
    assert_eq!(endpoint.ids(), ["next"]);
}

#[test]
fn clients_waiting_for_a_free_connection_at_sigterm_are_answered() {
    let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let mut config = config(&discovery, discovery.lines.lock().expect("lines")[0].clone());
    // The smallest accepted limit: room for eleven clients.
    config["limits"]["sockets"] = json!(64);
    let mut courier = Courier::with(&folder, &discovery, &config);
    let (head, rest) = halves("half");
    // Resting ones would make room; these are at work, and none gives way. With the eleventh the house is full.
    let mut house: Vec<_> = (0..10).map(|n| Client::resting(&courier, &format!("m{n}"))).collect();
    house.iter_mut().for_each(|client| client.send(&head));
    house.push(Client::resting(&courier, "m10"));
    house[10].send(&head);
    let mut waits: Vec<_> = (0..3).map(|_| Client::new(&courier)).collect();
    waits.iter_mut().enumerate().for_each(|(n, c)| c.send(&message(&format!("w{n}"), "status", 7, 20_000)));
    courier.signal("-TERM");
    courier.wait_for_log("stopping");
    thread::sleep(1000 * MS);
    for (n, client) in house.iter_mut().enumerate() {
        client.send(&rest.replace("half", &format!("half{n}")));
    }
    for client in &mut waits {
        let status = client.status();
        assert!([202, 503].contains(&status), "{status}");
    }
    assert_eq!(courier.exit(), 0);
}

#[test]
fn what_comes_just_as_a_connections_time_is_up_is_read() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let courier = Courier::start(&folder, &discovery);
    let (head, rest) = halves("head");
    let body = message("body", "status", 7, 20_000);
    let (mut silent, mut first, mut last) =
        (Client::new(&courier), Client::new(&courier), Client::new(&courier));
    first.send(&head);
    last.send(&body[..body.len() - 1]);
    thread::sleep(2000 * MS);
    courier.pause();
    thread::sleep(1000 * MS);
    silent.send(&message("silent", "status", 7, 20_000));
    first.send(&rest);
    last.send(&body[body.len() - 1..]);
    courier.resume();
    assert_eq!([silent.status(), first.status(), last.status()], [202; 3]);
    wait_until("all of them", || endpoint.calls().len() == 3);
}

#[test]
fn an_incomplete_later_request_gets_a_response_before_the_close() {
    let (folder, _endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let courier = Courier::start(&folder, &discovery);
    let mut client = Client::resting(&courier, "m0");
    client.send(&halves("half").0);
    assert_eq!(client.status(), 408);
    assert!(client.is_closed());
}

#[test]
fn a_request_that_comes_as_its_courier_goes_out_of_service_is_answered() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut command = command(&folder, &discovery, &config(&discovery, known));
    let courier = Courier::spawn(command.env("LB_ADMIN_ADDR", "127.0.0.1:0"));
    let mut client = Client::resting(&courier, "m0");
    // Otherwise both may be called at once, in either order.
    wait_until("the first", || endpoint.ids() == ["m0"]);
    let mut operator = TcpStream::connect(courier.admin.expect("an address")).expect("a connection");
    courier.pause();
    operator.write_all(b"POST /control/out-of-service HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
    client.send(&message("m1", "payment", 7, 20_000));
    courier.resume();
    let page = client.answer().expect("an answer");
    assert_eq!(page.status(), 202);
    assert!(client.is_closed(), "and its connection is let go");
    wait_until("both", || endpoint.ids() == ["m0", "m1"]);
}

#[test]
fn a_client_that_leaves_and_comes_again_midway_is_served_once_or_not_at_all() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let courier = Courier::start(&folder, &discovery);
    let (mut leaves, mut again) = (Client::new(&courier), Client::new(&courier));
    assert_eq!(courier.get("/-/ready").map(|page| page.status()), Some(200));
    courier.pause();
    leaves.send(&message("pay", "payment", 7, 20_000));
    drop(leaves);
    again.send(&message("pay", "payment", 7, 20_000));
    courier.resume();
    let status = again.status();
    assert!([202, 503].contains(&status), "{status}");
    courier.submit_accepted("end", "payment", 7, 20_000);
    wait_until("the end", || endpoint.ids().contains(&"end".to_owned()));
    let calls = endpoint.ids().iter().filter(|id| *id == "pay").count();
    assert_eq!(calls, usize::from(status == 202), "told {status}");
}

// ---- calls -------------------------------------------------------------------------------------------

/// An endpoint that answers its first call while its courier stands still, which then goes on after `span`.
fn answered_in_a_standstill(
    class: &str,
    time_ms: u64,
    span_ms: u32,
) -> (Endpoint, Discovery, Courier, Folder) {
    let answers = Arc::new(AtomicBool::new(false));
    let open = answers.clone();
    let (folder, endpoint, discovery) = one_endpoint(move |_| {
        wait_until("the answer is due", || open.load(Ordering::SeqCst));
        Reply::Answer(OK)
    });
    // Nothing can be sent to destination 9.
    let hosts = vec![ready(&endpoint), host("s-9", &endpoint, 9, "draining")];
    discovery.lines.lock().expect("lines")[0] = list(1, true, hosts);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m", class, 7, time_ms);
    wait_until("the call", || endpoint.calls().len() == 1);
    courier.pause();
    answers.store(true, Ordering::SeqCst);
    thread::sleep(span_ms * MS);
    courier.resume();
    (endpoint, discovery, courier, folder)
}

#[test]
fn a_response_received_before_the_timeout_is_handled_counts() {
    // The least time-out is 1 s.
    let (endpoint, discovery, courier, _folder) = answered_in_a_standstill("status", 20_000, 1300);
    courier.wait_for_log("m attempt 0: Delivered");
    courier.submit_accepted("next", "status", 7, 20_000);
    wait_until("the next", || endpoint.calls().len() == 2);
    assert_eq!(endpoint.ids(), ["m", "next"]);
    assert!(discovery.results("m").is_empty());
}

#[test]
fn a_response_received_before_the_deadline_is_handled_counts() {
    // A message that may run only once is waited for until its deadline.
    let (_endpoint, discovery, courier, _folder) = answered_in_a_standstill("payment", 1000, 1300);
    courier.wait_for_log("m attempt 0: Delivered");
    // Nobody answers this one: once its notice is there, the other's would be.
    courier.submit_accepted("other", "status", 9, 1000);
    wait_until("the other's end", || !discovery.results("other").is_empty());
    assert!(discovery.results("m").is_empty(), "{:?}", discovery.results("m"));
}

#[test]
fn a_call_whose_endpoint_is_removed_while_its_connection_comes_up_is_not_begun() {
    for reload in [false, true] {
        let Unconnected { listener, endpoint: slow, discovery, mut config, queued: _queued } =
            Unconnected::new();
        let (folder, other) = (Folder::new(), Endpoint::new(|_| Reply::Answer(OK)));
        let courier = Courier::with(&folder, &discovery, &config);
        courier.submit_accepted("m", "payment", 7, 25_000);
        courier.wait_for_log("m attempt 0: to s-1");
        let without = list(2, true, vec![host("s-2", &other, 7, "ready")]);
        let moved = Discovery::new(without.clone());
        if reload {
            config["discovery"] = json!(moved.address.to_string());
            courier.reload(&folder, &config.to_string());
        } else {
            discovery.push_line(without);
        }
        courier.wait_for_log("list 2");
        slow.serve(listener, |_, _| Reply::Answer(OK));
        wait_until("its connection", || slow.connections.load(Ordering::SeqCst) == 2);
        wait_until("the call elsewhere", || other.ids() == ["m"]);
        assert!(slow.calls().is_empty(), "begun at one that is gone; by a reload: {reload}");
    }
}

#[test]
fn a_call_that_still_waits_for_its_connection_at_the_end_has_not_run() {
    let Unconnected { listener, endpoint: place, discovery, config, queued: _queued } = Unconnected::new();
    let folder = Folder::new();
    let mut courier = Courier::with(&folder, &discovery, &config);
    courier.submit_accepted("pay", "payment", 7, 25_000);
    courier.wait_for_log("pay attempt 0: to s-1");
    courier.signal("-TERM");
    assert_eq!(courier.exit(), 0);
    place.serve(listener, |_, _| Reply::Answer(OK));
    let next = Courier::with(&folder, &discovery, &config);
    next.submit_accepted("next", "payment", 7, 25_000);
    wait_until("the calls", || place.calls().len() + discovery.results("pay").len() >= 2);
    let mut ids = place.ids();
    ids.sort();
    assert_eq!(ids, ["next", "pay"], "it may run only once, and had not");
}

/// An endpoint that says `head` to its first call, and then `more` for ever; later calls are answered well.
fn endless(head: &'static str, more: &'static str) -> (Folder, TcpListener, Discovery, Value) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let place = Endpoint::at(&listener);
    let discovery = Discovery::new(list(1, true, vec![ready(&place)]));
    let own = listener.try_clone().expect("a handle");
    thread::spawn(move || {
        for (n, mut stream) in own.incoming().flatten().enumerate() {
            thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().expect("a handle"));
                while HttpMessage::read(&mut from).is_some() {
                    if n > 0 {
                        let _ = stream.write_all(OK.as_bytes());
                        continue;
                    }
                    let _ = stream.write_all(head.as_bytes());
                    while stream.write_all(more.as_bytes()).is_ok() {
                        thread::sleep(10 * MS);
                    }
                }
            });
        }
    });
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let config = config(&discovery, known);
    (Folder::new(), listener, discovery, config)
}

#[test]
fn an_answer_that_never_ends_is_judged_by_its_first_line() {
    for (head, more, result) in [
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", None),
        ("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n", "more", None),
        ("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n", None),
        ("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", Some("dead")),
        ("HTTP/1.1 503 No\r\n", "X-More: and more\r\n", Some("dead")),
    ] {
        let (folder, _listener, discovery, config) = endless(head, more);
        let courier = Courier::with(&folder, &discovery, &config);
        courier.submit_accepted("pay", "payment", 7, 25_000);
        courier.wait_for_log(if result.is_some() {
            "pay given up: Dead"
        } else {
            "pay attempt 0: Delivered"
        });
        courier.submit_accepted("next", "payment", 7, 25_000);
        courier.wait_for_log("next attempt 0: Delivered");
        if let Some(result) = result {
            wait_until("its notice", || discovery.results("pay") == [result]);
        } else {
            assert!(discovery.results("pay").is_empty(), "{head:?}");
        }
    }
}

#[test]
fn a_connection_that_resets_halfway_may_have_run() {
    for half in ["HTTP/1.1 20", "HTTP", "\r\n"] {
        let (folder, endpoint, discovery) =
            one_endpoint(move |n| if n == 0 { Reply::AnswerAndClose(half) } else { Reply::Answer(OK) });
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 20_000);
        wait_until("the notice", || discovery.results("pay") == ["dead"]);
        courier.submit_accepted("state", "status", 7, 20_000);
        wait_until("the next", || endpoint.ids() == ["pay", "state"]);
    }
}

#[test]
fn an_abandoned_call_is_closed_before_the_next_attempt_begins() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let place = Endpoint::at(&listener);
    let discovery = Discovery::new(list(1, true, vec![ready(&place)]));
    let folder = Folder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m", "status", 7, 20_000);
    let call = |listener: &TcpListener| {
        let (stream, _) = listener.accept().expect("a connection");
        let mut from = BufReader::new(stream.try_clone().expect("a handle"));
        let id = HttpMessage::read(&mut from)
            .expect("a call")
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        (stream, id)
    };
    let (mut first, id) = call(&listener);
    assert_eq!(id, "m");
    // Half a status line, which proves nothing, just before the time-out.
    thread::sleep(900 * MS);
    first.write_all(b"HTTP/1.").expect("written");
    let (mut second, id) = call(&listener);
    assert_eq!(id, "m");
    // The next call is here: the end of the first one's connection must be too, or it would be a second copy.
    first.set_nonblocking(true).expect("set");
    let end = first.read(&mut [0]);
    assert!(
        end.as_ref().is_ok_and(|n| *n == 0)
            || end.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
    );
    second.write_all(OK.as_bytes()).expect("written");
    courier.wait_for_log("m attempt 1: Delivered");
}

// ---- discovery and the platform ----------------------------------------------------------------------

#[test]
fn lists_that_come_indented_are_read() {
    let (a, b) = (Endpoint::new(|_| Reply::Answer(OK)), Endpoint::new(|_| Reply::Answer(OK)));
    let discovery = Discovery::new(list(1, true, vec![ready(&a)]));
    discovery.indented.store(true, Ordering::SeqCst);
    let folder = Folder::new();
    let courier = Courier::with(&folder, &discovery, &config(&discovery, Value::Null));
    courier.wait_for_log("list 1");
    courier.submit_accepted("m1", "status", 7, 20_000);
    wait_until("the first", || a.ids() == ["m1"]);
    discovery.push_line(list(2, false, vec![host("s-1", &a, 7, "draining"), host("s-2", &b, 7, "ready")]));
    courier.wait_for_log("list 2");
    courier.submit_accepted("m2", "status", 7, 20_000);
    wait_until("the second", || b.ids() == ["m2"]);
    assert_eq!(discovery.watches.load(Ordering::SeqCst), 1, "on one watch");
    assert_eq!(a.ids(), ["m1"]);
}

#[test]
fn what_a_watch_was_telling_when_it_ended_or_fell_silent_is_asked_for_again() {
    for (silent, indented) in [(false, false), (true, false), (true, true)] {
        let (a, b) = (Endpoint::new(|_| Reply::Answer(OK)), Endpoint::new(|_| Reply::Answer(OK)));
        let discovery = Discovery::new(list(1, true, vec![ready(&a)]));
        discovery.partial_watches.store(1, Ordering::SeqCst);
        discovery.partial_then_silent.store(silent, Ordering::SeqCst);
        discovery.indented.store(indented, Ordering::SeqCst);
        let folder = Folder::new();
        let courier = Courier::start(&folder, &discovery);
        courier.wait_for_log("list 1");
        discovery.push_line(list(
            2,
            false,
            vec![host("s-1", &a, 7, "draining"), host("s-2", &b, 7, "ready")],
        ));
        courier.wait_for_log("in the middle of a list");
        courier.wait_for_log("list 2");
        courier.submit_accepted("m", "status", 7, 20_000);
        wait_until("the call", || b.ids() == ["m"]);
        assert!(a.calls().is_empty());
    }
}

#[test]
fn a_watch_that_dies_with_discovery_down_is_asked_for_until_it_is_back() {
    let (a, b) = (Endpoint::new(|_| Reply::Answer(OK)), Endpoint::new(|_| Reply::Answer(OK)));
    // A second socket holds the port, so that it stays refused, and nobody else gets it, while the first is away.
    let bound = |address: std::net::SocketAddr| {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_port(true).expect("shared");
        socket.bind(&address.into()).expect("a port");
        socket
    };
    let first = bound("127.0.0.1:0".parse().expect("an address"));
    first.listen(8).expect("listens");
    let listener = TcpListener::from(first);
    let address = listener.local_addr().expect("an address");
    let later = bound(address);
    let first = list(1, true, vec![ready(&a)]);
    let folder = Folder::new();
    let mut config = config(&Discovery::new(first.clone()), first.clone());
    config["discovery"] = json!(address.to_string());
    let courier = Courier::with(&folder, &Discovery::new(first.clone()), &config);
    // An answer that came before its question would be none.
    let tell = |stream: &mut TcpStream, list: &Value| {
        let page = HttpMessage::read(&mut BufReader::new(stream.try_clone().expect("a handle")))
            .expect("a question");
        assert!(page.first.starts_with("GET /api/targets"), "{page:?}");
        let text = format!("{list}\n");
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n", text.len())
            .expect("written");
    };
    let (mut watch, _) = listener.accept().expect("a watch");
    tell(&mut watch, &first);
    courier.wait_for_log("list 1");
    // Discovery is down: the watch breaks, and connections are refused.
    drop(listener);
    drop(watch);
    courier.wait_for_log("no connection");
    later.listen(8).expect("listens");
    let listener = TcpListener::from(later);
    let (mut watch, _) = listener.accept().expect("a watch");
    tell(&mut watch, &list(2, true, vec![host("s-2", &b, 7, "ready")]));
    courier.wait_for_log("list 2");
    courier.submit_accepted("m", "status", 7, 20_000);
    wait_until("the call", || b.ids() == ["m"]);
    assert!(a.calls().is_empty());
}

#[test]
fn a_notice_whose_connection_has_died_in_silence_goes_on_another_in_time() {
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = platform.local_addr().expect("an address");
    let endpoint = Endpoint::new(|_| Reply::Disconnect);
    let watched = Discovery::new(list(1, true, vec![ready(&endpoint)]));
    let mut config = config(&watched, watched.lines.lock().expect("lines")[0].clone());
    config["discovery"] = json!(address.to_string());
    let folder = Folder::new();
    let courier = Courier::with(&folder, &watched, &config);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    // Posts come on connections of their own; the watch's is another, and has no answer here.
    let (tell, posts) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for mut stream in platform.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().expect("a handle"));
                while let Some(page) = HttpMessage::read(&mut from) {
                    if page.first.starts_with("POST /v1/outcomes") {
                        let (answer, wait) = std::sync::mpsc::channel::<bool>();
                        let _ = tell.send((page, Instant::now(), answer));
                        if wait.recv().unwrap_or(false) {
                            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
                        } else {
                            thread::sleep(LIMIT);
                        }
                    }
                }
            });
        }
    });
    let next = || posts.recv_timeout(LIMIT).expect("a post");
    let (_, _, answer) = next();
    answer.send(true).expect("told");
    // The connection is kept, and dies now: whatever is posted on it has no answer.
    courier.submit_accepted("pay2", "payment", 7, 20_000);
    let (first, at, _never) = next();
    let (again, later, answer) = next();
    answer.send(true).expect("told");
    assert_eq!(first.body, again.body);
    // A notice is owed 300 ms after its message's time; on a quiet machine this takes half of that.
    assert!(later - at < 700 * MS, "posted again after {:?}", later - at);
}

// ---- the start ---------------------------------------------------------------------------------------

/// A folder with so many messages that were taken on and never tried: nothing could be sent there yet.
fn untried(endpoint: &Endpoint, count: usize, class: &str, time_ms: u64) -> (Folder, Discovery) {
    let folder = Folder::new();
    let discovery = Discovery::new(list(1, true, vec![host("s-1", endpoint, 7, "draining")]));
    let courier = Courier::start(&folder, &discovery);
    for n in 0..count {
        courier.submit_accepted(&format!("m{n}"), class, 7, time_ms);
    }
    courier.kill();
    (folder, discovery)
}

#[test]
fn what_a_killed_process_had_untried_is_tried_by_the_next_though_its_list_comes_late() {
    let endpoint = Endpoint::new(|_| Reply::Answer(OK));
    let (folder, discovery) = untried(&endpoint, 20, "payment", 20_000);
    assert!(endpoint.calls().is_empty());
    // The list at hand is older than the destination itself, and the news comes only after a while.
    let other = Endpoint::new(|_| Reply::Hang);
    discovery.lines.lock().expect("lines")[0] = list(2, true, vec![]);
    let known = list(1, true, vec![host("s-9", &other, 9, "ready")]);
    let courier = Courier::with(&folder, &discovery, &config(&discovery, known));
    courier.wait_for_log("list 2");
    thread::sleep(1500 * MS);
    discovery.push_line(list(3, false, vec![ready(&endpoint)]));
    wait_until("all of them", || endpoint.calls().len() == 20);
    let mut ids = endpoint.ids();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 20, "each once");
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

#[test]
fn what_a_killed_process_had_untried_is_tried_though_little_time_is_left_and_more_comes() {
    let endpoint = Endpoint::new(|_| Reply::Late(50 * MS, OK));
    let (folder, discovery) = untried(&endpoint, 24, "status", 4_000);
    discovery.lines.lock().expect("lines")[0] = list(2, true, vec![ready(&endpoint)]);
    let mut command =
        command(&folder, &discovery, &config(&discovery, list(2, true, vec![ready(&endpoint)])));
    let courier = Courier::launch(&mut command);
    // Newcomers from the first moment on, faster than they can go.
    for n in 0..60 {
        courier.submit(&format!("new{n}"), "status", 7, 4_000);
    }
    let tried = || endpoint.ids().iter().filter(|id| id.starts_with('m')).count();
    let given = || (0..24).filter(|n| !discovery.results(&format!("m{n}")).is_empty()).count();
    wait_until("an end for each", || tried() + given() >= 24);
    assert!(tried() >= 20, "{} tried, {} given up", tried(), given());
}

#[test]
fn what_is_out_of_time_at_the_start_is_told_at_once() {
    let endpoint = Endpoint::new(|_| Reply::Answer(OK));
    let (folder, discovery) = untried(&endpoint, 3, "payment", 700);
    thread::sleep(800 * MS);
    discovery.lines.lock().expect("lines")[0] = list(2, true, vec![ready(&endpoint)]);
    let _courier = Courier::start(&folder, &discovery);
    wait_until("their notices", || (0..3).all(|n| discovery.results(&format!("m{n}")) == ["bounced"]));
    assert!(endpoint.calls().is_empty());
}

// ---- one process in another's place ------------------------------------------------------------------

#[test]
fn a_request_that_comes_together_with_a_successor_is_answered_and_delivered_once() {
    let (folder, endpoint, discovery) = one_endpoint(|_| Reply::Answer(OK));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let config = config(&discovery, known);
    let mut old = Courier::spawn(&mut inheriting(&folder, &discovery, &config, &listener));
    let mut clients: Vec<_> = (0..4).map(|n| Client::resting(&old, &format!("a{n}"))).collect();
    old.pause();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&message(&format!("b{n}"), "payment", 7, 20_000));
    }
    // It asks while the old one stands still, so that both are there when that goes on.
    let mut next = inheriting(&folder, &discovery, &config, &listener);
    let next = thread::spawn(move || Courier::spawn(&mut next));
    thread::sleep(300 * MS);
    old.resume();
    assert!(clients.iter_mut().all(|client| client.status() == 202));
    let _next = next.join().expect("it serves");
    old.signal("-TERM");
    assert_eq!(old.exit(), 0);
    wait_until("all", || endpoint.calls().len() >= 8);
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3"]);
}
