//! An endpoint: registers with a controller and answers every request with its name.

use crate::Outcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lanegate_control_http::{ClientRequest, ControlMethod, call};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval between heartbeats, and the timeout of each.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Starts the endpoint `id` of `service`.
pub(crate) async fn start(id: &'static str, service: &'static str, control: SocketAddr) -> Outcome<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    println!("endpoint {id}: {service} at {address}");
    spawn_local(serve(listener, id, service));
    spawn_local(register(id, service, address, control));
    Ok(())
}

async fn serve(listener: TcpListener, id: &'static str, service: &'static str) {
    while let Ok((stream, _)) = listener.accept().await {
        let answer = service_fn(move |request| async move { answer(&request, id, service) });
        spawn_local(Builder::new().serve_connection(TokioIo::new(stream), answer));
    }
}

fn answer(
    request: &Request<Incoming>,
    id: &str,
    service: &str,
) -> hyper::http::Result<Response<Full<Bytes>>> {
    let mut answer = Response::builder().header("Server-Signature", id);
    if let Some(attempt) = request.headers().get("Attempt-Id") {
        answer = answer.header("Attempt-Id", attempt);
    }
    answer.body(Full::from(format!("{id} of {service} ran {}", request.uri().path())))
}

async fn register(id: &str, service: &str, address: SocketAddr, control: SocketAddr) {
    for sequence in 1.. {
        let body = format!(
            r#"{{"Backend":"{service}","Address":"{address}","Zone":"here","Version":"v1","Capacity":8,"State":"ready","ColdLeftMs":0,"Sequence":{sequence}}}"#
        );
        let heartbeat = ClientRequest {
            method: ControlMethod::Put,
            body: body.into(),
            ..ClientRequest::get(format!("/instances/{id}"))
        };
        // A failed heartbeat needs no retry: the next one replaces it.
        let _ = call(control, &heartbeat, HEARTBEAT).await;
        sleep(HEARTBEAT).await;
    }
}
