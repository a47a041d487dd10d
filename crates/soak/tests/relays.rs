//! What relays do to links.

use lanegate_soak::layout::Layout;
use lanegate_soak::names::Place;
use lanegate_soak::relay::Relays;
use std::path::PathBuf;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const AGENT: Place = Place::Agent(1);

/// Both ends of a connection through the relay from the agent to controller 1.
struct Ends {
    relays: Relays,
    layout: Layout,
    target: TcpListener,
    near: TcpStream,
    far: TcpStream,
}

impl Ends {
    async fn open(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let layout = Layout::place(3, 2, 1, folder).unwrap();
        let relays = Relays::start(&layout).await.unwrap();
        let target = TcpListener::bind(layout.link(Place::Controller(1), 1)).await.unwrap();
        let near = TcpStream::connect(layout.link(AGENT, 1)).await.unwrap();
        let (far, _) = target.accept().await.unwrap();
        Ends { relays, layout, target, near, far }
    }
}

fn run(work: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, work);
}

#[test]
fn bytes_pass_both_ways() {
    run(async {
        let mut ends = Ends::open("relay-passes").await;
        ends.near.write_all(b"ask").await.unwrap();
        let mut bytes = [0; 3];
        ends.far.read_exact(&mut bytes).await.unwrap();
        ends.far.write_all(&bytes).await.unwrap();
        ends.near.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"ask");
        assert_eq!(ends.relays.passed_bytes(), 6);
    });
}

#[test]
fn what_a_cut_holds_up_comes_when_it_heals() {
    run(async {
        let mut ends = Ends::open("relay-cut").await;
        ends.relays.cut(AGENT, 1, true);
        ends.relays.isolate(1, true);
        ends.near.write_all(b"held").await.unwrap();
        let mut late = TcpStream::connect(ends.layout.link(AGENT, 1)).await.unwrap();
        late.write_all(b"late").await.unwrap();
        ends.relays.cut(AGENT, 1, false);
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(ends.relays.passed_bytes(), 0, "one cut is still there");
        ends.relays.isolate(1, false);
        let mut bytes = [0; 4];
        ends.far.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"held");
        let (mut far, _) = ends.target.accept().await.unwrap();
        far.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"late");
    });
}

#[test]
fn a_reset_ends_connections_and_new_ones_come_up() {
    run(async {
        let mut ends = Ends::open("relay-reset").await;
        ends.relays.reset(AGENT, 1);
        assert!(ends.near.read_u8().await.is_err());
        assert!(ends.far.read_u8().await.is_err());
        let mut near = TcpStream::connect(ends.layout.link(AGENT, 1)).await.unwrap();
        let (mut far, _) = ends.target.accept().await.unwrap();
        near.write_all(b"x").await.unwrap();
        assert_eq!(far.read_u8().await.unwrap(), b'x');
    });
}
