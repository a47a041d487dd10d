//! The link between one courier and one other party. The lab has the other end of each, so that all that a
//! network does to bytes is done here: latency, silence in one direction or both, resets.

use crate::event::Recorder;
use atomic_waker::AtomicWaker;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};

/// Pending connections of a listener.
const BACKLOG: i32 = 1024;

/// What one connection's task is told from outside.
#[derive(Default)]
pub struct Tap {
    waker: AtomicWaker,
    broken: AtomicBool,
    /// The next bytes written are no answer.
    pub spoil: AtomicBool,
    /// Microseconds at which the first byte of the present request came; 0 before it.
    pub first: AtomicU64,
    /// Microseconds at which the courier closed, whether or not that gets through; 0 before it.
    pub closed: AtomicU64,
}

impl Tap {
    /// The connection breaks as that of a process that died: with a reset.
    pub fn sever(&self) {
        self.broken.store(true, SeqCst);
        self.waker.wake();
    }
}

/// The state of a link, shared by all its connections.
#[derive(Default)]
pub struct Link {
    /// From the courier, and to it: nothing comes through.
    pub mute_in: AtomicBool,
    pub mute_out: AtomicBool,
    /// Microseconds each way.
    pub latency: AtomicU64,
    taps: Mutex<Vec<Weak<Tap>>>,
    changed: Notify,
}

impl Link {
    fn tap(&self) -> Arc<Tap> {
        let tap = Arc::new(Tap::default());
        let mut taps = self.taps.lock().expect("taps");
        if taps.len() == taps.capacity() {
            taps.retain(|t| t.strong_count() > 0);
        }
        taps.push(Arc::downgrade(&tap));
        tap
    }

    /// Nothing comes through any more, in the directions named, or all does again.
    pub fn mute(&self, inward: bool, outward: bool) {
        self.mute_in.store(inward, SeqCst);
        self.mute_out.store(outward, SeqCst);
        self.taps.lock().expect("taps").iter().filter_map(Weak::upgrade).for_each(|t| t.waker.wake());
        self.changed.notify_waiters();
    }

    /// All its connections break.
    pub fn sever(&self) {
        self.taps.lock().expect("taps").iter().filter_map(Weak::upgrade).for_each(|t| t.sever());
    }

    pub fn is_cut(&self) -> bool {
        self.mute_in.load(SeqCst) || self.mute_out.load(SeqCst)
    }

    /// Connects to a courier, as soon as something gets there.
    pub async fn connect(
        self: &Arc<Self>,
        to: SocketAddr,
        recorder: &Recorder,
    ) -> io::Result<(Wire, Arc<Tap>)> {
        while self.is_cut() {
            let changed = self.changed.notified();
            if self.is_cut() {
                changed.await;
            }
        }
        let stream = TcpStream::connect(to).await?;
        Ok(self.wire(stream, recorder))
    }

    fn wire(self: &Arc<Self>, stream: TcpStream, recorder: &Recorder) -> (Wire, Arc<Tap>) {
        let _ = stream.set_nodelay(true);
        let tap = self.tap();
        let wire = Wire {
            stream,
            link: self.clone(),
            tap: tap.clone(),
            recorder: recorder.clone(),
            inward: VecDeque::new(),
            outward: VecDeque::new(),
            timer: None,
        };
        (wire, tap)
    }
}

