//! The operators' address of a running courier: endpoints taken offline, clients turned away, callers that hold
//! their connections open.

mod rig;
use rig::*;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

fn with_admin(folder: &Folder, discovery: &Discovery) -> Courier {
    let known = discovery.lines.lock().expect("lines")[0].clone();
    Courier::spawn(command(folder, discovery, &config(discovery, known)).env("LB_ADMIN_ADDR", "127.0.0.1:0"))
}

/// Two endpoints of destination 7.
fn two() -> (Folder, [Endpoint; 2], Discovery) {
    let ends = [Endpoint::new(|_| Reply::Answer(OK)), Endpoint::new(|_| Reply::Answer(OK))];
    let hosts = vec![host("s-1", &ends[0], 7, "ready"), host("s-2", &ends[1], 7, "ready")];
    (Folder::new(), ends, Discovery::new(list(1, true, hosts)))
}

/// Hands in messages until an endpoint has had one more call; what was handed in.
fn until_called(courier: &Courier, endpoint: &Endpoint, prefix: &str) -> usize {
    let (before, mut n) = (endpoint.calls().len(), 0);
    wait_until("a call there", || {
        courier.submit_accepted(&format!("{prefix}{n}"), "status", 7, 20_000);
        n += 1;
        thread::sleep(20 * MS);
        endpoint.calls().len() > before
    });
    n
}

#[test]
fn an_endpoint_left_out_gets_nothing_whatever_the_list_says_until_one_call_brings_it_back() {
    let (folder, [a, b], discovery) = two();
    let courier = with_admin(&folder, &discovery);
    assert_eq!(courier.operate("GET", "/control/ready"), 200);
    for _ in 0..2 {
        assert_eq!(courier.operate("POST", "/control/endpoints/s-1/offline"), 200);
    }
    let before = a.calls().len();
    discovery.push_line(list(2, false, vec![host("s-1", &a, 7, "draining")]));
    courier.wait_for_log("s-1=Draining");
    discovery.push_line(list(3, true, vec![host("s-1", &a, 7, "ready"), host("s-2", &b, 7, "ready")]));
    courier.wait_for_log("list 3");
    for n in 0..20 {
        courier.submit_accepted(&format!("m{n}"), "status", 7, 20_000);
    }
    wait_until("all at the other", || b.calls().len() >= 20);
    assert_eq!(a.calls().len(), before, "left out");

    // Neither SIGKILL nor a list that has it ready ends that.
    courier.kill();
    let courier = with_admin(&folder, &discovery);
    for n in 0..20 {
        courier.submit_accepted(&format!("k{n}"), "status", 7, 20_000);
    }
    wait_until("all at the other", || b.calls().len() >= 40);
    assert_eq!(a.calls().len(), before, "left out over a restart");

    assert_eq!(courier.operate("POST", "/control/endpoints/s-1/online"), 200);
    // The other one leaves, too, so that what follows can go nowhere else.
    assert_eq!(courier.operate("POST", "/control/endpoints/s-2/offline"), 200);
    until_called(&courier, &a, "back");
}

#[test]
fn a_call_that_waits_for_its_connection_does_not_begin_once_its_endpoint_is_left_out() {
    // Nobody accepts there, and the queue of those who wait is full: connections come up once it moves.
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(0).expect("listens");
    let listener: std::net::TcpListener = listener.into();
    let endpoint = Endpoint::at(&listener);
    let _filler = TcpStream::connect(endpoint.address).expect("the one that waits");
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = Folder::new();
    let courier = with_admin(&folder, &discovery);
    courier.submit_accepted("m", "status", 7, 4_000);
    courier.wait_for_log("m attempt 0: to s-1");
    assert_eq!(courier.operate("POST", "/control/endpoints/s-1/offline"), 200);
    endpoint.serve(listener, |_, _| Reply::Answer(OK));
    wait_until("its end", || discovery.results("m") == ["bounced"]);
    assert!(endpoint.calls().is_empty(), "{:?}", endpoint.calls());
}

