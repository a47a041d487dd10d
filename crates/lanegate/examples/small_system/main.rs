//! A complete system on loopback addresses: a controller, an agent, a router, two endpoints and an operator.
//!
//! `cargo run -p lanegate --example small_system` starts them, sends requests, moves the route to the other
//! service and sends more. What would be separate processes are threads here.

mod client;
mod endpoint;
mod operator;
mod processes;

use processes::Addresses;
use std::error::Error;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for the system to become ready.
const START_TIME: Duration = Duration::from_secs(20);
/// Requests sent before the route is moved, and again after it.
const REQUESTS: u32 = 4;

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Outcome<()> {
    let data = std::env::temp_dir().join(format!("lanegate-small-system-{}", std::process::id()));
    std::fs::create_dir_all(&data)?;
    let addresses = Addresses::unused()?;
    processes::start(&addresses, &data)?;
    let outcome = tokio::task::LocalSet::new().run_until(run_demo(&addresses)).await;
    std::fs::remove_dir_all(&data)?;
    outcome
}

async fn run_demo(addresses: &Addresses) -> Outcome<()> {
    for (id, service) in [("i-1", "small"), ("i-2", "large")] {
        endpoint::start(id, service, addresses.control).await?;
    }
    println!("operator: {}", timeout(START_TIME, operator::put(addresses.control)).await??);
    timeout(START_TIME, ready(addresses)).await?;
    println!("router: ready at {}", addresses.frontend);
    send(addresses, "small").await?;
    println!("operator: {}", operator::patch(addresses.control).await?);
    timeout(START_TIME, answered_by(addresses, "large")).await??;
    send(addresses, "large").await
}

async fn ready(addresses: &Addresses) {
    while !matches!(client::get(addresses.readiness, "/readyz", "ready").await, Ok((200, _))) {
        sleep(POLL_INTERVAL).await;
    }
}

async fn answered_by(addresses: &Addresses, service: &str) -> Outcome<()> {
    let mut attempt = 0;
    while !ask(addresses, &format!("moved-{attempt}")).await?.1.contains(service) {
        attempt += 1;
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn send(addresses: &Addresses, service: &str) -> Outcome<()> {
    for number in 0..REQUESTS {
        let (status, body) = ask(addresses, &format!("{service}-{number}")).await?;
        println!("client: {status} {body}");
        if status != 200 || !body.contains(service) {
            return Err(format!("expected an answer of {service}").into());
        }
    }
    Ok(())
}

async fn ask(addresses: &Addresses, attempt: &str) -> Outcome<(u16, String)> {
    client::get(addresses.frontend, "/chat/hello", attempt).await
}