/// One connection over a link.
pub struct Wire {
    stream: TcpStream,
    link: Arc<Link>,
    tap: Arc<Tap>,
    recorder: Recorder,
    /// Bytes on their way to the lab and to the courier, with the time at which they are there.
    inward: VecDeque<(Instant, Vec<u8>)>,
    outward: VecDeque<(Instant, Vec<u8>)>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Wire {
    fn alive(&self) -> io::Result<()> {
        if self.tap.broken.load(SeqCst) {
            // Closing then resets, as the end of a process does with bytes unread.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    fn latency(&self) -> Duration {
        Duration::from_micros(self.link.latency.load(SeqCst))
    }

    fn wait(&mut self, until: Instant, cx: &mut Context) -> Poll<()> {
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        timer.as_mut().reset(until);
        timer.as_mut().poll(cx)
    }

    /// The courier has written bytes; none means that it has closed.
    fn came(&self, bytes: usize) {
        let now = self.recorder.now().max(1);
        let of = if bytes > 0 { &self.tap.first } else { &self.tap.closed };
        let _ = of.compare_exchange(0, now, SeqCst, SeqCst);
    }

    /// Takes what the courier has sent onto its way.
    fn pull(&mut self, latency: Duration, cx: &mut Context) {
        let mut space = [0; 4096];
        while self.tap.closed.load(SeqCst) == 0 {
            let mut piece = ReadBuf::new(&mut space);
            match Pin::new(&mut self.stream).poll_read(cx, &mut piece) {
                Poll::Pending => return,
                Poll::Ready(read) => {
                    let bytes = read.map_or(Vec::new(), |()| piece.filled().to_vec());
                    self.came(bytes.len());
                    self.inward.push_back((Instant::now() + latency, bytes));
                }
            }
        }
    }

    /// Writes what has been long enough on its way.
    fn push(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        while let Some((due, bytes)) = self.outward.front_mut() {
            let due = *due;
            if self.link.mute_out.load(SeqCst) {
                return Poll::Pending;
            }
            if due > Instant::now() {
                ready!(self.wait(due, cx));
                continue;
            }
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
            bytes.drain(..written);
            if bytes.is_empty() {
                self.outward.pop_front();
            }
        }
        Poll::Ready(Ok(()))
    }
}

use std::future::Future;

impl AsyncRead for Wire {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.tap.waker.register(cx.waker());
        this.alive()?;
        // Answers that are on their way go on while the connection is being listened to.
        if let Poll::Ready(Err(e)) = this.push(cx) {
            return Poll::Ready(Err(e));
        }
        let (latency, mute) = (this.latency(), this.link.mute_in.load(SeqCst));
        if latency.is_zero() && !mute && this.inward.is_empty() {
            let before = buf.filled().len();
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
            this.came(buf.filled().len() - before);
            return Poll::Ready(Ok(()));
        }
        // What the courier sends meanwhile is on its way, or waits to be sent once more, as TCP does.
        this.pull(latency, cx);
        if mute {
            return Poll::Pending;
        }
        let Some((due, _)) = this.inward.front() else { return Poll::Pending };
        let due = *due;
        ready!(this.wait(due, cx));
        let Some((_, mut bytes)) = this.inward.pop_front() else { return Poll::Pending };
        let room = buf.remaining().min(bytes.len());
        buf.put_slice(&bytes[..room]);
        if room < bytes.len() {
            this.inward.push_front((due, bytes.split_off(room)));
        }
        Poll::Ready(Ok(()))
    }
}

const NO_ANSWER: &[u8] = b"HTP/1.! 2x0 \x00\xff\r\n\r\n";

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.alive()?;
        if this.tap.spoil.swap(false, SeqCst) {
            this.outward.push_back((Instant::now(), NO_ANSWER.to_vec()));
            let _ = this.push(cx);
            return Poll::Ready(Ok(buf.len()));
        }
        let latency = this.latency();
        if latency.is_zero() && this.outward.is_empty() && !this.link.mute_out.load(SeqCst) {
            return Pin::new(&mut this.stream).poll_write(cx, buf);
        }
        this.outward.push_back((Instant::now() + latency, buf.to_vec()));
        let _ = this.push(cx)?;
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        // What waits for its time is written while the connection is listened to.
        let _ = self.push(cx)?;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        ready!(self.push(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An address that stays this run's, whoever listens there or nobody: it is bound and not listened to.
pub struct Place {
    pub address: SocketAddr,
    _bound: Socket,
}

impl Place {
    pub fn new() -> io::Result<Self> {
        let bound = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = bound.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Place { address, _bound: bound })
    }

    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bind(self.address)?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    }
}

fn bind(to: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&to.into())?;
    Ok(socket)
}

/// Takes connections over a link while it is open. Closed, they are refused; cut, they never come up.
pub struct Door {
    place: Place,
    pub link: Arc<Link>,
    open: AtomicBool,
    changed: Notify,
}

impl Door {
    pub fn new() -> io::Result<Arc<Self>> {
        let (place, link) = (Place::new()?, Arc::default());
        Ok(Arc::new(Door { place, link, open: AtomicBool::new(true), changed: Notify::new() }))
    }

    pub fn address(&self) -> SocketAddr {
        self.place.address
    }

    /// From now on connections are refused, or taken again.
    pub fn set_open(&self, open: bool) {
        self.open.store(open, SeqCst);
        self.changed.notify_one();
    }

    /// Takes connections until the run ends; each goes to `serve`.
    pub async fn run(self: Arc<Self>, recorder: Recorder, serve: impl Fn(Wire, Arc<Tap>)) -> io::Result<()> {
        loop {
            while !self.open.load(SeqCst) {
                self.changed.notified().await;
            }
            let listener = self.place.listen()?;
            while self.open.load(SeqCst) {
                if self.link.is_cut() {
                    self.stay_silent(&listener).await?;
                    continue;
                }
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let (wire, tap) = self.link.wire(stream, &recorder);
                        serve(wire, tap);
                    }
                    () = self.changed.notified() => {}
                    () = self.link.changed.notified() => {}
                }
            }
        }
    }

    /// With its queue full the kernel drops what comes: a connection then neither comes up nor is refused.
    async fn stay_silent(&self, listener: &TcpListener) -> io::Result<()> {
        SockRef::from(listener).listen(0)?;
        let mut fill = Vec::new();
        while self.link.is_cut() && self.open.load(SeqCst) {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            let _ = socket.connect(&self.place.address.into());
            fill.push(socket);
            if fill.len() > 2 {
                tokio::select! {
                    () = self.link.changed.notified() => {}
                    () = self.changed.notified() => {}
                    // Whoever had come before took up the room; it is filled once more then.
                    () = tokio::time::sleep(Duration::from_millis(200)) => {}
                }
                fill.truncate(2);
            }
        }
        drop(fill);
        SockRef::from(listener).listen(BACKLOG)
    }
}