#[test]
fn unknown_or_malformed_operator_calls_are_refused() {
    let (folder, _ends, discovery) = two();
    let courier = with_admin(&folder, &discovery);
    for (method, path, status) in [
        ("POST", "/control/endpoints/s-3/offline", 404),
        ("POST", "/control/endpoints/s-3/online", 404),
        ("GET", "/control/endpoints/s-1/offline", 405),
        ("POST", "/control/ready", 405),
        ("GET", "/-/ready", 404),
        ("POST", "/notice", 404),
    ] {
        assert_eq!(courier.operate(method, path), status, "{method} {path}");
    }
    let admin = courier.admin.expect("an address");
    for text in ["nonsense\r\n\r\n", "POST /control/out-of-service HTTP/9.9\r\n\r\n", "GET\r\n\r\n"] {
        let page = raw(admin, text.as_bytes());
        assert!(page.is_none_or(|page| page.status() >= 400), "{text:?}");
    }
    // An incomplete call has no effect.
    let mut half = TcpStream::connect(admin).expect("connects");
    half.write_all(b"POST /control/out-of-service HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").expect("written");
    drop(half);
    assert_eq!(courier.get("/-/ready").map(|page| page.status()), Some(200));
    let page = raw(admin, b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("an answer");
    assert_eq!(page.header("connection"), Some("close"), "one call to a connection");
}

#[test]
fn operator_connections_held_open_do_not_block_others() {
    let (folder, _ends, discovery) = two();
    let courier = with_admin(&folder, &discovery);
    let admin = courier.admin.expect("an address");
    let mut held = Vec::new();
    for n in 0..100 {
        let mut stream = TcpStream::connect(admin).expect("connects");
        let text: &[u8] = if n % 2 == 0 { b"POST /control/out-of" } else { b"" };
        stream.write_all(text).expect("written");
        held.push(stream);
        if n % 10 == 0 {
            assert_eq!(courier.operate("GET", "/control/ready"), 200);
        }
    }
    assert_eq!(courier.operate("POST", "/control/endpoints/s-1/offline"), 200);
    assert_eq!(courier.get("/-/ready").map(|page| page.status()), Some(200));
}

#[test]
fn a_courier_out_of_service_lets_clients_go_after_their_answers_and_comes_back() {
    let (folder, [a, b], discovery) = two();
    let courier = with_admin(&folder, &discovery);
    let connect = |courier: &Courier| TcpStream::connect(courier.address).expect("connects");
    let submit = |stream: &mut TcpStream, id: &str| {
        stream.write_all(message(id, "status", 7, 20_000).as_bytes()).expect("written");
        HttpMessage::read(&mut BufReader::new(stream.try_clone().expect("a handle"))).expect("an answer")
    };
    let mut idle = connect(&courier);
    assert_eq!(submit(&mut idle, "m1").status(), 202);
    // One has half a message in when the call comes.
    let (mut busy, text) = (connect(&courier), message("m2", "status", 7, 20_000));
    busy.write_all(&text.as_bytes()[..text.len() - 2]).expect("written");
    courier.get("/-/ready");
    assert_eq!(courier.operate("POST", "/control/out-of-service"), 200);
    assert_eq!(courier.get("/-/ready").map(|page| page.status()), Some(503));
    idle.set_read_timeout(Some(LIMIT)).expect("a limit");
    assert_eq!(idle.read(&mut [0]).expect("an end"), 0, "an idle connection is let go");
    busy.write_all(&text.as_bytes()[text.len() - 2..]).expect("written");
    let page =
        HttpMessage::read(&mut BufReader::new(busy.try_clone().expect("a handle"))).expect("an answer");
    assert_eq!((page.status(), page.header("connection")), (202, Some("close")));
    wait_until("both", || a.calls().len() + b.calls().len() == 2);
    assert_eq!(courier.operate("GET", "/control/ready"), 200, "the process serves all the same");
    // It stays so over a restart, until the call back.
    courier.kill();
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut next = command(&folder, &discovery, &config(&discovery, known));
    let courier = Courier::launch(next.env("LB_ADMIN_ADDR", "127.0.0.1:0"));
    assert_eq!(courier.get("/-/ready").map(|page| page.status()), Some(503));
    assert_eq!(courier.operate("POST", "/control/in-service"), 200);
    assert_eq!(courier.get("/-/ready").map(|page| page.status()), Some(200));
    let mut again = connect(&courier);
    assert_eq!(submit(&mut again, "m3").status(), 202);
    assert_eq!(submit(&mut again, "m4").status(), 202, "connections are kept again");
}

#[test]
fn the_address_may_stand_in_the_configuration_and_yields_to_the_environment() {
    let (folder, _ends, discovery) = two();
    let mut page = config(&discovery, Value::Null);
    page["admin_addr"] = "127.0.0.1:0".into();
    let courier = Courier::with(&folder, &discovery, &page);
    assert_eq!(courier.operate("GET", "/control/ready"), 200);
    courier.kill();
    page["admin_addr"] = "192.0.2.1:1".into();
    let courier = Courier::spawn(command(&folder, &discovery, &page).env("LB_ADMIN_ADDR", "127.0.0.1:0"));
    assert_eq!(courier.operate("GET", "/control/ready"), 200);
}

#[test]
fn answers_come_though_the_courier_stands_still() {
    let (folder, _ends, discovery) = two();
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut child = command(&folder, &discovery, &config(&discovery, known))
        .env("LB_ADMIN_ADDR", "127.0.0.1:0")
        .spawn()
        .expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("its log"));
    let mut address = |words: &str| {
        let mut line = String::new();
        while !line.contains(words) {
            line.clear();
            log.read_line(&mut line).expect("a line");
        }
        let after = line.split(words).nth(1).and_then(|l| l.trim().split(';').next()?.parse().ok());
        after.unwrap_or_else(|| panic!("no address: {line}"))
    };
    let (admin, clients): (SocketAddr, SocketAddr) = (address("called at "), address("serves "));
    // From here on the log is not read: once the pipe is full, the event loop blocks in the middle of a line.
    let mut n = 0;
    wait_until("it stands still", || {
        n += 1;
        let mut stream = TcpStream::connect(clients).expect("connects");
        stream.set_read_timeout(Some(1000 * MS)).expect("a limit");
        stream.write_all(message(&format!("m{n}"), "status", 7, 20_000).as_bytes()).expect("written");
        HttpMessage::read(&mut BufReader::new(stream)).is_none()
    });
    for n in 0..100 {
        let path = format!("/control/endpoints/s-1/{}", if n % 2 == 0 { "offline" } else { "online" });
        let call = format!("POST {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(raw(admin, call.as_bytes()).map(|page| page.status()), Some(200), "{path}");
    }
    let ready = raw(admin, b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(ready.map(|page| page.status()), Some(200));
    child.kill().expect("killed");
    child.wait().expect("gone");
}
