//! Relays on the links inside the control plane: they can hold everything up, and reset connections.

use crate::layout::Layout;
use crate::names::Place;
use socket2::SockRef;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Bytes that are passed on at a time.
const BUFFER_BYTES: usize = 16 * 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What all connections of a link are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Order {
    /// Nothing passes while this is above 0; cuts may overlap.
    cuts: u32,
    /// Connections that began under another number are reset.
    generation: u64,
}

/// One link.
#[derive(Debug)]
struct Link {
    order: watch::Sender<Order>,
}

/// The relays of all links, by who opens the link and to which controller.
#[derive(Debug, Default)]
pub struct Relays {
    links: BTreeMap<(Place, u8), Rc<Link>>,
    passed: Rc<Cell<u64>>,
}

impl Relays {
    /// Starts a relay for every link of the layout. Runs inside a `LocalSet`.
    pub async fn start(layout: &Layout) -> io::Result<Self> {
        let mut relays = Relays::default();
        for (from, controller) in layout.links() {
            let listener = TcpListener::bind(layout.link(from, controller)).await?;
            let target = layout.link(Place::Controller(controller), controller);
            let link = Rc::new(Link { order: watch::Sender::new(Order::default()) });
            spawn_local(accept(listener, target, link.clone(), relays.passed.clone()));
            relays.links.insert((from, controller), link);
        }
        Ok(relays)
    }

    /// Bytes that were passed on.
    pub fn passed_bytes(&self) -> u64 {
        self.passed.get()
    }

    /// Both directions of opening between `from` and `controller`.
    fn between(&self, from: Place, controller: u8) -> impl Iterator<Item = &Link> {
        let back = match from {
            Place::Controller(other) => self.links.get(&(Place::Controller(controller), other)),
            _ => None,
        };
        self.links.get(&(from, controller)).into_iter().chain(back).map(Rc::as_ref)
    }

    /// Holds up, or lets pass again, everything between `from` and `controller`.
    pub fn cut(&self, from: Place, controller: u8, is_cut: bool) {
        self.between(from, controller).for_each(|link| link.cut(is_cut));
    }

    /// The same for all links of a controller.
    pub fn isolate(&self, controller: u8, is_cut: bool) {
        let of = |(from, to): &(Place, u8)| *to == controller || *from == Place::Controller(controller);
        self.links.iter().filter(|(ends, _)| of(ends)).for_each(|(_, link)| link.cut(is_cut));
    }

    /// Resets all connections between `from` and `controller`.
    pub fn reset(&self, from: Place, controller: u8) {
        self.between(from, controller).for_each(|link| link.order.send_modify(|order| order.generation += 1));
    }
}

impl Link {
    fn cut(&self, is_cut: bool) {
        self.order.send_modify(|order| match is_cut {
            true => order.cuts += 1,
            false => order.cuts = order.cuts.saturating_sub(1),
        });
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, link: Rc<Link>, passed: Rc<Cell<u64>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(relay(stream, target, link.order.subscribe(), passed.clone()));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    mut order: watch::Receiver<Order>,
    passed: Rc<Cell<u64>>,
) {
    // Whatever ends early here is to look like a broken link.
    let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
    let generation = order.borrow().generation;
    if wait_until_open(&mut order).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = SockRef::from(&far).set_linger(Some(Duration::ZERO));
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let mut resets = order.clone();
    let reset = async move { drop(resets.wait_for(|order| order.generation != generation).await) };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pass(near_read, far_write, order.clone(), passed.clone()) => {}
        () = pass(far_read, near_write, order, passed) => {}
        () = reset => {}
    }
}

async fn wait_until_open(order: &mut watch::Receiver<Order>) -> Result<(), watch::error::RecvError> {
    order.wait_for(|order| order.cuts == 0).await.map(drop)
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut order: watch::Receiver<Order>,
    passed: Rc<Cell<u64>>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if wait_until_open(&mut order).await.is_err() || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        passed.set(passed.get() + length as u64);
    }
}
