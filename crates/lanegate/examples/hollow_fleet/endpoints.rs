//! Hollow endpoints: each sends heartbeats, carries out orders, tells what it holds, and serves nothing.

use crate::Outcome;
use crate::configuration::{LOAD_TIME_S, SERVICE, model_name};
use crate::layout::Layout;
use lanegate_control_http::{
    ClientRequest, ControlMethod, ControlRequest, ControlResponse, ServerLimits, call, serve,
};
use lanegate_model::instance::HeldModel;
use lanegate_placement::{EndpointReport, Operation};
use serde::Deserialize;
use serde_json::json;
use std::cell::RefCell;
use std::future::{pending, ready};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Longest wait for the answer to a heartbeat.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time in which an adapter arrives.
const ADAPTER_TIME: Duration = Duration::from_millis(15);

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct OrderBody {
    operation: Operation,
    model: String,
    adapter: Option<String>,
}

struct Endpoint {
    report: RefCell<EndpointReport>,
}

/// Runs all endpoints until they are ended.
pub async fn run(layout: &Layout) -> Outcome<()> {
    for number in 0..layout.endpoints {
        let listener = TcpListener::bind(layout.endpoint(number)).await?;
        let held = HeldModel { name: model_name(number % layout.models), version: 0, adapters: Vec::new() };
        let report = serde_json::from_value::<EndpointReport>(json!({"Phase": "prefill_decode"}))?;
        let report = EndpointReport { models: vec![held], ..report };
        let endpoint = Rc::new(Endpoint { report: RefCell::new(report) });
        spawn_local(beat(endpoint.clone(), layout.clone(), number));
        let answer = move |request| ready(endpoint.clone().answer(&request));
        spawn_local(serve(listener, ServerLimits::default(), answer, pending::<()>()));
    }
    pending().await
}

async fn beat(endpoint: Rc<Endpoint>, layout: Layout, number: usize) {
    let period = Duration::from_millis(layout.heartbeat_ms);
    sleep(period.mul_f64(number as f64 / layout.endpoints as f64)).await;
    let mut controller = number;
    for sequence in 1_u64.. {
        let control = layout.control((controller % usize::from(layout.controllers)) as u8);
        let heartbeat = ClientRequest {
            method: ControlMethod::Put,
            body: endpoint.registration(&layout, number, sequence).into(),
            ..ClientRequest::get(format!("/instances/hollow-{number}"))
        };
        let answer = call(control, &heartbeat, PATIENCE).await;
        if !answer.is_ok_and(|answer| answer.status == 200) {
            controller += 1;
        }
        sleep(period).await;
    }
}

impl Endpoint {
    fn registration(&self, layout: &Layout, number: usize, sequence: u64) -> String {
        let models = &self.report.borrow().models;
        json!({
            "Backend": SERVICE, "Address": layout.endpoint(number), "Zone": "here", "Region": "here",
            "Version": "v1", "Capacity": 64, "State": "ready", "Sequence": sequence, "ColdLeftMs": 0,
            "Phase": "prefill_decode", "Models": models,
        })
        .to_string()
    }

    fn answer(self: Rc<Self>, request: &ControlRequest) -> ControlResponse {
        match request.path.as_str() {
            "/report" => ControlResponse::json(200, json!(*self.report.borrow()).to_string()),
            "/order" => match serde_json::from_slice(&request.body) {
                Ok(order) => self.take(order),
                Err(_) => ControlResponse::status(400),
            },
            _ => ControlResponse::status(404),
        }
    }

    /// One order at a time.
    fn take(self: Rc<Self>, order: OrderBody) -> ControlResponse {
        let mut report = self.report.borrow_mut();
        if report.busy {
            return ControlResponse::status(409);
        }
        report.busy = true;
        report.sequence += 1;
        drop(report);
        spawn_local(self.carry_out(order));
        ControlResponse::json(202, "{}")
    }

    async fn carry_out(self: Rc<Self>, order: OrderBody) {
        sleep(match (order.operation, &order.adapter) {
            (Operation::Load, None) => Duration::from_secs_f64(LOAD_TIME_S),
            _ => ADAPTER_TIME,
        })
        .await;
        let mut report = self.report.borrow_mut();
        report.busy = false;
        change(&mut report.models, order);
    }
}

fn change(models: &mut Vec<HeldModel>, order: OrderBody) {
    let held = models.iter_mut().find(|held| held.name == order.model);
    match (order.operation, order.adapter, held) {
        (Operation::Load, None, None) => {
            models.push(HeldModel { name: order.model, version: 0, adapters: Vec::new() });
        }
        (Operation::Evict, None, _) => models.retain(|held| held.name != order.model),
        (Operation::Load, Some(adapter), Some(held)) if !held.adapters.contains(&adapter) => {
            held.adapters.push(adapter);
        }
        (Operation::Evict, Some(adapter), Some(held)) => held.adapters.retain(|known| *known != adapter),
        _ => {}
    }
}
