//! Room is made for a newcomer without a loss to those who are there.

use super::*;
use crate::node::register::Register;
use crate::store::Durability;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

#[tokio::test]
async fn room_is_not_made_by_closing_on_a_request_that_has_come() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let intake_state = IntakeState::new(Register::new(std::path::Path::new(""), Durability::Process));
    let mut clients = Vec::new();
    // Two that rest; the first one has rested for longer.
    for (id, age) in [(1, 60), (2, 30)] {
        clients.push(TcpStream::connect(at).await.expect("a connection"));
        let (stream, _) = listener.accept().await.expect("accepted");
        let connection = Connection::new(stream, Duration::from_secs(age), true);
        intake_state.open.borrow_mut().insert(id, Rc::new(connection));
    }
    clients[0].try_write(b"POST").expect("written");
    let first = intake_state.open.borrow()[&1].clone();
    while first.nothing_unread() {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(
        intake_state.evict_one() && intake_state.open.borrow().keys().eq([&1]),
        "the one that is quiet has gone"
    );
    assert!(!intake_state.evict_one(), "nobody else can go");
}
