//! A hollow fleet: real controllers and real agents at the size of a large system, with routers and endpoints
//! that only play their part in the control plane. Measures what that size costs the controllers.
//!
//! `cargo run --release -p lanegate --example hollow_fleet -- '{"routers":400,"endpoints":600}'`
//! starts it on the loopback interface, prints its figures and ends it. Controllers are processes of their own;
//! agents, routers and endpoints share a few.

mod agents;
mod children;
mod configuration;
mod controllers;
mod endpoints;
mod layout;
mod measurement;
mod observer;
mod routers;
mod usage;

use children::Part;
use layout::Layout;
use std::error::Error;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> Outcome<()> {
    let mut arguments = std::env::args().skip(1);
    let layout = arguments.next().unwrap_or_else(|| "{}".to_owned());
    let layout: Layout = serde_json::from_str(&layout)?;
    let part = arguments.next().map(|part| serde_json::from_str(&part)).transpose()?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        match part {
            None => measurement::run(layout).await,
            Some(Part::Controller { index }) => controllers::run(&layout, index).await,
            Some(Part::Agents { first, end }) => agents::run(&layout, first..end).await,
            Some(Part::Routers { first, end }) => routers::run(&layout, first..end).await,
            Some(Part::Endpoints) => endpoints::run(&layout).await,
        }
    })
}
