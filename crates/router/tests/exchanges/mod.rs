//! Scripted exchanges between clients, a router and endpoints, and a record of what each received.
//!
//! Time is simulated: it advances only when all tasks are idle. The runtime does not see bytes that the kernel holds back, so all
//! sockets have Nagle's algorithm disabled.

pub(crate) mod client;
pub(crate) mod endpoint;
pub(crate) mod record;
pub(crate) mod script;

use crate::common::{Endpoint, Router};
use lanegate_router::fault::RouterFault;
use record::Record;
use script::Script;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Longest simulated time of an exchange; only an exchange that hangs reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a script; returns the violations, if there are any.
pub(crate) fn run_script(script: &Script, fault: Option<RouterFault>) -> Option<String> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        match timeout(TEST_TIMEOUT, run(script, fault)).await {
            Ok(record) => record.all_violations(),
            Err(_) => Some("the exchange hangs".into()),
        }
    }))
}

async fn run(script: &Script, fault: Option<RouterFault>) -> Rc<Record> {
    let record = Rc::new(Record::new(script));
    let mut endpoints = Vec::new();
    for number in 0..script.endpoints {
        endpoints.push(Endpoint::start(&format!("i-{number}")).await);
    }
    let router = Router::serving_with(fault, &endpoints.iter().collect::<Vec<_>>()).await;
    for endpoint in endpoints {
        spawn_local(endpoint::serve(endpoint, record.clone()));
    }
    let clients: Vec<_> = script
        .clients
        .iter()
        .enumerate()
        .map(|(number, actions)| {
            let (actions, record) = (actions.clone(), record.clone());
            spawn_local(client::perform(router.address, number, actions, record))
        })
        .collect();
    for client in clients {
        client.await.unwrap();
    }
    record
}
