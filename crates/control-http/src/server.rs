//! The server: accepts connections, and shuts down gracefully.

use crate::connection::serve_connection;
use crate::limits::ServerLimits;
use crate::message::{ControlRequest, ControlResponse};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Delay after a failed `accept`, which would fail again immediately while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves the control interface until `stop` is done; then open requests have `shutdown_timeout` to finish.
///
/// Must run inside a `LocalSet`: connections are tasks of this thread.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    stop: impl Future<Output = ()>,
) where
    H: Fn(ControlRequest) -> F + 'static,
    F: Future<Output = ControlResponse> + 'static,
{
    let server = Server { limits: Rc::new(limits), handler: Rc::new(handler) };
    let (stopping, stopped) = watch::channel(false);
    let mut connections = JoinSet::new();
    let mut stop = pin!(stop);
    loop {
        let has_capacity = connections.len() < server.limits.max_connections;
        tokio::select! {
            () = &mut stop => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept(), if has_capacity => server.accepted(accepted, &mut connections, &stopped).await,
        }
    }
    drop(listener);
    stopping.send_replace(true);
    let all = async { while connections.join_next().await.is_some() {} };
    let _ = timeout(server.limits.shutdown_timeout, all).await;
}

struct Server<H> {
    limits: Rc<ServerLimits>,
    handler: Rc<H>,
}

impl<H, F> Server<H>
where
    H: Fn(ControlRequest) -> F + 'static,
    F: Future<Output = ControlResponse> + 'static,
{
    async fn accepted(
        &self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        connections: &mut JoinSet<()>,
        stopped: &watch::Receiver<bool>,
    ) {
        match accepted {
            Ok((stream, remote)) => self.spawn(stream, remote, connections, stopped.clone()),
            Err(error) => {
                log::warn!("accept failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn spawn(
        &self,
        stream: TcpStream,
        remote: SocketAddr,
        connections: &mut JoinSet<()>,
        mut stopped: watch::Receiver<bool>,
    ) {
        let _ = stream
            .set_nodelay(true)
            .inspect_err(|error| log::debug!("TCP_NODELAY not set error=\"{error}\""));
        let (limits, handler) = (self.limits.clone(), self.handler.clone());
        connections.spawn_local(async move {
            let stop = async { drop(stopped.wait_for(|stopped| *stopped).await) };
            serve_connection(stream, remote, &limits, handler, stop).await;
        });
    }
}
